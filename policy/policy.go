package policy

import (
	"math"
	"math/rand"
	"slices"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

const (
	// seconds between two ticks, in which open requests and votes are checked: short compared with any
	// latency objective
	tickInterval = 0.05
	tickTimer    = relay.TimerID(1)
	leaseTimer   = relay.TimerID(2) // at the end of a lease on the endpoint list that was shortened
)

// never is a time later than any other.
const never = relay.Seconds(math.MaxFloat64)

// Policy is the decision module of one relay.
type Policy struct {
	settings relay.Settings
	classes  []classState
	random   *rand.Rand
	now      relay.Seconds
	mailbox  []envelope
	commands []relay.Command // result of the current Step

	started bool
	// the conditions under which open attempts were sent may not hold any more
	conditionsChanged bool
	endpoints         endpointList
	latency           latencyRatios
	router            router
	admission         admission
	canary            canary
	aggregator        aggregator
}

// classState holds the settings of a request class that the module uses.
type classState struct {
	idempotency       relay.Idempotency
	dedupScope        relay.DedupScope
	dedupWindow       relay.Seconds
	objective         relay.Seconds
	objectivePerWork  float64
	deadline          relay.Seconds
	admissionFraction float64 // fraction of the admission limit from which the class is rejected
}

// New returns the module of one relay, ready for its first Step. Its random numbers depend only on the
// seed.
func New(settings relay.Settings, seed int64) *Policy {
	p := &Policy{settings: settings, random: rand.New(rand.NewSource(seed))}
	p.classes = newClasses(settings.Classes)
	p.endpoints = newEndpointList(p)
	p.latency = latencyRatios{p: p}
	p.router = newRouter(p)
	p.admission = newAdmission(p)
	p.canary = newCanary(p)
	p.aggregator = newAggregator(p)
	// Random offsets, since relays that start together would otherwise evaluate and report at the same
	// times.
	p.canary.nextEvaluationAt = evaluationInterval * p.random.Float64()
	p.canary.reportedAt = -verdictInterval * p.random.Float64()
	return p
}

func newClasses(settings []relay.ClassSettings) (classes []classState) {
	maxWeight := 1e-9
	for _, class := range settings {
		maxWeight = math.Max(maxWeight, class.PriorityWeight)
	}
	for _, class := range settings {
		classes = append(classes, classState{
			idempotency:       class.Idempotency,
			dedupScope:        class.DedupScope,
			dedupWindow:       class.DedupWindow,
			objective:         class.LatencyObjective,
			objectivePerWork:  class.ObjectivePerWork,
			deadline:          class.Deadline,
			admissionFraction: admissionFraction(class.PriorityWeight, maxWeight),
		})
	}
	return classes
}

// Step applies the events up to now and returns the commands to carry out. The slice is valid until the
// next Step. A time before that of the last Step counts as that time.
func (p *Policy) Step(now relay.Seconds, events []relay.Event) []relay.Command {
	p.now = math.Max(now, p.now)
	p.commands = p.commands[:0]
	if !p.started {
		p.started = true
		p.setTick()
		if p.settings.ListOnRequest {
			p.endpoints.start(slices.ContainsFunc(events, isLease))
		}
	}
	// All events of a batch have happened, so changes of endpoints and builds apply before the batch's
	// requests.
	for _, event := range events {
		p.handleStateEvent(event)
		p.deliver()
	}
	ticked := false
	for _, event := range events {
		if timer, fired := event.(relay.TimerFired); fired {
			leaseEnded := timer.ID == leaseTimer
			p.conditionsChanged = p.conditionsChanged || leaseEnded
			ticked = ticked || !leaseEnded
			continue
		}
		p.handleTrafficEvent(event)
		p.deliver()
	}
	if ticked {
		p.setTick()
		p.tick()
		p.deliver()
	}
	if p.conditionsChanged {
		p.conditionsChanged = false
		p.router.revokeAttempts()
	}
	return p.commands
}

// handleStateEvent handles an event about endpoints or builds; it ignores all others.
func (p *Policy) handleStateEvent(event relay.Event) {
	switch event := event.(type) {
	case relay.ListUpdate:
		p.endpoints.listUpdated(event)
	case relay.ListLease:
		p.endpoints.leaseChanged(event.ExpiresAt)
	case relay.DiscoveryRecovered:
		p.endpoints.discoveryRecovered()
		return
	case relay.RolloutStatus:
		p.canary.statusReceived(event)
		p.aggregator.replyReceived(event.Reply)
	case relay.CanaryScope:
		p.canary.setScope(event)
	default:
		return
	}
	p.conditionsChanged = true
}

// handleTrafficEvent handles an event about requests or a message of another relay; it ignores all
// others.
func (p *Policy) handleTrafficEvent(event relay.Event) {
	switch event := event.(type) {
	case relay.MessageReceived:
		p.messageReceived(event)
	case relay.Request:
		p.router.requestArrived(event)
	case relay.AttemptEnded:
		p.router.attemptEnded(event)
	case relay.StreamStarted:
		p.router.streamStarted(event)
	case relay.ClientDisconnected:
		p.router.clientDisconnected(event)
	}
}

// messageReceived handles a message of another relay. A malformed one is dropped.
func (p *Policy) messageReceived(event relay.MessageReceived) {
	decoded, err := peerwire.Decode(event.Body)
	if err != nil {
		return
	}
	switch decoded := decoded.(type) {
	case peerwire.Report:
		p.aggregator.reportReceived(event.From, decoded)
	case peerwire.Decision:
		p.aggregator.decisionReceived(event.From, decoded)
	}
}

// tick runs the regular work of each component. Messages that it sends are delivered afterwards.
func (p *Policy) tick() {
	p.endpoints.tick()
	p.canary.tick()
	p.aggregator.tick()
	p.router.tick()
}

func (p *Policy) setTick() { p.emit(relay.SetTimer{ID: tickTimer, At: p.now + tickInterval}) }

func (p *Policy) emit(command relay.Command) { p.commands = append(p.commands, command) }

func isLease(event relay.Event) bool {
	_, lease := event.(relay.ListLease)
	return lease
}
