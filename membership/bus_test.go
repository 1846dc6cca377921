package membership

import (
	"container/heap"
	"math/rand"
	"testing"

	"lichenroad/relay"
)

const (
	testEpoch = relay.Seconds(1e6)
	busDelay  = relay.Seconds(0.005)
)

// testSettings returns the settings of one node of a fleet whose relays may send messages.
func testSettings(self, relays int) Settings {
	return Settings{Self: relay.ID(self), Relays: relays, PeerMessages: true, PollInterval: 60, Epoch: testEpoch}
}

// fullList returns a full list of ready endpoints with the given ids.
func fullList(generation int64, endpoints ...relay.EndpointID) List {
	list := List{Generation: generation, Full: true}
	for _, endpoint := range endpoints {
		list.Endpoints = append(list.Endpoints, relay.Endpoint{ID: endpoint, Build: 1, State: relay.Ready})
	}
	return list
}

// endpointRange returns the ids from the first to the last.
func endpointRange(first, last relay.EndpointID) (endpoints []relay.EndpointID) {
	for endpoint := first; endpoint <= last; endpoint++ {
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// versionOf returns the version of a node that holds exactly this list.
func versionOf(update List) listVersion {
	l := newEndpointList(testEpoch)
	l.apply(update)
	return listVersion{update.Generation, l.digest}
}

// wireTime converts a time to its form in messages, independently of Node.wireTime.
func wireTime(t relay.Seconds) uint64 {
	if t == Never {
		return 0
	}
	return uint64((t + testEpoch) * 1000)
}

// heartbeat returns the datagram of a peer's heartbeat.
func heartbeat(v listVersion, answeredAt, failedPollAt relay.Seconds) []byte {
	return message{version: v, answeredAt: wireTime(answeredAt), failedPollAt: wireTime(failedPollAt)}.encode()
}

// deltas returns the datagrams of a peer's delta between two versions.
func deltas(base, target listVersion, answeredAt relay.Seconds, endpoints ...relay.EndpointID) (bodies [][]byte) {
	for _, d := range splitDelta(base, endpoints) {
		bodies = append(bodies, message{version: target, answeredAt: wireTime(answeredAt), delta: &d}.encode())
	}
	return bodies
}

// bus simulates the messages of a fleet in virtual time. All other relays receive a message busDelay after it was sent.
type bus struct {
	t      testing.TB
	now    relay.Seconds
	relays []*busRelay
	events busEvents
	lost   func(from, to int) bool // reports whether a message is lost; nil: no message is lost
	sent   []busMessage
	order  int
}

// busRelay is one relay of the fleet, with the accumulated output of its node.
type busRelay struct {
	*Node
	timerAt        relay.Seconds
	leaseExpiresAt relay.Seconds
	removed        map[relay.EndpointID]bool
	bytes          int // sent, including headers
}

type busMessage struct {
	sentAt relay.Seconds
	from   int
	body   []byte
}

// busEvent is an action of the test, if action is set; the arrival of a message, if body is set; or else a relay's timer.
type busEvent struct {
	at     relay.Seconds
	order  int // orders events that are due at the same time
	relay  int // sender of the message, or owner of the timer
	body   []byte
	action func()
}

type busEvents []busEvent

func (e busEvents) Len() int { return len(e) }
func (e busEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e busEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *busEvents) Push(x any)   { *e = append(*e, x.(busEvent)) }
func (e *busEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newBus(t testing.TB, relays int) *bus {
	b := &bus{t: t, relays: make([]*busRelay, relays)}
	for i := range b.relays {
		b.relays[i] = &busRelay{}
		b.restart(i)
	}
	return b
}

// restart replaces a relay's node by a new one without state.
func (b *bus) restart(i int) {
	seed := rand.New(rand.NewSource(int64(b.order)<<16 + int64(i))).Int63()
	b.relays[i] = &busRelay{Node: New(testSettings(i, len(b.relays)), seed), timerAt: Never, removed: map[relay.EndpointID]bool{},
		bytes: b.relays[i].bytes}
}

func (b *bus) push(event busEvent) {
	b.order++
	event.order = b.order
	heap.Push(&b.events, event)
}

// at schedules an action of the test.
func (b *bus) at(t relay.Seconds, action func()) { b.push(busEvent{at: t, action: action}) }

// step applies an event to a node and carries out its output.
func (b *bus) step(i int, event Event) Output {
	node := b.relays[i]
	out := node.Step(b.now, event)
	node.leaseExpiresAt = out.LeaseExpiresAt
	for _, endpoint := range out.Removed {
		node.removed[endpoint] = true
	}
	for _, body := range out.Messages {
		if len(body) > maxDatagramBytes {
			b.t.Fatalf("a datagram has %d bytes, more than the maximum of %d", len(body), maxDatagramBytes)
		}
		node.bytes += len(body) + datagramHeaderBytes
		b.sent = append(b.sent, busMessage{b.now, i, body})
		b.push(busEvent{at: b.now + busDelay, relay: i, body: body})
	}
	if out.TimerAt != node.timerAt {
		if out.TimerAt <= b.now {
			b.t.Fatalf("at %v a timer was set for %v, which is not in the future", b.now, out.TimerAt)
		}
		if node.timerAt = out.TimerAt; out.TimerAt != Never {
			b.push(busEvent{at: out.TimerAt, relay: i})
		}
	}
	return out
}

// run applies all events up to a time.
func (b *bus) run(until relay.Seconds) {
	for len(b.events) > 0 && b.events[0].at <= until {
		event := heap.Pop(&b.events).(busEvent)
		b.now = event.at
		switch {
		case event.action != nil:
			event.action()
		case event.body != nil:
			b.deliver(event)
		case b.relays[event.relay].timerAt == event.at:
			b.step(event.relay, TimerFired{})
		}
	}
	b.now = until
}

func (b *bus) deliver(event busEvent) {
	for i := range b.relays {
		if i != event.relay && (b.lost == nil || !b.lost(event.relay, i)) {
			b.step(i, MessageReceived{From: relay.ID(event.relay), Body: event.body})
		}
	}
}

// count returns the number of messages of each kind that were sent at or after a time.
func (b *bus) count(from relay.Seconds) (heartbeats, deltas int) {
	for _, m := range b.sent {
		switch {
		case m.sentAt < from:
		case m.body[1] == kindDelta:
			deltas++
		default:
			heartbeats++
		}
	}
	return heartbeats, deltas
}
