package scale

import (
	"math"
	"testing"
)

// simulateTicks simulates all ticks on this goroutine. It calls inspect at the start of each tick, unless it is nil.
func simulateTicks(t *testing.T, o Options, inspect func(sim *simulation, now float64)) *simulation {
	t.Helper()
	sim, err := newSimulation(o)
	if err != nil {
		t.Fatal(err)
	}
	for n := range int64(math.Round(o.Seconds / tick)) {
		from, to := float64(n)*tick, float64(n+1)*tick
		sim.beginTick(n, from)
		if inspect != nil {
			inspect(sim, from)
		}
		for _, h := range sim.hollowRelays {
			h.advance(from, to)
		}
		sim.collectOutput(to)
	}
	return sim
}

// TestKillsAndRestartsKeepTheirRates counts the planned events of a fleet of the target size. The tolerance is four standard
// deviations of the Poisson distribution.
func TestKillsAndRestartsKeepTheirRates(t *testing.T) {
	for _, c := range []struct {
		fault Fault
		mean  float64 // events per hour at the target size
	}{{RelayKillsX100, 59 * 100 / 24.0}, {Restarts, 3500 / 24.0}, {RestartsX100, 3500 * 100 / 24.0}} {
		n := len(planFaults(&Options{Seconds: 3600, Seed: 5, Faults: []Fault{c.fault}}, 4300))
		if math.Abs(float64(n)-c.mean) > 4*math.Sqrt(c.mean) {
			t.Errorf("%s: %d events per hour, want about %g", c.fault, n, c.mean)
		}
	}
	n := 0
	for seed := range int64(400) { // one hour has too few events, 2.5 on average
		n += len(planFaults(&Options{Seconds: 3600, Seed: seed, Faults: []Fault{RelayKills}}, 4300))
	}
	if mean := 400 * 59 / 24.0; math.Abs(float64(n)-mean) > 4*math.Sqrt(mean) {
		t.Errorf("%d kills in 400 hours, want about %g", n, mean)
	}
}

func TestKilledRelayReturnsWithoutState(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Relays, o.Endpoints = 5, 10 })
	var timerCount int
	sim := simulateTicks(t, o, func(sim *simulation, now float64) {
		h := sim.hollowRelays[2]
		switch {
		case now == 0:
			sim.scheduleFollowUp(2, func(now float64) { sim.killRelay(now, sim.relays[2], 3) })
		case now > 2.1 && now < 4.9:
			if h.alive || h.policy != nil || len(h.requests) > 0 {
				t.Fatalf("at %g s the killed relay is still running or has state", now)
			}
		case now > 5.1 && now < 5.2:
			if !h.alive || h.incarnation != 2 || h.policy == nil {
				t.Fatalf("at %g s the killed relay has not restarted", now)
			}
			timerCount = len(h.timers.heap)
		}
	})
	if sim.faultCounts.Kills != 1 || timerCount == 0 {
		t.Errorf("fault counts %+v, and %d timers after the restart", sim.faultCounts, timerCount)
	}
	if h := sim.hollowRelays[2]; math.Abs(h.meter.aliveSeconds-(14-3)) > 2*tick || h.meter.requests.Received == 0 {
		t.Errorf("the relay ran for %g s, want about 11 s, and received %d requests", h.meter.aliveSeconds, h.meter.requests.Received)
	}
}

// TestPlacesAreLostAndReturn simulates the loss of a rack and of a zone. During the outage exactly the relays there are down, and
// no earlier endpoint runs there. Afterwards all relays run again.
func TestPlacesAreLostAndReturn(t *testing.T) {
	for _, fault := range []Fault{RackLoss, ZoneLoss} {
		o := smallOptions(Wide, func(o *Options) { o.Zones, o.Regions, o.Endpoints, o.Faults = 2, 2, 300, []Fault{fault} })
		from, to := o.outageInterval()
		affected := func(p place) bool { return p.zone == 0 && (fault == ZoneLoss || p.rack == 0) }
		lost, endpoints := 0, 0
		sim := simulateTicks(t, o, func(sim *simulation, now float64) {
			if now > from+tick && now < to-tick {
				lost, endpoints = 0, 0
				for _, r := range sim.relays {
					if r.alive == affected(r.place) {
						t.Fatalf("%s: at %g s relay at %+v is running: %v", fault, now, r.place, r.alive)
					}
					if !r.alive {
						lost++
					}
				}
				for _, e := range sim.services[0].endpoints {
					if affected(e.place) && e.isRunning(now) && e.startedAt < from {
						t.Fatalf("%s: at %g s the lost endpoint %s is running", fault, now, e.name)
					}
					endpoints++
				}
			}
		})
		if lost == 0 || sim.faultCounts.Kills != lost || sim.faultCounts.EndpointsLost == 0 {
			t.Errorf("%s: %d relays were down, fault counts %+v", fault, lost, sim.faultCounts)
		}
		if fault == RackLoss && sim.faultCounts.EndpointsLost > machinesPerRack {
			t.Errorf("%d endpoints were lost with one rack of %d machines", sim.faultCounts.EndpointsLost, machinesPerRack)
		}
		for _, r := range sim.relays {
			if !r.alive {
				t.Errorf("%s: the relay at %+v is still down after the outage", fault, r.place)
			}
		}
	}
}

