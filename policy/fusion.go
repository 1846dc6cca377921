// Fusion: all relays' verdicts and pooled outcomes become one finding on the newest build.

package policy

import (
	"fmt"
	"math"
	"slices"

	"lichenroad/relay"
)

const (
	fuserCount   = 4    // lowest-numbered relays that fuse (DESIGN)
	fuserSilence = 3.0  // s without a finding after which a fuser counts as lost: three findings
	verdictLife  = 6.0  // s that a verdict counts at a fuser (DESIGN)
	leastFlags   = 2    // relays that must flag (DESIGN)
	halfKnown    = 20.0 // outcomes at which a bad build is flagged half the time (DESIGN)
	falseAlarm   = 0.01 // false-alarm probability of one relay over all its categories (DESIGN)
	prior        = 0.35 // of a build being bad (DESIGN)
	alarmCost    = 1.0  // of sending a good build back, over that of letting a bad one through (DESIGN: equal)
	flagLasts    = 1.0  // s that a pooled flag must last: a verdict from every relay
	fleetTimes   = 1.4  // times the fleet's leg time before the trial that stops a vote on
)

// set gives the relays that fuse: the lowest-numbered few that were heard of lately.
func (f *fuser) set() (nos []relay.RelayNo) {
	for i := 0; i < f.p.set.Relays && len(nos) < fuserCount; i++ {
		h := &f.heard[i]
		if h.since == 0 {
			h.since = f.p.now
		}
		if relay.RelayNo(i) == f.p.set.Self || f.p.now-math.Max(h.since, h.foundAt) < fuserSilence {
			nos = append(nos, relay.RelayNo(i))
		}
	}
	return nos
}

func (f *fuser) take(n note) {
	switch n := n.(type) {
	case noteMemo:
		f.hearMemo(n)
	case noteFinding:
		f.hearFinding(n)
	case relay.StageNews:
		if n.Reply != relay.Unasked {
			// A moot vote stays as cast: votes of all relays with old news would drown those that matter.
			f.pending, f.sure = false, n.Reply == relay.Counted || n.Reply == relay.Moot
			if n.Reply == relay.NotCounted {
				f.nextAt = f.p.now + voteGap*(1+f.p.rng.Float64())
			}
		}
	case noteTick:
		if f.p.now >= f.lookAt {
			f.lookAt = f.p.now + judgeEvery
			f.look()
		}
		f.vote()
	}
}

// look renews what this relay wants to vote: as a fuser by all it was told, else by most fusers, or own legs.
func (f *fuser) look() {
	t := &f.p.trial
	f.fusing = slices.Contains(f.set(), f.p.set.Self)
	want := relay.Vote{Build: t.news.Build, Stage: t.news.Stage}
	votes, found := f.count(want)
	if f.fusing || found == 0 {
		want.Verdict = f.wish()
	} else if t.judging() {
		f.cleanAt, f.slowAt = f.p.now, f.p.now
		for v, n := range votes {
			if 2*n > found {
				want.Verdict = relay.Verdict(v)
			}
		}
	}
	if want != f.want {
		f.want, f.wantAt = want, f.p.now
	}
	if f.fusing && f.p.set.Limits.Messages && f.p.set.Relays > 1 &&
		(f.found != want || f.p.now-f.foundAt >= verdictEvery) {
		f.found, f.foundAt = want, f.p.now
		f.tell(want)
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

// fused sums the log likelihood ratios of the present stage's verdicts; one of too few outcomes says nothing.
// All relays' legs, pooled by unit, make verdicts of their own, a category and for all: they need no second.
func (f *fuser) fused() (back, late, outdone bool, pooled float64) {
	t := &f.p.trial
	cats := len(f.p.rows)
	sum, flaggers := 0.0, 0
	for i := range f.heard {
		h := &f.heard[i]
		if !h.has || f.p.now-h.at > verdictLife || h.build != t.news.Build || h.stage != t.news.Stage ||
			len(h.verdicts) != cats {
			continue
		}
		flags := false
		for _, v := range h.verdicts {
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
				f.why = fmt.Sprintf("pooled counts of category %d, %.0f against %.0f", c, newer, before)
			}
		}
	}
	// A burst of failures ends as soon as routing knows the machines at fault; a bad build's go on.
	if !pooledFlag {
		f.cleanAt = f.p.now
	}
	if back {
		f.why = "flags of several relays"
	}
	back = back || f.p.now-f.cleanAt > flagLasts
	fleet := t.fleet()
	m, err := fleet.mean(figPaced)
	calm, calmErr := t.calm.mean(figPaced)
	late = math.Min(fleet[figPaced], t.calm[figPaced]) >= leastSlow &&
		slower(m-calm, math.Hypot(err, calmErr), fleetTimes)
	return back, late, outdone, pooled
}
