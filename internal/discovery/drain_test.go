package discovery

import "testing"

// simulationRuns is the number of simulations, each with its own seed, that a test runs.
const simulationRuns = 60

// minAttemptsPerSecond is the minimum rate of attempts in a simulation. Without attempts the check would find nothing.
const minAttemptsPerSecond = 10

// TestNoNewAttemptsToDrainingEndpoints checks in simulations, with lists on request and with pushed lists, that no new
// attempts are sent to draining endpoints after the drain grace.
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
			t.Errorf("pushed %v: only %d attempts sent, too few for a meaningful check", pushed, sent)
		}
	}
}

// TestDrainCheckDetectsDisabledSafeguards disables one safeguard at a time and checks that the same simulations then find a
// violation.
func TestDrainCheckDetectsDisabledSafeguards(t *testing.T) {
	for name, test := range map[string]struct {
		pushed   bool
		disabled disabledSafeguards
	}{
		"late detection of stalled watches":       {false, disabledSafeguards{lateStallDetection: true}},
		"waiting attempts kept after a drain":     {false, disabledSafeguards{keepWaitingAttempts: true}},
		"no watch for pushed lists":               {true, disabledSafeguards{noPushedWatch: true}},
		"no more polls after a change of address": {false, disabledSafeguards{stopAfterMove: true}},
	} {
		found := 0
		for seed := range int64(simulationRuns) {
			if newDrainSimulation(seed, test.pushed, test.disabled).run() != "" {
				found++
			}
		}
		t.Logf("%s: violations in %d of %d simulations", name, found, simulationRuns)
		if found == 0 {
			t.Error("no violation found with a disabled safeguard:", name)
		}
	}
}
