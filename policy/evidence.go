// Evidence: this relay's verdicts on the newest build, and the test that compares two builds.

package policy

import (
	"math"
	"slices"
	"sort"

	"lichenroad/relay"
)

const (
	judgeInterval         = 0.25 // s between two looks at the evidence: a few outcomes apart
	evidenceBucketTime    = 0.5  // s a bucket of outcomes
	evidenceBuckets       = 24   // 12 s: two lives of a verdict, long enough for 20 outcomes of a rare category
	recentEvidenceBuckets = 6    // of these buckets, looked at alone too: a build that turns bad has shone for long
	earlierShareBuckets   = 12   // buckets taken as recent where a build is compared with its own earlier share
	slownessBuckets       = 8    // 4 s of legs that show slowness: the hour changes faster than builds do
	maxQueueDepth         = 8    // own legs at a unit that paces are told apart by: more are rare where it runs well
	minRatioSamples       = 10.0 // legs from which a usual pace is known
	minOutcomes           = 20.0 // outcomes a build for a flag, and pooled ones for a vote on (DESIGN)
	flagStandardErrors    = 3.0  // standard errors that a share must be worse by (DESIGN)
	flagMinFailures       = 1.0  // failures that a share must be worse by, and more (DESIGN)
	flagMinDifference     = 0.05 // difference of shares that a flag needs (DESIGN)
	pooledMinFailures     = 4.0  // the same as flagMinFailures for pooled counts, which are looked at far more often
	pooledMinDifference   = 0.02 // the same as flagMinDifference for pooled failures: many outcomes show a mild fault too
	slowFactor            = 1.6  // times the earlier machines' leg time that a flag needs: as much differs by load
	minSlowSamples        = 60.0 // legs that slowness needs, earlier machines twice that: the last to drain are idle
	earlierRatioLife      = 0.5  // s after the last leg of earlier machines that they still tell how the hour is
	maxFaultyFraction     = 0.5  // of a build's units that fail most legs, above which that is the build's doing
	faultyFactor          = 2.0  // times the earlier build's part that it must be too: twice is no chance of the draw
	oldestSpread          = 2.0  // s between the starts of machines that count as the eldest: one stage's
	listedFraction        = 0.5  // of a stage's units that must be listed before its time counts: news may lag
	verdictInterval       = 1.0  // s between verdicts without a change (DESIGN)
)

// judge forms this relay's verdicts and tells the aggregators, on change and every so often.
func (t *canary) judge() {
	t.updateListing()
	changed := len(t.unreported) > 0 && t.p.now-t.reportedAt >= verdictInterval
	for c := range t.p.classes {
		v := t.verdictOn(c)
		changed = changed || v.flagged != t.verdicts[c].flagged
		t.verdicts[c] = v
	}
	if !changed {
		return
	}
	t.reportedAt = t.p.now
	m := report{build: t.status.Build, stage: t.status.Stage, verdicts: append([]verdict(nil), t.verdicts...)}
	t.p.send(&t.p.aggregator, peerReport{t.p.settings.Self, m})
	t.reportToAggregators(m)
}

// list notes when most units of the present stage are listed, and what part of the fleet they can take.
func (t *canary) updateListing() {
	newer, ready, warm, all := 0.0, 0.0, 0.0, 0.0
	for _, u := range t.p.endpoints.all {
		if u.State != relay.Ready {
			continue
		}
		w := u.capacityFraction()
		if u.withheld() {
			w = 0 // what this relay may not send there must not fall on the others of the build
		}
		all += w
		if _, _, onTrial := t.exposureLimit(u.Build); onTrial {
			warm += w
		}
		ready++
		if u.onNewestBuild() {
			newer++
		}
	}
	// An even part of the load would do, but machines that came beside the earlier ones can do what these did
	// alone; all relays together would else leave half of the queries to the earlier build for a whole stage.
	part := warm / math.Max(all, 1)
	if besides := math.Min(1, warm/math.Max(all-warm, 1)); !t.p.settings.Rollout.InPlace {
		part += t.p.router.headroom * math.Max(besides-part, 0)
	}
	// Where own legs show how full a unit is, its cost bounds what it gets; a small relay sees nothing of it.
	t.capacityShare = part * (1 + math.Min(1, float64(t.p.router.openInTime)/math.Max(ready, 1)))
	before := ready // what the stage's part is counted of
	if !t.p.settings.Rollout.InPlace {
		before -= newer
	}
	if s := t.p.settings.Rollout.StageShares; t.listedAt == 0 && newer > 0 && int(t.status.Stage) < len(s) &&
		newer >= listedFraction*s[t.status.Stage]*before {
		t.listedAt = t.p.now
	}
}

