package clients

import (
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/sockets"
	"lichenroad/relay"
)

// shutdownTimes are the times of a graceful shutdown on the clock of the loop, one after the other.
type shutdownTimes struct {
	respondBy relay.Seconds // the latest deadline of a request that begins after SIGTERM
	abort     relay.Seconds // when requests that are still open are ended
	end       relay.Seconds // when the program ends, even if connections are open
}

// newShutdownTimes returns the times of a shutdown for requests with deadlines of up to longestDeadline. The program ends
// before the earliest SIGKILL, unless a request from before SIGTERM may be open for longer.
func newShutdownTimes(sigterm, longestDeadline relay.Seconds) shutdownTimes {
	earliestKill := sigterm + min(longestDeadline, limits.PlatformMaxDeadline) + limits.KillDelay
	end := max(earliestKill-limits.ExitMargin, sigterm+longestDeadline+limits.ForcedShutdownDelay)
	return shutdownTimes{
		respondBy: earliestKill - limits.FinalAnswerMargin,
		abort:     end - limits.FinalFlushTime,
		end:       end,
	}
}

// Shutdown ends service gracefully: new connections are accepted and served for limits.ShutdownAcceptTime, then the
// listener closes, and each connection is closed as soon as it has no open request. onShutdown runs once, when everything is
// closed or at the end of the shutdownTimes. Must run on the loop goroutine.
func (s *Server) Shutdown(onShutdown func()) {
	now := s.loop.Clock.Now()
	s.loop.OpenService() // answers the empty queries that wait for service to open
	times := newShutdownTimes(now, s.loop.Site.MaxDeadline())
	s.respondBy, s.onShutdown = times.respondBy, onShutdown
	s.loop.RunAt(now+limits.ShutdownAcceptTime.Seconds(), func() {
		s.shuttingDown = true
		s.stopAccepting()
		for c := range s.conns {
			c.closeWhenQuiescent()
		}
		s.finishShutdown()
	})
	s.loop.RunAt(times.abort, s.abortRequests)
	s.loop.RunAt(times.end, s.endShutdown)
}

// abortRequests ends the open requests: their clients wait for longer than the program runs. Runs on the loop goroutine.
func (s *Server) abortRequests() {
	for c := range s.conns {
		if c.current == nil || c.current.request == nil {
			continue
		}
		if !c.begun {
			c.begin()
		}
		s.loop.AbortRequest(c.current.request)
	}
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
		s.onShutdown()
		s.onShutdown = nil
	}
}

// closeWhenQuiescent closes the connection if it is quiescent, and otherwise checks again later. A new connection gets
// limits.FirstQueryTimeout for its first request. Runs on the loop goroutine.
func (c *conn) closeWhenQuiescent() {
	if c.current != nil || len(c.queued) > 0 || c.closing {
		return // finishCurrent calls this again
	}
	l := c.server.loop
	now := l.Clock.Now()
	firstRequestBy := c.acceptedAt + limits.FirstQueryTimeout.Seconds()
	if c.requestCount.Load() == 0 && now < firstRequestBy {
		l.RunAt(firstRequestBy, c.closeWhenQuiescent)
	} else if !c.closeIfQuiescent(metrics.ClosedByShutdown) {
		l.RunAt(now+limits.RecheckDelay.Seconds(), c.closeWhenQuiescent)
	}
}
