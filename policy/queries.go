// The life of a query at this relay, from its arrival to its final answer.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	tickInterval   = 0.05 // s between looks at overdue legs, held queries and votes: small beside any due time
	deadlineMargin = 0.06 // s before patience ends that a query without a leg is answered: just over a tick
	flowBucketTime = 0.5  // s a bucket of legs and queries
	flowBuckets    = 4    // buckets: 2 s, long enough for small relays, short enough for a loss
)

func (d *router) take(n message) {
	switch n := n.(type) {
	case relay.Request:
		if d.requests[n.ID] != nil {
			return
		}
		if n.Class < 0 || int(n.Class) >= len(d.p.classes) {
			d.p.emit(relay.Fail{Request: n.ID})
			return
		}
		q := &trackedRequest{Request: n, class: &d.p.classes[n.Class], arrivedAt: d.p.now}
		q.objectiveAt = q.arrivedAt + math.Min(q.class.objective+q.class.objectivePerWork*n.Work, math.Max(q.class.deadline, q.class.objective))
		d.requests[n.ID] = q
		d.openRequests = append(d.openRequests, q)
		d.openInTime++
		d.p.canary.requestArrived(q)
		if d.p.admission.rejects(q) || d.p.endpoints.leaseExpired() {
			d.giveUp(q)
			return
		}
		d.route(q)
	case relay.AttemptEnded:
		d.attemptEnded(n)
	case relay.StreamStarted:
		if q := d.requests[n.Request]; q != nil {
			q.streaming = true
			d.finish(q)
		}
	case relay.ClientDisconnected:
		if q := d.requests[n.Request]; q != nil {
			d.finish(q)
		}
	case tickMessage:
		d.checkOpenRequests()
	}
}

func (d *router) attemptEnded(n relay.AttemptEnded) {
	q := d.requests[n.Request]
	if q == nil || n.Attempt < 0 || int(n.Attempt) >= len(q.attempts) || !q.attempts[n.Attempt].open {
		return
	}
	l := &q.attempts[n.Attempt]
	l.open, l.mayHaveRun = false, !n.Outcome.NeverRan()
	o := attemptOutcome{class: q.Class, attempt: *l, outcome: n.Outcome, duration: n.Duration,
		work: q.expectedWork(), objective: q.objectiveAt - q.arrivedAt}
	d.p.send(l.endpoint, o)
	d.p.send(&d.p.admission, o)
	if n.Outcome == relay.Succeeded {
		d.attemptDuration.add(n.Duration, fleetRatioStep)
		d.successes.add(d.p.now, 0, 1)
		d.p.canary.requestAnswered(q, l.build)
	}
	switch {
	case n.RequestFinished:
		d.finish(q)
	case q.finished || q.openCount() > 0:
	case n.Outcome == relay.RejectedByEndpoint && float64(d.openInTime) > fleetFullFraction*d.p.admission.limit():
		d.giveUp(q) // the fleet is full: more legs would only feed it
	default:
		d.route(q)
	}
}

// settle ends a query and its legs.
func (d *router) finish(q *trackedRequest) {
	if !q.finished && !q.late {
		d.openInTime--
	}
	q.finished = true
	if d.p.settings.Limits.CancelAttempts && !q.streaming {
		d.cancelAttempts(q)
	}
}

// look goes over the open queries: held ones, due times, patience.
func (d *router) checkOpenRequests() {
	warm, all := d.p.endpoints.countReady()
	if d.headroom = 0; d.objectiveUsage.samples >= minRatioSamples {
		d.headroom = math.Min(math.Max(2-2*d.objectiveUsage.value/maxObjectiveUsage, 0), 1)
	}
	d.usableFraction = warm / math.Max(all, 1) * d.headroom // only the budget holds in an overload, or if not known
	d.evenRate = d.successes.all(d.p.now, 0) / (flowBucketTime * flowBuckets) / math.Max(all, 1)
	left := d.openRequests[:0]
	for _, q := range d.openRequests {
		if !q.finished && !q.late && d.p.now > q.objectiveAt {
			// Too late to be worth a place in the gate's limit: legs that a unit swallows must not shut it.
			q.late = true
			d.openInTime--
			for _, l := range q.openAttempts() {
				d.p.send(l.endpoint, objectiveMissed{})
			}
		}
		if !q.finished && q.openCount() == 0 {
			d.route(q)
		}
		if q.finished && q.openCount() == 0 {
			delete(d.requests, q.ID)
			continue
		}
		left = append(left, q)
	}
	clear(d.openRequests[len(left):])
	d.openRequests = left
}

// finish gives all final answers but an honoured leg's: a denial where trying again is harmless.
func (d *router) giveUp(q *trackedRequest) {
	if q.finished {
		return
	}
	harmless := q.class.idempotency == relay.Idempotent || !q.mayHaveRun() ||
		q.class.idempotency == relay.IdempotencyKeyed && q.class.dedupScope == relay.DedupAll
	switch {
	case !harmless:
		d.p.emit(relay.Fail{Request: q.ID})
	case d.p.settings.Limits.RetryAfter:
		d.p.emit(relay.Reject{Request: q.ID, RetryAfter: d.p.settings.Limits.MaxRetryAfter})
	default:
		d.p.emit(relay.Reject{Request: q.ID})
	}
	d.finish(q)
}

// dedupDeadline is when a repeat of a numbered query must have been written to its last byte; 0: no such time.
func (q *trackedRequest) dedupDeadline() relay.Seconds {
	for i := range q.attempts {
		if q.class.idempotency == relay.IdempotencyKeyed && q.attempts[i].mayHaveRun {
			return q.attempts[i].sentAt + q.class.dedupWindow
		}
	}
	return 0
}