// sendAcross sends one datagram from a region to another, and returns how many datagrams arrive.
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

func TestPartitionsOfTheLastRegion(t *testing.T) {
	sim := &simulation{options: Options{Regions: 3}}
	sim.network = newNetwork(&sim.options)
	sim.partitionedFrom, sim.partitionedUntil = never, never
	expect := func(when string, want map[[2]int]int) {
		t.Helper()
		for _, pair := range [][2]int{{0, 1}, {1, 0}, {0, 2}, {2, 0}, {2, 2}} {
			n, listed := want[pair]
			if !listed {
				n = 1
			}
			if got := sendAcross(sim, pair[0], pair[1]); got != n {
				t.Errorf("%s: %d datagrams arrived from region %d in region %d, want %d", when, got, pair[0], pair[1], n)
			}
		}
	}
	expect("before the partition", nil)
	sim.setPartition(10, true)
	expect("during the partition", map[[2]int]int{{0, 2}: 0, {2, 0}: 0})
	if got := sim.unreachableTime(2, 5, 13); got != 3 {
		t.Errorf("discovery unreachable during the partition for %g s, want 3 s", got)
	}
	if got := sim.unreachableTime(1, 5, 13); got != 0 {
		t.Errorf("discovery unreachable from a region that is not partitioned for %g s, want 0 s", got)
	}
	sim.setPartition(15, false)
	expect("after the partition", nil)
	if got := sim.unreachableTime(2, 12, 20); got != 3 {
		t.Errorf("unreachable time calculated after the partition: %g s, want 3 s", got)
	}
	sim.network.oneWay = true
	expect("during the one-way partition", map[[2]int]int{{2, 0}: 0})
	if got := sim.network.counts.Partitioned; got != 3 {
		t.Errorf("%d datagrams lost by partitions, want 3", got)
	}
}

// TestDatagramFaults sends many datagrams from one relay to another and checks how many are lost, duplicated and reordered.
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
			t.Errorf("%s: %d datagrams arrived, which contradicts the counts %+v", fault, got, n.counts)
		}
		return n.counts, late
	}
	near := func(n int64, fraction float64) bool { return math.Abs(float64(n)-fraction*sent) < 0.1*fraction*sent }
	if c, _ := count(DatagramLoss); !near(c.Lost, lossFraction) || c.Duplicated+c.Reordered > 0 {
		t.Errorf("%s: %+v", DatagramLoss, c)
	}
	if c, _ := count(Duplicates); !near(c.Duplicated, duplicateFraction) || c.Lost+c.Reordered > 0 {
		t.Errorf("%s: %+v", Duplicates, c)
	}
	if c, late := count(Reorder); !near(c.Reordered, reorderFraction) || c.Lost+c.Duplicated > 0 || late < sent/10 {
		t.Errorf("%s: %+v, %d arrived out of order", Reorder, c, late)
	}
}

// TestAllAggregatorsAreKilledAtOnce checks that the relays with the next numbers take over as aggregators.
func TestAllAggregatorsAreKilledAtOnce(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Faults = []Fault{AllAggregatorsKilled} })
	at := aggregatorsKilledAt * o.Seconds
	sim := simulateTicks(t, o, func(sim *simulation, now float64) {
		for _, r := range sim.relays {
			if killed := now > at-tick/2 && int(r.number) < aggregatorCount; r.alive == killed && now < at+replacementTime-tick {
				t.Fatalf("at %g s relay %d is running: %v", now, r.number, r.alive)
			}
		}
	})
	if sim.faultCounts.Kills != aggregatorCount {
		t.Errorf("fault counts %+v, want %d kills", sim.faultCounts, aggregatorCount)
	}
	for _, h := range sim.hollowRelays {
		if want := h.number < 2*aggregatorCount; h.meter.aggregated != want {
			t.Errorf("relay %d sent decisions as an aggregator: %v, want %v", h.number, h.meter.aggregated, want)
		}
	}
}
