package discovery

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/policy"
	"lichenroad/relay"
)

// The files drain_*_test.go simulate one relay in virtual time. The decision module and the poll schedule are the real
// ones; the discovery service is simulated. Endpoints drain, watches stall, polls fail, the service has an outage and
// changes its address, and connections are established late. A separate check verifies that no new requests are sent to
// draining endpoints. It uses its own implementation of the rule of the relay protocol on when a relay counts as notified of
// a change.

// disabledSafeguards selects the safeguards that a simulation disables, to show that the check detects the violations.
type disabledSafeguards struct {
	lateStallDetection  bool // a stalled watch is abandoned only 2 s after its wait, and retried like after any failure
	keepWaitingAttempts bool // attempts that wait for a connection to an endpoint are not ended when it drains
	noPushedWatch       bool // the client does not poll for pushed lists
	stopAfterMove       bool // the end of the watch at the old address ends the polls at the new one
}

// Parameters of a simulation, in seconds unless stated otherwise.
const (
	simulationLength = 60.0
	simulationStep   = 0.005
	requestRate      = 20   // per second
	drainSlack       = 0.05 // tolerance of the check
	endpointCount    = 12   // number of endpoints
)

// drainSimulation simulates one relay, its discovery service and its endpoints.
type drainSimulation struct {
	*rand.Rand
	now            relay.Seconds
	pushed         bool
	grace          relay.Seconds
	pollInterval   relay.Seconds // how long a relay without a watch may use its list after a poll
	connectTimeout relay.Seconds
	disabled       disabledSafeguards

	// The discovery service, in drain_discovery_test.go.
	version    int
	endpoints  []relay.Endpoint
	changedIn  []int           // version of the list in which each endpoint last changed
	leftAt     []relay.Seconds // when each endpoint last stopped being ready; 0: it is ready
	notifiedAt []relay.Seconds // when the relay counts as notified that the endpoint left
	stallAt    relay.Seconds
	downAt     relay.Seconds
	upAt       relay.Seconds
	moveAt     relay.Seconds

	// The relay's discovery client.
	schedule             *pollSchedule
	poll                 *simulatedPoll // nil: none
	previousSchedule     *pollSchedule  // schedule of the previous address; nil: the address has not changed
	previousPoll         *simulatedPoll // poll of the watch at the previous address; nil: none
	newAddressAnsweredAt relay.Seconds  // when the new address sent its first list; 0: not yet
	nextPollAt           relay.Seconds  // when the next poll starts; never: on a command
	lastPollAt           relay.Seconds  // when the last poll started
	lastPollFailed       bool
	watchedAt            relay.Seconds // when a poll was last waiting

	// The relay's decision module and its requests.
	module       *policy.Policy
	events       []relay.Event // events not yet passed to the module
	timers       []relay.SetTimer
	lastRequest  relay.RequestID
	attempts     []*simulatedAttempt
	attemptsOf   map[relay.RequestID]relay.AttemptNumber
	sentAttempts int
	violation    string // the first violation found
}

// simulatedPoll is a poll and the times of its events. Events that will not occur have the time never.
type simulatedPoll struct {
	poll
	startedAt    relay.Seconds
	answeredAt   relay.Seconds // when the service sends the answer
	arrivesAt    relay.Seconds // when the answer arrives at the relay
	failsAt      relay.Seconds
	afterVersion int
	stalled      bool
	list         List
}

// simulatedAttempt is an attempt to send a request to an endpoint.
type simulatedAttempt struct {
	command     relay.SendAttempt
	number      relay.AttemptNumber
	connectedAt relay.Seconds
	endsAt      relay.Seconds
	sent        bool
}

func never() relay.Seconds { return math.Inf(1) }

func newDrainSimulation(seed int64, pushed bool, disabled disabledSafeguards) *drainSimulation {
	random := rand.New(rand.NewSource(seed))
	d := &drainSimulation{
		Rand:       random,
		pushed:     pushed,
		disabled:   disabled,
		nextPollAt: never(),
		changedIn:  make([]int, endpointCount),
		leftAt:     make([]relay.Seconds, endpointCount),
		notifiedAt: make([]relay.Seconds, endpointCount),
		attemptsOf: map[relay.RequestID]relay.AttemptNumber{},
	}
	d.grace = []float64{0.25, 1, 2}[random.Intn(3)]
	d.connectTimeout = []float64{0.25, 1}[random.Intn(2)]
	d.pollInterval = []float64{1, 4, 10}[random.Intn(3)]
	d.stallAt = 2 + 40*random.Float64()
	d.downAt = 2 + 40*random.Float64()
	d.upAt = d.downAt + 8*random.Float64()
	if d.moveAt = 5 + 50*random.Float64(); d.moveAt > d.downAt-2 && d.moveAt < d.upAt+2 {
		d.moveAt = d.upAt + 2
	}
	for i := range endpointCount {
		d.endpoints = append(d.endpoints, relay.Endpoint{ID: relay.EndpointID(i + 1), Build: 1, Weight: 1, State: relay.Ready})
	}
	d.startRelay(seed)
	return d
}

