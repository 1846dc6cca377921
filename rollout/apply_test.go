package rollout

import (
	"errors"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/plan"
	"lichenroad/relay"
)

func TestApplyRefusesEventsThatCantFollow(t *testing.T) {
	for _, c := range []struct {
		name  string
		event Event
		want  string // of the error, before "does not follow from what is known"
	}{
		{"promotion that skips a step", Event{At: day, Kind: EventPromoted, Service: "a", Build: 7, Step: 2},
			"moved of a build 7: not the next step"},
		{"promotion of another build", Event{At: day, Kind: EventPromoted, Service: "a", Build: 6, Step: 1},
			"moved of a build 6: not the next step"},
		{"release before the last step", Event{At: day, Kind: EventReleased, Service: "a", Build: 7},
			"released of a build 7: not at its last step"},
		{"a build that has begun", Event{At: day, Kind: EventBegan, Service: "a", Build: 7}, "began of a build 7: it can't begin"},
		{"rollback of another build", Event{At: day, Kind: EventRollingBack, Service: "a", Build: 6},
			"sent_back of a build 6: it can't go back"},
		{"end of a rollback that is none", Event{At: day, Kind: EventWithdrawn, Service: "a", Build: 7},
			"taken_off of a build 7: it was not going back"},
		{"an offer of the same build", Event{At: day, Kind: EventOffered, Service: "a", Build: 7}, "offered of a build 7: no later build"},
		{"an offer in place of none", Event{At: day, Kind: EventSuperseded, Service: "a", Build: 8},
			"overtook of a build 8: none was waiting"},
		{"unknown kind", Event{At: day, Kind: "danced", Service: "a"}, "danced of a build 0: of no known kind"},
		{"unknown service", Event{At: day, Kind: EventBegan, Service: "z"}, "began of z build 0: no such service"},
		{"no number for a time", Event{At: math.NaN(), Kind: EventControllerStarted}, "started of  build 0: no time"},
		{"infinite time", Event{At: math.Inf(1), Kind: EventControllerStarted}, "started of  build 0: no time"},
		{"negative time", Event{At: -1, Kind: EventControllerStarted}, "started of  build 0: no time"},
		{"vote of no relay", Event{At: day, Kind: EventVoted, Service: "a"}, "voted of a build 0: no vote"},
		{"end of an unknown freeze", Event{At: day, Kind: EventUnfrozen, FreezeName: "x"},
			"thawed of  build 0: there is no such freeze"},
		{"freeze without a name", Event{At: day, Kind: EventFrozen}, "froze of  build 0: the freeze has no name of its own"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newControllerHarness(t)
			h.offer(serviceA, 7, day)
			before, snapshot := h.core.ServiceStatuses(day), h.core.Snapshot()
			err := h.core.Apply(c.event)
			if refused := (*EventError)(nil); !errors.As(err, &refused) {
				t.Fatalf("%+v, error %v", c.event, err)
			}
			if want := c.want + ", does not follow from what is known"; err.Error() != want {
				t.Errorf("%q, want %q", err, want)
			}
			if !reflect.DeepEqual(before, h.core.ServiceStatuses(day)) || !reflect.DeepEqual(snapshot, h.core.Snapshot()) {
				t.Error("the state changed")
			}
		})
	}
}

func TestReplan(t *testing.T) {
	h := newControllerHarness(t)
	h.offer(serviceA, 7, day)
	h.promote(serviceA, day+11)
	for _, c := range []struct {
		name   string
		change func(p *plan.Plan)
		want   string
	}{
		{"without the present step", func(p *plan.Plan) { p.Services[serviceA].Steps = p.Services[serviceA].Steps[:1] },
			"service a stands at step 1, which the new plan does not have"},
		{"without the service", func(p *plan.Plan) { p.Services[serviceA].Name = "z" },
			"service a has build 7 under way and is not in the new plan"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := testPlan(t)
			c.change(p)
			err := h.core.Replan(p)
			if refused := (*ReplanError)(nil); !errors.As(err, &refused) || err.Error() != c.want {
				t.Errorf("error %v, want %q", err, c.want)
			}
			if h.core.RolloutStatus(serviceA, day+12).Stage != 1 {
				t.Error("the state changed")
			}
		})
	}
	t.Run("the same plan", func(t *testing.T) {
		if err := h.core.Replan(testPlan(t)); err != nil || h.core.RolloutStatus(serviceA, day+12).Stage != 1 {
			t.Error(err)
		}
	})
}

// TestJournalAndSnapshotRestoreState draws random events of a controller: its journal folds into the same state again,
// and so does a snapshot, and no build begins, is promoted or is released in a freeze.
func TestJournalAndSnapshotRestoreState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newControllerHarness(t)
		at, builds := plan.Unix(day+rapid.Float64Range(0, 1500).Draw(t, "start")), [4]relay.Build{}
		for range rapid.IntRange(1, 120).Draw(t, "n") {
			at += rapid.Float64Range(0, 15).Draw(t, "dt")
			service := plan.ServiceIndex(rapid.IntRange(0, 3).Draw(t, "s"))
			before := len(h.journal)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				builds[service]++
				h.offer(service, builds[service], at)
			case 1:
				h.vote(service, rapid.IntRange(0, 3).Draw(t, "r"), relay.VoteRollBack, at)
			case 2:
				if e, err := h.core.Operate(Operation{Kind: EventFrozen, FreezeName: "own", Until: at + 20, Actor: "me", Reason: "why"}, at); err == nil {
					h.apply(e, nil)
				}
			default:
				h.vote(service, rapid.IntRange(0, 3).Draw(t, "r"), relay.VotePromote, at)
			}
			h.advance(at)
			for _, e := range h.journal[before:] {
				promotes := e.Kind == EventBegan || e.Kind == EventPromoted || e.Kind == EventReleased
				if promotes && e.At >= freezeStart && e.At < freezeEnd {
					t.Fatal("promoted in the freeze: ", e)
				}
			}
		}
		replayed := New(h.core.plan)
		for _, e := range h.journal {
			if err := replayed.Apply(e); err != nil {
				t.Fatal(err)
			}
		}
		if a, b := h.core.ServiceStatuses(at), replayed.ServiceStatuses(at); !reflect.DeepEqual(a, b) {
			t.Fatalf("%+v\n%+v", a, b)
		}
		restored := New(h.core.plan)
		for _, e := range h.core.Snapshot() {
			if err := restored.Apply(e); err != nil {
				t.Fatal(err)
			}
		}
		if a, b := h.core.ServiceStatuses(at), restored.ServiceStatuses(at); !reflect.DeepEqual(a, b) {
			t.Fatalf("snapshot: %+v\n%+v", a, b)
		}
		if a, b := h.core.Advance(at+30), replayed.Advance(at+30); !reflect.DeepEqual(a, b) {
			t.Fatalf("%+v\n%+v", a, b)
		}
	})
}
