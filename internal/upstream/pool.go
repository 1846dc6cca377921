// Package upstream manages the connections to the endpoints. A connection carries one request at a time, and the most
// recently used idle connection is used first. The package sends attempts and health checks and reports how each ended;
// the decision module chooses the endpoints.
//
// Its state is used on the pipeline's loop goroutine only. Dialling a connection (dial.go), writing a long request
// (write.go) and reading input (read.go) run on other goroutines, which post their results to the loop. The package
// implements pipeline.Upstream and imports the codec (internal/pgwire), the limits (internal/limits), the bound on unread
// input (internal/readahead) and the counters (internal/metrics).
package upstream

import (
	"slices"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/readahead"
	"lichenroad/relay"
)

// The session that a connection opens, and the query of a health check if there are no load reports.
const (
	sessionUser      = "worker"
	sessionDatabase  = "catalog"
	healthCheckQuery = "SELECT 1"
)

// Pool holds the connections to all endpoints. Its methods must be called on the loop goroutine.
type Pool struct {
	loop               *pipeline.Loop
	endpoints          map[relay.EndpointID]*endpointConns
	maxConns           int
	openConns          int           // including those being opened
	connectTimeout     relay.Seconds // for opening a connection, for verifying one, and for an attempt that waits for one
	idleTimeout        relay.Seconds // 0 if idle connections do not expire
	startupMessage     []byte
	healthCheckMessage []byte
	emptyQueryMessage  []byte
}

// New returns a pool that holds at most maxConns connections.
func New(l *pipeline.Loop, maxConns int) *Pool {
	readahead.Install()
	p := &Pool{
		loop:               l,
		endpoints:          map[relay.EndpointID]*endpointConns{},
		maxConns:           maxConns,
		connectTimeout:     l.Site.Limits.ConnectTimeout,
		idleTimeout:        l.Site.EndpointIdleTimeout * limits.EndpointIdleFraction,
		startupMessage:     pgwire.Startup(sessionUser, sessionDatabase),
		healthCheckMessage: pgwire.QueryMessage(healthCheckQuery),
		emptyQueryMessage:  pgwire.QueryMessage(""),
	}
	if len(l.Site.LoadReportFields) > 0 {
		p.healthCheckMessage = pgwire.QueryMessage("SHOW " + loadReportParameter)
	}
	if p.connectTimeout <= 0 {
		p.connectTimeout = limits.DefaultConnectTimeout.Seconds()
	}
	if p.idleTimeout > 0 {
		l.RunAt(l.Clock.Now()+limits.IdleSweepInterval.Seconds(), p.closeExpired)
	}
	return p
}

// Send implements pipeline.Upstream.
func (p *Pool) Send(attempt *pipeline.Attempt) {
	endpoint := p.endpoints[attempt.Endpoint]
	if endpoint == nil || endpoint.unavailable { // a health check, or a command from before the module got the list
		p.loop.EndAttempt(attempt, pipeline.AttemptResult{Outcome: relay.NotSent})
		return
	}
	endpoint.waiting = append(endpoint.waiting, attempt)
	p.serveWaiting(endpoint)
	last := len(endpoint.waiting) - 1
	stillWaiting := !attempt.Ended && last >= 0 && endpoint.waiting[last] == attempt
	if !stillWaiting {
		return
	}
	p.loop.RunAt(attempt.StartedAt+p.connectTimeout, func() {
		if attempt.Ended || !endpoint.removeWaiting(attempt) {
			return
		}
		if attempt.ClientState() == pipeline.ClientInputPending {
			p.endReleased(attempt) // it is not the endpoint that it waited for
		} else {
			p.endUnconnected(attempt)
		}
	})
	if sendBy, ok := attempt.SendBy(); ok {
		p.loop.RunAt(sendBy, func() { p.CancelUnsent(attempt) })
	}
}

// CancelUnsent implements pipeline.Upstream. An attempt that is being written is ended by its writer, which checks the
// send-by time before the last byte.
func (p *Pool) CancelUnsent(attempt *pipeline.Attempt) {
	endpoint := p.endpoints[attempt.Endpoint]
	if endpoint != nil && !attempt.Ended && endpoint.removeWaiting(attempt) {
		p.endReleased(attempt)
	}
}

// HealthCheck implements pipeline.Upstream. A health check uses a connection in the same way as an attempt.
func (p *Pool) HealthCheck(id relay.EndpointID) {
	now := p.loop.Clock.Now()
	check := &pipeline.Attempt{Endpoint: id, StartedAt: now, Deadline: now + p.connectTimeout}
	p.loop.RunAt(check.Deadline, func() {
		if !check.Ended {
			p.Cancel(check)
			p.loop.EndAttempt(check, pipeline.AttemptResult{Outcome: relay.TimedOut, Duration: p.connectTimeout})
		}
	})
	p.Send(check)
}

