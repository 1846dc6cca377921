package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
	"runtime"
	"testing"

	"lichenroad/relay"
)

// Benchmarks at several sizes, for docs/CAPACITY.md. The command "lichenroad lab fit" fits a curve to their results.

const (
	datagramHeaders = 20 + 8 // IP and UDP, in bytes
	minDelay        = 0.02   // shortest delay of a datagram, in seconds
	maxDelay        = 0.04   // longest delay of a datagram, in seconds
	watchWait       = 15.0   // how long discovery holds a watch, in seconds
	changesPerDay   = 6300   // changes of the list at the capacity target
	secondsPerDay   = 86400.0
	settleTime      = 30.0 // simulated time before the measurement, in seconds
)

// arrival is an event that is due at a node.
type arrival struct {
	at    relay.Seconds
	order int // orders arrivals that are due at the same time
	to    int
	event Event
}

type arrivals []arrival

func (a arrivals) Len() int { return len(a) }
func (a arrivals) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a arrivals) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)   { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// benchFleet simulates a fleet of nodes in virtual time. Discovery answers all watches when the list changes.
type benchFleet struct {
	random     *rand.Rand
	nodes      []*Node
	timerAt    []relay.Seconds
	queue      arrivals
	scheduled  int
	generation int64
	endpoints  int

	steps    int
	messages float64 // sent by all nodes
	bytes    float64
}

func newBenchFleet(nodes, endpoints int) *benchFleet {
	f := &benchFleet{random: rand.New(rand.NewSource(1)), generation: 1, endpoints: endpoints, timerAt: make([]relay.Seconds, nodes)}
	list := listOf(endpoints, f.generation)
	for i := range nodes {
		f.nodes = append(f.nodes, New(Settings{Self: relay.ID(i), Relays: nodes, PeerMessages: true, PollInterval: 10, Epoch: 1.7e9}, int64(i)))
		f.timerAt[i] = Never
		f.at(watchWait*f.random.Float64(), i, PollAnswered{list})
	}
	return f
}

func listOf(endpoints int, generation int64) List {
	l := List{Generation: generation, Full: true}
	for i := range endpoints {
		l.Endpoints = append(l.Endpoints, relay.Endpoint{ID: relay.EndpointID(uint64(i+1) * 0x9e3779b97f4a7c15), Build: 41, State: relay.Ready})
	}
	return l
}

func (f *benchFleet) at(t relay.Seconds, to int, event Event) {
	f.scheduled++
	heap.Push(&f.queue, arrival{t, f.scheduled, to, event})
}

// removeEndpoint removes an endpoint. Every watch is answered within 0.2 s.
func (f *benchFleet) removeEndpoint(now relay.Seconds) {
	f.generation++
	endpoint := relay.EndpointID(uint64(f.random.Intn(f.endpoints)+1) * 0x9e3779b97f4a7c15)
	list := List{Generation: f.generation, Endpoints: []relay.Endpoint{{ID: endpoint, Build: 41, State: relay.Draining}}}
	for i := range f.nodes {
		f.at(now+0.2*f.random.Float64(), i, PollAnswered{list})
	}
}

// run applies the events that are due before a time.
func (f *benchFleet) run(until relay.Seconds) {
	for len(f.queue) > 0 && f.queue[0].at < until {
		a := heap.Pop(&f.queue).(arrival)
		if _, isTimer := a.event.(TimerFired); isTimer && a.at < f.timerAt[a.to] {
			continue // the timer has been postponed
		}
		out := f.nodes[a.to].Step(a.at, a.event)
		f.steps++
		if _, answered := a.event.(PollAnswered); answered {
			f.nodes[a.to].Step(a.at, PollStarted{Wait: watchWait, ContinuesWatch: true})
		}
		for _, body := range out.Messages {
			f.messages++
			f.bytes += float64(len(body) + datagramHeaders)
			for i := range f.nodes {
				if i != a.to {
					f.at(a.at+minDelay+(maxDelay-minDelay)*f.random.Float64(), i, MessageReceived{relay.ID(a.to), body})
				}
			}
		}
		if out.TimerAt != f.timerAt[a.to] && out.TimerAt != Never {
			f.at(out.TimerAt, a.to, TimerFired{})
		}
		f.timerAt[a.to] = out.TimerAt
	}
}

// BenchmarkFleetSecond simulates one second of a fleet in which the list changes at the rate of the capacity target. Each
// relay receives the messages of all others.
func BenchmarkFleetSecond(b *testing.B) {
	for _, size := range []struct{ relays, units int }{{4, 150}, {43, 150}, {300, 150}, {1290, 150}, {4300, 150}, {300, 42_000}} {
		relays, endpoints := size.relays, size.units
		b.Run(fmt.Sprintf("relays=%d/units=%d", relays, endpoints), func(b *testing.B) {
			f := newBenchFleet(relays, endpoints)
			f.run(settleTime)
			f.messages, f.bytes, f.steps = 0, 0, 0
			now, pendingChanges := settleTime, 0.0
			for b.Loop() {
				for pendingChanges += changesPerDay / secondsPerDay; pendingChanges >= 1; pendingChanges-- {
					f.removeEndpoint(now)
				}
				for i := range f.nodes { // each watch is answered once per watchWait
					if i%int(watchWait) == int(now)%int(watchWait) {
						f.at(now+f.random.Float64(), i, PollAnswered{List{Generation: f.generation}})
					}
				}
				now++
				f.run(now)
			}
			seconds := now - settleTime
			b.ReportMetric(f.messages/seconds, "messages-in/s")
			b.ReportMetric(f.bytes/seconds, "bytes-in/s")
			b.ReportMetric(f.bytes/seconds/float64(relays), "bytes-out/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds/float64(relays), "ns-a-relay/s")
		})
	}
}

// BenchmarkHold measures how a new node applies its first full list, and the memory that the node then uses.
func BenchmarkHold(b *testing.B) {
	for _, endpoints := range []int{150, 1000, 4096, 12_000, 42_000} {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			list := listOf(endpoints, 1)
			var n *Node
			before := heapInUse()
			for b.Loop() {
				n = New(Settings{Relays: 4300, PeerMessages: true, PollInterval: 10}, 1)
				n.Step(1, PollAnswered{list})
			}
			b.ReportMetric(heapInUse()-before, "heap-B")
			runtime.KeepAlive(n)
			runtime.KeepAlive(list)
		})
	}
}

