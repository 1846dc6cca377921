package scale

import (
	"math"

	"lichenroad/relay"
)

// deadlineMargin is the minimum time, in seconds, between the end of an attempt and its client's deadline.
const deadlineMargin = 1e-4

// request is one request that a hollow relay has received.
type request struct {
	details      relay.Request
	work         float64 // work in seconds of a standard core
	deadline     float64 // time at which its client disconnects
	attempts     []attempt
	finished     bool // whether its client has received a response or has disconnected
	openAttempts int  // number of attempts that have not ended
}

// attempt is one attempt to have a request served by an endpoint.
type attempt struct {
	endpoint *endpoint // nil if the endpoint is unknown
	sentAt   float64
	outcome  relay.Outcome // outcome drawn when it was sent; the end of the endpoint's process or a cancellation changes it
	ended    bool
}

// receiveRequest draws a client's next request and passes it to the decision code.
func (h *hollowRelay) receiveRequest(now float64) {
	details, work := h.requestSource.next(now - h.startedAt)
	r := &request{details: details, work: work, deadline: details.Deadline + h.startedAt}
	h.requests[details.ID] = r
	h.meter.requests.Received++
	h.checker.receiveRequest(now)
	h.timers.set(timer{at: r.deadline, kind: deadlineTimer, request: r})
	h.step(now, details)
}

// sendAttempt starts an attempt and draws its outcome and its duration.
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
	result := e.drawResult(now, h.place, r.work, h.service.platform.defectOf(e.build), h.random)
	if !h.simulation.network.connected(h.region, e.region) {
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

// addAttempt records an attempt and schedules its end.
func (h *hollowRelay) addAttempt(r *request, a attempt, endsAt float64) {
	index := len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	h.timers.set(timer{at: endsAt, kind: attemptTimer, request: r, attempt: int32(index)})
}

// endAttempt ends an attempt, unless it has already ended. If the endpoint's process ended meanwhile, the outcome is a broken
// connection.
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
	h.removeIfDone(r)
}

// cancelAttempt schedules the end of an attempt as cancelled, as a separate event at the same time.
func (h *hollowRelay) cancelAttempt(now float64, command relay.CancelAttempt) {
	r := h.requests[command.Request]
	if r == nil || int(command.Attempt) >= len(r.attempts) || r.attempts[command.Attempt].ended {
		return
	}
	r.attempts[command.Attempt].outcome = relay.Cancelled
	h.timers.set(timer{at: now, kind: attemptTimer, request: r, attempt: int32(command.Attempt)})
}

// finishRequest finishes a request with a response from the relay itself, and increments count.
func (h *hollowRelay) finishRequest(id relay.RequestID, count *int64) {
	r := h.requests[id]
	if r == nil || r.finished {
		return
	}
	r.finished = true
	*count++
	h.removeIfDone(r)
}

// disconnectClient ends a request whose client has reached its deadline without a response.
func (h *hollowRelay) disconnectClient(now float64, r *request) {
	if r.finished {
		return
	}
	r.finished = true
	h.meter.requests.ClientsDisconnected++
	h.step(now, relay.ClientDisconnected{Request: r.details.ID})
	h.removeIfDone(r)
}

// removeIfDone removes a request that is finished and has no open attempts.
func (h *hollowRelay) removeIfDone(r *request) {
	if r.finished && r.openAttempts == 0 {
		delete(h.requests, r.details.ID)
	}
}
