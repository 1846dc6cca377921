package discovery

import (
	"time"

	"lichenroad/internal/metrics"
)

// commandFetch requests a fetch of the full list. It does nothing if an earlier request is still waiting.
func (s *server) commandFetch() {
	select {
	case s.fetchCommands <- struct{}{}:
	default:
	}
}

// runFetches fetches the full list on each command until the server is closed. Each fetch uses a new connection.
func (s *server) runFetches() {
	for {
		select {
		case <-s.fetchCommands:
			s.fetch()
		case <-s.closed:
			return
		}
	}
}

func (s *server) fetch() {
	c := &conn{server: s}
	startedAt := time.Now()
	list, failure := c.get(s.schedule.fullListPoll())
	if failure != nil {
		c.close(failure.reason)
		s.reportFailure(failure, time.Since(startedAt))
		return
	}
	s.acceptList(list, fetchCommanded)
	c.close(metrics.ClosedByPolicy)
}
