package policy

import "lichenroad/relay"

const (
	// failure estimate from which an endpoint is an outlier for requests that are not retried after an error
	strictOutlierThreshold = 0.1
	// fraction of healthy endpoints below which they can't carry the whole load
	minHealthyFraction = 0.3
	// below minHealthyFraction, an outlier is preferred if its cost times this factor is below that of a
	// healthy endpoint: one success at an outlier takes about three attempts
	outlierCostFactor = 3.0
	// a canary endpoint is chosen if its load is at most this multiple of the best earlier endpoint's: it is
	// above 1 because the latency ratio of a new build is not known yet
	canaryCostFactor = 1.5
	// a window of 6 s for the failure rate of connects, in which even a relay with little traffic sends a few
	// attempts
	connectBuckets = 12
	// fraction of failed connects above which endpoints with an open connection are preferred
	maxConnectFailureFraction = 0.1
	// seconds after the last answer in which an idle connection counts as open
	idleConnectionLife = 8.0
)

// route sends the next attempt of a request that has no open one. If no endpoint is eligible yet, the
// request waits as long as it is in time and may be sent; otherwise it gets its final answer at once.
func (r *router) route(request *trackedRequest) {
	inTime := r.p.now < request.objectiveAt && r.p.now < request.Deadline-deadlineMargin
	if endpoint := r.pickEndpoint(request); endpoint != nil && inTime {
		r.sendAttempt(request, endpoint)
		return
	}
	if !inTime || r.p.endpoints.leaseExpired() || !r.mayRetry(request) {
		r.rejectOrFail(request)
	}
}

// mayRetry reports whether the request may have another attempt, whatever the endpoint.
func (r *router) mayRetry(request *trackedRequest) bool {
	if len(request.attempts) >= r.p.settings.Limits.MaxAttempts {
		return false
	}
	return request.class.idempotency != relay.AtMostOnce || !request.mayHaveRun()
}

// pickEndpoint chooses the endpoint of a request's next attempt; nil if none is eligible. Endpoints of a
// build on trial are chosen only within its exposure target, unless no other endpoint is eligible.
func (r *router) pickEndpoint(request *trackedRequest) *trackedEndpoint {
	var earlier, canaries []*trackedEndpoint
	for _, endpoint := range r.p.endpoints.all {
		if !r.eligible(request, endpoint) {
			continue
		}
		if r.p.canary.exposureOf(endpoint.Build).onTrial {
			canaries = append(canaries, endpoint)
		} else {
			earlier = append(earlier, endpoint)
		}
	}
	bestEarlier := r.bestOf(request, earlier)
	bestCanary := r.bestOf(request, canaries)
	switch {
	case bestEarlier == nil:
		return bestCanary
	case bestCanary == nil || !r.p.canary.withinTarget(request, bestCanary.Build):
		return bestEarlier
	case bestCanary.load() <= canaryCostFactor*bestEarlier.load():
		return bestCanary
	}
	return bestEarlier
}

// endpointPools groups endpoints that a request has not tried yet by how healthy they look.
type endpointPools struct {
	healthy     []*trackedEndpoint
	unconnected []*trackedEndpoint // without an open connection while connects fail, otherwise healthy
	outliers    []*trackedEndpoint
}

// bestOf returns the cheaper of two random choices from the healthiest pool that is not empty; if the
// request has tried all endpoints, from all of them. While connects fail, endpoints with an open
// connection come before others, whatever the cause of the failures.
func (r *router) bestOf(request *trackedRequest, endpoints []*trackedEndpoint) *trackedEndpoint {
	pools := r.poolsOf(request, endpoints)
	if r.mayUseOutliers(request, &pools) {
		healthy := r.twoRandomChoices(pools.healthy)
		outlier := r.weightedChoice(pools.outliers)
		if outlier.cost()*outlierCostFactor < healthy.cost() {
			return outlier
		}
		return healthy
	}
	for _, pool := range [...][]*trackedEndpoint{pools.healthy, pools.unconnected, pools.outliers, endpoints} {
		if len(pool) > 0 {
			return r.twoRandomChoices(pool)
		}
	}
	return nil
}

func (r *router) poolsOf(request *trackedRequest, endpoints []*trackedEndpoint) (pools endpointPools) {
	threshold := outlierThreshold
	if request.class.idempotency == relay.AtMostOnce {
		threshold = strictOutlierThreshold
	}
	connectsFailing := r.connectsFailing()
	for _, endpoint := range endpoints {
		switch {
		case request.hasTried(endpoint):
		case endpoint.failureEstimate() >= threshold:
			pools.outliers = append(pools.outliers, endpoint)
		case connectsFailing && !endpoint.hasConnection():
			pools.unconnected = append(pools.unconnected, endpoint)
		default:
			pools.healthy = append(pools.healthy, endpoint)
		}
	}
	return pools
}

