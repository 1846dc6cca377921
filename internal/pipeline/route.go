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
	leg := &Attempt{Request: q, Number: relay.AttemptNumber(len(q.Attempts)), Endpoint: o.Endpoint, StartedAt: now, Deadline: q.Deadline}
	if o.Timeout > 0 {
		leg.Deadline = math.Min(leg.Deadline, now+o.Timeout)
	}
	if o.SendBy > 0 {
		leg.SetSendBy(o.SendBy)
	}
	q.Attempts = append(q.Attempts, leg)
	q.open++
	l.send(leg)
}

func (l *Loop) recall(o relay.CancelUnsent) {
	if q := l.queries[o.Request]; q != nil && o.Attempt >= 0 && int(o.Attempt) < len(q.Attempts) {
		if leg := q.Attempts[o.Attempt]; !leg.Ended {
			leg.SetSendBy(l.Clock.Now())
			l.Upstream.CancelUnsent(leg)
		}
	}
}

func (l *Loop) cancel(o relay.CancelAttempt) {
	if q := l.queries[o.Request]; q != nil && o.Attempt >= 0 && int(o.Attempt) < len(q.Attempts) {
		if leg := q.Attempts[o.Attempt]; !leg.Ended {
			l.Upstream.Cancel(leg)
			l.EndAttempt(leg, AttemptResult{Outcome: relay.Cancelled, Duration: l.Clock.Now() - leg.StartedAt})
		}
	}
}
