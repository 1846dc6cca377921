package clients

import (
	"sync"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
)

// outbox holds what a connection is to send, in order, so that its callers never wait for the client. A goroutine writes
// it as long as it is not empty.
type outbox struct {
	mu      sync.Mutex // guards all fields
	queue   []outgoing
	writing bool // the goroutine runs
}

// outgoing is one message that is to be sent.
type outgoing struct {
	chain     *buffer.Chain
	onWritten func() // nil: nothing
}

// send queues a chain, which it takes over; onWritten runs when it is written, or has failed to be. On any goroutine.
func (c *conn) send(chain *buffer.Chain, onWritten func()) {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	c.outbox.queue = append(c.outbox.queue, outgoing{chain, onWritten})
	if !c.outbox.writing {
		c.outbox.writing = true
		go c.writeOutbox()
	}
}

// writeOutbox writes the outbox until it is empty. After a failure the connection is closed, so the writes of what is
// left fail at once.
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

// write writes a chain and frees it. The connection's own Write is safe against a close meanwhile; netpoll's Writer is
// not.
func (c *conn) write(chain *buffer.Chain) error {
	defer chain.Free()
	return chain.Each(func(part []byte) error {
		_, err := c.net.Write(part)
		return err
	})
}

// take gives the next message. If there is none, the goroutine that asks is no longer the writer.
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