// startRelay starts the relay with the initial list cached.
func (d *drainSimulation) startRelay(seed int64) {
	d.module = policy.New(relay.Settings{
		Relays:        1,
		ListOnRequest: !d.pushed,
		Classes:       []relay.ClassSettings{{LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1}},
		Rules: relay.Rules{DrainGrace: d.grace, PollInterval: d.pollInterval, OverloadMultiple: 2.5, OverloadWindow: 3,
			SlowStartFloor: 0.5},
		Limits: relay.Limits{MaxAttempts: 3, ConnectTimeout: d.connectTimeout, HedgedRequests: true},
	}, seed)
	settings := newPollSettings(d.pushed, d.grace)
	if d.disabled.lateStallDetection {
		settings.answerGrace = 2 * time.Second
	}
	d.schedule = newPollSchedule(seed, settings)
	d.schedule.generation = 0
	d.events = append(d.events,
		relay.ListUpdate{Kind: relay.ListCached, Endpoints: append([]relay.Endpoint(nil), d.endpoints...)},
		relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1})
	if d.pushed && !d.disabled.noPushedWatch {
		d.nextPollAt = 0
	}
}

// run runs the simulation and returns the first violation: an attempt to a draining endpoint after the drain grace. If
// there is none, it returns the empty string.
func (d *drainSimulation) run() string {
	for nextChange := 0.5; d.now < simulationLength; d.now += simulationStep {
		if d.now >= d.moveAt && d.previousSchedule == nil {
			d.changeAddress()
		}
		d.injectFaults(d.poll)
		d.injectFaults(d.previousPoll)
		if d.now >= nextChange {
			d.changeEndpoint()
			nextChange += d.Float64()
		}
		d.answer(d.poll)
		d.answer(d.previousPoll)
		d.notifyUnwatched()
		d.continueWatch()
		d.continuePreviousWatch()
		d.progressAttempts()
		if d.Float64() < requestRate*simulationStep {
			d.lastRequest++
			d.events = append(d.events, relay.Request{ID: d.lastRequest, Deadline: d.now + 2})
		}
		d.fireTimers()
		d.stepModule()
	}
	return d.violation
}

func (d *drainSimulation) fireTimers() {
	var pending []relay.SetTimer
	for _, timer := range d.timers {
		if d.now < timer.At {
			pending = append(pending, timer)
			continue
		}
		d.events = append(d.events, relay.TimerFired{ID: timer.ID})
	}
	d.timers = pending
}

// stepModule passes the new events to the decision module and carries out its commands.
func (d *drainSimulation) stepModule() {
	if len(d.events) == 0 {
		return
	}
	events := d.events
	d.events = nil
	for _, command := range d.module.Step(d.now, events) {
		switch command := command.(type) {
		case relay.SetTimer:
			d.timers = append(d.timers, command)
		case relay.Watch:
			d.commandWatch(command.On)
		case relay.SendAttempt:
			d.startAttempt(command)
		}
	}
}

func (d *drainSimulation) commandWatch(on bool) {
	if d.disabled.stopAfterMove && d.now > d.moveAt && d.previousPoll == nil {
		return
	}
	if d.poll == nil && d.nextPollAt == never() && on {
		d.nextPollAt = d.now
	}
}

// startPoll starts the next poll of the watch and decides whether the poll will fail.
func (d *drainSimulation) startPoll() {
	d.poll = d.newPoll(d.schedule)
	afterFailure := d.lastPollFailed
	d.nextPollAt, d.lastPollAt, d.lastPollFailed = never(), d.now, false
	if d.isDown() {
		d.poll.failsAt = d.now + 0.001
	} else if !d.pushed && !afterFailure && d.overloaded() {
		d.poll.failsAt = d.now + d.Float64()
	}
}

func (d *drainSimulation) newPoll(schedule *pollSchedule) *simulatedPoll {
	return &simulatedPoll{
		poll:         schedule.nextPoll(d.now),
		startedAt:    d.now,
		afterVersion: int(schedule.generation),
		answeredAt:   never(),
		arrivesAt:    never(),
		failsAt:      never(),
	}
}

// continueWatch simulates the client's handling of the watch.
func (d *drainSimulation) continueWatch() {
	if d.now >= d.nextPollAt {
		d.startPoll()
		return
	}
	switch poll := d.poll; {
	case poll == nil:
	case d.now >= poll.arrivesAt:
		if d.previousSchedule != nil && d.newAddressAnsweredAt == 0 {
			d.newAddressAnsweredAt = d.now
		}
		accepted := d.schedule.accept(poll.list, watchCommanded)
		if event := d.takeList(accepted.list, accepted.kind); accepted.notify {
			d.events = append(d.events, event)
		}
		d.startPoll()
	case d.now >= poll.failsAt, d.now >= poll.startedAt+poll.timeout.Seconds():
		d.pollFailed(d.now < poll.failsAt)
	}
}

