// Fusion: all relays' verdicts and pooled outcomes become one decision on the newest build.

package policy

import (
	"fmt"
	"math"
	"slices"

	"lichenroad/relay"
)

const (
	aggregatorCount   = 4    // lowest-numbered relays that fuse (DESIGN)
	aggregatorSilence = 3.0  // s without a decision after which an aggregator counts as lost: three decisions
	verdictLife       = 6.0  // s that a verdict counts at an aggregator (DESIGN)
	leastFlags        = 2    // relays that must flag (DESIGN)
	halfKnown         = 20.0 // outcomes at which a bad build is flagged half the time (DESIGN)
	falseAlarm        = 0.01 // false-alarm probability of one relay over all its categories (DESIGN)
	prior             = 0.35 // of a build being bad (DESIGN)
	alarmCost         = 1.0  // of sending a good build back, over letting a bad one through (DESIGN: equal)
	flagLasts         = 1.0  // s that a pooled flag must last: a verdict from every relay
	fleetTimes        = 1.4  // times the fleet's leg time before the trial that stops a vote on
)

// members gives the relays that aggregate: the lowest-numbered few that were heard of lately.
func (a *aggregator) members() (nos []relay.RelayID) {
	for i := 0; i < a.p.set.Relays && len(nos) < aggregatorCount; i++ {
		peer := &a.peers[i]
		if peer.since == 0 {
			peer.since = a.p.now
		}
		if relay.RelayID(i) == a.p.set.Self || a.p.now-math.Max(peer.since, peer.decidedAt) < aggregatorSilence {
			nos = append(nos, relay.RelayID(i))
		}
	}
	return nos
}

func (a *aggregator) take(n note) {
	switch n := n.(type) {
	case noteReport:
		a.takeReport(n)
	case noteDecision:
		a.takeDecision(n)
	case relay.RolloutStatus:
		if n.Reply != relay.ReplyNone {
			// A moot vote stays as cast: votes of all relays with old news would drown those that matter.
			a.pending, a.sure = false, n.Reply == relay.ReplyCounted || n.Reply == relay.ReplyStale
			if n.Reply == relay.ReplyNotCounted {
				a.nextAt = a.p.now + voteGap*(1+a.p.rng.Float64())
			}
		}
	case noteTick:
		if a.p.now >= a.lookAt {
			a.lookAt = a.p.now + judgeEvery
			a.look()
		}
		a.vote()
	}
}

// look renews what this relay wants to vote: by all reports as an aggregator, else by most decisions.
func (a *aggregator) look() {
	t := &a.p.trial
	a.aggregating = slices.Contains(a.members(), a.p.set.Self)
	want := relay.Vote{Build: t.news.Build, Stage: t.news.Stage}
	votes, decided := a.count(want)
	if a.aggregating || decided == 0 {
		want.Verdict = a.decide()
	} else if t.judging() {
		a.cleanAt, a.slowAt = a.p.now, a.p.now
		for v, n := range votes {
			if 2*n > decided {
				want.Verdict = relay.Verdict(v)
			}
		}
	}
	if want != a.want {
		a.want, a.wantAt = want, a.p.now
	}
	if a.aggregating && a.p.set.Limits.PeerMessages && a.p.set.Relays > 1 &&
		(a.announced != want || a.p.now-a.announcedAt >= verdictEvery) {
		a.announced, a.announcedAt = want, a.p.now
		a.tell(want)
	}
}

// logRatio is what one verdict of n outcomes weighs.
func logRatio(flag bool, n float64, categories int) float64 {
	pd, pf := n/(n+halfKnown), falseAlarm/float64(max(categories, 1))
	if flag {
		return math.Log(pd / pf)
	}
	return math.Log((1 - pd) / (1 - pf))
}

// fuse sums the log likelihood ratios of the present stage's verdicts; one of too few outcomes says nothing.
// All relays' legs, pooled by unit, make verdicts of their own, a category and for all: they need no second.
func (a *aggregator) fuse() (back, late, outdone bool, pooled float64) {
	t := &a.p.trial
	cats := len(a.p.rows)
	sum, flaggers := 0.0, 0
	for i := range a.peers {
		peer := &a.peers[i]
		if !peer.reported || a.p.now-peer.reportedAt > verdictLife || len(peer.verdicts) != cats ||
			peer.build != t.news.Build || peer.stage != t.news.Stage {
			continue
		}
		flags := false
		for _, v := range peer.verdicts {
			if v.n > 0 {
				sum += logRatio(v.flag, v.n, cats)
				flags = flags || v.flag
			}
		}
		if flags {
			flaggers++
		}
	}
	threshold := math.Log(alarmCost * (1 - prior) / prior)
	back, pooledFlag := sum >= threshold && flaggers >= leastFlags, false
	// Also the eldest machines alone: a build that turns bad with age would hide behind its fresh ones.
	for _, x := range [...]struct {
		to  int
		age relay.Seconds
	}{{evidenceLately, youngUnit}, {evidenceLately, 0}, {evidenceBuckets, 0}} {
		for c := 0; c <= cats; c++ {
			newer, before := t.compare(told, c, x.to, x.age)
			outdone = worse(before, newer, figFailed, poolPoints, poolOutcomes, true) // the last holds, as for pooled
			if pooled = newer[figCount]; c < cats {
				newer[figMatched] = 0 // slowness is judged over all categories: a full unit slows them unlike
			}
			if flagged(newer, before, true) && logRatio(true, newer[figCount], cats) >= threshold {
				pooledFlag = true
				a.why = fmt.Sprintf("pooled counts of category %d, %.0f against %.0f", c, newer, before)
			}
		}
	}
	// A burst of failures ends as soon as routing knows the machines at fault; a bad build's go on.
	if !pooledFlag {
		a.cleanAt = a.p.now
	}
	if back {
		a.why = "flags of several relays"
	}
	back = back || a.p.now-a.cleanAt > flagLasts
	fleet := t.fleet()
	m, err := fleet.mean(figPaced)
	calm, calmErr := t.calm.mean(figPaced)
	late = math.Min(fleet[figPaced], t.calm[figPaced]) >= leastSlow &&
		slower(m-calm, math.Hypot(err, calmErr), fleetTimes)
	return back, late, outdone, pooled
}
