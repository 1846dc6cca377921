package scale

import (
	"math"
	"testing"
)

// simulateTicks simulates all ticks on this goroutine, and calls look at the start of each.
func simulateTicks(t *testing.T, o Options, look func(sim *simulation, now float64)) *simulation {
	t.Helper()
	sim, err := newSimulation(o)
	if err != nil {
		t.Fatal(err)
	}
	for n := range int64(math.Round(o.Seconds / tick)) {
		from, to := float64(n)*tick, float64(n+1)*tick
		sim.beginTick(n, from)
		if look != nil {
			look(sim, from)
		}
		for _, h := range sim.hollowRelays {
			h.advance(from, to)
		}
		sim.collectOutput(to)
	}
	return sim
}

// TestKillsAndRestartsKeepTheirRates counts the events planned for the target in an hour.
func TestKillsAndRestartsKeepTheirRates(t *testing.T) {
	for _, c := range []struct {
		fault Fault
		mean  float64 // in an hour, at the target's size
	}{{RelayKillsX100, 59 * 100 / 24.0}, {Restarts, 3500 / 24.0}, {RestartsX100, 3500 * 100 / 24.0}} {
		n := len(planFaults(&Options{Seconds: 3600, Seed: 5, Faults: []Fault{c.fault}}, 4300))
		if math.Abs(float64(n)-c.mean) > 4*math.Sqrt(c.mean) {
			t.Errorf("%s: %d in an hour, not about %g", c.fault, n, c.mean)
		}
	}
	n := 0
	for seed := range int64(400) { // 2.5 in an hour are too few for one count
		n += len(planFaults(&Options{Seconds: 3600, Seed: seed, Faults: []Fault{RelayKills}}, 4300))
	}
	if mean := 400 * 59 / 24.0; math.Abs(float64(n)-mean) > 4*math.Sqrt(mean) {
		t.Errorf("%d kills in 400 hours, not about %g", n, mean)
	}
}

func TestKilledRelayReturnsWithoutState(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Relays, o.Endpoints = 5, 10 })
	var before int
	sim := simulateTicks(t, o, func(sim *simulation, now float64) {
		h := sim.hollowRelays[2]
		switch {
		case now == 0:
			sim.scheduleFollowUp(2, func(now float64) { sim.killRelay(now, sim.relays[2], 3) })
		case now > 2.1 && now < 4.9:
			if h.alive || h.policy != nil || len(h.requests) > 0 {
				t.Fatalf("at %g s the relay runs", now)
			}
		case now > 5.1 && now < 5.2:
			if !h.alive || h.incarnation != 2 || h.policy == nil {
				t.Fatalf("at %g s the relay is not back", now)
			}
			before = len(h.timers.heap)
		}
	})
	if sim.faultCounts.Kills != 1 || before == 0 {
		t.Errorf("%+v, %d timers", sim.faultCounts, before)
	}
	if h := sim.hollowRelays[2]; math.Abs(h.meter.aliveSeconds-(14-3)) > 2*tick || h.meter.requests.Received == 0 {
		t.Errorf("the relay ran for %g s", h.meter.aliveSeconds)
	}
}

// TestPlacesAreLostAndReturn simulates the loss of a rack and of a zone.
func TestPlacesAreLostAndReturn(t *testing.T) {
	for _, fault := range []Fault{RackLoss, ZoneLoss} {
		o := smallOptions(Wide, func(o *Options) { o.Zones, o.Regions, o.Endpoints, o.Faults = 2, 2, 300, []Fault{fault} })
		from, to := o.outage()
		hit := func(p place) bool { return p.zone == 0 && (fault == ZoneLoss || p.rack == 0) }
		lost, endpoints := 0, 0
		sim := simulateTicks(t, o, func(sim *simulation, now float64) {
			if now > from+tick && now < to-tick {
				lost, endpoints = 0, 0
				for _, r := range sim.relays {
					if r.alive == hit(r.place) {
						t.Fatalf("%s: at %g s relay %+v runs: %v", fault, now, r.place, r.alive)
					}
					if !r.alive {
						lost++
					}
				}
				for _, e := range sim.services[0].endpoints {
					if hit(e.place) && e.isRunning(now) && e.startedAt < from {
						t.Fatalf("%s: at %g s %s runs", fault, now, e.name)
					}
					endpoints++
				}
			}
		})
		if lost == 0 || sim.faultCounts.Kills != lost || sim.faultCounts.EndpointsLost == 0 {
			t.Errorf("%s: %d relays, %+v", fault, lost, sim.faultCounts)
		}
		if fault == RackLoss && sim.faultCounts.EndpointsLost > machinesPerRack {
			t.Errorf("a rack had %d endpoints", sim.faultCounts.EndpointsLost)
		}
		for _, r := range sim.relays {
			if !r.alive {
				t.Errorf("%s: a relay is still down", fault)
			}
		}
	}
}

