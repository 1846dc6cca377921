package policy

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// Benchmarks at several sizes, for docs/CAPACITY.md: lichenroad lab fit puts a curve through what they measure.

const (
	roundSpan    = 0.01   // s from one Step to the next
	legTime      = 0.15   // s that a leg takes
	warmUp       = 12.0   // s before the clock of a benchmark runs: the evidence window is full then
	bodiesAhead  = 50_000 // reports made before the clock runs, at most
	reportRounds = 10     // seconds after which a relay says the same again
	ipAndUDP     = 20 + 8 // bytes of a datagram's headers
	megabyte     = 1_000_000
)

// legOut is a leg that will be honoured.
type legOut struct {
	query relay.RequestID
	unit  relay.EndpointID
	at    relay.Seconds
}

// driver runs one module under even load. Unlike world it checks nothing, so that a benchmark times little but the module.
type driver struct {
	mod    *Policy
	set    relay.Settings
	now    relay.Seconds
	round  int
	next   relay.RequestID
	owed   float64 // queries that are due
	wake   relay.Seconds
	legs   []legOut // in the order of their ends
	events []relay.Event

	denied   int
	messages float64 // sent
	bytes    float64 // of them, with UDP and IP headers
}

func newDriver(set relay.Settings) *driver { return &driver{mod: New(set, 1), set: set} }

// step delivers events and takes the orders in.
func (d *driver) step(events []relay.Event) {
	for _, o := range d.mod.Step(d.now, events) {
		switch o := o.(type) {
		case relay.SendAttempt:
			d.legs = append(d.legs, legOut{o.Request, o.Endpoint, d.now})
		case relay.Reject:
			d.denied++
		case relay.SetTimer:
			d.wake = o.At
		case relay.SendMessage:
			d.messages++
			d.bytes += float64(len(o.Body) + ipAndUDP)
		}
	}
}

// due collects the wake-up and the ends of legs that are due.
func (d *driver) due() {
	d.events = d.events[:0]
	if d.now >= d.wake {
		d.events = append(d.events, relay.TimerFired{ID: 1})
	}
	ended := 0
	for ended < len(d.legs) && d.now-d.legs[ended].at >= legTime {
		l := d.legs[ended]
		d.events = append(d.events, relay.AttemptEnded{Request: l.query, Endpoint: l.unit, Outcome: relay.Succeeded, Duration: legTime, RequestFinished: true})
		ended++
	}
	d.legs = append(d.legs[:0], d.legs[ended:]...)
}

// query is a query of a category that may be sent again, with a known work.
func (d *driver) query(customer relay.Tenant) relay.Request {
	d.next++
	return relay.Request{ID: d.next - 1, Class: relay.RequestClass(d.next % 2), Tenant: customer,
		Deadline: d.now + d.set.Classes[d.next%2].Deadline, Work: 0.1, HasWork: true}
}

// load is what comes to a relay besides its own ticks and the ends of its legs.
type load struct {
	queries   float64  // a second
	reports   [][]byte // told by other relays: each of them tells so many a second
	each      int
	decisions []byte // told by each aggregator but this relay once a second
}

// run lets time pass under a load.
func (d *driver) run(span relay.Seconds, l load) {
	const rounds = 100 // a second
	for range int(span*rounds + 0.5) {
		d.now += roundSpan
		d.round++
		d.due()
		for d.owed += l.queries * roundSpan; d.owed >= 1; d.owed-- {
			d.events = append(d.events, d.query(0))
		}
		if len(l.reports) > 0 {
			for i := d.round % rounds; i < d.set.Relays; i += rounds {
				for k := 0; k < l.each && i != int(d.set.Self); k++ {
					body := l.reports[((d.round/rounds)*d.set.Relays*l.each+i*l.each+k)%len(l.reports)]
					d.events = append(d.events, relay.MessageReceived{From: relay.RelayID(i), Body: body})
				}
			}
		}
		if l.decisions != nil && d.round%rounds == 0 {
			for i := range min(aggregatorCount, d.set.Relays) {
				if i != int(d.set.Self) {
					d.events = append(d.events, relay.MessageReceived{From: relay.RelayID(i), Body: l.decisions})
				}
			}
		}
		d.step(d.events)
	}
}

