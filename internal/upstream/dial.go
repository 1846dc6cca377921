package upstream

import (
	"context"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
)

// dial brings a connection up and writes its startup message. It runs on a goroutine of its own, which ends with both.
func dial(p *Pool, endpoint *endpointConns, address string) {
	dialedAt := p.loop.Clock.Now()
	connection, err := netpoll.DialConnection("tcp", address, toDuration(p.connectTimeout))
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

// attachCallbacks has netpoll call the connection. None of the setters ever fails.
func (c *conn) attachCallbacks() {
	_ = c.net.SetWriteTimeout(toDuration(c.pool.connectTimeout))
	_ = c.net.AddCloseCallback(func(netpoll.Connection) error {
		// No read is under way here, and none follows.
		c.splitter.Free()
		c.response.Free()
		c.pool.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.close(metrics.ClosedByPeer) }))
		return nil
	})
	_ = c.net.SetOnRequest(func(_ context.Context, connection netpoll.Connection) error { return c.read(connection) })
}

// writeReturned takes in that a write off the loop has returned. The endpoint's response to it may have been read before
// that, and the library refuses a write while another one has not returned: the next request would seem to have had no
// connection. On the loop.
func (c *conn) writeReturned() {
	c.writing = false
	if c.idleDeferred && c.state != stateClosed {
		c.idleDeferred = false
		c.becomeIdle()
	}
}

// connectFailed ends the oldest attempts that wait, as many as no connection is coming up for any more.
func (p *Pool) connectFailed(endpoint *endpointConns) {
	for len(endpoint.waiting) > endpoint.pendingConns {
		attempt := endpoint.waiting[0]
		endpoint.waiting = endpoint.waiting[1:]
		p.endUnconnected(attempt)
	}
}
