package live

import (
	"time"

	"lichenroad/lab"
)

// schedule holds the next arrival until it is due. It reads one arrival ahead. The session's loop owns it.
type schedule struct {
	started time.Time
	source  <-chan lab.Arrival // nil: there are no more
	timer   *time.Timer        // fires when next may be due
	next    lab.Arrival
	hasNext bool
	begun   bool    // there was a first arrival
	offset  float64 // seconds of the recording at which the replay starts
}

func newSchedule(started time.Time, source <-chan lab.Arrival) *schedule {
	return &schedule{started: started, source: source, timer: time.NewTimer(0)}
}

func (s *schedule) hasMore() bool { return s.source != nil || s.hasNext }

// readable is the channel to read the next arrival from; nil while one is held.
func (s *schedule) readable() <-chan lab.Arrival {
	if s.hasNext {
		return nil
	}
	return s.source
}

// add takes what was read; ok is false at the end of the source. The first arrival comes startupTime after the start.
func (s *schedule) add(arrival lab.Arrival, ok bool) {
	if !ok {
		s.source = nil
		return
	}
	if !s.begun {
		s.begun, s.offset = true, arrival.At-startupTime
	}
	arrival.At -= s.offset
	s.next, s.hasNext = arrival, true
	s.setTimer()
}

// takeDue gives the held arrival if it is due. Otherwise the timer fires again.
func (s *schedule) takeDue(now float64) (arrival lab.Arrival, due bool) {
	if !s.hasNext {
		return lab.Arrival{}, false
	}
	if now < s.next.At {
		s.setTimer()
		return lab.Arrival{}, false
	}
	s.hasNext = false
	return s.next, true
}

func (s *schedule) setTimer() {
	due := s.started.Add(time.Duration(s.next.At * 1e9))
	s.timer.Reset(time.Until(due))
}

// stop drops the held arrival and all that would follow.
func (s *schedule) stop() { s.source, s.hasNext = nil, false }
