package policy

import "lichenroad/relay"

const (
	// failure estimate of an outlier where a request is not sent again after an error
	strictOutlierThreshold = 0.1
	// part of the endpoints below which the healthy ones can't carry the load alone
	minHealthyFraction = 0.3
	// times an outlier's cost up to which a healthy one is taken then: three attempts, one success
	outlierCostFactor = 3.0
	// times the earlier endpoint's cost up to which the canary's is taken: its ratio is unknown
	canaryCostFactor = 1.5
	// 6 s of attempts that tell how many connects fail: a few attempts of a small relay
	connectBuckets = 12
	// of attempts without a connection from which endpoints with an open one come first
	maxConnectFailures = 0.1
	// s after its last answer that an endpoint's connection counts as open
	connectionLife = 8.0
)

// route sends a request that has no open attempt, holds it while it is in time and may be sent, or gives it
// up at once.
func (r *router) route(request *trackedRequest) {
	inTime := r.p.now < request.objectiveAt && r.p.now < request.Deadline-deadlineMargin
	if endpoint := r.pickEndpoint(request); endpoint != nil && inTime {
		r.sendAttempt(request, endpoint)
		return
	}
	if !inTime || r.p.endpoints.leaseExpired() || !r.mayRetry(request) {
		r.giveUp(request)
	}
}

// mayRetry says that the request may have one more attempt at some endpoint.
func (r *router) mayRetry(request *trackedRequest) bool {
	if len(request.attempts) >= r.p.settings.Limits.MaxAttempts {
		return false
	}
	return request.class.idempotency != relay.AtMostOnce || !request.mayHaveRun()
}

// pickEndpoint chooses the endpoint of a request's next attempt, one of the build on trial only while its
// share lasts; nil if none is eligible.
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

// endpointPools are endpoints that a request has not tried yet, by how healthy they look.
type endpointPools struct {
	healthy     []*trackedEndpoint
	unconnected []*trackedEndpoint // healthy ones without an open connection, while connects fail
	outliers    []*trackedEndpoint
}

// bestOf is the cheaper of two random choices among the endpoints that look healthy; among all, where none
// does. While connects fail, endpoints that hold a connection come first, whatever makes new ones dear or
// rare.
func (r *router) bestOf(request *trackedRequest, endpoints []*trackedEndpoint) *trackedEndpoint {
	pools := r.poolsOf(request, endpoints)
	if r.overflows(request, &pools) {
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
	connectsFail := r.connectsFail()
	for _, endpoint := range endpoints {
		switch {
		case request.hasTried(endpoint):
		case endpoint.failureEstimate() >= threshold:
			pools.outliers = append(pools.outliers, endpoint)
		case connectsFail && !endpoint.hasConnection():
			pools.unconnected = append(pools.unconnected, endpoint)
		default:
			pools.healthy = append(pools.healthy, endpoint)
		}
	}
	return pools
}

// connectsFail says that more than a few attempts got no connection of late.
func (r *router) connectsFail() bool {
	failed := r.connects.Total(r.p.now, connectsFailed)
	return failed > 1 && failed > maxConnectFailures*r.connects.Total(r.p.now, connectsTried)
}

// hasConnection says that the endpoint probably has an open connection.
func (e *trackedEndpoint) hasConnection() bool {
	idleTooLong := e.openAttempts == 0 && e.p.now-e.lastAnswerAt > connectionLife
	return e.connected && !idleTooLong
}

// overflows says that the few healthy endpoints can't carry everything, as most fail at once: outliers take
// what would wait there for long, of requests that may be sent again.
func (r *router) overflows(request *trackedRequest, pools *endpointPools) bool {
	healthy, outliers := float64(len(pools.healthy)), float64(len(pools.outliers))
	fewHealthy := healthy > 0 && healthy < minHealthyFraction*(healthy+outliers)
	return fewHealthy && request.class.idempotency != relay.AtMostOnce
}

// twoRandomChoices is the cheaper of two random choices.
func (r *router) twoRandomChoices(pool []*trackedEndpoint) *trackedEndpoint {
	first := r.weightedChoice(pool)
	if second := r.weightedChoice(pool); second.cost() < first.cost() {
		return second
	}
	return first
}

// weightedChoice is a random choice in proportion to what each endpoint is able to do.
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

// eligible is the guard that every attempt passes: rules 2 to 5.
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
	return !endpoint.withheld() && r.p.canary.permits(request, endpoint.Build)
}

// retryIsSafe says that an attempt at the endpoint has no second effect, though an earlier attempt may have
// run.
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

// sharesDedup says that the endpoint knows the idempotency keys that an attempt has used.
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

// sendAttempt is where every attempt goes out.
func (r *router) sendAttempt(request *trackedRequest, endpoint *trackedEndpoint) {
	p := r.p
	sendBy := request.dedupDeadline()
	// It waits for a connection no longer than the lease on the list lasts.
	if lease := p.endpoints.leaseExpiresAt; lease != never && (sendBy == 0 || lease < sendBy) {
		sendBy = lease
	}
	request.attempts = append(request.attempts, trackedAttempt{
		endpoint:      endpoint,
		zone:          endpoint.Zone,
		failureDomain: endpoint.FailureDomain,
		build:         endpoint.Build,
		sentAt:        p.now,
		endpointAge:   p.now - endpoint.startTime,
		open:          true,
		mayHaveRun:    true,
		queueDepth:    endpoint.openAttempts,
	})
	endpoint.chargeSlowStart()
	p.canary.chargeAttempt(request, endpoint.Build)
	p.send(endpoint, attemptSent{})
	p.emit(relay.SendAttempt{Request: request.ID, Endpoint: endpoint.id, SendBy: sendBy})
}

// cancelUnsent takes back the attempts at a build that have not been written yet.
func (r *router) cancelUnsent(build relay.Build) {
	for _, request := range r.openRequests {
		for number, attempt := range request.openAttempts() {
			if attempt.build == build {
				r.p.emit(relay.CancelUnsent{Request: request.ID, Attempt: number})
			}
		}
	}
}
