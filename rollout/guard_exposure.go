package rollout

import (
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// exposure is the exposure limit that holds in this relay, and the step that it belongs to.
type exposure struct {
	limit float64        // share of an open group's requests, from 0 to 1
	step  plan.StepIndex // -1: none; the number of steps: the release
}

// scopeKey determines a canary scope under one plan.
type scopeKey struct {
	build relay.Build
	step  plan.StepIndex
}

// Evaluate appends to out the events that the module has to receive now: the canary scope and the guarded status, each
// only if it has changed. It must be called after each status or keep-alive received, and at NextEvaluation.
func (g *Guard) Evaluate(now plan.Unix, out []relay.Event) []relay.Event {
	g.advanceClock(now)
	if !g.known {
		return out
	}
	g.grantSteps()
	_, frozen := g.frozen(plan.FreezeAll)
	g.wasFrozen = g.wasFrozen && frozen
	current := g.boundedExposure()
	g.wasFrozen, g.lastExposure = frozen, current

	status := g.status
	g.applyExposure(&status, current)
	scope := scopeKey{build: status.Build, step: current.step}
	if !g.evaluated || scope != g.sentScope {
		g.sentScope = scope
		out = append(out, g.canaryScope(scope))
	}
	if !g.evaluated || statusesDiffer(&g.sentStatus, &status) {
		g.sentStatus = status
		out = append(out, status)
	}
	g.evaluated = true
	return out
}

// applyExposure changes the platform's status to what holds in this relay.
func (g *Guard) applyExposure(status *relay.RolloutStatus, current exposure) {
	steps := plan.StepIndex(len(g.spec().Steps))
	status.Reply = relay.ReplyNone
	status.ExposureLimit = current.limit
	status.Age = max(0, g.clock-g.since)
	if status.Phase == relay.PhaseReleased && current.step < steps { // not granted yet: the build stays a canary
		status.Phase, status.Stage = relay.PhaseCanary, relay.Stage(steps-1)
	}
}

// canaryScope returns the scope with the groups of tenants to which a build is open at a step.
func (g *Guard) canaryScope(key scopeKey) relay.CanaryScope {
	scope := relay.CanaryScope{Build: key.build, Stage: relay.Stage(max(key.step, 0))}
	if g.disabled.Groups { // all tenants are in one group, to which the build is open
		scope.GroupOfTenant, scope.GroupOpen = make([]int, len(g.groupOfTenant)), []bool{true}
		return scope
	}
	scope.GroupOfTenant, scope.GroupOpen = g.groupOfTenant, make([]bool, len(g.plan.Groups))
	for i := range scope.GroupOpen {
		scope.GroupOpen[i] = g.spec().IsOpen(key.step, g.site, plan.GroupIndex(i))
	}
	return scope
}

// InitialScope returns the scope that the module has to receive while the guard has no status, and whether that is so: a build
// that is not announced is open to no tenant.
func (g *Guard) InitialScope() (scope relay.CanaryScope, needed bool) {
	if g.known {
		return relay.CanaryScope{}, false
	}
	return g.canaryScope(scopeKey{step: -1}), true
}

// ExposureLimit returns the share of a group's requests at this relay that the newest build may get, from 0 to 1.
func (g *Guard) ExposureLimit(group plan.GroupIndex) float64 {
	current := g.boundedExposure()
	if int(current.step) >= len(g.spec().Steps) {
		return 1
	}
	if current.step < 0 || group == plan.NoGroup || !g.spec().IsOpen(current.step, g.site, group) {
		return 0
	}
	return current.limit
}

// boundedExposure returns the exposure that holds now. In a freeze, neither limit nor step rises above the previous
// evaluation's, not even if a lost dependency is fulfilled again. The only exception is a release from before the
// freeze.
func (g *Guard) boundedExposure() exposure {
	current := g.grantedExposure()
	released := int(current.step) >= len(g.spec().Steps)
	if !g.wasFrozen || g.disabled.FreezeCeiling || released {
		return current
	}
	return exposure{
		limit: math.Min(current.limit, g.lastExposure.limit),
		step:  min(current.step, g.lastExposure.step),
	}
}

// grantedExposure returns the exposure that granted steps and dependencies allow, without the bound of a freeze.
func (g *Guard) grantedExposure() exposure {
	steps, phase := g.spec().Steps, g.status.Phase
	if phase == relay.PhaseReleased && int(g.grantedStep) >= len(steps) {
		return exposure{limit: 1, step: plan.StepIndex(len(steps))} // a lost dependency does not take a release back
	}
	step := g.supportedStep()
	if step < 0 { // also if the build is rolling back or withdrawn
		return exposure{limit: 0, step: -1}
	}
	step = min(step, plan.StepIndex(len(steps)-1))
	limit := steps[step].ExposureLimit
	if phase == relay.PhaseCanary {
		limit = math.Min(limit, g.status.ExposureLimit)
	}
	return exposure{limit: limit, step: step}
}
