package scale

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// The target's failures. Durations are in seconds, parts of a run as fractions.
const (
	targetRelays        = 4300.0
	killsPerDay         = 59.0   // machines of the target that fail
	restartsPerDay      = 3500.0 // machines of the target that are restarted or replaced
	secondsPerDay       = 86400.0
	hundredfold         = 100.0
	replacementTime     = 10.0 // until a relay that failed is replaced
	restartTime         = 1.0
	outageStart         = 0.3 // part of a run at which a rack, a zone or a region is lost
	outageEnd           = 0.7 // part of a run at which it is back
	maxOutage           = 180.0
	aggregatorsKilledAt = 0.4
)

// outage returns the time in which something is lost.
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

// faultEvent is the start or end of a fault.
type faultEvent struct {
	at    float64
	apply func(sim *simulation, now float64)
}

// faultPlan collects the fault events of a run.
type faultPlan struct {
	options *Options
	relays  int // of the simulated services
	random  *rand.Rand
	events  []faultEvent
}

// planFaults returns the events of all faults of the options, in order of time.
func planFaults(o *Options, relays int) []faultEvent {
	plan := faultPlan{options: o, relays: relays, random: newRandom(o.Seed, "faults", 0)}
	for _, fault := range o.Faults {
		plan.add(fault)
	}
	slices.SortStableFunc(plan.events, func(a, b faultEvent) int {
		return cmp.Compare(a.at, b.at)
	})
	return plan.events
}

// add plans one fault. Those of datagrams are the network's.
func (p *faultPlan) add(fault Fault) {
	from, to := p.options.outage()
	switch fault {
	case RelayKills:
		p.addPoisson(killsPerDay, p.killAny)
	case RelayKillsX100:
		p.addPoisson(killsPerDay*hundredfold, p.killAny)
	case Restarts:
		p.addPoisson(restartsPerDay, p.restartAny)
	case RestartsX100:
		p.addPoisson(restartsPerDay*hundredfold, p.restartAny)
	case RackLoss:
		p.addLoss(func(at place) bool { return at.zone == 0 && at.rack == 0 })
	case ZoneLoss:
		p.addLoss(func(at place) bool { return at.zone == 0 })
	case RegionSplit:
		p.addAt(from, func(sim *simulation, now float64) { sim.setPartition(now, true) })
		p.addAt(to, func(sim *simulation, now float64) { sim.setPartition(now, false) })
	case OneWayPartition:
		p.addAt(from, func(sim *simulation, _ float64) { sim.network.oneWay = true })
		p.addAt(to, func(sim *simulation, _ float64) { sim.network.oneWay = false })
	case AllAggregatorsKilled:
		at := aggregatorsKilledAt * p.options.Seconds
		p.addAt(at, func(sim *simulation, now float64) { sim.killAggregators(now) })
	}
}

func (p *faultPlan) addAt(at float64, apply func(sim *simulation, now float64)) {
	p.events = append(p.events, faultEvent{at, apply})
}

// addPoisson plans events as a Poisson process with the target's rate, scaled to the number of relays.
func (p *faultPlan) addPoisson(perDay float64, apply func(sim *simulation, now float64)) {
	scale := float64(p.relays) / targetRelays / secondsPerDay
	for at := p.random.ExpFloat64() / (perDay * scale); at < p.options.Seconds; at += p.random.ExpFloat64() / (perDay * scale) {
		p.addAt(at, apply)
	}
}

// addLoss plans the loss of all machines at some places for the time of the outage.
func (p *faultPlan) addLoss(lost func(place) bool) {
	from, to := p.options.outage()
	p.addAt(from, func(sim *simulation, now float64) { sim.loseMachines(now, to-from, lost) })
}

func (p *faultPlan) killAny(sim *simulation, now float64) {
	sim.killRelay(now, sim.drawRelay(p.random), replacementTime)
}

func (p *faultPlan) restartAny(sim *simulation, now float64) {
	sim.restartRelay(now, sim.drawRelay(p.random))
}

// drawRelay draws one relay of the simulated services.
func (sim *simulation) drawRelay(random *rand.Rand) *identity {
	return sim.relays[random.Intn(len(sim.relays))]
}

// killRelay stops a relay and starts another in its place after a time.
func (sim *simulation) killRelay(now float64, r *identity, downFor float64) {
	if !r.alive {
		return
	}
	sim.faultCounts.Kills++
	sim.stopRelay(now, r, downFor)
}

// restartRelay stops a relay and starts it again.
func (sim *simulation) restartRelay(now float64, r *identity) {
	if !r.alive {
		return
	}
	sim.faultCounts.Restarts++
	sim.stopRelay(now, r, restartTime)
}

// stopRelay stops a relay for a time.
func (sim *simulation) stopRelay(now float64, r *identity, downFor float64) {
	r.alive = false
	r.downSince = now
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

// loseMachines takes every machine of some places away for a time. Relays come back, endpoints are replaced by new ones.
func (sim *simulation) loseMachines(now, downFor float64, lost func(place) bool) {
	for _, r := range sim.relays {
		if lost(r.place) {
			sim.killRelay(now, r, downFor)
		}
	}
	for _, s := range sim.services {
		for _, e := range s.endpoints {
			if lost(e.place) && e.isRunning(now) {
				s.crash(now, e)
				sim.replaceEndpointLater(s, e, now+downFor)
				sim.faultCounts.EndpointsLost++
			}
		}
	}
}

// replaceEndpointLater starts an endpoint of the same build in the place of one that was lost, if that build is still in use.
func (sim *simulation) replaceEndpointLater(s *service, lost *endpoint, at float64) {
	sim.runLater(at, func(now float64) {
		_, known := s.platform.defects[lost.build]
		if !known || lost.build < s.platform.status.Build-1 {
			return
		}
		name := fmt.Sprintf("%s-again-%.0f", lost.name, now)
		s.add(now, newEndpoint(name, lost.place, lost.kind, lost.build, now))
	})
}

// setPartition partitions the last region from the others, or ends that.
func (sim *simulation) setPartition(now float64, partitioned bool) {
	sim.network.partitioned = partitioned
	if !partitioned {
		sim.partitionedUntil = now
		return
	}
	sim.partitionedFrom = now
	sim.partitionedUntil = never
}

// killAggregators kills the aggregators of all services at once.
func (sim *simulation) killAggregators(now float64) {
	for _, s := range sim.services {
		for _, r := range s.relays[:min(aggregatorCount, len(s.relays))] {
			sim.killRelay(now, r, replacementTime)
		}
	}
}
