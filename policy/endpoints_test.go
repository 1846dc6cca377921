package policy

import (
	"math"
	"sort"
	"testing"

	"lichenroad/membership"
	"lichenroad/relay"
)

// TestStalledWatchIsPolledAtOnce tells of a stalled watch, whose 2 s are nearly over: the next call is made at once. Those
// behind it that fail are backed off, so that a fleet does not keep up the overload that fails them; up to their answer
// the lease holds the relay back. Whatever fails, the next call comes within the time that a failed one is held to.
func TestStalledWatchIsPolledAtOnce(t *testing.T) {
	for seed := range int64(50) {
		set := plainSettings()
		set.ListOnRequest = true
		set.Relays = 300
		p, now := New(set, seed), relay.Seconds(0)
		asks := func(events ...relay.Event) bool {
			for _, o := range p.Step(now, events) {
				if w, ok := o.(relay.Watch); ok && w.On {
					return true
				}
			}
			return false
		}
		after := func(form relay.ListUpdateKind) (wait relay.Seconds) {
			for asked := asks(relay.ListUpdate{Kind: form}); !asked; asked = asks(relay.TimerFired{ID: 1}) {
				now, wait = now+tickInterval, wait+tickInterval
			}
			return wait
		}
		asks(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)})
		if wait := after(relay.ListWatchStalled); wait > 2*tickInterval {
			t.Errorf("seed %d: polled %v after a silence", seed, wait)
		}
		longest := 0.0
		for range 20 {
			longest = math.Max(longest, after(relay.ListFetchFailed))
		}
		if longest < 4 || longest > 16+tickInterval {
			t.Errorf("seed %d: calls that fail are made again after %v at most", seed, longest)
		}
		asks(relay.ListUpdate{Kind: relay.ListDelta})
		if wait := after(relay.ListFetchFailed); wait > 2+tickInterval {
			t.Errorf("seed %d: polled %v after the first failure behind an answer", seed, wait)
		}
		p = New(set, seed)
		asks(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)})
		p.endpoints.backoff = membership.NewBackoff(set.Relays, 0.5, p.random) // a failed call holds for 2 s then
		for range 20 {
			if wait := after(relay.ListFetchFailed); wait > 2 {
				t.Errorf("seed %d: held to a list for 2 s, polled again after %v", seed, wait)
			}
		}
	}
}

// TestPeerUpdateIsNoAnswerOfDiscovery has a call fail, and peers tell of endpoints that left and that discovery answers again:
// the first leaves the retry as it was, the second brings it forward, spread over the fleet.
func TestPeerUpdateIsNoAnswerOfDiscovery(t *testing.T) {
	const relays = 200
	at := map[bool][]relay.Seconds{}
	for _, answers := range []bool{false, true} {
		for seed := range int64(relays) {
			set := plainSettings()
			set.ListOnRequest, set.Relays = true, relays
			p := New(set, seed)
			p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)}})
			for range 6 {
				p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListFetchFailed}})
			}
			events := []relay.Event{relay.ListUpdate{Kind: relay.ListDelta, FromPeers: true,
				Endpoints: []relay.Endpoint{{ID: 1, State: relay.Draining, Partial: true}}}}
			if answers {
				events = append(events, relay.DiscoveryRecovered{})
			}
			asked := false
			for now := 1.0; !asked && now < 30; now += tickInterval {
				for _, o := range p.Step(now, append(events, relay.TimerFired{ID: 1})) {
					if w, ok := o.(relay.Watch); ok && w.On {
						asked = true
						at[answers] = append(at[answers], now)
					}
				}
				events = nil
			}
			if !asked {
				t.Fatalf("seed %d, answers %v: the retry was dropped", seed, answers)
			}
		}
		sort.Float64s(at[answers])
	}
	if last := at[true][relays-1]; last > 1+8+2*tickInterval || last < 1+4 {
		t.Errorf("the last of the fleet calls %v after discovery answers again", last-1)
	}
	if at[true][relays/2] >= at[false][relays/2] {
		t.Errorf("no sooner than without: %v, %v", at[true][relays/2], at[false][relays/2])
	}
}

// TestUnlistedStageRestartsTheWatch tells of a stage whose endpoints are not listed: relays open their watches anew,
// once each and not together, and none does where they are.
func TestUnlistedStageRestartsTheWatch(t *testing.T) {
	const relays = 100
	for _, listed := range []bool{false, true} {
		anew, at := 0, map[int]int{}
		for seed := range int64(relays) {
			p := New(plainSettings(), seed)
			p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(20, 1, 1)},
				relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseCanary, ExposureLimit: 0.1}})
			for now := relay.Seconds(0); now < 15; now += tickInterval {
				events := []relay.Event{relay.TimerFired{ID: 1}}
				if listed && now > 2 {
					events = append(events, relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(5, 2, 21)})
				}
				for _, o := range p.Step(now, events) {
					if w, ok := o.(relay.Watch); ok && w.Restart {
						anew++
						at[int(now)]++
					}
				}
			}
		}
		maxCount := 0
		for second, n := range at {
			if maxCount = max(maxCount, n); second < int(listingDelay+watchRestartDelay) {
				t.Error("doubted before its endpoints could be listed")
			}
		}
		if listed && anew > 0 || !listed && (anew < relays*9/10 || anew > relays || maxCount > relays/2) {
			t.Errorf("listed %v: %d times, %d in one second", listed, anew, maxCount)
		}
	}
}

// TestUpdateOfAnotherCallKeepsTheRetry has a call fail and a list come all the same, as when discovery moves and the old
// watch still tells something: the watch is polled again, or the relay would hear nothing more.
func TestUpdateOfAnotherCallKeepsTheRetry(t *testing.T) {
	for _, form := range []relay.ListUpdateKind{relay.ListFetchFailed, relay.ListWatchStalled} {
		p, now, asked := New(plainSettings(), 1), relay.Seconds(0), false
		p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)}})
		p.Step(1, []relay.Event{relay.ListUpdate{Kind: form}, relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(1, 1, 1)}})
		for now = 1; now < 4; now += tickInterval {
			for _, o := range p.Step(now, []relay.Event{relay.TimerFired{ID: 1}}) {
				w, ok := o.(relay.Watch)
				asked = asked || ok && w.On
			}
		}
		if !asked {
			t.Errorf("after status of form %d and a list: not polled again", form)
		}
		p.Step(now, []relay.Event{relay.ListUpdate{Kind: relay.ListDelta}})
		for ; now < 10; now += tickInterval {
			for _, o := range p.Step(now, []relay.Event{relay.TimerFired{ID: 1}}) {
				if w, ok := o.(relay.Watch); ok {
					t.Errorf("polled at %v, though the call behind the failure was answered: %+v", now, w)
				}
			}
		}
	}
}
