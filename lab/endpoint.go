package lab

import (
	"math"
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Parameters of the simulated endpoints. Times are in seconds.
const (
	CoresPerEndpoint = 3   // attempts that an endpoint processes at a time
	MaxQueue         = 60  // attempts that wait at an endpoint before it rejects further ones
	slowStartTime    = 4.0 // time until a newly started endpoint has its full capacity
	slowStartFloor   = 0.4 // fraction of its capacity at the start
	overloadMultiple = 3.0 // load, in multiples of its capacity, above which an endpoint in slow start stops answering for good
	overloadWindow   = 1.0 // sliding window of that load
	drainTime        = 2.0 // from an endpoint's drain to its removal
	startTime        = 1.5 // from an endpoint's launch until it is ready
	acceptsDraining  = 1.0 // how long a draining endpoint still accepts attempts of a relay that was notified of the drain
)

// endpoint is one simulated server of a fleet.
type endpoint struct {
	fleet       *fleet
	id          relay.EndpointID
	site        plan.SiteIndex
	build       relay.Build
	speed       float64 // speed of its cores, relative to the reference of 1
	state       relay.EndpointState
	startedAt   float64
	inSlowStart bool // started during the run, so it has a slow start
	listed      bool // the discovery service lists it
	pausedUntil float64
	overloaded  bool // no longer answers
	fault       activeFault
	random      *rand.Rand
	running     int        // number of attempts being processed
	waiting     []*attempt // queue
	recentLoad  []load     // for the checker: attempts sent to it in slow start
}

// load is the work of an attempt and the time at which it was sent.
type load struct{ at, work float64 }

// slowStartFraction returns the fraction of its full capacity that an endpoint has now.
func (e *endpoint) slowStartFraction() float64 {
	if !e.inSlowStart {
		return 1
	}
	return math.Min(1, slowStartFloor+(1-slowStartFloor)*(e.fleet.simulation.now-e.startedAt)/slowStartTime)
}

// receive queues an attempt, or refuses it. An overloaded endpoint does neither, so the attempt times out.
func (e *endpoint) receive(received *attempt) {
	s := e.fleet.simulation
	switch {
	case e.state == relay.Removed:
		s.runAfter(received.delay, func() { received.end(relay.ConnectFailed) })
	case e.overloaded:
	case len(e.waiting) >= MaxQueue || e.rejectsAsDraining(received.request.relay):
		s.runAfter(received.delay, func() { received.end(relay.RejectedByEndpoint) })
	default:
		s.checker.attemptRan(received)
		e.waiting = append(e.waiting, received)
		e.startWaiting()
	}
}

func (e *endpoint) rejectsAsDraining(sender *simulatedRelay) bool {
	return e.state == relay.Draining && e.fleet.simulation.now > sender.leavingSince[e.id]+acceptsDraining
}

// startWaiting starts processing queued attempts while cores are free.
func (e *endpoint) startWaiting() {
	if e.pausedUntil > e.fleet.simulation.now || e.overloaded {
		return
	}
	for e.running < CoresPerEndpoint && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !next.ended { // it may have timed out or been cancelled in the queue
			e.process(next)
		}
	}
}

// process processes an attempt: the faults of the build, of the endpoint and of a trace decide how long it takes and
// whether it fails.
func (e *endpoint) process(on *attempt) {
	s, request := e.fleet.simulation, on.request
	e.running++
	duration := request.work / e.speed / e.slowStartFraction()
	fails := false
	if build := e.fleet.builds[e.build]; s.now-e.startedAt >= build.fromAge {
		duration *= build.slowdown
		fails = build.affects(int(request.Class)) && e.random.Float64() < build.failureRate
	}
	if e.fault.until > s.now {
		duration *= math.Max(e.fault.slowdown, 1)
		fails = fails || e.random.Float64() < e.fault.failureRate
	}
	if request.failuresLeft > 0 {
		request.failuresLeft--
		fails = true
	}
	s.runAfter(duration, func() { e.finish(on, fails) })
}

// finish answers a processed attempt. After a removal, its connection is broken instead.
func (e *endpoint) finish(done *attempt, failed bool) {
	e.running--
	outcome := relay.Succeeded
	if failed {
		outcome = relay.Errored
	}
	if e.state == relay.Removed {
		outcome = relay.ConnectionBroken
	}
	e.fleet.simulation.runAfter(done.delay, func() { done.end(outcome) })
	e.startWaiting()
}

// pause keeps the endpoint from starting any attempt for a duration.
func (e *endpoint) pause(duration float64) {
	e.pausedUntil = e.fleet.simulation.now + duration
	e.fleet.simulation.runAfter(duration, e.startWaiting)
}

// crash crashes the endpoint, which breaks all its attempts, and launches another one. The endpoint list notifies relays of
// the crash with its usual lag.
func (e *endpoint) crash() {
	e.state = relay.Removed
	e.fleet.announce(e)
	for _, lost := range e.waiting {
		e.fleet.simulation.runAfter(lost.delay, func() { lost.end(relay.ConnectionBroken) })
	}
	e.waiting = nil
	e.fleet.launch(e.build, e.site, startTime)
	e.fleet.simulation.runAfter(dropEndpointDelay, e.fleet.dropRemoved)
}

// listEntry returns the endpoint's entry in the endpoint list.
func (e *endpoint) listEntry() relay.Endpoint {
	return relay.Endpoint{
		ID:         e.id,
		Zone:       relay.Zone(e.site),
		Build:      e.build,
		Weight:     1,
		State:      e.state,
		StartKnown: e.inSlowStart,
		StartedAt:  e.startedAt,
	}
}
