package clients

import (
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/sockets"
)

// Shutdown ends service gracefully: for a little while new connections still come and are served, then the listener
// closes, and each connection is closed between its requests. onShutdown runs when all are closed. Only on the loop.
func (s *Server) Shutdown(onShutdown func()) {
	now := s.loop.Clock.Now()
	s.loop.OpenService() // whoever waits for an endpoint list is told that there is none
	longestDeadline := min(s.loop.Site.MaxDeadline(), limits.PlatformMaxDeadline)
	s.respondBy = now + longestDeadline + limits.KillDelay - limits.FinalAnswerMargin
	s.loop.RunAt(now+limits.ShutdownAcceptTime.Seconds(), func() {
		s.shuttingDown, s.onShutdown = true, onShutdown
		s.stopAccepting()
		for c := range s.conns {
			c.closeWhenQuiescent()
		}
		s.finishShutdown()
	})
}

// stopAccepting takes the listening socket out of service. What the kernel has accepted is taken out of its backlog
// first, as it would be reset there, with a first request that may have come. On the loop.
func (s *Server) stopAccepting() {
	if sockets.HasBacklog(s.listener) && s.loop.Clock.Now() < s.respondBy {
		s.loop.RunAt(s.loop.Clock.Now()+limits.RecheckDelay.Seconds(), s.stopAccepting)
		return
	}
	s.listenerClosed.Store(true)
	sockets.StopAccepting(s.listener)
	s.finishShutdown()
}

// finishShutdown calls onShutdown, once, if all is closed. On the loop.
func (s *Server) finishShutdown() {
	allClosed := s.listenerClosed.Load() && len(s.conns) == 0 && s.openConns.Load() == 0
	if s.shuttingDown && allClosed && s.onShutdown != nil {
		s.onShutdown()
		s.onShutdown = nil
	}
}

// closeWhenQuiescent closes the connection if it is between requests, or else looks again when what has come is read; a
// new one gets a moment for its first request. On the loop.
func (c *conn) closeWhenQuiescent() {
	if c.current != nil || len(c.queued) > 0 || c.closing {
		return // the end of the response comes back here
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
