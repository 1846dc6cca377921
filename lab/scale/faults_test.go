package scale

import (
	"math"
	"testing"
)

// playUntil goes on to a time, tick by tick, and lets a look at each.
func playUntil(t *testing.T, o Options, look func(w *world, now float64)) *world {
	t.Helper()
	w, err := newWorld(o)
	if err != nil {
		t.Fatal(err)
	}
	for n := range int64(math.Round(o.Seconds / tick)) {
		from, to := float64(n)*tick, float64(n+1)*tick
		w.begin(n, from)
		if look != nil {
			look(w, from)
		}
		for _, h := range w.hollows {
			h.advance(from, to)
		}
		w.collect(to)
	}
	return w
}

// TestKillsAndRestartsKeepTheirRates counts what is scheduled for the target in an hour.
func TestKillsAndRestartsKeepTheirRates(t *testing.T) {
	for _, c := range []struct {
		fault Fault
		mean  float64 // in an hour, at the target's size
	}{{RelayKillsX100, 59 * 100 / 24.0}, {Restarts, 3500 / 24.0}, {RestartsX100, 3500 * 100 / 24.0}} {
		n := len(schedule(&Options{Seconds: 3600, Seed: 5, Faults: []Fault{c.fault}}, 4300))
		if math.Abs(float64(n)-c.mean) > 4*math.Sqrt(c.mean) {
			t.Errorf("%s: %d in an hour, not about %g", c.fault, n, c.mean)
		}
	}
	n := 0
	for seed := range int64(400) { // 2.5 in an hour are too few to count once
		n += len(schedule(&Options{Seconds: 3600, Seed: seed, Faults: []Fault{RelayKills}}, 4300))
	}
	if mean := 400 * 59 / 24.0; math.Abs(float64(n)-mean) > 4*math.Sqrt(mean) {
		t.Errorf("%d kills in 400 hours, not about %g", n, mean)
	}
}

func TestKilledRelayReturnsWithoutMemory(t *testing.T) {
	o := small(Wide, func(o *Options) { o.Relays, o.Units = 5, 10 })
	var before int
	w := playUntil(t, o, func(w *world, now float64) {
		h := w.hollows[2]
		switch {
		case now == 0:
			w.later(2, func(now float64) { w.kill(now, w.relays[2], 3) })
		case now > 2.1 && now < 4.9:
			if h.alive || h.policy != nil || len(h.requests) > 0 {
				t.Fatalf("at %g s it lives", now)
			}
		case now > 5.1 && now < 5.2:
			if !h.alive || h.life != 2 || h.policy == nil {
				t.Fatalf("at %g s it is not back", now)
			}
			before = len(h.timers.heap)
		}
	})
	if w.faultCounts.Kills != 1 || before == 0 {
		t.Errorf("%+v, %d timers", w.faultCounts, before)
	}
	if h := w.hollows[2]; math.Abs(h.meter.aliveSeconds-(14-3)) > 2*tick || h.meter.requests.Taken == 0 {
		t.Errorf("it lived %g s", h.meter.aliveSeconds)
	}
}

// TestPlacesAreLostAndReturn loses a rack, and a zone.
func TestPlacesAreLostAndReturn(t *testing.T) {
	for _, fault := range []Fault{RackLoss, ZoneLoss} {
		o := small(Wide, func(o *Options) { o.Zones, o.Regions, o.Units, o.Faults = 2, 2, 300, []Fault{fault} })
		from, to := o.outage()
		hit := func(p place) bool { return p.zone == 0 && (fault == ZoneLoss || p.rack == 0) }
		lost, units := 0, 0
		w := playUntil(t, o, func(w *world, now float64) {
			if now > from+tick && now < to-tick {
				lost, units = 0, 0
				for _, r := range w.relays {
					if r.alive == hit(r.place) {
						t.Fatalf("%s: at %g s relay %+v lives: %v", fault, now, r.place, r.alive)
					}
					if !r.alive {
						lost++
					}
				}
				for _, u := range w.services[0].units {
					if hit(u.place) && u.runs(now) && u.started < from {
						t.Fatalf("%s: at %g s %s runs", fault, now, u.name)
					}
					units++
				}
			}
		})
		if lost == 0 || w.faultCounts.Kills != lost || w.faultCounts.UnitsLost == 0 {
			t.Errorf("%s: %d relays, %+v", fault, lost, w.faultCounts)
		}
		if fault == RackLoss && w.faultCounts.UnitsLost > machinesPerRack {
			t.Errorf("a rack had %d units", w.faultCounts.UnitsLost)
		}
		for _, r := range w.relays {
			if !r.alive {
				t.Errorf("%s: a relay stays lost", fault)
			}
		}
	}
}

