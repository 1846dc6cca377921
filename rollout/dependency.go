package rollout

import (
	"lichenroad/plan"
	"lichenroad/relay"
)

// hasReached reports whether a service in a phase and at a step fulfils a dependency on it.
func hasReached(dependency plan.Dependency, phase relay.Phase, step plan.StepIndex) bool {
	switch phase {
	case relay.PhaseReleased:
		return true
	case relay.PhaseCanary:
		return !dependency.Released && step >= dependency.Step
	}
	return false
}

// DependenciesOf returns the services that a service depends on, in the plan's order. The service's relays have to
// watch their status.
func DependenciesOf(p *plan.Plan, service plan.ServiceIndex) []plan.ServiceIndex {
	isDependency := make([]bool, len(p.Services))
	for _, step := range p.Services[service].Steps {
		for _, dependency := range step.Dependencies {
			isDependency[dependency.Service] = true
		}
	}
	var out []plan.ServiceIndex
	for i, found := range isDependency {
		if found {
			out = append(out, plan.ServiceIndex(i))
		}
	}
	return out
}
