package rollout

import (
	"fmt"

	"lichenroad/plan"
	"lichenroad/relay"
)

// StatusReceived takes the platform's status of this relay's own service. Evaluate has to follow.
func (g *Guard) StatusReceived(now plan.Unix, status relay.RolloutStatus) {
	g.advanceClock(now)
	if !status.Valid {
		return
	}
	first := !g.known
	if !first && !g.disabled.BackwardStatus && goesBackward(g.status, status) {
		return
	}
	if first || status.Build > g.status.Build {
		g.grantedStep = -1
	}
	g.known, g.status, g.since = true, status, g.clock-status.Age
	if step := plan.StepIndex(status.Stage); status.Phase == relay.PhaseCanary && g.grantedStep > step {
		g.grantedStep = step // the platform is at an earlier step than it was: the lower limit holds
	}
	if first {
		g.grantAtStart()
	}
	g.grantSteps()
}

// goesBackward reports whether a status comes late, or from a controller that lost its latest events: it is of an
// earlier build, or undoes a rollback that was known here.
func goesBackward(known, received relay.RolloutStatus) bool {
	if received.Build < known.Build {
		return true
	}
	return received.Build == known.Build && isRolledBack(known) && !isRolledBack(received)
}

// isRolledBack reports whether a build is rolling back or withdrawn.
func isRolledBack(status relay.RolloutStatus) bool {
	return status.Phase == relay.PhaseRollingBack || status.Phase == relay.PhaseWithdrawn
}

// DependencyStatusReceived takes the status of another service. Evaluate has to follow.
func (g *Guard) DependencyStatusReceived(now plan.Unix, service plan.ServiceIndex, status relay.RolloutStatus) {
	g.advanceClock(now)
	if !status.Valid || int(service) >= len(g.dependencies) {
		return
	}
	if !g.disabled.BackwardStatus && goesBackward(g.dependencies[service].status, status) {
		return
	}
	g.dependencies[service] = dependencyStatus{status: status, receivedAt: g.clock}
}

// DependencyKeepAliveReceived says that the watch on another service is alive: the status that was last received still holds.
func (g *Guard) DependencyKeepAliveReceived(now plan.Unix, service plan.ServiceIndex) {
	g.advanceClock(now)
	if int(service) < len(g.dependencies) && g.dependencies[service].status.Valid {
		g.dependencies[service].receivedAt = g.clock
	}
}

// platformStep returns the step that the platform stands at, a release counting as one more; -1 where there is none.
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

// grantAtStart grants a relay that has just started in a freeze the platform's step, where the age of its status shows
// that it stood before the freeze: every relay that ran then was at it. What began within the freeze, or too near to
// its start for clocks to tell, is not granted. Dependencies are looked at all the same, by supportedStep.
func (g *Guard) grantAtStart() {
	freeze, frozen := g.frozen(plan.FreezeAll)
	if frozen && (g.disabled.StartInFreeze || g.since < freeze.Since) {
		g.grantedStep = g.platformStep()
	}
}

// grantSteps grants the steps up to the platform's, one after another, as far as no freeze or dependency stands in the
// way. A release whose age shows that it came before the freeze is granted within it: no earlier endpoint is left then.
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

// dependencyBlocked looks for a dependency of a step that is not fulfilled, or of which nothing was received lately.
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
		return BlockReason{Code: BlockedByStaleStatus, Text: g.plan.DependencyText(dependency) + ": nothing was heard of it"}
	}
	if age > g.plan.StatusTTL && !g.disabled.UnknownDependencies {
		text := fmt.Sprintf("%s: last heard of %.0f s ago", g.plan.DependencyText(dependency), age)
		return BlockReason{Code: BlockedByStaleStatus, Text: text}
	}
	if !hasReached(dependency, last.status.Phase, plan.StepIndex(last.status.Stage)) {
		return BlockReason{Code: BlockedByDependency, Text: g.plan.DependencyText(dependency)}
	}
	return BlockReason{}
}

// supportedStep returns the deepest granted step whose dependencies, and those of the steps before it, are not known
// to be lost. A watch that breaks takes nothing back: what was granted was true, and a canary that ended whenever a
// controller falls silent would cost the capacity of its endpoints. A dependency of which nothing was ever received
// counts as lost.
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
