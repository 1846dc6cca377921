package rollout

import (
	"errors"
	"reflect"
	"testing"

	"lichenroad/plan"
	"lichenroad/relay"
)

// withSteps returns testPlan with a number of steps in service a.
func withSteps(t *testing.T, steps int) *plan.Plan {
	p := testPlan(t)
	spec := &p.Services[serviceA]
	for len(spec.Steps) < steps {
		spec.Steps = append(spec.Steps, spec.Steps[len(spec.Steps)-1])
	}
	spec.Steps = spec.Steps[:steps]
	return p
}

// withoutService returns testPlan without service d, on which no other depends.
func withoutService(t *testing.T) *plan.Plan {
	p := testPlan(t)
	p.Services = p.Services[:serviceD]
	return p
}

// withoutDependencies returns testPlan with no dependencies in service d.
func withoutDependencies(t *testing.T) *plan.Plan {
	p := testPlan(t)
	for i := range p.Services[serviceD].Steps {
		p.Services[serviceD].Steps[i].Dependencies = nil
	}
	return p
}

// release takes a build of service a through all steps.
func (h *controllerHarness) release(build relay.Build, at plan.Unix) plan.Unix {
	h.offer(serviceA, build, at)
	for h.core.RolloutStatus(serviceA, at).Phase != relay.PhaseReleased {
		at += 11
		h.promote(serviceA, at)
	}
	return at
}

// replay returns the state after the events under a plan.
func replay(t *testing.T, p *plan.Plan, events []Event) *Core {
	t.Helper()
	core := New(p)
	for _, e := range events {
		if err := core.Replay(e); err != nil {
			t.Fatal(err)
		}
	}
	return core
}

// TestReplayUnderAnotherPlan guards against a journal that can't be read any more after the plan has gained or lost steps or
// services: builds that were released stay so, and the next one can be.
func TestReplayUnderAnotherPlan(t *testing.T) {
	h := newControllerHarness(t)
	at := h.release(7, day)
	if err := h.core.Replan(withSteps(t, 4)); err != nil {
		t.Fatal(err)
	}
	at = h.release(8, at+60)
	if err := h.core.Replan(withSteps(t, 1)); err != nil {
		t.Fatal(err)
	}
	at = h.release(9, at+60)
	for _, steps := range []int{1, 2, 3, 4, 5} {
		for name, events := range map[string][]Event{"journal": h.journal, "snapshot": h.core.Snapshot()} {
			core := replay(t, withSteps(t, steps), events)
			if err := core.EndReplay(); err != nil {
				t.Fatal(err)
			}
			status := core.RolloutStatus(serviceA, at+1)
			if status.Build != 9 || status.Phase != relay.PhaseReleased {
				t.Errorf("%d steps, %s: status %+v, want build 9 released", steps, name, status)
			}
			restarted := &controllerHarness{t: t, core: core}
			restarted.release(10, at+60)
		}
	}
}

// TestReplayKeepsServicesWithoutAPlan takes a service out of the plan, compacts the journal, and takes the service into the plan
// again: it has its build.
func TestReplayKeepsServicesWithoutAPlan(t *testing.T) {
	h := &controllerHarness{t: t, core: New(withoutDependencies(t))}
	h.offer(serviceD, 5, day)
	h.vote(serviceD, 0, relay.VoteRollBack, day+1)
	h.vote(serviceD, 1, relay.VoteRollBack, day+1)
	h.advance(day + 60)
	want := h.core.RolloutStatus(serviceD, day+100)
	if want.Build != 5 || want.Phase != relay.PhaseWithdrawn {
		t.Fatalf("status %+v, want build 5 withdrawn", want)
	}
	without := replay(t, withoutService(t), h.journal)
	if err := without.EndReplay(); err != nil {
		t.Fatal(err)
	}
	again := replay(t, testPlan(t), without.Snapshot())
	if got := again.RolloutStatus(serviceD, day+100); !reflect.DeepEqual(got, want) {
		t.Errorf("status %+v after a restart, want %+v", got, want)
	}
	if err := without.Replan(testPlan(t)); err != nil {
		t.Fatal(err)
	}
	if got := without.RolloutStatus(serviceD, day+100); !reflect.DeepEqual(got, want) {
		t.Errorf("status %+v with a new plan, want %+v", got, want)
	}
}

// TestPlanThatLacksAStepInUse replays journals of rollouts in progress under plans that lack their step or service: the error says
// so, unless the build is being rolled back.
func TestPlanThatLacksAStepInUse(t *testing.T) {
	h := newControllerHarness(t)
	h.offer(serviceA, 7, day)
	h.promote(serviceA, day+11)
	h.offer(serviceD, 5, day+11)
	core := replay(t, withSteps(t, 1), h.journal)
	if err := core.EndReplay(); !isReplanError(err, "service a is at step 1, which the new plan does not have") {
		t.Errorf("without the step: error %v", err)
	}
	core = replay(t, withoutService(t), h.journal)
	if err := core.EndReplay(); !isReplanError(err, "service d has build 5 waiting or in progress and is not in the new plan") {
		t.Errorf("without the service: error %v", err)
	}
	h.vote(serviceA, 0, relay.VoteRollBack, day+12)
	h.vote(serviceA, 1, relay.VoteRollBack, day+12)
	core = replay(t, withSteps(t, 1), h.journal)
	if err := core.EndReplay(); err != nil {
		t.Errorf("while the build is rolled back: error %v", err)
	}
	core.Advance(day + 60)
	if status := core.RolloutStatus(serviceA, day+60); status.Phase != relay.PhaseWithdrawn {
		t.Errorf("status %+v, want the build withdrawn", status)
	}
}

func isReplanError(err error, text string) bool {
	var rejected *ReplanError
	return errors.As(err, &rejected) && err.Error() == text
}