// CloseIdle implements pipeline.Upstream.
func (p *Pool) CloseIdle(id relay.EndpointID) {
	if endpoint := p.endpoints[id]; endpoint != nil {
		p.closeIdleConns(endpoint, metrics.ClosedByPolicy)
	}
}

// Cancel implements pipeline.Upstream. It removes a waiting attempt from the queue, or closes the connection that
// carries the attempt. It returns true only if the last byte of the attempt may have been written.
func (p *Pool) Cancel(attempt *pipeline.Attempt) (sent bool) {
	endpoint := p.endpoints[attempt.Endpoint]
	if endpoint == nil || endpoint.removeWaiting(attempt) || attempt.Conn == nil {
		return false
	}
	return attempt.Conn.Cancel()
}

// serveWaiting assigns idle connections to waiting attempts and opens new connections for the rest. At the limit of
// connections it ends the newest attempts as not sent.
func (p *Pool) serveWaiting(endpoint *endpointConns) {
	for len(endpoint.idle) > 0 {
		attempt := p.nextSendable(endpoint)
		if attempt == nil {
			break
		}
		c := endpoint.idle[len(endpoint.idle)-1]
		if reason := c.unusableReason(); reason != "" {
			c.close(reason)
			continue
		}
		endpoint.removeWaiting(attempt)
		endpoint.idle = endpoint.idle[:len(endpoint.idle)-1]
		c.start(attempt)
	}
	for endpoint.pendingConns+len(endpoint.idle) < len(endpoint.waiting) {
		if p.openConns < p.maxConns || p.closeLongestIdle() {
			p.openConn(endpoint)
			continue
		}
		p.loop.Metrics.Add(metrics.ConnLimitReached, 1)
		last := len(endpoint.waiting) - 1
		attempt := endpoint.waiting[last]
		endpoint.waiting = endpoint.waiting[:last]
		p.loop.EndAttempt(attempt, pipeline.AttemptResult{Outcome: relay.NotSent})
	}
}

// nextSendable returns the oldest waiting attempt that may be sent now; nil if there is none. It ends those that are never to be
// sent.
func (p *Pool) nextSendable(endpoint *endpointConns) *pipeline.Attempt {
	for _, attempt := range slices.Clone(endpoint.waiting) {
		if attempt.Ended {
			continue
		}
		switch p.loop.DecideSend(attempt) {
		case pipeline.SendNow:
			return attempt
		case pipeline.SendLater:
			p.recheckWaiting(endpoint)
		case pipeline.SendNever:
			endpoint.removeWaiting(attempt) // unless CancelUnsent did, as its client has left
			p.loop.EndAttempt(attempt, pipeline.AttemptResult{Outcome: relay.NotSent})
		}
	}
	return nil
}

// recheckWaiting calls serveWaiting again soon.
func (p *Pool) recheckWaiting(endpoint *endpointConns) {
	if endpoint.recheckPending {
		return
	}
	endpoint.recheckPending = true
	p.loop.RunAt(p.loop.Clock.Now()+limits.RecheckDelay.Seconds(), func() {
		endpoint.recheckPending = false
		p.serveWaiting(endpoint)
	})
}

// openConn counts a new connection and starts to dial it.
func (p *Pool) openConn(endpoint *endpointConns) {
	p.openConns++
	endpoint.openConns++
	endpoint.pendingConns++
	p.loop.Metrics.Add(metrics.EndpointConns, 1)
	p.loop.Metrics.Add(metrics.EndpointConnsOpen, 1)
	go dial(p, endpoint, endpoint.address)
}

// connEnded counts a connection as closed, whether or not it was ever open, and logs its end. It fills in the peer. No
// other function counts closed connections.
func (p *Pool) connEnded(endpoint *endpointConns, end metrics.ConnectionEnd) {
	p.openConns--
	endpoint.openConns--
	defer p.dropIfUnused(endpoint)
	p.loop.Metrics.Add(metrics.EndpointConnsOpen, -1)
	end.Peer, end.Name = metrics.PeerEndpoint, endpoint.name
	end.Log(p.loop.Log)
}

// endUnconnected ends an attempt that did not get a connection.
func (p *Pool) endUnconnected(attempt *pipeline.Attempt) {
	p.loop.EndAttempt(attempt, pipeline.AttemptResult{
		Outcome:  relay.ConnectFailed,
		Duration: p.loop.Clock.Now() - attempt.StartedAt,
	})
}

// endReleased ends an attempt as not sent because the reason for it no longer holds.
func (p *Pool) endReleased(attempt *pipeline.Attempt) {
	p.loop.Metrics.Add(metrics.AttemptsReleased, 1)
	p.loop.EndAttempt(attempt, pipeline.AttemptResult{Outcome: relay.NotSent})
}

func toDuration(s relay.Seconds) time.Duration { return time.Duration(s * float64(time.Second)) }
