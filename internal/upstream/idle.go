package upstream

import (
	"github.com/cloudwego/netpoll"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/sockets"
)

// becomeIdle makes the connection available, and gives it to a waiting attempt if there is one. While a write has not
// returned, it leaves that to writeReturned.
func (c *conn) becomeIdle() {
	if c.writing {
		c.afterWrite = c.becomeIdle
		return
	}
	c.endpoint.pendingConns--
	c.state, c.idleSince = stateIdle, c.pool.loop.Clock.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
	if reason := c.outdatedReason(); reason != "" {
		c.close(reason)
	}
	c.pool.serveWaiting(c.endpoint)
}

// unusableReason returns the reason why an idle connection cannot take a request, or an empty string if it can. If the
// connection has ended, a request sent on it might count as one that may have run; if it has unread input, that would
// be taken for the response.
func (c *conn) unusableReason() metrics.CloseReason {
	if !c.net.IsActive() {
		return metrics.ClosedByPeer
	}
	if c.net.Reader().Len() > 0 {
		return metrics.ClosedByBadInput
	}
	if n, ok := c.net.(netpoll.Conn); ok {
		switch readable, ended := sockets.Poll(n.Fd()); {
		case ended:
			return metrics.ClosedByPeer
		case readable:
			return metrics.ClosedByBadInput
		}
	}
	return ""
}

// removeIdle removes a connection from the idle ones.
func (e *endpointConns) removeIdle(c *conn) {
	for i, idle := range e.idle {
		if idle == c {
			e.idle = append(e.idle[:i], e.idle[i+1:]...)
			return
		}
	}
}

// closeLongestIdle closes the connection, of all endpoints, that has been idle longest, to make room for another. It
// reports whether there was one.
func (p *Pool) closeLongestIdle() bool {
	var oldest *conn
	for _, endpoint := range p.endpoints {
		if len(endpoint.idle) > 0 && (oldest == nil || endpoint.idle[0].idleSince < oldest.idleSince) {
			oldest = endpoint.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close(metrics.ClosedByLimit)
	return true
}

// closeIdleConns closes the idle connections to an endpoint, the most recently used first.
func (p *Pool) closeIdleConns(endpoint *endpointConns, reason metrics.CloseReason) {
	for len(endpoint.idle) > 0 {
		endpoint.idle[len(endpoint.idle)-1].close(reason)
	}
}

// closeExpired closes the connections that have been idle longer than p.idleTimeout, which is shorter than the
// endpoint's own timeout. It runs every limits.IdleSweepInterval.
func (p *Pool) closeExpired() {
	now := p.loop.Clock.Now()
	for _, endpoint := range p.endpoints {
		for len(endpoint.idle) > 0 && now-endpoint.idle[0].idleSince > p.idleTimeout {
			endpoint.idle[0].close(metrics.ClosedByIdleTimeout)
		}
	}
	p.loop.RunAt(now+limits.IdleSweepInterval.Seconds(), p.closeExpired)
}
