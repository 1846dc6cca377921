// Package upstream keeps the connections to the units: one query at a time on each, the one last used first.
// It carries legs and probes out and says how each ended; which unit gets one is not its to choose.
package upstream

import (
	"time"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// Pool holds the connections to all units. Its state belongs to the loop.
type Pool struct {
	loop    *pipeline.Loop
	units   map[relay.EndpointID]*unit
	most    int // descriptors for units
	open    int // connections, those coming up included
	connect relay.Seconds
	idleFor relay.Seconds
	hello   []byte
	probe   []byte
}

// unit is one server as the pool sees it.
type unit struct {
	id      relay.EndpointID
	name    string
	address string
	process process
	leaving bool                // told as draining or gone: nothing new goes to it
	gone    bool                // told as gone: forgotten when nothing holds it any more
	open    int                 // connections, those coming up included
	idle    []*conn             // the one last used is last
	coming  int                 // connections coming up, or about to be idle again
	waiting []*pipeline.Attempt // legs without a connection, the oldest first
}

// process tells one process of a unit from the next: a unit keeps its id, and may keep its address, over a restart and
// with another build.
type process struct {
	build   relay.Build
	started relay.Seconds // where it is known
}

// New returns a pool that holds at most so many connections.
func New(l *pipeline.Loop, most int) *Pool {
	p := &Pool{loop: l, units: map[relay.EndpointID]*unit{}, most: most, connect: l.Site.Limits.ConnectTimeout,
		idleFor: l.Site.EndpointIdleTimeout * limits.EndpointIdleFraction, hello: pgwire.Startup("worker", "catalog"),
		probe: pgwire.QueryMessage("SELECT 1")}
	if len(l.Site.LoadReportFields) > 0 {
		p.probe = pgwire.QueryMessage("SHOW " + reportName)
	}
	if p.connect <= 0 {
		p.connect = limits.DefaultConnectTimeout.Seconds()
	}
	if p.idleFor > 0 {
		l.RunAt(l.Clock.Now()+limits.IdleSweepInterval.Seconds(), p.sweep)
	}
	return p
}

// Listed tells that a unit is listed at an address, before the module is told of it. A unit that is at another address
// now, has started anew or runs another build is another process: connections to the old one are of no use, and legs
// that wait for one were not meant for it. With another build such a leg would count against a cap that it was not
// ordered under.
func (p *Pool) EndpointsListed(e relay.Endpoint, name, address string) {
	u := p.units[e.ID]
	if u == nil {
		u = &unit{id: e.ID, name: name, address: address, process: process{e.Build, e.StartedAt}}
		p.units[e.ID] = u
	}
	u.leaving, u.gone = false, false
	if u.address != address {
		u.address = address
		p.closeIdle(u, metrics.ClosedByAddressChange)
		p.release(u)
	}
	if e.Build != u.process.build || e.StartKnown && e.StartedAt != u.process.started {
		p.release(u)
	}
	u.process.build = e.Build
	if e.StartKnown {
		u.process.started = e.StartedAt
	}
}

// Leaving tells that a unit drains or is gone, before the module is told of it. A leg that still waits for a connection
// was ordered before the news and would be written after it, by as much as the connection takes to come up; it never
// left, so the module can place it anew.
func (p *Pool) EndpointLeaving(id relay.EndpointID, gone bool) {
	u := p.units[id]
	if u == nil {
		return
	}
	u.leaving, u.gone = true, gone
	p.closeIdle(u, metrics.ClosedByDrain)
	p.release(u)
	p.forget(u)
}

// Whole tells that a whole list stands: units that it leaves out are gone.
func (p *Pool) FullListReceived(listed func(relay.EndpointID) bool) {
	for id := range p.units {
		if !listed(id) {
			p.EndpointLeaving(id, true)
		}
	}
}

// release ends the legs that wait for a connection to a unit as never sent.
func (p *Pool) release(u *unit) {
	for len(u.waiting) > 0 {
		leg := u.waiting[0]
		u.waiting = u.waiting[1:]
		p.loop.Metrics.Add(metrics.AttemptsReleased, 1)
		p.loop.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.NotSent})
	}
}

// forget drops a unit that is gone and holds nothing: with releases every day units come and go for as long as a
// relay lives.
func (p *Pool) forget(u *unit) {
	if u.gone && u.open == 0 && len(u.waiting) == 0 && p.units[u.id] == u {
		delete(p.units, u.id)
	}
}

// Send finds a connection for a leg, or opens one.
func (p *Pool) Send(leg *pipeline.Attempt) {
	u := p.units[leg.Endpoint]
	if u == nil || u.leaving { // a probe, say, or an order of the step that was under way
		p.loop.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.NotSent})
		return
	}
	u.waiting = append(u.waiting, leg)
	p.serve(u)
	if leg.Ended || len(u.waiting) == 0 || u.waiting[len(u.waiting)-1] != leg {
		return // it has a connection
	}
	p.loop.RunAt(leg.StartedAt+p.connect, func() {
		if !leg.Ended && u.leave(leg) {
			p.loop.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.ConnectFailed, Duration: p.loop.Clock.Now() - leg.StartedAt})
		}
	})
	if by, ok := leg.SendBy(); ok {
		p.loop.RunAt(by, func() { p.CancelUnsent(leg) })
	}
}

