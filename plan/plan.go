// Package plan describes staged releases: services and the steps of their rollouts, sites, groups of tenants, which
// step depends on which, and the freezes in which nothing may start or be promoted. It finds the faults that only show in
// a whole plan (check.go) and works out when freezes hold (calendar.go).
//
// A Plan is data that nobody changes once it was read, so that goroutines may share it; a Calendar caches and belongs to
// one goroutine. The package decides nothing about a release (package rollout does) and imports the standard library
// alone; internal/planxml reads plans from XML.
package plan

import (
	"fmt"
	"strconv"
)

type (
	// ServiceIndex is a service's place in Plan.Services.
	ServiceIndex int
	// SiteIndex is a site's place in Plan.Sites.
	SiteIndex int
	// GroupIndex is a group's place in Plan.Groups.
	GroupIndex int
	// StepIndex is a step's place in Service.Steps; one past the last step stands for "released".
	StepIndex int
	// FreezeIndex is a freeze's place in Plan.Freezes.
	FreezeIndex int
	// Seconds is a length of time.
	Seconds = float64
	// Unix is a moment, in seconds since 1970 in UTC.
	Unix = float64
)

const (
	// NoSite stands for no particular site: of a relay that has none, and in questions about any site.
	NoSite SiteIndex = -1
	// NoGroup is the group of a tenant that no group names. It meets no canary.
	NoGroup GroupIndex = -1
)

// ReleasedStep is the name of what follows the last step. No step may carry it.
const ReleasedStep = "released"

// MaxSteps is the number of steps that a service may have.
const MaxSteps = 250

// Plan is a whole plan.
type Plan struct {
	Skew      Seconds // by which the clocks of relays and controller may differ; freezes are longer by it at both ends
	StatusTTL Seconds // after which the status of a dependency is too old to open anything
	Sites     []string
	Groups    []Group
	Services  []Service
	Freezes   []Freeze
}

// Group is a group of tenants that meet a canary together.
type Group struct {
	Name    string
	Tenants []string
}

// Control says what promotes a service from step to step.
type Control int

const (
	// ControlQuorum promotes when a share of the service's relays votes for it.
	ControlQuorum Control = iota
	// ControlSingleVote promotes on the vote of any relay.
	ControlSingleVote
	// ControlTimed promotes by time; relays can hold a step or roll it back.
	ControlTimed
)

// Votes are the rules by which the relays of a service vote on its steps. PromoteShare, RollBackShare and HoldShare are the shares of its
// relays, of one relay at least, that a vote needs to take effect.
type Votes struct {
	Control       Control
	PromoteShare  float64
	RollBackShare float64
	HoldShare     float64
	TTL           Seconds // for which a vote counts
	PerSecond     float64 // votes that are accepted from all relays together
	StepTime      Seconds // after which ControlTimed promotes a step
}

// Service is one fleet of endpoints whose builds are released by steps.
type Service struct {
	Name         string
	WatchAddress string  // address at which the controller serves the rollout's status to those who depend on it
	RollbackTime Seconds // that rolling back takes
	SettleTime   Seconds // after a release before the next build starts
	Votes        Votes
	Steps        []Step
	Relays       []Relay
}

// Relay is a voter. The controller knows it by the address that it listens on for this relay alone.
type Relay struct {
	Name          string
	Site          SiteIndex
	ListenAddress string
}

// Step is one stage of a release.
type Step struct {
	Name          string
	Share         float64 // of the fleet that runs the build
	ExposureLimit float64 // share of the requests of each open group that the build may get
	MinTime       Seconds // before the step may be promoted
	OpenGroups    []Scope // that this step opens beside those of the steps before it
	Dependencies  []Dependency
}

// Scope is one group of tenants at one site.
type Scope struct {
	Site  SiteIndex
	Group GroupIndex
}

// Dependency is what a step waits for: that the newest build of another service is at a step, or released.
type Dependency struct {
	Service  ServiceIndex
	Step     StepIndex // of Service; not used where Released is set
	Released bool
}

// IsOpen says whether a group at a site may meet the build at a step.
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

// OpenAtSite says whether any group at a site may meet the build at a step.
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

// StepName gives the name of a step, or ReleasedStep for what follows the last one.
func (s *Service) StepName(step StepIndex) string {
	switch {
	case int(step) == len(s.Steps):
		return ReleasedStep
	case step < 0 || int(step) > len(s.Steps):
		return "step " + strconv.Itoa(int(step))
	}
	return s.Steps[step].Name
}

// Service finds a service by name.
func (p *Plan) Service(name string) (ServiceIndex, bool) {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return ServiceIndex(i), true
		}
	}
	return 0, false
}

// Site finds a site by name.
func (p *Plan) Site(name string) (SiteIndex, bool) {
	for i, site := range p.Sites {
		if site == name {
			return SiteIndex(i), true
		}
	}
	return NoSite, false
}

// GroupOf finds the group of a tenant; NoGroup where it is in none.
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

// Order lists the services so that each stands behind those that it depends on. Where two services have steps that wait
// for each other's, the plan's own order holds.
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

// DependencyText describes a dependency in words, such as "cart at step two".
func (p *Plan) DependencyText(dependency Dependency) string {
	service := &p.Services[dependency.Service]
	if dependency.Released {
		return fmt.Sprintf("%s released", service.Name)
	}
	return fmt.Sprintf("%s at step %s", service.Name, service.StepName(dependency.Step))
}
