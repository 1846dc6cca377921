package membership

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/relay"
)

// The rule that the checker of histories holds the nodes to: a process that left discovery's list more than bindsAfter
// seconds of discovery's up-time ago is wanted by no relay whose lease holds.
const bindsAfter = 6.0

const (
	historySeconds        = 40
	stalledFraction       = 0.05 // of discovery's answers that are lost
	maxLossWhileRejecting = 0.1  // of messages, at most, while discovery refuses calls
)

type (
	// history is a drawn course of things, and the seed of the small ones: delays, losses.
	history struct {
		nodes          int
		discoveryFault discoveryFault
		loss           float64
		seed           int64
		actions        []simulationAction
	}
	simulationAction struct {
		at     relay.Seconds
		kind   historyKind
		node   int
		amount int
	}
	historyKind int

	// trouble is what discovery does in a history, beside going down and coming back. A lease on the word of failed calls
	// assumes that these fail at all relays, or that a relay hears of an answer to another one in time; histories keep
	// that assumption, so not all faults come together.
	discoveryFault int
)

const (
	noDiscoveryFault discoveryFault = iota
	// refusing: calls of some relays are refused, never those of all. The others are answered, nobody is cut off, and at
	// most maxLossWhileRejecting is lost.
	rejectsPolls
	// restarting: generations are counted anew, from 1. No call to it falls silent: a relay that holds the list of before
	// can't tell from its peers' generations that theirs is the later one.
	renumbersGenerations
)

const (
	endpointsChange historyKind = iota
	discoveryDown
	discoveryUp
	discoveryRenumbers
	pollsRejected
	pollsAccepted
	nodeRestarts
	nodePartitioned
	nodeHealed
	historyKinds
)

// histories draws histories.
func histories() *rapid.Generator[history] {
	return rapid.Custom(func(t *rapid.T) history {
		h := history{
			nodes:          rapid.IntRange(3, 8).Draw(t, "nodes"),
			discoveryFault: rapid.SampledFrom([]discoveryFault{noDiscoveryFault, rejectsPolls, renumbersGenerations}).Draw(t, "trouble"),
			loss:           rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss"),
			seed:           rapid.Int64().Draw(t, "seed"),
		}
		if h.discoveryFault == rejectsPolls {
			h.loss = min(h.loss, maxLossWhileRejecting)
		}
		for at := 1.0; at < historySeconds-8; at += rapid.Float64Range(0.05, 3).Draw(t, "gap") {
			h.actions = append(h.actions, simulationAction{
				at:     at,
				kind:   historyKind(rapid.IntRange(0, int(historyKinds)-1).Draw(t, "kind")),
				node:   rapid.IntRange(0, h.nodes-1).Draw(t, "node"),
				amount: rapid.IntRange(1, 60).Draw(t, "amount"),
			})
		}
		return h
	})
}

// mutant changes what a node sees or is believed to have said, as if a defence were missing. Nil fields change nothing.
type mutant struct {
	rewriteEvent func(n *Node, event Event) Event // the event that the node is to see in place of this one
	rewriteLease func(lease relay.Seconds) relay.Seconds
	firstSeed    int // the history to start the search at, not far before the first that shows it
}

// process is one life of a unit.
type endpointProcess struct {
	endpoint relay.EndpointID
	number   int
}

// simulation is discovery, the network, the hosts of the nodes and the true course of the list.
type simulation struct {
	history
	mutant
	random     *rand.Rand
	now        relay.Seconds
	events     busEvents
	order      int
	violation  error
	leasesHeld int // looks of the checker at a node whose lease held

	up          bool
	upAt        relay.Seconds // when it last came up
	upBefore    relay.Seconds // up-time before that
	incarnation int           // of its count of generations
	generation  int64
	ready       map[relay.EndpointID]int
	changed     map[relay.EndpointID]int64 // generation of each unit's last change
	processes   int
	leftAt      map[endpointProcess]relay.Seconds // in up-time
	rejected    map[int]bool
	partitioned map[int]bool // from all peers
	isolated    map[int]bool // from discovery too

	relays []*simulatedRelay
}

