package scale

import (
	"math"

	"lichenroad/relay"
)

// deadlineMargin is how long before its client's deadline, in seconds, an attempt ends at the latest.
const deadlineMargin = 1e-4

// request is one request that a hollow relay has received.
type request struct {
	details      relay.Request
	work         float64 // in seconds of a standard core
	deadline     float64 // when its client disconnects
	attempts     []attempt
	finished     bool // its client has a response, or none is owed
	openAttempts int
}

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	endpoint *endpoint // nil: not known
	sentAt   float64
	outcome  relay.Outcome // with which it will end, unless something happens to the endpoint
	ended    bool
}

// receiveRequest passes a client's request to the decision code.
func (h *hollowRelay) receiveRequest(now float64) {
	details, work := h.requestSource.next(now - h.startedAt)
	r := &request{details: details, work: work, deadline: details.Deadline + h.startedAt}
	h.requests[details.ID] = r
	h.meter.requests.Received++
	h.checker.receiveRequest(now)
	h.timers.set(timer{at: r.deadline, kind: deadlineTimer, request: r})
	h.step(now, details)
}

// sendAttempt starts an attempt and draws how and when it will end.
func (h *hollowRelay) sendAttempt(now float64, command relay.SendAttempt) {
	r := h.requests[command.Request]
	if r == nil {
		return
	}
	e := h.service.byID[command.Endpoint]
	if e == nil {
		h.unknownEndpoints++
		h.addAttempt(r, attempt{sentAt: now, outcome: relay.ConnectFailed}, now)
		return
	}
	h.checker.checkAttempt(now, r, e, h.simulation.unreachableTime(h.region, e.drainListedAt, now))
	h.meter.requests.Attempts++
	if e.slowStartFraction(now) < 1 {
		work := r.work * machineKinds[e.kind].slowdown
		h.sendQueue.slowStartAttempts = append(h.sendQueue.slowStartAttempts, slowStartAttempt{e, now, work})
	}
	result := e.drawResult(now, h.place, r.work, h.service.platform.defect(e.build), h.random)
	if !h.simulation.network.reaches(h.region, e.region) {
		result = attemptResult{relay.ConnectFailed, h.service.settings.Limits.ConnectTimeout}
	}
	outcome, end := result.outcome, now+result.duration
	latest := r.deadline - deadlineMargin
	if command.Timeout > 0 {
		latest = math.Min(latest, now+command.Timeout)
	}
	if end > latest {
		outcome, end = relay.TimedOut, math.Max(latest, now)
	}
	h.addAttempt(r, attempt{endpoint: e, sentAt: now, outcome: outcome}, end)
}

// addAttempt records an attempt that will end at a time.
func (h *hollowRelay) addAttempt(r *request, a attempt, endsAt float64) {
	index := len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	h.timers.set(timer{at: endsAt, kind: attemptTimer, request: r, attempt: int32(index)})
}

// endAttempt ends an attempt, unless it has ended before. Its connection is broken if the endpoint's process ended meanwhile.
func (h *hollowRelay) endAttempt(now float64, r *request, index int) {
	a := &r.attempts[index]
	if a.ended {
		return
	}
	wasRunning := a.endpoint != nil && a.outcome != relay.ConnectFailed && a.outcome != relay.Cancelled
	if wasRunning && a.endpoint.endedAt > a.sentAt && a.endpoint.endedAt <= now {
		a.outcome = relay.ConnectionBroken
	}
	a.ended = true
	r.openAttempts--
	if a.outcome == relay.Succeeded && !r.finished {
		r.finished = true
		h.meter.requests.Succeeded++
	}
	event := relay.AttemptEnded{
		Request:         r.details.ID,
		Attempt:         relay.AttemptNumber(index),
		Outcome:         a.outcome,
		Duration:        now - a.sentAt,
		RequestFinished: r.finished,
	}
	if a.endpoint != nil {
		event.Endpoint = a.endpoint.id
	}
	h.step(now, event)
	h.forgetIfDone(r)
}

// cancelAttempt ends an attempt as cancelled, in an event of its own.
func (h *hollowRelay) cancelAttempt(now float64, command relay.CancelAttempt) {
	r := h.requests[command.Request]
	if r == nil || int(command.Attempt) >= len(r.attempts) || r.attempts[command.Attempt].ended {
		return
	}
	r.attempts[command.Attempt].outcome = relay.Cancelled
	h.timers.set(timer{at: now, kind: attemptTimer, request: r, attempt: int32(command.Attempt)})
}

// finishRequest finishes a request with the relay's own response, which is counted.
func (h *hollowRelay) finishRequest(id relay.RequestID, count *int64) {
	r := h.requests[id]
	if r == nil || r.finished {
		return
	}
	r.finished = true
	*count++
	h.forgetIfDone(r)
}

// disconnectClient ends a request whose client has waited until its deadline.
func (h *hollowRelay) disconnectClient(now float64, r *request) {
	if r.finished {
		return
	}
	r.finished = true
	h.meter.requests.ClientsDisconnected++
	h.step(now, relay.ClientDisconnected{Request: r.details.ID})
	h.forgetIfDone(r)
}

// forgetIfDone drops a request that is finished and has no open attempt.
func (h *hollowRelay) forgetIfDone(r *request) {
	if r.finished && r.openAttempts == 0 {
		delete(h.requests, r.details.ID)
	}
}
