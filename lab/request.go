package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Parameters of the simulated requests. Times are in seconds.
const (
	requestsPerEndpoint = 8.0    // requests per second and endpoint of a fleet, on an ordinary day
	crossSiteDelay      = 0.001  // one way between sites
	sameSiteDelay       = 0.0003 // one way within a site
	timeoutMargin       = 1e-4   // an attempt times out this long before its timeout or the deadline, whichever is earlier
	dropRequestDelay    = 1.0    // from a request's end until its record is dropped: commands may still refer to it
)

// simulatedRequest is a relay's record of one client request.
type simulatedRequest struct {
	relay.Request
	relay        *simulatedRelay
	group        plan.GroupIndex // the group of its tenant
	work         float64         // s of processing on a core of speed 1
	arrivedAt    float64
	objectiveAt  float64 // latest answer that meets its latency objective
	deadlineAt   float64
	failuresLeft int // number of attempts that are still to fail, as given by a trace
	attempts     []*attempt
	ended        bool
}

// attempt is one attempt to send a request to an endpoint.
type attempt struct {
	request  *simulatedRequest
	number   relay.AttemptNumber
	endpoint *endpoint // nil: its record was dropped before the attempt was sent
	sentAt   float64
	delay    float64 // s, one way between relay and endpoint
	ended    bool
	ran      bool // the endpoint accepted it, so it may have had its effect
}

// startRandomRequest starts a random client request, whose class is drawn by the classes' shares.
func (r *simulatedRelay) startRandomRequest() {
	index, draw := 0, r.random.Float64()
	for index < len(requestClasses)-1 && draw > requestClasses[index].share {
		draw -= requestClasses[index].share
		index++
	}
	class := &requestClasses[index]
	tenant := r.random.Intn(len(r.fleet.simulation.tenants()))
	r.startRequest(index, tenant, uniform(r.random, class.work[0], class.work[1]), 0)
}

// startRequest starts a request. The first attempts that endpoints process fail; failures is their number.
func (r *simulatedRelay) startRequest(classIndex, tenant int, work float64, failures int) {
	s, class := r.fleet.simulation, &requestClasses[classIndex]
	r.lastID++
	request := &simulatedRequest{
		relay:        r,
		group:        s.plan.GroupOf(s.tenants()[tenant]),
		work:         work,
		arrivedAt:    s.now,
		objectiveAt:  s.now + class.objective,
		deadlineAt:   s.now + class.deadline*uniform(r.random, 0.6, 1),
		failuresLeft: failures,
	}
	request.Request = relay.Request{
		ID:       r.lastID,
		Deadline: request.deadlineAt - r.startedAt,
		Work:     work * uniform(r.random, 0.8, 1.25), // an estimate
		HasWork:  true,
		Class:    relay.RequestClass(classIndex),
		Tenant:   relay.Tenant(tenant),
	}
	r.requests[request.ID] = request
	s.counters.requests++
	s.counters.weightOffered += request.weight()
	s.checker.requestArrived(request)
	if s.tally != nil {
		s.tally.RequestArrived(request.countedRequest(), r.fleet.busyFraction())
	}
	s.runAt(request.deadlineAt, r.whileRunning(func() { r.deadlinePassed(request) }))
	r.step(request.Request)
}

// deadlinePassed ends a request without an answer: its client disconnects.
func (r *simulatedRelay) deadlinePassed(request *simulatedRequest) {
	if request.ended {
		return
	}
	s := r.fleet.simulation
	s.checker.requestUnanswered(request)
	request.ended = true
	s.counters.disconnected++
	if s.tally != nil {
		s.tally.RequestEnded(request.countedRequest(), s.now, RequestUnanswered)
	}
	r.step(relay.ClientDisconnected{Request: request.ID})
}

func (q *simulatedRequest) weight() float64 { return requestClasses[q.Class].priorityWeight * q.work }

// countedRequest returns the request in the form that a tally counts.
func (q *simulatedRequest) countedRequest() CountedRequest {
	return CountedRequest{At: q.arrivedAt, Class: int(q.Class), Tenant: int(q.Tenant), Work: q.work}
}

