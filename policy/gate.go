// The gate: which new queries are denied while more are open than can be answered in time.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	gateWait   = 0.5  // of the mean due time that a leg may take before the gate holds the inflow
	gateLately = 2    // buckets of the gate's, the present one and one before, that show a burst's own pace
	gateSpare  = 4.0  // open queries beyond that, so that a small relay is not shut by one slow answer
	gateLow    = 0.8  // part of the limit from which the category of least value is denied; the top: 1
	gateOver   = 0.9  // times its part of the limit from which a beyond-share customer's query is denied
	overShare  = 1.15 // times its share of traffic at which a customer counts as beyond it
	fullDenial = 0.8  // part of the limit from which a query turned away by a full unit is not sent on
)

func (g *gate) take(n note) {
	if n, ok := n.(noteOutcome); ok && n.how == relay.Succeeded {
		g.answers.add(g.p.now, 0, n.due)
	}
}

// gatePart is the part of the gate's limit from which queries of a category are denied, by its value.
func gatePart(value, most float64) float64 { return gateLow + (1-gateLow)*value/most }

// limit is how many queries may be open: by Little's law, the rate of answers times the time they may take.
func (g *gate) limit() float64 {
	if g.p.now < flowWidth*flowCount {
		return math.Inf(1) // no pace is known yet
	}
	// After a quiet time the mean tells what was asked, not what can be answered: the last second's pace counts.
	lately := flowWidth*(gateLately-1) + math.Mod(g.p.now, flowWidth)
	return gateSpare + gateWait*math.Max(g.answers.all(g.p.now, 0)/(flowWidth*flowCount),
		g.answers.sum(g.p.now, 0, 0, gateLately)/lately)
}

// denies says whether a new query is turned away, and counts it.
func (g *gate) denies(q *query) bool {
	n, c := len(g.p.set.Tenants), int(q.Tenant)
	g.mix.add(g.p.now, n, 1)
	part := q.row.gate
	if c < n {
		g.mix.add(g.p.now, c, 1)
		if share := g.p.set.Tenants[c].TrafficShare; g.mix.all(g.p.now, c) > overShare*share*g.mix.all(g.p.now, n) {
			part *= gateOver // value ranks beyond a share too: a burst is mostly one customer's
		}
	}
	return float64(g.p.desk.inTime) > part*g.limit()
}
