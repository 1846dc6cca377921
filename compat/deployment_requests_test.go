package compat_test

const (
	trafficDuration   = 22 * second // from the start of the session; no requests after it
	requestsPerSecond = 14          // to each instance
	overloadFactor    = 4           // multiple of requestsPerSecond during an overload
	unknownClass      = 99          // not in the settings
	maxAttempts       = 3           // per request
)

// Outcomes of attempts and results of votes, as on the wire.
const (
	outcomeSucceeded        = 0
	outcomeError            = 5
	outcomeRejected         = 11
	outcomeConnectionBroken = 104
	outcomeTimedOut         = 110
	outcomeConnectFailed    = 111
	outcomeNotSent          = 114
	outcomeCancelled        = 125
)

// failedOutcomes are the outcomes from which that of a failed attempt is drawn. Those that occur more often are repeated.
var failedOutcomes = [...]byte{outcomeError, outcomeRejected, outcomeConnectFailed, outcomeConnectionBroken, outcomeError, outcomeTimedOut, outcomeError}

// attempt is an attempt that an instance sent to an endpoint.
type attempt struct {
	endpoint address
	sentAt   uint64
	ended    bool
}

// clientRequest is a client's request to one instance. Times are in nanoseconds.
type clientRequest struct {
	instance uint16
	id       uint32
	class    int
	deadline uint64
	ended    bool // answered, or the client has disconnected
	attempts []attempt
}

// addRequests adds a client's request to an instance and schedules the next one, until trafficDuration is over.
func (d *deployment) addRequests(instance *hostedInstance) {
	if d.now > clockStart+trafficDuration {
		return
	}
	if instance.running {
		d.addRequest(instance)
	}
	rate := uint64(requestsPerSecond)
	if d.isOverloaded() {
		rate *= overloadFactor
	}
	d.after(d.random.Uint64N(2*second/rate), func() { d.addRequests(instance) })
}

// isOverloaded reports whether clients currently send more than the endpoints can serve.
func (d *deployment) isOverloaded() bool {
	return d.scenario.overload && d.now > clockStart+8*second && d.now < clockStart+14*second
}

// addRequest adds a client's request to an instance and schedules its deadline. Some clients disconnect before the deadline.
func (d *deployment) addRequest(instance *hostedInstance) {
	class := d.random.IntN(classCount)
	request := &clientRequest{instance: instance.pipeNumber(), id: d.nextID, class: class, deadline: d.now + deadlines[class]}
	d.nextID += 1 + d.random.Uint32N(5)
	if d.random.IntN(4) == 0 {
		request.deadline = d.now + d.random.Uint64N(deadlines[class]) // a client that has already waited
	}
	flags := []byte{0, 1, 1, 3, 5, 4}[d.random.IntN(6)]
	wireClass := uint16(class)
	if d.random.IntN(200) == 0 {
		wireClass = unknownClass
	}
	d.requests[request.id] = request
	d.addEvent(instanceEvent(eventRequest, instance.pipeNumber()).u32(request.id).u64(request.deadline).u64(d.random.Uint64N(40 * millisecond)).u8(flags).
		u64(d.random.Uint64N(40)).u32(d.random.Uint32N(4)).u16(wireClass))
	incarnation := instance.incarnation
	delay := request.deadline - d.now
	d.after(delay, func() { d.expireRequest(instance, incarnation, request) })
	if d.random.IntN(25) == 0 {
		d.after(delay/2, func() { d.addClientDisconnected(instance, incarnation, request) })
	}
}

// expireRequest ends the attempts of a request that are in flight at its deadline. If the instance does not answer the request
// soon after, its client disconnects.
func (d *deployment) expireRequest(instance *hostedInstance, incarnation int, request *clientRequest) {
	if !instance.isRunning(incarnation) {
		return
	}
	for n := range request.attempts {
		d.addAttemptEnded(instance, incarnation, request, n, outcomeTimedOut)
	}
	d.after(20*millisecond, func() { d.addClientDisconnected(instance, incarnation, request) })
}

