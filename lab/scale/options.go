// Package scale measures what relays cost in large fleets, in virtual time and in one process.
//
// It hosts hollow relays: the real state machines of a relay (policy, membership) with its real messages, list reader and
// platform lines, but without sockets and clients. Requests, endpoints, discovery, platform and network are simulated. A
// simulation owns all state; a worker pool advances its relays in parallel within a tick, all else runs on the goroutine of
// Run. docs/scale-lab.md is the design note.
package scale

import (
	"fmt"
	"slices"
	"strings"
)

// Shape is how relays and endpoints are distributed over services.
type Shape string

const (
	// Wide is one service with all relays and endpoints.
	Wide Shape = "wide"
	// Skewed is few large services and a long tail, by Zipf's law.
	Skewed Shape = "skewed"
)

// Fault is the name of a kind of fault.
type Fault string

// The faults that a run can have.
const (
	RelayKills           Fault = "relay-kills"
	RelayKillsX100       Fault = "relay-kills-x100"
	Restarts             Fault = "restarts"
	RestartsX100         Fault = "restarts-x100"
	RackLoss             Fault = "rack"
	ZoneLoss             Fault = "zone"
	RegionSplit          Fault = "region-split"
	OneWayPartition      Fault = "one-way"
	DatagramLoss         Fault = "loss"
	Duplicates           Fault = "duplicates"
	Reorder              Fault = "reorder"
	AllAggregatorsKilled Fault = "fusers"
)

// AllFaults lists the faults in the order of the documentation.
var AllFaults = []Fault{RelayKills, RelayKillsX100, Restarts, RestartsX100, RackLoss, ZoneLoss, RegionSplit, OneWayPartition,
	DatagramLoss, Duplicates, Reorder, AllAggregatorsKilled}

// Safeguard is the name of a safeguard that a run can switch off, so that the checker has something to find.
type Safeguard string

// The safeguards that can be switched off.
const (
	// DrainNotices are the list entries of endpoints that leave.
	DrainNotices Safeguard = "drain-notices"
	// ExposureLimit is the platform's limit on requests to the canary.
	ExposureLimit Safeguard = "exposure-cap"
	// Leases are the membership protocol: without it a relay acts on its list however old it is.
	Leases Safeguard = "membership"
)

// AllSafeguards lists the safeguards in the order of the documentation.
var AllSafeguards = []Safeguard{DrainNotices, ExposureLimit, Leases}

// Bounds of the options.
const (
	maxRelays    = 20_000
	maxEndpoints = 200_000
	maxServices  = 20_000
	maxZones     = 256
	maxRegions   = 64
	maxSeconds   = 3_600
	maxTenants   = 1_000_000
	maxRoutes    = 1_000_000
	maxRate      = 1_000
	maxJobs      = 256
)

// Options are the size and the terms of a run.
type Options struct {
	Relays    int         `json:"relays"`
	Endpoints int         `json:"units"`
	Services  int         `json:"services"`
	Zones     int         `json:"zones"`
	Regions   int         `json:"regions"`
	Shape     Shape       `json:"shape"`
	Seconds   float64     `json:"seconds"` // of virtual time
	Seed      int64       `json:"seed"`
	Tenants   int         `json:"tenants"`
	Routes    int         `json:"routes"`
	Rate      float64     `json:"rate"` // requests a second at each relay, in the mean
	Faults    []Fault     `json:"faults"`
	Without   []Safeguard `json:"without"`
	// SampledPerService bounds the relays of a service that are hosted besides its first ones; 0: by the budget.
	SampledPerService int `json:"measured"`
	// Jobs is how many threads advance relays. It changes no figure but processor time and memory.
	Jobs int `json:"-"`
	// Progress is called with the virtual time now and then; nil: never.
	Progress func(second float64) `json:"-"`
}

// Validate returns an error that names the first flag whose value is not valid, in one line.
func (o *Options) Validate() error {
	if err := o.validateRanges(); err != nil {
		return err
	}
	if err := o.validateShape(); err != nil {
		return err
	}
	return o.validateNames()
}

// optionRange is the values that a numeric flag may have.
type optionRange struct {
	flag            string
	value, min, max float64
}

func (o *Options) validateRanges() error {
	for _, r := range []optionRange{
		{"relays", float64(o.Relays), 1, maxRelays},
		{"units", float64(o.Endpoints), 1, maxEndpoints},
		{"services", float64(o.Services), 1, maxServices},
		{"zones", float64(o.Zones), 1, maxZones},
		{"regions", float64(o.Regions), 1, maxRegions},
		{"seconds", o.Seconds, 1, maxSeconds},
		{"tenants", float64(o.Tenants), 0, maxTenants},
		{"routes", float64(o.Routes), 0, maxRoutes},
		{"rate", o.Rate, 0.1, maxRate},
		{"measured", float64(o.SampledPerService), 0, maxRelays},
		{"jobs", float64(o.Jobs), 1, maxJobs},
	} {
		inRange := r.value >= r.min && r.value <= r.max // false for NaN
		if !inRange {
			return fmt.Errorf("--%s: %g is not from %g to %g", r.flag, r.value, r.min, r.max)
		}
	}
	return nil
}

// validateShape checks the shape and the numbers that depend on one another.
func (o *Options) validateShape() error {
	switch {
	case o.Shape != Wide && o.Shape != Skewed:
		return fmt.Errorf("--shape: %q is neither wide nor skewed", o.Shape)
	case o.Regions > o.Zones:
		return fmt.Errorf("--regions: %d of them need as many zones, not %d", o.Regions, o.Zones)
	case o.Shape == Skewed && o.Services > min(o.Relays, o.Endpoints):
		return fmt.Errorf("--services: %d of them need as many relays and units", o.Services)
	}
	return nil
}

// validateNames checks the faults and the safeguards.
func (o *Options) validateNames() error {
	for _, fault := range o.Faults {
		needsRegions := fault == RegionSplit || fault == OneWayPartition
		if needsRegions && o.Regions < 2 {
			return fmt.Errorf("--fault: %s needs two regions", fault)
		}
		if !slices.Contains(AllFaults, fault) {
			return fmt.Errorf("--fault: %q is none of %s", fault, joinNames(AllFaults))
		}
	}
	for _, safeguard := range o.Without {
		if !slices.Contains(AllSafeguards, safeguard) {
			return fmt.Errorf("--without: %q is none of %s", safeguard, joinNames(AllSafeguards))
		}
	}
	return nil
}

// has reports whether the run has a fault.
func (o *Options) has(fault Fault) bool { return slices.Contains(o.Faults, fault) }

// lacks reports whether a safeguard is switched off.
func (o *Options) lacks(safeguard Safeguard) bool { return slices.Contains(o.Without, safeguard) }

func joinNames[Name ~string](names []Name) string {
	words := make([]string, len(names))
	for i, name := range names {
		words[i] = string(name)
	}
	return strings.Join(words, ", ")
}
