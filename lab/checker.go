package lab

import (
	"fmt"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Violation is one rule, or one line of the plan, that was not kept.
type Violation struct {
	Time   float64 `json:"time"` // s since the start
	Relay  string  `json:"relay"`
	Rule   string  `json:"rule"`
	Figure float64 `json:"figure"` // by how much; what it counts depends on the rule
	Text   string  `json:"text"`
}

// What the rules allow, and how many violations are listed.
const (
	maxViolations   = 200   // that are listed; the rest is counted
	notifyGrace     = 0.25  // s until a lowered exposure limit binds
	exposureWindow  = 2.0   // s in which exposure is counted
	freeAttempts    = 1.0   // attempts in it that are allowed in any case
	drainGrace      = 0.25  // s until a drain binds
	allowanceSlack  = 1e-9  // for rounding
	allowancePeriod = 600.0 // s over which the report keeps the highest use
)

// controllerName is the subject of violations by the release controller.
const controllerName = "desk"

// checker is the invariant checker: it watches from outside what relays and the release controller do. It knows the plan as
// it is written, and shares no code with policy or rollout.
type checker struct {
	simulation  *simulation
	freezeTimes [][]interval                    // by freeze
	services    []servicePosition               // by service, by the controller's own steps
	released    map[string]map[relay.Build]bool // by service
	steps       []ControllerStep
	relays      map[*simulatedRelay]*relayRecord

	violations       []Violation
	unlisted         int // violations over maxViolations
	byRule           map[string]int
	maxAllowanceUsed float64 // of any allowance
	allowanceUse     map[allowanceKey]float64
}

// allowanceKey is a service and a period of allowancePeriod.
type allowanceKey struct {
	service plan.ServiceIndex
	period  int
}

// interval is a time span, in seconds since the start.
type interval struct{ from, to float64 }

func newChecker(simulation *simulation) *checker {
	c := &checker{
		simulation:   simulation,
		services:     make([]servicePosition, len(simulation.plan.Services)),
		released:     map[string]map[relay.Build]bool{},
		relays:       map[*simulatedRelay]*relayRecord{},
		byRule:       map[string]int{},
		allowanceUse: map[allowanceKey]float64{},
	}
	for i := range simulation.plan.Services {
		c.released[simulation.plan.Services[i].Name] = map[relay.Build]bool{1: true}
	}
	for i := range simulation.plan.Freezes {
		c.freezeTimes = append(c.freezeTimes, c.freezeIntervals(&simulation.plan.Freezes[i]))
	}
	return c
}

// report notes a violation by a relay or the controller.
func (c *checker) report(subject, rule string, figure float64, format string, args ...any) {
	c.byRule[rule]++
	if len(c.violations) >= maxViolations {
		c.unlisted++
		return
	}
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, Violation{c.simulation.now, subject, rule, figure, text})
	c.simulation.record("BROKEN %s %s %s", rule, subject, text)
}

func (c *checker) wasReleased(service string, build relay.Build) bool {
	return c.released[service][build]
}
