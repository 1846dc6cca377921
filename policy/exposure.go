package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	exposureTarget = 0.8      // of the limit that the build on trial may get (DESIGN)
	oneAttempt     = 1 - 1e-9 // of a budget, less what rounding may have taken
)

// exposureBudget is what a relay may still send to one build on trial, by class where the rule counts so.
type exposureBudget struct {
	build          relay.Build
	limit          float64
	allowed        []float64 // attempts that the rule leaves
	allowedByGroup []float64 // the same by group of tenants, where a scope holds
	target         []float64 // attempts that the design's share of the limit leaves
}

// exhaust takes away all that is left.
func (b *exposureBudget) exhaust() {
	clear(b.allowed)
	clear(b.allowedByGroup)
	clear(b.target)
}

// index is the place of a class in the budget.
func (b *exposureBudget) index(class relay.RequestClass) int {
	return min(int(class), len(b.allowed)-1)
}

// budgetOf returns the budget of a build, started when the build is first met.
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
	budget := &exposureBudget{build: build, allowed: make([]float64, n), target: make([]float64, n)}
	if len(rollout.ExposureLimits) > 0 {
		budget.limit = rollout.ExposureLimits[0]
	}
	for i := range budget.allowed {
		budget.allowed[i] = rollout.ExposureAllowance
		budget.target[i] = c.p.random.Float64()
	}
	budget.allowedByGroup = make([]float64, len(c.scope.GroupOpen))
	c.budgets = append(c.budgets, budget)
	return budget
}

// exposure is what holds for attempts at a build.
type exposure struct {
	limit   float64 // part of the requests
	stage   relay.Stage
	onTrial bool
}

// exposureOf returns a build's exposure. A build that is not announced yet is in the first stage.
func (c *canary) exposureOf(build relay.Build) exposure {
	if !c.hasStatus || build < c.status.Build {
		return exposure{limit: 1}
	}
	if build > c.status.Build {
		return exposure{limit: c.budgetOf(build).limit, onTrial: true}
	}
	if c.status.Phase == relay.PhaseReleased {
		return exposure{limit: 1}
	}
	return exposure{limit: c.status.ExposureLimit, stage: c.status.Stage, onTrial: true}
}

// budgetsFor returns the budgets that a request counts in, none where a scope keeps it from builds on
// trial, and its group.
func (c *canary) budgetsFor(request *trackedRequest) (budgets []*exposureBudget, group int) {
	group, open := c.groupOf(request.Tenant)
	if !open {
		return nil, group
	}
	return c.budgets, group
}

// requestArrived adds a request's part to the rule's budgets, which hold no more than its allowance at any
// time.
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

// permits is the guard's part on exposure (rule 5).
func (c *canary) permits(request *trackedRequest, build relay.Build) bool {
	rollout := &c.p.settings.Rollout
	if rollout.StickyKeys && request.Key != 0 && build < c.stickyKeys[request.Key] {
		return false
	}
	exposure := c.exposureOf(build)
	if !exposure.onTrial {
		return true
	}
	budget := c.budgetOf(build)
	stage := exposure.stage
	if c.hasScope {
		if !c.scopePermits(request, budget) {
			return false
		}
		stage = min(stage, c.scope.Stage)
	}
	idempotentOnly := int(stage) < rollout.IdempotentOnlyStages
	if exposure.limit <= 0 || idempotentOnly && request.class.idempotency != relay.Idempotent {
		return false
	}
	return budget.allowed[budget.index(request.Class)] >= oneAttempt
}

func (c *canary) scopePermits(request *trackedRequest, budget *exposureBudget) bool {
	group, open := c.groupOf(request.Tenant)
	return open && budget.build <= c.scope.Build && budget.allowedByGroup[group] >= oneAttempt
}

// withinTarget says whether the design's share of the limit leaves an attempt at a build, announced or not.
func (c *canary) withinTarget(request *trackedRequest, build relay.Build) bool {
	budget := c.budgetOf(build)
	return budget.target[budget.index(request.Class)] >= oneAttempt
}

// chargeAttempt takes an attempt off the budgets. The design's share is one of the attempts sent: a share
// of all requests in an overload would push the build's few endpoints over.
func (c *canary) chargeAttempt(request *trackedRequest, build relay.Build) {
	rollout := &c.p.settings.Rollout
	budgets, group := c.budgetsFor(request)
	for _, budget := range budgets {
		i := budget.index(request.Class)
		part := math.Min(exposureTarget*budget.limit, c.capacityShare)
		maxTarget := rollout.ExposureAllowance + 1
		if !rollout.InPlace {
			maxTarget += part // a bound that this attempt's part may pass: else two attempts in three were the most
		}
		budget.target[i] = math.Min(budget.target[i]+part, maxTarget)
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
