package rollout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/plan"
	"lichenroad/relay"
)

// guardHarness is a relay's guard, with the status and the canary scope that the decision module received last.
type guardHarness struct {
	*Guard
	status relay.RolloutStatus
	scope  relay.CanaryScope
}

// newGuardHarness returns the guard of a relay of service b, which depends on a, at site x. Its tenants are in group p,
// in group q and in none.
func newGuardHarness(t interface{ Fatal(...any) }, disabled GuardSafeguards) *guardHarness {
	p := testPlan(t)
	g := NewGuard(p, serviceB, siteX, []plan.GroupIndex{p.GroupOf("p1"), p.GroupOf("q1"), plan.NoGroup})
	g.DisableSafeguards(disabled)
	return &guardHarness{Guard: g}
}

// evaluate passes the guard's events to the module, and returns the exposure limit that it received last.
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

// receive passes the status of the guard's own service to it, with a status of a that fulfils the dependency.
func (h *guardHarness) receive(at plan.Unix, own relay.RolloutStatus) float64 {
	h.DependencyStatusReceived(at, serviceA, canaryStatus(1, own.Stage, 0.5, 0))
	h.StatusReceived(at, own)
	return h.evaluate(at)
}

// TestGuardSafeguards runs each case with all safeguards, and again without the one that it is about. The final
// exposure limits must differ; otherwise the case would not test the safeguard.
func TestGuardSafeguards(t *testing.T) {
	for _, c := range []struct {
		name         string
		disabled     GuardSafeguards
		run          func(h *guardHarness) float64
		want         float64
		wantDisabled float64 // without the safeguard
	}{
		{"a late status within a freeze", GuardSafeguards{Freezes: true}, func(h *guardHarness) float64 {
			h.receive(freezeStart-60, canaryStatus(3, 0, 0.1, 0))
			return h.receive(freezeStart+3, canaryStatus(3, 1, 0.3, 10)) // began before the freeze, received in it
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
		{"a clock that is behind by less than the skew", GuardSafeguards{ClockSkew: true}, func(h *guardHarness) float64 {
			h.receive(freezeStart-60, canaryStatus(3, 0, 0.1, 0))
			return h.receive(freezeStart-1.5, canaryStatus(3, 1, 0.3, 0)) // by the controller's clock the freeze may have begun
		}, 0.1, 0.3},
		{"a start within a freeze, at a step that began within it", GuardSafeguards{StartInFreeze: true}, func(h *guardHarness) float64 {
			return h.receive(freezeStart+60, canaryStatus(3, 1, 0.3, 59))
		}, 0, 0.3},
		{"a dependency without a status", GuardSafeguards{UnknownDependencies: true}, func(h *guardHarness) float64 {
			h.StatusReceived(day, canaryStatus(3, 0, 0.1, 0))
			return h.evaluate(day)
		}, 0, 0.1},
		{"a dependency that has not reached the step", GuardSafeguards{Dependencies: true}, func(h *guardHarness) float64 {
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
			h.DependencyStatusReceived(day+2, serviceA, canaryStatus(1, 1, 0.3, 0)) // sent first, but delayed (found by simulation, seed 14)
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
			if got := c.run(newGuardHarness(t, GuardSafeguards{})); got != c.want {
				t.Errorf("exposure limit %g, want %g", got, c.want)
			}
			if got := c.run(newGuardHarness(t, c.disabled)); got != c.wantDisabled {
				t.Errorf("without the safeguard: exposure limit %g, want %g; the case does not test the safeguard", got, c.wantDisabled)
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
		t.Errorf("the next step depends on a step that a has not reached: cast %+v, want %+v", got, hold)
	}
	h.DependencyStatusReceived(freezeStart-50, serviceA, canaryStatus(1, 1, 0.3, 0))
	if got, ok := h.ReviseVote(freezeStart - 50); !ok || got != promote {
		t.Errorf("a has reached the step: revised %v, cast %+v, want %+v", ok, got, promote)
	}
	if _, ok := h.ReviseVote(freezeStart - 49); ok {
		t.Error("the vote was revised again without a change")
	}
	if reason := h.PromotionBlocked(freezeStart - 30); reason.Code != BlockedByStaleStatus {
		t.Errorf("no status of a for 20 s: blocked by %+v, want %s", reason, BlockedByStaleStatus)
	}
	h.DependencyKeepAliveReceived(freezeStart-4, serviceA)
	if got := h.FilterVote(freezeStart-4, promote); got != promote {
		t.Errorf("after a keep-alive: cast %+v, want %+v", got, promote)
	}
	// The clock skew extends the freeze at both ends: a vote to promote is cast as one to hold 2 s before it, and as it is
	// again 2 s after it.
	h.DependencyKeepAliveReceived(freezeStart-2, serviceA)
	if got, ok := h.ReviseVote(freezeStart - 2); !ok || got != hold {
		t.Errorf("2 s before the freeze: revised %v, cast %+v, want %+v", ok, got, hold)
	}
	if got := h.FilterVote(freezeStart+100, rollBack); got != rollBack {
		t.Errorf("a vote to roll back was changed to %+v", got)
	}
	h.FilterVote(freezeEnd, promote)
	h.DependencyKeepAliveReceived(freezeEnd+2, serviceA)
	if got, ok := h.ReviseVote(freezeEnd + 2); !ok || got != promote {
		t.Errorf("2 s after the freeze: revised %v, cast %+v, want %+v", ok, got, promote)
	}
	unfiltered := newGuardHarness(t, GuardSafeguards{VoteFilter: true})
	unfiltered.receive(freezeStart-60, canaryStatus(3, 0, 0.1, 0))
	if got := unfiltered.FilterVote(freezeStart+1, promote); got != promote {
		t.Errorf("without the vote filter: cast %+v, want %+v", got, promote)
	}
}

// TestGuardAcceptsConfirmedStatus guards against a status that goes backward and is refused for good.
func TestGuardAcceptsConfirmedStatus(t *testing.T) {
	h := newGuardHarness(t, GuardSafeguards{})
	h.receive(day, withPhase(canaryStatus(3, 1, 0, 0), relay.PhaseRollingBack))
	undone := canaryStatus(3, 1, 0.3, 0)
	undone.Confirmed = true
	if got := h.receive(day+1, undone); got != 0.3 {
		t.Errorf("exposure limit %g after a confirmed status, want 0.3", got)
	}
	earlier := canaryStatus(2, 0, 0.1, 0)
	earlier.Confirmed = true
	if got := h.receive(day+2, earlier); got != 0.1 || h.status.Build != 2 {
		t.Errorf("exposure limit %g for build %d, want 0.1 for build 2", got, h.status.Build)
	}
	h.DependencyStatusReceived(day+3, serviceA, withPhase(canaryStatus(1, 1, 0, 0), relay.PhaseRollingBack))
	dependency := canaryStatus(1, 1, 0.3, 0)
	for _, confirmed := range []bool{false, true} {
		dependency.Confirmed = confirmed
		h.DependencyStatusReceived(day+4, serviceA, dependency)
		if got, isOpen := h.evaluate(day+4), confirmed; (got == 0.1) != isOpen {
			t.Errorf("exposure limit %g after a status of a dependency, confirmed: %v", got, confirmed)
		}
	}
}

func TestGuardWithUnknownOrBackwardStatus(t *testing.T) {
	h := newGuardHarness(t, GuardSafeguards{})
	if h.evaluate(day); h.evaluated {
		t.Error("the module received events before the guard had a status")
	}
	h.receive(day, canaryStatus(3, 1, 0.3, 0))
	scope := h.scope
	if scope.Build != 3 || scope.Stage != 1 || fmt.Sprint(scope.GroupOfTenant, scope.GroupOpen) != "[0 1 -1] [true true]" {
		t.Errorf("canary scope %+v", scope)
	}
	// At site y, the plan opens no group before the last step.
	p := testPlan(t)
	atY := &guardHarness{Guard: NewGuard(p, serviceB, siteY, []plan.GroupIndex{0, 1})}
	atY.receive(day, canaryStatus(3, 1, 0.3, 0))
	if fmt.Sprint(atY.scope.GroupOpen) != "[false false]" || atY.ExposureLimit(0) != 0 {
		t.Errorf("at site y: canary scope %+v, exposure limit %g", atY.scope, atY.ExposureLimit(0))
	}
	atY.receive(day+1, canaryStatus(3, 2, 0.9, 0))
	if atY.ExposureLimit(0) != 0.6 || atY.ExposureLimit(plan.NoGroup) != 0 {
		t.Errorf("exposure limit %g, want the lower one of the plan, 0.6", atY.ExposureLimit(0))
	}
	// When the dependency's status gets too old, no granted step is taken back and no further step is granted.
	h.evaluate(day + 3600)
	if h.ExposureLimit(0) != 0.3 {
		t.Error("the old status of a dependency changed the exposure limit")
	}
	h.StatusReceived(day+3600, canaryStatus(3, 2, 0.6, 0))
	if h.evaluate(day+3600) != 0.3 {
		t.Error("a step was granted despite the old status of a dependency")
	}
	// A controller that lost its latest events sends an earlier step or build.
	if h.StatusReceived(day+3601, canaryStatus(3, 0, 0.1, 0)); h.evaluate(day+3601) != 0.1 {
		t.Error("a status of an earlier step did not lower the exposure limit")
	}
	if h.StatusReceived(day+3602, withPhase(canaryStatus(2, 2, 1, 0), relay.PhaseReleased)); h.evaluate(day+3602) != 0.1 || h.status.Build != 3 {
		t.Error("a status of an earlier build was accepted")
	}
}

func TestGuardStartsInFreeze(t *testing.T) {
	h := newGuardHarness(t, GuardSafeguards{})
	if got := h.receive(freezeStart+60, canaryStatus(3, 1, 0.3, 120)); got != 0.3 {
		t.Errorf("the step began before the freeze: exposure limit %g, want 0.3", got)
	}
	h = newGuardHarness(t, GuardSafeguards{})
	if got := h.receive(freezeStart+60, canaryStatus(3, 1, 0.3, 61)); got != 0 {
		t.Errorf("the step began within the clock skew of the freeze: exposure limit %g, want 0", got)
	}
	if h.receive(freezeEnd+3, canaryStatus(3, 1, 0.3, 2000)); h.status.ExposureLimit != 0.3 {
		t.Errorf("after the freeze: exposure limit %g, want 0.3", h.status.ExposureLimit)
	}
	// A release from before the freeze whose status is received in the freeze: no endpoint runs an earlier build.
	h = newGuardHarness(t, GuardSafeguards{})
	h.receive(freezeStart-60, canaryStatus(3, 2, 0.6, 0))
	h.receive(freezeStart+5, relay.RolloutStatus{Valid: true, Build: 3, Stage: 2, Phase: relay.PhaseReleased, ExposureLimit: 1, Age: 20})
	if h.status.Phase != relay.PhaseReleased {
		t.Errorf("a release from before the freeze: %+v", h.status)
	}
	h = newGuardHarness(t, GuardSafeguards{})
	h.receive(freezeStart-60, canaryStatus(3, 2, 0.6, 0))
	h.receive(freezeStart+5, relay.RolloutStatus{Valid: true, Build: 3, Stage: 2, Phase: relay.PhaseReleased, ExposureLimit: 1, Age: 2})
	if h.status.Phase != relay.PhaseCanary || h.status.ExposureLimit != 0.6 {
		t.Errorf("a release within the freeze: %+v", h.status)
	}
}

// TestGuardNeverWidens applies random statuses at random times: the exposure limit must stay within those of the
// platform and of the plan's present step and must not rise in a freeze, and a vote to roll back must be cast.
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
					t.Fatalf("the module received %+v, the platform sent %+v", h.status, h.Guard.status)
				}
				for i, open := range h.scope.GroupOpen {
					step := plan.StepIndex(h.scope.Stage)
					if open && !h.spec().IsOpen(step, siteX, plan.GroupIndex(i)) {
						t.Fatalf("a group is open that the plan does not open: %+v", h.scope)
					}
				}
			}
			frozen := at >= freezeStart && at < freezeEnd
			if frozen && wasFrozen && h.status.Build == lastBuild && h.status.ExposureLimit > lastLimit {
				t.Fatalf("%.0f s into the freeze the exposure limit rose from %g to %g", at-freezeStart, lastLimit, h.status.ExposureLimit)
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

// TestRestoredDependencyOpensNoGroupInFreeze guards against groups that are opened when a dependency, lost before a
// freeze, is restored within it. Neither exposure limit nor open groups may grow then. Found by simulation, seed 7: the
// limit did not rise, but the groups were opened.
func TestRestoredDependencyOpensNoGroupInFreeze(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		h := newGuardHarness(t, GuardSafeguards{FreezeCeiling: disabled})
		h.receive(freezeStart-60, canaryStatus(3, 1, 0.3, 0))
		h.DependencyStatusReceived(freezeStart-20, serviceA, canaryStatus(2, 0, 0.1, 0)) // a's next build has only begun
		h.evaluate(freezeStart - 20)
		h.evaluate(freezeStart - 1)
		h.DependencyStatusReceived(freezeStart+30, serviceA, canaryStatus(2, 1, 0.3, 40)) // reached before the freeze, received in it
		limit := h.evaluate(freezeStart + 30)
		open := h.scope.GroupOpen
		if !open[0] || open[1] != disabled || (limit == 0.3) != disabled {
			t.Errorf("safeguard disabled %v: exposure limit %g, canary scope %+v", disabled, limit, h.scope)
		}
		h.DependencyStatusReceived(freezeEnd+3, serviceA, canaryStatus(2, 1, 0.3, 40))
		if h.evaluate(freezeEnd+3) != 0.3 || !h.scope.GroupOpen[1] {
			t.Errorf("after the freeze: canary scope %+v", h.scope)
		}
	}
}

// TestFreezeWithoutStatus covers a freeze in which the relay receives nothing: it observes the freeze by its own clock.
func TestFreezeWithoutStatus(t *testing.T) {
	h := newGuardHarness(t, GuardSafeguards{})
	h.receive(freezeStart-30, canaryStatus(3, 0, 0.1, 0))
	h.DependencyStatusReceived(freezeStart-4, serviceA, canaryStatus(1, 1, 0.3, 0))
	promote := relay.Vote{Build: 3, Verdict: relay.VotePromote}
	if h.FilterVote(freezeStart-4, promote) != promote {
		t.Fatal("the vote to promote was changed before the freeze")
	}
	for at := freezeStart - 2; at < freezeEnd+2; at += 7 {
		h.evaluate(at)
		reason, cast := h.PromotionBlocked(at), h.FilterVote(at, promote)
		if h.status.ExposureLimit != 0.1 || reason.Code != BlockedByPlanFreeze || cast.Verdict != relay.VoteHold {
			t.Fatalf("%.0f s into the freeze: status %+v, blocked by %v, cast %+v", at-freezeStart, h.status, reason, cast)
		}
	}
	if reason := h.PromotionBlocked(freezeEnd + 3); reason.Code != BlockedByStaleStatus {
		t.Errorf("after the freeze, without a recent status of the dependency: blocked by %+v, want %s", reason, BlockedByStaleStatus)
	}
	h.DependencyKeepAliveReceived(freezeEnd+4, serviceA)
	if v, ok := h.ReviseVote(freezeEnd + 4); !ok || v != promote {
		t.Errorf("after a keep-alive: revised %v, cast %+v, want %+v", ok, v, promote)
	}
}
