package rollout

import (
	"fmt"

	"lichenroad/plan"
	"lichenroad/relay"
)

// StatusReceived records the platform's status of this relay's own service. The caller must call Evaluate next.
func (g *Guard) StatusReceived(now plan.Unix, status relay.RolloutStatus) {
	g.advanceClock(now)
	if !status.Valid {
		return
	}
	first := !g.known
	if !first && !g.disabled.BackwardStatus && !status.Confirmed && status.GoesBackward(g.status) {
		return
	}
	if first || status.Build != g.status.Build {
		g.grantedStep = -1
	}
	g.known, g.status, g.since = true, status, g.clock-status.Age
	if step := plan.StepIndex(status.Stage); status.Phase == relay.PhaseCanary && g.grantedStep > step {
		g.grantedStep = step // the platform has gone back to an earlier step: its lower limit holds
	}
	if first {
		g.grantAtStart()
	}
	g.grantSteps()
}

// DependencyStatusReceived records the status of another service. The caller must call Evaluate next.
func (g *Guard) DependencyStatusReceived(now plan.Unix, service plan.ServiceIndex, status relay.RolloutStatus) {
	g.advanceClock(now)
	if !status.Valid || int(service) >= len(g.dependencies) {
		return
	}
	if !g.disabled.BackwardStatus && !status.Confirmed && status.GoesBackward(g.dependencies[service].status) {
		return
	}
	g.dependencies[service] = dependencyStatus{status: status, receivedAt: g.clock}
}

// DependencyKeepAliveReceived records that the watch on another service is alive, so the status received last still
// holds. The caller must call Evaluate next.
func (g *Guard) DependencyKeepAliveReceived(now plan.Unix, service plan.ServiceIndex) {
	g.advanceClock(now)
	if int(service) < len(g.dependencies) && g.dependencies[service].status.Valid {
		g.dependencies[service].receivedAt = g.clock
	}
}

// platformStep returns the step that the platform has reached: the number of steps for a release, -1 for a build that
// is rolling back or withdrawn.
func (g *Guard) platformStep() plan.StepIndex {
	steps := plan.StepIndex(len(g.spec().Steps))
	switch g.status.Phase {
	case relay.PhaseReleased:
		return steps
	case relay.PhaseCanary:
		return min(plan.StepIndex(g.status.Stage), steps-1)
	}
	return -1
}

// grantAtStart grants the platform's step in a relay that has just started in a freeze, if the age of the status shows
// that the step began before the freeze: the relays that were running then had reached it. A step that began in the
// freeze, or so close to its start that clocks may disagree, is not granted. supportedStep still checks dependencies.
func (g *Guard) grantAtStart() {
	freeze, frozen := g.frozen(plan.FreezeAll)
	if frozen && (g.disabled.StartInFreeze || g.since < freeze.Since) {
		g.grantedStep = g.platformStep()
	}
}

// grantSteps grants the steps up to the platform's in order, until a freeze or a dependency blocks one. If the age of
// the status shows that the build was released before the freeze, its steps are granted in the freeze as well: no
// endpoint runs an earlier build then.
func (g *Guard) grantSteps() {
	for g.known && g.grantedStep < g.platformStep() {
		next := g.grantedStep + 1
		freeze, frozen := g.frozen(freezeEffectOn(next))
		releasedBefore := g.status.Phase == relay.PhaseReleased && g.since < freeze.Since
		if frozen && !releasedBefore {
			return
		}
		if g.dependencyBlocked(next).Blocked() {
			return
		}
		g.grantedStep = next
	}
}

// dependencyBlocked returns why a step has to wait for a dependency: not fulfilled, status unknown or too old.
func (g *Guard) dependencyBlocked(step plan.StepIndex) BlockReason {
	if g.disabled.Dependencies || int(step) >= len(g.spec().Steps) {
		return BlockReason{}
	}
	for _, dependency := range g.spec().Steps[step].Dependencies {
		if reason := g.oneDependencyBlocked(dependency); reason.Blocked() {
			return reason
		}
	}
	return BlockReason{}
}

func (g *Guard) oneDependencyBlocked(dependency plan.Dependency) BlockReason {
	last := &g.dependencies[dependency.Service]
	age := g.clock - last.receivedAt
	if !last.status.Valid {
		if g.disabled.UnknownDependencies {
			return BlockReason{}
		}
		return BlockReason{Code: BlockedByStaleStatus, Text: g.plan.DependencyText(dependency) + ": no status was received"}
	}
	if age > g.plan.StatusTTL && !g.disabled.UnknownDependencies {
		text := fmt.Sprintf("%s: no status for %.0f s", g.plan.DependencyText(dependency), age)
		return BlockReason{Code: BlockedByStaleStatus, Text: text}
	}
	if !hasReached(dependency, last.status.Phase, plan.StepIndex(last.status.Stage)) {
		return BlockReason{Code: BlockedByDependency, Text: g.plan.DependencyText(dependency)}
	}
	return BlockReason{}
}

// supportedStep returns the last granted step whose dependencies, and those of the steps before it, are not known to be
// lost; -1 if there is none. A broken watch takes no step back: the dependency was fulfilled when the step was granted,
// and ending the canary whenever a controller doesn't answer would cost the capacity of the canary's endpoints. A
// dependency without any status counts as lost.
func (g *Guard) supportedStep() plan.StepIndex {
	top := min(g.grantedStep, g.platformStep())
	if g.disabled.Dependencies {
		return top
	}
	for k := plan.StepIndex(0); k <= top && int(k) < len(g.spec().Steps); k++ {
		for _, dependency := range g.spec().Steps[k].Dependencies {
			if g.isLost(dependency) {
				return k - 1
			}
		}
	}
	return top
}

func (g *Guard) isLost(dependency plan.Dependency) bool {
	status := &g.dependencies[dependency.Service].status
	if !status.Valid {
		return !g.disabled.UnknownDependencies
	}
	return !hasReached(dependency, status.Phase, plan.StepIndex(status.Stage))
}
