package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// relayRecord holds what a relay was notified of, and its recent requests and attempts at canaries by group of tenants.
type relayRecord struct {
	relay          *simulatedRelay
	groups         []exposureRecord // the last one is for tenants without a group
	total          exposureRecord
	services       []servicePosition // as last notified, by service
	exposureLimit  float64           // from the platform, as last notified
	previousLimits []float64         // by group, from before limits were lowered: they apply until the grace is over
	loweredAt      float64
	freezeLimits   []float64 // by group, at the start of the freeze in force; nil: there is none
}

// exposureRecord holds the requests and the attempts at canaries within the exposure window.
type exposureRecord struct {
	requests []timedLimit
	attempts []float64 // times
}

// timedLimit is the exposure limit that applied when a request arrived.
type timedLimit struct{ at, limit float64 }

// dropOld removes entries that are older than the window.
func (r *exposureRecord) dropOld(now float64) {
	from := now - exposureWindow
	for len(r.requests) > 0 && r.requests[0].at < from {
		r.requests = r.requests[1:]
	}
	for len(r.attempts) > 0 && r.attempts[0] < from {
		r.attempts = r.attempts[1:]
	}
}

func (r *exposureRecord) addRequest(now, limit float64) {
	r.dropOld(now)
	r.requests = append(r.requests, timedLimit{now, limit})
}

func (r *exposureRecord) addAttempt(now float64) {
	r.dropOld(now)
	r.attempts = append(r.attempts, now)
}

// allowance returns the number of attempts at canaries that are allowed within the window: each request adds the limit that
// applied when it arrived.
func (r *exposureRecord) allowance() float64 {
	sum := baseAllowance
	for _, request := range r.requests {
		sum += request.limit
	}
	return sum
}

// relayStarted creates a new record for a relay that starts or restarts.
func (c *checker) relayStarted(started *simulatedRelay) {
	groups := len(c.simulation.plan.Groups) + 1
	c.relays[started] = &relayRecord{
		relay:          started,
		groups:         make([]exposureRecord, groups),
		services:       make([]servicePosition, len(c.simulation.plan.Services)),
		previousLimits: make([]float64, groups),
	}
}

// statusReceived records a rollout status that a relay receives. Limits that it lowers stay in previousLimits, since they
// apply until the grace is over.
func (c *checker) statusReceived(receiver *simulatedRelay, service plan.ServiceIndex, status relay.RolloutStatus) {
	record := c.relays[receiver]
	if record == nil || !status.Valid || isBackward(record.services[service], status) {
		return
	}
	before := c.exposureLimits(record)
	record.services[service] = servicePosition{true, status.Build, int(status.Stage), status.Phase}
	if service == receiver.fleet.service {
		record.exposureLimit = status.ExposureLimit
	}
	lowered := false
	for group, limit := range c.exposureLimits(record) {
		lowered = lowered || limit < before[group]
	}
	if !lowered {
		return
	}
	if c.simulation.now-record.loweredAt > notifyGrace {
		clear(record.previousLimits)
	}
	for group := range before {
		record.previousLimits[group] = math.Max(record.previousLimits[group], before[group])
	}
	record.loweredAt = c.simulation.now
}

// isBackward reports whether a status is behind the known position, as when a controller has lost journal events.
func isBackward(known servicePosition, status relay.RolloutStatus) bool {
	if !known.announced || status.Build > known.build {
		return false
	}
	wasRolledBack := known.phase == relay.PhaseRollingBack || known.phase == relay.PhaseWithdrawn
	movesForward := status.Phase == relay.PhaseCanary || status.Phase == relay.PhaseReleased
	return status.Build < known.build || wasRolledBack && movesForward
}

func (c *checker) exposureLimits(record *relayRecord) []float64 {
	limits := make([]float64, len(record.groups))
	for group := range limits {
		limits[group] = c.exposureLimit(record, group)
	}
	return limits
}

// exposureLimit returns the limit of a group at a relay, from the plan and the statuses that the relay was notified of. It
// is the limit of the current step or, if the relay does not know that all dependencies of the steps up to it are met, that
// of the last step before the first unmet dependency. For tenants without a group it is 0.
func (c *checker) exposureLimit(record *relayRecord, group int) float64 {
	service := record.relay.fleet.service
	own := record.services[service]
	if !own.announced || group >= len(c.simulation.plan.Groups) {
		return 0
	}
	if own.phase == relay.PhaseReleased {
		return 1
	}
	if own.phase != relay.PhaseCanary {
		return 0
	}
	limit := c.planLimit(record, c.simulation.plan.Services[service].Steps, own.step, group)
	if record.freezeLimits == nil {
		return limit
	}
	return math.Min(limit, record.freezeLimits[group])
}

// planLimit returns the limit of a group by the steps of the plan up to the one with index last.
func (c *checker) planLimit(record *relayRecord, steps []plan.Step, last, group int) (limit float64) {
	open := false
	for i := range steps[:min(last+1, len(steps))] {
		for _, dependency := range steps[i].Dependencies {
			if !record.services[dependency.Service].satisfies(dependency) {
				return limit
			}
		}
		for _, scope := range steps[i].OpenGroups {
			open = open || scope.Site == record.relay.site && int(scope.Group) == group
		}
		if open {
			limit = math.Min(steps[i].ExposureLimit, record.exposureLimit)
		}
	}
	return limit
}

// bindingLimit returns the limit of a group that applies now. For notifyGrace after a limit was lowered, the previous one
// still applies if it is higher.
func (c *checker) bindingLimit(record *relayRecord, group int) float64 {
	limit := c.exposureLimit(record, group)
	if c.simulation.now-record.loweredAt <= notifyGrace {
		limit = math.Max(limit, record.previousLimits[group])
	}
	return limit
}

// freezeBoundary updates the record of each relay when a freeze begins or ends, by simulation time and not by the relays'
// clocks. While a freeze holds, no limit may rise above its value at the start of the freeze.
func (c *checker) freezeBoundary() {
	for _, simulated := range c.simulation.relays {
		record := c.relays[simulated]
		if record == nil {
			continue
		}
		frozen := c.isFrozen(c.simulation.now, simulated.fleet.service, simulated.site, plan.FreezeAll, 0)
		if !frozen {
			record.freezeLimits = nil
		} else if record.freezeLimits == nil {
			record.freezeLimits = c.exposureLimits(record)
		}
	}
}

// groupOf returns the index of the group of a request's tenant; the number of groups for a tenant without one.
func (c *checker) groupOf(request *simulatedRequest) int {
	if request.group == plan.NoGroup {
		return len(c.simulation.plan.Groups)
	}
	return int(request.group)
}

// requestArrived adds a request to the allowances of its group and its relay.
func (c *checker) requestArrived(request *simulatedRequest) {
	record := c.relays[request.relay]
	group := c.groupOf(request)
	limit := c.bindingLimit(record, group)
	record.groups[group].addRequest(c.simulation.now, limit)
	record.total.addRequest(c.simulation.now, limit)
}