// BenchmarkChange measures the removal of one endpoint from a list of the given size.
func BenchmarkChange(b *testing.B) {
	for _, endpoints := range []int{150, 1000, 4096, 12_000, 42_000} {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			n := New(Settings{Relays: 4300, PeerMessages: true, PollInterval: 10}, 1)
			list := listOf(endpoints, 1)
			n.Step(1, PollAnswered{list})
			step := 0
			for b.Loop() {
				e := list.Endpoints[step%endpoints]
				if step/endpoints%2 == 0 {
					e.State = relay.Draining
				}
				step++
				n.Step(1+float64(step), PollAnswered{List{Generation: int64(1 + step), Endpoints: []relay.Endpoint{e}}})
			}
		})
	}
}

// BenchmarkHeartbeat measures the receipt of a heartbeat from a peer with the same list.
func BenchmarkHeartbeat(b *testing.B) {
	n := New(Settings{Relays: 4300, PeerMessages: true, PollInterval: 10, Epoch: 1.7e9}, 1)
	n.Step(1, PollAnswered{listOf(150, 1)})
	body := message{version: n.version, answeredAt: n.wireTime(1)}.encode()
	for b.Loop() {
		n.Step(2, MessageReceived{From: 7, Body: body})
	}
	b.ReportMetric(float64(len(body)+datagramHeaders), "wire-B")
}

func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
