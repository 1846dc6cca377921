// Package plan describes staged rollouts: the services and the steps of their rollouts, sites, groups of tenants,
// dependencies between steps, and freezes, in which builds may not start or be promoted. It detects faults that only
// show in a plan as a whole (check.go) and computes when freezes hold (calendar.go).
//
// A Plan is not changed once it is read, so goroutines may share it; a Calendar caches and belongs to one goroutine.
// The package makes no decisions about rollouts (package rollout does) and imports only the standard library. Package
// internal/planxml reads plans from XML.
package plan

import (
	"fmt"
	"strconv"
)

type (
	// ServiceIndex is the index of a service in Plan.Services.
	ServiceIndex int
	// SiteIndex is the index of a site in Plan.Sites.
	SiteIndex int
	// GroupIndex is the index of a group in Plan.Groups.
	GroupIndex int
	// StepIndex is the index of a step in Service.Steps; one past the last step stands for the release.
	StepIndex int
	// FreezeIndex is the index of a freeze in Plan.Freezes.
	FreezeIndex int
	// Seconds is a duration in seconds.
	Seconds = float64
	// Unix is a moment, in seconds since 1970-01-01 00:00 UTC.
	Unix = float64
)

const (
	// NoSite is the site of a relay that has none; in queries it stands for any site.
	NoSite SiteIndex = -1
	// NoGroup is the group of a tenant that is in no group of the plan. Its requests never go to a canary.
	NoGroup GroupIndex = -1
)

// ReleasedStep is the name of the release, which follows the last step. No step may have this name.
const ReleasedStep = "released"

// MaxSteps is the largest number of steps of a service.
const MaxSteps = 250

// Plan is a plan for the rollouts of all services.
type Plan struct {
	Skew      Seconds // largest difference between the clocks of relays and controller; extends freezes at both ends
	StatusTTL Seconds // age above which the status of a dependency is too old to grant a step
	Sites     []string
	Groups    []Group
	Services  []Service
	Freezes   []Freeze
}

// Group is a group of tenants to which a canary is opened together.
type Group struct {
	Name    string
	Tenants []string
}

// Control is what promotes a service's canary from step to step.
type Control int

const (
	// ControlQuorum promotes when a given share of the service's relays votes for it.
	ControlQuorum Control = iota
	// ControlSingleVote promotes on the vote of any relay.
	ControlSingleVote
	// ControlTimed promotes by time; relays can vote to hold a step or to roll the build back.
	ControlTimed
)

// Votes are the rules by which the relays of a service vote on its steps. PromoteShare, RollBackShare and HoldShare are
// the shares of the relays, at least one relay, whose votes it takes to promote, roll back or hold the canary.
type Votes struct {
	Control       Control
	PromoteShare  float64
	RollBackShare float64
	HoldShare     float64
	TTL           Seconds // time after which a vote expires
	PerSecond     float64 // votes accepted from all relays together
	StepTime      Seconds // time after which ControlTimed promotes
}

// Service is a fleet of endpoints whose builds are released step by step.
type Service struct {
	Name         string
	WatchAddress string  // address at which the controller serves the rollout status to dependent services; optional
	RollbackTime Seconds // duration of a rollback
	SettleTime   Seconds // time between a release and the start of the next build
	Votes        Votes
	Steps        []Step
	Relays       []Relay
}

// Relay is a relay that votes. The controller listens for each relay on an address of its own and identifies it by
// that.
type Relay struct {
	Name          string
	Site          SiteIndex
	ListenAddress string
}

// Step is one step of a rollout.
type Step struct {
	Name          string
	Share         float64 // share of the fleet that runs the build
	ExposureLimit float64 // share of the requests of each open group that the build may get
	MinTime       Seconds // minimum duration of the step
	OpenGroups    []Scope // opened in this step, in addition to those of earlier steps
	Dependencies  []Dependency
}

// Scope is one group of tenants at one site.
type Scope struct {
	Site  SiteIndex
	Group GroupIndex
}

// Dependency is a condition of a step: the newest build of another service has reached a step, or is released.
type Dependency struct {
	Service  ServiceIndex
	Step     StepIndex // step of Service; not used if Released is set
	Released bool
}

// IsOpen reports whether requests of a group at a site may go to the build at a step.
func (s *Service) IsOpen(step StepIndex, site SiteIndex, group GroupIndex) bool {
	for k := StepIndex(0); k <= step && int(k) < len(s.Steps); k++ {
		for _, scope := range s.Steps[k].OpenGroups {
			if scope.Site == site && scope.Group == group {
				return true
			}
		}
	}
	return false
}

// OpenAtSite reports whether requests of any group at a site may go to the build at a step.
func (s *Service) OpenAtSite(step StepIndex, site SiteIndex) bool {
	for k := StepIndex(0); k <= step && int(k) < len(s.Steps); k++ {
		for _, scope := range s.Steps[k].OpenGroups {
			if scope.Site == site {
				return true
			}
		}
	}
	return false
}

// StepName returns the name of a step, or ReleasedStep for one past the last step.
func (s *Service) StepName(step StepIndex) string {
	switch {
	case int(step) == len(s.Steps):
		return ReleasedStep
	case step < 0 || int(step) > len(s.Steps):
		return "step " + strconv.Itoa(int(step))
	}
	return s.Steps[step].Name
}

// Service returns the index of the service with a name, and whether there is one.
func (p *Plan) Service(name string) (ServiceIndex, bool) {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return ServiceIndex(i), true
		}
	}
	return 0, false
}

// Site returns the index of the site with a name, and whether there is one.
func (p *Plan) Site(name string) (SiteIndex, bool) {
	for i, site := range p.Sites {
		if site == name {
			return SiteIndex(i), true
		}
	}
	return NoSite, false
}

// GroupOf returns the group of a tenant, or NoGroup if it is in none.
func (p *Plan) GroupOf(tenant string) GroupIndex {
	for i := range p.Groups {
		for _, member := range p.Groups[i].Tenants {
			if member == tenant {
				return GroupIndex(i)
			}
		}
	}
	return NoGroup
}

// Order returns the services so that each comes after those that it depends on. That is impossible for services whose
// steps depend on each other's; their order then follows from the plan's.
func (p *Plan) Order() []ServiceIndex {
	var order []ServiceIndex
	visited := make([]bool, len(p.Services))
	var visit func(service ServiceIndex)
	visit = func(service ServiceIndex) {
		if visited[service] {
			return
		}
		visited[service] = true
		for _, step := range p.Services[service].Steps {
			for _, dependency := range step.Dependencies {
				visit(dependency.Service)
			}
		}
		order = append(order, service)
	}
	for i := range p.Services {
		visit(ServiceIndex(i))
	}
	return order
}

// DependencyText returns a dependency as text, such as "cart at step two".
func (p *Plan) DependencyText(dependency Dependency) string {
	service := &p.Services[dependency.Service]
	if dependency.Released {
		return fmt.Sprintf("%s released", service.Name)
	}
	return fmt.Sprintf("%s at step %s", service.Name, service.StepName(dependency.Step))
}
