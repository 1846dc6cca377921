package rollout

import (
	"lichenroad/plan"
	"lichenroad/relay"
)

// hasReached reports whether a service at a phase and step fulfils a dependency on it.
func hasReached(dependency plan.Dependency, phase relay.Phase, step plan.StepIndex) bool {
	switch phase {
	case relay.PhaseReleased:
		return true
	case relay.PhaseCanary:
		return !dependency.Released && step >= dependency.Step
	}
	return false
}

// DependenciesOf returns the services that a service depends on, in the plan's order: those whose status its relays
// have to watch.
func DependenciesOf(p *plan.Plan, service plan.ServiceIndex) []plan.ServiceIndex {
	watched := make([]bool, len(p.Services))
	for _, step := range p.Services[service].Steps {
		for _, dependency := range step.Dependencies {
			watched[dependency.Service] = true
		}
	}
	var out []plan.ServiceIndex
	for i, isWatched := range watched {
		if isWatched {
			out = append(out, plan.ServiceIndex(i))
		}
	}
	return out
}
