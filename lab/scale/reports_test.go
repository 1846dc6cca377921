package scale

import (
	"bytes"
	"slices"
	"testing"

	"lichenroad/policy/peerwire"
)

// TestReportsAreEncodedAsByRealRelays decodes the reports of hosted relays and encodes them again. The result has to be the same,
// because synthetic relays send reports that are encoded in this way.
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
			for _, d := range h.sendQueue.datagrams {
				if peerwire.IsDecision(d.body) || d.class == membershipClass {
					continue
				}
				decoded, err := peerwire.Decode(d.body)
				if err != nil {
					t.Fatalf("decode %x: %v", d.body, err)
				}
				r, ok := decoded.(peerwire.Report)
				if !ok {
					t.Fatalf("%x is not a report", d.body)
				}
				if again := r.Encode(); !bytes.Equal(again, d.body) {
					t.Fatalf("report %x was encoded again as %x", d.body, again)
				}
				reports++
				attempts += len(r.Observations)
				for _, o := range r.Observations {
					if !slices.ContainsFunc(sim.services[0].endpoints, func(e *endpoint) bool { return peerwire.HashOf(e.id) == o.Endpoint }) {
						t.Fatalf("no endpoint has the hash %x", o.Endpoint)
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
		t.Errorf("too few for the test: %d reports, %d attempts in them, %d reports with a flag", reports, attempts, flagged)
	}
}