// Recall ends a leg that is late as never sent, if it still waits for a connection. One that is being written is given
// up before its last byte, by whoever writes it.
func (p *Pool) CancelUnsent(leg *pipeline.Attempt) {
	if u := p.units[leg.Endpoint]; u != nil && !leg.Ended && u.leave(leg) {
		p.loop.Metrics.Add(metrics.AttemptsReleased, 1)
		p.loop.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.NotSent})
	}
}

// Probe asks a unit how it is. It takes a connection as a leg does.
func (p *Pool) HealthCheck(id relay.EndpointID) {
	now := p.loop.Clock.Now()
	leg := &pipeline.Attempt{Endpoint: id, StartedAt: now, Deadline: now + p.connect}
	p.loop.RunAt(leg.Deadline, func() {
		if !leg.Ended {
			p.Cancel(leg)
			p.loop.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.TimedOut, Duration: p.connect})
		}
	})
	p.Send(leg)
}

// CloseIdle closes the idle connections to a unit.
func (p *Pool) CloseIdle(id relay.EndpointID) {
	if u := p.units[id]; u != nil {
		p.closeIdle(u, metrics.ClosedByPolicy)
	}
}

// Drop gives a leg up: it loses its place, or its connection is closed. Only a leg whose last byte was handed
// to a connection may have been sent.
func (p *Pool) Cancel(leg *pipeline.Attempt) (sent bool) {
	u := p.units[leg.Endpoint]
	if u == nil || u.leave(leg) {
		return false
	}
	c, ok := leg.Conn.(*conn)
	if !ok {
		return false
	}
	c.close(metrics.ClosedByAttemptEnd)
	return c.sentAt.Load() != 0 // after the close, so that a write under way either shows or fails
}

// leave takes a leg out of those that wait, and says whether it was there.
func (u *unit) leave(leg *pipeline.Attempt) bool {
	for i, w := range u.waiting {
		if w == leg {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// serve gives waiting legs the idle connections, and opens new ones for those that are left.
func (p *Pool) serve(u *unit) {
	for len(u.waiting) > 0 && len(u.idle) > 0 {
		leg := u.waiting[0]
		if leg.RequestFinished() || leg.SendExpired(p.loop.Clock.Now()) {
			u.waiting = u.waiting[1:]
			p.loop.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.NotSent})
			continue
		}
		c := u.idle[len(u.idle)-1]
		if why := c.unfit(); why != "" {
			c.close(why)
			continue
		}
		u.waiting = u.waiting[1:]
		u.idle = u.idle[:len(u.idle)-1]
		c.begin(leg)
	}
	for u.coming < len(u.waiting) {
		if p.open >= p.most && !p.evictIdlest() {
			p.loop.Metrics.Add(metrics.ConnLimitReached, 1)
			leg := u.waiting[len(u.waiting)-1]
			u.waiting = u.waiting[:len(u.waiting)-1]
			p.loop.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.NotSent})
			continue
		}
		p.open++
		u.open++
		u.coming++
		p.loop.Metrics.Add(metrics.EndpointConns, 1)
		p.loop.Metrics.Add(metrics.EndpointConnsOpen, 1)
		go dial(p, u, u.address)
	}
}

// evictIdlest closes the connection that has been idle for longest, to make room for another.
func (p *Pool) evictIdlest() bool {
	var oldest *conn
	for _, u := range p.units {
		if len(u.idle) > 0 && (oldest == nil || u.idle[0].since < oldest.since) {
			oldest = u.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close(metrics.ClosedByLimit)
	return true
}

func (p *Pool) closeIdle(u *unit, why metrics.CloseReason) {
	for len(u.idle) > 0 {
		u.idle[len(u.idle)-1].close(why)
	}
}

// sweep closes what has been idle for long, before the unit does.
func (p *Pool) sweep() {
	now := p.loop.Clock.Now()
	for _, u := range p.units {
		for len(u.idle) > 0 && now-u.idle[0].since > p.idleFor {
			u.idle[0].close(metrics.ClosedByIdleTimeout)
		}
	}
	p.loop.RunAt(now+limits.IdleSweepInterval.Seconds(), p.sweep)
}

// ended is the one place where a connection is given back, whether it came up or not.
func (p *Pool) ended(u *unit, why metrics.CloseReason, age relay.Seconds, queries int, fault error) {
	p.open--
	u.open--
	defer p.forget(u)
	p.loop.Metrics.Add(metrics.EndpointConnsOpen, -1)
	end := metrics.ConnectionEnd{Peer: metrics.PeerEndpoint, Name: u.name, Reason: why, Age: age, Requests: queries, Err: fault}
	end.Log(p.loop.Log)
}

func span(s relay.Seconds) time.Duration { return time.Duration(s * float64(time.Second)) }
