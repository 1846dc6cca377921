package policy

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// These benchmarks run at several sizes each. "lichenroad lab fit" fits curves to their results for docs/CAPACITY.md.

const (
	stepInterval    = 0.01   // seconds between two Steps
	attemptDuration = 0.15   // seconds
	warmupTime      = 12.0   // seconds simulated before a measurement; fills the evidence window
	maxReports      = 50_000 // maximum number of reports prepared before a measurement
	reportPeriod    = 10     // seconds after which the prepared reports of a relay repeat
	datagramHeader  = 20 + 8 // bytes of the IP and UDP headers
	megabyte        = 1_000_000
)

// openAttempt is an attempt that will succeed after attemptDuration.
type openAttempt struct {
	request  relay.RequestID
	endpoint relay.EndpointID
	at       relay.Seconds
}

// driver runs the decision module of one relay under constant load. Unlike world it checks nothing, so that benchmarks
// measure hardly anything but the module.
type driver struct {
	policy      *Policy
	settings    relay.Settings
	now         relay.Seconds
	steps       int // calls of Step by run
	nextID      relay.RequestID
	dueRequests float64       // requests that are due but not sent yet; may be a fraction
	timer       relay.Seconds // time of the next tick
	attempts    []openAttempt // sorted by time of sending, and so of their ends
	events      []relay.Event

	rejected int     // requests
	messages float64 // sent to other relays; a broadcast counts once
	bytes    float64 // size of these messages, with headers
}

func newDriver(settings relay.Settings) *driver {
	return &driver{policy: New(settings, 1), settings: settings}
}

// step delivers events and records the commands.
func (d *driver) step(events []relay.Event) {
	for _, command := range d.policy.Step(d.now, events) {
		switch command := command.(type) {
		case relay.SendAttempt:
			d.attempts = append(d.attempts, openAttempt{command.Request, command.Endpoint, d.now})
		case relay.Reject:
			d.rejected++
		case relay.SetTimer:
			d.timer = command.At
		case relay.SendMessage:
			d.messages++
			d.bytes += float64(len(command.Body) + datagramHeader)
		}
	}
}

// collectDue replaces events with those that are due: a tick and the ends of attempts.
func (d *driver) collectDue() {
	d.events = d.events[:0]
	if d.now >= d.timer {
		d.events = append(d.events, relay.TimerFired{ID: 1})
	}
	ended := 0
	for ended < len(d.attempts) && d.now-d.attempts[ended].at >= attemptDuration {
		attempt := d.attempts[ended]
		d.events = append(d.events, relay.AttemptEnded{Request: attempt.request, Endpoint: attempt.endpoint, Outcome: relay.Succeeded, Duration: attemptDuration, RequestFinished: true})
		ended++
	}
	d.attempts = append(d.attempts[:0], d.attempts[ended:]...)
}

// newRequest returns a request with known work, of a class whose requests may be retried.
func (d *driver) newRequest(tenant relay.Tenant) relay.Request {
	d.nextID++
	return relay.Request{ID: d.nextID - 1, Class: relay.RequestClass(d.nextID % 2), Tenant: tenant,
		Deadline: d.now + d.settings.Classes[d.nextID%2].Deadline, Work: 0.1, HasWork: true}
}

// benchLoad is the load on a relay besides its own ticks and the ends of its attempts.
type benchLoad struct {
	requests float64  // per second
	reports  [][]byte // encoded reports, delivered in turn as those of the other relays
	perRelay int      // reports per second from each other relay
	decision []byte   // encoded decision that each other aggregator sends once a second; nil: none
}

// run simulates a span of time under a load.
func (d *driver) run(span relay.Seconds, load benchLoad) {
	const stepsPerSec = 100
	for range int(span*stepsPerSec + 0.5) {
		d.now += stepInterval
		d.steps++
		d.collectDue()
		for d.dueRequests += load.requests * stepInterval; d.dueRequests >= 1; d.dueRequests-- {
			d.events = append(d.events, d.newRequest(0))
		}
		if len(load.reports) > 0 {
			for i := d.steps % stepsPerSec; i < d.settings.Relays; i += stepsPerSec {
				for k := 0; k < load.perRelay && i != int(d.settings.Self); k++ {
					body := load.reports[((d.steps/stepsPerSec)*d.settings.Relays*load.perRelay+i*load.perRelay+k)%len(load.reports)]
					d.events = append(d.events, relay.MessageReceived{From: relay.ID(i), Body: body})
				}
			}
		}
		if load.decision != nil && d.steps%stepsPerSec == 0 {
			for i := range min(aggregatorCount, d.settings.Relays) {
				if i != int(d.settings.Self) {
					d.events = append(d.events, relay.MessageReceived{From: relay.ID(i), Body: load.decision})
				}
			}
		}
		d.step(d.events)
	}
}

