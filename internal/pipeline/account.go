package pipeline

import (
	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// AttemptResult is how an attempt or a health check ended.
type AttemptResult struct {
	Outcome    relay.Outcome
	Duration   relay.Seconds // of a response or a break from the last byte sent, else from the command
	LoadReport []float32     // in the order of the settings' fields; nil: none
	Response   *buffer.Chain // of an attempt that succeeded: what the client gets
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

// EndAttempt records the end of an attempt or a health check and reports it to the module. Only the first end of an
// attempt counts. It takes result.Response over. Only on the loop.
func (l *Loop) EndAttempt(attempt *Attempt, result AttemptResult) {
	if attempt.Ended {
		result.Response.Free()
		return
	}
	attempt.Ended = true
	if attempt.Request == nil {
		l.endHealthCheck(attempt, result)
		return
	}
	l.Metrics.Add(metrics.AttemptsOpen, -1)
	l.Metrics.Add(outcomeCounters[result.Outcome], 1)
	request := attempt.Request
	request.openAttempts--
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

func (l *Loop) endHealthCheck(attempt *Attempt, result AttemptResult) {
	result.Response.Free()
	l.AddEvent(relay.HealthCheckEnded{
		Endpoint:   attempt.Endpoint,
		Duration:   result.Duration,
		Outcome:    result.Outcome,
		LoadReport: result.LoadReport,
	})
}

// finish records the end of a request.
func (l *Loop) finish(request *Request, status RequestStatus) {
	request.Status = status
	l.Metrics.Add(metrics.Open, -1)
	l.Metrics.Add(statusCounters[status], 1)
	request.Body.Free()
	l.markFinished(request)
}

// markFinished lists the record of a request that has ended, as has each of its attempts. The record is dropped once the
// module has seen the end: commands of the step that is under way may still name it.
func (l *Loop) markFinished(request *Request) {
	if request.Status != StatusOpen && request.openAttempts == 0 && !request.finished {
		request.finished = true
		l.finished = append(l.finished, request)
	}
}

// dropFinished drops the records of the first count requests listed, whose end the module has seen by now.
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
