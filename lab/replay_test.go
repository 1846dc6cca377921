package lab

import (
	"fmt"
	"testing"
)

// TestSeriesIsBounded records a thousand hours in a series: the number of points stays bounded, and no count is lost in
// merges.
func TestSeriesIsBounded(t *testing.T) {
	s := series{width: 1}
	n := 0
	for at := 0.0; at < 3.6e6; at += 997 {
		p := s.pointAt(at)
		p.arrived++
		p.histogram().RecordValue(int64(at) + 1)
		n++
	}
	sum, values := 0, int64(0)
	for i := range s.points {
		sum += s.points[i].arrived
		if s.points[i].latency != nil {
			values += s.points[i].latency.TotalCount()
		}
	}
	if len(s.points) > maxPoints || sum != n || values != int64(n) {
		t.Errorf("%d points; %d arrivals and %d latencies recorded, want %d each", len(s.points), sum, values, n)
	}
}

// TestTraceFailuresAreFailedAttempts replays requests of which every second pair has a failing first attempt: idempotent
// ones are retried, at-most-once ones fail.
func TestTraceFailuresAreFailedAttempts(t *testing.T) {
	replay, err := NewReplay(ReplayOptions{Seed: 1, Relays: 2, Endpoints: 4, Classes: []string{"next-turn", "reassign"}, Tenants: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 400 {
		replay.Arrive(Arrival{At: float64(i) * 0.05, Class: i % 2, Work: 0.05, Relay: uint64(i), FailedAttempts: 1 - i/2%2})
	}
	got := replay.Finish()
	if got.All.Requests != 400 || got.Failed != 100 || got.Attempts < 480 || got.Attempts > 520 || len(got.Violations) > 0 {
		t.Errorf("%+v", got)
	}
	if s := got.Classes["reassign"].ServedFraction; s < 0.45 || s > 0.55 {
		t.Errorf("served fraction of reassign is %g, want about 0.5: half of the first attempts fail", s)
	}
	if s := got.Classes["next-turn"].ServedFraction; s < 0.99 {
		t.Errorf("served fraction of next-turn is %g, want 0.99 at least: it may be retried", s)
	}
}

func BenchmarkReplay(b *testing.B) {
	for _, relays := range []int{4, 40, 400} {
		b.Run(fmt.Sprintf("relays=%d", relays), func(b *testing.B) {
			replay, err := NewReplay(ReplayOptions{Seed: 1, Relays: relays, Endpoints: min(4*relays, 1000), Classes: []string{"next-turn"}, Tenants: []string{"a"}})
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for i := range b.N {
				replay.Arrive(Arrival{At: float64(i) / (30 * float64(relays)), Work: 0.1, Relay: uint64(i)})
			}
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "queries/s")
		})
	}
}
