package discovery

import "lichenroad/internal/metrics"

// commandFetch orders a fetch of the full list. One that is waiting already does for both.
func (s *server) commandFetch() {
	select {
	case s.fetchCommands <- struct{}{}:
	default:
	}
}

// runFetches fetches the full list by command, each time on a connection of its own, until the server is closed.
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
	list, failure := c.get(s.schedule.fullListPoll())
	if failure != nil {
		c.close(failure.reason)
		s.reportFailure(failure)
		return
	}
	s.acceptList(list, fetchCommanded)
	c.close(metrics.ClosedByPolicy)
}
