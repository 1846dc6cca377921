package rollout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/plan"
	"lichenroad/relay"
)

// guardHarness is a relay's guard with what its module received last.
type guardHarness struct {
	*Guard
	status relay.RolloutStatus
	scope  relay.CanaryScope
}

// newGuardHarness is at site x and serves b, which depends on a; its tenants are of groups p, q and none.
func newGuardHarness(t interface{ Fatal(...any) }, disabled GuardSafeguards) *guardHarness {
	p := testPlan(t)
	g := NewGuard(p, serviceB, siteX, []plan.GroupIndex{p.GroupOf("p1"), p.GroupOf("q1"), plan.NoGroup})
	g.DisableSafeguards(disabled)
	return &guardHarness{Guard: g}
}

// evaluate returns the exposure limit that the module received last.
func (h *guardHarness) evaluate(at plan.Unix) float64 {
	for _, e := range h.Evaluate(at, nil) {
		switch e := e.(type) {
		case relay.RolloutStatus:
			h.status = e
		case relay.CanaryScope:
			h.scope = e
		}
	}
	return h.status.ExposureLimit
}

func canaryStatus(build relay.Build, stage relay.Stage, limit, age float64) relay.RolloutStatus {
	return relay.RolloutStatus{Valid: true, Build: build, Stage: stage, Phase: relay.PhaseCanary, ExposureLimit: limit, Age: age}
}

func withPhase(status relay.RolloutStatus, phase relay.Phase) relay.RolloutStatus {
	status.Phase = phase
	return status
}

// receive has the guard receive the status of its own service, and of a as far as that has to be.
func (h *guardHarness) receive(at plan.Unix, own relay.RolloutStatus) float64 {
	h.DependencyStatusReceived(at, serviceA, canaryStatus(1, own.Stage, 0.5, 0))
	h.StatusReceived(at, own)
	return h.evaluate(at)
}