// startCanary lists endpoints, half of which run a build on trial, and delivers the status of that build. It returns the
// list.
func (d *driver) startCanary(endpoints int) []relay.Endpoint {
	list := scatteredEntries(endpoints, 1, 0, endpoints/2)
	list = append(list, scatteredEntries(endpoints, 2, endpoints/2, endpoints)...)
	d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: list},
		relay.RolloutStatus{Valid: true, Build: 2, Stage: 1, Phase: relay.PhaseCanary, ExposureLimit: 0.4}})
	return list
}

// scatteredEntries returns the part [from, to) of a list of endpoints. The ids are spread over the whole range, like
// those from discovery, which are hashes of names.
func scatteredEntries(endpoints int, build relay.Build, from, to int) (list []relay.Endpoint) {
	for i, entry := range entries(endpoints, build, 1)[from:to] {
		entry.ID = relay.EndpointID(uint64(from+i+1) * 0x9e3779b97f4a7c15)
		list = append(list, entry)
	}
	return list
}

// reportsOf returns encoded reports of a fleet in which each relay sends a number of attempts per second to random
// endpoints, and the number of reports per second that each relay needs for them.
func reportsOf(settings relay.Settings, list []relay.Endpoint, attempts int) (bodies [][]byte, perRelay int) {
	rng := rand.New(rand.NewSource(1))
	perRelay = max((attempts+peerwire.MaxObservations-1)/peerwire.MaxObservations, 1)
	for i := range min(settings.Relays*perRelay*reportPeriod, maxReports) {
		report := peerwire.Report{Build: 2, Stage: 1, Verdicts: make([]peerwire.ClassVerdict, len(settings.Classes))}
		for range min(attempts-i%perRelay*peerwire.MaxObservations, peerwire.MaxObservations) {
			index := rng.Intn(len(list))
			report.Observations = append(report.Observations, peerwire.Observation{Endpoint: peerwire.HashOf(list[index].ID), Outcome: relay.Succeeded, Newest: index >= len(list)/2, Ratio: 1})
		}
		bodies = append(bodies, report.Encode())
	}
	return bodies, perRelay
}

// noVoteDecision returns an encoded decision of an aggregator against any vote.
func noVoteDecision() []byte {
	return peerwire.Decision{Build: 2, Stage: 1, Ratios: []float64{1, 1}}.Encode()
}

// fleetSettings returns the settings of one relay of a fleet.
func fleetSettings(relays, self int) relay.Settings {
	settings := testSettings()
	settings.Relays, settings.Self = relays, relay.ID(self)
	return settings
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

var endpointCounts = []int{300, 1000, 2048, 4096, 8192, 12_000, 20_000, 30_000, 42_000}

// BenchmarkFirstList measures the first full list, in which all endpoints are new, and the memory that they take.
func BenchmarkFirstList(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			list := scatteredEntries(endpoints, 1, 0, endpoints)
			before := heapInUse()
			for range b.N {
				d := newDriver(fleetSettings(300, 299))
				d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: list}})
				b.StopTimer()
				b.ReportMetric(heapInUse()-before, "heap-B")
				runtime.KeepAlive(d)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkWholeList measures a full list without changes.
func BenchmarkWholeList(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			d := newDriver(fleetSettings(300, 299))
			list := d.startCanary(endpoints)
			for b.Loop() {
				d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: list}})
			}
		})
	}
}

// BenchmarkDelta measures an update of one entry.
func BenchmarkDelta(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			d := newDriver(fleetSettings(300, 299))
			list := d.startCanary(endpoints)
			n := 0
			for b.Loop() {
				entry := list[n%endpoints]
				if n++; n/endpoints%2 == 0 {
					entry.State = relay.Draining
				}
				d.step([]relay.Event{relay.ListUpdate{Kind: relay.ListDelta, Endpoints: []relay.Endpoint{entry}}})
			}
		})
	}
}

