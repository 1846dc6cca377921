package policy

import (
	"iter"
	"math"

	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// seconds before its deadline at which a request without an open attempt gets its final answer: just
	// over one tick
	deadlineMargin = 0.06
	// seconds per bucket of attempts and requests
	trafficBucketTime = 0.5
	// a window of 2 s: long enough for a relay with little traffic, short enough to show a loss of capacity
	trafficBuckets = 4

	// weight of one attempt in the mean of duration over objective: about ten attempts show an overload
	objectiveUsageSmoothing = 0.1
)

// trackedAttempt is one attempt of a request. Zone, failure domain, build and age are those of the
// endpoint when the attempt was sent.
type trackedAttempt struct {
	endpoint      *trackedEndpoint
	zone          relay.Zone
	failureDomain relay.FailureDomain
	build         relay.Build
	incarnation   int // of the endpoint
	sentAt        relay.Seconds
	endpointAge   relay.Seconds
	open          bool
	mayHaveRun    bool    // while it is open, and then unless its outcome proves that it never ran
	queueDepth    int     // this relay's other open attempts at the endpoint when it was sent
	exposureLimit float64 // that of the build when it was sent
	revoked       bool    // to be cancelled if its last byte was not written
}

// trackedRequest is a request that this relay has received.
type trackedRequest struct {
	relay.Request
	class       *classState
	arrivedAt   relay.Seconds
	objectiveAt relay.Seconds // end of its latency objective
	attempts    []trackedAttempt
	finished    bool // has its final answer, or needs none
	late        bool // had no answer by objectiveAt
	streaming   bool // the client is reading the answer of an attempt, so there is nothing left to decide
}

// openAttempts iterates over the attempts that have not ended.
func (r *trackedRequest) openAttempts() iter.Seq2[relay.AttemptNumber, *trackedAttempt] {
	return func(yield func(relay.AttemptNumber, *trackedAttempt) bool) {
		for i := range r.attempts {
			if attempt := &r.attempts[i]; attempt.open && !yield(relay.AttemptNumber(i), attempt) {
				return
			}
		}
	}
}

func (r *trackedRequest) openCount() (n int) {
	for range r.openAttempts() {
		n++
	}
	return n
}

func (r *trackedRequest) mayHaveRun() bool {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return true
		}
	}
	return false
}

func (r *trackedRequest) hasTried(endpoint *trackedEndpoint) bool {
	for i := range r.attempts {
		if r.attempts[i].endpoint == endpoint {
			return true
		}
	}
	return false
}

// expectedWork is the request's expected work. Requests without a hint use the latency objective of their
// class.
func (r *trackedRequest) expectedWork() relay.Seconds {
	if r.HasWork && r.Work > 0 {
		return r.Work
	}
	return math.Max(r.class.objective, minDuration)
}

// dedupDeadline is the time by which a retry with an idempotency key must be written to its last byte, so
// that it arrives within the dedup window; 0: no such time.
func (r *trackedRequest) dedupDeadline() relay.Seconds {
	for i := range r.attempts {
		if r.class.idempotency == relay.IdempotencyKeyed && r.attempts[i].mayHaveRun {
			return r.attempts[i].sentAt + r.class.dedupWindow
		}
	}
	return 0
}

// clientMayRetry reports whether a retry by the client has no second effect, so that the request may be
// rejected.
func (r *trackedRequest) clientMayRetry() bool {
	return r.class.idempotency == relay.Idempotent || !r.mayHaveRun() ||
		r.class.idempotency == relay.IdempotencyKeyed && r.class.dedupScope == relay.DedupAll
}

// Columns of the router's window of connection attempts.
const (
	connectsTried = iota
	connectsFailed
	connectColumns
)

// router accepts requests, sends their attempts and gives final answers.
type router struct {
	p               *Policy
	requests        map[relay.RequestID]*trackedRequest
	openRequests    []*trackedRequest // unanswered or with open attempts, by time of arrival
	openOnTime      int               // unanswered requests that are not past their latency objective
	attemptDuration window.Mean
	objectiveUsage  window.Mean    // running mean of attempt duration over latency objective
	connects        window.Sliding // ended attempts, and those that got no connection
	successes       window.Sliding // attempts that succeeded
	// 1: attempts take a small fraction of their objective; 0: a large fraction, or too few samples yet
	headroom               float64
	usableFraction         float64 // usable fraction of the ready endpoints (readyCounts), times headroom
	successRatePerEndpoint float64 // successes per second, divided by the number of ready endpoints
}

func newRouter(p *Policy) router {
	return router{
		p:         p,
		requests:  map[relay.RequestID]*trackedRequest{},
		successes: window.NewSliding(trafficBucketTime, trafficBuckets, 1),
		connects:  window.NewSliding(trafficBucketTime, connectBuckets, connectColumns),
	}
}

// requestArrived routes a new request, rejects it in an overload, or fails it if its class is unknown.
func (r *router) requestArrived(event relay.Request) {
	if r.requests[event.ID] != nil {
		return
	}
	if event.Class < 0 || int(event.Class) >= len(r.p.classes) {
		r.p.emit(relay.Fail{Request: event.ID})
		return
	}
	class := &r.p.classes[event.Class]
	maxObjective := math.Max(class.deadline, class.objective)
	objective := math.Min(class.objective+class.objectivePerWork*event.Work, maxObjective)
	request := &trackedRequest{
		Request:     event,
		class:       class,
		arrivedAt:   r.p.now,
		objectiveAt: r.p.now + objective,
	}
	r.requests[event.ID] = request
	r.openRequests = append(r.openRequests, request)
	r.openOnTime++
	r.p.canary.requestArrived(request)
	if r.p.admission.rejects(request) || r.p.endpoints.leaseExpired() {
		r.rejectOrFail(request)
		return
	}
	r.route(request)
}

