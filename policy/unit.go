// One server as this relay sees it: what its legs show, and what one more leg there would cost.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	youngUnit  = 5.0   // s; slowness of younger units is no evidence (DESIGN: nothing of them is)
	coldPart   = 0.8   // of what rule 4 allows a cold unit that all relays use: slow machines take so much less
	coldBurst  = 0.2   // of the rule's time that a relay may send ahead of the rate
	badStep    = 0.25  // weight of one outcome in a unit's failure figure: two failures make a suspect
	badHalf    = 4.0   // s in which that figure halves: a suspect gets a leg every few seconds to earn its way
	suspectAt  = 0.3   // failure figure of a suspect
	brokenAt   = 0.5   // part of its last legs that a unit failed, at which the machine is at fault: 3 in a row
	paceStep   = 0.2   // weight of one answer in a unit's pace
	paceFleet  = 0.02  // the same in the fleet's
	paceKind   = 0.002 // the same in a kind of machine's over all relays: 500 legs, as kinds change slowly
	paceHalf   = 3.0   // s in which the pace of a silent unit goes half way back to the fleet's
	strainStep = 0.1   // weight of one leg in the mean of leg time over due time: ten legs tell an overload
	quietShare = 1.0   // rise of a unit's cost for each usual leg time that it holds legs and answers nothing
	crossCost  = 1.6   // times the cost in another zone, where crossing has a price
)

func (u *unit) take(n note) {
	switch n := n.(type) {
	case relay.Endpoint:
		u.list(n)
	case noteSent:
		if u.open == 0 {
			u.answer = u.p.now
		}
		u.open++
	case noteOverdue:
		u.bad, u.badAt = u.badNow()+badStep*(1-u.badNow()), u.p.now
	case noteOutcome:
		u.open--
		u.ended(n)
	}
}

// young is the age up to which a unit may be slow for being cold: what the site states, at most the design's.
func (p *Policy) young() relay.Seconds {
	if w := p.set.Rules.SlowStartTime; w > 0 && w < youngUnit {
		return w
	}
	return youngUnit
}

// miss is what an outcome adds to a failure figure. A unit that is full is no suspect for that alone.
func miss(how relay.Outcome) float64 {
	switch how {
	case relay.Succeeded:
		return 0
	case relay.RejectedByEndpoint:
		return suspectAt
	}
	return 1
}

// learn learns what a leg shows of the unit and its build, whichever relay sent it.
func (u *unit) learn(s observation, by int) {
	m := miss(s.how)
	if !s.how.NeverRan() { // what a full table or a refused connection shows is not the machine's doing
		if u.misses += badStep * (m - u.misses); m == 1 && u.misses >= brokenAt || s.how == relay.ConnectionBroken {
			u.brokenOn = u.p.now
		}
	}
	usual := u.p.desk.usualPace(u.MachineType, s.depth)
	if s.how == relay.Succeeded && s.pace > 0 {
		u.p.desk.kind(u.MachineType).add(s.pace, paceKind)
		u.p.desk.learnPace(u, s.pace, s.depth)
	}
	known := s.category >= 0 && int(s.category) < len(u.p.rows)
	if known && !s.how.NeverRan() && s.newest == u.newest() {
		u.record(s, by, usual)
	}
}

// cost is what one more leg here is expected to cost, for comparison with other units.
func (u *unit) cost() float64 {
	if u.Zone != u.p.set.Zone && u.p.set.Costs.CrossZone > 0 {
		return crossCost * u.load()
	}
	return u.load()
}

// load is what it costs the unit. One that holds legs and answers nothing gets dearer by the moment.
func (u *unit) load() float64 {
	c := u.paceNow() * float64(u.open+1)
	if u.open > 0 {
		c *= 1 + quietShare*(u.p.now-u.answer)/math.Max(u.p.desk.usual.v, 1e-3)
	}
	return c
}

// coldLeft is the budget of legs for a cold unit by now. Its even part of this relay's answers stands for
// what it can do when warm, so all relays together keep rule 4. (Legs sent won't do: a lone unit gets more.)
func (u *unit) coldLeft() float64 {
	r := &u.p.set.Rules
	rate := u.p.desk.evenFlow * u.warmth() * r.OverloadMultiple * coldPart
	return math.Min(math.Max(1, rate*r.OverloadWindow*coldBurst), u.cold+rate*(u.p.now-u.coldAt))
}

// spared says that the unit is too cold for one more leg of this relay. By its budget alone a small relay
// would leave it alone for its whole youth; while there are warm units, most relays may send one at once.
func (u *unit) spared() bool {
	r := &u.p.set.Rules
	return u.warmth() < 1 && u.coldLeft() < 1 &&
		u.first >= u.p.desk.choice*math.Min(1, r.OverloadMultiple*r.SlowStartFloor*coldPart)
}
