package pipeline

import (
	"strconv"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// send hands a leg to the connections of its unit, and gives it up when its time is over.
func (l *Loop) send(leg *Leg) {
	l.Stats.Add(metrics.LegsSent, 1)
	l.Stats.Add(metrics.LegsOpen, 1)
	if leg.Query.Final != StillOpen {
		l.End(leg, Ending{How: relay.NotSent})
		return
	}
	l.At(leg.Until, func() {
		if leg.Ended {
			return
		}
		how := relay.TimedOut
		if !l.Units.Drop(leg) {
			how = relay.ConnectFailed // it never left this relay
		}
		l.End(leg, Ending{How: how, Took: l.Clock.Now() - leg.Asked})
	})
	l.Units.Send(leg)
}

// Message is what goes to a unit: the statement as it came, but for the time that this relay will wait.
func (leg *Leg) Message(pool *buffer.Pool, now relay.Seconds) *buffer.Chain {
	q := leg.Query
	wait := strconv.FormatInt(max(1, int64((leg.Until-now)*1000)), 10)
	size := q.Text.Len() - (q.PatienceEnd - q.PatienceAt) + len(wait)
	out := pool.Chain()
	out.Write(pgwire.Header(nil, 'Q', size))
	out.Append(q.Text, 0, q.PatienceAt)
	out.Write([]byte(wait))
	out.Append(q.Text, q.PatienceEnd, q.Text.Len())
	return out
}
