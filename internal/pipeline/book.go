package pipeline

import (
	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// Ending is how a leg ended.
type AttemptResult struct {
	Outcome    relay.Outcome
	Duration   relay.Seconds
	LoadReport []float32
	Response   *buffer.Chain // of an honoured leg: what the client gets
}

var legCounters = [...]metrics.Counter{relay.Succeeded: metrics.AttemptSucceeded, relay.Errored: metrics.AttemptErrored,
	relay.RejectedByEndpoint: metrics.AttemptRejected, relay.TimedOut: metrics.AttemptTimedOut, relay.ConnectFailed: metrics.AttemptConnectFailed,
	relay.ConnectionBroken: metrics.AttemptConnectionBroken, relay.Cancelled: metrics.AttemptCancelled, relay.NotSent: metrics.AttemptNotSent}

// End books the end of a leg, once; a second end is ignored. Only on the loop.
func (l *Loop) EndAttempt(leg *Attempt, e AttemptResult) {
	if leg.Ended {
		e.Response.Free()
		return
	}
	leg.Ended = true
	if leg.Request == nil {
		e.Response.Free()
		l.AddEvent(relay.HealthCheckEnded{Endpoint: leg.Endpoint, Duration: e.Duration, Outcome: e.Outcome, LoadReport: e.LoadReport})
		return
	}
	l.Metrics.Add(metrics.AttemptsOpen, -1)
	l.Metrics.Add(legCounters[e.Outcome], 1)
	q := leg.Request
	q.open--
	if e.Outcome == relay.Succeeded && q.Status == StatusOpen {
		l.pass(q, e.Response)
	} else {
		e.Response.Free()
	}
	l.AddEvent(relay.AttemptEnded{Request: q.ID, Attempt: leg.Number, Endpoint: leg.Endpoint, Outcome: e.Outcome, Duration: e.Duration,
		RequestFinished: q.Status != StatusOpen, LoadReport: e.LoadReport})
	l.forget(q)
}

var finalCounters = [...]metrics.Counter{StatusSucceeded: metrics.Succeeded, StatusRejected: metrics.Rejected,
	StatusFailed: metrics.Failed, StatusClientLeft: metrics.ClientLeft}

// finish books the end of a query.
func (l *Loop) finish(q *Request, how RequestStatus) {
	q.Status = how
	l.Metrics.Add(metrics.Open, -1)
	l.Metrics.Add(finalCounters[how], 1)
	q.Text.Free()
	l.forget(q)
}

// forget lists the record of a query that is over and has no leg out. It goes once the module has seen the
// end: orders of the step that is under way may still be about it.
func (l *Loop) forget(q *Request) {
	if q.Status != StatusOpen && q.open == 0 && !q.over {
		q.over = true
		l.over = append(l.over, q)
	}
}

// sweep drops the records of the first n queries listed, which the module now knows to be over.
func (l *Loop) sweep(n int) {
	for _, q := range l.over[:n] {
		if q.open == 0 && l.queries[q.ID] == q {
			delete(l.queries, q.ID)
		}
	}
	rest := copy(l.over, l.over[n:])
	clear(l.over[rest:])
	l.over = l.over[:rest]
}
