package scale

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

// Broken is one time that a rule was not kept.
type Violation struct {
	Time     float64 `json:"time"`
	Instance string  `json:"instance"`
	Rule     string  `json:"rule"`
	Detail   string  `json:"detail"`
}

// The rules that the checker knows.
const (
	drainRule     = "drain"
	exposureRule  = "exposure"
	slowStartRule = "cold"
	effectRule    = "effect-twice"
)

// Terms of the rules, as relays are told them.
const (
	drainGrace            = 0.25 // s after a drain counts as told
	changeBindsAfter      = 6.0  // s after which it counts as told to a relay that it did not reach, with discovery up
	exposureWindow        = 2.0  // s
	exposureAllowance     = 1.0  // attempts in it that are free
	limitGrace            = 0.25 // s until a lower cap binds
	maxViolationsPerRelay = 10   // broken rules that are kept in words; more are counted
)

// checker watches one relay from outside. It knows what was told to the relay and what the world is like, nothing of the
// decision code.
type checker struct {
	instance           string
	violations         []Violation
	count              int
	drainsReceived     map[relay.EndpointID]float64 // when the relay was told that a unit leaves
	status             relay.RolloutStatus
	previousLimit      float64 // the cap before the present one, which holds up to previousLimitUntil
	previousLimitUntil float64
	received           []requestLimit
	exposedAttempts    []float64
}

type requestLimit struct{ receivedAt, limit float64 }

// restarted begins with a process that was told nothing yet.
func (c *checker) restart() {
	c.drainsReceived, c.status = map[relay.EndpointID]float64{}, relay.RolloutStatus{}
	c.previousLimit, c.previousLimitUntil, c.received, c.exposedAttempts = 0, 0, nil, nil
}

func (c *checker) addViolation(now float64, rule, format string, args ...any) {
	c.count++
	if len(c.violations) < maxViolationsPerRelay {
		c.violations = append(c.violations, Violation{now, c.instance, rule, fmt.Sprintf(format, args...)})
	}
}

// listed notes an entry that the relay was told.
func (c *checker) receiveEntry(now float64, e *endpoint, state relay.EndpointState) {
	if _, notifiedAt := c.drainsReceived[e.id]; state != relay.Ready && !notifiedAt {
		c.drainsReceived[e.id] = now
	}
}

// hears notes news. A lower cap binds after a while.
func (c *checker) receiveStatus(now float64, n relay.RolloutStatus) {
	before := c.status
	c.status = n
	if n.ExposureLimit < before.ExposureLimit && n.Build == before.Build {
		c.previousLimit, c.previousLimitUntil = before.ExposureLimit, now+limitGrace
	}
}

// exposureLimit is the part of the requests that may go to the newest build, or to one that is not announced yet.
func (c *checker) exposureLimit(now float64) float64 {
	switch {
	case c.status.Phase == relay.PhaseReleased || c.status.Phase == relay.PhaseWithdrawn:
		return stages[0].cap
	case now <= c.previousLimitUntil:
		return math.Max(c.status.ExposureLimit, c.previousLimit)
	}
	return c.status.ExposureLimit
}

func (c *checker) receiveRequest(now float64) {
	c.received = append(c.received, requestLimit{now, c.exposureLimit(now)})
	for len(c.received) > 0 && c.received[0].receivedAt < now-exposureWindow {
		c.received = c.received[1:]
	}
}

// sends holds an attempt against the rules. Unreachable is the time since the unit's drain in which discovery could not
// be reached from here.
func (c *checker) checkAttempt(now float64, r *request, e *endpoint, unreachable float64) {
	c.checkDrain(now, e, unreachable)
	c.checkExposure(now, e)
	if requestKinds[r.details.Class].idempotency != relay.AtMostOnce {
		return
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended || !a.outcome.NeverRan() {
			c.addViolation(now, effectRule, "request %d was sent to %s after attempt %d", r.details.ID, e.name, i)
			return
		}
	}
}

func (c *checker) checkDrain(now float64, e *endpoint, unreachable float64) {
	counts := e.drainListedAt + changeBindsAfter + unreachable
	if notifiedAt, known := c.drainsReceived[e.id]; known {
		counts = math.Min(counts, notifiedAt)
	}
	if now > counts+drainGrace {
		c.addViolation(now, drainRule, "%s counts as told since %.3f s", e.name, counts)
	}
}

func (c *checker) checkExposure(now float64, e *endpoint) {
	n := &c.status
	if e.build < n.Build || e.build == n.Build && n.Phase == relay.PhaseReleased {
		return
	}
	for len(c.exposedAttempts) > 0 && c.exposedAttempts[0] < now-exposureWindow {
		c.exposedAttempts = c.exposedAttempts[1:]
	}
	c.exposedAttempts = append(c.exposedAttempts, now)
	allowed := exposureAllowance
	for _, t := range c.received {
		allowed += t.limit
	}
	closed := e.build == n.Build && n.Phase != relay.PhaseCanary && now > c.previousLimitUntil
	if used := float64(len(c.exposedAttempts)); used > allowed+1e-6 || closed {
		c.addViolation(now, exposureRule, "%.0f attempts at build %d in %g s, %.2f allowed", used, e.build, exposureWindow, allowed)
	}
}

// addSlowStartWork adds work to a cold unit, by whichever relay, and says whether it was pushed over just now.
func (e *endpoint) addSlowStartWork(now, work float64) bool {
	kept, sum := e.slowStartWork[:0], work
	for _, sim := range e.slowStartWork {
		if sim.at > now-overloadWindow {
			kept, sum = append(kept, sim), sum+sim.work
		}
	}
	e.slowStartWork = append(kept, timedWork{now, work})
	if over := sum > overloadMultiple*endpointCores*e.slowStartFraction(now)*overloadWindow; !over || e.overloaded {
		return false
	}
	e.overloaded = true
	return true
}
