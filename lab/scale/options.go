// Package scale measures the resource use of relays in large fleets, in virtual time and in one process.
//
// It hosts hollow relays. A hollow relay runs the real state machines of a relay (policy, membership) and uses the real
// peer messages, endpoint list reader and platform protocol, but has no sockets and no clients. Requests, endpoints,
// discovery, the platform and the network are simulated. One simulation owns all state. Within a tick a worker pool
// advances the relays in parallel; everything else runs on the goroutine that called Run. docs/scale-lab.md describes the
// design.
package scale

import (
	"fmt"
	"slices"
	"strings"
)

// Shape is the distribution of relays and endpoints over services.
type Shape string

const (
	// Wide puts all relays and endpoints into one service.
	Wide Shape = "wide"
	// Skewed has a few large services and a long tail of small ones, sized by Zipf's law.
	Skewed Shape = "skewed"
)

// Fault names a kind of fault that is injected into a run.
type Fault string

// The kinds of faults.
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

// AllFaults lists the faults in the order in which the documentation describes them.
var AllFaults = []Fault{RelayKills, RelayKillsX100, Restarts, RestartsX100, RackLoss, ZoneLoss, RegionSplit, OneWayPartition,
	DatagramLoss, Duplicates, Reorder, AllAggregatorsKilled}

// Safeguard names a protection that a run can switch off, to show that the checker detects the resulting violations.
type Safeguard string

// The safeguards that can be switched off.
const (
	// DrainNotices are the list entries that mark endpoints as draining or removed.
	DrainNotices Safeguard = "drain-notices"
	// ExposureLimit is the platform's limit on the share of requests that are sent to the canary.
	ExposureLimit Safeguard = "exposure-cap"
	// Leases are the membership protocol. Without it a relay uses its endpoint list regardless of the list's age.
	Leases Safeguard = "membership"
)

// AllSafeguards lists the safeguards in the order in which the documentation describes them.
var AllSafeguards = []Safeguard{DrainNotices, ExposureLimit, Leases}

// Upper bounds of the options.
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

// Options are the size and the conditions of a run.
type Options struct {
	Relays    int         `json:"relays"`
	Endpoints int         `json:"units"`
	Services  int         `json:"services"`
	Zones     int         `json:"zones"`
	Regions   int         `json:"regions"`
	Shape     Shape       `json:"shape"`
	Seconds   float64     `json:"seconds"` // virtual time
	Seed      int64       `json:"seed"`
	Tenants   int         `json:"tenants"`
	Routes    int         `json:"routes"`
	Rate      float64     `json:"rate"` // mean requests per second at each relay
	Faults    []Fault     `json:"faults"`
	Without   []Safeguard `json:"without"`
	// SampledPerService is how many relays of each service are hosted in addition to its first alwaysHosted ones, at most.
	// With 0 the number follows from the budget for processor time and memory.
	SampledPerService int `json:"measured"`
	// Jobs is the number of threads that advance relays. Apart from processor time and memory, no figure depends on it.
	Jobs int `json:"-"`
	// Progress, if not nil, is called every progressTicks ticks with the virtual time.
	Progress func(second float64) `json:"-"`
}

// Validate returns a one-line error that names the first flag with an invalid value, or nil.
func (o *Options) Validate() error {
	if err := o.validateRanges(); err != nil {
		return err
	}
	if err := o.validateShape(); err != nil {
		return err
	}
	return o.validateNames()
}

// optionRange is the valid range of a numeric flag.
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

// validateShape checks the shape and the numbers whose bounds depend on other options.
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

// validateNames checks the names of the faults and of the safeguards.
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

// injects reports whether the fault is injected into the run.
func (o *Options) injects(fault Fault) bool { return slices.Contains(o.Faults, fault) }

// disables reports whether the safeguard is switched off.
func (o *Options) disables(safeguard Safeguard) bool { return slices.Contains(o.Without, safeguard) }

func joinNames[Name ~string](names []Name) string {
	words := make([]string, len(names))
	for i, name := range names {
		words[i] = string(name)
	}
	return strings.Join(words, ", ")
}