// TestGuardSafeguards plays each case with every safeguard, and without the one that it is there for. The exposure limits
// at the end must differ, or the case would show nothing.
func TestGuardSafeguards(t *testing.T) {
	for _, c := range []struct {
		name         string
		disabled     GuardSafeguards
		play         func(h *guardHarness) float64
		want         float64
		wantDisabled float64 // without the safeguard
	}{
		{"a late status within a freeze", GuardSafeguards{Freezes: true}, func(h *guardHarness) float64 {
			h.receive(freezeStart-60, canaryStatus(3, 0, 0.1, 0))
			return h.receive(freezeStart+3, canaryStatus(3, 1, 0.3, 10)) // it began before the freeze, but was not received
		}, 0.1, 0.3},
		{"a late status with a higher limit of the same step", GuardSafeguards{FreezeCeiling: true}, func(h *guardHarness) float64 {
			h.receive(freezeStart-60, canaryStatus(3, 1, 0.2, 0))
			h.evaluate(freezeStart + 1)
			return h.receive(freezeStart+3, canaryStatus(3, 1, 0.3, 70))
		}, 0.2, 0.3},
		{"a dependency is restored within a freeze", GuardSafeguards{FreezeCeiling: true}, func(h *guardHarness) float64 {
			h.receive(freezeStart-60, canaryStatus(3, 1, 0.3, 0))
			h.DependencyStatusReceived(freezeStart-5, serviceA, withPhase(canaryStatus(1, 1, 0, 0), relay.PhaseRollingBack))
			h.evaluate(freezeStart + 1)
			h.DependencyStatusReceived(freezeStart+9, serviceA, canaryStatus(2, 2, 0.6, 0))
			return h.evaluate(freezeStart + 9)
		}, 0, 0.3},
		{"its clock is behind by less than the skew", GuardSafeguards{ClockSkew: true}, func(h *guardHarness) float64 {
			h.receive(freezeStart-60, canaryStatus(3, 0, 0.1, 0))
			return h.receive(freezeStart-1.5, canaryStatus(3, 1, 0.3, 0)) // the freeze has begun by the controller's clock
		}, 0.1, 0.3},
		{"a start within a freeze, at a step that began within", GuardSafeguards{StartInFreeze: true}, func(h *guardHarness) float64 {
			return h.receive(freezeStart+60, canaryStatus(3, 1, 0.3, 59))
		}, 0, 0.3},
		{"a dependency of which nothing was received", GuardSafeguards{UnknownDependencies: true}, func(h *guardHarness) float64 {
			h.StatusReceived(day, canaryStatus(3, 0, 0.1, 0))
			return h.evaluate(day)
		}, 0, 0.1},
		{"a dependency that is not as far", GuardSafeguards{Dependencies: true}, func(h *guardHarness) float64 {
			h.DependencyStatusReceived(day, serviceA, canaryStatus(1, 0, 0.1, 0))
			h.StatusReceived(day, canaryStatus(3, 1, 0.3, 0))
			return h.evaluate(day)
		}, 0.1, 0.3},
		{"a dependency rolls back under an open step", GuardSafeguards{Dependencies: true}, func(h *guardHarness) float64 {
			h.receive(day, canaryStatus(3, 1, 0.3, 0))
			h.DependencyStatusReceived(day+1, serviceA, withPhase(canaryStatus(1, 1, 0, 0), relay.PhaseRollingBack))
			return h.evaluate(day + 1)
		}, 0, 0.3},
		{"a controller that lost the rollback of the build", GuardSafeguards{BackwardStatus: true}, func(h *guardHarness) float64 {
			h.receive(day, canaryStatus(3, 1, 0.3, 0))
			h.receive(day+1, withPhase(canaryStatus(3, 1, 0, 0), relay.PhaseRollingBack))
			return h.receive(day+2, canaryStatus(3, 1, 0.3, 0))
		}, 0, 0.3},
		{"a late status of a dependency that rolled back", GuardSafeguards{BackwardStatus: true}, func(h *guardHarness) float64 {
			h.receive(day, canaryStatus(3, 1, 0.3, 0))
			h.DependencyStatusReceived(day+1, serviceA, withPhase(canaryStatus(1, 1, 0, 0), relay.PhaseRollingBack))
			h.DependencyStatusReceived(day+2, serviceA, canaryStatus(1, 1, 0.3, 0)) // sent before the other, and late (found by simulation, seed 14)
			return h.evaluate(day + 2)
		}, 0, 0.3},
		{"a tenant of a group that is not open", GuardSafeguards{Groups: true}, func(h *guardHarness) float64 {
			h.receive(day, canaryStatus(3, 0, 0.1, 0))
			if open := h.scope.GroupOpen; open[h.scope.GroupOfTenant[1]] {
				return h.status.ExposureLimit
			}
			return 0
		}, 0, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.play(newGuardHarness(t, GuardSafeguards{})); got != c.want {
				t.Errorf("exposure limit %g, want %g", got, c.want)
			}
			if got := c.play(newGuardHarness(t, c.disabled)); got != c.wantDisabled {
				t.Errorf("without the safeguard: exposure limit %g, want %g: the case shows nothing", got, c.wantDisabled)
			}
		})
	}
}

