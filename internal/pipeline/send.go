package pipeline

import (
	"strconv"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// send hands an attempt to the connections of its endpoint, and ends it at its deadline.
func (l *Loop) send(attempt *Attempt) {
	l.Metrics.Add(metrics.AttemptsSent, 1)
	l.Metrics.Add(metrics.AttemptsOpen, 1)
	if attempt.Request.Status != StatusOpen {
		l.EndAttempt(attempt, AttemptResult{Outcome: relay.NotSent})
		return
	}
	l.RunAt(attempt.Deadline, func() { l.timeOut(attempt) })
	l.Upstream.Send(attempt)
}

// timeOut ends an attempt that has reached its deadline.
func (l *Loop) timeOut(attempt *Attempt) {
	if attempt.Ended {
		return
	}
	outcome := relay.TimedOut
	if sent := l.Upstream.Cancel(attempt); !sent {
		outcome = relay.ConnectFailed // it never left this relay
	}
	l.EndAttempt(attempt, AttemptResult{Outcome: outcome, Duration: l.Clock.Now() - attempt.StartedAt})
}

// Message builds what goes to the endpoint: the statement as the client sent it, with the time that this relay will
// still wait in place of the client's. The caller frees it.
func (attempt *Attempt) Message(pool *buffer.Pool, now relay.Seconds) *buffer.Chain {
	const decimal, queryType = 10, 'Q'
	request := attempt.Request
	millis := max(1, int64((attempt.Deadline-now)*millisPerSecond))
	deadline := strconv.FormatInt(millis, decimal)
	size := request.Body.Len() - (request.DeadlineEnd - request.DeadlineStart) + len(deadline)
	message := pool.Chain()
	writeChain(message, pgwire.AppendHeader(nil, queryType, size))
	message.Append(request.Body, 0, request.DeadlineStart)
	writeChain(message, []byte(deadline))
	message.Append(request.Body, request.DeadlineEnd, request.Body.Len())
	return message
}

// writeChain appends bytes to a chain, whose Write never fails.
func writeChain(chain *buffer.Chain, b []byte) {
	_, _ = chain.Write(b) // it has an error result for io.Writer alone
}