// canaryAttempts lists units of which half run a build on trial, and tells that build's news.
func (d *driver) onTrial(units int) []relay.Endpoint {
	es := scattered(units, 1, 0, units/2)
	es = append(es, scattered(units, 2, units/2, units)...)
	d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: es},
		relay.RolloutStatus{Valid: true, Build: 2, Stage: 1, Phase: relay.PhaseCanary, ExposureLimit: 0.4}})
	return es
}

// scattered are units with ids like those of discovery's, which are hashes of names.
func scattered(units int, build relay.Build, from, to int) (es []relay.Endpoint) {
	for i, e := range entries(units, build, 1)[from:to] {
		e.ID = relay.EndpointID(uint64(from+i+1) * 0x9e3779b97f4a7c15)
		es = append(es, e)
	}
	return es
}

// reportsOf makes the reports of a fleet: so many legs of each relay a second, spread over all units by chance.
func reportsOf(set relay.Settings, es []relay.Endpoint, legs int) (bodies [][]byte, each int) {
	rng := rand.New(rand.NewSource(1))
	each = max((legs+peerwire.MaxObservations-1)/peerwire.MaxObservations, 1)
	for no := range min(set.Relays*each*reportRounds, bodiesAhead) {
		m := peerwire.Report{Build: 2, Stage: 1, Verdicts: make([]peerwire.ClassVerdict, len(set.Classes))}
		for range min(legs-no%each*peerwire.MaxObservations, peerwire.MaxObservations) {
			at := rng.Intn(len(es))
			m.Observations = append(m.Observations, peerwire.Observation{Endpoint: peerwire.HashOf(es[at].ID), Outcome: relay.Succeeded, Newest: at >= len(es)/2, Ratio: 1})
		}
		bodies = append(bodies, m.Encode())
	}
	return bodies, each
}

// aDecision is what an aggregator tells: that nothing is to be done.
func aDecision() []byte {
	return peerwire.Decision{Build: 2, Stage: 1, Ratios: []float64{1, 1}}.Encode()
}

// fleetOf are the settings of one of so many relays.
func fleetOf(relays, self int) relay.Settings {
	set := plainSettings()
	set.Relays, set.Self = relays, relay.RelayID(self)
	return set
}

// heap is the memory in use, for differences.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

var unitSizes = []int{300, 1000, 2048, 4096, 8192, 12_000, 20_000, 30_000, 42_000}

// BenchmarkFirstList is the first whole list, and what the units take: nothing is known of them yet.
func BenchmarkFirstList(b *testing.B) {
	for _, units := range unitSizes {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			es := scattered(units, 1, 0, units)
			before := heap()
			for range b.N {
				d := newDriver(fleetOf(300, 299))
				d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: es}})
				b.StopTimer()
				b.ReportMetric(heap()-before, "heap-B")
				runtime.KeepAlive(d)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkWholeList is a whole list in which nothing differs.
func BenchmarkWholeList(b *testing.B) {
	for _, units := range unitSizes {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			d := newDriver(fleetOf(300, 299))
			es := d.onTrial(units)
			for b.Loop() {
				d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: es}})
			}
		})
	}
}

// BenchmarkDelta is a list of one change.
func BenchmarkDelta(b *testing.B) {
	for _, units := range unitSizes {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			d := newDriver(fleetOf(300, 299))
			es := d.onTrial(units)
			no := 0
			for b.Loop() {
				e := es[no%units]
				if no++; no/units%2 == 0 {
					e.State = relay.Draining
				}
				d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListDelta, Endpoints: []relay.Endpoint{e}}})
			}
		})
	}
}

// BenchmarkQuery is the choice of a unit for a query, and the end of its leg.
func BenchmarkQuery(b *testing.B) {
	for _, units := range unitSizes {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			d := newDriver(fleetOf(300, 299))
			d.onTrial(units)
			d.run(3, load{queries: 77, decisions: aDecision()})
			d.legs = nil
			for b.Loop() {
				d.step([]relay.Event{d.query(0)})
				for _, l := range d.legs {
					d.step([]relay.Event{relay.AttemptEnded{Request: l.query, Endpoint: l.unit, Outcome: relay.Succeeded, Duration: legTime, RequestFinished: true}})
				}
				d.legs = d.legs[:0]
				d.step(nil)
				if len(d.mod.router.openRequests) > 1000 { // a tick, which is another benchmark's, forgets those that are over
					b.StopTimer()
					d.step([]relay.Event{relay.TimerFired{ID: 1}})
					b.StartTimer()
				}
			}
		})
	}
}

