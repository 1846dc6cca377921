package scale

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// Rates and durations of the faults. The rates are those of the target fleet, which has targetRelays relays; addPoisson scales
// them to the simulated number. Durations are in seconds, and parts of a run are fractions of its duration.
const (
	targetRelays        = 4300.0
	killsPerDay         = 59.0   // failures of relay machines of the target
	restartsPerDay      = 3500.0 // restarts and replacements of relay machines of the target
	secondsPerDay       = 86400.0
	x100Factor          = 100.0 // multiple of the target's rates for RelayKillsX100 and RestartsX100
	replacementTime     = 10.0  // time from a relay's failure until its replacement starts
	restartTime         = 1.0
	outageStart         = 0.3   // part of a run after which an outage or a partition starts
	outageEnd           = 0.7   // part of a run after which it ends
	maxOutage           = 180.0 // maximum duration of an outage or a partition
	aggregatorsKilledAt = 0.4   // part of a run after which AllAggregatorsKilled kills them
)

// outageInterval returns the start and end of the run's outages and partitions.
func (o *Options) outageInterval() (from, to float64) {
	from = outageStart * o.Seconds
	return from, math.Min(outageEnd*o.Seconds, from+maxOutage)
}

// faultCounts count the effects of faults on relays and endpoints.
type faultCounts struct {
	Kills         int `json:"relays_killed"`
	Restarts      int `json:"relays_restarted"`
	EndpointsLost int `json:"units_lost"`
}

// faultEvent is the start or the end of a fault.
type faultEvent struct {
	at    float64
	apply func(sim *simulation, now float64)
}

// faultPlan collects the fault events of a run.
type faultPlan struct {
	options *Options
	relays  int // number of relays in the simulated services
	random  *rand.Rand
	events  []faultEvent
}

// planFaults returns the events of all faults in the options, sorted by time.
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

// add plans one fault. The network applies the faults of datagrams itself.
func (p *faultPlan) add(fault Fault) {
	from, to := p.options.outageInterval()
	switch fault {
	case RelayKills:
		p.addPoisson(killsPerDay, p.killRandom)
	case RelayKillsX100:
		p.addPoisson(killsPerDay*x100Factor, p.killRandom)
	case Restarts:
		p.addPoisson(restartsPerDay, p.restartRandom)
	case RestartsX100:
		p.addPoisson(restartsPerDay*x100Factor, p.restartRandom)
	case RackLoss:
		p.addOutage(func(at place) bool { return at.zone == 0 && at.rack == 0 })
	case ZoneLoss:
		p.addOutage(func(at place) bool { return at.zone == 0 })
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

// addPoisson plans events as a Poisson process. The rate is that of the target, scaled to the number of relays.
func (p *faultPlan) addPoisson(perDay float64, apply func(sim *simulation, now float64)) {
	scale := float64(p.relays) / targetRelays / secondsPerDay
	for at := p.random.ExpFloat64() / (perDay * scale); at < p.options.Seconds; at += p.random.ExpFloat64() / (perDay * scale) {
		p.addAt(at, apply)
	}
}

// addOutage plans the loss of all machines in the matching places for the time of the outage.
func (p *faultPlan) addOutage(lost func(place) bool) {
	from, to := p.options.outageInterval()
	p.addAt(from, func(sim *simulation, now float64) { sim.loseMachines(now, to-from, lost) })
}

func (p *faultPlan) killRandom(sim *simulation, now float64) {
	sim.killRelay(now, sim.drawRelay(p.random), replacementTime)
}

func (p *faultPlan) restartRandom(sim *simulation, now float64) {
	sim.restartRelay(now, sim.drawRelay(p.random))
}

// drawRelay returns a random relay of the simulated services.
func (sim *simulation) drawRelay(random *rand.Rand) *fleetRelay {
	return sim.relays[random.Intn(len(sim.relays))]
}

// killRelay stops a relay and starts its replacement after downFor.
func (sim *simulation) killRelay(now float64, r *fleetRelay, downFor float64) {
	if !r.alive {
		return
	}
	sim.faultCounts.Kills++
	sim.stopRelay(now, r, downFor)
}

// restartRelay stops a relay and starts it again after restartTime.
func (sim *simulation) restartRelay(now float64, r *fleetRelay) {
	if !r.alive {
		return
	}
	sim.faultCounts.Restarts++
	sim.stopRelay(now, r, restartTime)
}

// stopRelay stops a relay and starts it again after downFor.
func (sim *simulation) stopRelay(now float64, r *fleetRelay, downFor float64) {
	r.alive = false
	r.downSince = now
	if h := sim.hollowRelays[r.index]; h != nil {
		h.stop()
	}
	sim.scheduleFollowUp(now+downFor, func(now float64) {
		r.alive = true
		if h := sim.hollowRelays[r.index]; h != nil {
			h.start(now)
		}
	})
}

// loseMachines stops every machine in the matching places. After downFor the relays start again, and new endpoints replace
// the lost ones.
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

// replaceEndpointLater schedules the start of an endpoint that replaces a lost one, with the same build and in the same
// place. Nothing is started if the build is no longer in use at that time.
func (sim *simulation) replaceEndpointLater(s *service, lost *endpoint, at float64) {
	sim.scheduleFollowUp(at, func(now float64) {
		_, known := s.platform.defects[lost.build]
		if !known || lost.build < s.platform.status.Build-1 {
			return
		}
		name := fmt.Sprintf("%s-again-%.0f", lost.name, now)
		s.add(now, newEndpoint(name, lost.place, lost.kind, lost.build, now))
	})
}

// setPartition starts or ends the partition that separates the last region from the others.
func (sim *simulation) setPartition(now float64, partitioned bool) {
	sim.network.partitioned = partitioned
	if !partitioned {
		sim.partitionedUntil = now
		return
	}
	sim.partitionedFrom = now
	sim.partitionedUntil = never
}

// killAggregators kills the lowest-numbered relays, the usual aggregators, of all services at once.
func (sim *simulation) killAggregators(now float64) {
	for _, s := range sim.services {
		for _, r := range s.relays[:min(aggregatorCount, len(s.relays))] {
			sim.killRelay(now, r, replacementTime)
		}
	}
}
