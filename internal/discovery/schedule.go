package discovery

import (
	"fmt"
	"math/rand"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/relay"
)

// listPath is the path of the list at the discovery service.
const listPath = "/api/targets"

// noGeneration is the generation of a relay that has no list.
const noGeneration = -1

// poll is one request to the discovery service.
type poll struct {
	path      string
	wait      time.Duration // for which the service may hold the poll until something changes
	timeout   time.Duration // after which the poll counts as stalled
	continues bool          // it continues the watch, without a gap after the answer before
}

// pollOrigin says why a poll was sent.
type pollOrigin int

const (
	watchContinued pollOrigin = iota // after another poll of the watch
	watchCommanded                   // the first after the watch was turned on
	fetchCommanded                   // a fetch of the full list
)

// pollSettings are how the lists of a site are polled.
type pollSettings struct {
	pushed          bool          // no command orders the watch: the client retries it by itself
	maxWatchWait    time.Duration // for which a poll of the watch waits at most
	answerGrace     time.Duration // beyond its wait, for the answer to a poll of the watch
	immediateAnswer time.Duration // for the answer to a poll that does not wait
	nextChunk       time.Duration // for the next part of an answer that has begun
	firstPushedList time.Duration // after the start, until service opens without the pushed list
	firstList       time.Duration // after the start, until service opens without any list
	maxBackoff      time.Duration // between two attempts to open a pushed watch
}

// newPollSettings returns the settings of a site. Changes that are pushed while no watch stands bind the relay after the
// drain grace, so the backoff is bounded by a part of that.
func newPollSettings(pushed bool, drainGrace relay.Seconds) pollSettings {
	partOfGrace := time.Duration(limits.PushedListPollFraction * drainGrace * float64(time.Second))
	return pollSettings{
		pushed:          pushed,
		maxWatchWait:    limits.MaxWatchTime,
		answerGrace:     limits.WatchResponseTimeout,
		immediateAnswer: limits.PollResponseTimeout,
		nextChunk:       limits.ListReadTimeout,
		firstPushedList: limits.AgentListTimeout,
		firstList:       limits.FirstListTimeout,
		maxBackoff:      max(limits.MinPushedListPoll, min(partOfGrace, limits.MaxBackoff)),
	}
}

// pollSchedule decides what the watch at one address polls for next, what of an answer is new, and when a failed watch is
// retried. It has no clock, goroutine or socket, so that tests run it in virtual time. The caller guards it.
type pollSchedule struct {
	settings    pollSettings
	random      *rand.Rand
	generation  int64         // of the list that holds, or noGeneration
	backoff     time.Duration // bound of the last wait before a retry; 0: no failure since an answer
	established bool          // the last poll of the watch was answered, and the next one continues it
}

func newPollSchedule(seed int64, settings pollSettings) *pollSchedule {
	return &pollSchedule{settings: settings, random: rand.New(rand.NewSource(seed)), generation: noGeneration}
}

// nextPoll returns the next poll of the watch. The first one does not wait: its answer, even an empty one, confirms the
// list for this relay and for its peers. The wait of the others is random, so that relays whose watches stalled together
// don't all notice and poll again at one moment.
func (s *pollSchedule) nextPoll() poll {
	if s.generation < 0 {
		return s.fullListPoll()
	}
	if !s.established {
		return poll{path: changesPath(s.generation, 0), timeout: s.settings.immediateAnswer}
	}
	part := limits.MinWatchFraction + (1-limits.MinWatchFraction)*s.random.Float64()
	wait := time.Duration(part * float64(s.settings.maxWatchWait))
	return poll{
		path:      changesPath(s.generation, wait),
		wait:      wait,
		timeout:   wait + s.settings.answerGrace,
		continues: true,
	}
}

// fullListPoll returns a poll for the full list, which does not wait.
func (s *pollSchedule) fullListPoll() poll {
	return poll{path: listPath, timeout: s.settings.immediateAnswer}
}

// changesPath is the path of the changes since a generation, for which the service may wait.
func changesPath(since int64, wait time.Duration) string {
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", listPath, since, wait.Milliseconds())
}

// accept takes the answer to a poll, and says what of it is new. The decision module learns of each answer to a command,
// and of others only if they change something.
func (s *pollSchedule) accept(list List, origin pollOrigin) listUpdate {
	if origin != fetchCommanded {
		s.established = true
	} else if list.Generation < s.generation {
		list = List{Generation: s.generation} // the watch has brought a newer list meanwhile
	}
	s.generation, s.backoff = list.Generation, 0
	kind := relay.ListDelta
	if list.Full {
		kind = relay.ListFull
	}
	changes := list.Full || len(list.Endpoints) > 0 || list.Unreadable > 0
	return listUpdate{list: list, kind: kind, notify: changes || origin != watchContinued}
}

// pollFailed says whether the client retries the watch by itself, and after which wait: exponential backoff with jitter,
// but none after a stall, as what was missed in it is about to bind the relay.
func (s *pollSchedule) pollFailed(stalled bool) (retry bool, wait time.Duration) {
	s.established = false
	if !s.settings.pushed || stalled {
		return s.settings.pushed, 0
	}
	s.backoff = min(max(2*s.backoff, limits.MinBackoff), s.settings.maxBackoff)
	jitter := (1 + s.random.Float64()) / 2
	return true, time.Duration(jitter * float64(s.backoff))
}
