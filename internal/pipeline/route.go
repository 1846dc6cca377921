package pipeline

import (
	"math"

	"lichenroad/relay"
)

// route turns the module's choice of a unit into a leg with its time-out. A query that has ended since the
// module was last told gets a leg too, which ends as not sent: each order to send is owed one end.
func (l *Loop) route(o relay.SendAttempt) {
	q := l.queries[o.Request]
	if q == nil {
		return
	}
	now := l.Clock.Now()
	leg := &Leg{Query: q, No: relay.AttemptNumber(len(q.Legs)), Unit: o.Endpoint, Asked: now, Until: q.Until}
	if o.Timeout > 0 {
		leg.Until = math.Min(leg.Until, now+o.Timeout)
	}
	if o.SendBy > 0 {
		leg.SendBy(o.SendBy)
	}
	q.Legs = append(q.Legs, leg)
	q.open++
	l.send(leg)
}

func (l *Loop) recall(o relay.CancelUnsent) {
	if q := l.queries[o.Request]; q != nil && o.Attempt >= 0 && int(o.Attempt) < len(q.Legs) {
		if leg := q.Legs[o.Attempt]; !leg.Ended {
			leg.SendBy(l.Clock.Now())
			l.Units.Recall(leg)
		}
	}
}

func (l *Loop) cancel(o relay.CancelAttempt) {
	if q := l.queries[o.Request]; q != nil && o.Attempt >= 0 && int(o.Attempt) < len(q.Legs) {
		if leg := q.Legs[o.Attempt]; !leg.Ended {
			l.Units.Drop(leg)
			l.End(leg, Ending{How: relay.Cancelled, Took: l.Clock.Now() - leg.Asked})
		}
	}
}
