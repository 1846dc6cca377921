package discovery

import "testing"

// Bounds for the recovery of a fleet. Each is about one and a half times the largest value that the simulation gives with
// the seeds 1 to 20. The tests run with three of these seeds.
const (
	// maxLeaseDelay limits the time from a relay's restart to its first lease, in seconds. It guards against relays that
	// have to wait for discovery instead of getting their lease through peers. The largest value is 0.45.
	maxLeaseDelay = 0.7
	// maxListDelay limits the time from a relay's restart to the current list, in seconds. It guards against polls that
	// find no place in the queue of the overloaded service. First polls are spread over 8 s; the largest value is 8.15.
	maxListDelay = 12.0
	// maxRecoverySeconds limits the time from the restart until new polls stay below the rate that the service can answer.
	// It guards against retries that keep the service overloaded. The largest value is 6.
	maxRecoverySeconds = 9
	// maxRejectedFraction limits the fraction of requests that are rejected for lack of a lease. It guards against relays
	// that are without a lease for too long. The largest value is 0.0152.
	maxRejectedFraction = 0.025
)

var fleetSeeds = []int64{1, 2, 3}

// TestFleetRestartWithOverloadedDiscovery checks that no attempts are sent to draining endpoints after the drain grace, and
// how soon the fleet recovers.
func TestFleetRestartWithOverloadedDiscovery(t *testing.T) {
	for _, seed := range fleetSeeds {
		findings := newFleet(seed, fleetSafeguards{}).run()
		t.Logf("seed %d: after the restart, lease within %.2f s, list within %.2f s, recovery within %d s; %d of %d requests rejected",
			seed, findings.maxLeaseDelaySeen, findings.maxListDelaySeen, findings.recoverySeconds(), findings.rejected, findings.requests)
		if findings.violations > 0 {
			t.Errorf("seed %d: %d attempts to draining endpoints, the first: %s",
				seed, findings.violations, findings.firstViolation)
		}
		if findings.noLease > 0 || findings.maxLeaseDelaySeen > maxLeaseDelay {
			t.Errorf("seed %d: %d relays never had a lease, the others had one within %.2f s",
				seed, findings.noLease, findings.maxLeaseDelaySeen)
		}
		if findings.noList > 0 || findings.maxListDelaySeen > maxListDelay {
			t.Errorf("seed %d: %d relays never had the current list, the others had it within %.2f s",
				seed, findings.noList, findings.maxListDelaySeen)
		}
		if findings.recoverySeconds() > maxRecoverySeconds {
			t.Errorf("seed %d: new polls exceeded the service's rate until %d s after the restart; polls in each second: %v",
				seed, findings.recoverySeconds(), findings.pollsBySecond)
		}
		if findings.unrejected > 0 || findings.rejected == 0 {
			t.Errorf("seed %d: at relays without a lease, %d requests were not rejected at once and %d were",
				seed, findings.unrejected, findings.rejected)
		}
		requests := float64(findings.requests)
		tooManyRejected := float64(findings.rejected) > maxRejectedFraction*requests
		if tooManyRejected || float64(findings.attempts) < (1-2*maxRejectedFraction)*requests {
			t.Errorf("seed %d: too many rejections or too few attempts: of %d requests %d were rejected, %d attempts were sent",
				seed, findings.requests, findings.rejected, findings.attempts)
		}
	}
}

// TestFleetCheckDetectsDisabledSafeguards disables safeguards and checks that the same simulations then detect the
// violations.
func TestFleetCheckDetectsDisabledSafeguards(t *testing.T) {
	violations := func(findings fleetFindings) bool { return findings.violations > 0 && findings.unrejected > 0 }
	noList := func(findings fleetFindings) bool {
		return findings.noList > 0 && findings.recoverySeconds() > maxRecoverySeconds
	}
	for _, test := range []struct {
		name     string
		disabled fleetSafeguards
		detected func(fleetFindings) bool
	}{
		{"lease ignored", fleetSafeguards{noLease: true}, violations},
		{"lease ignored, no messages", fleetSafeguards{noLease: true, noMessages: true}, violations},
		{"retries at fixed intervals, no messages", fleetSafeguards{fixedRetry: true, noMessages: true}, noList},
	} {
		found := false
		for _, seed := range fleetSeeds {
			findings := newFleet(seed, test.disabled).run()
			t.Logf("%s, seed %d: %d violations, %d relays without the list", test.name, seed, findings.violations, findings.noList)
			if found = test.detected(findings); found {
				break
			}
		}
		if !found {
			t.Error("no violation detected with disabled safeguards:", test.name)
		}
	}
}
