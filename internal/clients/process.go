package clients

import (
	"errors"
	"math"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

const millisPerSecond = 1000

// inputKind is the kind of an inputMessage.
type inputKind int

const (
	kindStartup inputKind = iota
	kindRequest
	kindEmptyQuery
	kindInvalid // an input error, which ends the connection
)

// inputMessage is a message that was read on a connection. The messages of a connection are processed one at a time. It
// is posted to the loop as an event, and implements pipeline.Client for its request.
type inputMessage struct {
	conn    *conn
	kind    inputKind
	request *pipeline.Request // for kindRequest
	err     error             // for kindInvalid
}

// discard ends a message whose client has disconnected before it was processed. Runs on the loop goroutine.
func (m *inputMessage) discard() {
	if m.request != nil {
		m.conn.server.loop.DiscardRequest(m.request)
	}
}

// Apply implements pipeline.Event: it processes the message, or queues it behind the one being processed.
func (m *inputMessage) Apply(*pipeline.Loop) {
	c := m.conn
	if c.closing { // it was read while the connection was being closed, and is answered by rejectUnanswered
		if m.request != nil {
			m.request.Body.Free()
		}
		return
	}
	if m.request != nil {
		c.server.loop.ReceiveRequest(m.request)
	}
	if c.current != nil {
		if errors.Is(m.err, errTooManyQueued) {
			c.rejectQueued()
		}
		c.queued = append(c.queued, m)
		if c.server.refusing {
			c.endCurrent() // so that the one behind it is answered in time
		}
		return
	}
	c.process(m)
}

// rejectQueued has the queued requests rejected when their turn comes, so that a client with too many gets its error as soon as
// the current one is answered. Runs on the loop goroutine.
func (c *conn) rejectQueued() {
	for _, message := range c.queued {
		if message.request != nil {
			message.request.RejectReason = pipeline.TooManyQueued
		}
	}
}

// process makes a message the current one of its connection and starts to process it. Runs on the loop goroutine.
func (c *conn) process(m *inputMessage) {
	l := c.server.loop
	c.current, c.begun = m, false
	c.setIdle(false)
	switch m.kind {
	case kindStartup:
		if c.overLimit {
			c.respondFatal(errTooManyConns)
			return
		}
		c.startupAnswered.Store(true)
		m.Respond(l.Pool.Filled(pgwire.StartupResponse(c.server.lastSession.Add(1))))
	case kindRequest:
		if c.server.refusing {
			c.endCurrent()
			return
		}
		c.beginWhenRead()
	case kindEmptyQuery:
		l.OnServiceOpen(func() { m.Respond(l.Pool.Filled(pgwire.EmptyQueryResponse())) })
	case kindInvalid:
		c.respondFatal(m.err)
	}
}

// beginWhenRead starts the current request once all input that has arrived is read, or after limits.InputGap: the client may have
// closed the connection behind it. If it has, nothing is started, and removeConn follows.
func (c *conn) beginWhenRead() {
	l := c.server.loop
	c.awaitingInput.Store(true) // before the check, so that a read that ends after it resumes
	state := c.state()
	beginBy := c.startsCounting() + limits.InputGap.Seconds()
	switch {
	case state == pipeline.ClientOpen || state == pipeline.ClientInputPending && l.Clock.Now() >= beginBy:
		c.begin()
	case c.resumeTimer == nil:
		c.resumeTimer = l.RunAt(beginBy, c.resumeBegin)
	}
}

// startsCounting returns the time from which the deadline of the current request counts: its arrival or the response before it,
// whichever is later.
func (c *conn) startsCounting() relay.Seconds {
	return math.Max(c.current.request.ReceivedAt, c.idleSince)
}

// begin starts the current request.
func (c *conn) begin() {
	c.server.loop.StopTimer(c.resumeTimer)
	c.resumeTimer = nil
	c.awaitingInput.Store(false)
	c.begun = true
	c.beginRequest(c.current.request)
}

// state returns the state of the client. Input behind an error does not count as pending, as it is discarded. Safe for concurrent
// use.
func (c *conn) state() pipeline.ClientState {
	readable, ended := c.poll()
	switch {
	case ended || c.isClosed():
		return pipeline.ClientGone
	case c.inputIgnored.Load():
		return pipeline.ClientOpen
	case readable || c.net.Reader().Len() > 0 || c.inputExpectedUntil() > c.server.loop.Clock.Now():
		return pipeline.ClientInputPending
	default:
		return pipeline.ClientOpen
	}
}

// inputExpectedUntil returns the time up to which the rest of a message counts as arriving; 0 if no message is incomplete.
func (c *conn) inputExpectedUntil() relay.Seconds {
	since, began := c.partialSince.Load(), c.partialBegan.Load()
	if since == 0 || c.inputIgnored.Load() {
		return 0
	}
	return min(float64(since)/nanosPerSecond+limits.InputGap.Seconds(), float64(began)/nanosPerSecond+limits.ArrivalTime.Seconds())
}

// resumeBegin begins the current request if it waits for input to be read. Runs on the loop goroutine.
func (c *conn) resumeBegin() {
	if c.current != nil && c.current.kind == kindRequest && !c.begun && c.awaitingInput.Load() {
		c.beginWhenRead()
	}
}

// beginRequest starts a request. After SIGTERM its deadline is shortened so that the client gets a response before the program
// may be killed.
func (c *conn) beginRequest(request *pipeline.Request) {
	s := c.server
	from := c.startsCounting()
	if s.respondBy > 0 {
		remaining := math.Max(s.respondBy-from, 0)
		request.DeadlineMillis = min(request.DeadlineMillis, int64(remaining*millisPerSecond))
	}
	s.loop.BeginRequest(request, from)
}

// State implements pipeline.Client.
func (m *inputMessage) State() pipeline.ClientState { return m.conn.state() }

// Respond implements pipeline.Client. The next message of the connection is processed when the response has been
// written. Runs on the loop goroutine.
func (m *inputMessage) Respond(response *buffer.Chain) {
	c := m.conn
	if c.current != m {
		response.Free() // the client has disconnected
		return
	}
	c.send(response, func() {
		if m.kind != kindStartup {
			c.unanswered.Add(-1)
		}
		c.server.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
			if c.current == m {
				c.finishCurrent(l)
			}
		}))
	})
}

