package upstream

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
)

// maxInlineSize is the size in bytes of the longest message that the loop goroutine writes itself: it fits into an
// empty send buffer, so the write does not block.
const maxInlineSize = buffer.Size

// errSendExpired ends the write of an attempt whose send-by time has passed, or whose client has left.
var errSendExpired = errors.New("the attempt is not to be sent any more")

// start sends an attempt, or a health check, on an idle connection. Runs on the loop goroutine.
func (c *conn) start(attempt *pipeline.Attempt) {
	c.state, c.attempt = stateBusy, attempt
	attempt.Conn = c
	c.requestCount++
	c.sentAt.Store(0)
	message := c.message(attempt)
	if message.Len() <= maxInlineSize {
		_ = c.net.SetWriteTimeout(limits.InlineWriteTimeout) // never fails
		c.write(attempt, message)
		return
	}
	_ = c.net.SetWriteTimeout(0) // the timeout of the attempt closes the connection
	c.writing = true
	go func() { // ends when the write returns, which it does at the latest when the connection is closed
		c.write(attempt, message)
		c.pool.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.writeReturned() }))
	}()
}

// message builds the message to send for an attempt or a health check.
func (c *conn) message(attempt *pipeline.Attempt) *buffer.Chain {
	loop := c.pool.loop
	if attempt.Request == nil {
		return loop.Pool.Filled(c.pool.healthCheckMessage)
	}
	return attempt.Message(loop.Pool, loop.Clock.Now())
}

// write sends a message, frees it and posts an event if that fails. Runs on the loop goroutine, or on the one that
// start creates.
func (c *conn) write(attempt *pipeline.Attempt, message *buffer.Chain) {
	defer message.Free()
	err := c.writeMessage(attempt, message)
	switch {
	case errors.Is(err, errSendExpired):
		c.pool.loop.Post(pipeline.Func(func(*pipeline.Loop) {
			if c.attempt == attempt {
				c.close(metrics.ClosedByAttemptEnd)
				c.pool.endReleased(attempt)
			}
		}))
	case err != nil:
		c.pool.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.close(metrics.ClosedByWriteError) }))
	}
}

// writeMessage sends a message in two steps, all but the last byte and then the last byte: if the first step fails, the
// endpoint cannot have started the request. It does not send the last byte of an attempt that has expired by then, or whose
// client has left. It uses the connection's Write method, which is safe when the connection is closed concurrently;
// netpoll's Writer is not.
func (c *conn) writeMessage(attempt *pipeline.Attempt, message *buffer.Chain) error {
	remaining := message.Len()
	isLong := remaining > maxInlineSize // so that its client may have left since the write began
	return message.Each(func(part []byte) error {
		remaining -= len(part)
		if remaining > 0 {
			_, err := c.net.Write(part)
			return err
		}
		last := len(part) - 1
		if last > 0 {
			if _, err := c.net.Write(part[:last]); err != nil {
				return err
			}
		}
		if isLong && !waitForClientInput(attempt) {
			return errSendExpired
		}
		return c.writeLastByte(attempt, part[last:])
	})
}

// waitForClientInput waits until the input of the attempt's client is read, and reports whether the client has not left. When the
// attempt ends meanwhile its connection is closed, and the last byte can't be written.
func waitForClientInput(attempt *pipeline.Attempt) (open bool) {
	state := attempt.ClientState()
	for state == pipeline.ClientInputPending {
		time.Sleep(limits.RecheckDelay)
		state = attempt.ClientState()
	}
	return state == pipeline.ClientOpen
}

// writeLastByte sends the byte that completes the request, and records the time. From then on the endpoint may run it.
func (c *conn) writeLastByte(attempt *pipeline.Attempt, last []byte) error {
	now := c.pool.loop.Clock.Now()
	if attempt.SendExpired(now) {
		return errSendExpired
	}
	c.sentAt.Store(int64(now * nanosPerSecond))
	_, err := c.net.Write(last)
	if refusedByKernel(err) {
		c.sentAt.Store(0)
	}
	return err
}

// refusedByKernel reports whether a write error proves that nothing was sent. After any other error the data may have
// been sent, or may still be sent.
func refusedByKernel(err error) bool {
	return errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ECONNRESET)
}
