package pipeline

import (
	"strconv"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// send hands a leg to the connections of its unit, and gives it up when its time is over.
func (l *Loop) send(leg *Attempt) {
	l.Metrics.Add(metrics.AttemptsSent, 1)
	l.Metrics.Add(metrics.AttemptsOpen, 1)
	if leg.Request.Status != StatusOpen {
		l.EndAttempt(leg, AttemptResult{Outcome: relay.NotSent})
		return
	}
	l.RunAt(leg.Deadline, func() {
		if leg.Ended {
			return
		}
		how := relay.TimedOut
		if !l.Upstream.Cancel(leg) {
			how = relay.ConnectFailed // it never left this relay
		}
		l.EndAttempt(leg, AttemptResult{Outcome: how, Duration: l.Clock.Now() - leg.StartedAt})
	})
	l.Upstream.Send(leg)
}

// Message is what goes to a unit: the statement as it came, but for the time that this relay will wait.
func (leg *Attempt) Message(pool *buffer.Pool, now relay.Seconds) *buffer.Chain {
	q := leg.Request
	wait := strconv.FormatInt(max(1, int64((leg.Deadline-now)*1000)), 10)
	size := q.Text.Len() - (q.DeadlineEnd - q.DeadlineStart) + len(wait)
	out := pool.Chain()
	out.Write(pgwire.Header(nil, 'Q', size))
	out.Append(q.Text, 0, q.DeadlineStart)
	out.Write([]byte(wait))
	out.Append(q.Text, q.DeadlineEnd, q.Text.Len())
	return out
}
