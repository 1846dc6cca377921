package discovery

import "testing"

// simulationRuns is how many simulations, by their seeds, each test runs.
const simulationRuns = 60

// minAttemptsPerSecond is what a simulation has to send, so that the check means something.
const minAttemptsPerSecond = 10

// TestNoNewAttemptsToDrainingEndpoints runs simulations with lists on request and with pushed ones.
func TestNoNewAttemptsToDrainingEndpoints(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		sent := 0
		for seed := range int64(simulationRuns) {
			simulation := newDrainSimulation(seed, pushed, disabledSafeguards{})
			if violation := simulation.run(); violation != "" {
				t.Errorf("pushed %v, seed %d: %s", pushed, seed, violation)
			}
			sent += simulation.sentAttempts
		}
		if sent < simulationRuns*simulationLength*minAttemptsPerSecond {
			t.Errorf("pushed %v: only %d attempts sent", pushed, sent)
		}
	}
}

// TestDrainCheckDetectsDisabledSafeguards disables one safeguard at a time: the same simulations violate the rule then.
func TestDrainCheckDetectsDisabledSafeguards(t *testing.T) {
	for name, test := range map[string]struct {
		pushed   bool
		disabled disabledSafeguards
	}{
		"a stalled watch noticed late":           {false, disabledSafeguards{lateStallDetection: true}},
		"an attempt that outlives the drain":     {false, disabledSafeguards{keepWaitingAttempts: true}},
		"pushed lists that nobody polls for":     {true, disabledSafeguards{noPushedWatch: true}},
		"polls that end after a changed address": {false, disabledSafeguards{stopAfterMove: true}},
	} {
		found := 0
		for seed := range int64(simulationRuns) {
			if newDrainSimulation(seed, test.pushed, test.disabled).run() != "" {
				found++
			}
		}
		t.Logf("%s: %d of %d simulations", name, found, simulationRuns)
		if found == 0 {
			t.Error("not found:", name)
		}
	}
}