func TestGuardFiltersVotes(t *testing.T) {
	promote := relay.Vote{Build: 3, Stage: 0, Verdict: relay.VotePromote}
	hold, rollBack := promote, promote
	hold.Verdict, rollBack.Verdict = relay.VoteHold, relay.VoteRollBack
	h := newGuardHarness(t, GuardSafeguards{})
	h.receive(freezeStart-60, canaryStatus(3, 0, 0.1, 0))
	if got := h.FilterVote(freezeStart-59, promote); got != hold || h.PromotionBlocked(freezeStart-59).Code != BlockedByDependency {
		t.Error("the next step depends on a step of a that is ahead: ", got)
	}
	h.DependencyStatusReceived(freezeStart-50, serviceA, canaryStatus(1, 1, 0.3, 0))
	if got, ok := h.ReviseVote(freezeStart - 50); !ok || got != promote {
		t.Error("a has reached it: ", got, ok)
	}
	if _, ok := h.ReviseVote(freezeStart - 49); ok {
		t.Error("revised twice")
	}
	if reason := h.PromotionBlocked(freezeStart - 30); reason.Code != BlockedByStaleStatus {
		t.Error("nothing received for 20 s: ", reason)
	}
	h.DependencyKeepAliveReceived(freezeStart-4, serviceA)
	if got := h.FilterVote(freezeStart-4, promote); got != promote {
		t.Error(got)
	}
	// A vote to promote becomes one to hold the skew before the freeze, and stands again the skew after it.
	h.DependencyKeepAliveReceived(freezeStart-2, serviceA)
	if got, ok := h.ReviseVote(freezeStart - 2); !ok || got != hold {
		t.Error(got, ok)
	}
	if got := h.FilterVote(freezeStart+100, rollBack); got != rollBack {
		t.Error("a vote to roll back was changed: ", got)
	}
	h.FilterVote(freezeEnd, promote)
	h.DependencyKeepAliveReceived(freezeEnd+2, serviceA)
	if got, ok := h.ReviseVote(freezeEnd + 2); !ok || got != promote {
		t.Error(got, ok)
	}
	unfiltered := newGuardHarness(t, GuardSafeguards{VoteFilter: true})
	unfiltered.receive(freezeStart-60, canaryStatus(3, 0, 0.1, 0))
	if got := unfiltered.FilterVote(freezeStart+1, promote); got != promote {
		t.Error("without the safeguard: ", got)
	}
}

func TestGuardWithUnknownOrBackwardStatus(t *testing.T) {
	h := newGuardHarness(t, GuardSafeguards{})
	if h.evaluate(day); h.evaluated {
		t.Error("the module was told something without a status")
	}
	h.receive(day, canaryStatus(3, 1, 0.3, 0))
	scope := h.scope
	if scope.Build != 3 || scope.Stage != 1 || fmt.Sprint(scope.GroupOfTenant, scope.GroupOpen) != "[0 1 -1] [true true]" {
		t.Errorf("%+v", scope)
	}
	// A site at which nothing is open yet.
	p := testPlan(t)
	atY := &guardHarness{Guard: NewGuard(p, serviceB, siteY, []plan.GroupIndex{0, 1})}
	atY.receive(day, canaryStatus(3, 1, 0.3, 0))
	if fmt.Sprint(atY.scope.GroupOpen) != "[false false]" || atY.ExposureLimit(0) != 0 {
		t.Errorf("%+v", atY.scope)
	}
	atY.receive(day+1, canaryStatus(3, 2, 0.9, 0))
	if atY.ExposureLimit(0) != 0.6 || atY.ExposureLimit(plan.NoGroup) != 0 {
		t.Error("the plan's limit is the lower: ", atY.ExposureLimit(0))
	}
	// A dependency of which nothing more is received takes nothing back, and opens nothing.
	h.evaluate(day + 3600)
	if h.ExposureLimit(0) != 0.3 {
		t.Error("it was taken back")
	}
	h.StatusReceived(day+3600, canaryStatus(3, 2, 0.6, 0))
	if h.evaluate(day+3600) != 0.3 {
		t.Error("it was opened")
	}
	// A controller that lost its latest events is at an earlier step, or at an earlier build.
	if h.StatusReceived(day+3601, canaryStatus(3, 0, 0.1, 0)); h.evaluate(day+3601) != 0.1 {
		t.Error("not the lower limit")
	}
	if h.StatusReceived(day+3602, withPhase(canaryStatus(2, 2, 1, 0), relay.PhaseReleased)); h.evaluate(day+3602) != 0.1 || h.status.Build != 3 {
		t.Error("a status of an earlier build was accepted")
	}
}

