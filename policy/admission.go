package policy

import (
	"math"

	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// of the mean latency objective that an attempt may take before the inflow is held
	maxObjectiveUsage = 0.5
	// the present one and one before, that show a burst's own rate
	recentFlowBuckets = 2
	// open requests beyond that, so that a small relay is not shut by one slow answer
	spareRequests = 4.0
	// part of the limit from which the class of least priority is rejected; the highest: 1
	lowestPriorityFraction = 0.8
	// times its class's part of the limit from which a tenant beyond its share is rejected
	overQuotaFraction = 0.9
	// times its share of traffic at which a tenant counts as beyond it
	overQuotaFactor = 1.15
	// part of the limit from which a request rejected by a full endpoint is not sent again
	fleetFullFraction       = 0.8
	minTimeForAdmissionRate = flowBucketTime * flowBuckets
)

// admission rejects new requests while more are open than can be answered in time at the rate of late. It
// guards against any lack of capacity, and needs no cause: too much traffic, lost or slow endpoints, costly
// requests.
type admission struct {
	p                *Policy
	answered         window.Sliding // latency objectives of the requests answered
	requestsByTenant window.Sliding // requests taken; the last column: of all
}

func newAdmission(p *Policy) admission {
	return admission{
		p:                p,
		answered:         window.NewSliding(flowBucketTime, flowBuckets, 1),
		requestsByTenant: window.NewSliding(flowBucketTime, flowBuckets, len(p.settings.Tenants)+1),
	}
}

func (a *admission) receive(m message) {
	if ended, ok := m.(attemptOutcome); ok && ended.outcome == relay.Succeeded {
		a.answered.Add(a.p.now, 0, ended.objective)
	}
}

// admissionFraction is the part of the limit from which requests of a class are rejected, by its priority.
func admissionFraction(weight, maxWeight float64) float64 {
	return lowestPriorityFraction + (1-lowestPriorityFraction)*weight/maxWeight
}

// limit is how many requests may be open: by Little's law, the rate of answers times the time they may
// take.
func (a *admission) limit() float64 {
	if a.p.now < minTimeForAdmissionRate {
		return math.Inf(1) // no rate is known yet
	}
	rate := a.answered.Total(a.p.now, 0) / (flowBucketTime * flowBuckets)
	// After a quiet time the mean tells what was asked for, not what can be answered: the last second's rate
	// counts.
	recentTime := flowBucketTime*(recentFlowBuckets-1) + math.Mod(a.p.now, flowBucketTime)
	recentRate := a.answered.Sum(a.p.now, 0, 0, recentFlowBuckets) / recentTime
	return spareRequests + maxObjectiveUsage*math.Max(rate, recentRate)
}

// rejects says whether a new request is rejected, and counts it.
func (a *admission) rejects(request *trackedRequest) bool {
	tenants := a.p.settings.Tenants
	allColumn, tenant := len(tenants), int(request.Tenant)
	a.requestsByTenant.Add(a.p.now, allColumn, 1)
	fraction := request.class.admissionFraction
	if tenant < len(tenants) {
		a.requestsByTenant.Add(a.p.now, tenant, 1)
		share := overQuotaFactor * tenants[tenant].TrafficShare
		if a.requestsByTenant.Total(a.p.now, tenant) > share*a.requestsByTenant.Total(a.p.now, allColumn) {
			fraction *= overQuotaFraction // priority ranks beyond a share too: a burst is mostly one tenant's
		}
	}
	return float64(a.p.router.openInTime) > fraction*a.limit()
}
