package rollout

import (
	"fmt"
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Guard narrows, by site, group of tenants and its own clock, what one relay's decision module is told of a build and
// what its votes may do. It knows the plan, the status that the platform sends of its own service, and the status that
// the release controllers of the services that this one depends on send on a watch. What it does not know counts as
// closed.
//
// A step counts here only once it was granted: the platform stands at it, no freeze stops it at this site by this
// relay's clock (with the plan's skew at both ends), and the status of each dependency was received lately. The
// exposure limit is that of the deepest granted step whose dependencies are not known to be lost, never more than the
// platform's, and within a freeze never more than before it.
//
// A Guard belongs to one goroutine, the relay's loop.
type Guard struct {
	plan          *plan.Plan
	calendar      *plan.Calendar
	service       plan.ServiceIndex
	site          plan.SiteIndex
	groupOfTenant []int // by the module's tenant numbers; -1: in no group
	disabled      GuardSafeguards
	clock         plan.Unix // the latest time seen; it never goes back

	known        bool
	status       relay.RolloutStatus // the platform's latest that was accepted
	since        plan.Unix           // when that status began, by its age
	grantedStep  plan.StepIndex      // deepest step granted of its build; -1: none; the number of steps: its release
	dependencies []dependencyStatus  // by service

	wasFrozen    bool     // a freeze stood at the last evaluation
	lastExposure exposure // of the last evaluation

	evaluated  bool                // the module was told something under this plan
	sentStatus relay.RolloutStatus // that the module received last
	sentScope  scopeKey            // of the scope that the module received last

	hasVote       bool
	requestedVote relay.Vote // the module's latest
	castVote      relay.Vote // that went to the platform for it
}

// dependencyStatus is what was last received of another service.
type dependencyStatus struct {
	status     relay.RolloutStatus
	receivedAt plan.Unix
}

// GuardSafeguards names the safeguards of Guard that are switched off. Only tests and experiments that measure what a
// safeguard is worth switch one off.
type GuardSafeguards struct {
	All                 bool // there is no guard; for its caller
	Freezes             bool // freezes are not looked at
	Dependencies        bool // dependencies are not looked at
	UnknownDependencies bool // a dependency of which nothing was received counts as fulfilled
	Groups              bool // every tenant counts as open
	FreezeCeiling       bool // exposure limits may rise in a freeze
	ClockSkew           bool // clocks are taken to agree
	VoteFilter          bool // votes go out as the module requests them
	StartInFreeze       bool // a relay that starts in a freeze accepts any status
	BackwardStatus      bool // a status of an earlier build, or one that undoes a rollback, is accepted
}

// NewGuard returns the guard of a relay. Groups holds the group of each tenant, by the module's numbers.
func NewGuard(p *plan.Plan, service plan.ServiceIndex, site plan.SiteIndex, groups []plan.GroupIndex) *Guard {
	g := &Guard{
		plan:         p,
		calendar:     plan.NewCalendar(p, true),
		service:      service,
		site:         site,
		grantedStep:  -1,
		lastExposure: exposure{limit: math.Inf(1)},
		dependencies: make([]dependencyStatus, len(p.Services)),
	}
	for _, group := range groups {
		g.groupOfTenant = append(g.groupOfTenant, int(group))
	}
	return g
}

// DisableSafeguards switches safeguards off. Only for tests and experiments.
func (g *Guard) DisableSafeguards(disabled GuardSafeguards) {
	g.disabled = disabled
	if disabled.ClockSkew {
		g.calendar = plan.NewCalendar(g.plan, false)
	}
}

// Replan replaces the plan; the service and the site must be in the new one. What was granted stays granted as far as
// the new plan has the step, and nothing opens by the change alone while a freeze stands. Tenants holds their names, by
// the module's numbers.
func (g *Guard) Replan(p *plan.Plan, tenants []string) error {
	serviceName, siteName := g.spec().Name, g.plan.Sites[g.site]
	service, hasService := p.Service(serviceName)
	site, hasSite := p.Site(siteName)
	if !hasService || !hasSite {
		return fmt.Errorf("the plan has no service %s or no site %s", serviceName, siteName)
	}
	dependencies := make([]dependencyStatus, len(p.Services))
	for i := range p.Services {
		if old, known := g.plan.Service(p.Services[i].Name); known {
			dependencies[i] = g.dependencies[old]
		}
	}
	steps := plan.StepIndex(len(p.Services[service].Steps))
	releaseGranted := int(g.grantedStep) == len(g.spec().Steps)
	if g.grantedStep > steps || releaseGranted {
		g.grantedStep = min(g.grantedStep, steps)
	}
	g.plan, g.service, g.site, g.dependencies = p, service, site, dependencies
	g.calendar = plan.NewCalendar(p, !g.disabled.ClockSkew)
	g.groupOfTenant = nil
	for _, tenant := range tenants {
		g.groupOfTenant = append(g.groupOfTenant, int(p.GroupOf(tenant)))
	}
	g.evaluated = false
	return nil
}

// spec returns what the plan says of this relay's service.
func (g *Guard) spec() *plan.Service { return &g.plan.Services[g.service] }

// advanceClock moves the guard's time forward; it never goes back.
func (g *Guard) advanceClock(now plan.Unix) { g.clock = math.Max(g.clock, now) }

// frozen returns the freeze that stands here now and has an effect, if there is one.
func (g *Guard) frozen(effect plan.FreezeEffect) (plan.ActiveFreeze, bool) {
	if g.disabled.Freezes {
		return plan.ActiveFreeze{}, false
	}
	return g.calendar.Frozen(g.clock, g.service, g.site, effect)
}

// NextEvaluation returns when Evaluate is to be called again if nothing was received before: when a freeze begins or
// ends, or the status of a dependency becomes too old.
func (g *Guard) NextEvaluation(now plan.Unix) plan.Unix {
	const margin = 1e-3 // s; the status is too old only past its time
	g.advanceClock(now)
	next := g.calendar.NextChange(g.clock)
	for i := range g.dependencies {
		dependency := &g.dependencies[i]
		if dependency.status.Valid && g.clock-dependency.receivedAt <= g.plan.StatusTTL {
			next = math.Min(next, dependency.receivedAt+g.plan.StatusTTL+margin)
		}
	}
	return math.Max(next, g.clock)
}
