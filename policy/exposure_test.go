package policy

import (
	"fmt"
	"testing"

	"lichenroad/relay"
)

// Relays that had no status of a build yet used to send its first endpoints as many attempts as the exposure allowance
// permits.
func TestTargetAppliesBeforeTheStatus(t *testing.T) {
	endpoints := append(entries(30, 5, 1), entries(1, 6, 40)...)
	status := relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1}
	if n := attemptsAtBuild(t, 5, 6, endpoints, status); n > 40 {
		t.Errorf("%d of 500 attempts went to the endpoint of a build that has no status yet", n)
	}
}

// A target budget of at most one attempt used to limit the build to half of its target share of the attempts.
func TestCanaryTargetIsReached(t *testing.T) {
	w := runCanary(t, entries(8, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 4, failEvery(1, 0,
		func(relay.Endpoint) bool { return false }))
	if attempts := w.attemptsAt(6, w.sent); 2*attempts < len(w.sent) {
		t.Errorf("%d of %d attempts went to the new build, which runs on half of the endpoints", attempts, len(w.sent))
	}
}

// TestScopeKeepsGroupsApart sends requests of three tenants while a scope opens one of two groups of tenants. Only requests
// of the open group may be sent to the build on trial, up to the exposure limit as a fraction of the group's own requests,
// and no request to a later build.
func TestScopeKeepsGroupsApart(t *testing.T) {
	settings := testSettings()
	settings.Rollout.ExposureLimits = []float64{0.25, 1}
	settings.Tenants = []relay.TenantSettings{{TrafficShare: 0.2}, {TrafficShare: 0.4}, {TrafficShare: 0.4}}
	for _, scoped := range []bool{true, false} {
		w := newWorld(t, settings)
		entry := func(id relay.EndpointID, build relay.Build) relay.Endpoint {
			return relay.Endpoint{ID: id, Build: build, State: relay.Ready}
		}
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: []relay.Endpoint{entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 3)}},
			relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseCanary, ExposureLimit: 0.25})
		if scoped {
			w.step(relay.CanaryScope{Build: 2, GroupOfTenant: []int{0, 1, -1}, GroupOpen: []bool{true, false}})
		}
		attempts, requests := [3]float64{}, [3]float64{}
		for i := range 4000 {
			tenant := relay.Tenant(i % 3)
			before := len(w.sent)
			w.run(0.01, func() []relay.Event {
				request := w.newRequest(0, 0)
				request.Tenant = tenant
				return []relay.Event{request}
			})
			requests[tenant]++
			for _, attempt := range w.sent[before:] {
				if attempt.Endpoint == 4 && scoped {
					t.Fatal("an attempt at a later build than that of the scope")
				}
				if attempt.Endpoint == 3 {
					attempts[tenant]++
				}
			}
		}
		if scoped && (attempts[1] > 0 || attempts[2] > 0 || attempts[0] < 50 || attempts[0] > 0.25*requests[0]+1) {
			t.Errorf("attempts at the build on trial by tenant: %v of %v requests", attempts, requests)
		}
		if !scoped && (attempts[1] == 0 || attempts[2] == 0) {
			t.Errorf("attempts at the build on trial by tenant, without a scope: %v", attempts)
		}
	}
}

// TestLaterBuildWithoutAStatus guards against a relay that has no status of any build, and sends to one that may be on trial
// without a limit. The oldest build in use has none, and where the settings have no limits, no build has one.
func TestLaterBuildWithoutAStatus(t *testing.T) {
	const requests = 2000
	drained := entries(8, 5, 1)
	for i := range drained {
		drained[i].State = relay.Draining
	}
	for _, c := range []struct {
		name      string
		endpoints []relay.Endpoint
		limits    []float64
		least     int // attempts at build 6
		most      int
	}{
		{"two builds", append(entries(8, 5, 1), entries(4, 6, 40)...), []float64{0.1, 0.4, 1}, 0, requests/10 + 1},
		{"a higher limit", append(entries(8, 5, 1), entries(4, 6, 40)...), []float64{0.3, 1}, 0, 3*requests/10 + 1},
		{"one build", entries(8, 6, 40), []float64{0.1, 0.4, 1}, requests, requests},
		{"the earlier build drains", append(drained, entries(8, 6, 40)...), []float64{0.1, 0.4, 1}, requests, requests},
		{"no limits", append(entries(2, 5, 1), entries(10, 6, 40)...), nil, requests / 2, requests},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.Rollout.ExposureLimits = c.limits
			w := newWorld(t, settings)
			w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: c.endpoints})
			for range requests {
				w.run(0.01, func() []relay.Event { return []relay.Event{w.newRequest(0, 0)} })
			}
			if got := w.attemptsAt(6, w.sent); got < c.least || got > c.most {
				t.Errorf("%d of %d attempts at build 6, want %d to %d", got, len(w.sent), c.least, c.most)
			}
		})
	}
}

