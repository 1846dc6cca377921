package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/rollout"
)

// Times of the traffic windows, in seconds.
const (
	leadTime              = 6.0    // traffic starts this long before a required time
	minWindow             = 14.0   // shortest traffic window
	maxIdleWindow         = 100.0  // a window ends after this time without a controller step, even during a release
	releaseSampleInterval = 3600.0 // longest gap between windows during a release
	sampleInterval        = 7200.0 // longest gap between windows
	endCheckPeriod        = 1.0    // time between checks whether a window is over
	minWindowDelay        = 0.5    // shortest gap before a window
	idleDelay             = 5.0    // from the end of a window until relays are idle; their last requests have ended by then
	freezeLookahead       = 30.0   // a release counts as under way if the freeze that blocks it ends within this time
)

// trafficWindow decides when there is traffic. Simulating a week of traffic without a break would take hours, so there is
// traffic only around releases, freezes and faults, and in short samples every two hours. Between these windows no requests
// arrive, relays are idle, and the simulation jumps to the next event.
type trafficWindow struct {
	simulation    *simulation
	from          float64   // start of the current or the next window
	until         float64   // earliest end of that window
	requiredTimes []float64 // times at which there must be traffic, in ascending order
	startedAt     float64   // start of the current or the last window
	lastStepAt    float64   // the last step of the controller
}

// nextStart returns the start of the next window, which is always in the future.
func (t *trafficWindow) nextStart() float64 { return math.Max(t.from, t.simulation.now+1e-3) }

// releaseUnderWay reports whether any service's release can proceed now, by votes or time, or after a freeze that ends soon.
func (t *trafficWindow) releaseUnderWay() bool {
	now := t.simulation.unixNow()
	for i := range t.simulation.fleets {
		reason := t.simulation.controller.core.BlockReason(plan.ServiceIndex(i), now)
		switch reason.Code {
		case rollout.Unblocked, rollout.BlockedByMissingVotes, rollout.BlockedByHoldVotes, rollout.BlockedByRollback,
			rollout.BlockedByMinTime, rollout.BlockedBySettleTime:
			return true
		case rollout.BlockedByPlanFreeze, rollout.BlockedByOperatorFreeze:
			if reason.Until > 0 && reason.Until-now < freezeLookahead {
				return true
			}
		}
	}
	return false
}

// scheduleNext sets the time of the next window.
func (t *trafficWindow) scheduleNext() {
	next := t.simulation.now + sampleInterval
	for _, required := range t.requiredTimes {
		if required > t.simulation.now {
			next = math.Min(next, required-leadTime)
			break
		}
	}
	if t.releaseUnderWay() {
		next = math.Min(next, t.simulation.now+releaseSampleInterval)
	}
	t.from = math.Max(next, t.simulation.now+minWindowDelay)
	t.until = t.from + minWindow
}

// bringForward records a step of the controller. If there is no traffic, the next window is brought forward.
func (t *trafficWindow) bringForward() {
	t.lastStepAt = t.simulation.now
	if !t.simulation.hasTraffic && t.from > t.simulation.now+1 {
		t.from = t.simulation.now + minWindowDelay
		t.until = t.from + minWindow
		t.simulation.runAt(t.from, t.start)
	}
}

// start starts the window, unless there is traffic already or the window has been scheduled for later.
func (t *trafficWindow) start() {
	s := t.simulation
	if s.hasTraffic || s.now < t.from-1e-6 {
		return
	}
	s.hasTraffic, t.startedAt = true, s.now
	s.record("traffic begins")
	parked := s.parkedRelays
	s.parkedRelays = nil
	for _, resumed := range parked {
		if resumed.alive {
			resumed.repeatKeepAlives()
			resumed.evaluateGuard()
		}
	}
	s.controller.advance()
	s.controller.publishAll()
	for _, fleet := range s.fleets {
		fleet.startTraffic()
	}
	t.watchForEnd()
	t.repeatStatuses()
}

func (t *trafficWindow) repeatStatuses() {
	t.simulation.runAfter(statusRepeatInterval, func() {
		if t.simulation.hasTraffic {
			t.simulation.controller.publishAll()
			t.repeatStatuses()
		}
	})
}

// watchForEnd ends the window once mustContinue returns false.
func (t *trafficWindow) watchForEnd() {
	t.simulation.runAfter(endCheckPeriod, func() {
		if t.mustContinue() {
			t.watchForEnd()
			return
		}
		t.end()
	})
}

// mustContinue reports whether the window has not reached its earliest end, a required time is near, or a release is under
// way in which the controller has taken a step recently.
func (t *trafficWindow) mustContinue() bool {
	now := t.simulation.now
	if now < t.until {
		return true
	}
	for _, required := range t.requiredTimes {
		if required > now-3 && required < now+leadTime+2 {
			return true
		}
	}
	return t.releaseUnderWay() && now-math.Max(t.startedAt, t.lastStepAt) < maxIdleWindow
}

func (t *trafficWindow) end() {
	s := t.simulation
	s.hasTraffic, s.idleFrom = false, s.now+idleDelay
	s.counters.trafficTime += s.now - t.startedAt
	s.record("traffic ends")
	t.scheduleNext()
	s.runAt(t.from, t.start)
}

// startTraffic lets requests arrive at the fleet's relays while there is traffic, and injects pauses of its endpoints.
func (f *fleet) startTraffic() {
	rate := requestsPerEndpoint * float64(f.size)
	if factor := f.simulation.options.LoadFactor; factor != 0 {
		rate *= max(factor, 0)
	}
	f.repeatWithTraffic(rate, f.arriveAnywhere)
	if pauses := f.simulation.options.Faults.EndpointPauses; pauses > 0 {
		f.repeatWithTraffic(pauses*float64(f.size)/10+1e-9, f.pauseAny)
	}
}

// repeatWithTraffic calls a function at the times of a Poisson process while there is traffic; rate is in calls per second.
func (f *fleet) repeatWithTraffic(rate float64, run func()) {
	f.simulation.runAfter(f.random.ExpFloat64()/rate, func() {
		if !f.simulation.hasTraffic {
			return
		}
		run()
		f.repeatWithTraffic(rate, run)
	})
}

// arriveAnywhere starts a request at a relay drawn by the relays' weights. If that relay is not running, the request is
// lost.
func (f *fleet) arriveAnywhere() {
	total := 0.0
	for _, candidate := range f.relays {
		total += candidate.weight
	}
	pick := f.random.Float64() * total
	for _, candidate := range f.relays {
		if pick -= candidate.weight; pick < 0 {
			if candidate.alive {
				candidate.startRandomRequest()
			}
			return
		}
	}
}

// pauseAny pauses a random endpoint for up to half a second.
func (f *fleet) pauseAny() {
	if live := f.readyEndpoints(); len(live) > 0 {
		live[f.random.Intn(len(live))].pause(uniform(f.random, 0.1, 0.5))
	}
}
