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
	historySeconds = 40
	silentPart     = 0.05 // of discovery's answers that are lost
	refusedLoss    = 0.1  // of messages, at most, while discovery refuses calls
)

type (
	// history is a drawn course of things, and the seed of the small ones: delays, losses.
	history struct {
		nodes   int
		trouble trouble
		loss    float64
		seed    int64
		actions []historyAction
	}
	historyAction struct {
		at     relay.Seconds
		kind   historyKind
		node   int
		amount int
	}
	historyKind int

	// trouble is what discovery does in a history, beside going down and coming back. A lease on the word of failed calls
	// assumes that these fail at all relays, or that a relay hears of an answer to another one in time; histories keep
	// that assumption, so not all faults come together.
	trouble int
)

const (
	noTrouble trouble = iota
	// refusing: calls of some relays are refused, never those of all. The others are answered, nobody is cut off, and at
	// most refusedLoss is lost.
	refusing
	// restarting: generations are counted anew, from 1. No call to it falls silent: a relay that holds the list of before
	// can't tell from its peers' generations that theirs is the later one.
	restarting
)

const (
	unitsChange historyKind = iota
	discoveryDown
	discoveryUp
	discoveryAnew
	callsRefused
	callsTaken
	nodeRestarts
	nodeCutOff
	nodeHealed
	historyKinds
)

