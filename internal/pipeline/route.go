package pipeline

import (
	"math"

	"lichenroad/relay"
)

// route creates an attempt, with its deadline, for a command to send a request to an endpoint. If the request has ended
// without the module knowing yet, the attempt is still created and ends as not sent: each SendAttempt command has to be
// answered by exactly one AttemptEnded event.
func (l *Loop) route(command relay.SendAttempt) {
	request := l.requests[command.Request]
	if request == nil {
		return
	}
	now := l.Clock.Now()
	attempt := &Attempt{
		Request:   request,
		Number:    relay.AttemptNumber(len(request.Attempts)),
		Endpoint:  command.Endpoint,
		StartedAt: now,
		Deadline:  request.Deadline,
	}
	if command.Timeout > 0 {
		attempt.Deadline = math.Min(attempt.Deadline, now+command.Timeout)
	}
	if command.SendBy > 0 {
		attempt.SetSendBy(command.SendBy)
	}
	request.Attempts = append(request.Attempts, attempt)
	request.openAttempts++
	if attempt.Number > 0 && request.Status == StatusOpen {
		l.requestLog.retried(request, attempt)
	}
	l.send(attempt)
}

// cancelUnsent ends an attempt as not sent unless its last byte has been written.
func (l *Loop) cancelUnsent(command relay.CancelUnsent) {
	if attempt := l.openAttempt(command.Request, command.Attempt); attempt != nil {
		attempt.SetSendBy(l.Clock.Now())
		l.Upstream.CancelUnsent(attempt)
	}
}

// cancelAttempt cancels an attempt whether or not it has been sent.
func (l *Loop) cancelAttempt(command relay.CancelAttempt) {
	if attempt := l.openAttempt(command.Request, command.Attempt); attempt != nil {
		sent := l.Upstream.Cancel(attempt)
		l.EndAttempt(attempt, AttemptResult{Outcome: relay.Cancelled, Duration: l.Clock.Now() - attempt.StartedAt, Unsent: !sent})
	}
}

// openAttempt returns the attempt if it has not ended, otherwise nil. A command may refer to an attempt that has ended,
// because the module is notified of the end only in its next step.
func (l *Loop) openAttempt(id relay.RequestID, number relay.AttemptNumber) *Attempt {
	request := l.requests[id]
	if request == nil || number < 0 || int(number) >= len(request.Attempts) || request.Attempts[number].Ended {
		return nil
	}
	return request.Attempts[number]
}
