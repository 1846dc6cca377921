package policy

import (
	"math"

	"lichenroad/relay"
)

// youngEndpointAge is set by the design (docs/design.md).
const (
	// seconds; slow answers of younger endpoints are not evidence against their build, but errors are (in the
	// design, no outcome of theirs is)
	youngEndpointAge = 5.0
	// all relays together send a warming endpoint at most this fraction of the load at which it fails by the
	// settings: slow machines can take that much less
	slowStartFraction = 0.8
	// largest burst of one relay, as a fraction of the attempts that its rate permits within the overload
	// window
	slowStartBurstFraction = 0.2
)

// maxYoungAge is the age up to which slow answers may be due to the slow start: the configured slow start
// time, at most youngEndpointAge.
func (p *Policy) maxYoungAge() relay.Seconds {
	if configured := p.settings.Rules.SlowStartTime; configured > 0 && configured < youngEndpointAge {
		return configured
	}
	return youngEndpointAge
}

// capacityFraction is a lower bound of the fraction of its full capacity that the endpoint has by now.
func (e *trackedEndpoint) capacityFraction() float64 {
	rules := &e.p.settings.Rules
	age := e.p.now - e.startTime
	if age >= rules.SlowStartTime {
		return 1
	}
	return rules.SlowStartFloor + (1-rules.SlowStartFloor)*math.Max(age, 0)/rules.SlowStartTime
}

// slowStartBudgetLeft is the number of attempts that this relay may send to a warming endpoint by now.
// The relay's mean success rate per ready endpoint stands for its share of the endpoint's full capacity,
// so that all relays together do not overload a warming endpoint. The rate of attempts sent would be
// too high: a lone endpoint gets more attempts than it can answer.
func (e *trackedEndpoint) slowStartBudgetLeft() float64 {
	rules := &e.p.settings.Rules
	rate := e.p.router.successRatePerEndpoint * e.capacityFraction() * rules.OverloadMultiple * slowStartFraction
	maxBudget := math.Max(1, rate*rules.OverloadWindow*slowStartBurstFraction)
	return math.Min(maxBudget, e.slowStartBudget+rate*(e.p.now-e.slowStartBudgetAt))
}

// slowStartExhausted reports whether the slow start permits no further attempt of this relay. With the
// budget alone, a relay with little traffic would not use the endpoint during its whole slow start.
// Therefore, while other endpoints are usable, most relays may send one attempt ahead of the budget.
func (e *trackedEndpoint) slowStartExhausted() bool {
	if e.capacityFraction() >= 1 || e.slowStartBudgetLeft() >= 1 {
		return false
	}
	rules := &e.p.settings.Rules
	firstAttemptChance := e.p.router.usableFraction *
		math.Min(1, rules.OverloadMultiple*rules.SlowStartFloor*slowStartFraction)
	return e.firstAttemptDraw >= firstAttemptChance
}

// chargeSlowStart takes one attempt off the slow-start budget.
func (e *trackedEndpoint) chargeSlowStart() {
	if e.capacityFraction() >= 1 {
		return
	}
	e.slowStartBudget = math.Max(0, e.slowStartBudgetLeft()-1)
	e.slowStartBudgetAt = e.p.now
	e.firstAttemptDraw = 1
}