// connectsFailing reports whether more than a small fraction of recent attempts got no connection.
func (r *router) connectsFailing() bool {
	failed := r.connects.Total(r.p.now, connectsFailed)
	return failed > 1 && failed > maxConnectFailureFraction*r.connects.Total(r.p.now, connectsTried)
}

// hasConnection reports whether a connection to the endpoint is probably open.
func (e *trackedEndpoint) hasConnection() bool {
	idleTooLong := e.openAttempts == 0 && e.p.now-e.lastAnswerAt > idleConnectionLife
	return e.lastAttemptConnected && !idleTooLong
}

// mayUseOutliers reports whether most endpoints are outliers, so that the healthy ones can't carry the whole
// load, and the request may be retried after an error. Outliers then take some of the load that would
// queue at the healthy endpoints.
func (r *router) mayUseOutliers(request *trackedRequest, pools *endpointPools) bool {
	healthy, outliers := float64(len(pools.healthy)), float64(len(pools.outliers))
	fewHealthy := healthy > 0 && healthy < minHealthyFraction*(healthy+outliers)
	return fewHealthy && request.class.idempotency != relay.AtMostOnce
}

// twoRandomChoices returns the cheaper of two weighted random choices.
func (r *router) twoRandomChoices(pool []*trackedEndpoint) *trackedEndpoint {
	first := r.weightedChoice(pool)
	if second := r.weightedChoice(pool); second.cost() < first.cost() {
		return second
	}
	return first
}

// weightedChoice chooses an endpoint at random, in proportion to its weight.
func (r *router) weightedChoice(pool []*trackedEndpoint) *trackedEndpoint {
	rest := 0.0
	for _, endpoint := range pool {
		rest += endpoint.weight()
	}
	rest *= r.p.random.Float64()
	for _, endpoint := range pool {
		if rest -= endpoint.weight(); rest < 0 {
			return endpoint
		}
	}
	return pool[len(pool)-1]
}

// eligible is the check that every attempt passes. It admits only ready endpoints, neither draining nor
// removed, under a valid list; it prevents a second effect of the request, overload of a warming
// endpoint, and more attempts at a build on trial than its exposure limit permits.
func (r *router) eligible(request *trackedRequest, endpoint *trackedEndpoint) bool {
	limits := &r.p.settings.Limits
	if request.finished || endpoint.State != relay.Ready || len(request.attempts) >= limits.MaxAttempts ||
		r.p.endpoints.leaseExpired() {
		return false
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.open && !limits.HedgedRequests {
			return false
		}
		if attempt.mayHaveRun && !r.retryIsSafe(request, attempt, endpoint) {
			return false
		}
	}
	return !endpoint.slowStartExhausted() && r.p.canary.permits(request, endpoint.Build)
}

// retryIsSafe reports whether an attempt at the endpoint has no second effect even if an earlier attempt
// ran.
func (r *router) retryIsSafe(
	request *trackedRequest, earlier *trackedAttempt, endpoint *trackedEndpoint,
) bool {
	switch request.class.idempotency {
	case relay.AtMostOnce:
		return false
	case relay.IdempotencyKeyed:
		return request.class.sharesDedup(earlier, endpoint) && r.p.now < request.dedupDeadline()
	}
	return true
}

// sharesDedup reports whether the endpoint shares the record of idempotency keys with that of an earlier
// attempt.
func (c *classState) sharesDedup(attempt *trackedAttempt, endpoint *trackedEndpoint) bool {
	switch c.dedupScope {
	case relay.DedupAll:
		return true
	case relay.DedupZone:
		return endpoint.Zone == attempt.zone
	case relay.DedupFailureDomain:
		return endpoint.FailureDomain == attempt.failureDomain
	}
	return false
}

// sendAttempt sends an attempt to the endpoint. Every attempt is sent here.
func (r *router) sendAttempt(request *trackedRequest, endpoint *trackedEndpoint) {
	p := r.p
	sendBy := request.dedupDeadline()
	// An attempt must not wait for a connection beyond the lease on the list.
	if lease := p.endpoints.leaseExpiresAt; lease != never && (sendBy == 0 || lease < sendBy) {
		sendBy = lease
	}
	request.attempts = append(request.attempts, trackedAttempt{
		endpoint:      endpoint,
		zone:          endpoint.Zone,
		failureDomain: endpoint.FailureDomain,
		build:         endpoint.Build,
		incarnation:   endpoint.incarnation,
		sentAt:        p.now,
		endpointAge:   p.now - endpoint.startTime,
		open:          true,
		mayHaveRun:    true,
		queueDepth:    endpoint.openAttempts,
		exposureLimit: p.canary.exposureOf(endpoint.Build).limit,
	})
	endpoint.chargeSlowStart()
	p.canary.chargeAttempt(request, endpoint.Build)
	p.send(endpoint, attemptSent{})
	p.emit(relay.SendAttempt{Request: request.ID, Endpoint: endpoint.id, SendBy: sendBy})
}
