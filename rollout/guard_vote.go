package rollout

import (
	"fmt"

	"lichenroad/plan"
	"lichenroad/relay"
)

// PromotionBlocked returns the reason, as far as this relay knows one, why a vote to promote the canary past the
// platform's present step has to wait.
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
			Text: fmt.Sprintf("step %s is not granted in this relay yet", g.spec().StepName(present)),
		}
	}
	if g.supportedStep() < present {
		return BlockReason{Code: BlockedByDependency, Text: "a dependency of the present step was lost"}
	}
	return g.dependencyBlocked(next)
}

// FilterVote returns the vote to cast for the one that the module requests: a vote to promote becomes a vote to hold
// while the plan blocks a promotion. A vote to roll back is never changed.
func (g *Guard) FilterVote(now plan.Unix, requested relay.Vote) relay.Vote {
	g.requestedVote, g.hasVote = requested, true
	g.castVote = g.filter(now, requested)
	return g.castVote
}

func (g *Guard) filter(now plan.Unix, v relay.Vote) relay.Vote {
	if v.Verdict != relay.VotePromote || g.disabled.All || g.disabled.VoteFilter {
		return v
	}
	// A module that has received a lower status than the platform's, as a release is not granted yet, goes on voting to
	// promote a step that has ended.
	stale := g.known && (g.status.Phase != relay.PhaseCanary || v.Build != g.status.Build)
	if stale || g.PromotionBlocked(now).Blocked() {
		v.Verdict = relay.VoteHold
	}
	return v
}

// ReviseVote returns the vote to cast, and true, if the plan's effect on the module's last vote has changed: a vote to
// promote that must become one to hold, or that may be cast again. If a revised vote is lost, the next renewal by the
// module makes up for it.
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
