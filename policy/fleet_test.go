package policy

import (
	"fmt"
	"runtime"
	"testing"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// large is a relay of a large fleet under load: one that fuses, and so hears of the attempts of all others, while a build
// stands beside the earlier one. It returns what lets it go on for so long.
func largeFleet(t interface{ Fatalf(string, ...any) }, endpoints, relays int) (w *world, goOn func(relay.Seconds)) {
	set := plainSettings()
	set.Relays = relays
	w = newWorld(t, set)
	w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome {
		attempt.end = w.now + 0.15
		return relay.Succeeded
	}
	es := append(entries(endpoints/2, 1, 1), entries(endpoints-endpoints/2, 2, 1+endpoints/2)...)
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: es},
		relay.RolloutStatus{Valid: true, Build: 2, Stage: 1, Phase: relay.PhaseCanary, ExposureLimit: 0.4})
	no := 0
	return w, func(span relay.Seconds) {
		w.run(span, func() (out []relay.Event) { // 30 requests a second, and every relay's report once a second
			if no%3 == 0 {
				out = append(out, w.newRequest(relay.RequestClass(no%2), 0))
			}
			for i := no % 100; i < relays; i += 100 {
				m := peerwire.Report{Build: 2, Stage: 1, Verdicts: make([]peerwire.ClassVerdict, len(set.Classes))}
				for k := range 4 {
					m.Observations = append(m.Observations, peerwire.Observation{Endpoint: peerwire.HashOf(es[(i*7+no+k*endpoints/3)%endpoints].ID), Outcome: relay.Succeeded,
						Newest: k%2 == 0, Ratio: 1})
				}
				if i != int(set.Self) {
					out = append(out, relay.MessageReceived{From: relay.ID(i), Body: m.Encode()})
				}
			}
			no++
			return out
		})
	}
}

// TestLargeFleetFitsTheMemory holds the module of the busiest relay, an aggregator, to a third of the smallest limit's heap.
func TestLargeFleetFitsTheMemory(t *testing.T) {
	const maxCount = 8 << 20 // bytes: of 32 MB, a quarter is buffers and 10 MB the program itself
	for _, n := range []int{150, 350, 1024} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w, goOn := largeFleet(t, n, n)
		goOn(15)
		w.requests, w.sent, w.accepted, w.canaryAttempts = nil, nil, nil, nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		got := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		t.Logf("%d units, %d relays: %.1f MB", n, n, float64(got)/(1<<20))
		if got > maxCount {
			t.Errorf("%d endpoints and relays: %d bytes", n, got)
		}
		runtime.KeepAlive(w.mod)
	}
}

// BenchmarkLargeFleet is the cost of one second of an aggregator's life: 30 requests, a report from each relay, 20 ticks.
func BenchmarkLargeFleet(b *testing.B) {
	for _, n := range []int{10, 60, 150, 350, 1024} {
		b.Run(fmt.Sprintf("units=%d", n), func(b *testing.B) {
			_, goOn := largeFleet(b, n, n)
			goOn(12)
			b.ResetTimer()
			b.ReportAllocs()
			for range b.N {
				goOn(1)
			}
		})
	}
}

// TestEqualHashes gives two endpoints one hash, as may be in a large fleet: what others tell goes to the first that
// stands, and to the second when the first is forgotten.
func TestEqualHashes(t *testing.T) {
	first, second := relay.EndpointID(1), relay.EndpointID(0)
	seen := map[peerwire.EndpointHash]relay.EndpointID{}
	for id := relay.EndpointID(1); second == 0; id++ {
		if other, twice := seen[peerwire.HashOf(id)]; twice {
			first, second = other, id
		}
		seen[peerwire.HashOf(id)] = id
	}
	p := New(plainSettings(), 1)
	es := entries(2, 1, 1)
	es[0].ID, es[1].ID = first, second
	p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: es}})
	if endpoint := p.endpoints.byHash[peerwire.HashOf(second)]; endpoint == nil || endpoint.id != first {
		t.Fatalf("%+v", endpoint)
	}
	p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: es[1:]}})
	p.Step(2+removedRetention, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: es[1:]}})
	if endpoint := p.endpoints.byHash[peerwire.HashOf(second)]; len(p.endpoints.all) != 1 || endpoint == nil || endpoint.id != second {
		t.Errorf("%d endpoints, hash at %+v", len(p.endpoints.all), endpoint)
	}
}

// TestPartialEntryKeepsWhatIsKnown drains an endpoint by an entry of which nothing but that could be read.
func TestPartialEntryKeepsWhatIsKnown(t *testing.T) {
	p := New(plainSettings(), 1)
	es := entries(2, 7, 1)
	p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: es}})
	p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListDelta, Endpoints: []relay.Endpoint{
		{ID: 2, State: relay.Draining, Partial: true}, {ID: 3, State: relay.Draining, Partial: true}}}})
	if endpoint := p.endpoints.byID[2]; endpoint.State != relay.Draining || endpoint.Build != 7 || endpoint.Zone != es[1].Zone {
		t.Errorf("%+v", endpoint.Endpoint)
	}
	if p.endpoints.byID[1].State != relay.Ready || p.endpoints.byID[3].State != relay.Draining {
		t.Error("another endpoint's entry was touched, or an unknown one's lost")
	}
}