func TestGuardStartsInFreeze(t *testing.T) {
	h := newGuardHarness(t, GuardSafeguards{})
	if got := h.receive(freezeStart+60, canaryStatus(3, 1, 0.3, 120)); got != 0.3 {
		t.Error("the step stood before the freeze: ", got)
	}
	h = newGuardHarness(t, GuardSafeguards{})
	if got := h.receive(freezeStart+60, canaryStatus(3, 1, 0.3, 61)); got != 0 {
		t.Error("too near to the freeze for clocks to tell: ", got)
	}
	if h.receive(freezeEnd+3, canaryStatus(3, 1, 0.3, 2000)); h.status.ExposureLimit != 0.3 {
		t.Error("it stays closed after the freeze: ", h.status.ExposureLimit)
	}
	// A release that came before the freeze and is received within it: no earlier endpoints are left.
	h = newGuardHarness(t, GuardSafeguards{})
	h.receive(freezeStart-60, canaryStatus(3, 2, 0.6, 0))
	h.receive(freezeStart+5, relay.RolloutStatus{Valid: true, Build: 3, Stage: 2, Phase: relay.PhaseReleased, ExposureLimit: 1, Age: 20})
	if h.status.Phase != relay.PhaseReleased {
		t.Errorf("%+v", h.status)
	}
	h = newGuardHarness(t, GuardSafeguards{})
	h.receive(freezeStart-60, canaryStatus(3, 2, 0.6, 0))
	h.receive(freezeStart+5, relay.RolloutStatus{Valid: true, Build: 3, Stage: 2, Phase: relay.PhaseReleased, ExposureLimit: 1, Age: 2})
	if h.status.Phase != relay.PhaseCanary || h.status.ExposureLimit != 0.6 {
		t.Errorf("a release within the freeze: %+v", h.status)
	}
}

// TestGuardNeverWidens draws statuses, dependencies and times: whatever happens, the exposure limit is at most the
// platform's and the plan's of the present step, never rises in a freeze, and a vote to roll back is cast.
func TestGuardNeverWidens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newGuardHarness(t, GuardSafeguards{})
		limits := []float64{0.1, 0.3, 0.6}
		at := plan.Unix(freezeStart - 100)
		lastLimit, lastBuild, wasFrozen := 0.0, relay.Build(0), false
		for range rapid.IntRange(1, 80).Draw(t, "n") {
			at += rapid.Float64Range(0, 30).Draw(t, "dt")
			own := canaryStatus(relay.Build(rapid.IntRange(1, 3).Draw(t, "b")), relay.Stage(rapid.IntRange(0, 2).Draw(t, "s")),
				rapid.Float64Range(0, 1).Draw(t, "cap"), rapid.Float64Range(0, 100).Draw(t, "age"))
			own.Phase = relay.Phase(rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "phase"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				h.DependencyStatusReceived(at, serviceA, own)
			case 1:
				h.DependencyKeepAliveReceived(at, serviceA)
			case 2:
				h.StatusReceived(at, own)
			}
			h.evaluate(at)
			if h.evaluated {
				overPlatform := h.status.ExposureLimit > h.Guard.status.ExposureLimit+1e-12
				overPlan := h.status.Phase == relay.PhaseCanary && h.status.ExposureLimit > limits[h.status.Stage]
				if overPlatform || overPlan {
					t.Fatalf("%+v of %+v", h.status, h.Guard.status)
				}
				for i, open := range h.scope.GroupOpen {
					step := plan.StepIndex(h.scope.Stage)
					if open && !h.spec().IsOpen(step, siteX, plan.GroupIndex(i)) {
						t.Fatalf("%+v", h.scope)
					}
				}
			}
			frozen := at >= freezeStart && at < freezeEnd
			if frozen && wasFrozen && h.status.Build == lastBuild && h.status.ExposureLimit > lastLimit {
				t.Fatalf("at %.0f s of the freeze the exposure limit rose from %g to %g", at-freezeStart, lastLimit, h.status.ExposureLimit)
			}
			lastLimit, lastBuild, wasFrozen = h.status.ExposureLimit, h.status.Build, frozen
			rollBack := relay.Vote{Build: 1, Verdict: relay.VoteRollBack}
			if h.FilterVote(at, rollBack) != rollBack {
				t.Fatal("a vote to roll back was changed")
			}
		}
	})
}

