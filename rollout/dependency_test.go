package rollout

import (
	"testing"

	"lichenroad/plan"
	"lichenroad/relay"
)

func TestDependencies(t *testing.T) {
	h := newControllerHarness(t)
	wantEvents(t, h.offer(serviceB, 3, day), "") // b waits for a to begin
	if reason := h.core.BlockReason(serviceB, day); reason.Code != BlockedByDependency || reason.Text != "a at step s0" {
		t.Errorf("b waits for %+v, want the first step of a", reason)
	}
	wantEvents(t, h.offer(serviceD, 2, day), "")
	wantEvents(t, h.offer(serviceC, 4, day), "")
	wantEvents(t, h.offer(serviceA, 7, day), "a:began b:began c:began d:began") // at the same moment, each after its dependencies
	wantEvents(t, h.promote(serviceB, day+11), "")                              // b can't enter a step that a has not reached
	wantEvents(t, h.promote(serviceA, day+12), "a:moved b:moved")
	wantEvents(t, h.promote(serviceA, day+23), "a:moved")
	wantEvents(t, h.promote(serviceB, day+24), "b:moved")
	if limit := h.core.ExposureLimit(serviceB, 1, 0, day+24); limit != 0.6 {
		t.Errorf("exposure limit %g, want 0.6", limit)
	}
	// a rolls back while b is at its last step: b's exposure limit is 0 at once, and every dependent stays a canary.
	h.vote(serviceA, 3, relay.VoteRollBack, day+25)
	for service := serviceB; service <= serviceD; service++ {
		status := h.core.RolloutStatus(service, day+25)
		if service == serviceB && status.ExposureLimit != 0 || status.Phase != relay.PhaseCanary {
			t.Errorf("after the rollback of a: service %d has status %+v", service, status)
		}
	}
	wantEvents(t, h.promote(serviceB, day+40), "a:taken_off")
	if reason := h.core.BlockReason(serviceB, day+41); reason.Code != BlockedByDependency {
		t.Errorf("after a was withdrawn: b waits for %+v, want a dependency", reason)
	}
	// The lost dependency does not keep b from rolling back.
	out, _ := h.vote(serviceB, 2, relay.VoteRollBack, day+42)
	wantEvents(t, out, "b:sent_back")
	// The next builds of a and b can begin.
	wantEvents(t, h.offer(serviceA, 8, day+50), "a:began b:taken_off")
	wantEvents(t, h.offer(serviceB, 9, day+50), "b:began")
}

// TestDependencyRollsBackUnderDependentSteps rolls a back while b, which depends on it, is at each of its steps.
func TestDependencyRollsBackUnderDependentSteps(t *testing.T) {
	for steps := range 3 {
		h := newControllerHarness(t)
		h.offer(serviceA, 7, day)
		h.offer(serviceB, 3, day)
		at := plan.Unix(day)
		for range steps {
			at += 11
			h.promote(serviceA, at)
			h.promote(serviceB, at)
		}
		if status := h.core.RolloutStatus(serviceB, at); int(status.Stage) != steps || status.ExposureLimit <= 0 {
			t.Fatalf("before the rollback, at step %d: %+v", steps, status)
		}
		h.vote(serviceA, 0, relay.VoteRollBack, at+1)
		status := h.core.RolloutStatus(serviceB, at+1)
		if status.ExposureLimit != 0 || int(status.Stage) != steps || status.Phase != relay.PhaseCanary {
			t.Errorf("after the rollback, at step %d: %+v", steps, status)
		}
		wantEvents(t, h.promote(serviceB, at+12), "a:taken_off")
	}
}

// TestDiamondDependencyRollsBack rolls back both services that d depends on, b before c is withdrawn: d's exposure
// limit must fall to 0 and stay there, and d may itself roll back while they do.
func TestDiamondDependencyRollsBack(t *testing.T) {
	h := newControllerHarness(t)
	for service := serviceA; service <= serviceD; service++ {
		h.offer(service, 5, day)
	}
	for service := serviceA; service <= serviceD; service++ {
		h.promote(service, day+11)
	}
	if status := h.core.RolloutStatus(serviceD, day+11); status.Stage != 1 || status.ExposureLimit != 0.3 {
		t.Fatalf("before the rollbacks: d has status %+v", status)
	}
	h.vote(serviceC, 0, relay.VoteRollBack, day+12)
	if status := h.core.RolloutStatus(serviceD, day+12); status.ExposureLimit != 0 {
		t.Errorf("after the rollback of c: d has status %+v", status)
	}
	if h.core.RolloutStatus(serviceB, day+12).ExposureLimit != 0.3 {
		t.Error("the rollback of c lowered the exposure limit of b, which does not depend on c")
	}
	h.vote(serviceB, 0, relay.VoteRollBack, day+13)
	out, _ := h.vote(serviceD, 0, relay.VoteRollBack, day+14) // while b and c are rolling back
	wantEvents(t, out, "d:sent_back")
	h.vote(serviceA, 0, relay.VoteRollBack, day+15) // all of them depend on a
	wantEvents(t, h.advance(day+40), "a:taken_off b:taken_off c:taken_off d:taken_off")
	for service := serviceA; service <= serviceD; service++ {
		if status := h.core.RolloutStatus(service, day+41); status.Phase != relay.PhaseWithdrawn || status.ExposureLimit != 0 {
			t.Errorf("at the end: service %d has status %+v", service, status)
		}
	}
}
