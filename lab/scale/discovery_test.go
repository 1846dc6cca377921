package scale

import (
	"testing"

	"lichenroad/internal/discovery"
	"lichenroad/relay"
)

// newReader returns the real reader for two zones.
func newReader() *discovery.Reader {
	return discovery.NewReader([]string{"zone-0", "zone-1"}, kindNames(), func(unix float64) relay.Seconds { return unix - epoch })
}

// oldEndpoint returns an endpoint that ran before the simulation.
func oldEndpoint() *endpoint {
	return newEndpoint("s0-u0", place{zone: 1, rack: 3}, 1, 1, -initialUptime)
}

// TestRealReaderReadsAFullList encodes a full list.
func TestRealReaderReadsAFullList(t *testing.T) {
	old := oldEndpoint()
	r := newRegistry(5, []*endpoint{old})
	full, err := newReader().Parse(r.answer(noGeneration).body)
	if err != nil || !full.Full || full.Generation != 1 || len(full.Endpoints) != 1 || full.Unreadable != 0 {
		t.Fatalf("%+v %v", full, err)
	}
	want := relay.Endpoint{ID: old.id, Zone: 1, MachineType: 1, FailureDomain: 3, Build: 1, Weight: 1, State: relay.Ready,
		StartKnown: true, StartedAt: -initialUptime}
	if got := full.Endpoints[0].Endpoint; got != want {
		t.Errorf("%+v, not %+v", got, want)
	}
}

// TestRealReaderReadsADelta publishes an endpoint that joins and one that drains, and encodes the change.
func TestRealReaderReadsADelta(t *testing.T) {
	old := oldEndpoint()
	young := newEndpoint("s0-b2-1", place{}, 0, 2, 4.25)
	r := newRegistry(5, []*endpoint{old})
	r.add(4, young)
	old.state = relay.Draining
	r.scheduleChange(4.9, old)
	if r.publish(4); r.generation != 2 {
		t.Fatal(r.generation)
	}
	if r.publish(4.4); r.generation != 2 {
		t.Error("published too early")
	}
	if r.publish(4.9); r.generation != 3 || old.drainListedAt != 4.9 {
		t.Errorf("generation %d, leaving since %g", r.generation, old.drainListedAt)
	}
	delta, err := newReader().Parse(r.answer(1).body)
	if err != nil || delta.Full || delta.Generation != 3 || len(delta.Endpoints) != 2 {
		t.Fatalf("%+v %v", delta, err)
	}
	if drained := delta.Endpoints[0]; drained.ID != old.id || drained.State != relay.Draining {
		t.Errorf("%+v", drained)
	}
	if joined := delta.Endpoints[1]; joined.ID != young.id || joined.StartedAt != 4.25 {
		t.Errorf("%+v", joined)
	}
	if got := r.changedSince(2); len(got) != 1 || got[0] != old {
		t.Errorf("%v", got)
	}
}

// TestPartsOfALongListAreEquivalent encodes a list that the reader rejects as a whole.
func TestPartsOfALongListAreEquivalent(t *testing.T) {
	var endpoints []*endpoint
	for i := range 2*entriesPerPart + 5 {
		endpoints = append(endpoints, newEndpoint("u"+zoneName(i), place{}, 0, 1, 0))
	}
	r := newRegistry(1, endpoints)
	seen, whole := map[relay.EndpointID]bool{}, 0
	for _, part := range r.answer(-1).parts() {
		list, err := newReader().Parse(part)
		if err != nil {
			t.Fatal(err)
		}
		if list.Full {
			whole++
		}
		for _, line := range list.Endpoints {
			seen[line.ID] = true
		}
	}
	if len(seen) != len(endpoints) || whole != 1 {
		t.Errorf("%d endpoints in parts of %d, %d full lists", len(seen), len(endpoints), whole)
	}
}

// TestPollsForFullListsQueue checks that polls are answered in turn, and fail if the queue is too long.
func TestPollsForFullListsQueue(t *testing.T) {
	r := newRegistry(800, nil) // 100 lists a second
	served, failed, last := 0, 0, 0.0
	for range 300 {
		delay, accepted := r.enqueue(10)
		if !accepted {
			failed++
			continue
		}
		served++
		last = delay
	}
	if served != 201 || failed != 99 || last < maxQueueTime || last > maxQueueTime+2*answerDelay {
		t.Errorf("%d served, the last after %g s, %d failed", served, last, failed)
	}
	if delay, accepted := r.enqueue(20); !accepted || delay != answerDelay {
		t.Errorf("an empty queue delays by %g s", delay)
	}
}
