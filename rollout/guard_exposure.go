package rollout

import (
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// exposure is the exposure limit that holds here, and the step that it is of: -1 for none, the number of steps for a
// release.
type exposure struct {
	limit float64 // part of an open group's requests, from 0 to 1
	step  plan.StepIndex
}

// scopeKey is what a canary scope depends on, under one plan.
type scopeKey struct {
	build relay.Build
	step  plan.StepIndex
}

// Evaluate appends what the module has to be told by now: nothing, or its scope, or the status as narrowed here, or
// both. It is to be called whenever something was received, and at NextEvaluation.
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
	g.narrow(&status, current)
	scope := scopeKey{build: status.Build, step: current.step}
	if !g.evaluated || scope != g.sentScope {
		g.sentScope = scope
		out = append(out, g.canaryScope(scope))
	}
	if !g.evaluated || differs(&g.sentStatus, &status) {
		g.sentStatus = status
		out = append(out, status)
	}
	g.evaluated = true
	return out
}

// narrow turns the platform's status into what holds here.
func (g *Guard) narrow(status *relay.RolloutStatus, current exposure) {
	steps := plan.StepIndex(len(g.spec().Steps))
	status.Reply = relay.ReplyNone
	status.ExposureLimit = current.limit
	status.Age = max(0, g.clock-g.since)
	if status.Phase == relay.PhaseReleased && current.step < steps { // not granted here: it stays a canary
		status.Phase, status.Stage = relay.PhaseCanary, relay.Stage(steps-1)
	}
}

// differs reports whether two statuses differ in more than their age.
func differs(a, b *relay.RolloutStatus) bool {
	return a.Build != b.Build || a.Stage != b.Stage || a.Phase != b.Phase || a.ExposureLimit != b.ExposureLimit
}

// canaryScope returns the groups that are open to a build at a step.
func (g *Guard) canaryScope(key scopeKey) relay.CanaryScope {
	scope := relay.CanaryScope{Build: key.build, Stage: relay.Stage(max(key.step, 0))}
	if g.disabled.Groups { // every tenant is in one group, which is open
		scope.GroupOfTenant, scope.GroupOpen = make([]int, len(g.groupOfTenant)), []bool{true}
		return scope
	}
	scope.GroupOfTenant, scope.GroupOpen = g.groupOfTenant, make([]bool, len(g.plan.Groups))
	for i := range scope.GroupOpen {
		scope.GroupOpen[i] = g.spec().IsOpen(key.step, g.site, plan.GroupIndex(i))
	}
	return scope
}

// ExposureLimit returns the part of a group's requests at this relay that the newest build may get, from 0 to 1.
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

// boundedExposure returns the exposure that holds now. In a freeze it keeps limit and step from rising above those of
// the evaluation before, as a dependency that is fulfilled again would have them. Only a release that came before the
// freeze is let through.
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

// grantedExposure returns the exposure by the granted steps and the dependencies alone.
func (g *Guard) grantedExposure() exposure {
	steps, phase := g.spec().Steps, g.status.Phase
	if phase == relay.PhaseReleased && int(g.grantedStep) >= len(steps) {
		return exposure{limit: 1, step: plan.StepIndex(len(steps))} // whatever its dependencies do
	}
	step := g.supportedStep()
	if step < 0 { // also for a build that is rolling back or withdrawn
		return exposure{limit: 0, step: -1}
	}
	step = min(step, plan.StepIndex(len(steps)-1))
	limit := steps[step].ExposureLimit
	if phase == relay.PhaseCanary {
		limit = math.Min(limit, g.status.ExposureLimit)
	}
	return exposure{limit: limit, step: step}
}
