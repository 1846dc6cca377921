package rollout

import (
	"testing"

	"lichenroad/internal/planxml"
	"lichenroad/plan"
	"lichenroad/relay"
)

func TestPromotionTakesVotesAndMinTime(t *testing.T) {
	h := newControllerHarness(t)
	wantEvents(t, h.offer(serviceA, 7, day), "a:began")
	wantEvents(t, h.promote(serviceA, day+9.9), "") // enough votes, but before the minimum time
	wantEvents(t, h.advance(day+10), "a:moved")
	reason := h.core.BlockReason(serviceA, day+21)
	if reason.Code != BlockedByMissingVotes || reason.Text != "0 of 2 relays stand for it" {
		t.Errorf("a waits for %+v, want votes", reason)
	}
	stale := relay.Vote{Build: 7, Stage: 0, Verdict: relay.VotePromote}
	if _, rejection := h.voteAs(serviceA, 2, stale, day+22); rejection != RejectedStale {
		t.Errorf("a vote on an earlier step: rejection %q, want %q", rejection, RejectedStale)
	}
	if out, _ := h.vote(serviceA, 0, relay.VotePromote, day+22); len(out) > 0 {
		t.Error("one vote promoted the build, want two")
	}
	wantEvents(t, h.advance(day+40), "")
	h.vote(serviceA, 1, relay.VotePromote, day+40) // the first vote has expired
	wantEvents(t, h.advance(day+40), "")
	wantEvents(t, h.promote(serviceA, day+41), "a:moved")
	wantEvents(t, h.promote(serviceA, day+60), "a:released")
	if h.core.ExposureLimit(serviceA, 1, 1, day+61) != 1 {
		t.Error("the exposure limit of a released build is not 1")
	}
	wantEvents(t, h.advance(day+61), "")
}

// TestFreezeMidStep casts the vote that completes the quorum just before, at and just after the start of a freeze.
func TestFreezeMidStep(t *testing.T) {
	for _, c := range []struct {
		name       string
		at         plan.Unix
		want       string
		wantFrozen bool
	}{
		{"before", freezeStart - 0.001, "a:moved", false},
		{"at the start", freezeStart, "", true},
		{"after the start", freezeStart + 0.001, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newControllerHarness(t)
			h.offer(serviceA, 7, freezeStart-60)
			h.vote(serviceA, 0, relay.VotePromote, freezeStart-5)
			out, rejection := h.vote(serviceA, 1, relay.VotePromote, c.at)
			wantEvents(t, out, c.want)
			if rejection != VoteCounted {
				t.Errorf("the vote was not counted: rejection %q", rejection)
			}
			if !c.wantFrozen {
				return
			}
			if reason := h.core.BlockReason(serviceA, c.at); reason.Code != BlockedByPlanFreeze || reason.Until != freezeEnd {
				t.Errorf("a waits for %+v, want the freeze until %.0f", reason, freezeEnd)
			}
			wantEvents(t, h.advance(freezeEnd-0.001), "")
			wantEvents(t, h.advance(freezeEnd), "") // the votes have expired
			wantEvents(t, h.promote(serviceA, freezeEnd+1), "a:moved")
		})
	}
}

func TestTimedPromotionUnlessHeld(t *testing.T) {
	const text = `<plan version="1"><site name="x"/><group name="p"/><service name="a"><votes control="clock" hold="0.5" step-time="20s"/>` +
		`<step name="s" share="0" cap="0.1" least="5s"><open/></step><relay name="r0"/><relay name="r1"/></service></plan>`
	p, err := planxml.Parse("p", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	h := &controllerHarness{t: t, core: New(p)}
	wantEvents(t, h.offer(serviceA, 1, day), "a:began")
	wantEvents(t, h.advance(day+19), "")
	h.vote(serviceA, 0, relay.VoteHold, day+19)
	wantEvents(t, h.advance(day+20), "")
	wantEvents(t, h.advance(day+29), "a:released")
}

// TestSettleTimeAfterRelease guards against a build that begins as soon as the previous one is released: relays and
// whoever deploys the fleet were then never notified of the release, and no relay ever voted for the next build (found
// by simulation).
func TestSettleTimeAfterRelease(t *testing.T) {
	h := newControllerHarness(t)
	h.offer(serviceA, 7, day)
	h.promote(serviceA, day+11)
	h.promote(serviceA, day+22)
	h.offer(serviceA, 8, day+25)
	wantEvents(t, h.promote(serviceA, day+33), "a:released")
	if reason := h.core.BlockReason(serviceA, day+34); reason.Code != BlockedBySettleTime || reason.Until != day+63 {
		t.Errorf("a waits for %+v, want the settle time until %.0f", reason, day+63.0)
	}
	wantEvents(t, h.advance(day+63), "a:began")
}

func TestWaitingBuildIsSuperseded(t *testing.T) {
	h := newControllerHarness(t)
	h.offer(serviceB, 3, day)
	h.offer(serviceB, 4, day+1)
	if _, err := h.core.Offer(serviceB, 4, "ops", "again", day+2); err == nil {
		t.Error("a second offer of the same build was accepted")
	}
	out := h.offer(serviceA, 7, day+3)
	wantEvents(t, out, "a:began b:began")
	if out[1].Build != 4 || h.journal[1].Kind != EventSuperseded {
		t.Errorf("build 4 did not supersede build 3: %+v", h.journal)
	}
	// The next build waits while there is a canary, and begins when the canary is withdrawn.
	h.offer(serviceB, 5, day+4)
	if h.core.RolloutStatus(serviceB, day+4).Build != 4 {
		t.Error("the next build replaced a canary")
	}
	h.vote(serviceB, 0, relay.VoteRollBack, day+5)
	wantEvents(t, h.advance(day+10), "b:taken_off b:began")
}