// simulatedRelay is one relay around its node: its list, its calls and what it keeps for its next start.
type simulatedRelay struct {
	*Node
	number         int
	timerAt        relay.Seconds
	leaseExpiresAt relay.Seconds
	listed         map[relay.EndpointID]int
	generation     int64
	incarnation    int
	stored         *simulatedRelay // list, generation and incarnation as kept for the next start
	polls          int             // begun
	pollStartedAt  relay.Seconds
	pollWait       relay.Seconds
	watchHeld      bool // discovery holds the call
	stopped        bool
}

// play plays a history and returns the first fault that the checker found.
func simulate(h history, m mutant) (*simulation, error) {
	w := &simulation{history: h, mutant: m, random: rand.New(rand.NewSource(h.seed)), up: true, generation: 1,
		ready: map[relay.EndpointID]int{}, changed: map[relay.EndpointID]int64{}, leftAt: map[endpointProcess]relay.Seconds{},
		rejected: map[int]bool{}, partitioned: map[int]bool{}, isolated: map[int]bool{}}
	w.join(100)
	for i := range h.nodes {
		w.relays = append(w.relays, &simulatedRelay{number: i})
		w.startRelay(i, nil)
	}
	for _, a := range h.actions {
		w.after(a.at, func() { w.applyAction(a) })
	}
	for at := 0.0; at < historySeconds; at += 0.05 {
		w.after(at, w.check)
	}
	for len(w.events) > 0 && w.events[0].at < historySeconds && w.violation == nil {
		event := heap.Pop(&w.events).(busEvent)
		w.now = event.at
		event.action()
	}
	return w, w.violation
}

// after has an action done in a time.
func (w *simulation) after(wait relay.Seconds, action func()) {
	w.order++
	heap.Push(&w.events, busEvent{at: w.now + wait, order: w.order, action: action})
}

// between draws a time.
func (w *simulation) uniform(lowerBound, upperBound relay.Seconds) relay.Seconds {
	return lowerBound + (upperBound-lowerBound)*w.random.Float64()
}

func (w *simulation) upTime() relay.Seconds {
	if w.up {
		return w.upBefore + w.now - w.upAt
	}
	return w.upBefore
}

func (w *simulation) applyAction(a simulationAction) {
	switch a.kind {
	case endpointsChange:
		w.change(a.amount)
	case discoveryDown:
		w.stopDiscovery()
	case discoveryUp:
		w.startDiscovery()
	case discoveryRenumbers:
		if w.discoveryFault == renumbersGenerations && w.up {
			w.stopDiscovery()
			w.incarnation++
			w.generation = 1
			clear(w.changed)
			w.after(w.uniform(0.1, 3), w.startDiscovery)
		}
	case pollsRejected:
		if w.discoveryFault == rejectsPolls && len(w.rejected) < w.nodes-1 {
			w.rejected[a.node] = true
		}
	case pollsAccepted:
		clear(w.rejected)
	case nodeRestarts:
		if !w.rejected[a.node] {
			clear(w.rejected) // or there might be nobody else who is answered
		}
		w.relays[a.node].stopped = true
		w.after(w.uniform(0.1, 2), func() { w.startRelay(a.node, w.relays[a.node].stored) })
	case nodePartitioned:
		if w.discoveryFault != rejectsPolls {
			w.partitioned[a.node] = true
		}
		if w.discoveryFault == noDiscoveryFault && a.amount%2 == 0 {
			w.isolate(w.relays[a.node])
		}
	case nodeHealed:
		clear(w.partitioned)
		clear(w.isolated)
	}
}

// isolate cuts a relay off from discovery, which it notices by silence or by calls that fail.
func (w *simulation) isolate(simulated *simulatedRelay) {
	w.isolated[simulated.number] = true
	if simulated.watchHeld {
		simulated.watchHeld = false
		w.stallPoll(simulated)
	}
}