// addClientDisconnected adds the event that a client has disconnected, unless its request has ended.
func (d *deployment) addClientDisconnected(instance *hostedInstance, incarnation int, request *clientRequest) {
	if !instance.isRunning(incarnation) || request.ended {
		return
	}
	request.ended = true
	d.addEvent(instanceEvent(eventClientDisconnected, instance.pipeNumber()).u32(request.id))
}

// addAttemptEnded adds the event that an attempt has ended, unless it was added before.
func (d *deployment) addAttemptEnded(instance *hostedInstance, incarnation int, request *clientRequest, n int, outcome byte) {
	a := &request.attempts[n]
	if !instance.isRunning(incarnation) || a.ended {
		return
	}
	a.ended = true
	if outcome == outcomeSucceeded {
		request.ended = true
	}
	ended := byte(0)
	if request.ended {
		ended = 1
	}
	var report []float32
	if d.scenario.reports == "inline" && outcome == outcomeSucceeded {
		report = []float32{float32(d.random.IntN(90)), float32(d.random.IntN(9))}
	}
	d.addEvent(instanceEvent(eventAttemptEnded, instance.pipeNumber()).u32(request.id).u8(byte(n)).address(a.endpoint).u8(outcome).u64(d.now - a.sentAt).u8(ended).report(report))
}

// simulateAttempt carries out the command to send a request to an endpoint, and schedules the events of the attempt.
func (d *deployment) simulateAttempt(instance *hostedInstance, c command) {
	request := d.requests[c.u32()]
	if request == nil || request.instance != instance.pipeNumber() {
		d.t.Fatalf("instance %d sent an attempt of a request that it does not have:%s", c.instance, c.line())
	}
	endpoint := d.findEndpoint(address(c.rest[4:10]))
	timeout, n, incarnation := c.u64(10), len(request.attempts), instance.incarnation
	endAfter := func(delay uint64, outcome byte) {
		d.after(delay, func() { d.addAttemptEnded(instance, incarnation, request, n, outcome) })
	}
	request.attempts = append(request.attempts, attempt{endpoint: endpoint.address, sentAt: d.now})
	if request.ended || d.now >= request.deadline || n >= maxAttempts {
		endAfter(0, outcomeNotSent)
		return
	}
	if timeout > 0 {
		endAfter(timeout, outcomeTimedOut)
	}
	duration, outcome := d.drawAttempt(endpoint)
	if request.class == classStreamed && outcome != outcomeRejected && outcome != outcomeConnectFailed {
		d.after(duration/2, func() { d.addStreamStarted(instance, incarnation, request, n) })
	}
	if outcome != outcomeTimedOut { // otherwise the attempt ends at its timeout, or at the request's deadline
		endAfter(duration, outcome)
	}
}

// drawAttempt draws the duration and the outcome of an attempt at an endpoint.
func (d *deployment) drawAttempt(endpoint *listedEndpoint) (duration uint64, outcome byte) {
	duration = 8*millisecond + d.random.Uint64N(60*millisecond)
	if d.isOverloaded() {
		duration += d.random.Uint64N(1500 * millisecond)
	}
	failureRate := d.scenario.failureRate
	if d.scenario.badBuild && endpoint.build == newBuild {
		failureRate = 0.5
	}
	outcome = outcomeSucceeded
	if d.random.Float64() < failureRate || endpoint.state == stateGone {
		outcome = failedOutcomes[d.random.IntN(len(failedOutcomes))]
	}
	if d.scenario.overload && d.random.IntN(30) == 0 {
		outcome = outcomeRejected
	}
	return duration, outcome
}

// addStreamStarted adds the event that the response to an attempt has started, unless the attempt or the request has ended.
func (d *deployment) addStreamStarted(instance *hostedInstance, incarnation int, request *clientRequest, n int) {
	a := request.attempts[n]
	if !instance.isRunning(incarnation) || a.ended || request.ended {
		return
	}
	d.addEvent(instanceEvent(eventStreamStarted, instance.pipeNumber()).u32(request.id).u8(byte(n)).address(a.endpoint).u64(d.now - a.sentAt))
}
