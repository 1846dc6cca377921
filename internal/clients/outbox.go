package clients

import (
	"sync"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
)

// outbox writes what a connection sends, in order, without ever holding its callers up.
type outbox struct {
	mu      sync.Mutex
	queue   []parcel
	writing bool
}

type parcel struct {
	chain *buffer.Chain
	after func()
}

// send queues a chain; after runs when it is written, or has failed to be.
func (c *conn) send(chain *buffer.Chain, after func()) {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.queue = append(c.out.queue, parcel{chain, after})
	if !c.out.writing {
		c.out.writing = true
		go c.drain()
	}
}

func (c *conn) drain() {
	for {
		c.out.mu.Lock()
		if len(c.out.queue) == 0 {
			c.out.writing = false
			c.out.mu.Unlock()
			return
		}
		p := c.out.queue[0]
		c.out.queue = c.out.queue[1:]
		c.out.mu.Unlock()
		// The connection's own Write is held against being closed meanwhile; netpoll's Writer is not.
		err := p.chain.Each(func(b []byte) error {
			_, err := c.net.Write(b)
			return err
		})
		p.chain.Free()
		if err != nil {
			c.end(metrics.ClosedByWriteError)
		}
		if p.after != nil {
			p.after()
		}
	}
}
