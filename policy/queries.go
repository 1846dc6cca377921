// The life of a query at this relay, from its arrival to its final answer.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	tick         = 0.05 // s between looks at overdue legs, held queries and votes: small beside any due time
	patienceEdge = 0.06 // s before patience ends that a query without a leg is answered: just over a tick
	flowWidth    = 0.5  // s a bucket of legs and queries
	flowCount    = 4    // buckets: 2 s, long enough for small relays, short enough for a loss
)

func (d *desk) take(n note) {
	switch n := n.(type) {
	case relay.Request:
		if d.queries[n.ID] != nil {
			return
		}
		if n.Class < 0 || int(n.Class) >= len(d.p.rows) {
			d.p.do(relay.Fail{Request: n.ID})
			return
		}
		q := &query{Request: n, row: &d.p.rows[n.Class], at: d.p.now}
		q.due = q.at + math.Min(q.row.due+q.row.stretch*n.Work, math.Max(q.row.patience, q.row.due))
		d.queries[n.ID] = q
		d.open = append(d.open, q)
		d.inTime++
		d.p.trial.took(q)
		if d.p.gate.denies(q) || d.p.roster.expired() {
			d.finish(q)
			return
		}
		d.route(q)
	case relay.AttemptEnded:
		d.ended(n)
	case relay.StreamStarted:
		if q := d.queries[n.Request]; q != nil {
			q.stream = true
			d.settle(q)
		}
	case relay.ClientDisconnected:
		if q := d.queries[n.Request]; q != nil {
			d.settle(q)
		}
	case noteTick:
		d.look()
	}
}

func (d *desk) ended(n relay.AttemptEnded) {
	q := d.queries[n.Request]
	if q == nil || n.Attempt < 0 || int(n.Attempt) >= len(q.legs) || !q.legs[n.Attempt].open {
		return
	}
	l := &q.legs[n.Attempt]
	l.open, l.mayRan = false, !n.Outcome.NeverRan()
	o := noteOutcome{category: q.Class, leg: *l, how: n.Outcome, took: n.Duration,
		work: q.work(), due: q.due - q.at}
	d.p.post(l.unit, o)
	d.p.post(&d.p.gate, o)
	if n.Outcome == relay.Succeeded {
		d.usual.add(n.Duration, paceFleet)
		d.flow.add(d.p.now, 0, 1)
		d.p.trial.answered(q, l.build)
	}
	switch {
	case n.RequestFinished:
		d.settle(q)
	case q.over || q.out() > 0:
	case n.Outcome == relay.RejectedByEndpoint && float64(d.inTime) > fullDenial*d.p.gate.limit():
		d.finish(q) // the fleet is full: more legs would only feed it
	default:
		d.route(q)
	}
}

// settle ends a query and its legs.
func (d *desk) settle(q *query) {
	if !q.over && !q.overdue {
		d.inTime--
	}
	q.over = true
	if d.p.set.Limits.CancelAttempts && !q.stream {
		d.cancel(q)
	}
}

// look goes over the open queries: held ones, due times, patience.
func (d *desk) look() {
	warm, all := d.p.roster.warm()
	if d.ease = 0; d.strain.n >= leastPace {
		d.ease = math.Min(math.Max(2-2*d.strain.v/gateWait, 0), 1)
	}
	d.choice = warm / math.Max(all, 1) * d.ease // only the budget holds in an overload, or if not known
	d.evenFlow = d.flow.all(d.p.now, 0) / (flowWidth * flowCount) / math.Max(all, 1)
	left := d.open[:0]
	for _, q := range d.open {
		if !q.over && !q.overdue && d.p.now > q.due {
			// Too late to be worth a place in the gate's limit: legs that a unit swallows must not shut it.
			q.overdue = true
			d.inTime--
			for _, l := range q.openLegs() {
				d.p.post(l.unit, noteOverdue{})
			}
		}
		if !q.over && q.out() == 0 {
			d.route(q)
		}
		if q.over && q.out() == 0 {
			delete(d.queries, q.ID)
			continue
		}
		left = append(left, q)
	}
	clear(d.open[len(left):])
	d.open = left
}

// finish gives all final answers but an honoured leg's: a denial where trying again is harmless.
func (d *desk) finish(q *query) {
	if q.over {
		return
	}
	harmless := q.row.repeat == relay.Idempotent || !q.mayHaveRun() ||
		q.row.repeat == relay.IdempotencyKeyed && q.row.group == relay.DedupAll
	switch {
	case !harmless:
		d.p.do(relay.Fail{Request: q.ID})
	case d.p.set.Limits.RetryAfter:
		d.p.do(relay.Reject{Request: q.ID, RetryAfter: d.p.set.Limits.MaxRetryAfter})
	default:
		d.p.do(relay.Reject{Request: q.ID})
	}
	d.settle(q)
}

// repeatBy is when a repeat of a numbered query must have been written to its last byte; 0: no such time.
func (q *query) repeatBy() relay.Seconds {
	for i := range q.legs {
		if q.row.repeat == relay.IdempotencyKeyed && q.legs[i].mayRan {
			return q.legs[i].at + q.row.window
		}
	}
	return 0
}
