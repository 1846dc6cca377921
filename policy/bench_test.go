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
	attemptTime  = 0.15   // s that an attempt takes
	settleTime   = 12.0   // s before the clock of a benchmark runs: the evidence window is full then
	maxReports   = 50_000 // reports made before the clock runs, at most
	reportRounds = 10     // seconds after which a relay says the same again
	ipAndUDP     = 20 + 8 // bytes of a datagram's headers
	megabyte     = 1_000_000
)

// openAttempt is an attempt that will be succeeded.
type openAttempt struct {
	request  relay.RequestID
	endpoint relay.EndpointID
	at       relay.Seconds
}

// driver runs one module under even load. Unlike world it checks nothing, so that a benchmark times little but the module.
type driver struct {
	mod      *Policy
	set      relay.Settings
	now      relay.Seconds
	round    int
	next     relay.RequestID
	owed     float64 // requests that are due
	timer    relay.Seconds
	attempts []openAttempt // in the order of their ends
	events   []relay.Event

	rejected int
	messages float64 // sent
	bytes    float64 // of them, with UDP and IP headers
}

func newDriver(set relay.Settings) *driver { return &driver{mod: New(set, 1), set: set} }

// step delivers events and takes the orders in.
func (d *driver) step(events []relay.Event) {
	for _, o := range d.mod.Step(d.now, events) {
		switch o := o.(type) {
		case relay.SendAttempt:
			d.attempts = append(d.attempts, openAttempt{o.Request, o.Endpoint, d.now})
		case relay.Reject:
			d.rejected++
		case relay.SetTimer:
			d.timer = o.At
		case relay.SendMessage:
			d.messages++
			d.bytes += float64(len(o.Body) + ipAndUDP)
		}
	}
}

// due collects the wake-up and the ends of attempts that are due.
func (d *driver) due() {
	d.events = d.events[:0]
	if d.now >= d.timer {
		d.events = append(d.events, relay.TimerFired{ID: 1})
	}
	ended := 0
	for ended < len(d.attempts) && d.now-d.attempts[ended].at >= attemptTime {
		l := d.attempts[ended]
		d.events = append(d.events, relay.AttemptEnded{Request: l.request, Endpoint: l.endpoint, Outcome: relay.Succeeded, Duration: attemptTime, RequestFinished: true})
		ended++
	}
	d.attempts = append(d.attempts[:0], d.attempts[ended:]...)
}

// request is a request of a class that may be sent again, with a known work.
func (d *driver) newRequest(tenant relay.Tenant) relay.Request {
	d.next++
	return relay.Request{ID: d.next - 1, Class: relay.RequestClass(d.next % 2), Tenant: tenant,
		Deadline: d.now + d.set.Classes[d.next%2].Deadline, Work: 0.1, HasWork: true}
}

// load is what comes to a relay besides its own ticks and the ends of its attempts.
type benchLoad struct {
	requests  float64  // a second
	reports   [][]byte // told by other relays: each of them tells so many a second
	each      int
	decisions []byte // told by each aggregator but this relay once a second
}

// run lets time pass under a load.
func (d *driver) run(span relay.Seconds, l benchLoad) {
	const rounds = 100 // a second
	for range int(span*rounds + 0.5) {
		d.now += roundSpan
		d.round++
		d.due()
		for d.owed += l.requests * roundSpan; d.owed >= 1; d.owed-- {
			d.events = append(d.events, d.newRequest(0))
		}
		if len(l.reports) > 0 {
			for i := d.round % rounds; i < d.set.Relays; i += rounds {
				for k := 0; k < l.each && i != int(d.set.Self); k++ {
					body := l.reports[((d.round/rounds)*d.set.Relays*l.each+i*l.each+k)%len(l.reports)]
					d.events = append(d.events, relay.MessageReceived{From: relay.ID(i), Body: body})
				}
			}
		}
		if l.decisions != nil && d.round%rounds == 0 {
			for i := range min(aggregatorCount, d.set.Relays) {
				if i != int(d.set.Self) {
					d.events = append(d.events, relay.MessageReceived{From: relay.ID(i), Body: l.decisions})
				}
			}
		}
		d.step(d.events)
	}
}

// canaryAttempts lists endpoints of which half run a build on trial, and tells that build's status.
func (d *driver) startCanary(endpoints int) []relay.Endpoint {
	es := scattered(endpoints, 1, 0, endpoints/2)
	es = append(es, scattered(endpoints, 2, endpoints/2, endpoints)...)
	d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: es},
		relay.RolloutStatus{Valid: true, Build: 2, Stage: 1, Phase: relay.PhaseCanary, ExposureLimit: 0.4}})
	return es
}

// scattered are endpoints with ids like those of discovery's, which are hashes of names.
func scattered(endpoints int, build relay.Build, from, to int) (es []relay.Endpoint) {
	for i, e := range entries(endpoints, build, 1)[from:to] {
		e.ID = relay.EndpointID(uint64(from+i+1) * 0x9e3779b97f4a7c15)
		es = append(es, e)
	}
	return es
}