// BenchmarkTick is one of the twenty looks a second of a relay that does not aggregate and has no query open. Each is 50 ms
// after the one before, so that one in five forms verdicts, as in service.
func BenchmarkTick(b *testing.B) {
	for _, units := range unitSizes {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			d := newDriver(fleetOf(300, 299))
			d.onTrial(units)
			decisions, no := aDecision(), 0
			for b.Loop() {
				d.now += tickInterval
				events := []relay.Event{relay.TimerFired{ID: 1}}
				if no++; no%20 == 1 {
					for i := range relay.RelayID(aggregatorCount) {
						events = append(events, relay.MessageReceived{From: i, Body: decisions})
					}
				}
				d.step(events)
			}
			if d.mod.aggregator.active {
				b.Fatal("it aggregates")
			}
		})
	}
}

// second times seconds of a relay's life under a load, after a warm-up, and tells its heap and what it sent.
func second(b *testing.B, d *driver, l load, before float64, aggregates bool) {
	d.run(warmUp, l)
	d.messages, d.bytes, d.denied = 0, 0, 0
	seconds := 0.0
	for b.Loop() {
		d.run(1, l)
		seconds++
	}
	if d.mod.aggregator.active != aggregates || d.denied > 0 {
		b.Fatalf("aggregates: %v, denied: %d", d.mod.aggregator.active, d.denied)
	}
	b.ReportMetric(d.messages/seconds, "messages-out/s")
	b.ReportMetric(d.bytes/seconds, "bytes-out/s")
	b.ReportMetric((heap()-before)/megabyte, "heap-MB")
	runtime.KeepAlive(d)
	runtime.KeepAlive(l)
}

// BenchmarkRelaySecond is a second of a relay that does not aggregate, by units, in a fleet of 4,300 at the target's 77 queries.
func BenchmarkRelaySecond(b *testing.B) {
	for _, units := range unitSizes {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			before := heap()
			d := newDriver(fleetOf(4300, 4299))
			d.onTrial(units)
			second(b, d, load{queries: 77, decisions: aDecision()}, before, false)
		})
	}
}

// BenchmarkRelayRate is the same by queries a second, before few units: what it tells the aggregators grows with them.
func BenchmarkRelayRate(b *testing.B) {
	for _, rate := range []int{3, 10, 30, 77, 150, 300} {
		b.Run(fmt.Sprintf("queries=%d", rate), func(b *testing.B) {
			before := heap()
			d := newDriver(fleetOf(4300, 4299))
			d.onTrial(300)
			second(b, d, load{queries: float64(rate), decisions: aDecision()}, before, false)
		})
	}
}

// BenchmarkAggregatorSecond is a second of an aggregator: 30 queries of its own, and a report of four legs from each relay.
func BenchmarkAggregatorSecond(b *testing.B) {
	for _, relays := range []int{4, 43, 300, 1290, 4300} {
		for _, units := range []int{20, 150, 1024, 4096, 12_000, 42_000} {
			b.Run(fmt.Sprintf("relays=%d/units=%d", relays, units), func(b *testing.B) { aggregatorSecond(b, relays, units, 30, 4) })
		}
	}
}

// BenchmarkAggregatorPart is an aggregator's second in a fleet that is a part of the target's, in thousandths: relays and units
// shrink together, each relay takes the target's 77 queries a second and tells as many legs.
func BenchmarkAggregatorPart(b *testing.B) {
	for _, part := range []int{1, 2, 5, 10, 20, 50, 100, 300, 1000} {
		relays, units := 4300*part/1000, 42_000*part/1000
		b.Run(fmt.Sprintf("permille=%d", part), func(b *testing.B) { aggregatorSecond(b, relays, units, 77, 77) })
	}
}