func BenchmarkGuardEvaluate(b *testing.B) {
	h := newGuardHarness(b, GuardSafeguards{})
	h.receive(day, canaryStatus(3, 1, 0.3, 0))
	var out []relay.Event
	b.ReportAllocs()
	for i := range b.N {
		out = h.Evaluate(day+float64(i)*1e-6, out[:0])
	}
}

// TestRestoredDependencyOpensNoGroupInFreeze has a dependency lost before a freeze and restored within it: neither the
// exposure limit nor the open groups may grow (found by simulation, seed 7: the limit was held, the groups were opened).
func TestRestoredDependencyOpensNoGroupInFreeze(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		h := newGuardHarness(t, GuardSafeguards{FreezeCeiling: disabled})
		h.receive(freezeStart-60, canaryStatus(3, 1, 0.3, 0))
		h.DependencyStatusReceived(freezeStart-20, serviceA, canaryStatus(2, 0, 0.1, 0)) // its next build has only begun
		h.evaluate(freezeStart - 20)
		h.evaluate(freezeStart - 1)
		h.DependencyStatusReceived(freezeStart+30, serviceA, canaryStatus(2, 1, 0.3, 40)) // and was further before the freeze, but not received
		limit := h.evaluate(freezeStart + 30)
		open := h.scope.GroupOpen
		if !open[0] || open[1] != disabled || (limit == 0.3) != disabled {
			t.Errorf("safeguard disabled: %v: exposure limit %g, %+v", disabled, limit, h.scope)
		}
		h.DependencyStatusReceived(freezeEnd+3, serviceA, canaryStatus(2, 1, 0.3, 40))
		if h.evaluate(freezeEnd+3) != 0.3 || !h.scope.GroupOpen[1] {
			t.Errorf("after the freeze: %+v", h.scope)
		}
	}
}

// TestFreezeWithoutStatus has a freeze begin and end while nothing is received: the relay keeps to it by its own clock.
func TestFreezeWithoutStatus(t *testing.T) {
	h := newGuardHarness(t, GuardSafeguards{})
	h.receive(freezeStart-30, canaryStatus(3, 0, 0.1, 0))
	h.DependencyStatusReceived(freezeStart-4, serviceA, canaryStatus(1, 1, 0.3, 0))
	promote := relay.Vote{Build: 3, Verdict: relay.VotePromote}
	if h.FilterVote(freezeStart-4, promote) != promote {
		t.Fatal("nothing stands in the way yet")
	}
	for at := freezeStart - 2; at < freezeEnd+2; at += 7 {
		h.evaluate(at)
		reason, cast := h.PromotionBlocked(at), h.FilterVote(at, promote)
		if h.status.ExposureLimit != 0.1 || reason.Code != BlockedByPlanFreeze || cast.Verdict != relay.VoteHold {
			t.Fatalf("%.0f s into it: %+v, %v", at-freezeStart, h.status, reason)
		}
	}
	if reason := h.PromotionBlocked(freezeEnd + 3); reason.Code != BlockedByStaleStatus {
		t.Error("after it a status of the dependency must be received first: ", reason)
	}
	h.DependencyKeepAliveReceived(freezeEnd+4, serviceA)
	if v, ok := h.ReviseVote(freezeEnd + 4); !ok || v != promote {
		t.Error(v, ok)
	}
}
