package demo

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"lichenroad/relay"
)

// The exposure limit as it is audited. Seconds are those of the observer, who reads times from several processes.
const (
	exposureWindow    = 2.0     // seconds in which attempts are counted
	freeAttempts      = 1.0 + 2 // in a window: one by the settings, two that the platform's specification allows over sockets
	limitTolerance    = 1.04    // factor of the same specification
	lowerLimitDelay   = 0.5     // seconds after which a lower limit binds: its way to the relay, the grace, attempts under way
	statusDelay       = 0.2     // seconds by which a relay may know a status earlier than the observer
	requestClockSlack = 0.05    // seconds by which a request counts although it is older than the window
	maxViolations     = 50
)

// audit holds every attempt at an unreleased build against the exposure limit in force for its relay and tenant. A line of
// a planner that can't be read is a violation too, as the attempt behind it can't be held against anything.
func (d *demonstration) audit(result *Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, line := range d.unreadable {
		result.addViolation("a planner's line can't be read: %q", line)
	}
	sort.SliceStable(d.attempts, func(i, j int) bool { return d.attempts[i].at < d.attempts[j].at })
	for i, a := range d.attempts {
		if !d.isCanary(a) {
			continue
		}
		result.CanaryAttempts++
		limit := d.exposureLimitFor(a)
		if limit == 0 {
			result.addViolation("at %.3f s relay n%d sent a query of %s to build %d, where it was closed", a.at, a.relay, a.tenant, a.build)
			continue
		}
		attempts, requests := d.attemptsInWindow(i), d.requestsInWindow(a)
		used := attempts / (freeAttempts + limitTolerance*limit*requests)
		result.MaxExposureUse = math.Max(result.MaxExposureUse, used)
		if used > 1 {
			result.addViolation("at %.3f s relay n%d had sent %g legs of %s to build %d in 2 s, for %g queries at a cap of %g", a.at, a.relay,
				attempts, a.tenant, a.build, requests, limit)
		}
	}
}

func (r *Result) addViolation(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// attemptsInWindow counts the attempts like one of the list, up to it and with it, in the window that it ends.
func (d *demonstration) attemptsInWindow(last int) (count float64) {
	end := d.attempts[last]
	for i := last; i >= 0 && d.attempts[i].at > end.at-exposureWindow; i-- {
		a := d.attempts[i]
		if a.relay == end.relay && a.tenant == end.tenant && a.build == end.build {
			count++
		}
	}
	return count
}

// requestsInWindow counts the requests of an attempt's tenant to its relay in the window that the attempt ends.
func (d *demonstration) requestsInWindow(end attempt) (count float64) {
	for _, request := range d.requests {
		inWindow := request.at <= end.at && request.at > end.at-exposureWindow-requestClockSlack
		if inWindow && request.relay == end.relay && request.tenant == end.tenant {
			count++
		}
	}
	return count
}

// isCanary reports whether the attempt's build was not released yet. The caller holds mu.
func (d *demonstration) isCanary(a attempt) bool {
	if a.build == firstBuild {
		return false
	}
	for _, observed := range d.statuses {
		known := observed.at <= a.at+statusDelay
		if known && int(observed.status.Build) == a.build && observed.status.Phase == relay.PhaseReleased {
			return false
		}
	}
	return true
}

// exposureLimitFor is the highest limit that was in force for an attempt's relay and tenant when it was sent; 0 where the
// build was closed to them. The caller holds mu.
func (d *demonstration) exposureLimitFor(a attempt) (limit float64) {
	for i, observed := range d.statuses {
		until := math.Inf(1)
		if i+1 < len(d.statuses) {
			until = d.statuses[i+1].at + lowerLimitDelay
		}
		inForce := observed.at-statusDelay <= a.at && a.at <= until
		status := observed.status
		if !inForce || int(status.Build) != a.build || status.Phase != relay.PhaseCanary {
			continue
		}
		if isOpen(status.Stage, a) {
			limit = math.Max(limit, status.ExposureLimit)
		}
	}
	return limit
}

// isOpen reports whether the plan opens a step to an attempt's relay and tenant: the first step to the first tenant at the
// first site, the second one to all tenants that are in a group.
func isOpen(step relay.Stage, a attempt) bool {
	switch slices.Index(tenants, a.tenant) {
	case 0:
		return step >= 1 || relaySite(a.relay) == sites[0]
	case 1:
		return step >= 1
	default:
		return false
	}
}
