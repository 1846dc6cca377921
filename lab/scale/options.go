// Package scale measures what relays cost in large fleets, in virtual time and in one process. It hosts hollow relays:
// the real state machines of a relay, with its real messages, list reader and platform lines, but without sockets and
// clients. Load, units, discovery, platform and network are stand-ins. docs/scale-lab.md is the design note.
package scale

import (
	"fmt"
	"slices"
	"strings"
)

// Shape is how relays and units are spread over services.
type Shape string

const (
	// Wide is one service over all relays and units.
	Wide Shape = "wide"
	// Skewed is few large services and a long tail, by Zipf's law.
	Skewed Shape = "skewed"
)

// Fault is the name of something that goes wrong during a run.
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
	OneWay               Fault = "one-way"
	DatagramLoss         Fault = "loss"
	Duplicates           Fault = "duplicates"
	Reorder              Fault = "reorder"
	AllAggregatorsKilled Fault = "fusers"
)

// AllFaults lists the faults in the order of the documentation.
var AllFaults = []Fault{RelayKills, RelayKillsX100, Restarts, RestartsX100, RackLoss, ZoneLoss, RegionSplit, OneWay,
	DatagramLoss, Duplicates, Reorder, AllAggregatorsKilled}

// Defence is the name of a defence that a run can switch off, so that the checker has something to find.
type Safeguard string

// The defences that can be switched off.
const (
	// DrainNotices are the entries of the list that tell a relay of units that leave.
	DrainNotices Safeguard = "drain-notices"
	// ExposureLimit is the platform's bound on requests to a build on trial.
	ExposureLimit Safeguard = "exposure-cap"
	// Leases are the membership protocol: without it a relay acts on its list however old it is.
	Leases Safeguard = "membership"
)

// AllSafeguards lists the defences in the order of the documentation.
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
	Seconds   float64     `json:"seconds"`
	Seed      int64       `json:"seed"`
	Tenants   int         `json:"tenants"`
	Routes    int         `json:"routes"`
	Rate      float64     `json:"rate"` // requests a second at each relay, in the mean
	Faults    []Fault     `json:"faults"`
	Without   []Safeguard `json:"without"`
	// Measured bounds the relays of a service that are hosted whole, besides its fusers and their deputies; 0 leaves
	// the choice to the budget.
	Measured int `json:"measured"`
	// Jobs is how many threads play instances. It changes no figure but processor time and memory.
	Jobs int `json:"-"`
	// Progress is told of the virtual time, now and then; nil: nobody.
	Progress func(second float64) `json:"-"`
}

// Validate returns the first fault of the options, in one line.
func (o *Options) Validate() error {
	for _, f := range []struct {
		flag              string
		value, least, top float64
	}{
		{"relays", float64(o.Relays), 1, maxRelays},
		{"units", float64(o.Endpoints), 1, maxEndpoints},
		{"services", float64(o.Services), 1, maxServices},
		{"zones", float64(o.Zones), 1, maxZones},
		{"regions", float64(o.Regions), 1, maxRegions},
		{"seconds", o.Seconds, 1, maxSeconds},
		{"tenants", float64(o.Tenants), 0, maxTenants},
		{"routes", float64(o.Routes), 0, maxRoutes},
		{"rate", o.Rate, 0.1, maxRate},
		{"measured", float64(o.Measured), 0, maxRelays},
		{"jobs", float64(o.Jobs), 1, maxJobs},
	} {
		if !(f.value >= f.least && f.value <= f.top) {
			return fmt.Errorf("--%s: %g is not from %g to %g", f.flag, f.value, f.least, f.top)
		}
	}
	switch {
	case o.Shape != Wide && o.Shape != Skewed:
		return fmt.Errorf("--shape: %q is neither wide nor skewed", o.Shape)
	case o.Regions > o.Zones:
		return fmt.Errorf("--regions: %d of them need as many zones, not %d", o.Regions, o.Zones)
	case o.Shape == Skewed && o.Services > min(o.Relays, o.Endpoints):
		return fmt.Errorf("--services: %d of them need as many relays and units", o.Services)
	}
	for _, f := range o.Faults {
		if o.Regions < 2 && (f == RegionSplit || f == OneWay) {
			return fmt.Errorf("--fault: %s needs two regions", f)
		}
		if !slices.Contains(AllFaults, f) {
			return fmt.Errorf("--fault: %q is none of %s", f, joined(AllFaults))
		}
	}
	for _, d := range o.Without {
		if !slices.Contains(AllSafeguards, d) {
			return fmt.Errorf("--without: %q is none of %s", d, joined(AllSafeguards))
		}
	}
	return nil
}

func (o *Options) has(f Fault) bool { return slices.Contains(o.Faults, f) }

func (o *Options) lacks(d Safeguard) bool { return slices.Contains(o.Without, d) }

func joined[Name ~string](names []Name) string {
	words := make([]string, len(names))
	for i, n := range names {
		words[i] = string(n)
	}
	return strings.Join(words, ", ")
}
