package lab

import "testing"

// replayEvenStream replays requests at even intervals. change adjusts the options; each, if not nil, adjusts each arrival.
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

// TestEndpointFaults checks that each endpoint fault is reproducible, changes the result and leads to no violation, and that
// the decision module serves more than a plain load balancer when some endpoints are slow or failing.
func TestEndpointFaults(t *testing.T) {
	noFault := replayEvenStream(t, func(*ReplayOptions) {}, nil)
	for _, name := range EndpointFaultNames() {
		with := func(options *ReplayOptions) { options.Fault = endpointFaults[name] }
		got, again := replayEvenStream(t, with, nil), replayEvenStream(t, with, nil)
		if got.TimelineHash != again.TimelineHash {
			t.Errorf("%s: two runs with one seed differ: timelines %s and %s", name, got.TimelineHash, again.TimelineHash)
		}
		if len(got.Violations) > 0 {
			t.Errorf("%s: violation %+v", name, got.Violations[0])
		}
		if name != "none" && name != "memos" && got.TimelineHash == noFault.TimelineHash {
			t.Errorf("%s: the timeline is the same as without a fault", name)
		}
		newBaseline, _ := Baseline("random")
		withBaseline := replayEvenStream(t, func(options *ReplayOptions) { with(options); options.NewModule = newBaseline }, nil)
		if (name == "slow" || name == "failing") && withBaseline.All.ServedFraction >= got.All.ServedFraction {
			t.Errorf("%s: served fraction %.4f, not above %.4f of a plain load balancer", name, got.All.ServedFraction, withBaseline.All.ServedFraction)
		}
		t.Logf("%s: served fraction %.4f, with a plain load balancer %.4f", name, got.All.ServedFraction, withBaseline.All.ServedFraction)
	}
	if _, err := EndpointFaultByName("moon"); err == nil {
		t.Error("EndpointFaultByName accepts an unknown name")
	}
}

// TestMachineFaultsOfATrace checks that a machine failure in the trace makes the endpoint that stands for the machine fail,
// both for short and for long durations.
func TestMachineFaultsOfATrace(t *testing.T) {
	noFault := replayEvenStream(t, func(*ReplayOptions) {}, nil)
	withFaults := func(duration float64) ReplayResult {
		return replayEvenStream(t, func(*ReplayOptions) {}, func(i int, arrival *Arrival) {
			if i%400 == 0 {
				arrival.Machine, arrival.FaultDuration, arrival.FailureRate = uint64(i)*0x9e3779b97f4a7c15, duration, 0.9
			}
		})
	}
	short, long := withFaults(0.5), withFaults(6)
	if noFault.Failed > 0 || short.Failed == 0 || long.Failed == 0 || long.Attempts <= noFault.Attempts || len(long.Violations) > 0 {
		t.Errorf("failed requests: %d without faults, %d with short ones, %d with long ones; attempts: %d without, %d with long ones; %d violations",
			noFault.Failed, short.Failed, long.Failed, noFault.Attempts, long.Attempts, len(long.Violations))
	}
}

// TestLongRequestOverloadsNoEndpoint checks that each attempt at an endpoint in slow start counts with its own work. If all
// counted with the work of the last one, a single long request among short ones would be reported as an overload.
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
			t.Errorf("seed %d: violation %+v", seed+1, got.Violations[0])
		}
	}
}
