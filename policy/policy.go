package policy

import (
	"math"
	"math/rand"
	"slices"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

const (
	// s between two ticks, which look at open requests and votes: small beside any latency objective
	tickInterval = 0.05
	tickTimer    = relay.TimerID(1)
)

// never is a time that does not come.
const never = relay.Seconds(math.MaxFloat64)

// Policy is the decision module of one relay.
type Policy struct {
	settings relay.Settings
	classes  []classState
	random   *rand.Rand
	now      relay.Seconds
	mailbox  []envelope
	commands []relay.Command // of the present Step

	started    bool
	endpoints  endpointList
	latency    latencyRatios
	router     router
	admission  admission
	canary     canary
	aggregator aggregator
}

// classState is what the module needs of a class's settings.
type classState struct {
	idempotency       relay.Idempotency
	dedupScope        relay.DedupScope
	dedupWindow       relay.Seconds
	objective         relay.Seconds
	objectivePerWork  float64
	deadline          relay.Seconds
	admissionFraction float64 // part of the admission limit from which the class is rejected
}

// New returns the module of one relay, ready for its first Step. Chance follows from the seed.
func New(settings relay.Settings, seed int64) *Policy {
	p := &Policy{settings: settings, random: rand.New(rand.NewSource(seed))}
	p.classes = newClasses(settings.Classes)
	p.endpoints = newEndpointList(p)
	p.latency = latencyRatios{p: p}
	p.router = newRouter(p)
	p.admission = newAdmission(p)
	p.canary = newCanary(p)
	p.aggregator = newAggregator(p)
	// Relays that start together would all judge and report at the same moments, once a second.
	p.canary.nextJudgeAt = judgeInterval * p.random.Float64()
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

// Step takes what has happened up to now, and returns what to do about it. The slice is good until the next
// Step. A time before the last Step's counts as that one.
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
	// All of a batch has happened by now: what it says of endpoints and builds holds for its requests too.
	for _, event := range events {
		p.stateChanged(event)
		p.deliver()
	}
	ticked := false
	for _, event := range events {
		if _, fired := event.(relay.TimerFired); fired {
			ticked = true
			continue
		}
		p.trafficArrived(event)
		p.deliver()
	}
	if ticked {
		p.setTick()
		p.tick()
		p.deliver()
	}
	return p.commands
}

// stateChanged takes an event about endpoints and builds; it ignores all others.
func (p *Policy) stateChanged(event relay.Event) {
	switch event := event.(type) {
	case relay.ListUpdate:
		p.endpoints.listUpdated(event)
	case relay.ListLease:
		p.endpoints.leaseExpiresAt = event.ExpiresAt
	case relay.DiscoveryRecovered:
		p.endpoints.discoveryRecovered()
	case relay.RolloutStatus:
		p.canary.statusReceived(event)
		p.aggregator.replyReceived(event.Reply)
	case relay.CanaryScope:
		p.canary.setScope(event)
	}
}

// trafficArrived takes an event about requests, or a message of another relay; it ignores all others.
func (p *Policy) trafficArrived(event relay.Event) {
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

// messageReceived passes a relay's message on. A malformed one is dropped.
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

// tick is what each part does at regular times. The messages that it leads to are delivered behind it.
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
