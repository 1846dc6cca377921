package pipeline

import (
	"math"

	"lichenroad/relay"
)

// route turns the module's choice of an endpoint into an attempt with its deadline. A request that has ended since the
// module last heard of it gets an attempt too, which ends as not sent: each command to send is owed one end.
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
	l.send(attempt)
}

// cancelUnsent lets an attempt go on only if its last byte has been written.
func (l *Loop) cancelUnsent(command relay.CancelUnsent) {
	if attempt := l.openAttempt(command.Request, command.Attempt); attempt != nil {
		attempt.SetSendBy(l.Clock.Now())
		l.Upstream.CancelUnsent(attempt)
	}
}

// cancelAttempt gives an attempt up.
func (l *Loop) cancelAttempt(command relay.CancelAttempt) {
	if attempt := l.openAttempt(command.Request, command.Attempt); attempt != nil {
		l.Upstream.Cancel(attempt)
		l.EndAttempt(attempt, AttemptResult{Outcome: relay.Cancelled, Duration: l.Clock.Now() - attempt.StartedAt})
	}
}

// openAttempt finds an attempt that has not ended; nil if there is none. A command may name one that is over, as the
// module learns of ends only with its next step.
func (l *Loop) openAttempt(id relay.RequestID, number relay.AttemptNumber) *Attempt {
	request := l.requests[id]
	if request == nil || number < 0 || int(number) >= len(request.Attempts) || request.Attempts[number].Ended {
		return nil
	}
	return request.Attempts[number]
}
