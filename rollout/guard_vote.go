package rollout

import (
	"fmt"

	"lichenroad/plan"
	"lichenroad/relay"
)

// PromotionBlocked returns why a vote to promote past the platform's present step has to wait, as far as this relay
// can tell.
func (g *Guard) PromotionBlocked(now plan.Unix) BlockReason {
	g.advanceClock(now)
	if g.disabled.All || g.disabled.VoteFilter || !g.known || g.status.Phase != relay.PhaseCanary {
		return BlockReason{}
	}
	next := plan.StepIndex(g.status.Stage) + 1
	if !g.disabled.Freezes {
		reason := planFreezeBlocked(g.plan, g.calendar, g.service, next, plan.FreezePromotions, g.clock)
		if reason.Blocked() {
			return reason
		}
	}
	present := g.platformStep()
	if g.grantedStep < present {
		return BlockReason{
			Code: BlockedByLocalStep,
			Text: fmt.Sprintf("step %s is not open here yet", g.spec().StepName(present)),
		}
	}
	if g.supportedStep() < present {
		return BlockReason{Code: BlockedByDependency, Text: "a need of the present step was lost"}
	}
	return g.dependencyBlocked(next)
}

// FilterVote returns the vote to cast for one that the module requests: a vote to promote becomes one to hold while
// the plan has it wait. A vote to roll back is cast as it is, whatever the plan says.
func (g *Guard) FilterVote(now plan.Unix, requested relay.Vote) relay.Vote {
	g.requestedVote, g.hasVote = requested, true
	g.castVote = g.filter(now, requested)
	return g.castVote
}

func (g *Guard) filter(now plan.Unix, v relay.Vote) relay.Vote {
	if v.Verdict != relay.VotePromote || g.disabled.All || g.disabled.VoteFilter {
		return v
	}
	// A module that is told less than the platform's status (a release that is not granted here yet) goes on voting
	// for a step that is past.
	past := g.known && (g.status.Phase != relay.PhaseCanary || v.Build != g.status.Build)
	if past || g.PromotionBlocked(now).Blocked() {
		v.Verdict = relay.VoteHold
	}
	return v
}

// ReviseVote returns the vote to cast, and true, where the plan's effect on the module's last vote has changed: a
// vote to promote that may stand again, or one that must not stand any longer. A revised vote that is lost is made up
// for when the module renews its own.
func (g *Guard) ReviseVote(now plan.Unix) (relay.Vote, bool) {
	if !g.hasVote || !g.known || !g.promotesPresentStep(g.requestedVote) {
		return relay.Vote{}, false
	}
	v := g.filter(now, g.requestedVote)
	if v == g.castVote {
		return relay.Vote{}, false
	}
	g.castVote = v
	return v, true
}

// promotesPresentStep reports whether a vote is to promote the canary past the platform's present step.
func (g *Guard) promotesPresentStep(v relay.Vote) bool {
	return v.Verdict == relay.VotePromote && g.status.Phase == relay.PhaseCanary &&
		v.Build == g.status.Build && v.Stage == g.status.Stage
}
