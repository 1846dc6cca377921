package discovery

import "testing"

// The bounds are one and a half times the most that was measured over the seeds 1 to 20, three of which are run here.
const (
	maxLeaseDelay       = 0.7   // s from the start; measured: 0.45
	maxListDelay        = 12.0  // s from the start; measured: 8.15, as first polls are spread over 8 s
	maxRecoverySeconds  = 9     // s from the restart; measured: 6
	maxRejectedFraction = 0.025 // of all requests; measured: 0.0152
)

var fleetSeeds = []int64{1, 2, 3}

// TestFleetRestartWithOverloadedDiscovery checks the rule on draining endpoints, and how soon the fleet recovers.
func TestFleetRestartWithOverloadedDiscovery(t *testing.T) {
	for _, seed := range fleetSeeds {
		findings := newFleet(seed, fleetSafeguards{}).run()
		t.Logf("seed %d: lease %.2f s, list %.2f s, recovered %d s after the restart; %d of %d requests rejected", seed, findings.maxLeaseDelaySeen,
			findings.maxListDelaySeen, findings.recoverySeconds(), findings.rejected, findings.requests)
		if findings.violations > 0 {
			t.Errorf("seed %d: %d attempts to draining endpoints, first at %s", seed, findings.violations, findings.firstViolation)
		}
		if findings.noLease > 0 || findings.maxLeaseDelaySeen > maxLeaseDelay {
			t.Errorf("seed %d: %d relays never had a lease, others within %.2f s", seed, findings.noLease, findings.maxLeaseDelaySeen)
		}
		if findings.noList > 0 || findings.maxListDelaySeen > maxListDelay {
			t.Errorf("seed %d: %d relays never had the list, others within %.2f s", seed, findings.noList, findings.maxListDelaySeen)
		}
		if findings.recoverySeconds() > maxRecoverySeconds {
			t.Errorf("seed %d: new polls stayed above the service's rate for %d s: %v", seed, findings.recoverySeconds(), findings.pollsBySecond)
		}
		if findings.unrejected > 0 || findings.rejected == 0 {
			t.Errorf("seed %d: without a lease %d requests were not rejected at once, %d were", seed, findings.unrejected, findings.rejected)
		}
		requests := float64(findings.requests)
		tooManyRejected := float64(findings.rejected) > maxRejectedFraction*requests
		if tooManyRejected || float64(findings.attempts) < (1-2*maxRejectedFraction)*requests {
			t.Errorf("seed %d: of %d requests %d rejected, %d attempts sent", seed, findings.requests, findings.rejected, findings.attempts)
		}
	}
}

// TestFleetCheckDetectsDisabledSafeguards disables safeguards: the same simulations show the fault then.
func TestFleetCheckDetectsDisabledSafeguards(t *testing.T) {
	violations := func(findings fleetFindings) bool { return findings.violations > 0 && findings.unrejected > 0 }
	noList := func(findings fleetFindings) bool {
		return findings.noList > 0 && findings.recoverySeconds() > maxRecoverySeconds
	}
	for _, test := range []struct {
		name     string
		disabled fleetSafeguards
		shows    func(fleetFindings) bool
	}{
		{"the lease ignored", fleetSafeguards{noLease: true}, violations},
		{"the lease ignored, no messages", fleetSafeguards{noLease: true, noMessages: true}, violations},
		{"retries at a fixed pace, no messages", fleetSafeguards{fixedRetry: true, noMessages: true}, noList},
	} {
		found := false
		for _, seed := range fleetSeeds {
			findings := newFleet(seed, test.disabled).run()
			t.Logf("%s, seed %d: %d violations, %d relays without the list", test.name, seed, findings.violations, findings.noList)
			if found = test.shows(findings); found {
				break
			}
		}
		if !found {
			t.Error("not found:", test.name)
		}
	}
}
