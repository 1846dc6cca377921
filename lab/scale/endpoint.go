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
	slowStartTime    = 4.0   // time from an endpoint's start until it has full capacity
	slowStartFloor   = 0.4   // fraction of the full capacity at an endpoint's start
	overloadMultiple = 3.0   // multiple of the current capacity beyond which an endpoint in slow start is overloaded
	overloadWindow   = 1.0   // time over which the work is summed for the overload check
	drainTime        = 2.0   // time from the start of an endpoint's drain to the end of its process
	refusalTime      = 0.001 // time until a connection to an ended process is refused
	nearRoundTrip    = 0.001 // round trip to an endpoint in the same region
	farRoundTrip     = 0.04  // round trip to an endpoint in another region
	durationSpread   = 0.2   // maximum relative deviation of an attempt's duration, in either direction
	minFailureTime   = 0.2   // fraction of an attempt's duration before which it does not fail
)

// machineKind is a kind of machine. Work takes slowdown times as long on it as on a standard machine.
type machineKind struct {
	name     string
	slowdown float64
}

var machineKinds = []machineKind{{"standard", 1}, {"small", 1.3}}

// endpoint is one server of a service. Times are virtual, in seconds.
type endpoint struct {
	place
	name          string
	id            relay.EndpointID
	kind          int // index into machineKinds
	build         relay.Build
	state         relay.EndpointState
	startedAt     float64     // negative if it started before the simulation
	drainListedAt float64     // when discovery first listed it as draining or removed, or never
	endedAt       float64     // when its process ends or has ended, or never
	slowStartWork []timedWork // work sent within the overload window
	overloaded    bool        // whether it was ever sent too much work during slow start
}

// timedWork is an amount of work with the time at which it was sent.
type timedWork struct{ at, work float64 }

// never is later than any other time.
var never = math.Inf(1)

// endpointID derives an endpoint's ID from its name in the same way as the list reader.
func endpointID(name string) relay.EndpointID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // Write of a hash never fails
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

// slowStartFraction returns the endpoint's current capacity as a fraction of its full capacity.
func (e *endpoint) slowStartFraction(now float64) float64 {
	return math.Min(1, slowStartFloor+(1-slowStartFloor)*math.Max(now-e.startedAt, 0)/slowStartTime)
}

// addSlowStartWork adds work that a relay sent during slow start. It reports whether this overloads the endpoint for the first
// time.
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

// defect is a defect of a build. noDefect is the value for a good build.
type defect struct {
	failureRate float64 // share of the attempts that fail
	slowdown    float64 // factor by which work takes longer
}

var noDefect = defect{slowdown: 1}

// attemptResult is the outcome of an attempt and its duration in seconds.
type attemptResult struct {
	outcome  relay.Outcome
	duration float64
}

// drawResult returns a random result for an attempt that is sent from a place now. The result assumes that the endpoint keeps
// running meanwhile.
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
