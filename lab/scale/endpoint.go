package scale

import (
	"hash/fnv"
	"math"
	"math/rand"

	"lichenroad/relay"
)

// Facts of the stand-in for units.
const (
	endpointCores    = 1.0   // cores of a unit
	slowStartTime    = 4.0   // s until a started unit can do all of its work
	slowStartFloor   = 0.4   // part of it that it can do at first
	overloadMultiple = 3.0   // times what a cold unit can do at which it falls over
	overloadWindow   = 1.0   // s of that
	drainTime        = 2.0   // s from a unit's drain to the end of its process
	refusalTime      = 0.001 // s until a connection to a process that is not there is refused
	nearRoundTrip    = 0.001 // s to a unit of the same region and back
	farRoundTrip     = 0.04  // s to another region and back
	durationSpread   = 0.2   // of an attempt's time, either way
	minFailureTime   = 0.2   // part of the time that an attempt which fails takes at least
)

// machineKinds are the kinds of machine, with the time they take over a standard one's.
var machineKinds = []struct {
	name string
	pace float64
}{{"standard", 1}, {"small", 1.3}}

// unit is one server of a service.
type endpoint struct {
	place
	name          string
	id            relay.EndpointID
	kind          int
	build         relay.Build
	state         relay.EndpointState
	startedAt     float64 // s; before the run for those that have run for long
	drainListedAt float64 // when it was first to be listed as leaving; never: it stays
	endedAt       float64 // when its process ended; never: it runs
	slowStartWork []timedWork
	overloaded    bool
}

// timedWork is work that a cold unit was sent.
type timedWork struct{ at, work float64 }

var never = math.Inf(1)

// endpointID numbers a unit by its name as the list reader does.
func endpointID(name string) relay.EndpointID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return relay.EndpointID(h.Sum64())
}

func newEndpoint(name string, at place, kind int, build relay.Build, started float64) *endpoint {
	return &endpoint{place: at, name: name, id: endpointID(name), kind: kind, build: build, state: relay.Ready, startedAt: started,
		drainListedAt: never, endedAt: never}
}

func (e *endpoint) isRunning(now float64) bool { return now < e.endedAt }

// warmth is the part of its work that it can do.
func (e *endpoint) slowStartFraction(now float64) float64 {
	return math.Min(1, slowStartFloor+(1-slowStartFloor)*math.Max(now-e.startedAt, 0)/slowStartTime)
}

// defect is what is wrong with a build.
type defect struct {
	failureRate float64 // part of the attempts that fail
	slowdown    float64 // times the work
}

var noDefect = defect{slowdown: 1}

// answer draws how an attempt from a region ends, and after how long, if nothing happens to the unit meanwhile.
func (e *endpoint) drawOutcome(now float64, from place, work float64, d defect, random *rand.Rand) (relay.Outcome, float64) {
	if !e.isRunning(now) {
		return relay.ConnectFailed, refusalTime
	}
	way := nearRoundTrip
	if from.region != e.region {
		way = farRoundTrip
	}
	spread := 1 + durationSpread*(2*random.Float64()-1)
	took := way + work*machineKinds[e.kind].pace*d.slowdown*spread/e.slowStartFraction(now)
	if random.Float64() < d.failureRate {
		return relay.Errored, took * (minFailureTime + (1-minFailureTime)*random.Float64())
	}
	return relay.Succeeded, took
}