// sendAcross sends one datagram from a region to another, and returns how many arrive.
func sendAcross(sim *simulation, from, to int) int {
	before := sim.network.counts.Delivered
	at := sim.network.now
	source, target := &fleetRelay{place: place{region: from}}, &hollowRelay{fleetRelay: &fleetRelay{place: place{region: to}, alive: true}}
	sim.network.send(datagram{from: source, body: []byte{1}}, target)
	for i := int64(1); i < slotCount; i++ {
		sim.network.deliver(at + i)
	}
	return int(sim.network.counts.Delivered - before)
}

func TestCutsOfTheLastRegion(t *testing.T) {
	sim := &simulation{options: Options{Regions: 3}}
	sim.network = newNetwork(&sim.options)
	sim.partitionedFrom, sim.partitionedUntil = never, never
	expect := func(when string, want map[[2]int]int) {
		t.Helper()
		for _, way := range [][2]int{{0, 1}, {1, 0}, {0, 2}, {2, 0}, {2, 2}} {
			n, closed := want[way]
			if !closed {
				n = 1
			}
			if got := sendAcross(sim, way[0], way[1]); got != n {
				t.Errorf("%s: %v: %d arrived", when, way, got)
			}
		}
	}
	expect("before", nil)
	sim.setPartition(10, true)
	expect("split", map[[2]int]int{{0, 2}: 0, {2, 0}: 0})
	if got := sim.unreachableTime(2, 5, 13); got != 3 {
		t.Errorf("unreachable for %g s", got)
	}
	if got := sim.unreachableTime(1, 5, 13); got != 0 {
		t.Errorf("another region: %g s", got)
	}
	sim.setPartition(15, false)
	expect("healed", nil)
	if got := sim.unreachableTime(2, 12, 20); got != 3 {
		t.Errorf("unreachable for %g s after the partition", got)
	}
	sim.network.oneWay = true
	expect("one way", map[[2]int]int{{2, 0}: 0})
	if got := sim.network.counts.Partitioned; got != 3 {
		t.Errorf("%d lost by the partition", got)
	}
}

// TestDatagramFaults sends many datagrams from one relay to another.
func TestDatagramFaults(t *testing.T) {
	const sent = 20_000
	count := func(fault Fault) (networkCounts, int) {
		o := Options{Regions: 1, Faults: []Fault{fault}}
		n := newNetwork(&o)
		to := &hollowRelay{fleetRelay: &fleetRelay{alive: true}}
		from := &fleetRelay{}
		late := 0
		for i := range int64(sent) {
			n.deliver(i)
			n.send(datagram{from: from, body: []byte{byte(i), byte(i >> 8)}}, to)
		}
		for i := int64(sent); i < sent+slotCount; i++ {
			n.deliver(i)
		}
		last := -1
		for _, d := range to.inbox {
			if index := int(d.body[0]) | int(d.body[1])<<8; index < last-maxNearDelay {
				late++
			} else {
				last = index
			}
		}
		if got := int64(len(to.inbox)); got != n.counts.Delivered || got != sent-n.counts.Lost+n.counts.Duplicated {
			t.Errorf("%s: %d arrived, %+v", fault, got, n.counts)
		}
		return n.counts, late
	}
	near := func(n int64, part float64) bool { return math.Abs(float64(n)-part*sent) < 0.1*part*sent }
	if c, _ := count(DatagramLoss); !near(c.Lost, lossFraction) || c.Duplicated+c.Reordered > 0 {
		t.Errorf("%+v", c)
	}
	if c, _ := count(Duplicates); !near(c.Duplicated, duplicateFraction) || c.Lost+c.Reordered > 0 {
		t.Errorf("%+v", c)
	}
	if c, late := count(Reorder); !near(c.Reordered, reorderFraction) || c.Lost+c.Duplicated > 0 || late < sent/10 {
		t.Errorf("%+v, %d out of order", c, late)
	}
}

// TestAllAggregatorsAreKilledAtOnce checks that the next relays take their place.
func TestAllAggregatorsAreKilledAtOnce(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Faults = []Fault{AllAggregatorsKilled} })
	at := aggregatorsKilledAt * o.Seconds
	sim := simulateTicks(t, o, func(sim *simulation, now float64) {
		for _, r := range sim.relays {
			if dead := now > at-tick/2 && int(r.number) < aggregatorCount; r.alive == dead && now < at+replacementTime-tick {
				t.Fatalf("at %g s relay %d runs: %v", now, r.number, r.alive)
			}
		}
	})
	if sim.faultCounts.Kills != aggregatorCount {
		t.Errorf("%+v", sim.faultCounts)
	}
	for _, h := range sim.hollowRelays {
		if want := h.number < 2*aggregatorCount; h.meter.aggregated != want {
			t.Errorf("relay %d aggregated: %v", h.number, h.meter.aggregated)
		}
	}
}
