package compat_test

const (
	lastIngress       = 22 * second
	requestsPerSecond = 14 // to each instance
	overloadFactor    = 4
	unknownClass      = 99
	maxAttempts       = 3 // of a request
)

// Outcomes of attempts and verdicts on votes, as on the wire.
const (
	outcomeOK            = 0
	outcomeError         = 5
	outcomeFull          = 11
	outcomeReset         = 104
	outcomeTimeout       = 110
	outcomeConnectFailed = 111
	outcomeNotSent       = 114
	outcomeCanceled      = 125
)

// failures are the outcomes from which that of a failed attempt is drawn.
var failures = [...]byte{outcomeError, outcomeFull, outcomeConnectFailed, outcomeReset, outcomeError, outcomeTimeout, outcomeError}

// attempt is one time that an instance sent a request.
type attempt struct {
	endpoint address
	at       uint64
	ended    bool
}

// clientRequest is a request of a client at one instance. Times are nanoseconds.
type clientRequest struct {
	instance uint16
	id       uint32
	class    int
	deadline uint64
	ended    bool // for the client
	attempts []attempt
}

// addRequests adds a client's request for an instance, and schedules the next one.
func (d *deployment) addRequests(instance *hostedInstance) {
	if d.now > clockStart+lastIngress {
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

// isOverloaded reports whether clients send more now than the endpoints can take.
func (d *deployment) isOverloaded() bool {
	return d.scenario.overload && d.now > clockStart+8*second && d.now < clockStart+14*second
}

// addRequest adds a client's request for an instance, and schedules its deadline; some clients leave before that.
func (d *deployment) addRequest(instance *hostedInstance) {
	class := d.random.IntN(classCount)
	request := &clientRequest{instance: instance.onPipe(), id: d.nextID, class: class, deadline: d.now + deadlines[class]}
	d.nextID += 1 + d.random.Uint32N(5)
	if d.random.IntN(4) == 0 {
		request.deadline = d.now + d.random.Uint64N(deadlines[class]) // a client that has waited already
	}
	bits := []byte{0, 1, 1, 3, 5, 4}[d.random.IntN(6)]
	wireClass := uint16(class)
	if d.random.IntN(200) == 0 {
		wireClass = unknownClass
	}
	d.requests[request.id] = request
	d.addEvent(eventFor(eventIngress, instance.onPipe()).u32(request.id).u64(request.deadline).u64(d.random.Uint64N(40 * millisecond)).u8(bits).
		u64(d.random.Uint64N(40)).u32(d.random.Uint32N(4)).u16(wireClass))
	incarnation := instance.incarnation
	wait := request.deadline - d.now
	d.after(wait, func() { d.endAttempts(instance, incarnation, request) })
	if d.random.IntN(25) == 0 {
		d.after(wait/2, func() { d.addDropped(instance, incarnation, request) })
	}
}

// endAttempts ends the attempts of a request that are in flight at its deadline. If nobody answers it, its client leaves.
func (d *deployment) endAttempts(instance *hostedInstance, incarnation int, request *clientRequest) {
	if !instance.isIn(incarnation) {
		return
	}
	for n := range request.attempts {
		d.addFinished(instance, incarnation, request, n, outcomeTimeout)
	}
	d.after(20*millisecond, func() { d.addDropped(instance, incarnation, request) })
}

// addDropped adds that the client has left, unless its request has ended.
func (d *deployment) addDropped(instance *hostedInstance, incarnation int, request *clientRequest) {
	if !instance.isIn(incarnation) || request.ended {
		return
	}
	request.ended = true
	d.addEvent(eventFor(eventDropped, instance.onPipe()).u32(request.id))
}

// addFinished adds how an attempt ended, unless that was added before.
func (d *deployment) addFinished(instance *hostedInstance, incarnation int, request *clientRequest, n int, outcome byte) {
	a := &request.attempts[n]
	if !instance.isIn(incarnation) || a.ended {
		return
	}
	a.ended = true
	if outcome == outcomeOK {
		request.ended = true
	}
	ended := byte(0)
	if request.ended {
		ended = 1
	}
	var report []float32
	if d.scenario.reports == "inline" && outcome == outcomeOK {
		report = []float32{float32(d.random.IntN(90)), float32(d.random.IntN(9))}
	}
	d.addEvent(eventFor(eventFinished, instance.onPipe()).u32(request.id).u8(byte(n)).address(a.endpoint).u8(outcome).u64(d.now - a.at).u8(ended).report(report))
}

// playAttempt sends a request to an endpoint and schedules what becomes of it.
func (d *deployment) playAttempt(instance *hostedInstance, a action) {
	request := d.requests[a.u32()]
	if request == nil || request.instance != instance.onPipe() {
		d.t.Fatalf("a send of a request that instance %d does not have:%s", a.instance, a.line())
	}
	endpoint := d.find(address(a.rest[4:10]))
	timeout, n, incarnation := a.u64(10), len(request.attempts), instance.incarnation
	finishAfter := func(wait uint64, outcome byte) {
		d.after(wait, func() { d.addFinished(instance, incarnation, request, n, outcome) })
	}
	request.attempts = append(request.attempts, attempt{endpoint: endpoint.address, at: d.now})
	if request.ended || d.now >= request.deadline || n >= maxAttempts {
		finishAfter(0, outcomeNotSent)
		return
	}
	if timeout > 0 {
		finishAfter(timeout, outcomeTimeout)
	}
	duration, outcome := d.drawAttempt(endpoint)
	if request.class == classStreamed && outcome != outcomeFull && outcome != outcomeConnectFailed {
		d.after(duration/2, func() { d.addStreaming(instance, incarnation, request, n) })
	}
	if outcome != outcomeTimeout { // that one comes at the timeout
		finishAfter(duration, outcome)
	}
}

// drawAttempt draws how long an attempt at an endpoint takes and how it ends.
func (d *deployment) drawAttempt(endpoint *listedEndpoint) (duration uint64, outcome byte) {
	duration = 8*millisecond + d.random.Uint64N(60*millisecond)
	if d.isOverloaded() {
		duration += d.random.Uint64N(1500 * millisecond)
	}
	failureRate := d.scenario.failures
	if d.scenario.badBuild && endpoint.build == newBuild {
		failureRate = 0.5
	}
	outcome = outcomeOK
	if d.random.Float64() < failureRate || endpoint.state == stateGone {
		outcome = failures[d.random.IntN(len(failures))]
	}
	if d.scenario.overload && d.random.IntN(30) == 0 {
		outcome = outcomeFull
	}
	return duration, outcome
}

// addStreaming adds that an attempt's response began, unless the attempt or the request has ended.
func (d *deployment) addStreaming(instance *hostedInstance, incarnation int, request *clientRequest, n int) {
	a := request.attempts[n]
	if !instance.isIn(incarnation) || a.ended || request.ended {
		return
	}
	d.addEvent(eventFor(eventStreaming, instance.onPipe()).u32(request.id).u8(byte(n)).address(a.endpoint).u64(d.now - a.at))
}
