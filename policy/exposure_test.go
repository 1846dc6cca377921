package policy

import (
	"fmt"
	"testing"

	"lichenroad/relay"
)

// Relays without status of a build sent its first endpoints all of the attempts that the rule leaves uncounted.
func TestTargetBindsBeforeTheStatus(t *testing.T) {
	endpoints := append(entries(30, 5, 1), entries(1, 6, 40)...)
	status := relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1}
	if n := attemptsAtBuild(t, 5, 6, endpoints, status); n > 40 {
		t.Errorf("%d of 500 attempts went to the endpoint of a build not named yet", n)
	}
}

// A bucket of one attempt cut the build's share of the attempts to half of what the design gives it.
func TestCanaryTargetIsReached(t *testing.T) {
	w := canaryOf(t, entries(8, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 4, fails(1, 0,
		func(relay.Endpoint) bool { return false }))
	if attempts := w.attemptsAt(6, w.sent); 2*attempts < len(w.sent) {
		t.Errorf("%d of %d attempts went to half of the endpoints", attempts, len(w.sent))
	}
}

// TestScopeKeepsGroupsApart sends requests of three tenants while a scope opens one of two groups: only its requests
// meet the build, within the cap of their own number, whatever the others send, and builds after it none.
func TestScopeKeepsGroupsApart(t *testing.T) {
	set := plainSettings()
	set.Rollout.ExposureLimits = []float64{0.25, 1}
	set.Tenants = []relay.TenantSettings{{TrafficShare: 0.2}, {TrafficShare: 0.4}, {TrafficShare: 0.4}}
	for _, scoped := range []bool{true, false} {
		w := newWorld(t, set)
		entry := func(id relay.EndpointID, b relay.Build) relay.Endpoint {
			return relay.Endpoint{ID: id, Build: b, State: relay.Ready}
		}
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: []relay.Endpoint{entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 3)}},
			relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseCanary, ExposureLimit: 0.25})
		if scoped {
			w.step(relay.CanaryScope{Build: 2, GroupOfTenant: []int{0, 1, -1}, GroupOpen: []bool{true, false}})
		}
		attempts, asked := [3]float64{}, [3]float64{}
		for i := range 4000 {
			tenant := relay.Tenant(i % 3)
			before := len(w.sent)
			w.run(0.01, func() []relay.Event {
				request := w.newRequest(0, 0)
				request.Tenant = tenant
				return []relay.Event{request}
			})
			asked[tenant]++
			for _, s := range w.sent[before:] {
				if s.Endpoint == 4 && scoped {
					t.Fatal("an attempt at a build after the scope's")
				}
				if s.Endpoint == 3 {
					attempts[tenant]++
				}
			}
		}
		if scoped && (attempts[1] > 0 || attempts[2] > 0 || attempts[0] < 50 || attempts[0] > 0.25*asked[0]+1) {
			t.Errorf("attempts on trial by tenant: %v of %v", attempts, asked)
		}
		if !scoped && (attempts[1] == 0 || attempts[2] == 0) {
			t.Errorf("without a scope: %v", attempts)
		}
	}
}

func BenchmarkExposure(b *testing.B) {
	for _, scoped := range []bool{false, true} {
		b.Run(fmt.Sprintf("scope=%v", scoped), func(b *testing.B) {
			p := New(plainSettings(), 1)
			p.Step(0, []relay.Event{relay.RolloutStatus{Valid: true, Build: 2, ExposureLimit: 0.5}})
			if scoped {
				p.Step(0, []relay.Event{relay.CanaryScope{Build: 2, GroupOfTenant: []int{0, 1}, GroupOpen: []bool{true, true}}})
			}
			request := &trackedRequest{Request: relay.Request{Tenant: 1}, class: &p.classes[0]}
			b.ReportAllocs()
			for range b.N {
				p.canary.requestArrived(request)
				p.canary.permits(request, 2)
			}
		})
	}
}

// TestBuildBesideTheEarlierOne: machines that came beside the earlier ones take what these did alone, not an even
// part of the load, while attempts are quick; where attempts take most of their due time, an even part stays.
func TestBuildBesideTheEarlierOne(t *testing.T) {
	for _, c := range []struct {
		newer                    int
		took, minShare, maxShare float64
	}{{6, 0.1, 0.44, 0.6}, {6, 0.6, 0.25, 0.47}, {12, 0.1, 0.74, 0.82}} {
		set := plainSettings()
		set.Rollout.PromoteQuorum, set.Rollout.RollBackQuorum = 9, 9
		w := newWorld(t, set)
		w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome {
			attempt.end = w.now + c.took
			return relay.Succeeded
		}
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(12, 5, 1), entries(c.newer, 6, 100)...)},
			relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1})
		w.run(3, w.thin(12)) // some eight requests a second
		w.sent = nil
		w.run(9, w.thin(12))
		all := len(w.sent)
		if share := float64(w.attemptsAt(6, w.sent)) / float64(all); share < c.minShare || share > c.maxShare {
			t.Errorf("attempts of %.1f s: %.2f of %d attempts at %d machines beside 12, wanted %.2f to %.2f", c.took, share, all, c.newer, c.minShare, c.maxShare)
		}
	}
}

// Where the trial's best machine stood in the other zone, the request stayed with the earlier build.
func TestCanaryIsNotLeftForACrossZoneAttempt(t *testing.T) {
	set := plainSettings()
	set.Costs.CrossZone = 0.02
	far := entries(8, 6, 100)
	for i := range far {
		far[i].Zone = 1
	}
	w := newWorld(t, set)
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(8, 5, 1), far...)},
		relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1})
	w.run(6, w.thin(12))
	if newer := w.attemptsAt(6, w.sent); 3*newer < len(w.sent) {
		t.Errorf("%d of %d attempts at a trial in the other zone", newer, len(w.sent))
	}
}