func aggregatorSecond(b *testing.B, relays, units int, queries float64, legs int) {
	set := fleetOf(relays, 0)
	l := load{queries: queries, decisions: aDecision()}
	l.reports, l.each = reportsOf(set, append(scattered(units, 1, 0, units/2), scattered(units, 2, units/2, units)...), legs)
	received := 0.0
	for _, body := range l.reports {
		received += float64(len(body)+ipAndUDP) / float64(len(l.reports)) * float64(l.each*(relays-1))
	}
	before := heap()
	d := newDriver(set)
	d.onTrial(units)
	second(b, d, l, before, true)
	b.ReportMetric(received, "bytes-in/s")
	b.ReportMetric(float64(l.each*(relays-1)), "messages-in/s")
}

// BenchmarkTenants is a query where so many customers have a share, and what they take.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{1000, 10_000, 50_000, 120_000, 270_000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			set := fleetOf(4300, 4299)
			before := heap()
			for range tenants {
				set.Tenants = append(set.Tenants, relay.TenantSettings{TrafficShare: 1 / float64(tenants)})
			}
			d := newDriver(set)
			d.onTrial(20)
			d.run(1, load{queries: 77, decisions: aDecision()})
			no := 0
			for b.Loop() {
				d.now += 1.0 / 77
				d.due()
				d.events = append(d.events, d.query(relay.Tenant(no%tenants)))
				no++
				d.step(d.events)
			}
			b.ReportMetric((heap()-before)/megabyte, "heap-MB")
			runtime.KeepAlive(d)
			runtime.KeepAlive(set)
		})
	}
}

// BenchmarkEncode writes one report, and BenchmarkDecode reads it, by the legs in it.
func BenchmarkEncode(b *testing.B) {
	for _, legs := range reportSizes {
		b.Run(fmt.Sprintf("legs=%d", legs), func(b *testing.B) {
			m := reportOf(legs)
			bytes := 0
			for b.Loop() {
				bytes = len(m.Encode())
			}
			b.ReportMetric(float64(bytes), "wire-B")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, legs := range reportSizes {
		b.Run(fmt.Sprintf("legs=%d", legs), func(b *testing.B) {
			body := reportOf(legs).Encode()
			for b.Loop() {
				if _, err := peerwire.Decode(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMerge takes one report in at an aggregator of 4,300 relays and 42,000 units, by the legs in it: reading it, and adding
// what it tells to the units' evidence.
func BenchmarkMerge(b *testing.B) {
	for _, legs := range reportSizes {
		b.Run(fmt.Sprintf("legs=%d", legs), func(b *testing.B) {
			const units = 42_000
			set := fleetOf(4300, 0)
			d := newDriver(set)
			bodies, _ := reportsOf(set, d.onTrial(units), legs)
			no := 0
			for b.Loop() {
				d.now += 1.0 / 4300
				d.step([]relay.Event{relay.MessageReceived{From: relay.RelayID(1 + no%4299), Body: bodies[no%len(bodies)]}})
				no++
			}
		})
	}
}

var reportSizes = []int{1, 4, 12, 24, 36}

func reportOf(legs int) peerwire.Report {
	m := peerwire.Report{Build: 861, Stage: 1, Verdicts: make([]peerwire.ClassVerdict, 3)}
	for i := range legs {
		m.Observations = append(m.Observations, peerwire.Observation{Endpoint: peerwire.HashOf(relay.EndpointID(i + 1)), Outcome: relay.Succeeded, Newest: i%2 == 0, Ratio: 1})
	}
	return m
}

// BenchmarkHashes counts units whose hash is that of another, by the number of units.
func BenchmarkHashes(b *testing.B) {
	for _, units := range []int{1024, 4096, 12_000, 42_000} {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			rng := rand.New(rand.NewSource(1))
			alike, fleets := 0, 0
			for b.Loop() {
				first := map[peerwire.EndpointHash]int{}
				for range units {
					first[peerwire.HashOf(relay.EndpointID(rng.Uint64()))]++
				}
				for _, n := range first {
					if n > 1 {
						alike += n
					}
				}
				fleets++
			}
			b.ReportMetric(float64(alike)/float64(fleets), "alike-units")
		})
	}
}
