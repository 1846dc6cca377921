package clients

import (
	"github.com/sirupsen/logrus"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/sockets"
	"lichenroad/relay"
)

// shutdownTimes are the times of a graceful shutdown on the clock of the loop, one after the other. The loop may come to any of
// them limits.MaxHoldUp late, and then to several at once.
type shutdownTimes struct {
	respondBy relay.Seconds // the latest deadline of a request that begins after SIGTERM
	refuse    relay.Seconds // when these requests are ended if they are open, and new ones are rejected
	abort     relay.Seconds // when all requests that are still open are ended
	end       relay.Seconds // when connections are closed that are still open and have all their responses
}

// newShutdownTimes returns the times of a shutdown for requests with deadlines of up to longestDeadline. A response that is
// written at the time refuse, or a hold-up later, comes before the earliest SIGKILL. Requests from before SIGTERM may be open
// for longer.
func newShutdownTimes(sigterm, longestDeadline relay.Seconds) shutdownTimes {
	earliestKill := sigterm + min(longestDeadline, limits.PlatformMaxDeadline) + limits.KillDelay
	refuse := earliestKill - limits.MaxHoldUp - limits.FinalWriteTime
	abort := max(refuse, sigterm+longestDeadline+limits.ForcedShutdownDelay)
	return shutdownTimes{
		respondBy: refuse - limits.MaxEndDelay,
		refuse:    refuse,
		abort:     abort,
		end:       abort + limits.FinalWriteTime,
	}
}

// Shutdown ends service gracefully: new connections are accepted and served for limits.ShutdownAcceptTime, then the
// listener closes, and each connection is closed as soon as it has no open request. Requests that are still open at the
// shutdownTimes are ended. onShutdown runs once, when every response is written and everything is closed. Only the first call
// has an effect. Must run on the loop goroutine.
func (s *Server) Shutdown(onShutdown func()) {
	if s.onShutdown != nil {
		return // it has begun already
	}
	now := s.loop.Clock.Now()
	s.loop.OpenService() // answers the empty queries that wait for service to open
	times := newShutdownTimes(now, s.loop.Site.MaxDeadline())
	s.shutdownAt, s.respondBy, s.onShutdown = now, times.respondBy, onShutdown
	s.loop.RunAt(now+limits.ShutdownAcceptTime.Seconds(), s.closeQuiescent)
	s.loop.RunAt(times.refuse, s.refuseRequests)
	s.loop.RunAt(times.abort, s.abortRequests)
	s.loop.RunAt(times.end, s.closeAnswered)
}

// FinishShutdown ends a shutdown that has begun without waiting for open requests: they are ended now, and what has come on
// connections is rejected. Must run on the loop goroutine.
func (s *Server) FinishShutdown() {
	s.respondBy = s.loop.Clock.Now()
	s.refuseRequests()
	s.abortRequests()
	s.closeAnswered()
}

// closeQuiescent stops accepting connections and begins to close those without an open request. Only the first call has an
// effect. Runs on the loop goroutine.
func (s *Server) closeQuiescent() {
	if s.shuttingDown {
		return
	}
	s.shuttingDown = true
	s.stopAccepting()
	for c := range s.conns {
		c.closeWhenQuiescent()
	}
	s.finishShutdown()
}

// refuseRequests rejects requests from now on, and ends those that are open and have to be answered before SIGKILL. Runs on the
// loop goroutine.
func (s *Server) refuseRequests() {
	s.refusing = true
	s.closeQuiescent()
	for c := range s.conns {
		if !c.mayOutlastKill() {
			c.endCurrent()
		}
		c.closeWhenQuiescent()
	}
	s.logShutdown("requests are rejected")
}

// abortRequests ends the requests that are still open: their clients wait for longer than the program runs. Runs on the loop
// goroutine.
func (s *Server) abortRequests() {
	for c := range s.conns {
		c.endCurrent()
	}
}

