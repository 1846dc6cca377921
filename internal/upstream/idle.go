package upstream

import (
	"github.com/cloudwego/netpoll"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/sockets"
)

// becomeIdle makes the connection an idle one, and gives it to an attempt that waits.
func (c *conn) becomeIdle() {
	if c.writing {
		c.idleDeferred = true
		return
	}
	c.endpoint.pendingConns--
	c.state, c.idleSince = stateIdle, c.pool.loop.Clock.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
	if c.address != c.endpoint.address {
		c.close(metrics.ClosedByAddressChange)
	} else if c.endpoint.unavailable {
		c.close(metrics.ClosedByDrain) // dialled before the drain, or answered after it
	}
	c.pool.serveWaiting(c.endpoint)
}

// unusable says why an idle connection can't take a request; empty if it can. It may have ended, and the request might
// seem to have run, or something has come on it that would be taken for the response.
func (c *conn) unusable() metrics.CloseReason {
	if !c.net.IsActive() {
		return metrics.ClosedByPeer
	}
	if c.net.Reader().Len() > 0 {
		return metrics.ClosedByBadInput
	}
	if n, ok := c.net.(netpoll.Conn); ok {
		switch came, ended := sockets.Poll(n.Fd()); {
		case ended:
			return metrics.ClosedByPeer
		case came:
			return metrics.ClosedByBadInput
		}
	}
	return ""
}

// removeIdle takes a connection out of the idle ones.
func (e *endpointConns) removeIdle(c *conn) {
	for i, idle := range e.idle {
		if idle == c {
			e.idle = append(e.idle[:i], e.idle[i+1:]...)
			return
		}
	}
}

// closeLongestIdle closes the connection that has been idle for longest, to make room for another. It says whether there
// was one.
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

// closeIdleConns closes the idle connections to an endpoint, the one last used first.
func (p *Pool) closeIdleConns(endpoint *endpointConns, reason metrics.CloseReason) {
	for len(endpoint.idle) > 0 {
		endpoint.idle[len(endpoint.idle)-1].close(reason)
	}
}

// closeExpired closes what has been idle for long, before the endpoint does, and runs again a little later.
func (p *Pool) closeExpired() {
	now := p.loop.Clock.Now()
	for _, endpoint := range p.endpoints {
		for len(endpoint.idle) > 0 && now-endpoint.idle[0].idleSince > p.idleTimeout {
			endpoint.idle[0].close(metrics.ClosedByIdleTimeout)
		}
	}
	p.loop.RunAt(now+limits.IdleSweepInterval.Seconds(), p.closeExpired)
}
