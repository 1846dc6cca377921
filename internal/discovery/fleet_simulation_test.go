package discovery

import (
	"container/heap"
	"math"
	"math/rand"

	"lichenroad/membership"
	"lichenroad/policy"
	"lichenroad/relay"
)

// The files fleet_*_test.go simulate a whole fleet in virtual time with an overloaded discovery service. Each relay
// consists of the real decision module, poll schedule and membership node, connected in the same way as by Client and
// membershipHost. The service has an outage of some seconds. When it comes back, a third of the endpoints leave. Shortly
// afterwards most relays are killed, and restarted together with the lists that they had cached. The simulated service
// records when each relay counts as notified of a change, independently of the code under test.

// Parameters of the simulation, in seconds unless stated otherwise.
const (
	fleetRelays    = 300  // number of relays
	fleetEndpoints = 60   // number of endpoints
	fleetGrace     = 0.25 // drain grace
	graceSlack     = 0.05 // tolerance of the check for attempts in transit

	discoveryRate   = 37.5 // new polls that discovery answers per second: one from each relay in 8 s
	discoveryWait   = 2.0  // time after which a poll that is still in the queue fails
	continuesFor    = 0.2  // time after an answer within which the next poll continues the watch
	maxNotifyDelay  = 6.0  // time from a change until every relay counts as notified of it
	requestInterval = 0.25 // between two requests to the same relay
	messageLossRate = 0.02 // fraction of messages that are lost
	connectTimeout  = 0.25

	firstStarts     = 8.5  // period over which the relays start initially
	outageAt        = 17.0 // by then all relays have a watch
	returnAt        = 25.0
	killAt          = returnAt + 2
	restartAt       = killAt + 1.6
	fleetEnd        = restartAt + 16
	restartedRelays = fleetRelays * 7 / 10 // number of relays that are restarted
	// partitionedRelays is the number of relays that are not restarted, but receive no messages from peers from the start of
	// the outage on.
	partitionedRelays = 10
)

// fleetSafeguards selects the safeguards that a simulation disables, to show that the checks detect the violations.
type fleetSafeguards struct {
	noLease    bool // the decision module is not notified of the lease
	noMessages bool // relays do not send messages to each other
	fixedRetry bool // the first poll starts at once, and failed polls are retried after 1 to 2 s
}

// timedEvent is a function that is due at a time.
type timedEvent struct {
	dueAt    relay.Seconds
	sequence int // orders events that are due at the same time
	run      func()
}

// eventHeap implements heap.Interface, ordered by time.
type eventHeap []timedEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}

// fleet simulates all relays, their endpoints and their discovery service.
type fleet struct {
	*rand.Rand
	disabled  fleetSafeguards
	now       relay.Seconds
	events    eventHeap
	scheduled int // number of events scheduled so far
	discovery *fleetDiscovery
	relays    []*fleetRelay
	shuffled  []int // relays in random order: the first are restarted, the last are partitioned
	findings  fleetFindings
}

// fleetFindings holds the results of the checks.
type fleetFindings struct {
	violations        int // attempts to draining endpoints after the drain grace
	firstViolation    string
	unrejected        int // requests to relays without a lease that were not rejected at once
	rejected          int // requests to relays without a lease that were rejected at once
	requests          int
	attempts          int
	noList            int           // restarted relays that never received the service's current list
	noLease           int           // restarted relays that never had a lease
	maxLeaseDelaySeen relay.Seconds // longest time from a restart to the first lease
	maxListDelaySeen  relay.Seconds // longest time from a restart to the service's current list
	pollsBySecond     []int         // number of polls in each second that do not continue a watch
}

func newFleet(seed int64, disabled fleetSafeguards) *fleet {
	f := &fleet{Rand: rand.New(rand.NewSource(seed)), disabled: disabled, relays: make([]*fleetRelay, fleetRelays)}
	f.findings.pollsBySecond = make([]int, int(math.Ceil(fleetEnd)))
	f.discovery, f.shuffled = newFleetDiscovery(f), f.Perm(fleetRelays)
	for i := range f.relays {
		f.runAt(firstStarts*float64(i)/fleetRelays, func() {
			f.startRelay(i, 0, append([]relay.Endpoint(nil), f.discovery.endpoints...))
		})
	}
	f.runAt(outageAt, f.discovery.goDown)
	f.runAt(returnAt, f.discovery.comeBack)
	f.runAt(killAt, f.killRelays)
	return f
}

