package lab

import (
	"math"

	"lichenroad/relay"
)

// checkAttempt checks an attempt, as it is sent, against the rules on repeated effects, draining endpoints, endpoints in
// slow start and exposure limits, and against the plan.
func (c *checker) checkAttempt(sent *attempt) {
	c.checkRepeats(sent)
	c.checkDrain(sent)
	c.checkSlowStart(sent)
	c.checkExposure(sent)
}

// checkRepeats checks that no request can have its effect twice: while an earlier attempt may have run, an attempt is
// allowed only for idempotent requests, and for idempotency-keyed ones only where the endpoints drop duplicates. It also
// checks that a request has at most one attempt in flight.
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

// isDeduplicated reports whether the site drops the second of two attempts with the same idempotency key: both went to one
// site, within the dedup window.
func (c *checker) isDeduplicated(first, second *attempt, dedupWindow float64) bool {
	return first.endpoint.site == second.endpoint.site && c.simulation.now-first.sentAt < dedupWindow
}

// checkDrain checks that nothing is sent to an endpoint once the drain grace has passed since the relay was notified of its
// drain or removal.
func (c *checker) checkDrain(sent *attempt) {
	sender, id := sent.request.relay, sent.endpoint.id
	if since, leaving := sender.leavingSince[id]; leaving && c.simulation.now > since+drainGrace {
		c.report(sender.name, "drain", c.simulation.now-since, "planner %d was told to drain", id)
	}
}

// checkSlowStart checks that all relays together do not overload an endpoint in slow start. Each attempt counts with its own
// work: if all counted with the work of the last one, a single long request among short ones would be a violation.
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

// checkExposure checks attempts at canaries, by relay and by group of tenants, against the exposure limit and the plan.
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
		rule := c.closedGroupRule(record, group, unannounced)
		c.report(sender.name, rule, limit, "build %d, step %d, group %d", build, own.step, group)
	}
	record.groups[group].addAttempt(c.simulation.now)
	record.total.addAttempt(c.simulation.now)
	c.checkAllowance(sent, &record.groups[group], "group over its cap")
	c.checkAllowance(sent, &record.total, "relay over its cap")
}

// closedGroupRule returns the rule that is violated by an attempt at a canary for a group to which the canary is not open.
func (c *checker) closedGroupRule(record *relayRecord, group int, unannounced bool) string {
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

// checkAllowance checks that the attempts at canaries within the exposure window stay within their allowance, and keeps the
// highest use for the report.
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

// attemptRan marks an attempt that an endpoint accepted: from then on it may have had its effect.
func (c *checker) attemptRan(sent *attempt) { sent.ran = true }

// checkOutcome checks the answer to a request: it must be the only one and in time. A rejection tells the client that
// nothing ran, so a request that is not idempotent may be rejected only if none of its attempts has run or can still run.
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
		mayStillRun := !sent.ended && sent.endpoint != nil
		if sent.ran || mayStillRun {
			c.report(name, "denied what may have run", 0, "%s query %d", class.name, request.ID)
		}
	}
}

func (c *checker) requestUnanswered(request *simulatedRequest) {
	c.report(request.relay.name, "no answer", c.simulation.now-request.arrivedAt, "%s query %d",
		requestClasses[request.Class].name, request.ID)
}
