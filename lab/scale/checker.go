package scale

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

// Violation is one breach of a rule.
type Violation struct {
	Time     float64 `json:"time"` // virtual, in seconds
	Instance string  `json:"instance"`
	Rule     string  `json:"rule"`
	Detail   string  `json:"detail"`
}

// The rules that the checker knows, as results name them.
const (
	drainRule     = "drain"
	exposureRule  = "exposure"
	slowStartRule = "cold"
	effectRule    = "effect-twice"
)

// Terms of the rules, which are also in the settings of relays. Durations are in seconds.
const (
	drainGrace            = 0.25 // from the time as of which a relay knows of a drain until no attempt may be sent
	changeBindsAfter      = 6.0  // from a change until a relay that it did not reach counts as knowing it, if discovery is up
	exposureWindow        = 2.0
	exposureAllowance     = 1.0  // attempts in the window beyond the limit
	limitGrace            = 0.25 // from a lower exposure limit until it binds
	maxViolationsPerRelay = 10   // that are kept in detail; further ones are only counted
)

// exposureTolerance absorbs rounding in the sum of exposure limits.
const exposureTolerance = 1e-6

// checker observes one relay from outside. It knows what the relay received and the state of the simulation, but nothing of
// the decision code.
type checker struct {
	instance           string
	violations         []Violation
	count              int                          // of all violations
	drainsReceived     map[relay.EndpointID]float64 // when the relay first received that an endpoint leaves
	status             relay.RolloutStatus          // received last
	previousLimit      float64                      // exposure limit before a decrease, which holds up to previousLimitUntil
	previousLimitUntil float64
	requests           []limitedRequest // received within the exposure window
	exposedAttempts    []float64        // when attempts at the canary were sent within the exposure window
}

// limitedRequest is a request with the exposure limit at its receipt.
type limitedRequest struct{ receivedAt, limit float64 }

// restart forgets what the relay received before its restart.
func (c *checker) restart() {
	c.drainsReceived = map[relay.EndpointID]float64{}
	c.status = relay.RolloutStatus{}
	c.previousLimit, c.previousLimitUntil = 0, 0
	c.requests = nil
	c.exposedAttempts = nil
}

func (c *checker) addViolation(now float64, rule, format string, args ...any) {
	c.count++
	if len(c.violations) < maxViolationsPerRelay {
		c.violations = append(c.violations, Violation{now, c.instance, rule, fmt.Sprintf(format, args...)})
	}
}

// receiveEntry records a list entry that the relay received.
func (c *checker) receiveEntry(now float64, e *endpoint, state relay.EndpointState) {
	_, known := c.drainsReceived[e.id]
	if state != relay.Ready && !known {
		c.drainsReceived[e.id] = now
	}
}

// receiveStatus records a rollout status that the relay received.
func (c *checker) receiveStatus(now float64, status relay.RolloutStatus) {
	previous := c.status
	c.status = status
	lowered := status.Build == previous.Build && status.ExposureLimit < previous.ExposureLimit
	if lowered {
		c.previousLimit = previous.ExposureLimit
		c.previousLimitUntil = now + limitGrace
	}
}

// exposureLimit returns the fraction of the requests that may go to the newest build, or to one not announced yet.
func (c *checker) exposureLimit(now float64) float64 {
	switch {
	case c.status.Phase == relay.PhaseReleased || c.status.Phase == relay.PhaseWithdrawn:
		return stages[0].exposureLimit
	case now <= c.previousLimitUntil:
		return math.Max(c.status.ExposureLimit, c.previousLimit)
	}
	return c.status.ExposureLimit
}

// receiveRequest records a request that the relay received.
func (c *checker) receiveRequest(now float64) {
	c.requests = append(c.requests, limitedRequest{now, c.exposureLimit(now)})
	for len(c.requests) > 0 && c.requests[0].receivedAt < now-exposureWindow {
		c.requests = c.requests[1:]
	}
}

// checkAttempt checks an attempt that the relay sends. Unreachable is for how long since the endpoint's drain the relay
// could not reach discovery.
func (c *checker) checkAttempt(now float64, r *request, e *endpoint, unreachable float64) {
	c.checkDrain(now, e, unreachable)
	c.checkExposure(now, e)
	c.checkEffect(now, r, e)
}

// checkDrain checks that the endpoint was not draining for longer than the grace.
func (c *checker) checkDrain(now float64, e *endpoint, unreachable float64) {
	knownAt := e.drainListedAt + changeBindsAfter + unreachable
	if receivedAt, received := c.drainsReceived[e.id]; received {
		knownAt = math.Min(knownAt, receivedAt)
	}
	if now > knownAt+drainGrace {
		c.addViolation(now, drainRule, "%s counts as told since %.3f s", e.name, knownAt)
	}
}

// checkExposure checks that attempts at the canary stay within the exposure limit.
func (c *checker) checkExposure(now float64, e *endpoint) {
	released := e.build == c.status.Build && c.status.Phase == relay.PhaseReleased
	if e.build < c.status.Build || released {
		return
	}
	for len(c.exposedAttempts) > 0 && c.exposedAttempts[0] < now-exposureWindow {
		c.exposedAttempts = c.exposedAttempts[1:]
	}
	c.exposedAttempts = append(c.exposedAttempts, now)
	allowed := exposureAllowance
	for _, r := range c.requests {
		allowed += r.limit
	}
	closed := e.build == c.status.Build && c.status.Phase != relay.PhaseCanary && now > c.previousLimitUntil
	used := float64(len(c.exposedAttempts))
	if used > allowed+exposureTolerance || closed {
		c.addViolation(now, exposureRule, "%.0f attempts at build %d in %g s, %.2f allowed", used, e.build, exposureWindow, allowed)
	}
}

// checkEffect checks that a request which may run at most once has no earlier attempt that may have run.
func (c *checker) checkEffect(now float64, r *request, e *endpoint) {
	if requestKinds[r.details.Class].idempotency != relay.AtMostOnce {
		return
	}
	for i := range r.attempts {
		earlier := &r.attempts[i]
		if !earlier.ended || !earlier.outcome.NeverRan() {
			c.addViolation(now, effectRule, "request %d was sent to %s after attempt %d", r.details.ID, e.name, i)
			return
		}
	}
}