func (d *drainSimulation) pollFailed(stalled bool) {
	d.poll, d.lastPollFailed = nil, !stalled
	retry, wait := d.schedule.pollFailed(stalled)
	switch {
	case retry:
		d.nextPollAt = d.now + wait.Seconds()
	case stalled && !d.disabled.lateStallDetection:
		d.events = append(d.events, relay.ListUpdate{Kind: relay.ListWatchStalled})
	default:
		d.events = append(d.events, relay.ListUpdate{Kind: relay.ListFetchFailed})
	}
}

// continuePreviousWatch continues the watch at the previous address.
func (d *drainSimulation) continuePreviousWatch() {
	poll := d.previousPoll
	if poll == nil {
		return
	}
	newAnswered := d.newAddressAnsweredAt > 0
	closed := newAnswered && d.now >= d.newAddressAnsweredAt+limits.AddressChangeOverlap.Seconds()
	if closed || d.now >= d.moveAt+1.5 || d.now >= poll.failsAt {
		d.previousPoll = nil
		return
	}
	if d.now < poll.arrivesAt {
		return
	}
	accepted := d.previousSchedule.accept(poll.list, watchCommanded)
	if newAnswered {
		accepted.list = accepted.list.leavingEndpoints()
	}
	d.events = append(d.events, d.takeList(accepted.list, accepted.kind))
	d.previousPoll = d.newPoll(d.previousSchedule)
}

// takeList handles a list as the client does: the connections to the endpoints are notified first.
func (d *drainSimulation) takeList(list List, kind relay.ListUpdateKind) relay.ListUpdate {
	update := relay.ListUpdate{Kind: kind}
	for _, endpoint := range list.Endpoints {
		update.Endpoints = append(update.Endpoints, endpoint.Endpoint)
		if endpoint.State != relay.Ready && !d.disabled.keepWaitingAttempts {
			d.endWaitingAttempts(endpoint.ID)
		}
	}
	return update
}

func (d *drainSimulation) startAttempt(command relay.SendAttempt) {
	attempt := &simulatedAttempt{
		command:     command,
		number:      d.attemptsOf[command.Request],
		connectedAt: d.now,
		endsAt:      d.now + d.connectTimeout,
	}
	d.attemptsOf[command.Request]++
	if d.Intn(3) == 0 {
		attempt.connectedAt = d.now + d.Float64() // a new connection, which may not be established in time
	}
	if attempt.connectedAt > attempt.endsAt {
		attempt.connectedAt = never()
	}
	d.attempts = append(d.attempts, attempt)
}

// endWaitingAttempts ends the attempts that wait for a connection to an endpoint, as the connection pool does when the
// endpoint leaves.
func (d *drainSimulation) endWaitingAttempts(id relay.EndpointID) {
	for _, attempt := range d.attempts {
		if attempt.command.Endpoint == id && !attempt.sent {
			attempt.connectedAt, attempt.endsAt = never(), d.now
		}
	}
}

// progressAttempts sends the attempts whose connections are established and ends those that have reached their end.
func (d *drainSimulation) progressAttempts() {
	open := d.attempts[:0]
	for _, attempt := range d.attempts {
		if !attempt.sent && d.now >= attempt.connectedAt {
			attempt.sent, attempt.endsAt = true, d.now+0.02+0.2*d.Float64()
			d.sentAttempts++
			d.checkAttempt(attempt)
		}
		if d.now < attempt.endsAt {
			open = append(open, attempt)
			continue
		}
		outcome := relay.Succeeded
		if !attempt.sent {
			outcome = relay.NotSent
		}
		d.events = append(d.events, relay.AttemptEnded{
			Request:         attempt.command.Request,
			Attempt:         attempt.number,
			Endpoint:        attempt.command.Endpoint,
			Outcome:         outcome,
			Duration:        0.1,
			RequestFinished: outcome == relay.Succeeded,
		})
	}
	d.attempts = open
}

// checkAttempt checks that an attempt is not sent to an endpoint after its drain grace, counted from the time at which the
// relay counts as notified of the drain.
func (d *drainSimulation) checkAttempt(attempt *simulatedAttempt) {
	i := int(attempt.command.Endpoint) - 1
	forbiddenFrom := d.notifiedAt[i] + d.grace + drainSlack
	if d.leftAt[i] == 0 || d.now <= forbiddenFrom || d.violation != "" {
		return
	}
	d.violation = fmt.Sprintf("at %.3f an attempt was sent to endpoint %d, which left at %.3f; notified by %.3f, drain grace %v",
		d.now, attempt.command.Endpoint, d.leftAt[i], d.notifiedAt[i], d.grace)
}
