package upstream

import (
	"context"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/readahead"
)

// dial opens a connection and writes its startup message. It runs on a goroutine of its own.
func dial(p *Pool, endpoint *endpointConns, address string) {
	dialedAt := p.loop.Clock.Now()
	connection, err := readahead.Dial(address, toDuration(p.connectTimeout))
	if err != nil {
		p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
			endpoint.pendingConns--
			age := l.Clock.Now() - dialedAt
			p.connEnded(endpoint, metrics.ConnectionEnd{Reason: metrics.ClosedByConnectError, Age: age, Err: err})
			p.connectFailed(endpoint)
		}))
		return
	}
	c := &conn{
		pool:     p,
		endpoint: endpoint,
		address:  address,
		net:      connection,
		dialedAt: dialedAt,
		writing:  true,
		splitter: pgwire.Splitter{Pool: p.loop.Pool, Types: pgwire.BackendTypes, MaxLength: pgwire.MaxResponse},
	}
	c.attachCallbacks()
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		l.RunAt(dialedAt+p.connectTimeout, func() {
			if c.state == stateStarting {
				c.close(metrics.ClosedByConnectTimeout)
			}
		})
	}))
	_, err = connection.Write(p.startupMessage)
	p.loop.Post(pipeline.Func(func(*pipeline.Loop) {
		if err != nil || !connection.IsActive() {
			c.close(metrics.ClosedByPeer)
		}
		c.writeReturned()
	}))
}

// attachCallbacks sets netpoll's callbacks and the write timeout. The setters never fail.
func (c *conn) attachCallbacks() {
	_ = c.net.SetWriteTimeout(toDuration(c.pool.connectTimeout))
	_ = c.net.AddCloseCallback(func(netpoll.Connection) error {
		readahead.Closing(nil)
		// No read is in progress here, and none follows.
		c.splitter.Free()
		c.response.Free()
		c.pool.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.close(metrics.ClosedByPeer) }))
		return nil
	})
	_ = c.net.SetOnRequest(func(_ context.Context, connection netpoll.Connection) error { return c.read(connection) })
}

// writeReturned handles the return of a write on another goroutine. The endpoint's response may be read before the
// write returns, but the connection becomes idle only now: netpoll refuses a write while another one has not returned,
// and the next request would end as if there were no connection. Runs on the loop goroutine.
func (c *conn) writeReturned() {
	c.writing = false
	if deferred := c.afterWrite; deferred != nil && c.state != stateClosed {
		c.afterWrite = nil
		deferred()
	}
}

// connectFailed handles the failure to open a connection: it ends the oldest waiting attempts until no more wait than
// there are pending connections.
func (p *Pool) connectFailed(endpoint *endpointConns) {
	for len(endpoint.waiting) > endpoint.pendingConns {
		attempt := endpoint.waiting[0]
		endpoint.waiting = endpoint.waiting[1:]
		p.endUnconnected(attempt)
	}
}