// BenchmarkQuery measures the choice of an endpoint for a request, and the end of the attempt.
func BenchmarkQuery(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			d := newDriver(fleetSettings(300, 299))
			d.startCanary(endpoints)
			d.run(3, benchLoad{requests: 77, decision: noVoteDecision()})
			d.attempts = nil
			for b.Loop() {
				d.step([]relay.Event{d.newRequest(0)})
				for _, attempt := range d.attempts {
					d.step([]relay.Event{relay.AttemptEnded{Request: attempt.request, Endpoint: attempt.endpoint, Outcome: relay.Succeeded, Duration: attemptDuration, RequestFinished: true}})
				}
				d.attempts = d.attempts[:0]
				d.step(nil)
				if len(d.policy.router.openRequests) > 1000 { // a tick, which is not measured here, drops finished requests
					b.StopTimer()
					d.step([]relay.Event{relay.TimerFired{ID: 1}})
					b.StartTimer()
				}
			}
		})
	}
}

// BenchmarkTick measures a tick of a relay that does not aggregate and has no open request. The ticks are 50 ms apart, so
// that one in five forms verdicts, as in production.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			d := newDriver(fleetSettings(300, 299))
			d.startCanary(endpoints)
			decision, ticks := noVoteDecision(), 0
			for b.Loop() {
				d.now += tickInterval
				events := []relay.Event{relay.TimerFired{ID: 1}}
				if ticks++; ticks%20 == 1 {
					for i := range relay.ID(aggregatorCount) {
						events = append(events, relay.MessageReceived{From: i, Body: decision})
					}
				}
				d.step(events)
			}
			if d.policy.aggregator.active {
				b.Fatal("the relay aggregates")
			}
		})
	}
}

// runSeconds measures seconds of a relay under a load, after a warm-up, and reports its heap and the messages that it
// sent.
func runSeconds(b *testing.B, d *driver, load benchLoad, before float64, aggregates bool) {
	d.run(warmupTime, load)
	d.messages, d.bytes, d.rejected = 0, 0, 0
	seconds := 0.0
	for b.Loop() {
		d.run(1, load)
		seconds++
	}
	if d.policy.aggregator.active != aggregates || d.rejected > 0 {
		b.Fatalf("aggregates: %v, rejected: %d", d.policy.aggregator.active, d.rejected)
	}
	b.ReportMetric(d.messages/seconds, "messages-out/s")
	b.ReportMetric(d.bytes/seconds, "bytes-out/s")
	b.ReportMetric((heapInUse()-before)/megabyte, "heap-MB")
	runtime.KeepAlive(d)
	runtime.KeepAlive(load)
}

// BenchmarkRelaySecond measures a second of a relay that does not aggregate, by number of endpoints, in a fleet of 4,300
// relays with the target load of 77 requests per second each.
func BenchmarkRelaySecond(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			before := heapInUse()
			d := newDriver(fleetSettings(4300, 4299))
			d.startCanary(endpoints)
			runSeconds(b, d, benchLoad{requests: 77, decision: noVoteDecision()}, before, false)
		})
	}
}

// BenchmarkRelayRate measures the same by number of requests per second, with few endpoints. The reports to the
// aggregators grow with the requests.
func BenchmarkRelayRate(b *testing.B) {
	for _, rate := range []int{3, 10, 30, 77, 150, 300} {
		b.Run(fmt.Sprintf("queries=%d", rate), func(b *testing.B) {
			before := heapInUse()
			d := newDriver(fleetSettings(4300, 4299))
			d.startCanary(300)
			runSeconds(b, d, benchLoad{requests: float64(rate), decision: noVoteDecision()}, before, false)
		})
	}
}

// BenchmarkAggregatorSecond measures a second of an aggregator that gets 30 requests, and a report of four attempts from
// each other relay.
func BenchmarkAggregatorSecond(b *testing.B) {
	for _, relays := range []int{4, 43, 300, 1290, 4300} {
		for _, endpoints := range []int{20, 150, 1024, 4096, 12_000, 42_000} {
			b.Run(fmt.Sprintf("relays=%d/units=%d", relays, endpoints), func(b *testing.B) { aggregatorSecond(b, relays, endpoints, 30, 4) })
		}
	}
}

// BenchmarkAggregatorPart measures a second of an aggregator in fractions, in thousandths, of the target fleet of 4,300
// relays and 42,000 endpoints. Each relay has the target load of 77 requests per second and reports as many attempts.
func BenchmarkAggregatorPart(b *testing.B) {
	for _, permille := range []int{1, 2, 5, 10, 20, 50, 100, 300, 1000} {
		relays, endpoints := 4300*permille/1000, 42_000*permille/1000
		b.Run(fmt.Sprintf("permille=%d", permille), func(b *testing.B) { aggregatorSecond(b, relays, endpoints, 77, 77) })
	}
}