// carried sends one datagram from a region to another and says whether it arrives.
func carried(w *world, from, to int) int {
	before := w.network.counts.Delivered
	at := w.network.now
	source, target := &identity{place: place{region: from}}, &hollow{identity: &identity{place: place{region: to}, alive: true}}
	w.network.send(datagram{from: source, body: []byte{1}}, target)
	for i := int64(1); i < wheelTicks; i++ {
		w.network.deliver(at + i)
	}
	return int(w.network.counts.Delivered - before)
}

func TestCutsOfTheLastRegion(t *testing.T) {
	w := &world{options: Options{Regions: 3}}
	w.network = newNetwork(&w.options)
	w.cutFrom, w.cutTo = never, never
	expect := func(when string, want map[[2]int]int) {
		t.Helper()
		for _, way := range [][2]int{{0, 1}, {1, 0}, {0, 2}, {2, 0}, {2, 2}} {
			n, closed := want[way]
			if !closed {
				n = 1
			}
			if got := carried(w, way[0], way[1]); got != n {
				t.Errorf("%s: %v carried %d", when, way, got)
			}
		}
	}
	expect("before", nil)
	w.cut(10, true)
	expect("split", map[[2]int]int{{0, 2}: 0, {2, 0}: 0})
	if got := w.unreachable(2, 5, 13); got != 3 {
		t.Errorf("unreachable for %g s", got)
	}
	if got := w.unreachable(1, 5, 13); got != 0 {
		t.Errorf("another region: %g s", got)
	}
	w.cut(15, false)
	expect("healed", nil)
	if got := w.unreachable(2, 12, 20); got != 3 {
		t.Errorf("unreachable for %g s after the cut", got)
	}
	w.network.oneWay = true
	expect("one way", map[[2]int]int{{2, 0}: 0})
	if got := w.network.counts.Cut; got != 3 {
		t.Errorf("%d cut off", got)
	}
}

// TestDatagramFaults sends many from one relay to another.
func TestDatagramFaults(t *testing.T) {
	const sent = 20_000
	count := func(fault Fault) (networkCounts, int) {
		o := Options{Regions: 1, Faults: []Fault{fault}}
		n := newNetwork(&o)
		to := &hollow{identity: &identity{alive: true}}
		from := &identity{}
		late := 0
		for i := range int64(sent) {
			n.deliver(i)
			n.send(datagram{from: from, body: []byte{byte(i), byte(i >> 8)}}, to)
		}
		for i := int64(sent); i < sent+wheelTicks; i++ {
			n.deliver(i)
		}
		last := -1
		for _, d := range to.inbox {
			if no := int(d.body[0]) | int(d.body[1])<<8; no < last-nearDelays {
				late++
			} else {
				last = no
			}
		}
		if got := int64(len(to.inbox)); got != n.counts.Delivered || got != sent-n.counts.Lost+n.counts.Duplicated {
			t.Errorf("%s: %d arrived, %+v", fault, got, n.counts)
		}
		return n.counts, late
	}
	near := func(n int64, part float64) bool { return math.Abs(float64(n)-part*sent) < 0.1*part*sent }
	if c, _ := count(DatagramLoss); !near(c.Lost, lossPart) || c.Duplicated+c.Late > 0 {
		t.Errorf("%+v", c)
	}
	if c, _ := count(Duplicates); !near(c.Duplicated, duplicatePart) || c.Lost+c.Late > 0 {
		t.Errorf("%+v", c)
	}
	if c, late := count(Reorder); !near(c.Late, reorderPart) || c.Lost+c.Duplicated > 0 || late < sent/10 {
		t.Errorf("%+v, %d out of order", c, late)
	}
}

// TestAllFusersAreKilledAtOnce sees the next relays take their part.
func TestAllFusersAreKilledAtOnce(t *testing.T) {
	o := small(Wide, func(o *Options) { o.Faults = []Fault{AllFusersKilled} })
	at := fusersLostAfter * o.Seconds
	w := playUntil(t, o, func(w *world, now float64) {
		for _, r := range w.relays {
			if dead := now > at-tick/2 && int(r.number) < fuserNumbers; r.alive == dead && now < at+killedFor-tick {
				t.Fatalf("at %g s relay %d lives: %v", now, r.number, r.alive)
			}
		}
	})
	if w.faultCounts.Kills != fuserNumbers {
		t.Errorf("%+v", w.faultCounts)
	}
	for _, h := range w.hollows {
		if want := h.number < 2*fuserNumbers; h.meter.fused != want {
			t.Errorf("relay %d fused: %v", h.number, h.meter.fused)
		}
	}
}
