package scale

import (
	"bytes"
	"slices"
	"testing"

	"lichenroad/policy/peerwire"
)

// TestReportsAreEncodedAsByRealRelays decodes the reports of real relays and encodes them again.
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
				if peerwire.IsDecision(x.body) || x.class == membershipClass {
					continue
				}
				decoded, err := peerwire.Decode(x.body)
				if err != nil {
					t.Fatalf("%x: %v", x.body, err)
				}
				r, ok := decoded.(peerwire.Report)
				if !ok {
					t.Fatalf("%x is no report", x.body)
				}
				if again := r.Encode(); !bytes.Equal(again, x.body) {
					t.Fatalf("%x became %x", x.body, again)
				}
				reports++
				attempts += len(r.Observations)
				for _, a := range r.Observations {
					if !slices.ContainsFunc(sim.services[0].endpoints, func(e *endpoint) bool { return peerwire.HashOf(e.id) == a.Endpoint }) {
						t.Fatalf("no endpoint has the hash %x", a.Endpoint)
					}
				}
				if slices.ContainsFunc(r.Verdicts, func(v peerwire.ClassVerdict) bool { return v.Flagged }) {
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
