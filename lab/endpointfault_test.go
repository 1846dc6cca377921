package lab

import "testing"

// troubled replays an even stream in some trouble.
func replayEvenStream(t *testing.T, change func(*ReplayOptions), each func(i int, a *Arrival)) ReplayResult {
	t.Helper()
	o := ReplayOptions{Seed: 3, Relays: 3, Endpoints: 8, Classes: []string{"next-turn", "full-route", "stop-done", "reassign"}, Tenants: []string{"a", "b"}}
	change(&o)
	r, err := NewReplay(o)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4000 {
		a := Arrival{At: float64(i) * 0.02, Class: i % 4, Tenant: i % 2, Work: 0.1, Relay: uint64(i)}
		if each != nil {
			each(i, &a)
		}
		r.Arrive(a)
	}
	return r.Finish()
}

// TestEndpointFaults: each one shows in the figures, none breaks a rule, and the module does better in it than a plain balancer
// where there is something to see and to go round.
func TestEndpointFaults(t *testing.T) {
	calm := replayEvenStream(t, func(*ReplayOptions) {}, nil)
	for _, name := range EndpointFaultNames() {
		with := func(o *ReplayOptions) { o.Fault = endpointFaults[name] }
		got, again := replayEvenStream(t, with, nil), replayEvenStream(t, with, nil)
		if got.TimelineHash != again.TimelineHash {
			t.Errorf("%s: not the same twice", name)
		}
		if len(got.Violations) > 0 {
			t.Errorf("%s: %+v", name, got.Violations[0])
		}
		if name != "none" && name != "memos" && got.TimelineHash == calm.TimelineHash {
			t.Errorf("%s does nothing", name)
		}
		plain, _ := Baseline("random")
		less := replayEvenStream(t, func(o *ReplayOptions) { with(o); o.NewModule = plain }, nil)
		if (name == "slow" || name == "failing") && less.All.ServedFraction >= got.All.ServedFraction {
			t.Errorf("%s: %.4f, a plain balancer %.4f", name, got.All.ServedFraction, less.All.ServedFraction)
		}
		t.Logf("%s: %.4f, a plain balancer %.4f", name, got.All.ServedFraction, less.All.ServedFraction)
	}
	if _, err := EndpointFaultByName("moon"); err == nil {
		t.Error("a trouble of any name")
	}
}

// TestMachineFaultsOfATrace: a failure of the trace has its machine's planner fail, for as long as the mapping says.
func TestMachineFaultsOfATrace(t *testing.T) {
	calm := replayEvenStream(t, func(*ReplayOptions) {}, nil)
	hours := func(last float64) ReplayResult {
		return replayEvenStream(t, func(*ReplayOptions) {}, func(i int, a *Arrival) {
			if i%400 == 0 {
				a.Machine, a.FaultDuration, a.FailureRate = uint64(i)*0x9e3779b97f4a7c15, last, 0.9
			}
		})
	}
	short, long := hours(0.5), hours(6)
	if calm.Failed > 0 || short.Failed == 0 || long.Failed == 0 || long.Attempts <= calm.Attempts || len(long.Violations) > 0 {
		t.Errorf("%d, %d, %d written off", calm.Failed, short.Failed, long.Failed)
	}
}

// TestLongRequestOverloadsNoEndpoint: the checker took every leg at a cold planner for as long as the last one, so that a
// long query among short ones broke rule 4 alone.
func TestLongRequestOverloadsNoEndpoint(t *testing.T) {
	for seed := range 4 {
		got := replayEvenStream(t, func(o *ReplayOptions) { o.Fault, o.Seed, o.Relays = endpointFaults["dying"], int64(seed+1), 20 }, func(i int, a *Arrival) {
			if a.At, a.Work = float64(i)*0.004, 0.04; i%25 == 0 {
				a.Work = 1.5
			}
		})
		if len(got.Violations) > 0 {
			t.Errorf("seed %d: %+v", seed+1, got.Violations[0])
		}
	}
}
