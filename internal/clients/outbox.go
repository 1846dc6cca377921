package clients

import (
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/sockets"
)

// errNotRead ends the connection of a client that does not read its responses.
var errNotRead = errors.New("the client does not read its responses")

// outbox is the queue of messages to send on a connection, so that callers of send never wait for the client. A
// goroutine writes the messages in order and runs as long as there are any.
type outbox struct {
	mu      sync.Mutex // guards all fields
	queue   []outgoing
	writing bool // the goroutine is running

	// unchecked is the number of bytes that were written since the kernel's send buffer was looked at. Used by the goroutine only.
	unchecked int
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
		c.outbox.unchecked += next.chain.Len()
		err := c.write(next.chain)
		if err == nil && c.outbox.unchecked > limits.MaxResponseBytes {
			c.outbox.unchecked = 0
			err = c.waitForRoom()
		}
		if err != nil {
			c.setConnErr(err)
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

// waitForRoom waits until the kernel's send buffer has room for the longest response, so that the response to the next request
// does not stay in memory because the client does not read.
func (c *conn) waitForRoom() error {
	for until := time.Now().Add(limits.ClientWriteTimeout); c.unsent() > limits.ClientSendBuffer-limits.MaxResponseBytes; {
		if time.Now().After(until) {
			return errNotRead
		}
		time.Sleep(limits.RecheckDelay)
	}
	return nil
}

// unsent returns the number of bytes in the kernel's send buffer; 0 once this side has closed.
func (c *conn) unsent() int {
	c.mu.Lock() // keeps the descriptor from being closed and reused meanwhile
	defer c.mu.Unlock()
	if n, ok := c.net.(netpoll.Conn); ok && !c.closed {
		return sockets.Unsent(n.Fd())
	}
	return 0
}

// busy reports whether a message waits to be written or is being written.
func (o *outbox) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writing
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