// aggregatorSecond measures a second of an aggregator with a number of requests of its own, and a number of attempts that
// each other relay reports.
func aggregatorSecond(b *testing.B, relays, endpoints int, requests float64, attempts int) {
	settings := fleetSettings(relays, 0)
	load := benchLoad{requests: requests, decision: noVoteDecision()}
	load.reports, load.perRelay = reportsOf(settings, append(scatteredEntries(endpoints, 1, 0, endpoints/2), scatteredEntries(endpoints, 2, endpoints/2, endpoints)...), attempts)
	bytesIn := 0.0
	for _, body := range load.reports {
		bytesIn += float64(len(body)+datagramHeader) / float64(len(load.reports)) * float64(load.perRelay*(relays-1))
	}
	before := heapInUse()
	d := newDriver(settings)
	d.startCanary(endpoints)
	runSeconds(b, d, load, before, true)
	b.ReportMetric(bytesIn, "bytes-in/s")
	b.ReportMetric(float64(load.perRelay*(relays-1)), "messages-in/s")
}

// BenchmarkTenants measures a request by the number of tenants with a traffic share, and the memory that the tenants take.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{1000, 10_000, 50_000, 120_000, 270_000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			settings := fleetSettings(4300, 4299)
			before := heapInUse()
			for range tenants {
				settings.Tenants = append(settings.Tenants, relay.TenantSettings{TrafficShare: 1 / float64(tenants)})
			}
			d := newDriver(settings)
			d.startCanary(20)
			d.run(1, benchLoad{requests: 77, decision: noVoteDecision()})
			n := 0
			for b.Loop() {
				d.now += 1.0 / 77
				d.collectDue()
				d.events = append(d.events, d.newRequest(relay.Tenant(n%tenants)))
				n++
				d.step(d.events)
			}
			b.ReportMetric((heapInUse()-before)/megabyte, "heap-MB")
			runtime.KeepAlive(d)
			runtime.KeepAlive(settings)
		})
	}
}

// BenchmarkEncode measures the encoding of a report, by the number of attempts in it.
func BenchmarkEncode(b *testing.B) {
	for _, attempts := range reportSizes {
		b.Run(fmt.Sprintf("legs=%d", attempts), func(b *testing.B) {
			report := reportOf(attempts)
			bytes := 0
			for b.Loop() {
				bytes = len(report.Encode())
			}
			b.ReportMetric(float64(bytes), "wire-B")
		})
	}
}

// BenchmarkDecode measures the decoding of a report, by the number of attempts in it.
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

// BenchmarkMerge measures the decoding of a report and its addition to the evidence on the endpoints, by the number of
// attempts in it, at an aggregator of a fleet of 4,300 relays and 42,000 endpoints.
func BenchmarkMerge(b *testing.B) {
	for _, attempts := range reportSizes {
		b.Run(fmt.Sprintf("legs=%d", attempts), func(b *testing.B) {
			const endpoints = 42_000
			settings := fleetSettings(4300, 0)
			d := newDriver(settings)
			bodies, _ := reportsOf(settings, d.startCanary(endpoints), attempts)
			n := 0
			for b.Loop() {
				d.now += 1.0 / 4300
				d.step([]relay.Event{relay.MessageReceived{From: relay.ID(1 + n%4299), Body: bodies[n%len(bodies)]}})
				n++
			}
		})
	}
}

// reportSizes are the numbers of attempts in a report that are measured.
var reportSizes = []int{1, 4, 12, 24, 36}

func reportOf(attempts int) peerwire.Report {
	report := peerwire.Report{Build: 861, Stage: 1, Verdicts: make([]peerwire.ClassVerdict, 3)}
	for i := range attempts {
		report.Observations = append(report.Observations, peerwire.Observation{Endpoint: peerwire.HashOf(relay.EndpointID(i + 1)), Outcome: relay.Succeeded, Newest: i%2 == 0, Ratio: 1})
	}
	return report
}

// BenchmarkHashes counts endpoints that share their hash with another one, by the number of endpoints.
func BenchmarkHashes(b *testing.B) {
	for _, endpoints := range []int{1024, 4096, 12_000, 42_000} {
		b.Run(fmt.Sprintf("units=%d", endpoints), func(b *testing.B) {
			rng := rand.New(rand.NewSource(1))
			colliding, fleets := 0, 0
			for b.Loop() {
				first := map[peerwire.EndpointHash]int{}
				for range endpoints {
					first[peerwire.HashOf(relay.EndpointID(rng.Uint64()))]++
				}
				for _, n := range first {
					if n > 1 {
						colliding += n
					}
				}
				fleets++
			}
			b.ReportMetric(float64(colliding)/float64(fleets), "alike-units")
		})
	}
}
