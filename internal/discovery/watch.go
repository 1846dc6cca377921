package discovery

import (
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/metrics"
)

// commandWatch turns the watch on or off. A command that was not taken yet is replaced.
func (s *server) commandWatch(on bool) {
	select {
	case <-s.watchCommands:
	default:
	}
	s.watchCommands <- on
}

// runWatch keeps the watch while it is on, until the server is closed.
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

// watch sends one poll after the other until the watch is turned off, or fails and is not to be retried from here.
func (s *server) watch() {
	c := &conn{server: s, forWatch: true}
	origin := watchCommanded
	for on := true; on; origin = watchContinued {
		list, failure := c.get(s.startPoll())
		restarted := s.endWatchPoll()
		switch {
		case failure == nil:
			s.acceptList(list, origin)
			on = s.stillOn()
		case restarted:
			c.close(metrics.ClosedByReplacement)
			s.interruptWatch()
		default:
			c.close(failure.reason)
			s.reportFailure(failure)
			on = s.waitForRetry(failure)
		}
	}
	c.close(metrics.ClosedByPolicy)
}

// stillOn takes a command that came while the watch was on.
func (s *server) stillOn() bool {
	select {
	case on := <-s.watchCommands:
		return on
	default:
		return true
	}
}

// startPoll plans the next poll of the watch and announces it to the loop.
func (s *server) startPoll() poll {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.schedule.nextPoll()
	s.client.loop.Post(pollStartEvent{s, next})
	return next
}

// beginWatchPoll notes the connection on which a poll of the watch waits from now on.
func (s *server) beginWatchPoll(connection netpoll.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchConn, s.restartOrdered = connection, false
}

// endWatchPoll notes that no poll of the watch waits. It says whether the last one was given up by command.
func (s *server) endWatchPoll() (restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restarted = s.restartOrdered
	s.watchConn, s.restartOrdered = nil, false
	return restarted
}

// restartWatch gives up the poll of the watch that waits, if any.
func (s *server) restartWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[s.watchConn]; open && !s.restartOrdered {
		s.restartOrdered = true
		shutdown(s.watchConn)
	}
}

// interruptWatch notes that the next poll begins a new watch.
func (s *server) interruptWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.established = false
}

// waitForRetry waits until a failed watch is to be retried. It returns false if the watch waits for a command instead, or
// the server is closed.
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
