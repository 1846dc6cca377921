package policy

import (
	"iter"
	"math"

	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// s before its deadline that a request without an attempt is answered: just over a tick
	deadlineMargin = 0.06
	// s a bucket of attempts and requests
	flowBucketTime = 0.5
	// 2 s, long enough for small relays, short enough for a loss
	flowBuckets = 4

	// weight of one attempt in the mean of attempt time over objective: ten tell an overload
	objectiveUsageStep = 0.1
)

// trackedAttempt is one attempt of a request. Zone, failure domain, build and age are the endpoint's when
// it was sent.
type trackedAttempt struct {
	endpoint      *trackedEndpoint
	zone          relay.Zone
	failureDomain relay.FailureDomain
	build         relay.Build
	sentAt        relay.Seconds
	endpointAge   relay.Seconds
	open          bool
	mayHaveRun    bool // it is open, or ended without proof that it never ran
	queueDepth    int  // own attempts that the endpoint held when it was sent
}

// trackedRequest is one request that this relay has taken.
type trackedRequest struct {
	relay.Request
	class       *classState
	arrivedAt   relay.Seconds
	objectiveAt relay.Seconds // when its latency objective ends
	attempts    []trackedAttempt
	finished    bool // has its final answer, or needs none
	late        bool // was open past objectiveAt
	streaming   bool // the client reads an attempt's answer: nothing more to decide
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

// expectedWork is the request's expected work; without a hint, its latency objective stands in as a common
// yardstick.
func (r *trackedRequest) expectedWork() relay.Seconds {
	if r.HasWork && r.Work > 0 {
		return r.Work
	}
	return math.Max(r.class.objective, minDuration)
}

// dedupDeadline is when a retry with an idempotency key must have been written to its last byte; 0: no such
// time.
func (r *trackedRequest) dedupDeadline() relay.Seconds {
	for i := range r.attempts {
		if r.class.idempotency == relay.IdempotencyKeyed && r.attempts[i].mayHaveRun {
			return r.attempts[i].sentAt + r.class.dedupWindow
		}
	}
	return 0
}

// retryIsHarmless says that the client may send the request again after a rejection.
func (r *trackedRequest) retryIsHarmless() bool {
	return r.class.idempotency == relay.Idempotent || !r.mayHaveRun() ||
		r.class.idempotency == relay.IdempotencyKeyed && r.class.dedupScope == relay.DedupAll
}

// The columns of the router's window of connects.
const (
	connectsTried = iota
	connectsFailed
	connectColumns
)

// router takes requests, sends attempts and gives final answers.
type router struct {
	p               *Policy
	requests        map[relay.RequestID]*trackedRequest
	openRequests    []*trackedRequest // those with an answer owed or attempts open, in order of arrival
	openInTime      int               // of these, with an answer owed that may still be in time
	attemptDuration window.Mean
	objectiveUsage  window.Mean    // attempt time over latency objective, of late
	connects        window.Sliding // attempts ended, and those of them without a connection
	successes       window.Sliding // attempts that succeeded
	// 1: attempts take a small part of their objective; 0: a large one, or not known yet
	headroom       float64
	usableFraction float64 // part of the ready endpoints that are past their slow start and may be used
	evenRate       float64 // successes a second for each ready endpoint, if all got the same
}

func newRouter(p *Policy) router {
	return router{
		p:         p,
		requests:  map[relay.RequestID]*trackedRequest{},
		successes: window.NewSliding(flowBucketTime, flowBuckets, 1),
		connects:  window.NewSliding(flowBucketTime, connectBuckets, connectColumns),
	}
}

// requestArrived takes a new request: it is routed, rejected, or failed where its class is unknown.
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
	r.openInTime++
	r.p.canary.requestArrived(request)
	if r.p.admission.rejects(request) || r.p.endpoints.leaseExpired() {
		r.giveUp(request)
		return
	}
	r.route(request)
}

// attemptEnded takes the end of an attempt, and sends the request again where it may be.
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
		float64(r.openInTime) > fleetFullFraction*r.p.admission.limit()
	switch {
	case event.RequestFinished:
		r.finish(request)
	case request.finished || request.openCount() > 0:
	case fleetFull:
		r.giveUp(request) // more attempts would only feed the overload
	default:
		r.route(request)
	}
}

// publishOutcome tells the other parts how an attempt ended.
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
		r.attemptDuration.Add(event.Duration, fleetRatioStep)
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

// finish ends a request and its attempts.
func (r *router) finish(request *trackedRequest) {
	if !request.finished && !request.late {
		r.openInTime--
	}
	request.finished = true
	if !r.p.settings.Limits.CancelAttempts || request.streaming {
		return
	}
	for number := range request.openAttempts() {
		r.p.emit(relay.CancelAttempt{Request: request.ID, Attempt: number})
	}
}

// giveUp gives all final answers but a successful attempt's: a rejection where a retry is harmless.
func (r *router) giveUp(request *trackedRequest) {
	if request.finished {
		return
	}
	limits := &r.p.settings.Limits
	switch {
	case !request.retryIsHarmless():
		r.p.emit(relay.Fail{Request: request.ID})
	case limits.RetryAfter:
		r.p.emit(relay.Reject{Request: request.ID, RetryAfter: limits.MaxRetryAfter})
	default:
		r.p.emit(relay.Reject{Request: request.ID})
	}
	r.finish(request)
}

// tick looks at the open requests: those that are held, and those past their objective or near their
// deadline.
func (r *router) tick() {
	r.updateLoad()
	left := r.openRequests[:0]
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
		left = append(left, request)
	}
	clear(r.openRequests[len(left):])
	r.openRequests = left
}

// updateLoad renews what the relay's recent traffic says of the fleet.
func (r *router) updateLoad() {
	ready := r.p.endpoints.countReady()
	r.headroom = 0
	if r.objectiveUsage.Samples >= minRatioSamples {
		r.headroom = math.Min(math.Max(2-2*r.objectiveUsage.Value/maxObjectiveUsage, 0), 1)
	}
	// In an overload, or while nothing is known, only the budget of the slow start holds.
	r.usableFraction = ready.usable / math.Max(ready.all, 1) * r.headroom
	r.evenRate = r.successes.Total(r.p.now, 0) / (flowBucketTime * flowBuckets) / math.Max(ready.all, 1)
}

// markLate takes a request that is too late to be worth a place in the admission limit: attempts that an
// endpoint never answers must not use it up.
func (r *router) markLate(request *trackedRequest) {
	request.late = true
	r.openInTime--
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
