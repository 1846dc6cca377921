package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// relayRecord is what a relay was notified of, and did of late, by group of tenants.
type relayRecord struct {
	relay          *simulatedRelay
	groups         []exposureRecord // the last one is of tenants without a group
	total          exposureRecord
	services       []servicePosition // as last notified, by service
	exposureLimit  float64           // of the platform, as last notified
	previousLimits []float64         // by group, before they were lowered: they bind until the grace is over
	loweredAt      float64
	freezeLimits   []float64 // by group, as the freeze that holds began; nil: none holds
}

// exposureRecord is the requests and the attempts at canaries within the exposure window.
type exposureRecord struct {
	requests []timedLimit
	attempts []float64 // times
}

// timedLimit is the exposure limit that held as a request came.
type timedLimit struct{ at, limit float64 }

// dropOld forgets what is older than the window.
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

// allowance is how many attempts the window allows.
func (r *exposureRecord) allowance() float64 {
	sum := freeAttempts
	for _, request := range r.requests {
		sum += request.limit
	}
	return sum
}

// relayStarted begins a relay's record.
func (c *checker) relayStarted(started *simulatedRelay) {
	groups := len(c.simulation.plan.Groups) + 1
	c.relays[started] = &relayRecord{
		relay:          started,
		groups:         make([]exposureRecord, groups),
		services:       make([]servicePosition, len(c.simulation.plan.Services)),
		previousLimits: make([]float64, groups),
	}
}

// statusReceived notes what a relay is notified of. A lowered exposure limit binds after the grace.
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

// isBackward says whether a status is older than the position known: of a controller that has forgotten events.
func isBackward(known servicePosition, status relay.RolloutStatus) bool {
	if !known.announced || status.Build > known.build {
		return false
	}
	wasBack := known.phase == relay.PhaseRollingBack || known.phase == relay.PhaseWithdrawn
	goesOn := status.Phase == relay.PhaseCanary || status.Phase == relay.PhaseReleased
	return status.Build < known.build || wasBack && goesOn
}

func (c *checker) exposureLimits(record *relayRecord) []float64 {
	limits := make([]float64, len(record.groups))
	for group := range limits {
		limits[group] = c.exposureLimit(record, group)
	}
	return limits
}

// exposureLimit is the limit that a group has at a relay by what the relay was notified of and by the plan: that of the
// platform's step, or of the last one before it whose dependencies were notified as met; 0 for tenants without a group.
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

// planLimit is the limit of a group by the steps of the plan, up to the platform's step.
func (c *checker) planLimit(record *relayRecord, steps []plan.Step, last, group int) (limit float64) {
	open := false
	for i := range steps[:min(last+1, len(steps))] {
		for _, dependency := range steps[i].Dependencies {
			if !record.services[dependency.Service].meets(dependency) {
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

// bindingLimit is the limit that a group has now, with the one before where it still binds.
func (c *checker) bindingLimit(record *relayRecord, group int) float64 {
	limit := c.exposureLimit(record, group)
	if c.simulation.now-record.loweredAt <= notifyGrace {
		limit = math.Max(limit, record.previousLimits[group])
	}
	return limit
}

// freezeEdge notes the beginning and the end of freezes at each relay, by the true time. What was notified shortly before
// a freeze began counts as notified before.
func (c *checker) freezeEdge() {
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

// groupOf is the group of a request's tenant; that behind the last one for a tenant without a group.
func (c *checker) groupOf(request *simulatedRequest) int {
	if request.group == plan.NoGroup {
		return len(c.simulation.plan.Groups)
	}
	return int(request.group)
}

// requestArrived counts a request, which adds to the allowance of its group and its relay.
func (c *checker) requestArrived(request *simulatedRequest) {
	record := c.relays[request.relay]
	group := c.groupOf(request)
	limit := c.bindingLimit(record, group)
	record.groups[group].addRequest(c.simulation.now, limit)
	record.total.addRequest(c.simulation.now, limit)
}
