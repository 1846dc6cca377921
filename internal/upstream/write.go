package upstream

import (
	"errors"

	"golang.org/x/sys/unix"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
)

// maxInlineSize is the longest message, in bytes, that the loop writes itself: an empty send buffer takes it at once, so
// the write never waits.
const maxInlineSize = buffer.Size

// errSendExpired ends a write whose attempt must not be sent any more.
var errSendExpired = errors.New("too late to be sent")

// start sends an attempt, or a health check, on an idle connection. On the loop.
func (c *conn) start(attempt *pipeline.Attempt) {
	c.state, c.attempt = stateBusy, attempt
	attempt.Conn = c
	c.requestCount++
	c.sentAt.Store(0)
	message := c.message(attempt)
	if message.Len() <= maxInlineSize {
		_ = c.net.SetWriteTimeout(limits.InlineWriteTimeout) // it never fails
		c.write(attempt, message)
		return
	}
	_ = c.net.SetWriteTimeout(0) // the attempt's own time-out closes the connection
	c.writing = true
	go func() { // ends when the write returns, at the latest with the connection
		c.write(attempt, message)
		c.pool.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.writeReturned() }))
	}()
}

// message builds what is sent for an attempt or a health check.
func (c *conn) message(attempt *pipeline.Attempt) *buffer.Chain {
	loop := c.pool.loop
	if attempt.Request == nil {
		return loop.Pool.Filled(c.pool.healthCheckMessage)
	}
	return attempt.Message(loop.Pool, loop.Clock.Now())
}

// write sends a message, frees it and posts a failure. On the loop, or on the goroutine that start began.
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

// writeMessage sends a message in two steps, all but the last byte and then that: as long as the first has not succeeded,
// the endpoint has surely not begun. It uses the connection's own Write alone, which is safe against a close meanwhile;
// netpoll's Writer is not. It stops short of the last byte of an attempt that has expired by then.
func (c *conn) writeMessage(attempt *pipeline.Attempt, message *buffer.Chain) error {
	remaining := message.Len()
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
		return c.writeLastByte(attempt, part[last:])
	})
}

// writeLastByte sends the byte from which on the endpoint may act, and notes when.
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

// refusedByKernel says that nothing of a write was sent. After any other error it may have been, or may yet be.
func refusedByKernel(err error) bool {
	return errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ECONNRESET)
}
