package policy

import (
	"math"

	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// fraction of its latency objective that a request may spend open on average
	maxObjectiveUsage = 0.5
	// number of buckets that show the rate of a burst: the current one and the one before
	recentTrafficBuckets = 2
	// open requests added to the limit, so that one slow answer does not make a relay with little traffic
	// reject requests
	spareRequests = 4.0
	// fraction of the limit from which the class with the lowest priority is rejected; 1 for the highest
	lowestPriorityFraction = 0.8
	// factor on its class's fraction of the limit for a tenant above its traffic share
	overShareFraction = 0.9
	// multiple of its traffic share from which a tenant counts as above it
	overShareFactor = 1.15
	// fraction of the limit from which a request that a full endpoint rejected is not retried
	fleetFullFraction       = 0.8
	minTimeForAdmissionRate = trafficBucketTime * trafficBuckets
)

// admission rejects new requests while more requests are open than the recent rate of answers can serve
// in time. It covers every lack of capacity without looking for the cause: too much traffic, lost or slow
// endpoints, or expensive requests.
type admission struct {
	p                *Policy
	answered         window.Sliding // sums the latency objectives of answered requests
	requestsByTenant window.Sliding // one column for each tenant, and the last for all requests
}

func newAdmission(p *Policy) admission {
	return admission{
		p:                p,
		answered:         window.NewSliding(trafficBucketTime, trafficBuckets, 1),
		requestsByTenant: window.NewSliding(trafficBucketTime, trafficBuckets, len(p.settings.Tenants)+1),
	}
}

func (a *admission) receive(m message) {
	if ended, ok := m.(attemptOutcome); ok && ended.outcome == relay.Succeeded {
		a.answered.Add(a.p.now, 0, ended.objective)
	}
}

// admissionFraction is the fraction of the limit from which a class is rejected, by its priority weight.
func admissionFraction(weight, maxWeight float64) float64 {
	return lowestPriorityFraction + (1-lowestPriorityFraction)*weight/maxWeight
}

// limit is the number of requests that may be open. By Little's law that is the rate of answers times the
// time that a request may spend open.
func (a *admission) limit() float64 {
	if a.p.now < minTimeForAdmissionRate {
		return math.Inf(1) // there is no rate yet
	}
	rate := a.answered.Total(a.p.now, 0) / (trafficBucketTime * trafficBuckets)
	// After a quiet period the mean rate shows the demand, not the capacity; then the higher rate of the
	// recent buckets counts.
	recentTime := trafficBucketTime*(recentTrafficBuckets-1) + math.Mod(a.p.now, trafficBucketTime)
	recentRate := a.answered.Sum(a.p.now, 0, 0, recentTrafficBuckets) / recentTime
	return spareRequests + maxObjectiveUsage*math.Max(rate, recentRate)
}

// rejects counts a new request and reports whether to reject it.
func (a *admission) rejects(request *trackedRequest) bool {
	tenants := a.p.settings.Tenants
	allColumn, tenant := len(tenants), int(request.Tenant)
	a.requestsByTenant.Add(a.p.now, allColumn, 1)
	fraction := request.class.admissionFraction
	if tenant < len(tenants) {
		a.requestsByTenant.Add(a.p.now, tenant, 1)
		share := overShareFactor * tenants[tenant].TrafficShare
		if a.requestsByTenant.Total(a.p.now, tenant) > share*a.requestsByTenant.Total(a.p.now, allColumn) {
			// multiplied, so that priority still counts above the share: a burst mostly comes from one tenant
			fraction *= overShareFraction
		}
	}
	return float64(a.p.router.openOnTime) > fraction*a.limit()
}
