package lab

import (
	"math"
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Facts of the simulated endpoints. Times are in seconds.
const (
	CoresPerEndpoint = 3   // requests that an endpoint works on at a time
	MaxQueue         = 60  // requests that wait at an endpoint before it rejects more
	slowStartTime    = 4.0 // until a started endpoint has its full capacity
	slowStartFloor   = 0.4 // fraction of its capacity at first
	overloadMultiple = 3.0 // times its capacity at which an endpoint in slow start is overloaded for good
	overloadWindow   = 1.0 // over which that is measured
	drainTime        = 2.0 // from an endpoint's drain to its end
	startTime        = 1.5 // that an endpoint takes to start
	acceptsDraining  = 1.0 // for which a draining endpoint takes requests of a relay that knows of the drain
)

// endpoint is one server of a fleet.
type endpoint struct {
	fleet       *fleet
	id          relay.EndpointID
	site        plan.SiteIndex
	build       relay.Build
	speed       float64 // of its cores
	state       relay.EndpointState
	startedAt   float64
	inSlowStart bool // it was started within the run
	listed      bool
	pausedUntil float64
	overloaded  bool // it answers nothing any more
	fault       activeFault
	random      *rand.Rand
	running     int        // attempts that it works on
	waiting     []*attempt // in its queue
	recentLoad  []load     // for the checker: attempts sent to it in slow start
}

// load is an attempt's work, by when it was sent.
type load struct{ at, work float64 }

// slowStartFraction is the fraction of its capacity that an endpoint has.
func (e *endpoint) slowStartFraction() float64 {
	if !e.inSlowStart {
		return 1
	}
	return math.Min(1, slowStartFloor+(1-slowStartFloor)*(e.fleet.simulation.now-e.startedAt)/slowStartTime)
}

// receive takes an attempt into the queue, or ends it.
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

// startWaiting starts work on attempts that wait while cores are free.
func (e *endpoint) startWaiting() {
	if e.pausedUntil > e.fleet.simulation.now || e.overloaded {
		return
	}
	for e.running < CoresPerEndpoint && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !next.ended { // it may have been given up while it waited
			e.work(next)
		}
	}
}

// work works on an attempt, by the faults of the build, of the endpoint and of a trace.
func (e *endpoint) work(on *attempt) {
	s, request := e.fleet.simulation, on.request
	e.running++
	duration := request.work / e.speed / e.slowStartFraction()
	fails := false
	if build := e.fleet.builds[e.build]; s.now-e.startedAt >= build.fromAge {
		duration *= build.slowdown
		fails = build.concerns(int(request.Class)) && e.random.Float64() < build.failureRate
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

// finish answers an attempt.
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

// pause lets the endpoint start no work for a while.
func (e *endpoint) pause(duration float64) {
	e.pausedUntil = e.fleet.simulation.now + duration
	e.fleet.simulation.runAfter(duration, e.startWaiting)
}

// die ends the endpoint with all that waits there. Relays learn of it with the list's lag; another one starts.
func (e *endpoint) die() {
	e.state = relay.Removed
	e.fleet.announce(e)
	for _, lost := range e.waiting {
		e.fleet.simulation.runAfter(lost.delay, func() { lost.end(relay.ConnectionBroken) })
	}
	e.waiting = nil
	e.fleet.launch(e.build, e.site, startTime)
	e.fleet.simulation.runAfter(forgetDelay, e.fleet.forgetRemoved)
}

// listEntry is the endpoint as a list has it.
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
