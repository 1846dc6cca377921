package pipeline

import (
	"strconv"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// send passes an attempt to the upstream connections and sets a timer for its deadline, unless the attempt may not be sent.
func (l *Loop) send(attempt *Attempt) {
	l.Metrics.Add(metrics.AttemptsSent, 1)
	l.Metrics.Add(metrics.AttemptsOpen, 1)
	if !l.MaySend(attempt) {
		l.EndAttempt(attempt, AttemptResult{Outcome: relay.NotSent})
		return
	}
	attempt.timeout = l.RunAt(attempt.Deadline, func() { l.timeOut(attempt) })
	l.Upstream.Send(attempt)
}

// MaySend reports whether an attempt may be sent: its send-by time has not passed, its request is open, and the client has not
// left. It ends a request whose client has left. Must run on the loop goroutine.
func (l *Loop) MaySend(attempt *Attempt) bool {
	if attempt.SendExpired(l.Clock.Now()) {
		return false
	}
	request := attempt.Request
	if request == nil {
		return true // a health check
	}
	if request.Status == StatusOpen && request.Client.Left() {
		l.ClientLeft(request)
	}
	return request.Status == StatusOpen
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
