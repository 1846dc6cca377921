package pipeline

import (
	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// AttemptResult describes how an attempt or a health check ended. Duration counts from the last byte sent if a response
// came or the connection broke, and from the command otherwise.
type AttemptResult struct {
	Outcome    relay.Outcome
	Duration   relay.Seconds
	LoadReport []float32     // in the order of the fields in the settings; nil if there is none
	Response   *buffer.Chain // forwarded to the client; set only if the attempt succeeded
	Unsent     bool          // its last byte was never written; set for cancelled attempts, whose outcome doesn't tell
}

var outcomeCounters = [...]metrics.Counter{
	relay.Succeeded:          metrics.AttemptSucceeded,
	relay.Errored:            metrics.AttemptErrored,
	relay.RejectedByEndpoint: metrics.AttemptRejected,
	relay.TimedOut:           metrics.AttemptTimedOut,
	relay.ConnectFailed:      metrics.AttemptConnectFailed,
	relay.ConnectionBroken:   metrics.AttemptConnectionBroken,
	relay.Cancelled:          metrics.AttemptCancelled,
	relay.NotSent:            metrics.AttemptNotSent,
}

var statusCounters = [...]metrics.Counter{
	StatusSucceeded:  metrics.Succeeded,
	StatusRejected:   metrics.Rejected,
	StatusFailed:     metrics.Failed,
	StatusClientLeft: metrics.ClientLeft,
}

// EndAttempt records the end of an attempt or a health check and reports it to the decision module. The response of a
// successful attempt goes to the client if the request is still open. Only the first call for an attempt counts.
// EndAttempt takes ownership of result.Response. Must run on the loop goroutine.
func (l *Loop) EndAttempt(attempt *Attempt, result AttemptResult) {
	if attempt.Ended {
		result.Response.Free()
		return
	}
	attempt.Ended = true
	l.StopTimer(attempt.timeout)
	if attempt.Request == nil {
		l.endHealthCheck(attempt, result)
		return
	}
	l.Metrics.Add(metrics.AttemptsOpen, -1)
	l.Metrics.Add(outcomeCounters[result.Outcome], 1)
	request := attempt.Request
	request.openAttempts--
	request.recordRun(attempt, result)
	attempt.outcome = result.Outcome
	if result.Outcome == relay.Succeeded && request.Status == StatusOpen {
		l.respond(request, result.Response)
	} else {
		result.Response.Free()
	}
	l.AddEvent(relay.AttemptEnded{
		Request:         request.ID,
		Attempt:         attempt.Number,
		Endpoint:        attempt.Endpoint,
		Outcome:         result.Outcome,
		Duration:        result.Duration,
		RequestFinished: request.Status != StatusOpen,
		LoadReport:      result.LoadReport,
	})
	l.markFinished(request)
}

// recordRun records whether an attempt that has ended has run or may still be run.
func (r *Request) recordRun(attempt *Attempt, result AttemptResult) {
	switch {
	case result.Outcome.NeverRan() || result.Unsent:
	case result.Outcome == relay.Succeeded || result.Outcome == relay.Errored:
		r.ran = true
	default:
		r.startsBefore = max(r.startsBefore, attempt.Deadline)
	}
}

// settleID records what becomes of the id of a request that is over: it is kept unless the request never ran.
func (l *Loop) settleID(request *Request) {
	if !request.holdsID {
		return
	}
	request.holdsID = false
	id, now := request.Query.ID, l.Clock.Now()
	switch {
	case request.startsBefore > 0:
		l.ids.keepMayRun(id, request.startsBefore, l.Site.MaxDeadline(), now)
	case request.ran:
		l.ids.keepRan(id, now)
	default:
		l.ids.release(id)
	}
}

func (l *Loop) endHealthCheck(attempt *Attempt, result AttemptResult) {
	result.Response.Free()
	l.AddEvent(relay.HealthCheckEnded{
		Endpoint:   attempt.Endpoint,
		Duration:   result.Duration,
		Outcome:    result.Outcome,
		LoadReport: result.LoadReport,
	})
}

// finish sets the final status of a request, counts it and frees its body.
func (l *Loop) finish(request *Request, status RequestStatus) {
	request.Status = status
	l.Metrics.Add(metrics.Open, -1)
	l.Metrics.Add(statusCounters[status], 1)
	request.Body.Free()
	l.markFinished(request)
}

// markFinished queues the record of a request for removal if the request and all its attempts have ended. The record
// stays until the module has been notified of the end, because commands of the current step may still refer to it.
func (l *Loop) markFinished(request *Request) {
	if request.Status != StatusOpen && request.openAttempts == 0 && !request.finished {
		request.finished = true
		l.finished = append(l.finished, request)
		l.settleID(request)
	}
}

// dropFinished removes the records of the first count requests in l.finished, of whose end the module was notified.
func (l *Loop) dropFinished(count int) {
	for _, request := range l.finished[:count] {
		if request.openAttempts == 0 && l.requests[request.ID] == request {
			delete(l.requests, request.ID)
		}
	}
	remaining := copy(l.finished, l.finished[count:])
	clear(l.finished[remaining:])
	l.finished = l.finished[:remaining]
}
