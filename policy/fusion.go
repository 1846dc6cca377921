package policy

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

// verdictTTL, minFlaggingRelays, halfDetectionOutcomes, falseAlarmProbability, priorBad and falseAlarmCost
// are set by the design (docs/design.md).
const (
	verdictTTL            = 6.0  // seconds for which a reported verdict counts
	minFlaggingRelays     = 2    // relays that must flag the build
	halfDetectionOutcomes = 20.0 // outcomes at which a bad build is flagged half the time
	falseAlarmProbability = 0.01 // for one relay over all classes
	priorBad              = 0.35 // prior probability that a build is bad
	// cost of rolling a good build back, relative to that of letting a bad one through: the design sets both
	// equal
	falseAlarmCost     = 1.0
	pooledFlagDuration = 1.0 // seconds that a pooled flag must last: by then every relay has reported again
	// multiple of its attempt duration before the trial above which the fleet counts as slow, so that the
	// build is not promoted
	fleetSlowFactor = 1.4
)

// fusion is the combined result of all relays' verdicts and outcomes on the newest build.
type fusion struct {
	rollBack       bool
	fleetSlow      bool    // the fleet is slower than before the trial
	earlierFails   bool    // the earlier build fails more often than the newest one
	pooledOutcomes float64 // outcomes of the newest build over all classes
}

// flagThreshold is the log likelihood ratio from which the expected cost of a rollback is lower than that
// of letting the build through.
func flagThreshold() float64 { return math.Log(falseAlarmCost * (1 - priorBad) / priorBad) }

// logLikelihoodRatio is the log likelihood ratio of a bad build over a good one for one verdict on that
// many outcomes.
func logLikelihoodRatio(flagged bool, outcomes float64, classes int) float64 {
	detection := outcomes / (outcomes + halfDetectionOutcomes)
	falseAlarm := falseAlarmProbability / float64(max(classes, 1))
	if flagged {
		return math.Log(detection / falseAlarm)
	}
	return math.Log((1 - detection) / (1 - falseAlarm))
}

// fuse combines the verdicts of the present stage. The pooled outcomes of all relays are enough for a
// rollback on their own; the verdicts of single relays must come from at least minFlaggingRelays.
func (a *aggregator) fuse() fusion {
	flaggedByRelays := a.flaggedByRelays()
	fused := a.fusePooled()
	if flaggedByRelays {
		a.reason = "flags of several relays"
	}
	fused.rollBack = flaggedByRelays || a.p.now-a.lastUnflaggedAt > pooledFlagDuration
	fused.fleetSlow = a.fleetSlow()
	return fused
}

// flaggedByRelays sums the log likelihood ratios of the relays' own verdicts. Verdicts without outcomes
// don't count.
func (a *aggregator) flaggedByRelays() bool {
	classes := len(a.p.classes)
	sum, flaggingRelays := 0.0, 0
	for i := range a.peers {
		peer := &a.peers[i]
		if !a.reportIsCurrent(peer) {
			continue
		}
		flagged := false
		for _, verdict := range peer.report.Verdicts {
			if verdict.Outcomes > 0 {
				sum += logLikelihoodRatio(verdict.Flagged, verdict.Outcomes, classes)
				flagged = flagged || verdict.Flagged
			}
		}
		if flagged {
			flaggingRelays++
		}
	}
	return sum >= flagThreshold() && flaggingRelays >= minFlaggingRelays
}

// reportIsCurrent reports whether a relay's report is recent and about the present stage.
func (a *aggregator) reportIsCurrent(peer *peerState) bool {
	status, report := &a.p.canary.status, &peer.report
	recent := peer.hasReported && a.p.now-peer.reportedAt <= verdictTTL
	return recent && len(report.Verdicts) == len(a.p.classes) &&
		report.Build == status.Build && report.Stage == status.Stage
}

// fusePooled tests the pooled outcomes three times: those of the last few seconds at the oldest machines,
// since new machines would hide that a build turns bad with age, those of the last few seconds at all
// machines, and those of the whole window. The pooledOutcomes and earlierFails of the result come from
// the last test.
func (a *aggregator) fusePooled() (fused fusion) {
	classes := len(a.p.classes)
	flagged := false
	for _, test := range [...]struct {
		buckets int
		minAge  relay.Seconds
	}{
		{recentEvidenceBuckets, youngEndpointAge},
		{recentEvidenceBuckets, 0},
		{evidenceBuckets, 0},
	} {
		for class := 0; class <= classes; class++ {
			compared := a.p.canary.compareBuilds(peerEvidence, class, test.buckets, test.minAge)
			reversed := compared.reversed()
			fused.earlierFails = reversed.failsMore()
			fused.pooledOutcomes = compared.newest.attempts
			if class < classes {
				// slowness is only tested over all classes: a full endpoint slows each class differently
				compared.newest.matched = 0
			}
			weight := logLikelihoodRatio(true, compared.newest.attempts, classes)
			if compared.pooledFlagged() && weight >= flagThreshold() {
				flagged = true
				a.reason = fmt.Sprintf("pooled outcomes of class %d: %v against %v",
					class, compared.newest, compared.earlier)
			}
		}
	}
	// A flag must last: a burst of failures ends once routing avoids the faulty machines, while those of a
	// bad build continue.
	if !flagged {
		a.lastUnflaggedAt = a.p.now
	}
	return fused
}

// fleetSlow reports whether the whole fleet is slower than before the trial.
func (a *aggregator) fleetSlow() bool {
	now, before := a.p.canary.fleetCounts(), a.p.canary.preTrialCounts
	slowness, preTrial := now.overallSlowness(), before.overallSlowness()
	change := estimate{
		mean:     slowness.mean - preTrial.mean,
		stdError: math.Hypot(slowness.stdError, preTrial.stdError),
	}
	return math.Min(now.measured, before.measured) >= minSlowSamples && change.exceeds(fleetSlowFactor)
}
