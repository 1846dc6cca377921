package policy

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

const (
	// s past the least time of a stage that an aggregator waits for outcomes (DESIGN)
	extraOutcomeWait = 3.0
	// s of a build's first machines up to which it is not released: some turn bad at 12 s
	matureAge = 15.0
	// of the time between two builds after which it is: the next would end the trial
	matureCyclePart = 0.9
	// s of a machine's age at which the last of the builds that turn bad have done so
	lateFaultAge = 11.0
	// s that the fleet may be slow until the build is held the cause: most faults pass
	fleetSlowDuration = 6.0
	// of a vote's life after which it is cast again: one lost renewal is survived
	voteRenewPart = 0.5
	// s between two votes of one relay
	minVoteInterval = 0.4
	// s after which relays beyond the needed ones vote too: the status of a success is there
	reserveVoteDelay = 1.0
	// times the needed votes that are cast at once: some relays are dead or cut off
	extraVoters = 1.1
	// s past the platform's own time-out before a vote counts as lost
	callTimeoutGrace = 0.5
)

// decide is the vote that this aggregator wants to stand.
func (a *aggregator) decide() relay.Verdict {
	canary, rollout := &a.p.canary, &a.p.settings.Rollout
	if !canary.canRollBack() {
		a.cleanAt, a.slowAt = a.p.now, a.p.now
		return relay.NoVote
	}
	fused := a.fuse()
	a.updateSlowAt(fused)
	fleetSlowTooLong := a.p.now-a.slowAt > fleetSlowDuration
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

// updateSlowAt notes whether the fleet suffers from the trial. What it suffers while the earlier build
// fails more often is that build's doing, and a promotion is the way out.
func (a *aggregator) updateSlowAt(fused fusion) {
	canary := &a.p.canary
	released := canary.status.Phase == relay.PhaseReleased
	if !fused.fleetSlow || canary.atLastStage() || fused.earlierFails || released {
		a.slowAt = a.p.now
	} else if !fused.rollBack {
		a.reason = "the whole fleet is slower than before"
	}
}

// shouldHold says that a timed stage has shown too little, or that the fleet is slow; for a limited time.
func (a *aggregator) shouldHold(fused fusion) bool {
	maxTime := a.p.settings.Rollout.MaxStageTime + extraOutcomeWait
	unsure := fused.pooledOutcomes < minOutcomes || fused.fleetSlow
	return unsure && a.p.now-a.p.canary.stageSince < maxTime
}

// shouldPromote says that the stage has lasted long enough and shown enough.
func (a *aggregator) shouldPromote(fused fusion) bool {
	canary, minTime := &a.p.canary, a.p.settings.Rollout.MinStageTime
	if canary.listedAt == 0 || fused.fleetSlow || !canary.matured() {
		return false
	}
	stageAge := math.Min(a.p.now-canary.stageSince, a.p.now-canary.listedAt+listingDelay)
	return stageAge >= minTime+extraOutcomeWait || stageAge >= minTime && fused.pooledOutcomes >= minOutcomes
}

// atLastStage says that the next promotion releases the build.
func (c *canary) atLastStage() bool {
	return int(c.status.Stage) >= len(c.p.settings.Rollout.StageShares)-1
}

// matured says that a build which turns bad with age has shown it: by its first machines' attempts beyond
// that age, where all relays have enough, or by some seconds more. Only the last stage waits: after it
// nothing is left to go back to.
func (c *canary) matured() bool {
	nextBuildDue := c.releaseInterval > 0 && c.p.now-c.offeredAt > matureCyclePart*c.releaseInterval
	if !c.atLastStage() || nextBuildDue || c.oldestAge() >= matureAge {
		return true
	}
	shown := c.compareBuilds(peerEvidence, len(c.p.classes), recentEvidenceBuckets, lateFaultAge)
	return shown.newest.matched >= minSlowSamples
}

// replyReceived takes the platform's reply to the vote under way.
func (a *aggregator) replyReceived(reply relay.VoteReply) {
	if reply == relay.ReplyNone {
		return
	}
	// A stale vote stays as cast: votes of all relays with an old status would drown those that matter.
	a.pending = false
	a.confirmed = reply == relay.ReplyCounted || reply == relay.ReplyStale
	if reply == relay.ReplyNotCounted {
		a.nextVoteAt = a.p.now + minVoteInterval*(1+a.p.random.Float64())
	}
}

// voteDelay is how long this relay lets others vote first: as many as are needed, and a few for those that
// are lost, vote at once; the rest only when that has not been enough, no faster than votes are taken.
func (a *aggregator) voteDelay(verdict relay.Verdict) relay.Seconds {
	rollout := &a.p.settings.Rollout
	quorum := [...]int{
		relay.VotePromote:  rollout.PromoteQuorum,
		relay.VoteHold:     rollout.HoldQuorum,
		relay.VoteRollBack: rollout.RollBackQuorum,
	}[verdict]
	reserve := float64(a.p.settings.Self) - math.Max(aggregatorCount, extraVoters*float64(quorum))
	if verdict == relay.NoVote || reserve < 0 {
		return 0
	}
	return reserveVoteDelay + reserve/math.Max(rollout.VotesPerSec, 1)
}

// castVote casts what is wanted, renews it before it expires, and casts it again when it was lost.
func (a *aggregator) castVote() {
	now, wanted := a.p.now, a.wanted
	if a.pending && now-a.castAt > a.p.settings.Rollout.CallTimeout+callTimeoutGrace {
		a.pending = false
		a.confirmed = false
	}
	if a.pending || now < a.nextVoteAt || now-a.wantedSince < a.voteDelay(wanted.Verdict) {
		return
	}
	if wanted.Verdict == relay.NoVote && a.nothingToWithdraw() {
		a.cast = wanted
		return
	}
	if wanted == a.cast && a.stands() {
		return
	}
	if wanted.Verdict == relay.VoteRollBack && a.cast.Verdict != wanted.Verdict && a.active {
		line := fmt.Sprintf("voting to roll build %d back at stage %d: %s", wanted.Build, wanted.Stage, a.reason)
		a.p.emit(relay.Log{Line: line})
	}
	a.cast = wanted
	a.castAt = now
	a.nextVoteAt = now + minVoteInterval
	a.pending = true
	a.confirmed = false
	a.p.emit(wanted)
}

// nothingToWithdraw says that the vote last cast no longer counts for anything.
func (a *aggregator) nothingToWithdraw() bool {
	canary := &a.p.canary
	if a.cast.Verdict == relay.NoVote || a.cast.Build != a.wanted.Build || !canary.canRollBack() {
		return true
	}
	stagePast := a.cast.Stage != a.wanted.Stage || canary.status.Phase == relay.PhaseReleased
	return a.cast.Verdict != relay.VoteRollBack && stagePast
}

// stands says that the vote last cast is counted and does not expire soon.
func (a *aggregator) stands() bool {
	fresh := a.p.now-a.castAt < voteRenewPart*a.p.settings.Rollout.VoteTTL
	return a.confirmed && (a.cast.Verdict == relay.NoVote || fresh)
}
