package clients

import (
	"errors"
	"fmt"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// maxStartupPackets is the number of startup packets that a client may send: two requests for encryption and the startup.
const maxStartupPackets = 3

// Errors that end a connection. classify maps them to error codes.
var (
	errUnsupported   = errors.New("only simple queries are offered")
	errTooManyQueued = fmt.Errorf("more than %d queries ahead of their answers", limits.MaxPipelinedQueries)
	errTooManyConns  = errors.New("too many connections")
	errMessageLate   = fmt.Errorf("%w: incomplete after %v", pgwire.ErrMalformed, limits.MessageTimeout)
)

// read handles the input that has arrived. Runs on the reading goroutine.
func (c *conn) read() error {
	if hook := c.server.beforeRead.Load(); hook != nil {
		(*hook)(c)
	}
	receivedAt := c.server.loop.Clock.Now()
	reader := c.net.Reader()
	for reader.Len() > 0 {
		input, err := reader.Next(min(reader.Len(), buffer.Size))
		if err != nil {
			break
		}
		if c.inputIgnored.Load() {
			continue
		}
		messageRead := false
		err = c.splitter.Feed(input, func(m pgwire.Message) error {
			messageRead = true
			return c.handleMessage(m, receivedAt)
		})
		if err != nil {
			c.failInput(err)
		}
		c.recordPartial(messageRead, receivedAt)
	}
	if c.awaitingInput.Load() {
		c.server.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.resumeBegin() }))
	}
	return reader.Release()
}

// recordPartial records since when a message is incomplete. messageRead tells whether the last input completed another one.
func (c *conn) recordPartial(messageRead bool, receivedAt relay.Seconds) {
	if !c.splitter.Partial() || c.inputIgnored.Load() {
		c.partialSince.Store(0)
		c.partialBegan.Store(0)
		return
	}
	now := max(1, int64(receivedAt*nanosPerSecond))
	c.partialSince.Store(now)
	if messageRead || c.partialBegan.Load() == 0 {
		c.partialBegan.Store(now)
	}
}

// failInput stops the handling of input. The error is posted like a message, so that earlier requests are answered
// before it ends the connection.
func (c *conn) failInput(err error) {
	c.inputIgnored.Store(true)
	c.server.loop.Post(&inputMessage{conn: c, kind: kindInvalid, err: err})
}

// handleMessage handles one message of the client. An error ends the connection. Runs on the reading goroutine.
func (c *conn) handleMessage(m pgwire.Message, receivedAt relay.Seconds) error {
	if m.Type == pgwire.TypeQuery && !c.inputIgnored.Load() {
		return c.handleQuery(m, receivedAt)
	}
	defer m.Body.Free()
	switch {
	case c.inputIgnored.Load():
		return nil
	case m.Type == pgwire.TypeStartup:
		return c.handleStartup(m.Body.Bytes())
	case m.Type == pgwire.TypeTerminate:
		c.closeNow(metrics.ClosedByTerminate)
		return nil
	default:
		return errUnsupported
	}
}

// handleQuery posts the request, or the empty query, in a Query message.
func (c *conn) handleQuery(m pgwire.Message, receivedAt relay.Seconds) error {
	request, err := c.parseRequest(m, receivedAt)
	if err != nil {
		m.Body.Free()
		return err
	}
	message := &inputMessage{conn: c, kind: kindEmptyQuery}
	if request != nil {
		message.kind, message.request = kindRequest, request
		request.Client, request.ClientAddress = message, c.net.RemoteAddr()
		c.requestCount.Add(1)
	}
	if c.unanswered.Add(1) > limits.MaxPipelinedQueries {
		if request != nil {
			request.Body.Free()
		}
		return errTooManyQueued
	}
	c.server.loop.Post(message)
	return nil
}

// parseRequest creates the record of a request; it is nil for an empty query. It takes ownership of the body of the
// message unless it returns an error.
func (c *conn) parseRequest(m pgwire.Message, receivedAt relay.Seconds) (*pipeline.Request, error) {
	if m.Discarded {
		c.server.loop.Metrics.Add(metrics.BufferLimitReached, 1)
		return pipeline.NewRejected(pipeline.NoBuffers, receivedAt), nil
	}
	space := c.server.parseSpace.Get().(*[]byte)
	defer c.server.parseSpace.Put(space)
	body := m.Body.BytesIn((*space)[:0])
	if cap(body) > cap(*space) && m.Body.Len() > buffer.Size {
		*space = body // a new copy, whose memory serves the next message
	}
	text, err := pgwire.Statement(body)
	if err != nil {
		return nil, err
	}
	if pgwire.IsEmpty(text) {
		m.Body.Free()
		return nil, nil
	}
	return pipeline.Accept(&c.server.loop.Site, text, m.Body, receivedAt)
}

// handleStartup handles a startup packet: the startup of a session, or a request for encryption or cancellation.
func (c *conn) handleStartup(body []byte) error {
	c.startupPackets++
	if c.startupPackets > maxStartupPackets {
		return fmt.Errorf("%w: %d startup packets", pgwire.ErrMalformed, c.startupPackets)
	}
	kind, err := pgwire.ParseStartup(body)
	if err != nil {
		return err
	}
	switch kind {
	case pgwire.StartupEncryption:
		c.send(c.server.loop.Pool.Filled([]byte{pgwire.NoEncryption}), nil)
	case pgwire.StartupCancel:
		c.closeNow(metrics.ClosedByCancelRequest)
	case pgwire.StartupSession:
		c.splitter.Startup = false
		c.startupReceived.Store(true)
		c.server.loop.Post(&inputMessage{conn: c, kind: kindStartup})
	}
	return nil
}
