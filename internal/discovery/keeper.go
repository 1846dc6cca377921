package discovery

import (
	"fmt"
	"math/rand"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/relay"
)

// target is the path of the list.
const target = "/api/targets"

// request is one call to discovery.
type request struct {
	path      string
	wait      time.Duration // that the call may wait for something new
	limit     time.Duration // after which it is given up as silent
	continues bool          // the watch, without a gap behind the answer before
}

// keeper keeps the watch on one address: what it asks next, what of an answer is news, and when it asks again. It has
// no clock, no goroutine and no socket, so that a test can play it in virtual time.
type keeper struct {
	chance  *rand.Rand
	version int64 // of the list that stands; -1: none
	waits   waits
	off     time.Duration // that was last let pass between two tries; 0: none failed since an answer
	stands  bool          // the last call of the watch was answered, and the next one continues it
}

// waits are how long things may take, and how a list comes to be told.
type waits struct {
	watch  time.Duration // a watch's longest wait
	answer time.Duration // an answer beyond that
	plain  time.Duration // an answer to a call that does not wait
	rest   time.Duration // the next piece of an answer that has begun
	first  time.Duration // clients, at the start, for a list that is pushed
	none   time.Duration // clients, at the start, for any list where none is known
	pushed bool          // the module orders no watch: one that ends is opened again from here
	most   time.Duration // between two tries to open it then: what the agent has counts as told all the same
}

// usual are the waits of a site. Where lists are pushed what comes while no watch stands has to be in hand before the
// drain grace is over, so a relay tries again within a part of it.
func usual(pushed bool, grace relay.Seconds) waits {
	most := time.Duration(limits.PushedListPollFraction * grace * float64(time.Second))
	return waits{limits.MaxWatchTime, limits.WatchResponseTimeout, limits.PollResponseTimeout, limits.ListReadTimeout, limits.AgentListTimeout, limits.FirstListTimeout, pushed,
		max(limits.MinPushedListPoll, min(most, limits.MaxBackoff))}
}

func newKeeper(seed int64, w waits) *keeper {
	return &keeper{chance: rand.New(rand.NewSource(seed)), waits: w, version: -1}
}

// next is the watch's next call. The first call of a watch does not wait: its answer, even an empty one, confirms the list,
// for this relay and for its peers. How long the others wait is drawn, so that relays whose watches fell silent together
// don't find out together and all ask anew at one moment.
func (k *keeper) next() request {
	if k.version < 0 {
		return k.whole()
	}
	if !k.stands {
		return request{fmt.Sprintf("%s?after=%d&wait_ms=0", target, k.version), 0, k.waits.plain, false}
	}
	wait := time.Duration((limits.MinWatchFraction + (1-limits.MinWatchFraction)*k.chance.Float64()) * float64(k.waits.watch))
	return request{fmt.Sprintf("%s?after=%d&wait_ms=%d", target, k.version, wait.Milliseconds()), wait, wait + k.waits.answer, true}
}

// whole is a call for the whole list, which does not wait.
func (k *keeper) whole() request { return request{target, 0, k.waits.plain, false} }

// took takes an answer, to the watch or to a call for the whole list, and says what of it the module is to be told;
// an answer to an order always, else only news.
func (k *keeper) took(list List, ordered, fetched bool) (List, relay.ListUpdateKind, bool) {
	k.stands = k.stands || !fetched
	if fetched && list.Generation < k.version {
		list = List{Generation: k.version} // the watch has told more meanwhile; this brings nothing new
	}
	k.version, k.off = list.Generation, 0
	form := relay.ListDelta
	if list.Full {
		form = relay.ListFull
	}
	return list, form, ordered || list.Full || len(list.Endpoints) > 0 || list.Unreadable > 0
}

// failed says whether the watch is opened again from here, and after how long: longer from time to time, but at once
// after silence, as what was missed is about to count as told.
func (k *keeper) failed(silent bool) (again bool, after time.Duration) {
	k.stands = false
	if k.waits.pushed && !silent {
		k.off = min(max(2*k.off, limits.MinBackoff), k.waits.most)
		after = time.Duration((1 + k.chance.Float64()) / 2 * float64(k.off))
	}
	return k.waits.pushed, after
}
