package rollout

import (
	"errors"
	"fmt"
	"testing"

	"lichenroad/relay"
)

func TestOperators(t *testing.T) {
	h := newControllerHarness(t)
	h.offer(serviceA, 7, day)
	h.apply(h.core.Operate(Operation{Kind: EventFrozen, Service: "a", FreezeName: "audit", Until: day + 100, Actor: "ops", Reason: "figures are looked at"}, day))
	wantEvents(t, h.promote(serviceA, day+11), "")
	if reason := h.core.BlockReason(serviceA, day+11); reason.Code != BlockedByOperatorFreeze || reason.Until != day+100 {
		t.Errorf("a waits for %+v, want the freeze until %.0f", reason, day+100.0)
	}
	h.apply(h.core.Operate(Operation{Kind: EventUnfrozen, FreezeName: "audit", Actor: "ops", Reason: "done"}, day+12))
	wantEvents(t, h.advance(day+12), "a:moved")
	h.apply(h.core.Operate(Operation{Kind: EventHalted, Service: "a", Actor: "ops", Reason: "odd"}, day+13))
	wantEvents(t, h.promote(serviceA, day+30), "")
	h.apply(h.core.Operate(Operation{Kind: EventResumed, Service: "a", Actor: "ops", Reason: "fine"}, day+31))
	wantEvents(t, h.advance(day+31), "a:moved")
	h.apply(h.core.Operate(Operation{Kind: EventFrozen, FreezeName: "short", Until: day + 40, Actor: "ops", Reason: "lunch"}, day+32))
	wantEvents(t, h.promote(serviceA, day+39), "")
	wantEvents(t, h.advance(day+47), ":thawed a:released") // the votes cast at 39 s have not expired
	h.apply(h.core.Operate(Operation{Kind: EventRollingBack, Service: "a", Actor: "ops", Reason: "wrong colour"}, day+50))
	if h.core.RolloutStatus(serviceA, day+50).Phase != relay.PhaseRollingBack {
		t.Error("the operator's rollback of a released build did not begin")
	}
}

func TestOperateRefusals(t *testing.T) {
	for _, c := range []struct {
		name string
		op   Operation
		want string
	}{
		{"no actor", Operation{Kind: EventFrozen, Service: "a", FreezeName: "x", Reason: "why"}, "who and why must be said"},
		{"no reason", Operation{Kind: EventFrozen, Service: "a", FreezeName: "x", Actor: "me"}, "who and why must be said"},
		{"unknown service", Operation{Kind: EventFrozen, Service: "z", FreezeName: "x", Actor: "me", Reason: "why"},
			`there is no service "z"`},
		{"a halt of all services", Operation{Kind: EventHalted, Actor: "me", Reason: "why"}, `there is no service ""`},
		{"a freeze that has already ended", Operation{Kind: EventFrozen, Service: "a", FreezeName: "x", Until: day, Actor: "me", Reason: "why"},
			"the freeze would be over already"},
		{"a freeze without a name", Operation{Kind: EventFrozen, Service: "a", Actor: "me", Reason: "why"},
			`freeze "" has no name of its own`},
		{"a freeze with a name that is in use", Operation{Kind: EventFrozen, FreezeName: "existing", Actor: "me", Reason: "why"},
			`freeze "existing" has no name of its own`},
		{"end of a freeze of the plan", Operation{Kind: EventUnfrozen, FreezeName: "f", Actor: "me", Reason: "why"},
			`no operator set a freeze "f" (those of the plan end as it says)`},
		{"end of a halt without a halt", Operation{Kind: EventResumed, Service: "a", Actor: "me", Reason: "why"}, "a is resumed already"},
		{"rollback of a build that is rolling back", Operation{Kind: EventRollingBack, Service: "a", Actor: "me", Reason: "why"},
			"a has no build that could go back"},
		{"rollback where no build has begun", Operation{Kind: EventRollingBack, Service: "b", Actor: "me", Reason: "why"},
			"b has no build that could go back"},
		{"an event that operators can't request", Operation{Kind: EventPromoted, Service: "a", Actor: "me", Reason: "why"}, "moved is no operator's word"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newControllerHarness(t)
			h.offer(serviceA, 7, day)
			h.vote(serviceA, 0, relay.VoteRollBack, day+1)
			h.apply(h.core.Operate(Operation{Kind: EventFrozen, Service: "b", FreezeName: "existing", Actor: "me", Reason: "why"}, day+10))
			e, err := h.core.Operate(c.op, day+60)
			if rejected := (*RequestError)(nil); !errors.As(err, &rejected) {
				t.Fatalf("event %+v, error %v, want a *RequestError", e, err)
			}
			if err.Error() != c.want {
				t.Errorf("error %q, want %q", err, c.want)
			}
		})
	}
	t.Run("too many freezes", func(t *testing.T) {
		h := newControllerHarness(t)
		op := Operation{Kind: EventFrozen, Actor: "me", Reason: "why"}
		for i := range maxFreezes {
			op.FreezeName = fmt.Sprint("freeze", i)
			h.apply(h.core.Operate(op, day))
		}
		op.FreezeName = "one more"
		_, err := h.core.Operate(op, day)
		if rejected := (*RequestError)(nil); !errors.As(err, &rejected) || err.Error() != "64 freezes are set, no more are kept" {
			t.Errorf("one freeze more than the limit: error %v", err)
		}
	})
}