func (f *fleet) runAt(at relay.Seconds, run func()) {
	f.scheduled++
	heap.Push(&f.events, timedEvent{math.Max(at, f.now), f.scheduled, run})
}

// run runs the simulation and returns the results of the checks.
func (f *fleet) run() fleetFindings {
	for len(f.events) > 0 && f.events[0].dueAt <= fleetEnd {
		next := heap.Pop(&f.events).(timedEvent)
		f.now = next.dueAt
		next.run()
	}
	for _, r := range f.relays {
		if r.startedAt < restartAt {
			continue
		}
		if !r.listed {
			f.findings.noList++
		}
		if r.leasedAt == 0 {
			f.findings.noLease++
		}
	}
	return f.findings
}

// killRelays kills most relays at the same time and schedules their common restart with the lists that they had cached.
func (f *fleet) killRelays() {
	for _, i := range f.shuffled[:restartedRelays] {
		r := f.relays[i]
		r.dead = true
		f.runAt(restartAt, func() { f.startRelay(i, r.schedule.generation, r.cachedList) })
	}
}

// startRelay starts a process of a relay with a cached list.
func (f *fleet) startRelay(id int, generation int64, cachedList []relay.Endpoint) {
	seed := f.Int63()
	settings := relay.Settings{
		Self:          relay.ID(id),
		Relays:        fleetRelays,
		ListOnRequest: true,
		Classes:       []relay.ClassSettings{{LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1}},
		Rules: relay.Rules{DrainGrace: fleetGrace, PollInterval: 30, OverloadMultiple: 2.5, OverloadWindow: 3,
			SlowStartFloor: 0.5},
		Limits: relay.Limits{MaxAttempts: 3, ConnectTimeout: connectTimeout, HedgedRequests: true, RetryAfter: true,
			MaxRetryAfter: 1},
	}
	node := membership.New(membership.Settings{
		Self:         settings.Self,
		Relays:       fleetRelays,
		PeerMessages: !f.disabled.noMessages,
		PollInterval: settings.Rules.PollInterval,
		Epoch:        1e9,
	}, seed)
	r := &fleetRelay{
		fleet:      f,
		id:         id,
		startedAt:  f.now,
		module:     policy.New(settings, seed),
		schedule:   newPollSchedule(seed, newPollSettings(false, fleetGrace)),
		node:       node,
		timerAt:    membership.Never,
		lease:      noLease,
		cachedList: cachedList,
		attemptsOf: map[relay.RequestID]relay.AttemptNumber{},
	}
	r.schedule.generation = generation
	f.relays[id] = r
	r.addEvents(relay.ListUpdate{Kind: relay.ListCached, Endpoints: cachedList})
	r.stepMembership(membership.CachedList{List: membership.List{Generation: generation, Full: true, Endpoints: cachedList}})
	if f.disabled.fixedRetry {
		r.startWatch()
	}
	r.flush()
	r.runAt(f.now+requestInterval*f.Float64(), r.sendRequest)
}

// broadcast delivers a message to all other relays that are alive when it arrives.
func (f *fleet) broadcast(from relay.ID, body []byte) {
	for position, id := range f.shuffled {
		isPartitioned := f.now >= outageAt && position >= fleetRelays-partitionedRelays
		if id == int(from) || isPartitioned || f.Float64() < messageLossRate {
			continue
		}
		f.runAt(f.now+0.001+0.038*f.Float64(), func() {
			if r := f.relays[id]; r != nil && !r.dead {
				r.stepMembership(membership.MessageReceived{From: from, Body: body})
				r.flush()
			}
		})
	}
}

// recoverySeconds returns the time from the restart until the rate of new polls finally stays below the rate that the
// service can answer.
func (f fleetFindings) recoverySeconds() int {
	first := int(math.Floor(restartAt))
	last := first
	for second, polls := range f.pollsBySecond {
		if second >= first && float64(polls) >= discoveryRate {
			last = second + 1
		}
	}
	return last - first
}
