package scale

import (
	"testing"

	"lichenroad/internal/discovery"
	"lichenroad/relay"
)

// newReader returns a real list reader for two zones.
func newReader() *discovery.Reader {
	return discovery.NewReader([]string{"zone-0", "zone-1"}, kindNames(), func(unix float64) relay.Seconds { return unix - epoch })
}

// oldEndpoint returns an endpoint that started before the simulation.
func oldEndpoint() *endpoint {
	return newEndpoint("s0-u0", place{zone: 1, rack: 3}, 1, 1, -initialUptime)
}

// TestRealReaderReadsAFullList encodes a full list and parses it with the real reader.
func TestRealReaderReadsAFullList(t *testing.T) {
	old := oldEndpoint()
	r := newRegistry(5, []*endpoint{old})
	full, err := newReader().Parse(r.answerFor(noGeneration).body)
	if err != nil || !full.Full || full.Generation != 1 || len(full.Endpoints) != 1 || full.Unreadable != 0 {
		t.Fatalf("full list: got %+v, error %v", full, err)
	}
	want := relay.Endpoint{ID: old.id, Zone: 1, MachineType: 1, FailureDomain: 3, Build: 1, Weight: 1, State: relay.Ready,
		StartKnown: true, StartedAt: -initialUptime}
	if got := full.Endpoints[0].Endpoint; got != want {
		t.Errorf("endpoint: got %+v, want %+v", got, want)
	}
}

// TestRealReaderReadsADelta publishes a new and a draining endpoint, and parses the encoded changes with the real reader.
func TestRealReaderReadsADelta(t *testing.T) {
	old := oldEndpoint()
	added := newEndpoint("s0-b2-1", place{}, 0, 2, 4.25)
	r := newRegistry(5, []*endpoint{old})
	r.add(4, added)
	old.state = relay.Draining
	r.scheduleChange(4.9, old)
	if r.publish(4); r.generation != 2 {
		t.Fatalf("after the first publication: generation %d, want 2", r.generation)
	}
	if r.publish(4.4); r.generation != 2 {
		t.Errorf("published before the publish interval had passed: generation %d", r.generation)
	}
	if r.publish(4.9); r.generation != 3 || old.drainListedAt != 4.9 {
		t.Errorf("got generation %d and drain listed at %g s, want 3 and 4.9 s", r.generation, old.drainListedAt)
	}
	delta, err := newReader().Parse(r.answerFor(1).body)
	if err != nil || delta.Full || delta.Generation != 3 || len(delta.Endpoints) != 2 {
		t.Fatalf("changes since generation 1: got %+v, error %v", delta, err)
	}
	if drained := delta.Endpoints[0]; drained.ID != old.id || drained.State != relay.Draining {
		t.Errorf("entry of the draining endpoint: %+v", drained)
	}
	if joined := delta.Endpoints[1]; joined.ID != added.id || joined.StartedAt != 4.25 {
		t.Errorf("entry of the new endpoint: %+v", joined)
	}
	if got := r.changedSince(2); len(got) != 1 || got[0] != old {
		t.Errorf("changed since generation 2: got %v, want only the draining endpoint", got)
	}
}

// TestPartsOfALongListAreEquivalent parses the parts of a long list. Together they contain every endpoint, and only one of them is
// a full list.
func TestPartsOfALongListAreEquivalent(t *testing.T) {
	var endpoints []*endpoint
	for i := range 2*entriesPerPart + 5 {
		endpoints = append(endpoints, newEndpoint("u"+zoneName(i), place{}, 0, 1, 0))
	}
	r := newRegistry(1, endpoints)
	seen, fullLists := map[relay.EndpointID]bool{}, 0
	for _, part := range r.answerFor(-1).parts() {
		list, err := newReader().Parse(part)
		if err != nil {
			t.Fatal(err)
		}
		if list.Full {
			fullLists++
		}
		for _, entry := range list.Endpoints {
			seen[entry.ID] = true
		}
	}
	if len(seen) != len(endpoints) || fullLists != 1 {
		t.Errorf("parts contain %d of %d endpoints, and %d of them are full lists", len(seen), len(endpoints), fullLists)
	}
}

// TestPollsForFullListsQueue checks that polls are answered one after another, and fail if the queue is too long.
func TestPollsForFullListsQueue(t *testing.T) {
	r := newRegistry(800, nil) // discovery sends 100 full lists per second to 800 relays
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
		t.Errorf("%d polls answered, the last one after %g s, and %d failed", served, last, failed)
	}
	if delay, accepted := r.enqueue(20); !accepted || delay != answerDelay {
		t.Errorf("with an empty queue: accepted %v, delay %g s", accepted, delay)
	}
}
