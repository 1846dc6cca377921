// Votes: whether the newest build should go on, stay or go back, and when to say so.

package policy

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

const (
	extraWait     = 3.0  // s past the least time that an aggregator waits for outcomes (DESIGN)
	ripeAge       = 15.0 // s of a build's first machines up to which it is not released: some turn bad at 12 s
	ripePart      = 0.9  // of the time between two builds after which it is: the next would end the trial
	turnAge       = 11.0 // s of a machine's age at which the last of the builds that turn bad have done so
	fleetPatience = 6.0  // s that the fleet may be slow until the build is held the cause: most troubles pass
	voteRenew     = 0.5  // of a vote's life after which it is cast again: one lost renewal is survived
	voteGap       = 0.4  // s at least between two votes of one relay
	voteSpare     = 1.0  // s after which relays beyond the needed ones vote too: news of a success is there
	voteOver      = 1.1  // times the needed votes that are cast at once: some relays are dead or cut off
	callGrace     = 0.5  // s past the platform's own time-out before a vote counts as lost
)

// decide is the vote that this aggregator wants to stand.
func (a *aggregator) decide() relay.Verdict {
	t, r := &a.p.trial, &a.p.set.Rollout
	released := t.news.Phase == relay.PhaseReleased
	if !t.judging() {
		a.cleanAt, a.slowAt = a.p.now, a.p.now
		return relay.NoVote
	}
	back, late, outdone, pooled := a.fuse()
	// What the fleet suffers while the earlier build fails more often is its doing: this is the way out.
	if last := int(t.news.Stage) >= len(r.StageShares)-1; !late || last || outdone || released {
		a.slowAt = a.p.now
	} else if !back {
		a.why = "the whole fleet is slower than before"
	}
	age := math.Min(a.p.now-t.since, a.p.now-t.listedAt+listedLag)
	switch {
	case back || a.p.now-a.slowAt > fleetPatience:
		return relay.VoteRollBack
	case released:
		return relay.NoVote
	case r.Control == relay.ControlTimed && (pooled < leastCount || late) &&
		a.p.now-t.since < r.MaxStageTime+extraWait:
		return relay.VoteHold
	case r.Control != relay.ControlTimed && t.listedAt != 0 && !late && t.ripe() &&
		(age >= r.MinStageTime+extraWait || age >= r.MinStageTime && pooled >= leastCount):
		return relay.VotePromote
	}
	return relay.NoVote
}

// ripe says that a build which turns bad with age has shown it: by its first machines' legs beyond the age,
// where all relays have enough, or by some seconds more. Only the last stage waits: none is left to go back.
func (t *trial) ripe() bool {
	due := t.cycle > 0 && t.p.now-t.offered > ripePart*t.cycle
	if int(t.news.Stage) < len(t.p.set.Rollout.StageShares)-1 || due || t.eldest() >= ripeAge {
		return true
	}
	shown, _ := t.compare(told, len(t.p.rows), evidenceLately, turnAge)
	return shown[figMatched] >= leastSlow
}

// turn is how long this relay lets others vote first: as many as are needed, and a few for those that are
// lost, vote at once; the rest only when that has not been enough, no faster than votes are taken.
func (a *aggregator) turn(v relay.Verdict) relay.Seconds {
	r := &a.p.set.Rollout
	need := [...]int{
		relay.VotePromote:  r.PromoteQuorum,
		relay.VoteHold:     r.HoldQuorum,
		relay.VoteRollBack: r.RollBackQuorum,
	}[v]
	extra := float64(a.p.set.Self) - math.Max(aggregatorCount, voteOver*float64(need))
	if v == relay.NoVote || extra < 0 {
		return 0
	}
	return voteSpare + extra/math.Max(r.VotesPerSec, 1)
}

// vote casts what is wanted, renews it before it lapses and casts it again when it was lost.
func (a *aggregator) vote() {
	r, now, w := &a.p.set.Rollout, a.p.now, a.want
	if a.pending && now-a.castAt > r.CallTimeout+callGrace {
		a.pending, a.sure = false, false
	}
	if a.pending || now < a.nextAt || now-a.wantAt < a.turn(w.Verdict) {
		return
	}
	moot := a.cast.Verdict == relay.NoVote || a.cast.Build != w.Build || !a.p.trial.judging() ||
		a.cast.Verdict != relay.VoteRollBack &&
			(a.cast.Stage != w.Stage || a.p.trial.news.Phase == relay.PhaseReleased)
	if w.Verdict == relay.NoVote && moot {
		a.cast = w
		return
	}
	if w == a.cast && a.sure && (w.Verdict == relay.NoVote || now-a.castAt < voteRenew*r.VoteTTL) {
		return
	}
	if w.Verdict == relay.VoteRollBack && a.cast.Verdict != w.Verdict && a.aggregating {
		a.p.do(relay.Log{Line: fmt.Sprintf("voting build %d back at stage %d: %s", w.Build, w.Stage, a.why)})
	}
	a.cast, a.castAt, a.nextAt, a.pending, a.sure = w, now, now+voteGap, true, false
	a.p.do(w)
}
