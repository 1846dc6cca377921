package policy

import (
	"math"
	"slices"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

const (
	judgeInterval   = 0.25 // s between two looks at the evidence: a few outcomes apart
	verdictInterval = 1.0  // s between verdicts without a change (DESIGN)
	listedFraction  = 0.5  // of a stage's endpoints that must be listed before its time counts: a status may lag
)

// judge forms this relay's verdicts and reports them to the aggregators, on change and every so often.
func (c *canary) judge() {
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

// verdictOn forms this relay's verdict on one class. With too few outcomes it says nothing.
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

// fleetCapacity is what the ready endpoints can do, in endpoints past their slow start.
type fleetCapacity struct {
	ready   float64 // endpoints
	newest  float64 // of these, on the newest build
	all     float64 // capacity that this relay may use
	onTrial float64 // of this, of builds on trial
}

func (c *canary) measureCapacity() (capacity fleetCapacity) {
	for _, endpoint := range c.p.endpoints.all {
		if endpoint.State != relay.Ready {
			continue
		}
		usable := endpoint.capacityFraction()
		if endpoint.withheld() {
			usable = 0 // what this relay may not send there must not fall on the others of the build
		}
		capacity.all += usable
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

// updateListing notes when most endpoints of the present stage are listed, and what part of the attempts
// they can take.
func (c *canary) updateListing() {
	capacity := c.measureCapacity()
	rollout := &c.p.settings.Rollout
	// An even part of the load would do, but machines that came beside the earlier ones can do what these did
	// alone; all relays together would else leave half of the requests to the earlier build for a whole stage.
	part := capacity.onTrial / math.Max(capacity.all, 1)
	if !rollout.InPlace {
		beside := math.Min(1, capacity.onTrial/math.Max(capacity.all-capacity.onTrial, 1))
		part += c.p.router.headroom * math.Max(beside-part, 0)
	}
	// Where own attempts show how full an endpoint is, its cost bounds what it gets; a small relay sees
	// nothing of it.
	c.capacityShare = part * (1 + math.Min(1, float64(c.p.router.openInTime)/math.Max(capacity.ready, 1)))
	fleet := capacity.ready // what the stage's share is counted of
	if !rollout.InPlace {
		fleet -= capacity.newest
	}
	shares := rollout.StageShares
	if c.listedAt != 0 || capacity.newest == 0 || int(c.status.Stage) >= len(shares) {
		return
	}
	if capacity.newest >= listedFraction*shares[c.status.Stage]*fleet {
		c.listedAt = c.p.now
	}
}

// reportToAggregators sends a report with the attempts not reported yet to every aggregator, in as many
// messages as they need.
func (c *canary) reportToAggregators(report peerwire.Report) {
	settings := &c.p.settings
	for settings.Limits.PeerMessages && settings.Relays > 1 {
		n := min(len(c.unreported), peerwire.MaxObservations)
		report.Observations = c.unreported[:n]
		body := report.Encode()
		for _, member := range c.p.aggregator.members() {
			if member != settings.Self {
				c.p.emit(relay.SendMessage{To: member, Body: body})
			}
		}
		c.unreported = c.unreported[n:]
		if len(c.unreported) == 0 {
			break
		}
	}
	c.unreported = nil
}
