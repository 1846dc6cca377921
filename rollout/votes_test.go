package rollout

import (
	"errors"
	"testing"

	"lichenroad/plan"
	"lichenroad/relay"
)

func TestVotes(t *testing.T) {
	t.Run("rejections", func(t *testing.T) {
		h := newControllerHarness(t)
		h.offer(serviceA, 7, day)
		for _, c := range []struct {
			name  string
			voter string
			vote  relay.Vote
			want  Rejection
		}{
			{"a relay that is not in the plan", "r9", relay.Vote{Build: 7, Verdict: relay.VotePromote}, RejectedInvalid},
			{"an unknown verdict", "r1", relay.Vote{Build: 7, Verdict: 9}, RejectedInvalid},
			{"an earlier build", "r1", relay.Vote{Build: 6, Verdict: relay.VotePromote}, RejectedStale},
			{"promotion from another step", "r1", relay.Vote{Build: 7, Stage: 1, Verdict: relay.VotePromote}, RejectedStale},
			{"rollback from another step", "r1", relay.Vote{Build: 7, Stage: 1, Verdict: relay.VoteRollBack}, VoteCounted},
		} {
			t.Run(c.name, func(t *testing.T) {
				if _, got := h.core.Vote(serviceA, c.voter, c.vote, day+1); got != c.want {
					t.Errorf("rejection %q, want %q", got, c.want)
				}
			})
		}
	})
	t.Run("rate", func(t *testing.T) {
		h := newControllerHarness(t)
		h.offer(serviceA, 7, day)
		counted := 0
		for range 1000 {
			_, rejection := h.core.Vote(serviceA, "r1", relay.Vote{Build: 7, Verdict: relay.VotePromote}, day+2)
			switch rejection {
			case VoteCounted:
				counted++
			case RejectedThrottled:
			default:
				t.Fatalf("rejection %q", rejection)
			}
		}
		if counted < 20 || counted > 30 {
			t.Errorf("%d votes counted at one moment, want 20 to 30", counted)
		}
	})
	t.Run("a relay has one vote", func(t *testing.T) {
		h := newControllerHarness(t)
		h.offer(serviceA, 7, day)
		h.vote(serviceA, 0, relay.VotePromote, day+11)
		out, _ := h.vote(serviceA, 0, relay.VotePromote, day+11)
		wantEvents(t, out, "")
		h.vote(serviceA, 0, relay.VoteHold, day+11) // replaces the vote to promote
		out, _ = h.vote(serviceA, 1, relay.VotePromote, day+11)
		wantEvents(t, out, "")
	})
}

// TestVotesOfRelaysThatLeftThePlan guards against a vote that outlives its relay's place in the plan, and promotes, holds or rolls
// back a build in the name of a fleet that the relay does not belong to.
func TestVotesOfRelaysThatLeftThePlan(t *testing.T) {
	smaller := func() *plan.Plan {
		p := testPlan(t)
		p.Services[serviceA].Relays = p.Services[serviceA].Relays[:2]
		return p
	}
	for _, c := range []struct {
		name    string
		verdict relay.Verdict
		want    string // events when a relay that has stayed votes too
	}{
		{"promotion", relay.VotePromote, "a:moved"},
		{"rollback", relay.VoteRollBack, "a:sent_back"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newControllerHarness(t)
			h.offer(serviceA, 7, day)
			e, rejection := h.core.Vote(serviceA, "r3", relay.Vote{Build: 7, Verdict: c.verdict}, day+9)
			if rejection != VoteCounted {
				t.Fatal(rejection)
			}
			h.apply(e, nil)
			if err := h.core.Replan(smaller()); err != nil {
				t.Fatal(err)
			}
			wantEvents(t, h.advance(day+12), "")
			if status := h.core.ServiceStatuses(day + 12)[serviceA]; status.PromoteVotes+status.RollBackVotes != 0 {
				t.Errorf("votes counted: %+v", status)
			}
			if _, rejection = h.vote(serviceA, 3, c.verdict, day+12); rejection != RejectedInvalid {
				t.Errorf("another vote of the relay: rejection %q, want %q", rejection, RejectedInvalid)
			}
			out, _ := h.vote(serviceA, 0, c.verdict, day+12)
			wantEvents(t, out, c.want)
		})
	}
	t.Run("a relay that comes back", func(t *testing.T) {
		h := newControllerHarness(t)
		h.offer(serviceA, 7, day)
		h.vote(serviceA, 3, relay.VotePromote, day+9)
		if err := errors.Join(h.core.Replan(smaller()), h.core.Replan(testPlan(t))); err != nil {
			t.Fatal(err)
		}
		out, _ := h.vote(serviceA, 0, relay.VotePromote, day+12)
		wantEvents(t, out, "a:moved")
	})
}

func TestRollbackIsNeverBlocked(t *testing.T) {
	h := newControllerHarness(t)
	h.offer(serviceA, 7, freezeStart-5)
	h.apply(h.core.Operate(Operation{Kind: EventHalted, Service: "a", Actor: "ops", Reason: "a look"}, freezeStart-1))
	h.apply(h.core.Operate(Operation{Kind: EventFrozen, FreezeName: "all", Actor: "ops", Reason: "a look"}, freezeStart-1))
	out, _ := h.vote(serviceA, 3, relay.VoteRollBack, freezeStart+1)
	wantEvents(t, out, "a:sent_back")
	if status := h.core.RolloutStatus(serviceA, freezeStart+1); status.ExposureLimit != 0 || status.Phase != relay.PhaseRollingBack {
		t.Errorf("after the vote to roll back: %+v", status)
	}
	wantEvents(t, h.advance(freezeStart+6), "a:taken_off")
}