// TestConfirmedEarlierBuild guards against a platform that went back to an earlier build and is refused for good, and
// against the limit that the later build had: it is not announced any more.
func TestConfirmedEarlierBuild(t *testing.T) {
	settings := testSettings()
	settings.Rollout.ExposureLimits = []float64{0.1, 0.4, 1}
	p := New(settings, 1)
	p.Step(0, []relay.Event{relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}})
	earlier := relay.RolloutStatus{Valid: true, Build: 5, Stage: 2, Phase: relay.PhaseReleased, ExposureLimit: 1}
	p.Step(1, []relay.Event{earlier})
	if got := p.canary.exposureOf(6).limit; p.canary.status.Build != 6 || got != 1 {
		t.Errorf("newest build %d, limit of build 6 is %g; want the status ignored", p.canary.status.Build, got)
	}
	earlier.Confirmed = true
	p.Step(2, []relay.Event{earlier})
	if got := p.canary.exposureOf(6).limit; p.canary.status.Build != 5 || got != settings.Rollout.ExposureLimits[0] {
		t.Errorf("newest build %d, limit of build 6 is %g; want that of the first stage", p.canary.status.Build, got)
	}
	p.Step(3, []relay.Event{relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4}})
	if got := p.canary.exposureOf(6).limit; got != 0.4 {
		t.Errorf("limit of build 6 is %g when it is offered again, want 0.4", got)
	}
}

// BenchmarkExposure measures the accounting and the check of the exposure limit for one request.
func BenchmarkExposure(b *testing.B) {
	for _, scoped := range []bool{false, true} {
		b.Run(fmt.Sprintf("scope=%v", scoped), func(b *testing.B) {
			p := New(testSettings(), 1)
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

// TestBuildBesideTheEarlierOne adds machines of a new build beside the earlier ones. While attempts take a small fraction
// of their latency objective, the new machines take as much load each as the earlier ones carried alone, up to the
// exposure target. While attempts take a large fraction of the objective, all machines take an equal share.
func TestBuildBesideTheEarlierOne(t *testing.T) {
	for _, c := range []struct {
		newer                        int
		duration, minShare, maxShare float64
	}{{6, 0.1, 0.44, 0.6}, {6, 0.6, 0.25, 0.47}, {12, 0.1, 0.74, 0.82}} {
		settings := testSettings()
		settings.Rollout.PromoteQuorum, settings.Rollout.RollBackQuorum = 9, 9
		w := newWorld(t, settings)
		w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome {
			attempt.end = w.now + c.duration
			return relay.Succeeded
		}
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(12, 5, 1), entries(c.newer, 6, 100)...)},
			relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1})
		w.run(3, w.requestEvery(12)) // about eight requests a second
		w.sent = nil
		w.run(9, w.requestEvery(12))
		total := len(w.sent)
		if share := float64(w.attemptsAt(6, w.sent)) / float64(total); share < c.minShare || share > c.maxShare {
			t.Errorf("attempts of %.1f s: %.2f of %d attempts went to %d machines beside 12, wanted %.2f to %.2f", c.duration, share, total, c.newer, c.minShare, c.maxShare)
		}
	}
}

// A request used to be sent to the earlier build whenever the best endpoint of the build on trial was in another zone.
func TestCanaryInAnotherZoneIsUsed(t *testing.T) {
	settings := testSettings()
	settings.Costs.CrossZone = 0.02
	far := entries(8, 6, 100)
	for i := range far {
		far[i].Zone = 1
	}
	w := newWorld(t, settings)
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(8, 5, 1), far...)},
		relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1})
	w.run(6, w.requestEvery(12))
	if newer := w.attemptsAt(6, w.sent); 3*newer < len(w.sent) {
		t.Errorf("%d of %d attempts went to the build on trial in the other zone", newer, len(w.sent))
	}
}
