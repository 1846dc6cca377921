// One server as this relay sees it: what its legs show, and what one more leg there would cost.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	youngEndpointAge     = 5.0   // s; slowness of younger units is no evidence (DESIGN: nothing of them is)
	slowStartPart        = 0.8   // of what rule 4 allows a cold unit that all relays use: slow machines take so much less
	slowStartBurst       = 0.2   // of the rule's time that a relay may send ahead of the rate
	failureStep          = 0.25  // weight of one outcome in a unit's failure figure: two failures make a suspect
	failureHalfLife      = 4.0   // s in which that figure halves: a suspect gets a leg every few seconds to earn its way
	outlierThreshold     = 0.3   // failure figure of a suspect
	faultyThreshold      = 0.5   // part of its last legs that a unit failed, at which the machine is at fault: 3 in a row
	ratioStep            = 0.2   // weight of one answer in a unit's pace
	fleetRatioStep       = 0.02  // the same in the fleet's
	machineTypeRatioStep = 0.002 // the same in a kind of machine's over all relays: 500 legs, as kinds change slowly
	ratioHalfLife        = 3.0   // s in which the pace of a silent unit goes half way back to the fleet's
	objectiveUsageStep   = 0.1   // weight of one leg in the mean of leg time over due time: ten legs tell an overload
	unansweredCost       = 1.0   // rise of a unit's cost for each usual leg time that it holds legs and answers nothing
	crossZoneCost        = 1.6   // times the cost in another zone, where crossing has a price
)

func (u *trackedEndpoint) take(n message) {
	switch n := n.(type) {
	case relay.Endpoint:
		u.update(n)
	case attemptSent:
		if u.openAttempts == 0 {
			u.lastAnswerAt = u.p.now
		}
		u.openAttempts++
	case objectiveMissed:
		u.failure, u.failureAt = u.failureEstimate()+failureStep*(1-u.failureEstimate()), u.p.now
	case attemptOutcome:
		u.openAttempts--
		u.attemptEnded(n)
	}
}

// young is the age up to which a unit may be slow for being cold: what the site states, at most the design's.
func (p *Policy) maxYoungAge() relay.Seconds {
	if w := p.settings.Rules.SlowStartTime; w > 0 && w < youngEndpointAge {
		return w
	}
	return youngEndpointAge
}

// miss is what an outcome adds to a failure figure. A unit that is full is no suspect for that alone.
func failureWeight(how relay.Outcome) float64 {
	switch how {
	case relay.Succeeded:
		return 0
	case relay.RejectedByEndpoint:
		return outlierThreshold
	}
	return 1
}

// learn learns what a leg shows of the unit and its build, whichever relay sent it.
func (u *trackedEndpoint) learn(s observation, by int) {
	m := failureWeight(s.outcome)
	if !s.outcome.NeverRan() { // what a full table or a refused connection shows is not the machine's doing
		if u.failedFraction += failureStep * (m - u.failedFraction); m == 1 && u.failedFraction >= faultyThreshold || s.outcome == relay.ConnectionBroken {
			u.faultyAt = u.p.now
		}
	}
	usual := u.p.router.usualRatio(u.MachineType, s.queueDepth)
	if s.outcome == relay.Succeeded && s.ratio > 0 {
		u.p.router.machineTypeRatio(u.MachineType).add(s.ratio, machineTypeRatioStep)
		u.p.router.learnRatio(u, s.ratio, s.queueDepth)
	}
	known := s.class >= 0 && int(s.class) < len(u.p.classes)
	if known && !s.outcome.NeverRan() && s.newest == u.onNewestBuild() {
		u.recordEvidence(s, by, usual)
	}
}

// cost is what one more leg here is expected to cost, for comparison with other units.
func (u *trackedEndpoint) cost() float64 {
	if u.Zone != u.p.settings.Zone && u.p.settings.Costs.CrossZone > 0 {
		return crossZoneCost * u.load()
	}
	return u.load()
}

// load is what it costs the unit. One that holds legs and answers nothing gets dearer by the moment.
func (u *trackedEndpoint) load() float64 {
	c := u.latencyRatio() * float64(u.openAttempts+1)
	if u.openAttempts > 0 {
		c *= 1 + unansweredCost*(u.p.now-u.lastAnswerAt)/math.Max(u.p.router.attemptDuration.value, 1e-3)
	}
	return c
}

// slowStartLeft is the budget of legs for a cold unit by now. Its even part of this relay's answers stands for
// what it can do when warm, so all relays together keep rule 4. (Legs sent won't do: a lone unit gets more.)
func (u *trackedEndpoint) slowStartLeft() float64 {
	r := &u.p.settings.Rules
	rate := u.p.router.evenRate * u.capacityFraction() * r.OverloadMultiple * slowStartPart
	return math.Min(math.Max(1, rate*r.OverloadWindow*slowStartBurst), u.slowStartBudget+rate*(u.p.now-u.slowStartBudgetAt))
}

// spared says that the unit is too cold for one more leg of this relay. By its budget alone a small relay
// would leave it alone for its whole youth; while there are warm units, most relays may send one at once.
func (u *trackedEndpoint) withheld() bool {
	r := &u.p.settings.Rules
	return u.capacityFraction() < 1 && u.slowStartLeft() < 1 &&
		u.firstAttemptDraw >= u.p.router.usableFraction*math.Min(1, r.OverloadMultiple*r.SlowStartFloor*slowStartPart)
}
