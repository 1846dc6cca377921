package policy

import (
	"fmt"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

const frozenAfterRelease = 12.0 // s after a release that the usual ratios stay frozen: a window of evidence

// canary knows where the newest build stands, bounds exposure to it, and forms verdicts on it.
type canary struct {
	p          *Policy
	hasStatus  bool
	status     relay.RolloutStatus // the last one about the newest build
	stageSince relay.Seconds       // when the present state began

	offeredAt       relay.Seconds // when the newest build was first heard of; 0: before this relay began
	releaseInterval relay.Seconds // from the build before to that
	listedAt        relay.Seconds // when the endpoints of the present stage were first listed; 0: not yet
	watchRestarted  bool          // as they were not

	hasScope   bool
	scope      relay.CanaryScope
	budgets    []*exposureBudget         // by build
	stickyKeys map[relay.Key]relay.Build // answered by the newest build, or by one not announced yet

	verdicts []peerwire.ClassVerdict // by class
	// what the earlier machines last showed, by class, and pooled
	lastEarlier [evidenceSources][]outcomeCounts
	baseline    outcomeCounts // of all endpoints when the build was first heard of
	// own attempts at the newest build that count as evidence, by class
	newestAttempts window.Sliding
	unreported     []peerwire.Observation // attempts that the aggregators have not been told of
	capacityShare  float64                // part of the attempts that the build on trial may get
	nextJudgeAt    relay.Seconds
	reportedAt     relay.Seconds
}

func newCanary(p *Policy) canary {
	c := canary{
		p:              p,
		stickyKeys:     map[relay.Key]relay.Build{},
		verdicts:       make([]peerwire.ClassVerdict, len(p.classes)),
		newestAttempts: window.NewSliding(evidenceBucketTime, evidenceBuckets, len(p.classes)),
	}
	for source := range c.lastEarlier {
		c.lastEarlier[source] = make([]outcomeCounts, len(p.classes)+1)
	}
	return c
}

func (c *canary) tick() {
	if c.p.now >= c.nextJudgeAt && c.hasStatus {
		c.nextJudgeAt = c.p.now + judgeInterval
		c.judge()
	}
}

// statusReceived takes the platform's word on a build; one about an older build is ignored.
func (c *canary) statusReceived(status relay.RolloutStatus) {
	if !status.Valid || c.hasStatus && status.Build < c.status.Build {
		return
	}
	changed := !c.hasStatus || status.Build != c.status.Build || status.Stage != c.status.Stage ||
		status.Phase != c.status.Phase
	if changed {
		c.listedAt = 0
		c.watchRestarted = false
		if c.p.settings.Self == 0 {
			line := fmt.Sprintf("build %d stage %d phase %d", status.Build, status.Stage, status.Phase)
			c.p.emit(relay.Log{Line: line})
		}
	}
	c.forgetStickyKeys(status)
	if c.hasStatus && status.Build != c.status.Build {
		c.newBuildOffered()
	}
	c.hasStatus = true
	c.status = status
	c.stageSince = c.p.now - status.Age
	budget := c.budgetOf(status.Build)
	if status.ExposureLimit < budget.limit {
		budget.exhaust()
		c.p.router.cancelUnsent(status.Build) // a lower limit binds attempts that still wait for a connection, too
	}
	budget.limit = status.ExposureLimit
}

// forgetStickyKeys lets go of the keys of earlier builds, and of one that is rolled back.
func (c *canary) forgetStickyKeys(status relay.RolloutStatus) {
	rolledBack := status.Phase == relay.PhaseRollingBack || status.Phase == relay.PhaseWithdrawn
	for key, build := range c.stickyKeys {
		if build < status.Build || build == status.Build && rolledBack {
			delete(c.stickyKeys, key)
		}
	}
}

func (c *canary) newBuildOffered() {
	if c.offeredAt > 0 {
		c.releaseInterval = c.p.now - c.offeredAt
	}
	c.offeredAt = c.p.now
	c.baseline = c.fleetCounts()
	for source := range c.lastEarlier {
		clear(c.lastEarlier[source])
	}
}

// setScope takes a scope. Budgets by group start empty where the number of groups is another than before.
func (c *canary) setScope(scope relay.CanaryScope) {
	c.hasScope = true
	c.scope = scope
	for _, budget := range c.budgets {
		if len(budget.allowedByGroup) != len(scope.GroupOpen) {
			budget.allowedByGroup = make([]float64, len(scope.GroupOpen))
		}
	}
}

// noGroup is the group of a tenant where no scope holds, or that the scope closes.
const noGroup = -1

// groupOf is the group that a tenant's requests count in, and whether it may meet builds on trial.
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

// requestAnswered makes a key stick to the newest build once it has been answered there.
func (c *canary) requestAnswered(request *trackedRequest, build relay.Build) {
	if !c.p.settings.Rollout.StickyKeys || request.Key == 0 || build <= c.stickyKeys[request.Key] {
		return
	}
	unannounced := !c.hasStatus || build > c.status.Build
	if unannounced || build == c.status.Build && c.canRollBack() {
		c.stickyKeys[request.Key] = build
	}
}

// canRollBack says whether the newest build can still be rolled back.
func (c *canary) canRollBack() bool {
	return c.hasStatus && (c.status.Phase == relay.PhaseCanary || c.status.Phase == relay.PhaseReleased)
}

// ratiosFrozen says that the usual ratios are kept as they were before the trial, for comparison.
func (c *canary) ratiosFrozen() bool {
	justReleased := c.p.now-c.stageSince < frozenAfterRelease
	if c.p.now <= frozenAfterRelease/2 || !c.canRollBack() {
		return false
	}
	return c.status.Phase == relay.PhaseCanary || justReleased
}

// listingOverdue says that nobody has listed the present stage's endpoints for longer than that usually
// takes, and that the watch has not been restarted for it.
func (c *canary) listingOverdue() bool {
	return c.hasStatus && !c.watchRestarted && c.listedAt == 0 && c.status.Phase == relay.PhaseCanary &&
		c.p.now-c.stageSince > listingDelay+restartSpread
}
