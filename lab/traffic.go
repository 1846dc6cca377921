package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/rollout"
)

// Times of the traffic windows, in seconds.
const (
	leadTime        = 6.0    // of traffic before a time that matters
	minWindow       = 14.0   // of a window
	maxIdleWindow   = 100.0  // without a step, after which a window ends although a release is under way
	restTime        = 3600.0 // until the next window then
	sampleInterval  = 7200.0 // between windows where nothing happens
	endCheckPeriod  = 1.0
	idleDelay       = 5.0  // after a window until relays sleep: their last requests have ended by then
	freezeLookahead = 30.0 // in which the end of a freeze lets a release go on
)

// trafficWindow decides when there is traffic. A whole week of it would take hours; what matters happens round releases,
// freezes and faults, so there is traffic then, and a sample of it now and then. In between no requests come, the relays
// sleep, and the clock leaps.
type trafficWindow struct {
	simulation  *simulation
	from        float64 // of the present or the next window
	until       float64
	wantedTimes []float64 // times that matter, in order
	startedAt   float64
	lastStepAt  float64 // of the controller
}

// nextStart is when the next window begins, for whoever sleeps.
func (t *trafficWindow) nextStart() float64 { return math.Max(t.from, t.simulation.now+1e-3) }

// releaseUnderWay says whether a release is under way that may go on within half a minute.
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

// scheduleNext finds the next window after now.
func (t *trafficWindow) scheduleNext() {
	next := t.simulation.now + sampleInterval
	for _, wanted := range t.wantedTimes {
		if wanted > t.simulation.now {
			next = math.Min(next, wanted-leadTime)
			break
		}
	}
	if t.releaseUnderWay() {
		next = math.Min(next, t.simulation.now+restTime)
	}
	t.from = math.Max(next, t.simulation.now+0.5)
	t.until = t.from + minWindow
}

// bringForward brings the next window forward, as the controller has taken a step without traffic.
func (t *trafficWindow) bringForward() {
	t.lastStepAt = t.simulation.now
	if !t.simulation.hasTraffic && t.from > t.simulation.now+1 {
		t.from = t.simulation.now + 0.5
		t.until = t.from + minWindow
		t.simulation.runAt(t.from, t.start)
	}
}

// start begins a window, unless it was brought forward, or is over already.
func (t *trafficWindow) start() {
	s := t.simulation
	if s.hasTraffic || s.now < t.from-1e-6 {
		return
	}
	s.hasTraffic, t.startedAt = true, s.now
	s.record("traffic begins")
	parked := s.parkedRelays
	s.parkedRelays = nil
	for _, woken := range parked {
		if woken.alive {
			woken.watchAlive()
			woken.evaluateGuard()
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

// watchForEnd ends a window when it is over and nothing is under way.
func (t *trafficWindow) watchForEnd() {
	t.simulation.runAfter(endCheckPeriod, func() {
		if t.goesOn() {
			t.watchForEnd()
			return
		}
		t.end()
	})
}

func (t *trafficWindow) goesOn() bool {
	now := t.simulation.now
	if now < t.until {
		return true
	}
	for _, wanted := range t.wantedTimes {
		if wanted > now-3 && wanted < now+leadTime+2 {
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

// startTraffic has requests arrive at a fleet's relays while there is traffic, and its endpoints pause.
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

// repeatWithTraffic runs something at a mean rate while there is traffic, as a Poisson process.
func (f *fleet) repeatWithTraffic(rate float64, run func()) {
	f.simulation.runAfter(f.random.ExpFloat64()/rate, func() {
		if !f.simulation.hasTraffic {
			return
		}
		run()
		f.repeatWithTraffic(rate, run)
	})
}

// arriveAnywhere brings a request to a relay, by the relays' weights.
func (f *fleet) arriveAnywhere() {
	total := 0.0
	for _, candidate := range f.relays {
		total += candidate.weight
	}
	pick := f.random.Float64() * total
	for _, candidate := range f.relays {
		if pick -= candidate.weight; pick < 0 {
			if candidate.alive {
				candidate.arrive()
			}
			return
		}
	}
}

// pauseAny pauses an endpoint for a moment.
func (f *fleet) pauseAny() {
	if live := f.live(); len(live) > 0 {
		live[f.random.Intn(len(live))].pause(uniform(f.random, 0.1, 0.5))
	}
}
