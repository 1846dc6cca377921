package discovery

import (
	"container/heap"
	"math"
	"math/rand"

	"lichenroad/membership"
	"lichenroad/policy"
	"lichenroad/relay"
)

// The files fleet_*_test.go simulate a whole fleet in virtual time with an overloaded discovery service: each relay is the
// real decision module, the real poll schedule and the real membership node, wired as Client and membershipHost wire them.
// The service is down for some seconds; at its return a third of the endpoints leave, and most relays die and start together
// with the list that they had cached. What counts as notified to a relay is kept by the simulated service, apart from all
// that is tested.

// Facts of the simulation, in seconds where nothing else is said.
const (
	fleetRelays    = 300
	fleetEndpoints = 60
	fleetGrace     = 0.25
	graceSlack     = 0.05 // of the check, for what is on its way

	discoveryRate   = 37.5 // polls per second: one of each relay in 8 s
	discoveryWait   = 2.0  // after which a poll that has not had its turn fails
	continuesFor    = 0.2  // after an answer, in which the next poll continues the watch
	maxNotifyDelay  = 6.0  // after which every relay counts as notified of a change
	requestInterval = 0.25 // between two requests of one relay
	messageLossRate = 0.02
	connectTimeout  = 0.25

	firstStarts = 8.5  // over which the relays start at first
	outageAt    = 17.0 // all of them have a watch by then
	returnAt    = 25.0
	killAt      = returnAt + 2
	restartAt   = killAt + 1.6
	fleetEnd    = restartAt + 16
	restarted   = fleetRelays * 7 / 10
	cutOff      = 10 // relays that live on and receive no messages of the others from the outage on
)

// fleetSafeguards are safeguards that a simulation does without, to show that the checks detect it.
type fleetSafeguards struct {
	noLease    bool // the decision module does not learn of the lease
	noMessages bool // relays send one another no messages
	fixedRetry bool // polls start at once at the start, and 1 to 2 s after each failure
}

// timedEvent is something that happens in the fleet at a time.
type timedEvent struct {
	dueAt    relay.Seconds
	sequence int // the order of events at one time
	run      func()
}

// eventHeap is a heap.Interface by the time of its events.
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

// fleet is all relays, their endpoints and their discovery service.
type fleet struct {
	*rand.Rand
	disabled  fleetSafeguards
	now       relay.Seconds
	events    eventHeap
	scheduled int
	discovery *fleetDiscovery
	relays    []*fleetRelay
	shuffled  []int // relays in random order: the first ones are restarted, the last ones cut off
	findings  fleetFindings
}

// fleetFindings is what the checks found.
type fleetFindings struct {
	violations        int // attempts to endpoints whose drain had been notified for longer than the grace
	firstViolation    string
	unrejected        int // requests to a relay without a lease that were not rejected at once
	rejected          int // those that were
	requests          int
	attempts          int
	noList            int           // restarted relays that never had the service's own list
	noLease           int           // or a lease
	maxLeaseDelaySeen relay.Seconds // the longest time from a restart to the lease
	maxListDelaySeen  relay.Seconds // and to the service's own list
	pollsBySecond     []int         // polls that do not continue a watch, by second
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

// run runs the simulation and returns what the checks found.
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

// killRelays ends most relays at one moment; they start together with the list that they had cached.
func (f *fleet) killRelays() {
	for _, i := range f.shuffled[:restarted] {
		r := f.relays[i]
		r.dead = true
		f.runAt(restartAt, func() { f.startRelay(i, r.schedule.generation, r.cachedList) })
	}
}

// startRelay starts the process of a relay.
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

// broadcast carries a message to all other relays that live when it arrives.
func (f *fleet) broadcast(from relay.ID, body []byte) {
	for place, id := range f.shuffled {
		isCutOff := f.now >= outageAt && place >= fleetRelays-cutOff
		if id == int(from) || isCutOff || f.Float64() < messageLossRate {
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

// recoverySeconds is how long after the restart the service last had more new polls in a second than it answers.
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
