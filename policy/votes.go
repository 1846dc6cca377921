// Votes: whether the newest build should go on, stay or go back, and when to say so.

package policy

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

const (
	extraOutcomeWait  = 3.0  // s past the least time that an aggregator waits for outcomes (DESIGN)
	matureAge         = 15.0 // s of a build's first machines up to which it is not released: some turn bad at 12 s
	matureCyclePart   = 0.9  // of the time between two builds after which it is: the next would end the trial
	lateFaultAge      = 11.0 // s of a machine's age at which the last of the builds that turn bad have done so
	fleetSlowDuration = 6.0  // s that the fleet may be slow until the build is held the cause: most troubles pass
	voteRenewPart     = 0.5  // of a vote's life after which it is cast again: one lost renewal is survived
	minVoteInterval   = 0.4  // s at least between two votes of one relay
	reserveVoteDelay  = 1.0  // s after which relays beyond the needed ones vote too: news of a success is there
	extraVoters       = 1.1  // times the needed votes that are cast at once: some relays are dead or cut off
	callTimeoutGrace  = 0.5  // s past the platform's own time-out before a vote counts as lost
)

// decide is the vote that this aggregator wants to stand.
func (a *aggregator) decide() relay.Verdict {
	t, r := &a.p.canary, &a.p.settings.Rollout
	released := t.status.Phase == relay.PhaseReleased
	if !t.canRollBack() {
		a.cleanAt, a.slowAt = a.p.now, a.p.now
		return relay.NoVote
	}
	back, late, outdone, pooled := a.fuse()
	// What the fleet suffers while the earlier build fails more often is its doing: this is the way out.
	if last := int(t.status.Stage) >= len(r.StageShares)-1; !late || last || outdone || released {
		a.slowAt = a.p.now
	} else if !back {
		a.reason = "the whole fleet is slower than before"
	}
	age := math.Min(a.p.now-t.stageSince, a.p.now-t.listedAt+listingDelay)
	switch {
	case back || a.p.now-a.slowAt > fleetSlowDuration:
		return relay.VoteRollBack
	case released:
		return relay.NoVote
	case r.Control == relay.ControlTimed && (pooled < minOutcomes || late) &&
		a.p.now-t.stageSince < r.MaxStageTime+extraOutcomeWait:
		return relay.VoteHold
	case r.Control != relay.ControlTimed && t.listedAt != 0 && !late && t.matured() &&
		(age >= r.MinStageTime+extraOutcomeWait || age >= r.MinStageTime && pooled >= minOutcomes):
		return relay.VotePromote
	}
	return relay.NoVote
}

// ripe says that a build which turns bad with age has shown it: by its first machines' legs beyond the age,
// where all relays have enough, or by some seconds more. Only the last stage waits: none is left to go back.
func (t *canary) matured() bool {
	due := t.releaseInterval > 0 && t.p.now-t.offeredAt > matureCyclePart*t.releaseInterval
	if int(t.status.Stage) < len(t.p.settings.Rollout.StageShares)-1 || due || t.oldestAge() >= matureAge {
		return true
	}
	shown, _ := t.compareBuilds(peerEvidence, len(t.p.classes), recentEvidenceBuckets, lateFaultAge)
	return shown[figMatched] >= minSlowSamples
}

// turn is how long this relay lets others vote first: as many as are needed, and a few for those that are
// lost, vote at once; the rest only when that has not been enough, no faster than votes are taken.
func (a *aggregator) voteDelay(v relay.Verdict) relay.Seconds {
	r := &a.p.settings.Rollout
	need := [...]int{
		relay.VotePromote:  r.PromoteQuorum,
		relay.VoteHold:     r.HoldQuorum,
		relay.VoteRollBack: r.RollBackQuorum,
	}[v]
	extra := float64(a.p.settings.Self) - math.Max(aggregatorCount, extraVoters*float64(need))
	if v == relay.NoVote || extra < 0 {
		return 0
	}
	return reserveVoteDelay + extra/math.Max(r.VotesPerSec, 1)
}

// vote casts what is wanted, renews it before it lapses and casts it again when it was lost.
func (a *aggregator) castVote() {
	r, now, w := &a.p.settings.Rollout, a.p.now, a.wanted
	if a.pending && now-a.castAt > r.CallTimeout+callTimeoutGrace {
		a.pending, a.confirmed = false, false
	}
	if a.pending || now < a.nextVoteAt || now-a.wantedSince < a.voteDelay(w.Verdict) {
		return
	}
	moot := a.cast.Verdict == relay.NoVote || a.cast.Build != w.Build || !a.p.canary.canRollBack() ||
		a.cast.Verdict != relay.VoteRollBack &&
			(a.cast.Stage != w.Stage || a.p.canary.status.Phase == relay.PhaseReleased)
	if w.Verdict == relay.NoVote && moot {
		a.cast = w
		return
	}
	if w == a.cast && a.confirmed && (w.Verdict == relay.NoVote || now-a.castAt < voteRenewPart*r.VoteTTL) {
		return
	}
	if w.Verdict == relay.VoteRollBack && a.cast.Verdict != w.Verdict && a.active {
		a.p.emit(relay.Log{Line: fmt.Sprintf("voting build %d back at stage %d: %s", w.Build, w.Stage, a.reason)})
	}
	a.cast, a.castAt, a.nextVoteAt, a.pending, a.confirmed = w, now, now+minVoteInterval, true, false
	a.p.emit(w)
}
