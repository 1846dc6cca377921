// Package rollout decides how releases move through a plan: which step may come next, why a service has to wait, and
// the exposure limit that holds for a site and a group of tenants. It narrows what package policy may do and never
// widens it: votes alone promote a build, and votes may roll it back whatever the plan says.
//
// Core is the state machine of a release controller: a fold over its events, so that a journal of the events is all
// that a controller has to store. Guard stands in a relay between platform and decision module. Neither does I/O,
// reads a clock, starts a goroutine or locks; a value belongs to the goroutine that calls it. Times are Unix seconds
// that the caller brings. The package imports plan and relay.
package rollout

import (
	"fmt"
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Limits of the state, and the interval of its checks.
const (
	maxVoters       = 4096    // relays of a service whose votes are stored: far more than any service has
	maxBuild        = 1 << 16 // exclusive; the platform's protocol carries no higher build
	maxFreezes      = 64      // operators' freezes that stand at a time
	maxTextBytes    = 400     // of an operator's name or reason that are stored
	recheckInterval = 1.0     // s after which a service in progress is checked again, as votes expire
)

// Core is the state of all services of a plan, and the rules by which it changes. Events change it, by Apply and
// Advance; Vote, Offer and Operate only check a request and return the event that would carry it out.
type Core struct {
	plan     *plan.Plan
	calendar *plan.Calendar
	order    []plan.ServiceIndex // services after those that they depend on
	services []serviceState      // by plan.ServiceIndex
	freezes  []Event             // operators' freezes that stand, each by its EventFrozen
	clock    plan.Unix           // the latest time seen; it never goes back
	disabled Safeguards
}

// Safeguards names the safeguards of Core that are switched off. Only tests and experiments that measure what a
// safeguard is worth switch one off.
type Safeguards struct {
	Freezes          bool // freezes stop nothing
	Dependencies     bool // steps don't wait for the services that they depend on
	MinStepTime      bool // steps don't last their minimum time
	LostDependencies bool // a dependency that is lost doesn't lower the exposure limit
	StaleVotes       bool // votes on another build or step are accepted
}

// New returns the state before any event.
func New(p *plan.Plan) *Core {
	c := &Core{
		plan:     p,
		calendar: plan.NewCalendar(p, false),
		order:    p.Order(),
		services: make([]serviceState, len(p.Services)),
	}
	for i := range c.services {
		c.services[i].votes = map[string]vote{}
	}
	return c
}

// DisableSafeguards switches safeguards off. Only for tests and experiments.
func (c *Core) DisableSafeguards(disabled Safeguards) { c.disabled = disabled }

// Plan returns the plan in force.
func (c *Core) Plan() *plan.Plan { return c.plan }

// ReplanError reports that a new plan has no place for a release in progress.
type ReplanError struct {
	Service string
	Reason  string
}

// Error returns the service and the reason.
func (e *ReplanError) Error() string { return "service " + e.Service + " " + e.Reason }

// Replan replaces the plan in force. Services keep their state by name. Where the new plan has no place for a release
// in progress it returns a *ReplanError and changes nothing.
func (c *Core) Replan(p *plan.Plan) error {
	next := New(p)
	next.disabled, next.freezes, next.clock = c.disabled, c.freezes, c.clock
	for i := range c.plan.Services {
		state, name := &c.services[i], c.plan.Services[i].Name
		service, planned := p.Service(name)
		if !planned {
			if state.inProgress() || state.waiting != 0 {
				build := max(state.newest.Build, state.waiting)
				return &ReplanError{Service: name, Reason: fmt.Sprintf("has build %d under way and is not in the new plan", build)}
			}
			continue
		}
		if state.inProgress() && int(state.newest.Step) >= len(p.Services[service].Steps) {
			return &ReplanError{Service: name, Reason: fmt.Sprintf("stands at step %d, which the new plan does not have", state.newest.Step)}
		}
		next.services[service] = *state
	}
	*c = *next
	return nil
}

// advanceClock moves the state's time forward and returns it; it never goes back, whatever the machine's clock does.
func (c *Core) advanceClock(at plan.Unix) plan.Unix {
	c.clock = math.Max(c.clock, at)
	return c.clock
}

// Release is the state of a build.
type Release struct {
	Build     relay.Build
	Step      plan.StepIndex
	Phase     relay.Phase
	Since     plan.Unix // when the present step or phase began
	StartedAt plan.Unix // when the first step began
}

// serviceState is the state of one service.
type serviceState struct {
	newest    Release // of the build that began last
	known     bool    // a build has begun: newest is set
	waiting   relay.Build
	offeredAt plan.Unix       // when the waiting build was offered
	votes     map[string]vote // by relay
	halted    bool
	haltEvent Event

	// voteBudget is no part of what events restore: a controller that restarts begins with a full one.
	voteBudget tokenBucket
}

// inPhase reports whether the newest build is in one of the phases.
func (s *serviceState) inPhase(phases ...relay.Phase) bool {
	if !s.known {
		return false
	}
	for _, phase := range phases {
		if s.newest.Phase == phase {
			return true
		}
	}
	return false
}

// inProgress reports whether a build is on its way to release or rolling back.
func (s *serviceState) inProgress() bool {
	return s.inPhase(relay.PhaseCanary, relay.PhaseRollingBack)
}

// canRollBack reports whether the newest build may be rolled back.
func (s *serviceState) canRollBack() bool {
	return s.inPhase(relay.PhaseCanary, relay.PhaseReleased)
}