// reportsOf makes the reports of a fleet: so many attempts of each relay a second, spread over all endpoints by chance.
func reportsOf(set relay.Settings, es []relay.Endpoint, attempts int) (bodies [][]byte, each int) {
	rng := rand.New(rand.NewSource(1))
	each = max((attempts+peerwire.MaxObservations-1)/peerwire.MaxObservations, 1)
	for no := range min(set.Relays*each*reportRounds, maxReports) {
		m := peerwire.Report{Build: 2, Stage: 1, Verdicts: make([]peerwire.ClassVerdict, len(set.Classes))}
		for range min(attempts-no%each*peerwire.MaxObservations, peerwire.MaxObservations) {
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
	set.Relays, set.Self = relays, relay.ID(self)
	return set
}

// heap is the memory in use, for differences.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

var endpointCounts = []int{300, 1000, 2048, 4096, 8192, 12_000, 20_000, 30_000, 42_000}

// BenchmarkFirstList is the first whole list, and what the endpoints take: nothing is known of them yet.
func BenchmarkFirstList(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			es := scattered(endpoints, 1, 0, endpoints)
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
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			d := newDriver(fleetOf(300, 299))
			es := d.startCanary(endpoints)
			for b.Loop() {
				d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: es}})
			}
		})
	}
}

// BenchmarkDelta is a list of one change.
func BenchmarkDelta(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			d := newDriver(fleetOf(300, 299))
			es := d.startCanary(endpoints)
			no := 0
			for b.Loop() {
				e := es[no%endpoints]
				if no++; no/endpoints%2 == 0 {
					e.State = relay.Draining
				}
				d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListDelta, Endpoints: []relay.Endpoint{e}}})
			}
		})
	}
}

// BenchmarkQuery is the choice of an endpoint for a request, and the end of its attempt.
func BenchmarkQuery(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			d := newDriver(fleetOf(300, 299))
			d.startCanary(endpoints)
			d.run(3, benchLoad{requests: 77, decisions: aDecision()})
			d.attempts = nil
			for b.Loop() {
				d.step([]relay.Event{d.newRequest(0)})
				for _, l := range d.attempts {
					d.step([]relay.Event{relay.AttemptEnded{Request: l.request, Endpoint: l.endpoint, Outcome: relay.Succeeded, Duration: attemptTime, RequestFinished: true}})
				}
				d.attempts = d.attempts[:0]
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

// BenchmarkTick is one of the twenty looks a second of a relay that does not aggregate and has no request open. Each is 50 ms
// after the one before, so that one in five forms verdicts, as in service.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			d := newDriver(fleetOf(300, 299))
			d.startCanary(endpoints)
			decisions, no := aDecision(), 0
			for b.Loop() {
				d.now += tickInterval
				events := []relay.Event{relay.TimerFired{ID: 1}}
				if no++; no%20 == 1 {
					for i := range relay.ID(aggregatorCount) {
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
func runSeconds(b *testing.B, d *driver, l benchLoad, before float64, aggregates bool) {
	d.run(settleTime, l)
	d.messages, d.bytes, d.rejected = 0, 0, 0
	seconds := 0.0
	for b.Loop() {
		d.run(1, l)
		seconds++
	}
	if d.mod.aggregator.active != aggregates || d.rejected > 0 {
		b.Fatalf("aggregates: %v, rejected: %d", d.mod.aggregator.active, d.rejected)
	}
	b.ReportMetric(d.messages/seconds, "messages-out/s")
	b.ReportMetric(d.bytes/seconds, "bytes-out/s")
	b.ReportMetric((heap()-before)/megabyte, "heap-MB")
	runtime.KeepAlive(d)
	runtime.KeepAlive(l)
}

// BenchmarkRelaySecond is a second of a relay that does not aggregate, by endpoints, in a fleet of 4,300 at the target's 77 requests.
func BenchmarkRelaySecond(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			before := heap()
			d := newDriver(fleetOf(4300, 4299))
			d.startCanary(endpoints)
			runSeconds(b, d, benchLoad{requests: 77, decisions: aDecision()}, before, false)
		})
	}
}

// BenchmarkRelayRate is the same by requests a second, before few endpoints: what it tells the aggregators grows with them.
func BenchmarkRelayRate(b *testing.B) {
	for _, rate := range []int{3, 10, 30, 77, 150, 300} {
		b.Run(fmt.Sprintf("queries=%d", rate), func(b *testing.B) {
			before := heap()
			d := newDriver(fleetOf(4300, 4299))
			d.startCanary(300)
			runSeconds(b, d, benchLoad{requests: float64(rate), decisions: aDecision()}, before, false)
		})
	}
}

// BenchmarkAggregatorSecond is a second of an aggregator: 30 requests of its own, and a report of four attempts from each relay.
func BenchmarkAggregatorSecond(b *testing.B) {
	for _, relays := range []int{4, 43, 300, 1290, 4300} {
		for _, endpoints := range []int{20, 150, 1024, 4096, 12_000, 42_000} {
			b.Run(fmt.Sprintf("relays=%d/units=%d", relays, endpoints), func(b *testing.B) { aggregatorSecond(b, relays, endpoints, 30, 4) })
		}
	}
}

// BenchmarkAggregatorPart is an aggregator's second in a fleet that is a part of the target's, in thousandths: relays and endpoints
// shrink together, each relay takes the target's 77 requests a second and tells as many attempts.
func BenchmarkAggregatorPart(b *testing.B) {
	for _, part := range []int{1, 2, 5, 10, 20, 50, 100, 300, 1000} {
		relays, endpoints := 4300*part/1000, 42_000*part/1000
		b.Run(fmt.Sprintf("permille=%d", part), func(b *testing.B) { aggregatorSecond(b, relays, endpoints, 77, 77) })
	}
}

func aggregatorSecond(b *testing.B, relays, endpoints int, queries float64, attempts int) {
	set := fleetOf(relays, 0)
	l := benchLoad{requests: queries, decisions: aDecision()}
	l.reports, l.each = reportsOf(set, append(scattered(endpoints, 1, 0, endpoints/2), scattered(endpoints, 2, endpoints/2, endpoints)...), attempts)
	received := 0.0
	for _, body := range l.reports {
		received += float64(len(body)+ipAndUDP) / float64(len(l.reports)) * float64(l.each*(relays-1))
	}
	before := heap()
	d := newDriver(set)
	d.startCanary(endpoints)
	runSeconds(b, d, l, before, true)
	b.ReportMetric(received, "bytes-in/s")
	b.ReportMetric(float64(l.each*(relays-1)), "messages-in/s")
}

// BenchmarkTenants is a request where so many tenants have a share, and what they take.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{1000, 10_000, 50_000, 120_000, 270_000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			set := fleetOf(4300, 4299)
			before := heap()
			for range tenants {
				set.Tenants = append(set.Tenants, relay.TenantSettings{TrafficShare: 1 / float64(tenants)})
			}
			d := newDriver(set)
			d.startCanary(20)
			d.run(1, benchLoad{requests: 77, decisions: aDecision()})
			no := 0
			for b.Loop() {
				d.now += 1.0 / 77
				d.due()
				d.events = append(d.events, d.newRequest(relay.Tenant(no%tenants)))
				no++
				d.step(d.events)
			}
			b.ReportMetric((heap()-before)/megabyte, "heap-MB")
			runtime.KeepAlive(d)
			runtime.KeepAlive(set)
		})
	}
}

