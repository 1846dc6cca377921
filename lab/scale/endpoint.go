package scale

import (
	"hash/fnv"
	"math"
	"math/rand"

	"lichenroad/relay"
)

// Properties of simulated endpoints. Durations are in seconds.
const (
	endpointCores    = 1.0
	slowStartTime    = 4.0   // from an endpoint's start until it has its full capacity
	slowStartFloor   = 0.4   // fraction of its capacity at its start
	overloadMultiple = 3.0   // of the capacity during slow start, beyond which an endpoint is overloaded
	overloadWindow   = 1.0   // in which that work is summed
	drainTime        = 2.0   // from an endpoint's drain to the end of its process
	refusalTime      = 0.001 // until a connection to a process that does not run is refused
	nearRoundTrip    = 0.001 // to an endpoint of the same region
	farRoundTrip     = 0.04  // to another region
	durationSpread   = 0.2   // of an attempt's duration, either way
	minFailureTime   = 0.2   // fraction of its duration after which an attempt fails at the earliest
)

// machineKind is a kind of machine, with the time that work takes on it relative to a standard one.
type machineKind struct {
	name     string
	slowdown float64
}

var machineKinds = []machineKind{{"standard", 1}, {"small", 1.3}}

// endpoint is one server of a service. Times are virtual.
type endpoint struct {
	place
	name          string
	id            relay.EndpointID
	kind          int // index of machineKinds
	build         relay.Build
	state         relay.EndpointState
	startedAt     float64     // negative if it ran before the simulation
	drainListedAt float64     // when it was first listed as leaving; never: it stays
	endedAt       float64     // when its process ended; never: it runs
	slowStartWork []timedWork // sent within the overload window
	overloaded    bool        // it was sent too much work during slow start
}

// timedWork is work that was sent at a time.
type timedWork struct{ at, work float64 }

// never is a time that does not come.
var never = math.Inf(1)

// endpointID derives an endpoint's id from its name as the list reader does.
func endpointID(name string) relay.EndpointID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // a hash's Write never fails
	return relay.EndpointID(hash.Sum64())
}

func newEndpoint(name string, at place, kind int, build relay.Build, startedAt float64) *endpoint {
	return &endpoint{
		place:         at,
		name:          name,
		id:            endpointID(name),
		kind:          kind,
		build:         build,
		state:         relay.Ready,
		startedAt:     startedAt,
		drainListedAt: never,
		endedAt:       never,
	}
}

func (e *endpoint) isRunning(now float64) bool { return now < e.endedAt }

// slowStartFraction returns the fraction of its capacity that the endpoint has.
func (e *endpoint) slowStartFraction(now float64) float64 {
	return math.Min(1, slowStartFloor+(1-slowStartFloor)*math.Max(now-e.startedAt, 0)/slowStartTime)
}

// addSlowStartWork adds work sent during slow start, by any relay, and reports whether the endpoint is overloaded by it for
// the first time.
func (e *endpoint) addSlowStartWork(now, work float64) bool {
	recent := e.slowStartWork[:0]
	sum := work
	for _, earlier := range e.slowStartWork {
		if earlier.at > now-overloadWindow {
			recent = append(recent, earlier)
			sum += earlier.work
		}
	}
	e.slowStartWork = append(recent, timedWork{now, work})
	overloaded := sum > overloadMultiple*endpointCores*e.slowStartFraction(now)*overloadWindow
	if !overloaded || e.overloaded {
		return false
	}
	e.overloaded = true
	return true
}

// defect is what is wrong with a build.
type defect struct {
	failureRate float64 // fraction of the attempts that fail
	slowdown    float64 // factor on the work
}

var noDefect = defect{slowdown: 1}

// attemptResult is how and after how many seconds an attempt ends.
type attemptResult struct {
	outcome  relay.Outcome
	duration float64
}

// drawResult draws the result of an attempt from a place, if nothing happens to the endpoint meanwhile.
func (e *endpoint) drawResult(now float64, from place, work float64, d defect, random *rand.Rand) attemptResult {
	if !e.isRunning(now) {
		return attemptResult{relay.ConnectFailed, refusalTime}
	}
	roundTrip := nearRoundTrip
	if from.region != e.region {
		roundTrip = farRoundTrip
	}
	spread := 1 + durationSpread*(2*random.Float64()-1)
	duration := roundTrip + work*machineKinds[e.kind].slowdown*d.slowdown*spread/e.slowStartFraction(now)
	if random.Float64() < d.failureRate {
		return attemptResult{relay.Errored, duration * (minFailureTime + (1-minFailureTime)*random.Float64())}
	}
	return attemptResult{relay.Succeeded, duration}
}
