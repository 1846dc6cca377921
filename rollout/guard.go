package rollout

import (
	"fmt"
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Guard applies the plan in one relay. It restricts the rollout status that the relay's decision module receives, by
// the relay's site, the groups of tenants and the relay's own clock, and it filters the module's votes. It knows the
// plan, the platform's status of its own service, and the status of each service that its own depends on, which the
// release controllers send on a watch. Where it lacks a status, the step stays closed.
//
// A step takes effect in this relay only once the guard has granted it: the platform has reached it, no freeze blocks
// it at this site by this relay's clock (freezes are extended by the plan's skew at both ends), and a recent status
// shows that each dependency is fulfilled. The exposure limit is that of the last granted step whose dependencies are
// not known to be lost. It is never above the platform's, and does not rise in a freeze.
//
// A Guard belongs to one goroutine, that of the relay's loop.
type Guard struct {
	plan          *plan.Plan
	calendar      *plan.Calendar
	service       plan.ServiceIndex
	site          plan.SiteIndex
	groupOfTenant []int // index in Plan.Groups, by the module's tenant number; -1: no group
	disabled      GuardSafeguards
	clock         plan.Unix // latest time seen; it never goes back

	known        bool
	status       relay.RolloutStatus // latest from the platform that was accepted
	since        plan.Unix           // when the step or phase of status began, computed from its age
	grantedStep  plan.StepIndex      // last step granted to its build; -1: none; the number of steps: the release
	dependencies []dependencyStatus  // by service

	wasFrozen    bool     // a freeze was in force at the last evaluation
	lastExposure exposure // at the last evaluation

	evaluated  bool                // the module has received events under this plan
	sentStatus relay.RolloutStatus // sent to the module last
	sentScope  scopeKey            // key of the canary scope sent to the module last

	hasVote       bool
	requestedVote relay.Vote // latest that the module requested
	castVote      relay.Vote // cast in place of requestedVote
}

// dependencyStatus is the latest status of another service.
type dependencyStatus struct {
	status     relay.RolloutStatus
	receivedAt plan.Unix // time of the status or of the latest keep-alive after it
}

// GuardSafeguards selects safeguards of Guard to switch off. Only tests and experiments that measure the effect of a
// safeguard do so.
type GuardSafeguards struct {
	All                 bool // votes are not filtered, and the caller runs no guard
	Freezes             bool // freezes are ignored
	Dependencies        bool // dependencies are ignored
	UnknownDependencies bool // a dependency without a status counts as fulfilled, and a status never gets too old
	Groups              bool // builds are open to every tenant
	FreezeCeiling       bool // the exposure limit may rise in a freeze
	ClockSkew           bool // freezes are not extended by the plan's skew
	VoteFilter          bool // votes are cast as the module requests them
	StartInFreeze       bool // a relay that starts in a freeze grants any step of the platform
	BackwardStatus      bool // a status of an earlier build, or one that undoes a rollback, is accepted
}

// NewGuard returns the guard of a relay. Groups are those of the tenants, by the module's tenant number.
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

// DisableSafeguards switches safeguards off, for tests and experiments only.
func (g *Guard) DisableSafeguards(disabled GuardSafeguards) {
	g.disabled = disabled
	if disabled.ClockSkew {
		g.calendar = plan.NewCalendar(g.plan, false)
	}
}

// Replan replaces the plan; the service and the site must be in the new one. Granted steps that the new plan has stay
// granted, and during a freeze the change of plan alone opens nothing. Tenants are the names of the tenants, by the
// module's tenant number.
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

// spec returns the entry in the plan for this relay's service.
func (g *Guard) spec() *plan.Service { return &g.plan.Services[g.service] }

// advanceClock advances the guard's time, which never goes back.
func (g *Guard) advanceClock(now plan.Unix) { g.clock = math.Max(g.clock, now) }

// frozen returns the freeze that is in force at this site now with any of the given effects, if there is one.
func (g *Guard) frozen(effect plan.FreezeEffect) (plan.ActiveFreeze, bool) {
	if g.disabled.Freezes {
		return plan.ActiveFreeze{}, false
	}
	return g.calendar.Frozen(g.clock, g.service, g.site, effect)
}

// NextEvaluation returns when Evaluate must be called again if nothing is received before: when a freeze begins or
// ends, or the status of a dependency gets too old.
func (g *Guard) NextEvaluation(now plan.Unix) plan.Unix {
	const margin = 1e-3 // s; a status is too old only after its TTL, not at it
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
