package lab

import (
	"fmt"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Violation is one breach of a rule or of the plan.
type Violation struct {
	Time   float64 `json:"time"` // s since the start
	Relay  string  `json:"relay"`
	Rule   string  `json:"rule"`
	Figure float64 `json:"figure"` // the extent of the violation; its unit depends on the rule
	Text   string  `json:"text"`
}

// Tolerances of the rules, and the number of violations that are listed.
const (
	maxViolations   = 200   // listed in full; further ones are only counted
	notifyGrace     = 0.25  // s from when a relay is notified of a lower exposure limit until that limit applies
	exposureWindow  = 2.0   // s; sliding window over which exposure is counted
	baseAllowance   = 1.0   // attempts at canaries per window that are allowed at any exposure limit
	drainGrace      = 0.25  // s from when a relay is notified of a drain until it may no longer send to the endpoint
	allowanceSlack  = 1e-9  // relative; covers rounding errors
	allowancePeriod = 600.0 // s; the report shows the highest use of an allowance in each such period
)

// controllerName stands for the release controller as the subject of a violation.
const controllerName = "desk"

// checker is the invariant checker: it observes the inputs and outputs of relays and of the release controller. It evaluates
// the plan itself and shares no code with policy or rollout, so that it does not repeat their errors.
type checker struct {
	simulation  *simulation
	freezeTimes [][]interval                    // by freeze
	services    []servicePosition               // by service, as the controller's events have it
	released    map[string]map[relay.Build]bool // by service
	steps       []ControllerStep
	relays      map[*simulatedRelay]*relayRecord

	violations       []Violation
	unlisted         int // violations beyond maxViolations
	byRule           map[string]int
	maxAllowanceUsed float64 // highest use of any allowance, as a fraction
	allowanceUse     map[allowanceKey]float64
}

// allowanceKey identifies a service and a period. Periods of length allowancePeriod are numbered from the start of the run.
type allowanceKey struct {
	service plan.ServiceIndex
	period  int
}

// interval is a half-open time span, in seconds since the start.
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

// report records a violation by a relay or by the controller.
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
