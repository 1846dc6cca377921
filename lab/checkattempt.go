package lab

import (
	"math"

	"lichenroad/relay"
)

// checkAttempt checks an attempt that is sent against rules 2 to 5 and the plan.
func (c *checker) checkAttempt(sent *attempt) {
	c.checkRepeats(sent)
	c.checkDrain(sent)
	c.checkSlowStart(sent)
	c.checkExposure(sent)
}

// checkRepeats checks rule 2: no effect twice.
func (c *checker) checkRepeats(sent *attempt) {
	request := sent.request
	class := &requestClasses[request.Class]
	for _, other := range request.attempts {
		if other == sent || other.ended && !other.ran {
			continue
		}
		if !other.ended {
			c.report(request.relay.name, "two legs at once", float64(sent.number), "query %d", request.ID)
		}
		mayRepeat := class.idempotency == relay.Idempotent ||
			class.idempotency == relay.IdempotencyKeyed && c.isDeduplicated(other, sent, class.dedupWindow)
		if !mayRepeat {
			c.report(request.relay.name, "effect twice", float64(sent.number), "%s query %d sent again", class.name, request.ID)
		}
	}
}

// isDeduplicated says whether the site drops the second of two attempts with one idempotency key.
func (c *checker) isDeduplicated(first, second *attempt, dedupWindow float64) bool {
	return first.endpoint.site == second.endpoint.site && c.simulation.now-first.sentAt < dedupWindow
}

// checkDrain checks rule 3: nothing to an endpoint whose drain the relay knows.
func (c *checker) checkDrain(sent *attempt) {
	sender, id := sent.request.relay, sent.endpoint.id
	if since, leaving := sender.leavingSince[id]; leaving && c.simulation.now > since+drainGrace {
		c.report(sender.name, "drain", c.simulation.now-since, "planner %d was told to drain", id)
	}
}

// checkSlowStart checks rule 4: no endpoint in slow start is overloaded. Each attempt counts by its own work: by that of the
// last one, a long request among short ones would violate the rule alone.
func (c *checker) checkSlowStart(sent *attempt) {
	target, request := sent.endpoint, sent.request
	if !target.inSlowStart || c.simulation.now-target.startedAt >= slowStartTime {
		return
	}
	recent, work := target.recentLoad[:0], request.work/target.speed
	for _, earlier := range target.recentLoad {
		if earlier.at > c.simulation.now-overloadWindow {
			recent = append(recent, earlier)
			work += earlier.work / target.speed
		}
	}
	target.recentLoad = append(recent, load{c.simulation.now, request.work})
	capacity := CoresPerEndpoint * target.slowStartFraction() * overloadWindow
	if work > overloadMultiple*capacity && !target.overloaded {
		target.overloaded = true
		c.report(request.relay.name, "cold planner pushed over", work/capacity, "planner %d, %d legs in a second", target.id,
			len(target.recentLoad))
	}
}

// checkExposure checks rule 5 and the plan: the exposure of canaries, by relay and by group.
func (c *checker) checkExposure(sent *attempt) {
	sender, build := sent.request.relay, sent.endpoint.build
	record := c.relays[sender]
	own := record.services[sender.fleet.service]
	isReleased := build < own.build || build == own.build && own.phase == relay.PhaseReleased
	if build == 1 || own.announced && isReleased {
		return
	}
	c.simulation.counters.canaryAttempts++
	group := c.groupOf(sent.request)
	unannounced := !own.announced || build > own.build
	if limit := c.bindingLimit(record, group); limit <= 0 || unannounced {
		rule := c.closedRule(record, group, unannounced)
		c.report(sender.name, rule, limit, "build %d, step %d, group %d", build, own.step, group)
	}
	record.groups[group].addAttempt(c.simulation.now)
	record.total.addAttempt(c.simulation.now)
	c.checkAllowance(sent, &record.groups[group], "group over its cap")
	c.checkAllowance(sent, &record.total, "relay over its cap")
}

// closedRule names the rule that an attempt violates where its group is not open.
func (c *checker) closedRule(record *relayRecord, group int, unannounced bool) string {
	switch {
	case group == len(c.simulation.plan.Groups):
		return "exposed without a group"
	case unannounced:
		return "exposed to a build not announced"
	case record.freezeLimits != nil:
		return "exposed in a freeze"
	}
	return "exposed where closed"
}

// checkAllowance checks how much of an allowance is used.
func (c *checker) checkAllowance(sent *attempt, exposure *exposureRecord, rule string) {
	sender := sent.request.relay
	allowance := exposure.allowance()
	used := float64(len(exposure.attempts)) / allowance
	c.maxAllowanceUsed = math.Max(c.maxAllowanceUsed, used)
	key := allowanceKey{sender.fleet.service, int(c.simulation.now / allowancePeriod)}
	c.allowanceUse[key] = math.Max(c.allowanceUse[key], used)
	if used > 1+allowanceSlack {
		step := c.relays[sender].services[sender.fleet.service].step
		c.report(sender.name, rule, used, "build %d, step %d, group %d: %d legs, %.2f allowed", sent.endpoint.build, step,
			c.groupOf(sent.request), len(exposure.attempts), allowance)
	}
}

// attemptRan notes that an endpoint took an attempt in.
func (c *checker) attemptRan(sent *attempt) { sent.ran = true }

// checkOutcome checks the final answer to a request against rules 1 and 2.
func (c *checker) checkOutcome(request *simulatedRequest, outcome RequestOutcome) {
	name := request.relay.name
	if request.ended {
		c.report(name, "answered twice", 0, "query %d", request.ID)
	}
	if c.simulation.now > request.deadlineAt {
		c.report(name, "answered too late", c.simulation.now-request.deadlineAt, "query %d", request.ID)
	}
	class := &requestClasses[request.Class]
	if outcome != RequestRejected || class.idempotency == relay.Idempotent {
		return
	}
	for _, sent := range request.attempts {
		mayRunYet := !sent.ended && sent.endpoint != nil
		if sent.ran || mayRunYet {
			c.report(name, "denied what may have run", 0, "%s query %d", class.name, request.ID)
		}
	}
}

func (c *checker) requestUnanswered(request *simulatedRequest) {
	c.report(request.relay.name, "no answer", c.simulation.now-request.arrivedAt, "%s query %d",
		requestClasses[request.Class].name, request.ID)
}
