// Package plan holds what operators write down about releases: services and their steps, sites, groups of
// customers, what depends on what, and freezes. It reads the XML form (read.go), finds its faults (check.go) and
// works out freezes (calendar.go). It decides nothing about a release; package rollout does, and the decision
// module behind it.
package plan

import "strconv"

// Ids, each a type of its own: places in the plan's lists.
type (
	ServiceIndex int
	SiteIndex    int
	GroupIndex   int
	StepIndex    int
	FreezeIndex  int
	Seconds      = float64
	Unix         = float64 // seconds since 1970, UTC
)

const (
	NoSite  SiteIndex  = -1
	NoGroup GroupIndex = -1 // a customer of no group meets no build on trial
)

// Plan is a whole plan, checked.
type Plan struct {
	Skew      Seconds // that clocks of relays and desk may differ by; freezes are longer by it at both ends
	StatusTTL Seconds // after which news of a dependency is too old to open anything
	Sites     []string
	Groups    []Group
	Services  []Service
	Freezes   []Freeze
}

// Group is a group of customers.
type Group struct {
	Name    string
	Tenants []string
}

// Control says what moves a service's steps.
type Control int

const (
	ControlQuorum     Control = iota // a share of its relays that stand for it
	ControlSingleVote                // any relay
	ControlTimed                     // time; relays hold it or send it back
)

// Votes are a service's terms of voting.
type Votes struct {
	Control   Control
	Promote   float64 // share of its relays, one at least
	RollBack  float64
	Hold      float64
	TTL       Seconds
	PerSecond float64 // that are taken from all relays together
	StepTime  Seconds // after which the clock moves a step
}

// Service is one fleet whose builds are released by steps.
type Service struct {
	Name         string
	Watch        string  // address at which the desk tells of it to whoever depends on it
	RollbackTime Seconds // that the way back takes
	SettleTime   Seconds // after a release before the next build begins
	Votes        Votes
	Steps        []Step
	Relays       []Relay
}

// Relay is a voter, known to the desk by the address that is kept for it.
type Relay struct {
	Name   string
	Site   SiteIndex
	Listen string
}

// Step is one stage of a release.
type Step struct {
	Name          string
	Share         float64 // of the fleet that runs the build
	ExposureLimit float64 // of the queries of each group that is open
	MinTime       Seconds
	OpenGroups    []Scope
	Dependencies  []Dependency
}

// Scope is one group of customers at one site.
type Scope struct {
	Site  SiteIndex
	Group GroupIndex
}

// Need is what a step waits for: another service's newest build at a step, or released.
type Dependency struct {
	Service  ServiceIndex
	Step     StepIndex
	Released bool
}

// Stops says what a freeze stops. Going back is never stopped.
type FreezeEffect int

const (
	FreezeStarts     FreezeEffect = 1 << iota // the first step of a build
	FreezePromotions                          // each further step, and the release
	FreezeAll        = FreezeStarts | FreezePromotions
)

// Freeze is a time in which nothing moves on.
type Freeze struct {
	Name      string
	Effect    FreezeEffect
	Services  []ServiceIndex // none: all
	Sites     []SiteIndex    // none: all
	Schedules []Schedule
}

// Holds says whether the freeze is about a service, at a site. NoSite asks about any site.
func (f *Freeze) AppliesTo(s ServiceIndex, at SiteIndex) bool {
	return has(f.Services, s) && (at == NoSite || has(f.Sites, at))
}

func has[T comparable](list []T, x T) bool {
	for _, y := range list {
		if y == x {
			return true
		}
	}
	return len(list) == 0
}

// Open says whether a group at a site is open at a step.
func (s *Service) Open(step StepIndex, site SiteIndex, group GroupIndex) bool {
	for k := StepIndex(0); k <= step && int(k) < len(s.Steps); k++ {
		for _, o := range s.Steps[k].OpenGroups {
			if o.Site == site && o.Group == group {
				return true
			}
		}
	}
	return false
}

// Touches says whether anything at a site is open at a step.
func (s *Service) OpenAtSite(step StepIndex, site SiteIndex) bool {
	for k := StepIndex(0); k <= step && int(k) < len(s.Steps); k++ {
		for _, o := range s.Steps[k].OpenGroups {
			if o.Site == site {
				return true
			}
		}
	}
	return false
}

// StepName names a step, and what lies past the last one.
func (s *Service) StepName(k StepIndex) string {
	switch {
	case int(k) == len(s.Steps):
		return "released"
	case k < 0 || int(k) > len(s.Steps):
		return "step " + strconv.Itoa(int(k))
	}
	return s.Steps[k].Name
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
	for i, s := range p.Sites {
		if s == name {
			return SiteIndex(i), true
		}
	}
	return NoSite, false
}

// GroupOf finds the group of a customer.
func (p *Plan) GroupOf(customer string) GroupIndex {
	for i := range p.Groups {
		for _, c := range p.Groups[i].Tenants {
			if c == customer {
				return GroupIndex(i)
			}
		}
	}
	return NoGroup
}

// Order lists the services so that each stands behind those that it needs, as far as that goes; where two need
// steps of each other the plan's own order holds.
func (p *Plan) Order() []ServiceIndex {
	var out []ServiceIndex
	state := make([]int, len(p.Services))
	var visit func(s ServiceIndex)
	visit = func(s ServiceIndex) {
		if state[s] != 0 {
			return
		}
		state[s] = 1
		for _, st := range p.Services[s].Steps {
			for _, n := range st.Dependencies {
				visit(n.Service)
			}
		}
		out = append(out, s)
	}
	for i := range p.Services {
		visit(ServiceIndex(i))
	}
	return out
}
