package policy

import (
	"math"
	"slices"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// verdictInterval is set by the design (docs/design.md).
const (
	evaluationInterval = 0.25 // seconds between evaluations of the evidence: a few outcomes
	verdictInterval    = 1.0  // seconds between reports while no verdict changes
	// fraction of a stage's endpoints that must be listed before its time counts, as a status may lag behind
	// the platform
	listedFraction = 0.5
)

// evaluate forms this relay's verdicts. It reports them to the aggregators when a flag changes, and at
// regular times while there are unreported attempts.
func (c *canary) evaluate() {
	c.updateListing()
	changed := len(c.unreported) > 0 && c.p.now-c.reportedAt >= verdictInterval
	for class := range c.p.classes {
		verdict := c.verdictOn(class)
		changed = changed || verdict.Flagged != c.verdicts[class].Flagged
		c.verdicts[class] = verdict
	}
	if !changed {
		return
	}
	c.reportedAt = c.p.now
	report := peerwire.Report{Build: c.status.Build, Stage: c.status.Stage, Verdicts: slices.Clone(c.verdicts)}
	c.p.send(&c.p.aggregator, peerReport{from: c.p.settings.Self, report: report})
	c.reportToAggregators(report)
}

// verdictOn forms this relay's verdict on one class. With too few outcomes it is empty.
func (c *canary) verdictOn(class int) peerwire.ClassVerdict {
	if c.newestAttempts.Total(c.p.now, class) < minOutcomes {
		return peerwire.ClassVerdict{}
	}
	compared := c.compareBuilds(ownEvidence, class, evidenceBuckets, 0)
	if compared.newest.attempts < minOutcomes || compared.earlier.attempts < minOutcomes {
		return peerwire.ClassVerdict{}
	}
	return peerwire.ClassVerdict{Flagged: compared.flagged(), Outcomes: compared.newest.attempts}
}

// fleetCapacity is the capacity of the ready endpoints; an endpoint past its slow start counts 1.
type fleetCapacity struct {
	ready   float64 // number of ready endpoints
	newest  float64 // number of ready endpoints on the newest build
	usable  float64 // capacity that this relay may use
	onTrial float64 // part of that capacity on builds on trial
}

func (c *canary) measureCapacity() (capacity fleetCapacity) {
	for _, endpoint := range c.p.endpoints.all {
		if endpoint.State != relay.Ready {
			continue
		}
		usable := endpoint.capacityFraction()
		if endpoint.slowStartExhausted() {
			// the attempts that it can't take must not go to the build's other endpoints
			usable = 0
		}
		capacity.usable += usable
		if c.exposureOf(endpoint.Build).onTrial {
			capacity.onTrial += usable
		}
		capacity.ready++
		if endpoint.onNewestBuild() {
			capacity.newest++
		}
	}
	return capacity
}

// updateListing notes when enough endpoints of the present stage are listed, and updates capacityShare.
func (c *canary) updateListing() {
	capacity := c.measureCapacity()
	rollout := &c.p.settings.Rollout
	// The build gets at least its fraction of the capacity. Where its machines were added beside the earlier
	// ones, it gets more while there is headroom, up to the ratio of its capacity to theirs, since they carried
	// all requests alone. Otherwise half of the requests would go to the earlier build for a whole stage.
	fraction := capacity.onTrial / math.Max(capacity.usable, 1)
	if !rollout.InPlace {
		beside := math.Min(1, capacity.onTrial/math.Max(capacity.usable-capacity.onTrial, 1))
		fraction += c.p.router.headroom * math.Max(beside-fraction, 0)
	}
	// With many open attempts, a relay sees how full each endpoint is, and the cost limits what an endpoint
	// gets, so the share may be larger. A relay with little traffic sees no queues.
	c.capacityShare = fraction * (1 + math.Min(1, float64(c.p.router.openOnTime)/math.Max(capacity.ready, 1)))
	fleet := capacity.ready // endpoints that the stage's share is a fraction of
	if !rollout.InPlace {
		fleet -= capacity.newest
	}
	shares := rollout.StageShares
	if c.stageListedAt != 0 || capacity.newest == 0 || int(c.status.Stage) >= len(shares) {
		return
	}
	if capacity.newest >= listedFraction*shares[c.status.Stage]*fleet {
		c.stageListedAt = c.p.now
	}
}

// reportToAggregators sends a report to every aggregator, with the unreported attempts. It sends as many
// messages as they need.
func (c *canary) reportToAggregators(report peerwire.Report) {
	settings := &c.p.settings
	for settings.Limits.PeerMessages && settings.Relays > 1 {
		n := min(len(c.unreported), peerwire.MaxObservations)
		report.Observations = c.unreported[:n]
		body := report.Encode()
		for _, aggregatorID := range c.p.aggregator.aggregatorIDs() {
			if aggregatorID != settings.Self {
				c.p.emit(relay.SendMessage{To: aggregatorID, Body: body})
			}
		}
		c.unreported = c.unreported[n:]
		if len(c.unreported) == 0 {
			break
		}
	}
	c.unreported = nil
}
