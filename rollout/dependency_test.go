package rollout

import (
	"testing"

	"lichenroad/plan"
	"lichenroad/relay"
)

func TestDependencies(t *testing.T) {
	h := newControllerHarness(t)
	wantEvents(t, h.offer(serviceB, 3, day), "") // b waits for a
	if reason := h.core.BlockReason(serviceB, day); reason.Code != BlockedByDependency || reason.Text != "a at step s0" {
		t.Errorf("%+v", reason)
	}
	wantEvents(t, h.offer(serviceD, 2, day), "")
	wantEvents(t, h.offer(serviceC, 4, day), "")
	wantEvents(t, h.offer(serviceA, 7, day), "a:began b:began c:began d:began") // at the same moment, each after its dependencies
	wantEvents(t, h.promote(serviceB, day+11), "")                              // b can't enter a step where a is not
	wantEvents(t, h.promote(serviceA, day+12), "a:moved b:moved")
	wantEvents(t, h.promote(serviceA, day+23), "a:moved")
	wantEvents(t, h.promote(serviceB, day+24), "b:moved")
	if limit := h.core.ExposureLimit(serviceB, 1, 0, day+24); limit != 0.6 {
		t.Error("exposure limit", limit)
	}
	// a rolls back under b, which is two steps on: all that b opened is closed at once, and every dependent stays a canary.
	h.vote(serviceA, 3, relay.VoteRollBack, day+25)
	for service := serviceB; service <= serviceD; service++ {
		status := h.core.RolloutStatus(service, day+25)
		if service == serviceB && status.ExposureLimit != 0 || status.Phase != relay.PhaseCanary {
			t.Errorf("service %d: %+v", service, status)
		}
	}
	wantEvents(t, h.promote(serviceB, day+40), "a:taken_off")
	if reason := h.core.BlockReason(serviceB, day+41); reason.Code != BlockedByDependency {
		t.Errorf("%+v", reason)
	}
	// b may roll back all the same.
	out, _ := h.vote(serviceB, 2, relay.VoteRollBack, day+42)
	wantEvents(t, out, "b:sent_back")
	// The next build of a begins, and then that of b.
	wantEvents(t, h.offer(serviceA, 8, day+50), "a:began b:taken_off")
	wantEvents(t, h.offer(serviceB, 9, day+50), "b:began")
}

// TestDependencyRollsBackUnderDependentSteps has a roll back under b at each of its steps.
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
			t.Fatalf("%+v", status)
		}
		h.vote(serviceA, 0, relay.VoteRollBack, at+1)
		status := h.core.RolloutStatus(serviceB, at+1)
		if status.ExposureLimit != 0 || int(status.Stage) != steps || status.Phase != relay.PhaseCanary {
			t.Errorf("after %d steps: %+v", steps, status)
		}
		wantEvents(t, h.promote(serviceB, at+12), "a:taken_off")
	}
}

// TestDiamondDependencyRollsBack has d depend on b and c, which both depend on a. c rolls back under d, then b before c is
// withdrawn: d's exposure limit falls once and stays down, and d itself may roll back in the middle of it.
func TestDiamondDependencyRollsBack(t *testing.T) {
	h := newControllerHarness(t)
	for service := serviceA; service <= serviceD; service++ {
		h.offer(service, 5, day)
	}
	for service := serviceA; service <= serviceD; service++ {
		h.promote(service, day+11)
	}
	if status := h.core.RolloutStatus(serviceD, day+11); status.Stage != 1 || status.ExposureLimit != 0.3 {
		t.Fatalf("%+v", status)
	}
	h.vote(serviceC, 0, relay.VoteRollBack, day+12)
	if status := h.core.RolloutStatus(serviceD, day+12); status.ExposureLimit != 0 {
		t.Errorf("%+v", status)
	}
	if h.core.RolloutStatus(serviceB, day+12).ExposureLimit != 0.3 {
		t.Error("b lost exposure, which does not depend on c")
	}
	h.vote(serviceB, 0, relay.VoteRollBack, day+13)
	out, _ := h.vote(serviceD, 0, relay.VoteRollBack, day+14) // while both are rolling back
	wantEvents(t, out, "d:sent_back")
	h.vote(serviceA, 0, relay.VoteRollBack, day+15) // on which all of them depend
	wantEvents(t, h.advance(day+40), "a:taken_off b:taken_off c:taken_off d:taken_off")
	for service := serviceA; service <= serviceD; service++ {
		if status := h.core.RolloutStatus(service, day+41); status.Phase != relay.PhaseWithdrawn || status.ExposureLimit != 0 {
			t.Errorf("%+v", status)
		}
	}
}
