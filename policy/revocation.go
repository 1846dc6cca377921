package policy

import "lichenroad/relay"

// revokeAttempts cancels the open attempts that would not be sent any more under the present conditions, and
// that may still wait for a connection. What has been written completely is not affected. A request whose
// attempt was cancelled in time is routed anew.
func (r *router) revokeAttempts() {
	for _, request := range r.openRequests {
		for number, attempt := range request.openAttempts() {
			if attempt.revoked || r.stillAllowed(request, attempt) {
				continue
			}
			attempt.revoked = true
			r.p.emit(relay.CancelUnsent{Request: request.ID, Attempt: number})
		}
	}
}

// stillAllowed reports whether the conditions hold under which an attempt was sent. It repeats the checks of
// eligible whose result can change while an attempt waits for a connection. The budgets are no part of it:
// they have been charged.
func (r *router) stillAllowed(request *trackedRequest, attempt *trackedAttempt) bool {
	endpoint, canary := attempt.endpoint, &r.p.canary
	if endpoint.State != relay.Ready || attempt.endpointReplaced() || r.p.endpoints.leaseExpired() {
		return false
	}
	limitLowered := canary.exposureOf(attempt.build).limit < attempt.exposureLimit
	return !limitLowered && canary.allows(request, attempt.build)
}

// endpointReplaced reports whether the endpoint has restarted since the attempt was sent, so that it may be
// warming, or has moved to where it may not share the record of idempotency keys with those of earlier
// attempts.
func (a *trackedAttempt) endpointReplaced() bool {
	endpoint := a.endpoint
	moved := endpoint.Zone != a.zone || endpoint.FailureDomain != a.failureDomain
	return moved || endpoint.incarnation != a.incarnation
}
