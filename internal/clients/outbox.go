package clients

import (
	"sync"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
)

// outbox is the queue of messages to send on a connection, so that callers of send never wait for the client. A
// goroutine writes the messages in order and runs as long as there are any.
type outbox struct {
	mu      sync.Mutex // guards all fields
	queue   []outgoing
	writing bool // the goroutine is running
}

// outgoing is one message to be sent.
type outgoing struct {
	chain     *buffer.Chain
	onWritten func() // may be nil
}

// send queues a chain to be written and takes ownership of it. onWritten runs after the write, whether or not that
// succeeded. Safe for concurrent use.
func (c *conn) send(chain *buffer.Chain, onWritten func()) {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	c.outbox.queue = append(c.outbox.queue, outgoing{chain, onWritten})
	if !c.outbox.writing {
		c.outbox.writing = true
		go c.writeOutbox()
	}
}

// writeOutbox writes messages until the outbox is empty. A failed write closes the connection, so that the writes of
// the remaining messages fail immediately.
func (c *conn) writeOutbox() {
	for {
		next, ok := c.outbox.take()
		if !ok {
			return
		}
		if err := c.write(next.chain); err != nil {
			c.closeNow(metrics.ClosedByWriteError)
		}
		if next.onWritten != nil {
			next.onWritten()
		}
	}
}

// write writes a chain and frees it. It uses the connection's Write method, which is safe when the connection is closed
// concurrently; netpoll's Writer is not.
func (c *conn) write(chain *buffer.Chain) error {
	defer chain.Free()
	return chain.Each(func(part []byte) error {
		_, err := c.net.Write(part)
		return err
	})
}

// take removes and returns the next message. If there is none, it marks the writing goroutine as ended: the caller must
// return.
func (o *outbox) take() (next outgoing, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		o.writing = false
		return outgoing{}, false
	}
	next = o.queue[0]
	o.queue = o.queue[1:]
	return next, true
}