// attemptEnded handles the end of an attempt, and retries the request where that is permitted.
func (r *router) attemptEnded(event relay.AttemptEnded) {
	request := r.requests[event.Request]
	if request == nil || event.Attempt < 0 || int(event.Attempt) >= len(request.attempts) {
		return
	}
	attempt := &request.attempts[event.Attempt]
	if !attempt.open {
		return
	}
	attempt.open = false
	attempt.mayHaveRun = !event.Outcome.NeverRan()
	r.publishOutcome(request, attempt, event)
	fleetFull := event.Outcome == relay.RejectedByEndpoint &&
		float64(r.openOnTime) > fleetFullFraction*r.p.admission.limit()
	switch {
	case event.RequestFinished:
		r.finish(request)
	case request.finished || request.openCount() > 0:
	case fleetFull:
		// more attempts would only add to the overload
		r.rejectOrFail(request)
	default:
		r.route(request)
	}
}

// publishOutcome tells the other components how an attempt ended.
func (r *router) publishOutcome(request *trackedRequest, attempt *trackedAttempt, event relay.AttemptEnded) {
	ended := attemptOutcome{
		class:     request.Class,
		attempt:   *attempt,
		outcome:   event.Outcome,
		duration:  event.Duration,
		work:      request.expectedWork(),
		objective: request.objectiveAt - request.arrivedAt,
	}
	r.p.send(attempt.endpoint, ended)
	r.p.send(&r.p.admission, ended)
	if event.Outcome == relay.Succeeded {
		r.attemptDuration.Add(event.Duration, fleetRatioSmoothing)
		r.successes.Add(r.p.now, 0, 1)
		r.p.canary.requestAnswered(request, attempt.build)
	}
}

func (r *router) streamStarted(event relay.StreamStarted) {
	if request := r.requests[event.Request]; request != nil {
		request.streaming = true
		r.finish(request)
	}
}

func (r *router) clientDisconnected(event relay.ClientDisconnected) {
	if request := r.requests[event.Request]; request != nil {
		r.finish(request)
	}
}

// finish marks a request as finished. It cancels the open attempts, unless the settings forbid that or the
// client is reading the answer of one.
func (r *router) finish(request *trackedRequest) {
	if !request.finished && !request.late {
		r.openOnTime--
	}
	request.finished = true
	if !r.p.settings.Limits.CancelAttempts || request.streaming {
		return
	}
	for number := range request.openAttempts() {
		r.p.emit(relay.CancelAttempt{Request: request.ID, Attempt: number})
	}
}

// rejectOrFail gives the final answer of a request that does not succeed: a rejection where a retry by
// the client has no second effect, otherwise a failure.
func (r *router) rejectOrFail(request *trackedRequest) {
	if request.finished {
		return
	}
	limits := &r.p.settings.Limits
	switch {
	case !request.clientMayRetry():
		r.p.emit(relay.Fail{Request: request.ID})
	case limits.RetryAfter:
		r.p.emit(relay.Reject{Request: request.ID, RetryAfter: limits.MaxRetryAfter})
	default:
		r.p.emit(relay.Reject{Request: request.ID})
	}
	r.finish(request)
}

// tick retries requests that wait for an endpoint, ends those that are out of time and drops finished
// ones.
func (r *router) tick() {
	r.updateTrafficStats()
	remaining := r.openRequests[:0]
	for _, request := range r.openRequests {
		if !request.finished && !request.late && r.p.now > request.objectiveAt {
			r.markLate(request)
		}
		if !request.finished && request.openCount() == 0 {
			r.route(request)
		}
		if request.finished && request.openCount() == 0 {
			delete(r.requests, request.ID)
			continue
		}
		remaining = append(remaining, request)
	}
	clear(r.openRequests[len(remaining):])
	r.openRequests = remaining
}

// updateTrafficStats recomputes headroom, usableFraction and successRatePerEndpoint from recent traffic.
func (r *router) updateTrafficStats() {
	ready := r.p.endpoints.countReady()
	r.headroom = 0
	if r.objectiveUsage.Samples >= minRatioSamples {
		r.headroom = math.Min(math.Max(2-2*r.objectiveUsage.Value/maxObjectiveUsage, 0), 1)
	}
	// Without headroom, as in an overload or before there are samples, no attempt goes ahead of the
	// slow-start budget.
	r.usableFraction = ready.usable / math.Max(ready.total, 1) * r.headroom
	r.successRatePerEndpoint = r.successes.Total(r.p.now, 0) /
		(trafficBucketTime * trafficBuckets) / math.Max(ready.total, 1)
}

// markLate takes a request that missed its latency objective out of the count that admission limits, so
// that attempts which an endpoint never answers don't use the limit up.
func (r *router) markLate(request *trackedRequest) {
	request.late = true
	r.openOnTime--
	for _, attempt := range request.openAttempts() {
		r.p.send(attempt.endpoint, objectiveMissed{})
	}
}

func (r *router) countConnect(connected bool) {
	r.connects.Add(r.p.now, connectsTried, 1)
	if !connected {
		r.connects.Add(r.p.now, connectsFailed, 1)
	}
}