// change has some units leave the list, of which a few start anew, and others join it.
func (w *simulation) change(amount int) {
	if !w.up {
		return
	}
	w.generation++
	endpoints := slices.Sorted(maps.Keys(w.ready))
	w.random.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	for i, endpoint := range endpoints[:min(amount, len(endpoints))] {
		w.leftAt[endpointProcess{endpoint, w.ready[endpoint]}] = w.upTime()
		w.changed[endpoint] = w.generation
		delete(w.ready, endpoint)
		if i%10 == 9 {
			w.processes++
			w.ready[endpoint] = w.processes
		}
	}
	w.join(amount)
	for _, simulated := range w.relays {
		if simulated.watchHeld {
			w.answerPoll(simulated)
		}
	}
}

func (w *simulation) join(amount int) {
	for range amount {
		w.processes++
		endpoint := relay.EndpointID(w.processes)
		w.ready[endpoint] = w.processes
		w.changed[endpoint] = w.generation
	}
}

// stopDiscovery ends the calls that discovery holds, but for some whose end is not heard.
func (w *simulation) stopDiscovery() {
	if !w.up {
		return
	}
	w.upBefore, w.up = w.upTime(), false
	for _, simulated := range w.relays {
		if !simulated.watchHeld {
			continue
		}
		if simulated.watchHeld = false; w.drawStall(0.3) {
			w.stallPoll(simulated)
			continue
		}
		w.failPoll(simulated, w.uniform(0, 0.05), PollFailed{})
	}
}

func (w *simulation) startDiscovery() {
	if !w.up {
		w.up, w.upAt = true, w.now
	}
}

// start starts a relay with the list that it kept, if any.
func (w *simulation) startRelay(number int, stored *simulatedRelay) {
	old := w.relays[number]
	old.stopped = true
	simulated := &simulatedRelay{Node: New(testSettings(number, w.nodes), w.random.Int63()), number: number, timerAt: Never, stored: old.stored,
		listed: map[relay.EndpointID]int{}, generation: noGeneration}
	w.relays[number] = simulated
	if stored != nil {
		simulated.listed, simulated.generation, simulated.incarnation = maps.Clone(stored.listed), stored.generation, stored.incarnation
		w.step(simulated, CachedList{simulated.list()})
	}
	w.after(w.uniform(0, 0.5), func() { w.poll(simulated, false) })
}

// readyEntry is the line of a ready process.
func readyEntry(endpoint relay.EndpointID, number int) relay.Endpoint {
	return relay.Endpoint{ID: endpoint, State: relay.Ready, StartKnown: true, StartedAt: relay.Seconds(number)}
}

func (h *simulatedRelay) list() List {
	update := List{Generation: h.generation, Full: true}
	for _, endpoint := range slices.Sorted(maps.Keys(h.listed)) {
		update.Endpoints = append(update.Endpoints, readyEntry(endpoint, h.listed[endpoint]))
	}
	return update
}

// step lets a node see an event and does what it asks for.
func (w *simulation) step(simulated *simulatedRelay, event Event) {
	if w.rewriteEvent != nil {
		event = w.rewriteEvent(simulated.Node, event)
	}
	out := simulated.Step(w.now, event)
	if simulated.leaseExpiresAt = out.LeaseExpiresAt; w.rewriteLease != nil {
		simulated.leaseExpiresAt = w.rewriteLease(out.LeaseExpiresAt)
	}
	for _, endpoint := range out.Removed {
		delete(simulated.listed, endpoint)
	}
	for _, body := range out.Messages {
		w.send(simulated, body)
	}
	if simulated.timerAt != out.TimerAt {
		if simulated.timerAt = out.TimerAt; out.TimerAt != Never {
			w.after(out.TimerAt-w.now, func() {
				if !simulated.stopped && simulated.timerAt == out.TimerAt {
					w.step(simulated, TimerFired{})
				}
			})
		}
	}
}

