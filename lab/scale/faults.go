package scale

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// The target's failures, and how long they last.
const (
	targetRelays        = 4300.0
	killsPerDay         = 59.0   // machines of the target that fail in a day
	restartsPerDay      = 3500.0 // and that are restarted or replaced
	secondsPerDay       = 86400.0
	hundredfold         = 100.0
	replacementTime     = 10.0 // s until a relay that failed is replaced
	restartTime         = 1.0  // s of a restart
	outageStart         = 0.3  // part of a run at which a rack, a zone, a region or the fusers are lost
	outageEnd           = 0.7  // and at which they are back
	maxOutage           = 180.0
	aggregatorsKilledAt = 0.4
)

// outage is the time in which something is lost.
func (o *Options) outage() (from, to float64) {
	from = outageStart * o.Seconds
	return from, math.Min(outageEnd*o.Seconds, from+maxOutage)
}

// faultCounts are what the faults did to machines.
type faultCounts struct {
	Kills         int `json:"relays_killed"`
	Restarts      int `json:"relays_restarted"`
	EndpointsLost int `json:"units_lost"`
}

// faultEvent is something that goes wrong at a time, or is mended.
type faultEvent struct {
	at    float64
	apply func(sim *simulation, now float64)
}

// schedule lists what goes wrong in a run, in order of time.
func planFaults(o *Options, relays int) []faultEvent {
	var out []faultEvent
	random := newRandom(o.Seed, "faults", 0)
	scale := float64(relays) / targetRelays / secondsPerDay
	poisson := func(perDay float64, strike func(sim *simulation, now float64, random *rand.Rand)) {
		for at := random.ExpFloat64() / (perDay * scale); at < o.Seconds; at += random.ExpFloat64() / (perDay * scale) {
			out = append(out, faultEvent{at, func(sim *simulation, now float64) { strike(sim, now, random) }})
		}
	}
	kill := func(sim *simulation, now float64, random *rand.Rand) {
		sim.killRelay(now, sim.drawRelay(random), replacementTime)
	}
	restart := func(sim *simulation, now float64, random *rand.Rand) { sim.restartRelay(now, sim.drawRelay(random)) }
	from, to := o.outage()
	for _, f := range o.Faults {
		switch f {
		case RelayKills:
			poisson(killsPerDay, kill)
		case RelayKillsX100:
			poisson(killsPerDay*hundredfold, kill)
		case Restarts:
			poisson(restartsPerDay, restart)
		case RestartsX100:
			poisson(restartsPerDay*hundredfold, restart)
		case RackLoss:
			out = append(out, faultEvent{from, func(sim *simulation, now float64) {
				sim.loseMachines(now, to-from, func(p place) bool { return p.zone == 0 && p.rack == 0 })
			}})
		case ZoneLoss:
			out = append(out, faultEvent{from, func(sim *simulation, now float64) {
				sim.loseMachines(now, to-from, func(p place) bool { return p.zone == 0 })
			}})
		case RegionSplit:
			out = append(out, faultEvent{from, func(sim *simulation, now float64) { sim.setPartition(now, true) }},
				faultEvent{to, func(sim *simulation, now float64) { sim.setPartition(now, false) }})
		case OneWay:
			out = append(out, faultEvent{from, func(sim *simulation, _ float64) { sim.network.oneWay = true }},
				faultEvent{to, func(sim *simulation, _ float64) { sim.network.oneWay = false }})
		case AllAggregatorsKilled:
			out = append(out, faultEvent{aggregatorsKilledAt * o.Seconds, func(sim *simulation, now float64) { sim.killAggregators(now) }})
		}
	}
	slices.SortStableFunc(out, func(a, b faultEvent) int {
		return cmp.Compare(a.at, b.at)
	})
	return out
}

// drawRelay draws one relay of the played services.
func (sim *simulation) drawRelay(random *rand.Rand) *identity {
	return sim.relays[random.Intn(len(sim.relays))]
}

// kill ends a relay without a word, and has another take its place after a time.
func (sim *simulation) killRelay(now float64, r *identity, downFor float64) {
	if !r.alive {
		return
	}
	sim.faultCounts.Kills++
	sim.stopRelay(now, r, downFor)
}

// restart ends a relay in order, and starts it again.
func (sim *simulation) restartRelay(now float64, r *identity) {
	if !r.alive {
		return
	}
	sim.faultCounts.Restarts++
	sim.stopRelay(now, r, restartTime)
}

func (sim *simulation) stopRelay(now float64, r *identity, downFor float64) {
	r.alive, r.downSince = false, now
	if h := sim.hollowRelays[r.index]; h != nil {
		h.stop()
	}
	sim.runLater(now+downFor, func(now float64) {
		r.alive = true
		if h := sim.hollowRelays[r.index]; h != nil {
			h.start(now)
		}
	})
}

// lose takes every machine of some places away for a time. Its units are replaced by others, not given back.
func (sim *simulation) loseMachines(now, downFor float64, at func(place) bool) {
	for _, r := range sim.relays {
		if at(r.place) {
			sim.killRelay(now, r, downFor)
		}
	}
	for _, s := range sim.services {
		lost := 0
		for _, e := range s.endpoints {
			if at(e.place) && e.isRunning(now) {
				s.crash(now, e)
				lost++
				sim.replaceEndpointLater(s, e, now+downFor)
			}
		}
		sim.faultCounts.EndpointsLost += lost
	}
}

func (sim *simulation) replaceEndpointLater(s *service, e *endpoint, at float64) {
	sim.runLater(at, func(now float64) {
		if _, known := s.platform.defects[e.build]; known && e.build >= s.platform.status.Build-1 {
			s.add(now, newEndpoint(fmt.Sprintf("%s-again-%.0f", e.name, now), e.place, e.kind, e.build, now))
		}
	})
}

// cut parts the last region from the others, or heals the cut.
func (sim *simulation) setPartition(now float64, cut bool) {
	sim.network.partitioned = cut
	if cut {
		sim.partitionedFrom, sim.partitionedUntil = now, never
	} else {
		sim.partitionedUntil = now
	}
}

// killAggregators ends every relay that fuses, in all services at once.
func (sim *simulation) killAggregators(now float64) {
	for _, s := range sim.services {
		for _, r := range s.relays[:min(aggregatorCount, len(s.relays))] {
			sim.killRelay(now, r, replacementTime)
		}
	}
}
