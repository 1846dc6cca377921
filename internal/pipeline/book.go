package pipeline

import (
	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// Ending is how a leg ended.
type Ending struct {
	How    relay.Outcome
	Took   relay.Seconds
	Report []float32
	Answer *buffer.Chain // of an honoured leg: what the client gets
}

var legCounters = [...]metrics.ID{relay.Succeeded: metrics.LegHonoured, relay.Errored: metrics.LegErrored,
	relay.RejectedByEndpoint: metrics.LegTurnedAway, relay.TimedOut: metrics.LegTimedOut, relay.ConnectFailed: metrics.LegNoConnect,
	relay.ConnectionBroken: metrics.LegBroken, relay.Cancelled: metrics.LegCancelled, relay.NotSent: metrics.LegNotSent}

// End books the end of a leg, once; a second end is ignored. Only on the loop.
func (l *Loop) End(leg *Leg, e Ending) {
	if leg.Ended {
		e.Answer.Free()
		return
	}
	leg.Ended = true
	if leg.Query == nil {
		e.Answer.Free()
		l.Learn(relay.HealthCheckEnded{Endpoint: leg.Unit, Duration: e.Took, Outcome: e.How, LoadReport: e.Report})
		return
	}
	l.Stats.Add(metrics.LegsOpen, -1)
	l.Stats.Add(legCounters[e.How], 1)
	q := leg.Query
	q.open--
	if e.How == relay.Succeeded && q.Final == StillOpen {
		l.pass(q, e.Answer)
	} else {
		e.Answer.Free()
	}
	l.Learn(relay.AttemptEnded{Request: q.ID, Attempt: leg.No, Endpoint: leg.Unit, Outcome: e.How, Duration: e.Took,
		RequestFinished: q.Final != StillOpen, LoadReport: e.Report})
	l.forget(q)
}

var finalCounters = [...]metrics.ID{IsHonoured: metrics.Honoured, IsDenied: metrics.Denied,
	IsWrittenOff: metrics.WrittenOff, HasLeft: metrics.Left}

// finish books the end of a query.
func (l *Loop) finish(q *Query, how Final) {
	q.Final = how
	l.Stats.Add(metrics.Open, -1)
	l.Stats.Add(finalCounters[how], 1)
	q.Text.Free()
	l.forget(q)
}

// forget lists the record of a query that is over and has no leg out. It goes once the module has seen the
// end: orders of the step that is under way may still be about it.
func (l *Loop) forget(q *Query) {
	if q.Final != StillOpen && q.open == 0 && !q.over {
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
