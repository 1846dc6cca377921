package rollout

import (
	"fmt"
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Advance applies the events that are due at a time and returns them in order. Each service comes after those that it
// depends on, so that a step can begin at the same moment at which its dependency is fulfilled.
func (c *Core) Advance(at plan.Unix) []Event {
	now := c.advanceClock(at)
	out := c.endFreezes(now)
	for {
		before := len(out)
		for _, service := range c.order {
			e, due := c.dueTransition(service, now)
			if !due {
				continue
			}
			e.At, e.Service = now, c.plan.Services[service].Name
			if err := c.Apply(e); err != nil {
				panic("rollout: " + err.Error()) // dueTransition returns only events that Apply accepts
			}
			out = append(out, e)
		}
		if len(out) == before {
			return out
		}
	}
}

// endFreezes ends the operators' freezes that have expired and returns the events.
func (c *Core) endFreezes(now plan.Unix) []Event {
	var out []Event
	for i := len(c.freezes) - 1; i >= 0; i-- {
		freeze := c.freezes[i]
		if freeze.Until <= 0 || now < freeze.Until {
			continue
		}
		e := Event{At: now, Kind: EventUnfrozen, Service: freeze.Service, FreezeName: freeze.FreezeName,
			Actor: "desk", Reason: "its time is over"}
		if c.Apply(e) == nil { // it fails only at an infinite time, which a journal can't store
			out = append(out, e)
		}
	}
	return out
}

// dueTransition returns a service's next event, if one is due. The caller sets the event's time and service.
func (c *Core) dueTransition(service plan.ServiceIndex, now plan.Unix) (Event, bool) {
	state, spec := &c.services[service], &c.plan.Services[service]
	newest := state.newest
	switch {
	case c.rollbackVoted(service, now): // first, as no freeze, halt or dependency blocks a rollback
		votes := c.countVotes(service, relay.VoteRollBack, now)
		return Event{Kind: EventRollingBack, Build: newest.Build, Step: newest.Step,
			Reason: fmt.Sprintf("%d relays vote it back", votes)}, true
	case state.inPhase(relay.PhaseRollingBack) && now >= newest.Since+spec.RollbackTime:
		return Event{Kind: EventWithdrawn, Build: newest.Build, Step: newest.Step}, true
	case !state.inProgress() && state.waiting != 0 && !c.StepBlocked(service, 0, now).Blocked():
		return Event{Kind: EventBegan, Build: state.waiting}, true
	case state.inPhase(relay.PhaseCanary) && !c.BlockReason(service, now).Blocked():
		if next := newest.Step + 1; int(next) < len(spec.Steps) {
			return Event{Kind: EventPromoted, Build: newest.Build, Step: next}, true
		}
		return Event{Kind: EventReleased, Build: newest.Build, Step: newest.Step}, true
	}
	return Event{}, false
}

// rollbackVoted reports whether the newest build can be rolled back and enough relays vote for a rollback.
func (c *Core) rollbackVoted(service plan.ServiceIndex, now plan.Unix) bool {
	return c.services[service].canRollBack() &&
		c.countVotes(service, relay.VoteRollBack, now) >= c.votesNeeded(service, relay.VoteRollBack)
}

// NextAdvance returns when Advance must be called again if no event is applied before: when a freeze begins or ends, a
// minimum time or a rollback ends, or votes may have expired.
func (c *Core) NextAdvance(at plan.Unix) plan.Unix {
	now := c.advanceClock(at)
	next := c.calendar.NextChange(now)
	for i := range c.services {
		if reason := c.BlockReason(plan.ServiceIndex(i), now); reason.Until > now {
			next = math.Min(next, reason.Until)
		} else if c.services[i].inProgress() {
			next = math.Min(next, now+recheckInterval)
		}
	}
	for _, freeze := range c.freezes {
		if freeze.Until > now {
			next = math.Min(next, freeze.Until)
		}
	}
	return next
}