// closeAnswered closes the connections that are still open, each when its responses are written, and then ends the shutdown. It
// waits for limits.FinalWriteTimeout for clients that do not read their responses. Runs on the loop goroutine.
func (s *Server) closeAnswered() {
	for c := range s.conns {
		c.closeWhenWritten()
	}
	s.loop.RunAt(s.loop.Clock.Now()+limits.FinalWriteTimeout.Seconds(), s.endShutdown)
}

// stopAccepting takes the listening socket out of service. It first waits, until respondBy at the latest, for the
// connections in the kernel's backlog to be accepted: they would be reset, although their first request may already
// have arrived. Runs on the loop goroutine.
func (s *Server) stopAccepting() {
	if sockets.HasBacklog(s.listener) && s.loop.Clock.Now() < s.respondBy {
		s.loop.RunAt(s.loop.Clock.Now()+limits.RecheckDelay.Seconds(), s.stopAccepting)
		return
	}
	s.listenerClosed.Store(true)
	sockets.StopAccepting(s.listener)
	s.finishShutdown()
}

// finishShutdown ends the shutdown if the listener and all connections are closed. Runs on the loop goroutine.
func (s *Server) finishShutdown() {
	allClosed := s.listenerClosed.Load() && len(s.conns) == 0 && s.openConns.Load() == 0
	if s.shuttingDown && allClosed {
		s.endShutdown()
	}
}

// endShutdown calls onShutdown once. Runs on the loop goroutine.
func (s *Server) endShutdown() {
	if s.onShutdown != nil {
		s.logShutdown("ended")
		s.onShutdown()
		s.onShutdown = nil
	}
}

// logShutdown logs a step of the shutdown with its time since the shutdown began.
func (s *Server) logShutdown(step string) {
	s.loop.Log.WithFields(logrus.Fields{"after": s.loop.Clock.Now() - s.shutdownAt, "connections": len(s.conns)}).Info("shutdown: " + step)
}

// mayOutlastKill reports whether the connection has only a request from before SIGTERM whose client waits beyond the earliest
// SIGKILL. Requests after SIGTERM have earlier deadlines. Runs on the loop goroutine.
func (c *conn) mayOutlastKill() bool {
	return c.begun && len(c.queued) == 0 && c.current != nil && c.current.request != nil &&
		c.current.request.Deadline > c.server.respondBy
}

// endCurrent ends the current request, if there is one that is open: with a rejection if it has not begun, and else as failed.
// Runs on the loop goroutine.
func (c *conn) endCurrent() {
	if c.current == nil || c.current.request == nil {
		return
	}
	if !c.begun {
		c.current.request.RejectReason = pipeline.ShuttingDown
		c.begin()
		return
	}
	c.server.loop.AbortRequest(c.current.request)
}

// closeWhenQuiescent closes the connection if it is quiescent, and otherwise checks again later. A new connection gets
// limits.FirstQueryTimeout for its first request, but not when requests are rejected anyway. Runs on the loop goroutine.
func (c *conn) closeWhenQuiescent() {
	if c.current != nil || len(c.queued) > 0 || c.closing {
		return // finishCurrent calls this again
	}
	l := c.server.loop
	now := l.Clock.Now()
	firstRequestBy := c.acceptedAt + limits.FirstQueryTimeout.Seconds()
	if c.requestCount.Load() == 0 && now < firstRequestBy && !c.server.refusing {
		l.RunAt(firstRequestBy, c.closeWhenQuiescent)
	} else if !c.closeIfQuiescent(metrics.ClosedByShutdown) {
		l.RunAt(now+limits.RecheckDelay.Seconds(), c.closeWhenQuiescent)
	}
}

// closeWhenWritten closes the connection as soon as the responses that were given to it are written. What else was read is
// rejected by rejectUnanswered. Runs on the loop goroutine.
func (c *conn) closeWhenWritten() {
	if c.isClosed() {
		return
	}
	if c.outbox.busy() {
		l := c.server.loop
		l.RunAt(l.Clock.Now()+limits.RecheckDelay.Seconds(), c.closeWhenWritten)
		return
	}
	if c.closing {
		c.closeSocket() // its sending half is closed, or the socket is about to be
		return
	}
	c.closeAsIdle(metrics.ClosedByShutdown)
}
