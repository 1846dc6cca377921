package discovery

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/relay"
)

// toldBy is when what a call missed counts as told, counted from its start: 6 s after it fell silent, or 2 s after its
// wait is over if that is later. A call falls silent at its start at the earliest.
func toldBy(r request) time.Duration { return max(6*time.Second, r.wait+2*time.Second) }

// TestSilenceIsNoticedInTime holds each call to what is left when it is given up: the list has to be asked for anew, and
// once more if that fails, before what was missed counts as told.
func TestSilenceIsNoticedInTime(t *testing.T) {
	const anew = 1500 * time.Millisecond // a call that discovery fails after its second, and half of one for the next
	for seed := range int64(1000) {
		k := newKeeper(seed, usual(false, 0.25))
		if r := k.next(); r.path != target || r.wait != 0 || toldBy(r)-r.limit < anew {
			t.Fatalf("%+v", r)
		}
		k.took(List{Generation: 7, Full: true}, true, false)
		r := k.next()
		if r.path != fmt.Sprintf("%s?after=7&wait_ms=%d", target, r.wait.Milliseconds()) {
			t.Fatalf("%+v", r)
		}
		if r.limit <= r.wait || toldBy(r)-r.limit < anew || r.wait > limits.MaxWatchTime || r.wait < limits.MaxWatchTime/2 {
			t.Fatalf("seed %d: given up after %v, told after %v", seed, r.limit, toldBy(r))
		}
	}
}

// TestFleetDoesNotAskAnewTogether lets the watches of 350 relays, begun at one moment, all fall silent.
func TestFleetDoesNotAskAnewTogether(t *testing.T) {
	var at []time.Duration
	for seed := range int64(350) {
		k := newKeeper(seed, usual(false, 0.25))
		k.version, k.stands = 1, true
		at = append(at, k.next().limit)
	}
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	most := 0
	for i, j := 0, 0; j < len(at); j++ {
		for at[j]-at[i] > time.Second {
			i++
		}
		most = max(most, j-i+1)
	}
	if most > 70 {
		t.Errorf("%d of %d relays ask anew within one second", most, len(at))
	}
}

// TestPushedListsAreAskedForAgainFromHere opens a watch again that nobody orders: at once after silence, else within the
// drain grace, however often it fails.
func TestPushedListsAreAskedForAgainFromHere(t *testing.T) {
	for _, grace := range []relay.Seconds{0.05, 0.25, 1, 10} {
		k := newKeeper(1, usual(true, grace))
		if again, after := k.failed(true); !again || after != 0 {
			t.Error("after silence:", again, after)
		}
		for range 20 {
			again, after := k.failed(false)
			if !again || after <= 0 || after > limits.MaxBackoff || after.Seconds() > grace*limits.PushedListPollFraction {
				t.Errorf("grace %v: %v after %v", grace, again, after)
			}
		}
	}
	if again, _ := newKeeper(1, usual(false, 0.25)).failed(true); again {
		t.Error("a watch that the module orders was opened again unasked")
	}
}

// TestNewsKeepsItsOrder has a whole list cross a watch's answer: what the watch told stands.
func TestNewsKeepsItsOrder(t *testing.T) {
	k := newKeeper(1, usual(false, 0.25))
	k.took(List{Generation: 5, Full: true}, true, false)
	if _, _, news := k.took(List{Generation: 5}, false, false); news {
		t.Error("a watch that brought nothing is no news")
	}
	if _, form, news := k.took(List{Generation: 6, Endpoints: make([]ListedEndpoint, 1)}, false, false); !news || form != relay.ListDelta {
		t.Error("a change is news")
	}
	if l, form, news := k.took(List{Generation: 5, Full: true, Endpoints: make([]ListedEndpoint, 2)}, true, true); !news ||
		form != relay.ListDelta || len(l.Endpoints) != 0 || k.version != 6 {
		t.Errorf("an older whole list undid the change: %+v %v, version %d", l, form, k.version)
	}
	if _, form, news := k.took(List{Generation: 2, Full: true}, false, false); !news || form != relay.ListFull || k.version != 2 {
		t.Error("a whole list on the watch begins anew, whatever its version")
	}
}
