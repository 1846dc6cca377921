package policy

import (
	"fmt"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

// seconds after a release in which the baseline ratios stay frozen: one evidence window
const baselineFreezeAfterRelease = 12.0

// canary tracks the rollout of the newest build, limits its exposure and forms verdicts on it.
type canary struct {
	p              *Policy
	hasStatus      bool
	status         relay.RolloutStatus // last status of the newest build
	stageStartedAt relay.Seconds       // start of the present stage or phase, by the status's age

	buildAnnouncedAt relay.Seconds // first status of the newest build; 0: no status of another came before
	releaseInterval  relay.Seconds // time between the first statuses of the previous build and the newest one
	stageListedAt    relay.Seconds // when enough endpoints of the stage were first listed; 0: not yet
	watchRestarted   bool          // in this stage, because its endpoints were not listed

	hasScope   bool
	scope      relay.CanaryScope
	budgets    []*exposureBudget         // one for each build seen so far
	stickyKeys map[relay.Key]relay.Build // build that answered the key last: the newest, or an unannounced one

	verdicts []peerwire.ClassVerdict // by class
	// last sufficient outcomes of the earlier build, by class, and at the end over all classes
	lastEarlierCounts [evidenceSourceCount][]outcomeCounts
	preTrialCounts    outcomeCounts // counts of all endpoints when the newest build was announced
	// own attempts at the newest build that count as evidence, by class
	newestAttempts   window.Sliding
	unreported       []peerwire.Observation // not yet reported to the aggregators
	capacityShare    float64                // fraction of the attempts that the endpoints on trial can take
	nextEvaluationAt relay.Seconds
	reportedAt       relay.Seconds
}

func newCanary(p *Policy) canary {
	c := canary{
		p:              p,
		stickyKeys:     map[relay.Key]relay.Build{},
		verdicts:       make([]peerwire.ClassVerdict, len(p.classes)),
		newestAttempts: window.NewSliding(evidenceBucketTime, evidenceBuckets, len(p.classes)),
	}
	for source := range c.lastEarlierCounts {
		c.lastEarlierCounts[source] = make([]outcomeCounts, len(p.classes)+1)
	}
	return c
}

func (c *canary) tick() {
	if c.p.now >= c.nextEvaluationAt && c.hasStatus {
		c.nextEvaluationAt = c.p.now + evaluationInterval
		c.evaluate()
	}
}

// statusReceived applies a status from the platform; it ignores one about an older build that is not
// confirmed.
func (c *canary) statusReceived(status relay.RolloutStatus) {
	older := c.hasStatus && status.Build < c.status.Build
	if !status.Valid || older && !status.Confirmed {
		return
	}
	if older {
		c.withdrawAnnouncements(status.Build)
	}
	changed := !c.hasStatus || status.Build != c.status.Build || status.Stage != c.status.Stage ||
		status.Phase != c.status.Phase
	if changed {
		c.stageListedAt = 0
		c.watchRestarted = false
		if c.p.settings.Self == 0 {
			line := fmt.Sprintf("build %d stage %d phase %d", status.Build, status.Stage, status.Phase)
			c.p.emit(relay.Log{Line: line})
		}
	}
	c.dropStickyKeys(status)
	if c.hasStatus && status.Build != c.status.Build {
		c.newBuildAnnounced()
	}
	c.hasStatus = true
	c.status = status
	c.stageStartedAt = c.p.now - status.Age
	c.budgetOf(status.Build).setLimit(status.ExposureLimit)
}

// dropStickyKeys removes the keys of earlier builds, and those of a build that is rolled back.
func (c *canary) dropStickyKeys(status relay.RolloutStatus) {
	rolledBack := status.Phase == relay.PhaseRollingBack || status.Phase == relay.PhaseWithdrawn
	for key, build := range c.stickyKeys {
		if build < status.Build || build == status.Build && rolledBack {
			delete(c.stickyKeys, key)
		}
	}
}

// withdrawAnnouncements gives all builds after the newest one the limit of builds that are not announced.
func (c *canary) withdrawAnnouncements(newest relay.Build) {
	for _, budget := range c.budgets {
		if budget.build > newest {
			budget.setLimit(c.unannouncedLimit())
		}
	}
}

func (c *canary) newBuildAnnounced() {
	if c.buildAnnouncedAt > 0 {
		c.releaseInterval = c.p.now - c.buildAnnouncedAt
	}
	c.buildAnnouncedAt = c.p.now
	c.preTrialCounts = c.fleetCounts()
	for source := range c.lastEarlierCounts {
		clear(c.lastEarlierCounts[source])
	}
}

// setScope replaces the scope. Budgets by group start empty if the number of groups changes.
func (c *canary) setScope(scope relay.CanaryScope) {
	c.hasScope = true
	c.scope = scope
	for _, budget := range c.budgets {
		if len(budget.allowedByGroup) != len(scope.GroupOpen) {
			budget.allowedByGroup = make([]float64, len(scope.GroupOpen))
		}
	}
}

// noGroup stands for no group: there is no scope, or the tenant belongs to none.
const noGroup = -1

// groupOf returns the group that a tenant's requests count in, and whether it may use builds on trial.
func (c *canary) groupOf(tenant relay.Tenant) (group int, open bool) {
	if !c.hasScope {
		return noGroup, true
	}
	if tenant < 0 || int(tenant) >= len(c.scope.GroupOfTenant) {
		return noGroup, false
	}
	group = c.scope.GroupOfTenant[tenant]
	if group < 0 || group >= len(c.scope.GroupOpen) {
		return noGroup, false
	}
	return group, c.scope.GroupOpen[group]
}

// requestAnswered binds a request's key to the newest build once that build has answered it.
func (c *canary) requestAnswered(request *trackedRequest, build relay.Build) {
	if !c.p.settings.Rollout.StickyKeys || request.Key == 0 || build <= c.stickyKeys[request.Key] {
		return
	}
	unannounced := !c.hasStatus || build > c.status.Build
	if unannounced || build == c.status.Build && c.canRollBack() {
		c.stickyKeys[request.Key] = build
		c.p.conditionsChanged = true
	}
}

// canRollBack reports whether the newest build can still be rolled back.
func (c *canary) canRollBack() bool {
	return c.hasStatus && (c.status.Phase == relay.PhaseCanary || c.status.Phase == relay.PhaseReleased)
}

// baselineFrozen reports whether the baseline ratios stay as they were before the trial, for comparison.
func (c *canary) baselineFrozen() bool {
	justReleased := c.p.now-c.stageStartedAt < baselineFreezeAfterRelease
	if c.p.now <= baselineFreezeAfterRelease/2 || !c.canRollBack() {
		return false
	}
	return c.status.Phase == relay.PhaseCanary || justReleased
}

// listingOverdue reports whether the endpoints of the present stage have not been listed within the usual
// time, and the watch has not been restarted for this stage yet.
func (c *canary) listingOverdue() bool {
	return c.hasStatus && !c.watchRestarted && c.stageListedAt == 0 && c.status.Phase == relay.PhaseCanary &&
		c.p.now-c.stageStartedAt > listingDelay+watchRestartDelay
}