// send loses, repeats and delays a message for each relay by itself.
func (w *simulation) send(from *simulatedRelay, body []byte) {
	for to := range w.relays {
		if to == from.number || w.partitioned[to] || w.partitioned[from.number] || w.random.Float64() < w.loss {
			continue
		}
		for range 1 + w.random.Intn(10)/9 {
			delay := w.uniform(0.001, 0.02)
			if w.random.Float64() < 0.05 {
				delay = w.uniform(0.02, 2)
			}
			w.after(delay, func() {
				if simulated := w.relays[to]; !simulated.stopped {
					w.step(simulated, MessageReceived{relay.RelayID(from.number), body})
				}
			})
		}
	}
}

// call makes a call to discovery.
func (w *simulation) poll(simulated *simulatedRelay, continues bool) {
	if simulated.stopped {
		return
	}
	simulated.polls++
	simulated.pollStartedAt, simulated.pollWait = w.now, w.uniform(1, 4)
	w.step(simulated, PollStarted{Wait: simulated.pollWait, ContinuesWatch: continues})
	call := simulated.polls
	reached := w.up && !w.isolated[simulated.number]
	switch {
	case !reached && w.drawStall(0.2):
		w.stallPoll(simulated)
	case !reached:
		w.failPoll(simulated, w.uniform(0.001, 1), PollFailed{})
	case w.rejected[simulated.number] && continues:
		w.failPoll(simulated, w.uniform(0.001, 0.05), PollFailed{})
	case w.rejected[simulated.number]:
		w.failPoll(simulated, w.uniform(0.001, 2), PollFailed{})
	case simulated.generation != w.generation || simulated.incarnation != w.incarnation || !continues:
		w.answerPoll(simulated)
	default:
		simulated.watchHeld = true
		w.after(simulated.pollWait, func() {
			if simulated.watchHeld && simulated.polls == call {
				w.answerPoll(simulated)
			}
		})
	}
}

// reply sends discovery's list of now, which may be lost on its way.
func (w *simulation) answerPoll(simulated *simulatedRelay) {
	simulated.watchHeld = false
	if w.drawStall(stalledFraction) {
		w.stallPoll(simulated)
		return
	}
	update := List{Generation: w.generation, Full: simulated.incarnation != w.incarnation || simulated.generation == noGeneration}
	for _, endpoint := range slices.Sorted(maps.Keys(w.ready)) {
		if update.Full || w.changed[endpoint] > simulated.generation {
			update.Endpoints = append(update.Endpoints, readyEntry(endpoint, w.ready[endpoint]))
		}
	}
	for _, endpoint := range slices.Sorted(maps.Keys(w.changed)) {
		if _, ready := w.ready[endpoint]; !ready && !update.Full && w.changed[endpoint] > simulated.generation {
			update.Endpoints = append(update.Endpoints, relay.Endpoint{ID: endpoint, State: relay.Draining})
		}
	}
	incarnation := w.incarnation
	w.after(w.uniform(0.001, 0.1), func() { w.receiveAnswer(simulated, update, incarnation) })
}

// take takes an answer of discovery, and calls again.
func (w *simulation) receiveAnswer(simulated *simulatedRelay, update List, incarnation int) {
	if simulated.stopped {
		return
	}
	if update.Full {
		clear(simulated.listed)
	}
	for _, entry := range update.Endpoints {
		delete(simulated.listed, entry.ID)
		if entry.State == relay.Ready {
			simulated.listed[entry.ID] = int(entry.StartedAt)
		}
	}
	simulated.generation, simulated.incarnation = update.Generation, incarnation
	w.step(simulated, PollAnswered{update})
	if w.random.Float64() < 0.3 {
		simulated.stored = &simulatedRelay{listed: maps.Clone(simulated.listed), generation: update.Generation, incarnation: incarnation}
	}
	if w.random.Float64() < 0.9 {
		w.poll(simulated, true)
		return
	}
	w.after(w.uniform(0, 2), func() { w.poll(simulated, false) })
}

// drawStall draws whether a call falls silent.
func (w *simulation) drawStall(part float64) bool {
	return w.discoveryFault == noDiscoveryFault && w.random.Float64() < part
}

// silence has a call end by its own clock.
func (w *simulation) stallPoll(simulated *simulatedRelay) {
	w.failPoll(simulated, simulated.pollStartedAt+simulated.pollWait+1-w.now, PollFailed{Stalled: true})
}

