// Package rollout decides how builds progress through a plan: which step may come next, why a service has to wait, and
// which exposure limit holds for a site and a group of tenants. It restricts what package policy may do and never
// extends it: a build is promoted by votes, or by time where the plan says so, as long as the plan does not block it.
// Votes roll a build back whatever the plan says.
//
// Core is the state machine of a release controller. Events determine its state, so a journal of the events is all that
// a controller has to store. Guard runs in a relay, between platform and decision module. Neither does I/O, reads a
// clock, starts goroutines or takes locks; each value belongs to one goroutine. Callers pass times as Unix seconds. The
// package imports plan and relay.
package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Limits of the state of Core, and how often it is checked again.
const (
	maxVoters       = 4096    // relays of a service whose votes are stored; far more than any service has
	maxBuild        = 1 << 16 // exclusive; the platform's protocol carries no higher build number
	maxFreezes      = 64      // operators' freezes in force at a time
	maxTextBytes    = 400     // bytes stored of an operator's name or reason
	recheckInterval = 1.0     // s between checks of a rollout in progress, as votes expire
)

// Core is the state of all services of a plan, with the rules by which it changes. Only events change it, through Apply
// and Advance; Vote, Offer and Operate check a request and return the event that carries it out.
type Core struct {
	plan      *plan.Plan
	calendar  *plan.Calendar
	voters    []map[string]bool        // by plan.ServiceIndex: the names of the relays that may vote
	order     []plan.ServiceIndex      // each service after those that it depends on
	services  []serviceState           // by plan.ServiceIndex
	unplanned map[string]*serviceState // by name: services that the plan does not have any more
	freezes   []Event                  // the EventFrozen of each operators' freeze in force
	clock     plan.Unix                // latest time seen; it never goes back
	disabled  Safeguards
}

// Safeguards selects safeguards of Core to switch off. Only tests and experiments that measure the effect of a
// safeguard do so.
type Safeguards struct {
	Freezes          bool // freezes block nothing
	Dependencies     bool // steps don't wait for their dependencies
	MinStepTime      bool // steps may be shorter than their minimum time
	LostDependencies bool // a lost dependency doesn't lower the exposure limit
	StaleVotes       bool // votes on another build or step are accepted
}

// New returns the state of a plan's services before any event.
func New(p *plan.Plan) *Core {
	c := &Core{
		plan:     p,
		calendar: plan.NewCalendar(p, false),
		order:    p.Order(),
		voters:   make([]map[string]bool, len(p.Services)),
		services: make([]serviceState, len(p.Services)),

		unplanned: map[string]*serviceState{},
	}
	for i := range c.services {
		c.services[i] = newServiceState()
		c.voters[i] = voterNames(&p.Services[i])
	}
	return c
}

// voterNames returns the names of the relays of a service, whose votes count.
func voterNames(spec *plan.Service) map[string]bool {
	names := map[string]bool{}
	for _, r := range spec.Relays {
		names[r.Name] = true
	}
	return names
}

func newServiceState() serviceState { return serviceState{votes: map[string]vote{}} }

// DisableSafeguards switches safeguards off, for tests and experiments only.
func (c *Core) DisableSafeguards(disabled Safeguards) { c.disabled = disabled }

// Plan returns the plan in force.
func (c *Core) Plan() *plan.Plan { return c.plan }

// ReplanError reports that a new plan lacks the service or step of a rollout in progress.
type ReplanError struct {
	Service string
	Reason  string
}

func (e *ReplanError) Error() string { return "service " + e.Service + " " + e.Reason }

// Replan replaces the plan in force. Services of the same name keep their state, and one that the plan lacks has it again when
// it comes back. If the new plan lacks the service of a
// build that waits, or the service or step of a rollout in progress, Replan returns a *ReplanError and changes nothing.
func (c *Core) Replan(p *plan.Plan) error {
	next := New(p)
	next.disabled, next.freezes, next.clock = c.disabled, c.freezes, c.clock
	for name, state := range c.unplanned {
		next.setState(name, state)
	}
	for i := range c.plan.Services {
		next.setState(c.plan.Services[i].Name, &c.services[i])
	}
	if err := next.checkPlan(); err != nil {
		return err
	}
	*c = *next
	return nil
}

// setState sets the state of a service, which the plan may not have.
func (c *Core) setState(name string, state *serviceState) {
	if service, planned := c.plan.Service(name); planned {
		c.services[service] = *state
		return
	}
	kept := *state
	c.unplanned[name] = &kept
}

// checkPlan returns a *ReplanError if the plan lacks the service of a build that waits, or the service or step of a rollout in
// progress. A build that is rolled back needs no step.
func (c *Core) checkPlan() error {
	for _, name := range slices.Sorted(maps.Keys(c.unplanned)) {
		state := c.unplanned[name]
		if state.inProgress() || state.waiting != 0 {
			build := max(state.newest.Build, state.waiting)
			return &ReplanError{Service: name, Reason: fmt.Sprintf("has build %d waiting or in progress and is not in the new plan", build)}
		}
	}
	for i := range c.services {
		state, spec := &c.services[i], &c.plan.Services[i]
		if state.inPhase(relay.PhaseCanary) && int(state.newest.Step) >= len(spec.Steps) {
			return &ReplanError{Service: spec.Name, Reason: fmt.Sprintf("is at step %d, which the new plan does not have", state.newest.Step)}
		}
	}
	return nil
}

// advanceClock advances the state's time and returns it. The time never goes back, even if the machine's clock does.
func (c *Core) advanceClock(at plan.Unix) plan.Unix {
	c.clock = math.Max(c.clock, at)
	return c.clock
}

// Release is the state of a build's rollout.
type Release struct {
	Build     relay.Build
	Step      plan.StepIndex
	Phase     relay.Phase
	Since     plan.Unix // start of the present step or phase
	StartedAt plan.Unix // start of the first step
}

type serviceState struct {
	newest    Release         // state of the build that began last
	known     bool            // a build has begun: newest is set
	waiting   relay.Build     // build that waits for its first step; 0: none
	offeredAt plan.Unix       // when the waiting build was offered
	votes     map[string]vote // latest vote of each relay
	halted    bool
	haltEvent Event // event by which the service was halted

	// voteBudget limits the rate of votes. Events don't restore it: a restarted controller begins with a full one.
	voteBudget tokenBucket
}

// inPhase reports whether a build has begun and the newest one is in one of the phases.
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

// inProgress reports whether the newest build is a canary or rolling back.
func (s *serviceState) inProgress() bool {
	return s.inPhase(relay.PhaseCanary, relay.PhaseRollingBack)
}

// canRollBack reports whether the newest build is in a phase from which it may be rolled back.
func (s *serviceState) canRollBack() bool {
	return s.inPhase(relay.PhaseCanary, relay.PhaseReleased)
}
