package discovery

import (
	"fmt"
	"math/rand"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/relay"
)

// target is the path of the list.
const listPath = "/api/targets"

// request is one call to discovery.
type poll struct {
	path      string
	wait      time.Duration // that the call may wait for something new
	timeout   time.Duration // after which it is given up as silent
	continues bool          // the watch, without a gap behind the answer before
}

// keeper keeps the watch on one address: what it asks next, what of an answer is news, and when it asks again. It has
// no clock, no goroutine and no socket, so that a test can play it in virtual time.
type pollSchedule struct {
	random      *rand.Rand
	generation  int64 // of the list that stands; -1: none
	settings    pollSettings
	backoff     time.Duration // that was last let pass between two tries; 0: none failed since an answer
	established bool          // the last call of the watch was answered, and the next one continues it
}

// waits are how long things may take, and how a list comes to be told.
type pollSettings struct {
	maxWatchWait    time.Duration // a watch's longest wait
	answerGrace     time.Duration // an answer beyond that
	immediateAnswer time.Duration // an answer to a call that does not wait
	nextChunk       time.Duration // the next piece of an answer that has begun
	firstPushedList time.Duration // clients, at the start, for a list that is pushed
	firstList       time.Duration // clients, at the start, for any list where none is known
	pushed          bool          // the module orders no watch: one that ends is opened again from here
	maxBackoff      time.Duration // between two tries to open it then: what the agent has counts as told all the same
}

// usual are the waits of a site. Where lists are pushed what comes while no watch stands has to be in hand before the
// drain grace is over, so a relay tries again within a part of it.
func newPollSettings(pushed bool, grace relay.Seconds) pollSettings {
	most := time.Duration(limits.PushPart * grace * float64(time.Second))
	return pollSettings{limits.WatchFor, limits.AnswerFor, limits.PlainFor, limits.ListRest, limits.FirstList, limits.NoList, pushed,
		max(limits.LeastOff, min(most, limits.MostOff))}
}

func newPollSchedule(seed int64, w pollSettings) *pollSchedule {
	return &pollSchedule{random: rand.New(rand.NewSource(seed)), settings: w, generation: -1}
}

// next is the watch's next call. The first call of a watch does not wait: its answer, even an empty one, confirms the list,
// for this relay and for its peers. How long the others wait is drawn, so that relays whose watches fell silent together
// don't find out together and all ask anew at one moment.
func (k *pollSchedule) nextPoll() poll {
	if k.generation < 0 {
		return k.fullListPoll()
	}
	if !k.established {
		return poll{fmt.Sprintf("%s?after=%d&wait_ms=0", listPath, k.generation), 0, k.settings.immediateAnswer, false}
	}
	wait := time.Duration((limits.WatchPart + (1-limits.WatchPart)*k.random.Float64()) * float64(k.settings.maxWatchWait))
	return poll{fmt.Sprintf("%s?after=%d&wait_ms=%d", listPath, k.generation, wait.Milliseconds()), wait, wait + k.settings.answerGrace, true}
}

// whole is a call for the whole list, which does not wait.
func (k *pollSchedule) fullListPoll() poll {
	return poll{listPath, 0, k.settings.immediateAnswer, false}
}

// took takes an answer, to the watch or to a call for the whole list, and says what of it the module is to be told;
// an answer to an order always, else only news.
func (k *pollSchedule) accept(list List, ordered, fetched bool) (List, relay.ListUpdateKind, bool) {
	k.established = k.established || !fetched
	if fetched && list.Generation < k.generation {
		list = List{Generation: k.generation} // the watch has told more meanwhile; this brings nothing new
	}
	k.generation, k.backoff = list.Generation, 0
	form := relay.ListDelta
	if list.Full {
		form = relay.ListFull
	}
	return list, form, ordered || list.Full || len(list.Endpoints) > 0 || list.Unreadable > 0
}

// failed says whether the watch is opened again from here, and after how long: longer from time to time, but at once
// after silence, as what was missed is about to count as told.
func (k *pollSchedule) pollFailed(silent bool) (again bool, after time.Duration) {
	k.established = false
	if k.settings.pushed && !silent {
		k.backoff = min(max(2*k.backoff, limits.BackOff), k.settings.maxBackoff)
		after = time.Duration((1 + k.random.Float64()) / 2 * float64(k.backoff))
	}
	return k.settings.pushed, after
}