// sendAttempt executes the module's command to send an attempt.
func (r *simulatedRelay) sendAttempt(command relay.SendAttempt) {
	s, request := r.fleet.simulation, r.requests[command.Request]
	if request == nil {
		return
	}
	sent := &attempt{
		request:  request,
		number:   relay.AttemptNumber(len(request.attempts)),
		endpoint: r.fleet.endpointByID(command.Endpoint),
		sentAt:   s.now,
		delay:    sameSiteDelay,
	}
	request.attempts = append(request.attempts, sent)
	if request.ended {
		s.runAfter(0, func() { sent.end(relay.NotSent) })
		return
	}
	if sent.endpoint == nil {
		s.runAfter(0, func() { sent.end(relay.ConnectFailed) })
		return
	}
	if sent.endpoint.site != r.site {
		sent.delay = crossSiteDelay
		s.counters.crossSiteAttempts++
	}
	s.counters.attempts++
	s.checker.checkAttempt(sent)
	s.runAfter(sent.delay, func() { sent.endpoint.receive(sent) })
	timeoutAt := request.deadlineAt
	if command.Timeout > 0 {
		timeoutAt = math.Min(timeoutAt, s.now+command.Timeout)
	}
	s.runAt(timeoutAt-timeoutMargin, func() { sent.end(relay.TimedOut) })
}

func (f *fleet) endpointByID(id relay.EndpointID) *endpoint {
	for _, candidate := range f.endpoints {
		if candidate.id == id {
			return candidate
		}
	}
	return nil
}

func (r *simulatedRelay) cancelAttempt(command relay.CancelAttempt) {
	request := r.requests[command.Request]
	if request == nil || int(command.Attempt) >= len(request.attempts) {
		return
	}
	cancelled := request.attempts[command.Attempt]
	r.fleet.simulation.runAfter(0, func() { cancelled.end(relay.Cancelled) })
}

// end ends an attempt and reports its outcome to the module. Only the first call for an attempt has an effect.
func (a *attempt) end(outcome relay.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	request, sender := a.request, a.request.relay
	s := sender.fleet.simulation
	if a.lostToBadBuild(outcome) {
		s.counters.weightLostToBadBuilds += request.weight()
	}
	if !sender.alive || sender.requests[request.ID] != request {
		return
	}
	if outcome == relay.Succeeded && !request.ended {
		sender.requestEnded(request, RequestSucceeded)
	}
	sender.step(relay.AttemptEnded{
		Request:         request.ID,
		Attempt:         a.number,
		Endpoint:        a.endpointID(),
		Outcome:         outcome,
		Duration:        s.now - a.sentAt,
		RequestFinished: request.ended,
	})
	sender.dropIfDone(request)
}

// lostToBadBuild reports whether a bad build may be why the attempt did not succeed within the latency objective.
func (a *attempt) lostToBadBuild(outcome relay.Outcome) bool {
	if a.endpoint == nil || a.endpoint.fleet.builds[a.endpoint.build].isGood() {
		return false
	}
	if outcome == relay.Succeeded {
		return a.endpoint.fleet.simulation.now > a.request.objectiveAt
	}
	return !outcome.NeverRan() && outcome != relay.Cancelled
}

func (a *attempt) endpointID() relay.EndpointID {
	if a.endpoint == nil {
		return 0
	}
	return a.endpoint.id
}

// endRequest executes the module's command to end a request.
func (r *simulatedRelay) endRequest(id relay.RequestID, outcome RequestOutcome) {
	if request := r.requests[id]; request != nil {
		r.requestEnded(request, outcome)
		r.dropIfDone(request)
	}
}

// requestEnded checks and counts the answer to a request. Only the first answer is counted.
func (r *simulatedRelay) requestEnded(request *simulatedRequest, outcome RequestOutcome) {
	s := r.fleet.simulation
	s.checker.checkOutcome(request, outcome)
	if request.ended {
		return
	}
	request.ended = true
	if s.tally != nil {
		s.tally.RequestEnded(request.countedRequest(), s.now, outcome)
	}
	switch outcome {
	case RequestSucceeded:
		s.counters.succeeded++
		if s.now <= request.objectiveAt {
			s.counters.weightServed += request.weight()
		}
	case RequestRejected:
		s.counters.rejected++
	default:
		s.counters.failed++
	}
}

// dropIfDone drops, a little later, the record of a request that has ended together with all its attempts.
func (r *simulatedRelay) dropIfDone(request *simulatedRequest) {
	if !request.ended {
		return
	}
	for _, sent := range request.attempts {
		if !sent.ended {
			return
		}
	}
	r.fleet.simulation.runAfter(dropRequestDelay, func() {
		if r.requests[request.ID] == request {
			delete(r.requests, request.ID)
		}
	})
}
