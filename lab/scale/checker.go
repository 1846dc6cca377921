package scale

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

// Violation is one breach of a checked rule.
type Violation struct {
	Time     float64 `json:"time"` // virtual time in seconds
	Instance string  `json:"instance"`
	Rule     string  `json:"rule"`
	Detail   string  `json:"detail"`
}

// The checked rules, as named in results.
const (
	drainRule     = "drain"        // no attempts are sent to draining or removed endpoints after the drain grace
	exposureRule  = "exposure"     // attempts at the build on trial stay within the exposure limit
	slowStartRule = "cold"         // endpoints are not overloaded during slow start, counted over all relays
	effectRule    = "effect-twice" // at-most-once requests are retried only if every earlier attempt provably never ran
)

// Parameters of the rules. Most are also in the settings of relays. Durations are in seconds.
const (
	drainGrace            = 0.25 // time from a relay's notification of a drain until it may no longer send attempts to the endpoint
	maxNotifyDelay        = 6.0  // time from a change at discovery until a relay that has not received it counts as notified of it
	exposureWindow        = 2.0  // period over which requests and attempts at the canary are counted
	exposureAllowance     = 1.0  // attempts in the window that are allowed in addition to the limit
	limitGrace            = 0.25 // time from the receipt of a lower exposure limit until it applies
	maxViolationsPerRelay = 10   // violations kept in detail; further ones are only counted
)

// exposureTolerance allows for rounding errors in the sum of exposure limits.
const exposureTolerance = 1e-6

// checker checks the rules for one relay. It uses only the relay's inputs and outputs and the state of the simulation, not
// the state of the decision code.
type checker struct {
	instance           string
	violations         []Violation
	count              int                          // all violations, including those not kept
	drainsReceived     map[relay.EndpointID]float64 // when the relay first received a drain or removal of the endpoint
	status             relay.RolloutStatus          // the last one received
	previousLimit      float64                      // exposure limit before a decrease; it still applies until previousLimitUntil
	previousLimitUntil float64
	requests           []limitedRequest // received within the exposure window
	exposedAttempts    []float64        // when attempts at the canary were sent within the exposure window
}

// limitedRequest is a request with the exposure limit at the time of its receipt.
type limitedRequest struct{ receivedAt, limit float64 }

// restart clears what the relay received and sent before its restart, except the violations.
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

// exposureLimit returns the share of the requests that may be sent to the newest build, or to a build whose rollout status has
// not arrived yet.
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

// checkAttempt checks an attempt that the relay sends. The argument unreachable is how long the relay could not reach
// discovery since the drain of the endpoint was listed.
func (c *checker) checkAttempt(now float64, r *request, e *endpoint, unreachable float64) {
	c.checkDrain(now, e, unreachable)
	c.checkExposure(now, e)
	c.checkEffect(now, r, e)
}

// checkDrain checks that no more than the drain grace has passed since the relay counts as notified of a drain.
func (c *checker) checkDrain(now float64, e *endpoint, unreachable float64) {
	notifiedAt := e.drainListedAt + maxNotifyDelay + unreachable
	if receivedAt, received := c.drainsReceived[e.id]; received {
		notifiedAt = math.Min(notifiedAt, receivedAt)
	}
	if now > notifiedAt+drainGrace {
		c.addViolation(now, drainRule, "%s counts as told since %.3f s", e.name, notifiedAt)
	}
}

// checkExposure checks that the number of attempts at the canary within the window is within the exposure limit.
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

// checkEffect checks that a request that may run at most once has no earlier attempt that is still open or may have run.
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
