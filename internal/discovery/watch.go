package discovery

import (
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/metrics"
)

// commandWatch turns the watch on or off. It replaces a command that has not been received yet.
func (s *server) commandWatch(on bool) {
	select {
	case <-s.watchCommands:
	default:
	}
	s.watchCommands <- on
}

// runWatch maintains the watch while it is on, until the server is closed.
func (s *server) runWatch() {
	for {
		select {
		case on := <-s.watchCommands:
			if on {
				s.watch()
			}
		case <-s.closed:
			return
		}
	}
}

// watch sends one poll after another until the watch is turned off, or fails and must not be retried without a command.
func (s *server) watch() {
	c := &conn{server: s, forWatch: true}
	origin := watchCommanded
	for on := true; on; origin = watchContinued {
		startedAt := time.Now()
		list, failure := c.get(s.startPoll())
		restarted := s.endWatchPoll()
		switch {
		case failure == nil:
			s.acceptList(list, origin)
			on = s.watchStillOn()
		case restarted:
			c.close(metrics.ClosedByReplacement)
			s.interruptWatch()
		default:
			c.close(failure.reason)
			s.reportFailure(failure, time.Since(startedAt))
			on = s.waitForRetry(failure)
		}
	}
	c.close(metrics.ClosedByPolicy)
}

// watchStillOn reports whether the watch is still on after any command that has arrived in the meantime.
func (s *server) watchStillOn() bool {
	select {
	case on := <-s.watchCommands:
		return on
	default:
		return true
	}
}

// startPoll returns the next poll of the watch and announces it to the loop.
func (s *server) startPoll() poll {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.schedule.nextPoll(s.client.loop.Clock.Now())
	s.client.loop.Post(pollStartEvent{s, next})
	return next
}

// beginWatchPoll records the connection on which a poll of the watch is now waiting.
func (s *server) beginWatchPoll(connection netpoll.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchConn, s.watchAbandoned = connection, false
}

// endWatchPoll records that no poll of the watch is waiting. It reports whether the last one was abandoned by a command.
func (s *server) endWatchPoll() (restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restarted = s.watchAbandoned
	s.watchConn, s.watchAbandoned = nil, false
	return restarted
}

// restartWatch abandons the waiting poll of the watch, if any.
func (s *server) restartWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[s.watchConn]; open && !s.watchAbandoned {
		s.watchAbandoned = true
		shutdown(s.watchConn)
	}
}

// interruptWatch records that the next poll starts a new watch.
func (s *server) interruptWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.established = false
}

// waitForRetry waits until a failed watch should be retried. It returns false if only a command can restart the watch, or
// if the server is closed.
func (s *server) waitForRetry(failure *pollError) bool {
	s.mu.Lock()
	retry, backoff := s.schedule.pollFailed(failure.stalled())
	s.mu.Unlock()
	if !retry {
		return false
	}
	select {
	case <-time.After(backoff):
		return true
	case <-s.closed:
		return false
	}
}