// verdict forms this relay's verdict on one category. With too few outcomes it says nothing.
func (t *canary) verdictOn(c int) (v verdict) {
	if t.newestAttempts.all(t.p.now, c) < minOutcomes {
		return verdict{}
	}
	newer, before := t.compareBuilds(ownEvidence, c, evidenceBuckets, 0)
	if newer[figCount] < minOutcomes || before[figCount] < minOutcomes {
		return verdict{}
	}
	return verdict{flagsBuild(newer, before, false), newer[figCount]}
}

// compare sets the newest build's outcomes against the earlier ones'; its eldest machines' alone from an age.
func (t *canary) compareBuilds(by, c, to int, age relay.Seconds) (newer, before outcomeCounts) {
	pooled := by == peerEvidence
	before, ill := t.gatherEvidence(pooled, c, false, 0, evidenceBuckets, maxFaultyFraction, 0)
	// A lost zone takes machines of both builds along: what many earlier ones show too is not the build's doing.
	spare := math.Max(maxFaultyFraction, faultyFactor*ill)
	newer, _ = t.gatherEvidence(pooled, c, true, 0, to, spare, age)
	if before[figCount] >= minOutcomes {
		t.lastEarlier[by][c] = before
		return newer, before
	}
	// Else what they last showed, or this release's own earlier share; lateness then tells of the hour alone.
	if before = t.lastEarlier[by][c]; before[figCount] == 0 {
		newer, _ = t.gatherEvidence(pooled, c, true, 0, min(to, earlierShareBuckets), spare, age)
		before, _ = t.gatherEvidence(pooled, c, true, earlierShareBuckets, evidenceBuckets, spare, 0)
	}
	newer[figLate], newer[figMatched] = 0, 0
	return newer, before
}

// gather sums the evidence of the newest build's units, or of the earlier ones. What only some machines of a
// build do is not the build's: a unit that failed most legs or broke one of late is left out, unless more
// than a part (given too) did; the slowest quarter is left out of slowness; a single unit shows no faults.
func (t *canary) gatherEvidence(pooled bool, c int, newest bool, from, to int, spare float64,
	age relay.Seconds) (sound outcomeCounts, ill float64) {
	var seen, off []outcomeCounts
	eldest := 0.0
	if age > 0 {
		eldest = t.oldestAge()
	}
	for _, u := range t.p.endpoints.all {
		if u.onNewestBuild() != newest {
			continue
		}
		until := to
		if has := t.p.now - u.startTime; age > 0 {
			if until = min(to, int((has-age)/evidenceBucketTime)); until <= 0 || has < eldest-oldestSpread {
				continue
			}
		}
		e := u.evidenceCounts(pooled, c, from, until)
		if e[figCount] == 0 {
			continue
		}
		if u.faultyAt > 0 && t.p.now-u.faultyAt < evidenceBucketTime*evidenceBuckets {
			off = append(off, e)
		} else {
			seen = append(seen, e)
		}
	}
	all := float64(len(off) + len(seen))
	if ill = float64(len(off)) / math.Max(all, 1); ill > spare {
		seen = append(seen, off...)
	}
	for _, e := range seen {
		sound.add(e)
	}
	if len(seen) == 1 && newest {
		return outcomeCounts{figCount: sound[figCount]}, ill
	}
	seen = slices.DeleteFunc(seen, func(e outcomeCounts) bool { return e[figMatched] == 0 })
	sort.SliceStable(seen, func(i, j int) bool {
		return seen[i][figOver]*seen[j][figMatched] > seen[j][figOver]*seen[i][figMatched]
	})
	left := sound[figMatched]
	for _, e := range seen[:(len(seen)+3)/4] {
		sound[figOver] -= e[figOver]
		left -= e[figMatched]
	}
	sound[figOver] *= sound[figMatched] / math.Max(left, 1)
	return sound, ill
}

// flagged is the design's test of one build's shares against another's. Pooled failures need fewer points but
// more outcomes, and the standard error of equal shares: some against hardly any count. Pooled lateness is
// left to slowness, held against the earlier machines at the same moments: a slow hour is no build's fault.
func flagsBuild(newer, before outcomeCounts, pooled bool) bool {
	if pooled && shareWorse(newer, before, figFailed, pooledMinDifference, pooledMinFailures, true) ||
		!pooled && (shareWorse(newer, before, figFailed, flagMinDifference, flagMinFailures, false) ||
			shareWorse(newer, before, figLate, flagMinDifference, flagMinFailures, false)) {
		return true
	}
	m, err := newer.mean(figMatched)
	return newer[figMatched] >= minSlowSamples && before[figPaced] >= 2*minSlowSamples && significantlySlower(m, err, slowFactor)
}
