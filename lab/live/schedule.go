package live

import (
	"time"

	"lichenroad/lab"
)

// schedule holds the next arrival until it is due; it reads only one arrival ahead. Only the session's loop uses it.
type schedule struct {
	started time.Time
	source  <-chan lab.Arrival // nil after the last arrival
	timer   *time.Timer        // fires when next may be due
	next    lab.Arrival
	hasNext bool
	begun   bool    // whether the first arrival has been read, which sets offset
	offset  float64 // time in the recording at which the replay starts, in seconds
}

func newSchedule(started time.Time, source <-chan lab.Arrival) *schedule {
	return &schedule{started: started, source: source, timer: time.NewTimer(0)}
}

func (s *schedule) hasMore() bool { return s.source != nil || s.hasNext }

// arrivalChannel returns the channel to read the next arrival from, nil while an arrival is held.
func (s *schedule) arrivalChannel() <-chan lab.Arrival {
	if s.hasNext {
		return nil
	}
	return s.source
}

// add takes what was read from the channel; ok is false at the end of the source. Times are shifted so that the first arrival
// is due startupTime after the start.
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

// takeDue returns the held arrival if it is due. If one is held but not yet due, it sets the timer again.
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
	due := s.started.Add(time.Duration(s.next.At * nanosPerSecond))
	s.timer.Reset(time.Until(due))
}

// stop drops the held arrival and all that follow.
func (s *schedule) stop() { s.source, s.hasNext = nil, false }