// finishCurrent marks the current message as done and processes the next one, if any. Runs on the loop goroutine.
func (c *conn) finishCurrent(l *pipeline.Loop) {
	c.current, c.idleSince = nil, l.Clock.Now()
	if len(c.queued) > 0 {
		next := c.queued[0]
		c.queued = c.queued[1:]
		c.process(next)
		return
	}
	c.setIdle(true)
	if c.server.shuttingDown {
		c.closeWhenQuiescent()
	}
}

// respondFatal sends an ErrorResponse for err and closes the connection. Runs on the loop goroutine.
func (c *conn) respondFatal(err error) {
	l := c.server.loop
	code, reason := c.classify(err)
	if reason == metrics.ClosedByBadInput {
		l.Metrics.Add(metrics.BadInput, 1)
	}
	c.setCloseReason(reason)
	c.setConnErr(err)
	detail := ""
	if code == pgwire.CodeTooManyConnections {
		detail = l.RetryAfterDetail()
	}
	message := pgwire.ErrorResponse(pgwire.Fatal, code, err.Error(), detail)
	c.send(l.Pool.Filled(message), func() {
		l.Post(pipeline.Func(func(*pipeline.Loop) { c.halfClose(reason) }))
	})
}

// classify returns the code of the ErrorResponse for an error, and the close reason of the connection.
func (c *conn) classify(err error) (code string, reason metrics.CloseReason) {
	switch {
	case errors.Is(err, errTooManyConns):
		return pgwire.CodeTooManyConnections, metrics.ClosedByLimit
	case errors.Is(err, errTooManyQueued):
		return pgwire.CodeTooLong, metrics.ClosedByLimit
	case errors.Is(err, errUnsupported):
		return pgwire.CodeUnsupported, metrics.ClosedByBadInput
	case errors.Is(err, pgwire.ErrTooLong):
		return pgwire.CodeTooLong, metrics.ClosedByBadInput
	case c.startupReceived.Load():
		return pgwire.CodeSyntax, metrics.ClosedByBadInput
	default:
		return pgwire.CodeProtocol, metrics.ClosedByBadInput
	}
}
