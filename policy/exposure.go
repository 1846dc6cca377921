package policy

import (
	"math"

	"lichenroad/relay"
)

// exposureTargetFraction is set by the design (docs/design.md).
const (
	exposureTargetFraction = 0.8      // fraction of the exposure limit that routing aims for
	oneAttempt             = 1 - 1e-9 // budget for one attempt, less rounding errors
)

// exposureBudget counts the attempts that a relay may still send to one build on trial, by class if the
// exposure limit applies to each class.
type exposureBudget struct {
	build          relay.Build
	limit          float64   // fraction of the requests
	allowed        []float64 // attempts that the exposure limit permits
	allowedByGroup []float64 // the same by group of tenants, while a scope is set
	target         []float64 // attempts that the routing target permits
}

// exhaust sets everything that is left to zero.
func (b *exposureBudget) exhaust() {
	clear(b.allowed)
	clear(b.allowedByGroup)
	clear(b.target)
}

// setLimit changes the limit. A lower one leaves nothing of the budget.
func (b *exposureBudget) setLimit(limit float64) {
	if limit < b.limit {
		b.exhaust()
	}
	b.limit = limit
}

// index is the position of a class in the budget.
func (b *exposureBudget) index(class relay.RequestClass) int {
	return min(int(class), len(b.allowed)-1)
}

// budgetOf returns the budget of a build, which is created at the first call.
func (c *canary) budgetOf(build relay.Build) *exposureBudget {
	for _, budget := range c.budgets {
		if budget.build == build {
			return budget
		}
	}
	rollout := &c.p.settings.Rollout
	n := 1
	if rollout.PerClass {
		n = len(c.p.classes)
	}
	budget := &exposureBudget{
		build:   build,
		limit:   c.unannouncedLimit(),
		allowed: make([]float64, n),
		target:  make([]float64, n),
	}
	for i := range budget.allowed {
		budget.allowed[i] = rollout.ExposureAllowance
		budget.target[i] = c.p.random.Float64()
	}
	budget.allowedByGroup = make([]float64, len(c.scope.GroupOpen))
	c.budgets = append(c.budgets, budget)
	return budget
}

// unannouncedLimit returns the exposure limit of builds that are not announced: that of the first stage.
func (c *canary) unannouncedLimit() float64 {
	if limits := c.p.settings.Rollout.ExposureLimits; len(limits) > 0 {
		return limits[0]
	}
	return 0
}

// newestAnnounced returns the build of the last status. Without a status it is the oldest build that is in
// use: any later one may be on trial. Without exposure limits in the settings no build is.
func (c *canary) newestAnnounced() relay.Build {
	switch {
	case c.hasStatus:
		return c.status.Build
	case len(c.p.settings.Rollout.ExposureLimits) == 0:
		return math.MaxInt
	}
	return c.p.endpoints.oldestBuild()
}

// exposure is the limit on attempts at a build.
type exposure struct {
	limit   float64 // fraction of the requests
	stage   relay.Stage
	onTrial bool
}

// exposureOf returns the exposure of a build. A build that is not announced yet has the limit of the
// first stage.
func (c *canary) exposureOf(build relay.Build) exposure {
	announced := c.newestAnnounced()
	if build < announced || build == announced && !c.hasStatus {
		return exposure{limit: 1}
	}
	if build > announced {
		return exposure{limit: c.budgetOf(build).limit, onTrial: true}
	}
	if c.status.Phase == relay.PhaseReleased {
		return exposure{limit: 1}
	}
	return exposure{limit: c.status.ExposureLimit, stage: c.status.Stage, onTrial: true}
}

// budgetsFor returns the budgets that a request counts in, and its group. There are no budgets if the
// scope keeps the tenant from builds on trial.
func (c *canary) budgetsFor(request *trackedRequest) (budgets []*exposureBudget, group int) {
	group, open := c.groupOf(request.Tenant)
	if !open {
		return nil, group
	}
	return c.budgets, group
}

// requestArrived raises the budgets by a request's share of the exposure limit. They never hold more than
// the exposure allowance.
func (c *canary) requestArrived(request *trackedRequest) {
	allowance := c.p.settings.Rollout.ExposureAllowance
	budgets, group := c.budgetsFor(request)
	for _, budget := range budgets {
		i := budget.index(request.Class)
		budget.allowed[i] = math.Min(budget.allowed[i]+budget.limit, allowance)
		if group != noGroup {
			budget.allowedByGroup[group] = math.Min(budget.allowedByGroup[group]+budget.limit, allowance)
		}
	}
}

// permits reports whether an attempt at a build is allowed and within the exposure budget.
func (c *canary) permits(request *trackedRequest, build relay.Build) bool {
	return c.allows(request, build) && c.withinBudget(request, build)
}

// allows reports whether sticky keys, the exposure limit, the stage and the scope allow attempts of a request
// at a build, whatever is left of the exposure budget.
func (c *canary) allows(request *trackedRequest, build relay.Build) bool {
	rollout := &c.p.settings.Rollout
	if rollout.StickyKeys && request.Key != 0 && build < c.stickyKeys[request.Key] {
		return false
	}
	exposure := c.exposureOf(build)
	if !exposure.onTrial {
		return true
	}
	stage := exposure.stage
	if c.hasScope {
		if _, open := c.groupOf(request.Tenant); !open || build > c.scope.Build {
			return false
		}
		stage = min(stage, c.scope.Stage)
	}
	idempotentOnly := int(stage) < rollout.IdempotentOnlyStages
	return exposure.limit > 0 && (!idempotentOnly || request.class.idempotency == relay.Idempotent)
}

// withinBudget reports whether the exposure budget has room for an attempt at a build.
func (c *canary) withinBudget(request *trackedRequest, build relay.Build) bool {
	if !c.exposureOf(build).onTrial {
		return true
	}
	budget := c.budgetOf(build)
	if group, _ := c.groupOf(request.Tenant); group != noGroup && budget.allowedByGroup[group] < oneAttempt {
		return false
	}
	return budget.allowed[budget.index(request.Class)] >= oneAttempt
}

// withinTarget reports whether the routing target permits an attempt at a build, whether it is announced or
// not.
func (c *canary) withinTarget(request *trackedRequest, build relay.Build) bool {
	budget := c.budgetOf(build)
	return budget.target[budget.index(request.Class)] >= oneAttempt
}

// chargeAttempt takes an attempt off the budgets. The target grows with the attempts sent and not with
// the requests: in an overload, a fraction of all requests would overload the few endpoints of the build.
func (c *canary) chargeAttempt(request *trackedRequest, build relay.Build) {
	rollout := &c.p.settings.Rollout
	budgets, group := c.budgetsFor(request)
	for _, budget := range budgets {
		i := budget.index(request.Class)
		gain := math.Min(exposureTargetFraction*budget.limit, c.capacityShare)
		maxTarget := rollout.ExposureAllowance + 1
		if !rollout.InPlace {
			// room for this attempt's own share: without it, at most two of three attempts could go to the build
			maxTarget += gain
		}
		budget.target[i] = math.Min(budget.target[i]+gain, maxTarget)
	}
	if !c.exposureOf(build).onTrial {
		return
	}
	budget := c.budgetOf(build)
	i := budget.index(request.Class)
	budget.allowed[i]--
	budget.target[i]--
	if group != noGroup {
		budget.allowedByGroup[group]--
	}
}
