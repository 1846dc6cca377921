package policy

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

// extraOutcomeWait is set by the design (docs/design.md).
const (
	// seconds past the minimum or maximum stage time that an aggregator waits for outcomes
	extraOutcomeWait = 3.0
	// age in seconds of a build's first machines up to which it is released only with enough outcomes at
	// machines past lateFaultAge: some builds turn bad at an age of 12 s
	matureAge = 15.0
	// fraction of the time between two builds after which a build counts as mature: the next build would end
	// its trial
	matureCycleFraction = 0.9
	// age in seconds of a machine from which its outcomes count for maturity: by then the last of the builds
	// that turn bad with age have done so
	lateFaultAge = 11.0
	// seconds that the fleet may be slow before the build counts as the cause: most faults are over earlier
	fleetSlowDuration = 6.0
	// fraction of a vote's lifetime after which it is renewed, so that one lost renewal does not let it
	// expire
	voteRenewFraction = 0.5
	// seconds between two votes of one relay
	minVoteInterval = 0.4
	// seconds after which the relays beyond the needed ones vote too: by then a status shows whether the
	// vote succeeded
	reserveVoteDelay = 1.0
	// multiple of the needed votes that are cast at once, since some relays are dead or cut off
	extraVoterFactor = 1.1
	// seconds past the platform's timeout after which a vote without a reply counts as lost
	callTimeoutGrace = 0.5
)

// decide returns the verdict that this aggregator wants the relays to vote for.
func (a *aggregator) decide() relay.Verdict {
	canary, rollout := &a.p.canary, &a.p.settings.Rollout
	if !canary.canRollBack() {
		a.lastUnflaggedAt, a.lastNotSlowAt = a.p.now, a.p.now
		return relay.NoVote
	}
	fused := a.fuse()
	a.updateLastNotSlowAt(fused)
	fleetSlowTooLong := a.p.now-a.lastNotSlowAt > fleetSlowDuration
	switch {
	case fused.rollBack || fleetSlowTooLong:
		return relay.VoteRollBack
	case canary.status.Phase == relay.PhaseReleased:
		return relay.NoVote
	case rollout.Control == relay.ControlTimed && a.shouldHold(fused):
		return relay.VoteHold
	case rollout.Control != relay.ControlTimed && a.shouldPromote(fused):
		return relay.VotePromote
	}
	return relay.NoVote
}

// updateLastNotSlowAt notes whether the trial slows the fleet. While the earlier build fails more often,
// the slowness is attributed to that build, and promotion of the newest one is the remedy.
func (a *aggregator) updateLastNotSlowAt(fused fusion) {
	canary := &a.p.canary
	released := canary.status.Phase == relay.PhaseReleased
	if !fused.fleetSlow || canary.atLastStage() || fused.earlierFails || released {
		a.lastNotSlowAt = a.p.now
	} else if !fused.rollBack {
		a.reason = "the whole fleet is slower than before"
	}
}

// shouldHold reports whether to delay the promotion of a timed stage, for a limited time: it has too few
// outcomes, or the fleet is slow.
func (a *aggregator) shouldHold(fused fusion) bool {
	maxTime := a.p.settings.Rollout.MaxStageTime + extraOutcomeWait
	unsure := fused.pooledOutcomes < minOutcomes || fused.fleetSlow
	return unsure && a.p.now-a.p.canary.stageStartedAt < maxTime
}

// shouldPromote reports whether the stage has lasted long enough and has enough outcomes.
func (a *aggregator) shouldPromote(fused fusion) bool {
	canary, minTime := &a.p.canary, a.p.settings.Rollout.MinStageTime
	if canary.stageListedAt == 0 || fused.fleetSlow || !canary.lateFaultsWouldShow() {
		return false
	}
	stageAge := math.Min(a.p.now-canary.stageStartedAt, a.p.now-canary.stageListedAt+listingDelay)
	return stageAge >= minTime+extraOutcomeWait || stageAge >= minTime && fused.pooledOutcomes >= minOutcomes
}

// atLastStage reports whether the next promotion releases the build.
func (c *canary) atLastStage() bool {
	return int(c.status.Stage) >= len(c.p.settings.Rollout.StageShares)-1
}

