package policy

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

const (
	verdictTTL            = 6.0  // s that a verdict counts at an aggregator (DESIGN)
	minFlaggers           = 2    // relays that must flag (DESIGN)
	halfDetectionOutcomes = 20.0 // outcomes at which a bad build is flagged half the time (DESIGN)
	falseAlarmProbability = 0.01 // of one relay over all its classes (DESIGN)
	priorBad              = 0.35 // probability of a build being bad (DESIGN)
	falseAlarmCost        = 1.0  // of rolling a good build back, over letting a bad one through (DESIGN: equal)
	pooledFlagDuration    = 1.0  // s that a pooled flag must last: a verdict from every relay
	fleetSlowFactor       = 1.4  // times the fleet's attempt time before the trial that stops a promotion
)

// fusion is what all relays' verdicts and outcomes say of the newest build.
type fusion struct {
	rollBack       bool
	fleetSlow      bool    // the fleet is slower than before the trial
	earlierFails   bool    // the earlier build fails more than the newest one
	pooledOutcomes float64 // of the newest build, over all classes
}

// flagThreshold is the log likelihood ratio from which a rollback costs less than letting the build
// through.
func flagThreshold() float64 { return math.Log(falseAlarmCost * (1 - priorBad) / priorBad) }

// logRatio is the log likelihood ratio of one verdict that rests on so many outcomes.
func logRatio(flagged bool, outcomes float64, classes int) float64 {
	detection := outcomes / (outcomes + halfDetectionOutcomes)
	falseAlarm := falseAlarmProbability / float64(max(classes, 1))
	if flagged {
		return math.Log(detection / falseAlarm)
	}
	return math.Log((1 - detection) / (1 - falseAlarm))
}

// fuse sums the log likelihood ratios of the present stage's verdicts. All relays' attempts, pooled by
// endpoint, make verdicts of their own, for each class and for all: they need no second one.
func (a *aggregator) fuse() fusion {
	flaggedByRelays := a.flaggedByRelays()
	fused := a.fusePooled()
	if flaggedByRelays {
		a.reason = "flags of several relays"
	}
	fused.rollBack = flaggedByRelays || a.p.now-a.cleanAt > pooledFlagDuration
	fused.fleetSlow = a.fleetSlow()
	return fused
}

// flaggedByRelays weighs the relays' own verdicts; one of too few outcomes says nothing.
func (a *aggregator) flaggedByRelays() bool {
	classes := len(a.p.classes)
	sum, flaggers := 0.0, 0
	for i := range a.peers {
		peer := &a.peers[i]
		if !a.counts(peer) {
			continue
		}
		flags := false
		for _, verdict := range peer.report.Verdicts {
			if verdict.Outcomes > 0 {
				sum += logRatio(verdict.Flagged, verdict.Outcomes, classes)
				flags = flags || verdict.Flagged
			}
		}
		if flags {
			flaggers++
		}
	}
	return sum >= flagThreshold() && flaggers >= minFlaggers
}

// counts says that a relay's report is recent and of the present stage.
func (a *aggregator) counts(peer *peerState) bool {
	status, report := &a.p.canary.status, &peer.report
	recent := peer.hasReported && a.p.now-peer.reportedAt <= verdictTTL
	return recent && len(report.Verdicts) == len(a.p.classes) &&
		report.Build == status.Build && report.Stage == status.Stage
}

// fusePooled tests the pooled outcomes: of the oldest machines alone, as a build that turns bad with age
// would hide behind its fresh ones, of the last few seconds, and of the whole window. The last test's
// outcomes are those of the result.
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
				compared.newest.matched = 0 // slowness is judged over all classes: a full endpoint slows them unlike
			}
			weight := logRatio(true, compared.newest.attempts, classes)
			if compared.pooledFlagged() && weight >= flagThreshold() {
				flagged = true
				a.reason = fmt.Sprintf("pooled outcomes of class %d: %v against %v",
					class, compared.newest, compared.earlier)
			}
		}
	}
	// A burst of failures ends as soon as routing knows the machines at fault; a bad build's go on.
	if !flagged {
		a.cleanAt = a.p.now
	}
	return fused
}

// fleetSlow says that the whole fleet is slower than before the trial.
func (a *aggregator) fleetSlow() bool {
	now, before := a.p.canary.fleetCounts(), a.p.canary.baseline
	slowness, usual := now.overallSlowness(), before.overallSlowness()
	change := estimate{
		mean:     slowness.mean - usual.mean,
		stdError: math.Hypot(slowness.stdError, usual.stdError),
	}
	return math.Min(now.measured, before.measured) >= minSlowSamples && change.exceeds(fleetSlowFactor)
}
