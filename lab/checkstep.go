package lab

import (
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// ControllerStep is an event of the release controller, for the report.
type ControllerStep struct {
	Time    float64           `json:"time"`
	Service string            `json:"service"`
	Kind    rollout.EventKind `json:"kind"`
	Build   relay.Build       `json:"build"`
	Step    int               `json:"step"`
}

// servicePosition is the state of the rollout of a service's newest build.
type servicePosition struct {
	announced bool
	build     relay.Build
	step      int
	phase     relay.Phase
}

// apply updates the position with an event of the controller.
func (p *servicePosition) apply(event rollout.Event) {
	switch event.Kind {
	case rollout.EventBegan:
		*p = servicePosition{true, event.Build, 0, relay.PhaseCanary}
	case rollout.EventPromoted:
		p.step = int(event.Step)
	case rollout.EventReleased:
		p.phase = relay.PhaseReleased
	case rollout.EventRollingBack:
		p.phase = relay.PhaseRollingBack
	case rollout.EventWithdrawn:
		p.phase = relay.PhaseWithdrawn
	}
}

// satisfies reports whether the position satisfies a dependency of a step of another service.
func (p servicePosition) satisfies(dependency plan.Dependency) bool {
	if !p.announced {
		return false
	}
	farEnough := !dependency.Released && p.step >= int(dependency.Step)
	return p.phase == relay.PhaseReleased || p.phase == relay.PhaseCanary && farEnough
}

// checkStep checks an event of the controller against the plan.
func (c *checker) checkStep(event rollout.Event) {
	index, ok := c.simulation.plan.Service(event.Service)
	if !ok {
		return
	}
	c.steps = append(c.steps, ControllerStep{c.simulation.now, event.Service, event.Kind, event.Build, int(event.Step)})
	position := &c.services[index]
	if event.Kind == rollout.EventPromoted {
		c.checkPromotion(position, event)
	}
	position.apply(event)
	switch event.Kind {
	case rollout.EventBegan:
		c.checkAdvance(index, event, plan.FreezeStarts, 0)
	case rollout.EventPromoted:
		c.checkAdvance(index, event, plan.FreezePromotions, int(event.Step))
	case rollout.EventReleased:
		c.released[event.Service][event.Build] = true
		c.checkAdvance(index, event, plan.FreezePromotions, len(c.simulation.plan.Services[index].Steps))
	case rollout.EventRollingBack:
		c.released[event.Service][event.Build] = false
	}
}

// checkPromotion checks that a promotion goes to the step right after the current one of a canary.
func (c *checker) checkPromotion(position *servicePosition, event rollout.Event) {
	step := int(event.Step)
	if position.build != event.Build || position.phase != relay.PhaseCanary || step != position.step+1 {
		c.report(controllerName, "moved twice", float64(step), "%s build %d from step %d to %d", event.Service, event.Build,
			position.step, step)
	}
}

// checkAdvance checks that a move to a step, or to the release after the last step, happens outside of freezes and with all
// dependencies met.
func (c *checker) checkAdvance(index plan.ServiceIndex, event rollout.Event, effect plan.FreezeEffect, step int) {
	if c.isFrozen(c.simulation.now, index, anySite, effect, step) {
		c.report(controllerName, "moved in a freeze", float64(step), "%s build %d to step %d", event.Service, event.Build, step)
	}
	steps := c.simulation.plan.Services[index].Steps
	for i := range steps[:min(step+1, len(steps))] {
		for _, dependency := range steps[i].Dependencies {
			if position := c.services[dependency.Service]; !position.satisfies(dependency) {
				c.report(controllerName, "moved without its need", float64(step), "%s build %d to step %d, %s stands at %d",
					event.Service, event.Build, step, c.simulation.plan.Services[dependency.Service].Name, position.step)
			}
		}
	}
}

// restorePositions recomputes the positions from the journal of a restarted controller. The journal may lack the last steps;
// taking those again is no violation.
func (c *checker) restorePositions(journal []rollout.Event) {
	clear(c.services)
	for _, event := range journal {
		if index, ok := c.simulation.plan.Service(event.Service); ok {
			c.services[index].apply(event)
		}
	}
}

// checkVote checks that a relay does not vote to promote while a freeze forbids promotions.
func (c *checker) checkVote(from *simulatedRelay, vote relay.Vote) {
	if vote.Verdict != relay.VotePromote {
		return
	}
	if c.isFrozen(c.simulation.now, from.fleet.service, anySite, plan.FreezePromotions, int(vote.Stage)+1) {
		c.report(from.name, "vote for on in a freeze", float64(vote.Stage), "build %d step %d", vote.Build, vote.Stage)
	}
}
