package lab

import "testing"

// replayEvenStream replays an even stream of requests with some fault.
func replayEvenStream(t *testing.T, change func(*ReplayOptions), each func(i int, arrival *Arrival)) ReplayResult {
	t.Helper()
	options := ReplayOptions{Seed: 3, Relays: 3, Endpoints: 8, Classes: []string{"next-turn", "full-route", "stop-done", "reassign"}, Tenants: []string{"a", "b"}}
	change(&options)
	replay, err := NewReplay(options)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4000 {
		arrival := Arrival{At: float64(i) * 0.02, Class: i % 4, Tenant: i % 2, Work: 0.1, Relay: uint64(i)}
		if each != nil {
			each(i, &arrival)
		}
		replay.Arrive(arrival)
	}
	return replay.Finish()
}

// TestEndpointFaults checks that each fault shows in the result, none violates a rule, and the module does better than a plain
// load balancer where there is something to detect and to avoid.
func TestEndpointFaults(t *testing.T) {
	calm := replayEvenStream(t, func(*ReplayOptions) {}, nil)
	for _, name := range EndpointFaultNames() {
		with := func(options *ReplayOptions) { options.Fault = endpointFaults[name] }
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
		less := replayEvenStream(t, func(options *ReplayOptions) { with(options); options.NewModule = plain }, nil)
		if (name == "slow" || name == "failing") && less.All.ServedFraction >= got.All.ServedFraction {
			t.Errorf("%s: %.4f, a plain balancer %.4f", name, got.All.ServedFraction, less.All.ServedFraction)
		}
		t.Logf("%s: %.4f, a plain balancer %.4f", name, got.All.ServedFraction, less.All.ServedFraction)
	}
	if _, err := EndpointFaultByName("moon"); err == nil {
		t.Error("a fault of any name")
	}
}

// TestMachineFaultsOfATrace checks that a failure of the trace lets its machine's endpoint fail, for as long as the mapping
// says.
func TestMachineFaultsOfATrace(t *testing.T) {
	calm := replayEvenStream(t, func(*ReplayOptions) {}, nil)
	hours := func(last float64) ReplayResult {
		return replayEvenStream(t, func(*ReplayOptions) {}, func(i int, arrival *Arrival) {
			if i%400 == 0 {
				arrival.Machine, arrival.FaultDuration, arrival.FailureRate = uint64(i)*0x9e3779b97f4a7c15, last, 0.9
			}
		})
	}
	short, long := hours(0.5), hours(6)
	if calm.Failed > 0 || short.Failed == 0 || long.Failed == 0 || long.Attempts <= calm.Attempts || len(long.Violations) > 0 {
		t.Errorf("%d, %d, %d written off", calm.Failed, short.Failed, long.Failed)
	}
}

// TestLongRequestOverloadsNoEndpoint checks that each attempt at an endpoint in slow start counts by its own work: by that
// of the last one, a long request among short ones would violate rule 4 alone.
func TestLongRequestOverloadsNoEndpoint(t *testing.T) {
	for seed := range 4 {
		got := replayEvenStream(t, func(options *ReplayOptions) {
			options.Fault, options.Seed, options.Relays = endpointFaults["dying"], int64(seed+1), 20
		}, func(i int, arrival *Arrival) {
			if arrival.At, arrival.Work = float64(i)*0.004, 0.04; i%25 == 0 {
				arrival.Work = 1.5
			}
		})
		if len(got.Violations) > 0 {
			t.Errorf("seed %d: %+v", seed+1, got.Violations[0])
		}
	}
}
