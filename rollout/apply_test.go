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
		want  string // of the error, after "can't apply event "
	}{
		{"promotion that skips a step", Event{At: day, Kind: EventPromoted, Service: "a", Build: 7, Step: 2},
			`"moved" of service "a", build 7: not the next step of the canary`},
		{"promotion of another build", Event{At: day, Kind: EventPromoted, Service: "a", Build: 6, Step: 1},
			`"moved" of service "a", build 6: not the next step of the canary`},
		{"release before the last step", Event{At: day, Kind: EventReleased, Service: "a", Build: 7},
			`"released" of service "a", build 7: not a canary at its last step`},
		{"a build that has begun", Event{At: day, Kind: EventBegan, Service: "a", Build: 7},
			`"began" of service "a", build 7: build is not waiting for its first step, or another is in progress`},
		{"rollback of another build", Event{At: day, Kind: EventRollingBack, Service: "a", Build: 6},
			`"sent_back" of service "a", build 6: not a canary or released build`},
		{"end of a rollback that has not begun", Event{At: day, Kind: EventWithdrawn, Service: "a", Build: 7},
			`"taken_off" of service "a", build 7: build is not rolling back`},
		{"an offer of the same build", Event{At: day, Kind: EventOffered, Service: "a", Build: 7},
			`"offered" of service "a", build 7: build number is invalid, or not above those of the newest and the waiting build`},
		{"an offer that supersedes no waiting build", Event{At: day, Kind: EventSuperseded, Service: "a", Build: 8},
			`"overtook" of service "a", build 8: no earlier build is waiting`},
		{"unknown kind", Event{At: day, Kind: "danced", Service: "a"}, `"danced" of service "a", build 0: unknown event kind`},
		{"unknown service", Event{At: day, Kind: EventBegan, Service: "z"}, `"began" of service "z", build 0: unknown service`},
		{"time that is not a number", Event{At: math.NaN(), Kind: EventControllerStarted}, `"started" of service "", build 0: time is negative or not finite`},
		{"infinite time", Event{At: math.Inf(1), Kind: EventControllerStarted}, `"started" of service "", build 0: time is negative or not finite`},
		{"negative time", Event{At: -1, Kind: EventControllerStarted}, `"started" of service "", build 0: time is negative or not finite`},
		{"vote without a relay", Event{At: day, Kind: EventVoted, Service: "a"},
			`"voted" of service "a", build 0: vote without a relay, with an unknown verdict, or from too many relays`},
		{"end of an unknown freeze", Event{At: day, Kind: EventUnfrozen, FreezeName: "x"},
			`"thawed" of service "", build 0: unknown freeze`},
		{"freeze without a name", Event{At: day, Kind: EventFrozen},
			`"froze" of service "", build 0: freeze name is empty or already in use`},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newControllerHarness(t)
			h.offer(serviceA, 7, day)
			before, snapshot := h.core.ServiceStatuses(day), h.core.Snapshot()
			err := h.core.Apply(c.event)
			if rejected := (*EventError)(nil); !errors.As(err, &rejected) {
				t.Fatalf("event %+v: error %v, want an *EventError", c.event, err)
			}
			if want := "can't apply event " + c.want; err.Error() != want {
				t.Errorf("error %q, want %q", err, want)
			}
			if !reflect.DeepEqual(before, h.core.ServiceStatuses(day)) || !reflect.DeepEqual(snapshot, h.core.Snapshot()) {
				t.Error("the rejected event changed the state")
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
			"service a is at step 1, which the new plan does not have"},
		{"without the service", func(p *plan.Plan) { p.Services[serviceA].Name = "z" },
			"service a has build 7 waiting or in progress and is not in the new plan"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := testPlan(t)
			c.change(p)
			err := h.core.Replan(p)
			if rejected := (*ReplanError)(nil); !errors.As(err, &rejected) || err.Error() != c.want {
				t.Errorf("error %v, want %q", err, c.want)
			}
			if h.core.RolloutStatus(serviceA, day+12).Stage != 1 {
				t.Error("the rejected plan changed the state")
			}
		})
	}
	t.Run("the same plan", func(t *testing.T) {
		if err := h.core.Replan(testPlan(t)); err != nil || h.core.RolloutStatus(serviceA, day+12).Stage != 1 {
			t.Errorf("error %v, status %+v", err, h.core.RolloutStatus(serviceA, day+12))
		}
	})
}

// TestJournalAndSnapshotRestoreState applies random events: replaying the journal or a snapshot must give the same
// state, and no build may begin, be promoted or be released in a freeze.
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
					t.Fatalf("advanced in the freeze: %+v", e)
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
			t.Fatalf("replaying the journal changed the statuses from\n%+v to\n%+v", a, b)
		}
		restored := New(h.core.plan)
		for _, e := range h.core.Snapshot() {
			if err := restored.Apply(e); err != nil {
				t.Fatal(err)
			}
		}
		if a, b := h.core.ServiceStatuses(at), restored.ServiceStatuses(at); !reflect.DeepEqual(a, b) {
			t.Fatalf("replaying the snapshot changed the statuses from\n%+v to\n%+v", a, b)
		}
		if a, b := h.core.Advance(at+30), replayed.Advance(at+30); !reflect.DeepEqual(a, b) {
			t.Fatalf("after replaying the journal, the events due changed from\n%+v to\n%+v", a, b)
		}
	})
}