func (w *simulation) failPoll(simulated *simulatedRelay, wait relay.Seconds, event PollFailed) {
	w.after(wait, func() {
		if !simulated.stopped {
			w.step(simulated, event)
			w.after(w.uniform(0.1, 1), func() { w.poll(simulated, false) })
		}
	})
}

// check compares what the relays act on with the true course of the list.
func (w *simulation) check() {
	for _, simulated := range w.relays {
		if simulated.stopped || simulated.leaseExpiresAt <= w.now {
			continue
		}
		w.leasesHeld++
		for endpoint, number := range simulated.listed {
			if left, is := w.leftAt[endpointProcess{endpoint, number}]; is && w.upTime()-left > bindsAfter {
				w.violation = fmt.Errorf("%.2f s: relay %d has a lease until %.2f and wants a process that left %.2f s of up-time ago",
					w.now, simulated.number, simulated.leaseExpiresAt, w.upTime()-left)
				return
			}
		}
	}
}

func TestNoLeaseOutlivesABindingChange(t *testing.T) {
	looks, leases := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w, err := simulate(histories().Draw(t, "history"), mutant{})
		if err != nil {
			t.Fatal(err)
		}
		looks += w.nodes * historySeconds * 20
		leases += w.leasesHeld
	})
	t.Logf("leases held in %d of %d looks", leases, looks)
	if leases < looks/2 {
		t.Errorf("leases held in %d of %d looks: a node that never has one is no use", leases, looks)
	}
}

// rewriteMessage changes a heard message before the node sees it.
func rewriteMessage(event Event, change func(*message)) Event {
	received, is := event.(MessageReceived)
	if !is {
		return event
	}
	m, err := decode(received.Body)
	if err != nil {
		return event
	}
	change(&m)
	return MessageReceived{received.From, m.encode()}
}

// mutants are nodes of which one defence is missing each.
var mutants = map[string]mutant{
	"a lease never ends": {rewriteLease: func(lease relay.Seconds) relay.Seconds {
		if lease > 0 {
			return Never
		}
		return 0
	}},
	"failed calls count without contact": {rewriteEvent: func(n *Node, event Event) Event {
		n.agreedAt, n.messagesSince = n.now, -Never
		return event
	}},
	"failed calls count though a peer has news": {firstSeed: 50, rewriteEvent: func(n *Node, event Event) Event {
		n.newestGeneration = n.version.generation
		return rewriteMessage(event, func(m *message) {
			if m.delta == nil && m.version.generation > n.version.generation {
				m.version = n.version
			}
		})
	}},
	"a delta is whole with its first datagram": {rewriteEvent: func(n *Node, event Event) Event {
		return rewriteMessage(event, func(m *message) {
			if m.delta != nil {
				m.delta.part, m.delta.parts = 0, 1
			}
		})
	}},
	"a list of before the start is confirmed": {rewriteEvent: func(n *Node, event Event) Event {
		if held, is := event.(CachedList); is {
			return PollAnswered(held)
		}
		return event
	}},
	"a silent call is taken for a watch that stood": {rewriteEvent: func(n *Node, event Event) Event {
		if failed, is := event.(PollFailed); is && failed.Stalled {
			return PollFailed{}
		}
		return event
	}},
	"a node helps from lists that it never held whole": {firstSeed: 350, rewriteEvent: func(n *Node, event Event) Event {
		if !slices.Contains(n.list.versions, n.version) {
			n.list.rememberVersion(n.version)
		}
		return event
	}},
}

func TestCheckerFindsEachMissingDefence(t *testing.T) {
	const searched = 100 // histories
	for name, m := range mutants {
		found := false
		for seed := m.firstSeed; seed < m.firstSeed+searched && !found; seed++ {
			h := histories().Example(seed)
			if _, err := simulate(h, m); err != nil {
				if _, err := simulate(h, mutant{}); err != nil {
					t.Fatalf("history %d with all defences: %v", seed, err)
				}
				t.Logf("%s: history %d: %v", name, seed, err)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}
