package scale

import (
	"hash/fnv"
	"math"
	"math/rand"

	"lichenroad/relay"
)

// Facts of the stand-in for units.
const (
	unitCores     = 1.0   // cores of a unit
	warmUp        = 4.0   // s until a started unit can do all of its work
	coldFrom      = 0.4   // part of it that it can do at first
	fallMultiple  = 3.0   // times what a cold unit can do at which it falls over
	fallTime      = 1.0   // s of that
	drainFor      = 2.0   // s from a unit's drain to the end of its process
	refusedAfter  = 0.001 // s until a connection to a process that is not there is refused
	nearRoundTrip = 0.001 // s to a unit of the same region and back
	farRoundTrip  = 0.04  // s to another region and back
	paceSpread    = 0.2   // of an attempt's time, either way
	leastFailTime = 0.2   // part of the time that an attempt which fails takes at least
)

// machineKinds are the kinds of machine, with the time they take over a standard one's.
var machineKinds = []struct {
	name string
	pace float64
}{{"standard", 1}, {"small", 1.3}}

// unit is one server of a service.
type unit struct {
	place
	name    string
	id      relay.EndpointID
	kind    int
	build   relay.Build
	state   relay.EndpointState
	started float64 // s; before the run for those that have run for long
	leaving float64 // when it was first to be listed as leaving; never: it stays
	ended   float64 // when its process ended; never: it runs
	work    []coldWork
	fell    bool
}

// coldWork is work that a cold unit was sent.
type coldWork struct{ at, work float64 }

var never = math.Inf(1)

// unitID numbers a unit by its name as the list reader does.
func unitID(name string) relay.EndpointID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return relay.EndpointID(h.Sum64())
}

func newUnit(name string, at place, kind int, build relay.Build, started float64) *unit {
	return &unit{place: at, name: name, id: unitID(name), kind: kind, build: build, state: relay.Ready, started: started,
		leaving: never, ended: never}
}

func (u *unit) runs(now float64) bool { return now < u.ended }

// warmth is the part of its work that it can do.
func (u *unit) warmth(now float64) float64 {
	return math.Min(1, coldFrom+(1-coldFrom)*math.Max(now-u.started, 0)/warmUp)
}

// defect is what is wrong with a build.
type defect struct {
	fails  float64 // part of the attempts that fail
	slower float64 // times the work
}

var sound = defect{slower: 1}

// answer draws how an attempt from a region ends, and after how long, if nothing happens to the unit meanwhile.
func (u *unit) answer(now float64, from place, work float64, d defect, random *rand.Rand) (relay.Outcome, float64) {
	if !u.runs(now) {
		return relay.ConnectFailed, refusedAfter
	}
	way := nearRoundTrip
	if from.region != u.region {
		way = farRoundTrip
	}
	spread := 1 + paceSpread*(2*random.Float64()-1)
	took := way + work*machineKinds[u.kind].pace*d.slower*spread/u.warmth(now)
	if random.Float64() < d.fails {
		return relay.Errored, took * (leastFailTime + (1-leastFailTime)*random.Float64())
	}
	return relay.Succeeded, took
}