// lateFaultsWouldShow reports whether a fault that appears only with age would have shown: the relays
// together have enough attempts at the build's first machines past lateFaultAge, or these are older than
// matureAge. Only the last stage waits for it, as the release leaves no earlier build to go back to.
func (c *canary) lateFaultsWouldShow() bool {
	nextBuildDue := c.releaseInterval > 0 && c.p.now-c.buildAnnouncedAt > matureCycleFraction*c.releaseInterval
	if !c.atLastStage() || nextBuildDue || c.oldestAge() >= matureAge {
		return true
	}
	compared := c.compareBuilds(peerEvidence, len(c.p.classes), recentEvidenceBuckets, lateFaultAge)
	return compared.newest.matched >= minSlowSamples
}

// replyReceived handles the platform's reply to the pending vote.
func (a *aggregator) replyReceived(reply relay.VoteReply) {
	if reply == relay.ReplyNone {
		return
	}
	// A stale vote is not repeated: votes of all relays with an old status would crowd out those that count.
	a.pending = false
	a.confirmed = reply == relay.ReplyCounted || reply == relay.ReplyStale
	if reply == relay.ReplyNotCounted {
		a.nextVoteAt = a.p.now + minVoteInterval*(1+a.p.random.Float64())
	}
}

// voteDelay is how long this relay waits for others to vote first. The needed number of relays, and a few
// to make up for lost ones, vote at once. The others vote only if that was not enough, and no faster than
// the platform accepts votes.
func (a *aggregator) voteDelay(verdict relay.Verdict) relay.Seconds {
	rollout := &a.p.settings.Rollout
	quorum := [...]int{
		relay.VotePromote:  rollout.PromoteQuorum,
		relay.VoteHold:     rollout.HoldQuorum,
		relay.VoteRollBack: rollout.RollBackQuorum,
	}[verdict]
	reserve := float64(a.p.settings.Self) - math.Max(aggregatorCount, extraVoterFactor*float64(quorum))
	if verdict == relay.NoVote || reserve < 0 {
		return 0
	}
	return reserveVoteDelay + reserve/math.Max(rollout.VotesPerSec, 1)
}

// castVote casts the desired vote, renews it before it expires, and repeats it after a loss.
func (a *aggregator) castVote() {
	now, desired := a.p.now, a.desired
	if a.pending && now-a.castAt > a.p.settings.Rollout.CallTimeout+callTimeoutGrace {
		a.pending = false
		a.confirmed = false
	}
	if a.pending || now < a.nextVoteAt || now-a.desiredSince < a.voteDelay(desired.Verdict) {
		return
	}
	if desired.Verdict == relay.NoVote && a.nothingToWithdraw() {
		a.cast = desired
		return
	}
	if desired == a.cast && a.castVoteIsCurrent() {
		return
	}
	if desired.Verdict == relay.VoteRollBack && a.cast.Verdict != desired.Verdict && a.active {
		line := fmt.Sprintf("voting to roll build %d back at stage %d: %s", desired.Build, desired.Stage, a.reason)
		a.p.emit(relay.Log{Line: line})
	}
	a.cast = desired
	a.castAt = now
	a.nextVoteAt = now + minVoteInterval
	a.pending = true
	a.confirmed = false
	a.p.emit(desired)
}

// nothingToWithdraw reports whether the vote last cast has no effect any more.
func (a *aggregator) nothingToWithdraw() bool {
	canary := &a.p.canary
	if a.cast.Verdict == relay.NoVote || a.cast.Build != a.desired.Build || !canary.canRollBack() {
		return true
	}
	stagePast := a.cast.Stage != a.desired.Stage || canary.status.Phase == relay.PhaseReleased
	return a.cast.Verdict != relay.VoteRollBack && stagePast
}

// castVoteIsCurrent reports whether the vote last cast counts and does not expire soon.
func (a *aggregator) castVoteIsCurrent() bool {
	fresh := a.p.now-a.castAt < voteRenewFraction*a.p.settings.Rollout.VoteTTL
	return a.confirmed && (a.cast.Verdict == relay.NoVote || fresh)
}
