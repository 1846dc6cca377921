package pipeline

import (
	"strconv"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// send passes an attempt to the upstream connections and sets a timer for its deadline. The attempt of a request that
// has ended is not sent.
func (l *Loop) send(attempt *Attempt) {
	l.Metrics.Add(metrics.AttemptsSent, 1)
	l.Metrics.Add(metrics.AttemptsOpen, 1)
	if attempt.requestEnded() {
		l.EndAttempt(attempt, AttemptResult{Outcome: relay.NotSent})
		return
	}
	attempt.timeout = l.RunAt(attempt.Deadline, func() { l.timeOut(attempt) })
	l.Upstream.Send(attempt)
}

// SendDecision tells whether an attempt is to be sent.
type SendDecision int

const (
	// SendNow means that the attempt may be sent.
	SendNow SendDecision = iota
	// SendLater means that the client may have left: input of it has to be read first.
	SendLater
	// SendNever means that the send-by time has passed, the request has ended, or the client has left.
	SendNever
)

// DecideSend tells whether an attempt is to be sent. It ends a request whose client has left. Must run on the loop goroutine.
func (l *Loop) DecideSend(attempt *Attempt) SendDecision {
	if attempt.SendExpired(l.Clock.Now()) || attempt.requestEnded() {
		return SendNever
	}
	switch attempt.ClientState() {
	case ClientGone:
		l.ClientLeft(attempt.Request)
		return SendNever
	case ClientInputPending:
		return SendLater
	default:
		return SendNow
	}
}

// timeOut ends an attempt at its deadline unless it has already ended.
func (l *Loop) timeOut(attempt *Attempt) {
	if attempt.Ended {
		return
	}
	outcome := relay.TimedOut
	if sent := l.Upstream.Cancel(attempt); !sent {
		outcome = relay.ConnectFailed // the endpoint never got the complete request
	}
	l.EndAttempt(attempt, AttemptResult{Outcome: outcome, Duration: l.Clock.Now() - attempt.StartedAt})
}

// Message builds the Query message for the endpoint: the statement as the client sent it, with its deadline parameter
// replaced by the time in milliseconds that this relay will still wait. The caller frees the message.
func (attempt *Attempt) Message(pool *buffer.Pool, now relay.Seconds) *buffer.Chain {
	const decimal, queryType = 10, 'Q'
	request := attempt.Request
	millis := max(1, int64((attempt.Deadline-now)*millisPerSecond))
	deadline := strconv.FormatInt(millis, decimal)
	size := request.Body.Len() - (request.DeadlineEnd - request.DeadlineStart) + len(deadline)
	message := pool.CopyChain() // the request's body has paid for it
	writeChain(message, pgwire.AppendHeader(nil, queryType, size))
	message.Append(request.Body, 0, request.DeadlineStart)
	writeChain(message, []byte(deadline))
	message.Append(request.Body, request.DeadlineEnd, request.Body.Len())
	return message
}

// writeChain appends bytes to a chain.
func writeChain(chain *buffer.Chain, b []byte) {
	_, _ = chain.Write(b) // never fails; the error result is there for io.Writer
}