// BenchmarkEncode writes one report, and BenchmarkDecode reads it, by the attempts in it.
func BenchmarkEncode(b *testing.B) {
	for _, attempts := range reportSizes {
		b.Run(fmt.Sprintf("legs=%d", attempts), func(b *testing.B) {
			m := reportOf(attempts)
			bytes := 0
			for b.Loop() {
				bytes = len(m.Encode())
			}
			b.ReportMetric(float64(bytes), "wire-B")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, attempts := range reportSizes {
		b.Run(fmt.Sprintf("legs=%d", attempts), func(b *testing.B) {
			body := reportOf(attempts).Encode()
			for b.Loop() {
				if _, err := peerwire.Decode(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMerge takes one report in at an aggregator of 4,300 relays and 42,000 endpoints, by the attempts in it: reading it, and adding
// what it tells to the endpoints' evidence.
func BenchmarkMerge(b *testing.B) {
	for _, attempts := range reportSizes {
		b.Run(fmt.Sprintf("legs=%d", attempts), func(b *testing.B) {
			const endpoints = 42_000
			set := fleetOf(4300, 0)
			d := newDriver(set)
			bodies, _ := reportsOf(set, d.startCanary(endpoints), attempts)
			no := 0
			for b.Loop() {
				d.now += 1.0 / 4300
				d.step([]relay.Event{relay.MessageReceived{From: relay.ID(1 + no%4299), Body: bodies[no%len(bodies)]}})
				no++
			}
		})
	}
}

var reportSizes = []int{1, 4, 12, 24, 36}

func reportOf(attempts int) peerwire.Report {
	m := peerwire.Report{Build: 861, Stage: 1, Verdicts: make([]peerwire.ClassVerdict, 3)}
	for i := range attempts {
		m.Observations = append(m.Observations, peerwire.Observation{Endpoint: peerwire.HashOf(relay.EndpointID(i + 1)), Outcome: relay.Succeeded, Newest: i%2 == 0, Ratio: 1})
	}
	return m
}

// BenchmarkHashes counts endpoints whose hash is that of another, by the number of endpoints.
func BenchmarkHashes(b *testing.B) {
	for _, endpoints := range []int{1024, 4096, 12_000, 42_000} {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			rng := rand.New(rand.NewSource(1))
			alike, fleets := 0, 0
			for b.Loop() {
				first := map[peerwire.EndpointHash]int{}
				for range endpoints {
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
