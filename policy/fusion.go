// Fusion: all relays' verdicts and pooled outcomes become one decision on the newest build.

package policy

import (
	"fmt"
	"math"
	"slices"

	"lichenroad/relay"
)

const (
	aggregatorCount       = 4    // lowest-numbered relays that fuse (DESIGN)
	aggregatorTimeout     = 3.0  // s without a decision after which an aggregator counts as lost: three decisions
	verdictTTL            = 6.0  // s that a verdict counts at an aggregator (DESIGN)
	minFlaggers           = 2    // relays that must flag (DESIGN)
	halfDetectionOutcomes = 20.0 // outcomes at which a bad build is flagged half the time (DESIGN)
	falseAlarmProbability = 0.01 // false-alarm probability of one relay over all its categories (DESIGN)
	priorBad              = 0.35 // of a build being bad (DESIGN)
	falseAlarmCost        = 1.0  // of sending a good build back, over letting a bad one through (DESIGN: equal)
	pooledFlagDuration    = 1.0  // s that a pooled flag must last: a verdict from every relay
	fleetSlowFactor       = 1.4  // times the fleet's leg time before the trial that stops a vote on
)

// members gives the relays that aggregate: the lowest-numbered few that were heard of lately.
func (a *aggregator) members() (nos []relay.RelayID) {
	for i := 0; i < a.p.settings.Relays && len(nos) < aggregatorCount; i++ {
		peer := &a.peers[i]
		if peer.expectedSince == 0 {
			peer.expectedSince = a.p.now
		}
		if relay.RelayID(i) == a.p.settings.Self || a.p.now-math.Max(peer.expectedSince, peer.decidedAt) < aggregatorTimeout {
			nos = append(nos, relay.RelayID(i))
		}
	}
	return nos
}

func (a *aggregator) take(n message) {
	switch n := n.(type) {
	case peerReport:
		a.takeReport(n)
	case peerDecision:
		a.takeDecision(n)
	case relay.RolloutStatus:
		if n.Reply != relay.ReplyNone {
			// A moot vote stays as cast: votes of all relays with old news would drown those that matter.
			a.pending, a.confirmed = false, n.Reply == relay.ReplyCounted || n.Reply == relay.ReplyStale
			if n.Reply == relay.ReplyNotCounted {
				a.nextVoteAt = a.p.now + minVoteInterval*(1+a.p.random.Float64())
			}
		}
	case tickMessage:
		if a.p.now >= a.nextLookAt {
			a.nextLookAt = a.p.now + judgeInterval
			a.updateWanted()
		}
		a.castVote()
	}
}

// look renews what this relay wants to vote: by all reports as an aggregator, else by most decisions.
func (a *aggregator) updateWanted() {
	t := &a.p.canary
	a.active = slices.Contains(a.members(), a.p.settings.Self)
	want := relay.Vote{Build: t.status.Build, Stage: t.status.Stage}
	votes, decided := a.countDecisions(want)
	if a.active || decided == 0 {
		want.Verdict = a.decide()
	} else if t.canRollBack() {
		a.cleanAt, a.slowAt = a.p.now, a.p.now
		for v, n := range votes {
			if 2*n > decided {
				want.Verdict = relay.Verdict(v)
			}
		}
	}
	if want != a.wanted {
		a.wanted, a.wantedSince = want, a.p.now
	}
	if a.active && a.p.settings.Limits.PeerMessages && a.p.settings.Relays > 1 &&
		(a.announced != want || a.p.now-a.announcedAt >= verdictInterval) {
		a.announced, a.announcedAt = want, a.p.now
		a.announce(want)
	}
}

// logRatio is what one verdict of n outcomes weighs.
func logRatio(flag bool, n float64, categories int) float64 {
	pd, pf := n/(n+halfDetectionOutcomes), falseAlarmProbability/float64(max(categories, 1))
	if flag {
		return math.Log(pd / pf)
	}
	return math.Log((1 - pd) / (1 - pf))
}

// fuse sums the log likelihood ratios of the present stage's verdicts; one of too few outcomes says nothing.
// All relays' legs, pooled by unit, make verdicts of their own, a category and for all: they need no second.
func (a *aggregator) fuse() (back, late, outdone bool, pooled float64) {
	t := &a.p.canary
	cats := len(a.p.classes)
	sum, flaggers := 0.0, 0
	for i := range a.peers {
		peer := &a.peers[i]
		if !peer.hasReported || a.p.now-peer.reportedAt > verdictTTL || len(peer.verdicts) != cats ||
			peer.build != t.status.Build || peer.stage != t.status.Stage {
			continue
		}
		flags := false
		for _, v := range peer.verdicts {
			if v.outcomes > 0 {
				sum += logRatio(v.flagged, v.outcomes, cats)
				flags = flags || v.flagged
			}
		}
		if flags {
			flaggers++
		}
	}
	threshold := math.Log(falseAlarmCost * (1 - priorBad) / priorBad)
	back, pooledFlag := sum >= threshold && flaggers >= minFlaggers, false
	// Also the eldest machines alone: a build that turns bad with age would hide behind its fresh ones.
	for _, x := range [...]struct {
		to  int
		age relay.Seconds
	}{{recentEvidenceBuckets, youngEndpointAge}, {recentEvidenceBuckets, 0}, {evidenceBuckets, 0}} {
		for c := 0; c <= cats; c++ {
			newer, before := t.compareBuilds(peerEvidence, c, x.to, x.age)
			outdone = shareWorse(before, newer, figFailed, pooledMinDifference, pooledMinFailures, true) // the last holds, as for pooled
			if pooled = newer[figCount]; c < cats {
				newer[figMatched] = 0 // slowness is judged over all categories: a full unit slows them unlike
			}
			if flagsBuild(newer, before, true) && logRatio(true, newer[figCount], cats) >= threshold {
				pooledFlag = true
				a.reason = fmt.Sprintf("pooled counts of category %d, %.0f against %.0f", c, newer, before)
			}
		}
	}
	// A burst of failures ends as soon as routing knows the machines at fault; a bad build's go on.
	if !pooledFlag {
		a.cleanAt = a.p.now
	}
	if back {
		a.reason = "flags of several relays"
	}
	back = back || a.p.now-a.cleanAt > pooledFlagDuration
	fleet := t.fleetCounts()
	m, err := fleet.mean(figPaced)
	calm, calmErr := t.baseline.mean(figPaced)
	late = math.Min(fleet[figPaced], t.baseline[figPaced]) >= minSlowSamples &&
		significantlySlower(m-calm, math.Hypot(err, calmErr), fleetSlowFactor)
	return back, late, outdone, pooled
}
