package policy

import (
	"math"
	"sort"
	"testing"

	"lichenroad/membership"
	"lichenroad/relay"
)

// TestStalledWatchIsPolledAtOnce reports a stalled watch. The next call is made at once, since changes that the watch
// missed count as delivered 2 s after the end of its wait. If further calls fail, they are retried with backoff, so that
// the fleet does not sustain the overload that makes them fail; until one is answered, the lease keeps the relay from
// using an old list. Whatever fails, the next call comes while the list may still be used.
func TestStalledWatchIsPolledAtOnce(t *testing.T) {
	for seed := range int64(50) {
		settings := testSettings()
		settings.ListOnRequest = true
		settings.Relays = 300
		p, now := New(settings, seed), relay.Seconds(0)
		polls := func(events ...relay.Event) bool {
			for _, command := range p.Step(now, events) {
				if watch, ok := command.(relay.Watch); ok && watch.On {
					return true
				}
			}
			return false
		}
		pollDelay := func(kind relay.ListUpdateKind) (delay relay.Seconds) {
			for polled := polls(relay.ListUpdate{Kind: kind}); !polled; polled = polls(relay.TimerFired{ID: 1}) {
				now, delay = now+tickInterval, delay+tickInterval
			}
			return delay
		}
		polls(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)})
		if delay := pollDelay(relay.ListWatchStalled); delay > 2*tickInterval {
			t.Errorf("seed %d: polled %v after a stalled watch", seed, delay)
		}
		longest := 0.0
		for range 20 {
			longest = math.Max(longest, pollDelay(relay.ListFetchFailed))
		}
		if longest < 4 || longest > 16+tickInterval {
			t.Errorf("seed %d: failed calls are retried after at most %v", seed, longest)
		}
		polls(relay.ListUpdate{Kind: relay.ListDelta})
		if delay := pollDelay(relay.ListFetchFailed); delay > 2+tickInterval {
			t.Errorf("seed %d: polled %v after the first failure that followed an answer", seed, delay)
		}
		p = New(settings, seed)
		polls(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)})
		p.endpoints.backoff = membership.NewBackoff(settings.Relays, 0.5, p.random) // a list is valid for 2 s after a failed call
		for range 20 {
			if delay := pollDelay(relay.ListFetchFailed); delay > 2 {
				t.Errorf("seed %d: polled %v after a failed call, though the list may be used for 2 s only", seed, delay)
			}
		}
	}
}

// TestPeerUpdateIsNoAnswerOfDiscovery lets calls to discovery fail. A peer's update about a draining endpoint must not
// change the time of the retry. Once discovery answers a peer again, the retry comes earlier, at times spread over the
// fleet.
func TestPeerUpdateIsNoAnswerOfDiscovery(t *testing.T) {
	const relays = 200
	pollTimes := map[bool][]relay.Seconds{}
	for _, recovered := range []bool{false, true} {
		for seed := range int64(relays) {
			settings := testSettings()
			settings.ListOnRequest, settings.Relays = true, relays
			p := New(settings, seed)
			p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)}})
			for range 6 {
				p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListFetchFailed}})
			}
			events := []relay.Event{relay.ListUpdate{Kind: relay.ListDelta, FromPeers: true,
				Endpoints: []relay.Endpoint{{ID: 1, State: relay.Draining, Partial: true}}}}
			if recovered {
				events = append(events, relay.DiscoveryRecovered{})
			}
			polled := false
			for now := 1.0; !polled && now < 30; now += tickInterval {
				for _, command := range p.Step(now, append(events, relay.TimerFired{ID: 1})) {
					if watch, ok := command.(relay.Watch); ok && watch.On {
						polled = true
						pollTimes[recovered] = append(pollTimes[recovered], now)
					}
				}
				events = nil
			}
			if !polled {
				t.Fatalf("seed %d, discovery recovered %v: the call was not retried", seed, recovered)
			}
		}
		sort.Float64s(pollTimes[recovered])
	}
	if last := pollTimes[true][relays-1]; last > 1+8+2*tickInterval || last < 1+4 {
		t.Errorf("the last relay calls %v after discovery answers again", last-1)
	}
	if pollTimes[true][relays/2] >= pollTimes[false][relays/2] {
		t.Errorf("median retry at %v after discovery answers a peer again, at %v otherwise", pollTimes[true][relays/2], pollTimes[false][relays/2])
	}
}

// TestUnlistedStageRestartsTheWatch starts a stage. If its endpoints are not listed, most relays restart their watch, each
// once and at different times. If they are listed, none does.
func TestUnlistedStageRestartsTheWatch(t *testing.T) {
	const relays = 100
	for _, listed := range []bool{false, true} {
		restarts, restartsBySecond := 0, map[int]int{}
		for seed := range int64(relays) {
			p := New(testSettings(), seed)
			p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(20, 1, 1)},
				relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseCanary, ExposureLimit: 0.1}})
			for now := relay.Seconds(0); now < 15; now += tickInterval {
				events := []relay.Event{relay.TimerFired{ID: 1}}
				if listed && now > 2 {
					events = append(events, relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(5, 2, 21)})
				}
				for _, command := range p.Step(now, events) {
					if watch, ok := command.(relay.Watch); ok && watch.Restart {
						restarts++
						restartsBySecond[int(now)]++
					}
				}
			}
		}
		maxCount := 0
		for second, n := range restartsBySecond {
			if maxCount = max(maxCount, n); second < int(listingDelay+watchRestartDelay) {
				t.Error("watch restarted before the endpoints could be listed")
			}
		}
		if listed && restarts > 0 || !listed && (restarts < relays*9/10 || restarts > relays || maxCount > relays/2) {
			t.Errorf("listed %v: %d restarts, at most %d within a second", listed, restarts, maxCount)
		}
	}
}

// TestUpdateOfAnotherCallKeepsTheRetry lets a call fail and a list arrive afterwards, as from the old watch when the
// address of discovery changes. The failed call is still retried; otherwise the relay would get no more updates.
func TestUpdateOfAnotherCallKeepsTheRetry(t *testing.T) {
	for _, kind := range []relay.ListUpdateKind{relay.ListFetchFailed, relay.ListWatchStalled} {
		p, now, polled := New(testSettings(), 1), relay.Seconds(0), false
		p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)}})
		p.Step(1, []relay.Event{relay.ListUpdate{Kind: kind}, relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(1, 1, 1)}})
		for now = 1; now < 4; now += tickInterval {
			for _, command := range p.Step(now, []relay.Event{relay.TimerFired{ID: 1}}) {
				watch, ok := command.(relay.Watch)
				polled = polled || ok && watch.On
			}
		}
		if !polled {
			t.Errorf("after an update of kind %d and a list: not polled again", kind)
		}
		p.Step(now, []relay.Event{relay.ListUpdate{Kind: relay.ListDelta}})
		for ; now < 10; now += tickInterval {
			for _, command := range p.Step(now, []relay.Event{relay.TimerFired{ID: 1}}) {
				if watch, ok := command.(relay.Watch); ok {
					t.Errorf("polled at %v, though the call after the failed one was answered: %+v", now, watch)
				}
			}
		}
	}
}
