package discovery

import (
	"fmt"
	"math/rand"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/relay"
)

// listPath is the URL path of the list at the discovery service.
const listPath = "/api/targets"

// noGeneration is the generation of a relay that does not have a list.
const noGeneration = -1

// poll is one request to the discovery service.
type poll struct {
	path      string
	wait      time.Duration // the longest time that the service may hold the poll until the list changes
	timeout   time.Duration // time after which the poll counts as stalled
	continues bool          // the poll continues the watch without a gap after the previous answer
}

// pollOrigin is the reason for which a poll was sent.
type pollOrigin int

const (
	watchContinued pollOrigin = iota // follows another poll of the watch
	watchCommanded                   // first poll after the watch was turned on
	fetchCommanded                   // fetch of the full list
)

// pollSettings determines how a client polls for the lists of a site.
type pollSettings struct {
	pushed                 bool          // lists are pushed: the watch is not commanded, and the client itself retries it
	maxWatchWait           time.Duration // longest wait of a poll of the watch
	answerGrace            time.Duration // time for the answer to a poll of the watch, in addition to its wait
	immediateAnswerTimeout time.Duration // time for the answer to a poll that does not wait
	chunkTimeout           time.Duration // time for the next part of an answer that has begun
	firstPushedListTimeout time.Duration // time after the start until service opens without the pushed list
	firstListTimeout       time.Duration // time after the start until service opens without any list
	maxBackoff             time.Duration // longest delay before a watch for pushed lists is retried
}

// newPollSettings returns the settings of a site. The relay counts as notified of a pushed drain even if its watch is down,
// and must stop sending to the endpoint after the drain grace, so the backoff is limited to a fraction of that grace.
func newPollSettings(pushed bool, drainGrace relay.Seconds) pollSettings {
	partOfGrace := time.Duration(limits.PushedListPollFraction * drainGrace * float64(time.Second))
	return pollSettings{
		pushed:                 pushed,
		maxWatchWait:           limits.MaxWatchTime,
		answerGrace:            limits.WatchResponseTimeout,
		immediateAnswerTimeout: limits.PollResponseTimeout,
		chunkTimeout:           limits.ListReadTimeout,
		firstPushedListTimeout: limits.AgentListTimeout,
		firstListTimeout:       limits.FirstListTimeout,
		maxBackoff:             max(limits.MinPushedListPoll, min(partOfGrace, limits.MaxBackoff)),
	}
}

// pollSchedule determines the next poll of the watch at one address, which part of an answer is new, and when a failed
// watch is retried. It uses no clock, goroutine or socket, so that tests can run it in virtual time. The caller must
// synchronize access.
type pollSchedule struct {
	settings    pollSettings
	random      *rand.Rand
	generation  int64         // generation of the current list, or noGeneration
	backoff     time.Duration // upper bound of the last random retry delay; 0: no failure since the last answer
	established bool          // the last poll of the watch was answered, so the next one continues the watch

	confirmTimes []relay.Seconds // ascending: times after which an answer is needed soon
}

func newPollSchedule(seed int64, settings pollSettings) *pollSchedule {
	return &pollSchedule{settings: settings, random: rand.New(rand.NewSource(seed)), generation: noGeneration}
}

// confirmAfter ends the wait of polls at the given times, in ascending order, so that an answer comes soon after each.
func (s *pollSchedule) confirmAfter(times []relay.Seconds) { s.confirmTimes = times }

// nextPoll returns the next poll of the watch. The first poll does not wait: even an empty answer to it confirms the list
// for this relay and its peers.
func (s *pollSchedule) nextPoll(now relay.Seconds) poll {
	if s.generation < 0 {
		return s.fullListPoll()
	}
	if !s.established {
		return poll{path: changesPath(s.generation, 0), timeout: s.settings.immediateAnswerTimeout}
	}
	wait := s.watchWait(now)
	return poll{
		path:      changesPath(s.generation, wait),
		wait:      wait,
		timeout:   max(wait+s.settings.answerGrace, s.settings.immediateAnswerTimeout),
		continues: true,
	}
}

// watchWait returns the wait of a poll that continues the watch. It is random, so that relays whose watches stall at the same
// time do not all detect the stall and poll again at the same time, and ends at the next of confirmTimes.
func (s *pollSchedule) watchWait(now relay.Seconds) time.Duration {
	part := limits.MinWatchFraction + (1-limits.MinWatchFraction)*s.random.Float64()
	wait := time.Duration(part * float64(s.settings.maxWatchWait))
	for _, at := range s.confirmTimes {
		if at > now {
			untilConfirmed := time.Duration((at-now)*float64(time.Second)) + limits.WatchEndMargin
			return min(wait, untilConfirmed)
		}
	}
	return wait
}

// fullListPoll returns a poll for the full list. It does not wait.
func (s *pollSchedule) fullListPoll() poll {
	return poll{path: listPath, timeout: s.settings.immediateAnswerTimeout}
}

// changesPath returns the URL path for the changes since a generation. The service may wait that long for a change.
func changesPath(since int64, wait time.Duration) string {
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", listPath, since, wait.Milliseconds())
}

// accept records the answer to a poll and returns the part of it that is new. The decision module is notified of each
// answer to a command, and of other answers only if they contain changes.
func (s *pollSchedule) accept(list List, origin pollOrigin) listUpdate {
	if origin != fetchCommanded {
		s.established = true
	} else if list.Generation < s.generation {
		list = List{Generation: s.generation} // the watch has received a newer list in the meantime
	}
	s.generation, s.backoff = list.Generation, 0
	kind := relay.ListDelta
	if list.Full {
		kind = relay.ListFull
	}
	changes := list.Full || len(list.Endpoints) > 0 || list.Unreadable > 0
	return listUpdate{list: list, kind: kind, notify: changes || origin != watchContinued}
}

// pollFailed returns whether the client itself retries the watch, and after which delay: exponential backoff with jitter.
// After a stall the retry is immediate, because the relay will soon count as notified of the changes that the stalled poll
// missed.
func (s *pollSchedule) pollFailed(stalled bool) (retry bool, wait time.Duration) {
	s.established = false
	if !s.settings.pushed || stalled {
		return s.settings.pushed, 0
	}
	s.backoff = min(max(2*s.backoff, limits.MinBackoff), s.settings.maxBackoff)
	jitter := (1 + s.random.Float64()) / 2
	return true, time.Duration(jitter * float64(s.backoff))
}
