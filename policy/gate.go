// The gate: which new queries are denied while more are open than can be answered in time.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	maxObjectiveUsage      = 0.5  // of the mean due time that a leg may take before the gate holds the inflow
	recentFlowBuckets      = 2    // buckets of the gate's, the present one and one before, that show a burst's own pace
	spareRequests          = 4.0  // open queries beyond that, so that a small relay is not shut by one slow answer
	lowestPriorityFraction = 0.8  // part of the limit from which the category of least value is denied; the top: 1
	overQuotaFraction      = 0.9  // times its part of the limit from which a beyond-share customer's query is denied
	overQuotaFactor        = 1.15 // times its share of traffic at which a customer counts as beyond it
	fleetFullFraction      = 0.8  // part of the limit from which a query turned away by a full unit is not sent on
)

func (g *admission) take(n message) {
	if n, ok := n.(attemptOutcome); ok && n.outcome == relay.Succeeded {
		g.answered.add(g.p.now, 0, n.objective)
	}
}

// admissionFraction is the part of the gate's limit from which queries of a category are denied, by its value.
func admissionFraction(value, most float64) float64 {
	return lowestPriorityFraction + (1-lowestPriorityFraction)*value/most
}

// limit is how many queries may be open: by Little's law, the rate of answers times the time they may take.
func (g *admission) limit() float64 {
	if g.p.now < flowBucketTime*flowBuckets {
		return math.Inf(1) // no pace is known yet
	}
	// After a quiet time the mean tells what was asked, not what can be answered: the last second's pace counts.
	lately := flowBucketTime*(recentFlowBuckets-1) + math.Mod(g.p.now, flowBucketTime)
	return spareRequests + maxObjectiveUsage*math.Max(g.answered.all(g.p.now, 0)/(flowBucketTime*flowBuckets),
		g.answered.sum(g.p.now, 0, 0, recentFlowBuckets)/lately)
}

// denies says whether a new query is turned away, and counts it.
func (g *admission) rejects(q *trackedRequest) bool {
	n, c := len(g.p.settings.Tenants), int(q.Tenant)
	g.requestsByTenant.add(g.p.now, n, 1)
	part := q.class.admissionFraction
	if c < n {
		g.requestsByTenant.add(g.p.now, c, 1)
		if share := g.p.settings.Tenants[c].TrafficShare; g.requestsByTenant.all(g.p.now, c) > overQuotaFactor*share*g.requestsByTenant.all(g.p.now, n) {
			part *= overQuotaFraction // value ranks beyond a share too: a burst is mostly one customer's
		}
	}
	return float64(g.p.router.openInTime) > part*g.limit()
}
