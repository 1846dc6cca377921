package scale

import (
	"bytes"
	"slices"
	"testing"

	"lichenroad/internal/discovery"
	"lichenroad/relay"
)

// TestReportsAreEncodedAsByRealRelays reads what real relays tell with the second implementation, and writes it again.
func TestReportsAreEncodedAsByRealRelays(t *testing.T) {
	sim, err := newSimulation(smallOptions(Wide, func(o *Options) { o.Relays, o.Rate, o.Seconds = 5, 300, 16 }))
	if err != nil {
		t.Fatal(err)
	}
	reports, attempts, flagged := 0, 0, 0
	for n := range int64(800) {
		from, to := float64(n)*tick, float64(n+1)*tick
		sim.beginTick(n, from)
		for _, h := range sim.hollowRelays {
			h.advance(from, to)
			for _, x := range h.sendQueue.datagrams {
				if isDecision(x.body) || x.class == membershipClass {
					continue
				}
				r, err := decodeReport(x.body)
				if err != nil {
					t.Fatalf("%x: %v", x.body, err)
				}
				if again := r.encode(); !bytes.Equal(again, x.body) {
					t.Fatalf("%x was written as %x", x.body, again)
				}
				reports++
				attempts += len(r.attempts)
				for _, a := range r.attempts {
					if !slices.ContainsFunc(sim.services[0].endpoints, func(e *endpoint) bool { return endpointMark(e.id) == a.endpointMark }) {
						t.Fatalf("no unit has the mark %x", a.endpointMark)
					}
				}
				if slices.ContainsFunc(r.verdicts, func(v verdictReport) bool { return v.flagged }) {
					flagged++
				}
			}
		}
		sim.collectOutput(to)
	}
	if reports < 100 || attempts < 10*reports || flagged == 0 {
		t.Errorf("%d reports, %d attempts, %d flags", reports, attempts, flagged)
	}
}

func reader() *discovery.Reader {
	return discovery.NewReader([]string{"zone-0", "zone-1"}, kindNames(), func(unix float64) relay.Seconds { return unix - epoch })
}

// TestRealReaderReadsTheLists writes a list and a change of it.
func TestRealReaderReadsTheLists(t *testing.T) {
	old := newEndpoint("s0-u0", place{zone: 1, rack: 3}, 1, 1, -initialUptime)
	young := newEndpoint("s0-b2-1", place{}, 0, 2, 4.25)
	r := newRegistry(5, []*endpoint{old})
	whole, err := reader().Parse(r.answer(-1).body)
	if err != nil || !whole.Full || whole.Generation != 1 || len(whole.Endpoints) != 1 || whole.Unreadable != 0 {
		t.Fatalf("%+v %v", whole, err)
	}
	if got, want := whole.Endpoints[0].Endpoint, (relay.Endpoint{ID: old.id, Zone: 1, MachineType: 1, FailureDomain: 3, Build: 1, Weight: 1,
		State: relay.Ready, StartKnown: true, StartedAt: -initialUptime}); got != want {
		t.Errorf("%+v, not %+v", got, want)
	}
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
	delta, err := reader().Parse(r.answer(1).body)
	if err != nil || delta.Full || delta.Generation != 3 || len(delta.Endpoints) != 2 {
		t.Fatalf("%+v %v", delta, err)
	}
	if a, b := delta.Endpoints[0], delta.Endpoints[1]; a.ID != old.id || a.State != relay.Draining || b.ID != young.id || b.StartedAt != 4.25 {
		t.Errorf("%+v", delta.Endpoints)
	}
	if got := r.changedSince(2); len(got) != 1 || got[0] != old {
		t.Errorf("%v", got)
	}
}

// TestPartsOfALongListAreEquivalent cuts a list that the reader refuses in one piece.
func TestPartsOfALongListAreEquivalent(t *testing.T) {
	var endpoints []*endpoint
	for i := range 2*entriesPerPart + 5 {
		endpoints = append(endpoints, newEndpoint("u"+zoneName(i), place{}, 0, 1, 0))
	}
	r := newRegistry(1, endpoints)
	seen, whole := map[relay.EndpointID]bool{}, 0
	for _, part := range r.answer(-1).parts() {
		list, err := reader().Parse(part)
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
		t.Errorf("%d units in parts of %d, %d whole", len(seen), len(endpoints), whole)
	}
}

// TestPollsForFullListsQueue has discovery work through calls in turn, and fail those that would wait too long.
func TestPollsForFullListsQueue(t *testing.T) {
	r := newRegistry(800, nil) // 100 lists a second
	served, failed, last := 0, 0, 0.0
	for range 300 {
		took, fails := r.enqueue(10)
		if fails {
			failed++
			continue
		}
		served++
		last = took
	}
	if served != 201 || failed != 99 || last < maxQueueTime || last > maxQueueTime+2*answerDelay {
		t.Errorf("%d served, the last after %g s, %d failed", served, last, failed)
	}
	if took, fails := r.enqueue(20); fails || took != answerDelay {
		t.Errorf("an empty queue took %g s", took)
	}
}
