package policy

import (
	"fmt"
	"runtime"
	"testing"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// largeFleet simulates an aggregator of a large fleet, to which all other relays report their attempts, while half of the
// endpoints run a build on trial. The returned function lets a span of time pass under load.
func largeFleet(t interface{ Fatalf(string, ...any) }, endpoints, relays int) (w *world, runFor func(relay.Seconds)) {
	settings := testSettings()
	settings.Relays = relays
	w = newWorld(t, settings)
	w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome {
		attempt.end = w.now + 0.15
		return relay.Succeeded
	}
	list := append(entries(endpoints/2, 1, 1), entries(endpoints-endpoints/2, 2, 1+endpoints/2)...)
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: list},
		relay.RolloutStatus{Valid: true, Build: 2, Stage: 1, Phase: relay.PhaseCanary, ExposureLimit: 0.4})
	tick := 0
	return w, func(span relay.Seconds) {
		w.run(span, func() (out []relay.Event) { // about 30 requests a second, and a report of every other relay once a second
			if tick%3 == 0 {
				out = append(out, w.newRequest(relay.RequestClass(tick%2), 0))
			}
			for i := tick % 100; i < relays; i += 100 {
				report := peerwire.Report{Build: 2, Stage: 1, Verdicts: make([]peerwire.ClassVerdict, len(settings.Classes))}
				for k := range 4 {
					report.Observations = append(report.Observations, peerwire.Observation{Endpoint: peerwire.HashOf(list[(i*7+tick+k*endpoints/3)%endpoints].ID), Outcome: relay.Succeeded,
						Newest: k%2 == 0, Ratio: 1})
				}
				if i != int(settings.Self) {
					out = append(out, relay.MessageReceived{From: relay.ID(i), Body: report.Encode()})
				}
			}
			tick++
			return out
		})
	}
}

// TestLargeFleetFitsTheMemory checks that the decision module of an aggregator, the busiest kind of relay, needs at most
// a third of the heap that the smallest memory limit permits.
func TestLargeFleetFitsTheMemory(t *testing.T) {
	const maxHeap = 8 << 20 // bytes; of the smallest limit, 32 MB, a quarter is for buffers and 10 MB for the program itself
	for _, n := range []int{150, 350, 1024} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w, runFor := largeFleet(t, n, n)
		runFor(15)
		w.requests, w.sent, w.received, w.canaryAttempts = nil, nil, nil, nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		got := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		t.Logf("%d endpoints, %d relays: %.1f MB", n, n, float64(got)/(1<<20))
		if got > maxHeap {
			t.Errorf("%d endpoints and as many relays: the module needs %d bytes", n, got)
		}
		runtime.KeepAlive(w.policy)
	}
}

// BenchmarkLargeFleet measures one second of an aggregator: 30 requests, a report from each relay, and 20 ticks.
func BenchmarkLargeFleet(b *testing.B) {
	for _, n := range []int{10, 60, 150, 350, 1024} {
		b.Run(fmt.Sprintf("units=%d", n), func(b *testing.B) {
			_, runFor := largeFleet(b, n, n)
			runFor(12)
			b.ResetTimer()
			b.ReportAllocs()
			for range b.N {
				runFor(1)
			}
		})
	}
}

// TestEqualHashes lists two endpoints whose ids have the same hash, as can happen in a large fleet. The hash stands for
// the first of them, and for the second once the first has been evicted.
func TestEqualHashes(t *testing.T) {
	first, second := relay.EndpointID(1), relay.EndpointID(0)
	seen := map[peerwire.EndpointHash]relay.EndpointID{}
	for id := relay.EndpointID(1); second == 0; id++ {
		if other, seenBefore := seen[peerwire.HashOf(id)]; seenBefore {
			first, second = other, id
		}
		seen[peerwire.HashOf(id)] = id
	}
	p := New(testSettings(), 1)
	list := entries(2, 1, 1)
	list[0].ID, list[1].ID = first, second
	p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: list}})
	if endpoint := p.endpoints.byHash[peerwire.HashOf(second)]; endpoint == nil || endpoint.id != first {
		t.Fatalf("the hash belongs to %+v, wanted the first endpoint", endpoint)
	}
	p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: list[1:]}})
	p.Step(2+removedRetention, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: list[1:]}})
	if endpoint := p.endpoints.byHash[peerwire.HashOf(second)]; len(p.endpoints.all) != 1 || endpoint == nil || endpoint.id != second {
		t.Errorf("after the eviction: %d endpoints, the hash belongs to %+v", len(p.endpoints.all), endpoint)
	}
}

// TestPartialEntryKeepsWhatIsKnown drains endpoints by list entries of which only the id and the state could be read. A
// known endpoint keeps its other values.
func TestPartialEntryKeepsWhatIsKnown(t *testing.T) {
	p := New(testSettings(), 1)
	list := entries(2, 7, 1)
	p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: list}})
	p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListDelta, Endpoints: []relay.Endpoint{
		{ID: 2, State: relay.Draining, Partial: true}, {ID: 3, State: relay.Draining, Partial: true}}}})
	if endpoint := p.endpoints.byID[2]; endpoint.State != relay.Draining || endpoint.Build != 7 || endpoint.Zone != list[1].Zone {
		t.Errorf("the entry lost values: %+v", endpoint.Endpoint)
	}
	if p.endpoints.byID[1].State != relay.Ready || p.endpoints.byID[3].State != relay.Draining {
		t.Error("the entry of another endpoint changed, or that of an unknown endpoint was dropped")
	}
}