// histories draws histories.
func histories() *rapid.Generator[history] {
	return rapid.Custom(func(t *rapid.T) history {
		h := history{
			nodes:   rapid.IntRange(3, 8).Draw(t, "nodes"),
			trouble: rapid.SampledFrom([]trouble{noTrouble, refusing, restarting}).Draw(t, "trouble"),
			loss:    rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss"),
			seed:    rapid.Int64().Draw(t, "seed"),
		}
		if h.trouble == refusing {
			h.loss = min(h.loss, refusedLoss)
		}
		for at := 1.0; at < historySeconds-8; at += rapid.Float64Range(0.05, 3).Draw(t, "gap") {
			h.actions = append(h.actions, historyAction{
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
	before  func(n *Node, event any) any // the event that the node is to see in place of this one
	believe func(lease relay.Seconds) relay.Seconds
	from    int // the history to start the search at, not far before the first that shows it
}

// process is one life of a unit.
type process struct {
	unit   relay.EndpointID
	number int
}

// historyWorld is discovery, the network, the hosts of the nodes and the true course of the list.
type historyWorld struct {
	history
	mutant
	random *rand.Rand
	now    relay.Seconds
	events busEvents
	order  int
	fault  error
	leases int // looks of the checker at a node whose lease held

	up          bool
	upAt        relay.Seconds // when it last came up
	upBefore    relay.Seconds // up-time before that
	incarnation int           // of its count of generations
	generation  int64
	ready       map[relay.EndpointID]int
	changed     map[relay.EndpointID]int64 // generation of each unit's last change
	processes   int
	left        map[process]relay.Seconds // in up-time
	refused     map[int]bool
	cutOff      map[int]bool // from all peers
	isolated    map[int]bool // from discovery too

	hosts []*historyHost
}

// historyHost is one relay around its node: its list, its calls and what it keeps for its next start.
type historyHost struct {
	*Node
	no          int
	wakeAt      relay.Seconds
	lease       relay.Seconds
	listed      map[relay.EndpointID]int
	generation  int64
	incarnation int
	kept        *historyHost // list, generation and incarnation as kept for the next start
	calls       int          // begun
	begun       relay.Seconds
	wait        relay.Seconds
	standing    bool // discovery holds the call
	dead        bool
}

// play plays a history and returns the first fault that the checker found.
func play(h history, m mutant) (*historyWorld, error) {
	w := &historyWorld{history: h, mutant: m, random: rand.New(rand.NewSource(h.seed)), up: true, generation: 1,
		ready: map[relay.EndpointID]int{}, changed: map[relay.EndpointID]int64{}, left: map[process]relay.Seconds{},
		refused: map[int]bool{}, cutOff: map[int]bool{}, isolated: map[int]bool{}}
	w.join(100)
	for i := range h.nodes {
		w.hosts = append(w.hosts, &historyHost{no: i})
		w.start(i, nil)
	}
	for _, a := range h.actions {
		w.after(a.at, func() { w.act(a) })
	}
	for at := 0.0; at < historySeconds; at += 0.05 {
		w.after(at, w.check)
	}
	for len(w.events) > 0 && w.events[0].at < historySeconds && w.fault == nil {
		event := heap.Pop(&w.events).(busEvent)
		w.now = event.at
		event.action()
	}
	return w, w.fault
}

// after has an action done in a time.
func (w *historyWorld) after(wait relay.Seconds, action func()) {
	w.order++
	heap.Push(&w.events, busEvent{at: w.now + wait, order: w.order, action: action})
}

// between draws a time.
func (w *historyWorld) between(least, most relay.Seconds) relay.Seconds {
	return least + (most-least)*w.random.Float64()
}

func (w *historyWorld) upTime() relay.Seconds {
	if w.up {
		return w.upBefore + w.now - w.upAt
	}
	return w.upBefore
}

func (w *historyWorld) act(a historyAction) {
	switch a.kind {
	case unitsChange:
		w.change(a.amount)
	case discoveryDown:
		w.goDown()
	case discoveryUp:
		w.goUp()
	case discoveryAnew:
		if w.trouble == restarting && w.up {
			w.goDown()
			w.incarnation++
			w.generation = 1
			clear(w.changed)
			w.after(w.between(0.1, 3), w.goUp)
		}
	case callsRefused:
		if w.trouble == refusing && len(w.refused) < w.nodes-1 {
			w.refused[a.node] = true
		}
	case callsTaken:
		clear(w.refused)
	case nodeRestarts:
		if !w.refused[a.node] {
			clear(w.refused) // or there might be nobody else who is answered
		}
		w.hosts[a.node].dead = true
		w.after(w.between(0.1, 2), func() { w.start(a.node, w.hosts[a.node].kept) })
	case nodeCutOff:
		if w.trouble != refusing {
			w.cutOff[a.node] = true
		}
		if w.trouble == noTrouble && a.amount%2 == 0 {
			w.isolate(w.hosts[a.node])
		}
	case nodeHealed:
		clear(w.cutOff)
		clear(w.isolated)
	}
}

// isolate cuts a relay off from discovery, which it notices by silence or by calls that fail.
func (w *historyWorld) isolate(host *historyHost) {
	w.isolated[host.no] = true
	if host.standing {
		host.standing = false
		w.silence(host)
	}
}

// change has some units leave the list, of which a few start anew, and others join it.
func (w *historyWorld) change(amount int) {
	if !w.up {
		return
	}
	w.generation++
	units := slices.Sorted(maps.Keys(w.ready))
	w.random.Shuffle(len(units), func(i, j int) { units[i], units[j] = units[j], units[i] })
	for i, unit := range units[:min(amount, len(units))] {
		w.left[process{unit, w.ready[unit]}] = w.upTime()
		w.changed[unit] = w.generation
		delete(w.ready, unit)
		if i%10 == 9 {
			w.processes++
			w.ready[unit] = w.processes
		}
	}
	w.join(amount)
	for _, host := range w.hosts {
		if host.standing {
			w.reply(host)
		}
	}
}

func (w *historyWorld) join(amount int) {
	for range amount {
		w.processes++
		unit := relay.EndpointID(w.processes)
		w.ready[unit] = w.processes
		w.changed[unit] = w.generation
	}
}

// goDown ends the calls that discovery holds, but for some whose end is not heard.
func (w *historyWorld) goDown() {
	if !w.up {
		return
	}
	w.upBefore, w.up = w.upTime(), false
	for _, host := range w.hosts {
		if !host.standing {
			continue
		}
		if host.standing = false; w.fallsSilent(0.3) {
			w.silence(host)
			continue
		}
		w.fail(host, w.between(0, 0.05), PollFailed{})
	}
}

func (w *historyWorld) goUp() {
	if !w.up {
		w.up, w.upAt = true, w.now
	}
}

// start starts a relay with the list that it kept, if any.
func (w *historyWorld) start(no int, kept *historyHost) {
	old := w.hosts[no]
	old.dead = true
	host := &historyHost{Node: New(testSettings(no, w.nodes), w.random.Int63()), no: no, wakeAt: Never, kept: old.kept,
		listed: map[relay.EndpointID]int{}, generation: noGeneration}
	w.hosts[no] = host
	if kept != nil {
		host.listed, host.generation, host.incarnation = maps.Clone(kept.listed), kept.generation, kept.incarnation
		w.step(host, CachedList{host.list()})
	}
	w.after(w.between(0, 0.5), func() { w.call(host, false) })
}

// entryOf is the line of a ready process.
func entryOf(unit relay.EndpointID, number int) relay.Endpoint {
	return relay.Endpoint{ID: unit, State: relay.Ready, StartKnown: true, StartedAt: relay.Seconds(number)}
}

func (h *historyHost) list() List {
	given := List{Generation: h.generation, Full: true}
	for _, unit := range slices.Sorted(maps.Keys(h.listed)) {
		given.Endpoints = append(given.Endpoints, entryOf(unit, h.listed[unit]))
	}
	return given
}

// step lets a node see an event and does what it asks for.
func (w *historyWorld) step(host *historyHost, event any) {
	if w.before != nil {
		event = w.before(host.Node, event)
	}
	out := host.Step(w.now, event)
	if host.lease = out.LeaseExpiresAt; w.believe != nil {
		host.lease = w.believe(out.LeaseExpiresAt)
	}
	for _, unit := range out.Removed {
		delete(host.listed, unit)
	}
	for _, body := range out.Messages {
		w.send(host, body)
	}
	if host.wakeAt != out.TimerAt {
		if host.wakeAt = out.TimerAt; out.TimerAt != Never {
			w.after(out.TimerAt-w.now, func() {
				if !host.dead && host.wakeAt == out.TimerAt {
					w.step(host, TimerFired{})
				}
			})
		}
	}
}

// send loses, repeats and delays a message for each relay by itself.
func (w *historyWorld) send(from *historyHost, body []byte) {
	for to := range w.hosts {
		if to == from.no || w.cutOff[to] || w.cutOff[from.no] || w.random.Float64() < w.loss {
			continue
		}
		for range 1 + w.random.Intn(10)/9 {
			delay := w.between(0.001, 0.02)
			if w.random.Float64() < 0.05 {
				delay = w.between(0.02, 2)
			}
			w.after(delay, func() {
				if host := w.hosts[to]; !host.dead {
					w.step(host, MessageReceived{relay.RelayID(from.no), body})
				}
			})
		}
	}
}

// call makes a call to discovery.
func (w *historyWorld) call(host *historyHost, continues bool) {
	if host.dead {
		return
	}
	host.calls++
	host.begun, host.wait = w.now, w.between(1, 4)
	w.step(host, PollStarted{Wait: host.wait, ContinuesWatch: continues})
	call := host.calls
	reached := w.up && !w.isolated[host.no]
	switch {
	case !reached && w.fallsSilent(0.2):
		w.silence(host)
	case !reached:
		w.fail(host, w.between(0.001, 1), PollFailed{})
	case w.refused[host.no] && continues:
		w.fail(host, w.between(0.001, 0.05), PollFailed{})
	case w.refused[host.no]:
		w.fail(host, w.between(0.001, 2), PollFailed{})
	case host.generation != w.generation || host.incarnation != w.incarnation || !continues:
		w.reply(host)
	default:
		host.standing = true
		w.after(host.wait, func() {
			if host.standing && host.calls == call {
				w.reply(host)
			}
		})
	}
}

// reply sends discovery's list of now, which may be lost on its way.
func (w *historyWorld) reply(host *historyHost) {
	host.standing = false
	if w.fallsSilent(silentPart) {
		w.silence(host)
		return
	}
	given := List{Generation: w.generation, Full: host.incarnation != w.incarnation || host.generation == noGeneration}
	for _, unit := range slices.Sorted(maps.Keys(w.ready)) {
		if given.Full || w.changed[unit] > host.generation {
			given.Endpoints = append(given.Endpoints, entryOf(unit, w.ready[unit]))
		}
	}
	for _, unit := range slices.Sorted(maps.Keys(w.changed)) {
		if _, ready := w.ready[unit]; !ready && !given.Full && w.changed[unit] > host.generation {
			given.Endpoints = append(given.Endpoints, relay.Endpoint{ID: unit, State: relay.Draining})
		}
	}
	incarnation := w.incarnation
	w.after(w.between(0.001, 0.1), func() { w.take(host, given, incarnation) })
}

// take takes an answer of discovery, and calls again.
func (w *historyWorld) take(host *historyHost, given List, incarnation int) {
	if host.dead {
		return
	}
	if given.Full {
		clear(host.listed)
	}
	for _, entry := range given.Endpoints {
		delete(host.listed, entry.ID)
		if entry.State == relay.Ready {
			host.listed[entry.ID] = int(entry.StartedAt)
		}
	}
	host.generation, host.incarnation = given.Generation, incarnation
	w.step(host, PollAnswered{given})
	if w.random.Float64() < 0.3 {
		host.kept = &historyHost{listed: maps.Clone(host.listed), generation: given.Generation, incarnation: incarnation}
	}
	if w.random.Float64() < 0.9 {
		w.call(host, true)
		return
	}
	w.after(w.between(0, 2), func() { w.call(host, false) })
}

// fallsSilent draws whether a call falls silent.
func (w *historyWorld) fallsSilent(part float64) bool {
	return w.trouble == noTrouble && w.random.Float64() < part
}

// silence has a call end by its own clock.
func (w *historyWorld) silence(host *historyHost) {
	w.fail(host, host.begun+host.wait+1-w.now, PollFailed{Stalled: true})
}

func (w *historyWorld) fail(host *historyHost, wait relay.Seconds, event PollFailed) {
	w.after(wait, func() {
		if !host.dead {
			w.step(host, event)
			w.after(w.between(0.1, 1), func() { w.call(host, false) })
		}
	})
}

// check compares what the relays act on with the true course of the list.
func (w *historyWorld) check() {
	for _, host := range w.hosts {
		if host.dead || host.lease <= w.now {
			continue
		}
		w.leases++
		for unit, number := range host.listed {
			if left, is := w.left[process{unit, number}]; is && w.upTime()-left > bindsAfter {
				w.fault = fmt.Errorf("%.2f s: relay %d has a lease until %.2f and wants a process that left %.2f s of up-time ago",
					w.now, host.no, host.lease, w.upTime()-left)
				return
			}
		}
	}
}

func TestNoLeaseOutlivesAChangeThatBinds(t *testing.T) {
	looks, leases := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w, err := play(histories().Draw(t, "history"), mutant{})
		if err != nil {
			t.Fatal(err)
		}
		looks += w.nodes * historySeconds * 20
		leases += w.leases
	})
	t.Logf("leases held in %d of %d looks", leases, looks)
	if leases < looks/2 {
		t.Errorf("leases held in %d of %d looks: a node that never has one is no use", leases, looks)
	}
}

// changeHeard changes a heard message before the node sees it.
func changeHeard(event any, change func(*message)) any {
	heard, is := event.(MessageReceived)
	if !is {
		return event
	}
	m, err := decode(heard.Body)
	if err != nil {
		return event
	}
	change(&m)
	return MessageReceived{heard.From, m.encode()}
}

// mutants are nodes of which one defence is missing each.
var mutants = map[string]mutant{
	"a lease never ends": {believe: func(lease relay.Seconds) relay.Seconds {
		if lease > 0 {
			return Never
		}
		return 0
	}},
	"failed calls count without contact": {before: func(n *Node, event any) any {
		n.contact, n.heardSince = n.now, -Never
		return event
	}},
	"failed calls count though a peer has news": {from: 50, before: func(n *Node, event any) any {
		n.newest = n.view.generation
		return changeHeard(event, func(m *message) {
			if m.delta == nil && m.view.generation > n.view.generation {
				m.view = n.view
			}
		})
	}},
	"a delta is whole with its first datagram": {before: func(n *Node, event any) any {
		return changeHeard(event, func(m *message) {
			if m.delta != nil {
				m.delta.part, m.delta.parts = 0, 1
			}
		})
	}},
	"a list of before the start is confirmed": {before: func(n *Node, event any) any {
		if held, is := event.(CachedList); is {
			return PollAnswered(held)
		}
		return event
	}},
	"a silent call is taken for a watch that stood": {before: func(n *Node, event any) any {
		if failed, is := event.(PollFailed); is && failed.Stalled {
			return PollFailed{}
		}
		return event
	}},
	"a node helps from lists that it never held whole": {from: 350, before: func(n *Node, event any) any {
		if !slices.Contains(n.list.history, n.view) {
			n.list.remember(n.view)
		}
		return event
	}},
}

func TestCheckerFindsEachMissingDefence(t *testing.T) {
	const searched = 100 // histories
	for name, m := range mutants {
		found := false
		for seed := m.from; seed < m.from+searched && !found; seed++ {
			h := histories().Example(seed)
			if _, err := play(h, m); err != nil {
				if _, err := play(h, mutant{}); err != nil {
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
