package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	// s; slowness of younger endpoints is no evidence (DESIGN: nothing of them is)
	youngEndpointAge = 5.0
	// of what rule 4 allows an endpoint in its slow start that all relays use: slow machines take so much less
	slowStartPart = 0.8
	// of the rule's window that a relay may send ahead of the rate
	slowStartBurst = 0.2
)

// maxYoungAge is the age up to which an endpoint may be slow for its slow start: what the deployment
// states, at most the design's.
func (p *Policy) maxYoungAge() relay.Seconds {
	if stated := p.settings.Rules.SlowStartTime; stated > 0 && stated < youngEndpointAge {
		return stated
	}
	return youngEndpointAge
}

// capacityFraction is the least part of its capacity that the endpoint can have by now.
func (e *trackedEndpoint) capacityFraction() float64 {
	rules := &e.p.settings.Rules
	age := e.p.now - e.startTime
	if age >= rules.SlowStartTime {
		return 1
	}
	return rules.SlowStartFloor + (1-rules.SlowStartFloor)*math.Max(age, 0)/rules.SlowStartTime
}

// slowStartLeft is the budget of attempts by now for an endpoint in its slow start. Its even part of this
// relay's successes stands for what it can do after it, so that all relays together keep rule 4. (Attempts
// sent won't do: an endpoint that stands alone gets more.)
func (e *trackedEndpoint) slowStartLeft() float64 {
	rules := &e.p.settings.Rules
	rate := e.p.router.evenRate * e.capacityFraction() * rules.OverloadMultiple * slowStartPart
	maxBudget := math.Max(1, rate*rules.OverloadWindow*slowStartBurst)
	return math.Min(maxBudget, e.slowStartBudget+rate*(e.p.now-e.slowStartBudgetAt))
}

// withheld says that the endpoint's slow start leaves nothing for one more attempt of this relay. By its
// budget alone a small relay would not use it for the whole of its slow start; while there are others, most
// relays may send one attempt at once.
func (e *trackedEndpoint) withheld() bool {
	if e.capacityFraction() >= 1 || e.slowStartLeft() >= 1 {
		return false
	}
	rules := &e.p.settings.Rules
	firstAttemptChance := e.p.router.usableFraction *
		math.Min(1, rules.OverloadMultiple*rules.SlowStartFloor*slowStartPart)
	return e.firstAttemptDraw >= firstAttemptChance
}

// chargeSlowStart takes one attempt off the budget.
func (e *trackedEndpoint) chargeSlowStart() {
	if e.capacityFraction() >= 1 {
		return
	}
	e.slowStartBudget = math.Max(0, e.slowStartLeft()-1)
	e.slowStartBudgetAt = e.p.now
	e.firstAttemptDraw = 1
}
