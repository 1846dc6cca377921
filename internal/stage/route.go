package stage

import (
	"math"

	"lichenroad/relay"
)

// route turns the module's choice of a unit into a leg with its time-out. A query that has ended since the
// module was last told gets a leg too, which ends as not sent: each order to send is owed one end.
func (l *Loop) route(o relay.SendLeg) {
	q := l.queries[o.Query]
	if q == nil {
		return
	}
	now := l.Clock.Now()
	leg := &Leg{Query: q, No: relay.LegNo(len(q.Legs)), Unit: o.Unit, Asked: now, Until: q.Until}
	if o.Wait > 0 {
		leg.Until = math.Min(leg.Until, now+o.Wait)
	}
	if o.By > 0 {
		leg.SendBy(o.By)
	}
	q.Legs = append(q.Legs, leg)
	q.open++
	l.send(leg)
}

func (l *Loop) recall(o relay.Recall) {
	if q := l.queries[o.Query]; q != nil && o.Leg >= 0 && int(o.Leg) < len(q.Legs) {
		if leg := q.Legs[o.Leg]; !leg.Ended {
			leg.SendBy(l.Clock.Now())
			l.Units.Recall(leg)
		}
	}
}

func (l *Loop) cancel(o relay.CancelLeg) {
	if q := l.queries[o.Query]; q != nil && o.Leg >= 0 && int(o.Leg) < len(q.Legs) {
		if leg := q.Legs[o.Leg]; !leg.Ended {
			l.Units.Drop(leg)
			l.End(leg, Ending{How: relay.Cancelled, Took: l.Clock.Now() - leg.Asked})
		}
	}
}
