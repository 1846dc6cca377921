package demo

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"lichenroad/relay"
)

// Parameters of the audit of exposure limits. Tolerances are needed as the audit compares times that were taken in different
// processes: the planners' times of attempts, and this process's times of requests and statuses.
const (
	exposureWindow = 2.0 // seconds; attempts and requests are counted in a sliding window of this length

	// Attempts in each window that don't count against the limit: one by the relays' settings, and two that the platform's
	// specification allows over sockets.
	freeAttempts = 1.0 + 2

	limitTolerance = 1.04 // factor on the exposure limit, allowed by the platform's specification too

	// Seconds for which a limit remains valid after a lower one was published. They cover its transmission to the relay, the
	// grace period before a lower limit is binding, and attempts in flight.
	lowerLimitDelay = 0.5

	statusDelay       = 0.2  // seconds by which a relay may receive a status before this process does
	requestClockSlack = 0.05 // seconds before the window in which requests still count
	maxViolations     = 50   // at most listed in a result
)

// audit checks every attempt at an unreleased build against the exposure limit in force for its relay and tenant. A line of a
// planner's output that can't be parsed is a violation too, because the attempt that it reports can't be checked.
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

// attemptsInWindow counts the attempts with the same relay, tenant and build as attempt number last, in the window that ends
// with this attempt. It is counted too.
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

// requestsInWindow counts the requests of an attempt's tenant to its relay, in the window that ends with the attempt.
func (d *demonstration) requestsInWindow(end attempt) (count float64) {
	for _, request := range d.requests {
		inWindow := request.at <= end.at && request.at > end.at-exposureWindow-requestClockSlack
		if inWindow && request.relay == end.relay && request.tenant == end.tenant {
			count++
		}
	}
	return count
}

// isCanary reports whether the attempt's build was not yet released. The caller holds mu.
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

// exposureLimitFor returns the highest exposure limit that was in force for an attempt's relay and tenant when the attempt
// was sent, 0 if the build was not open to them. The caller holds mu.
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

// isOpen reports whether the plan opens a step to an attempt's relay and tenant. The first step is open to the first tenant
// at the first site, the second step to all tenants of a group at both sites.
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
