package scale

import (
	"context"
	"math"

	"lichenroad/relay"
)

// simulation runs the fleet on one virtual clock, which advances in ticks. A message between relays takes at least one tick,
// so the relays can be advanced in parallel within a tick; after the tick their output is processed in the order of the
// relays. Everything except the relays' advance method runs on the goroutine that called run.
type simulation struct {
	options         Options
	network         *network
	services        []*service     // only the simulated ones
	relays          []*fleetRelay  // all relays of the simulated services
	hollowRelays    []*hollowRelay // indexed by fleetRelay.index; nil for a synthetic relay
	syntheticRelays []*syntheticRelay
	zoneNames       []string
	sampled         bool // whether some relays are synthetic

	plannedFaults    []faultEvent // sorted by time
	followUps        []faultEvent // later effects of faults, such as the start of a replacement; unsorted
	faultCounts      faultCounts
	partitionedFrom  float64 // start of the latest partition that separates the last region from the others
	partitionedUntil float64

	controlMessages []controlMessage // sent but not delivered yet

	// What synthetic relays see of endpoints and aggregators, refreshed every viewInterval.
	readyEndpoints []readyEndpoints // indexed by service.index
	aggregators    [][]*fleetRelay  // indexed by service.index*Options.Regions + region
	nextViewAt     float64

	slowStartViolations     []Violation
	slowStartViolationCount int
}

// readyEndpoints are the ready endpoints of a service: those of the newest build and those of earlier builds.
type readyEndpoints struct{ newest, earlier []*endpoint }

const (
	viewInterval  = 0.1 // seconds between refreshes of what synthetic relays see
	progressTicks = 10  // ticks between calls of Options.Progress
)

func newSimulation(o Options) (*simulation, error) {
	sample, err := o.chooseSample()
	if err != nil {
		return nil, err
	}
	sim := &simulation{options: o, network: newNetwork(&o), partitionedFrom: never, partitionedUntil: never, nextViewAt: -1}
	for zone := range o.Zones {
		sim.zoneNames = append(sim.zoneNames, zoneName(zone))
	}
	sizes := o.sizes()
	relayPlacer := newPlacer(o.Zones, o.Regions)
	endpointPlacer := newPlacer(o.Zones, o.Regions)
	for i, size := range sizes {
		if !sample.includes(i) {
			continue
		}
		service := newService(i, size, endpointPlacer)
		service.weight = sample.servicesRepresented(i, len(sizes))
		sim.addRelays(service, sample, relayPlacer)
		service.platform = newPlatform(service, endpointPlacer)
		sim.services = append(sim.services, service)
	}
	sim.readyEndpoints = make([]readyEndpoints, len(sizes))
	sim.aggregators = make([][]*fleetRelay, len(sizes)*o.Regions)
	sim.plannedFaults = planFaults(&o, len(sim.relays))
	for _, h := range sim.hollowRelays {
		if h != nil {
			h.start(0)
		}
	}
	return sim, nil
}

// addRelays adds the relays of a service. The first alwaysHosted ones are hosted, and of the others a sample that is spread
// evenly over their numbers. The rest are synthetic.
func (sim *simulation) addRelays(s *service, sample sample, p *placer) {
	relays := s.size.relays
	first := min(alwaysHosted, relays)
	others := relays - first
	sampled := sample.hostedRelays(relays) - first
	for number := range relays {
		added := &fleetRelay{index: len(sim.relays), service: s, number: relay.ID(number), place: p.nextPlace(), alive: true, weight: 1}
		s.relays = append(s.relays, added)
		sim.relays = append(sim.relays, added)
		if i := number - first; i >= 0 {
			inSample := (i+1)*sampled/others > i*sampled/others
			if !inSample {
				sim.sampled = true
				sim.hollowRelays = append(sim.hollowRelays, nil)
				sim.syntheticRelays = append(sim.syntheticRelays, newSyntheticRelay(sim, added))
				continue
			}
			added.weight = float64(others) / float64(sampled)
		}
		h := newHollowRelay(sim, added)
		s.hollowRelays = append(s.hollowRelays, h)
		sim.hollowRelays = append(sim.hollowRelays, h)
	}
}

// run simulates Options.Seconds, or returns the context's error if the context ends earlier.
func (sim *simulation) run(ctx context.Context) error {
	workers := newWorkerPool(sim.options.Jobs)
	defer workers.close()
	participants := sim.participants()
	ticks := int64(math.Round(sim.options.Seconds / tick))
	for n := range ticks {
		from, to := float64(n)*tick, float64(n+1)*tick
		sim.beginTick(n, from)
		workers.advance(participants, from, to)
		sim.collectOutput(to)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if sim.options.Progress != nil && n%progressTicks == 0 {
			sim.options.Progress(to)
		}
	}
	return nil
}

// participants returns all relays, first the hosted and then the synthetic ones.
func (sim *simulation) participants() []participant {
	participants := make([]participant, 0, len(sim.hollowRelays))
	for _, h := range sim.hollowRelays {
		if h != nil {
			participants = append(participants, h)
		}
	}
	for _, s := range sim.syntheticRelays {
		participants = append(participants, s)
	}
	return participants
}

// beginTick applies all changes outside the relays that are due at the start of a tick, and delivers messages to the relays.
func (sim *simulation) beginTick(n int64, now float64) {
	sim.applyFaults(now)
	for _, s := range sim.services {
		s.removeEnded(now)
		if s.platform.advance(now) {
			sim.sendStatus(now, s)
		}
		if s.registry.publish(now) {
			sim.answerHeldPolls(now, s, true)
		}
		sim.answerHeldPolls(now, s, false)
	}
	sim.refreshViews(now)
	sim.deliverControlMessages(now)
	sim.network.deliver(n)
}

// applyFaults applies the fault events that are due. Follow-ups that they schedule are applied in the next tick or later.
func (sim *simulation) applyFaults(now float64) {
	for len(sim.plannedFaults) > 0 && sim.plannedFaults[0].at <= now {
		sim.plannedFaults[0].apply(sim, now)
		sim.plannedFaults = sim.plannedFaults[1:]
	}
	followUps := sim.followUps
	sim.followUps = nil
	for _, event := range followUps {
		if event.at <= now {
			event.apply(sim, now)
		} else {
			sim.followUps = append(sim.followUps, event)
		}
	}
}

// scheduleFollowUp schedules a later effect of a fault, such as the start of a replacement.
func (sim *simulation) scheduleFollowUp(at float64, apply func(now float64)) {
	sim.followUps = append(sim.followUps, faultEvent{at, func(_ *simulation, now float64) { apply(now) }})
}

// refreshViews updates, every viewInterval, the ready endpoints and the aggregators that synthetic relays use.
func (sim *simulation) refreshViews(now float64) {
	if now < sim.nextViewAt || len(sim.syntheticRelays) == 0 {
		return
	}
	sim.nextViewAt = now + viewInterval
	for _, s := range sim.services {
		if s.isFullyHosted() {
			continue
		}
		sim.readyEndpoints[s.index].refresh(s)
		for region := range sim.options.Regions {
			sim.aggregators[s.index*sim.options.Regions+region] = s.aggregatorsSeenFrom(region, now, sim.network)
		}
	}
}

// refresh divides the ready endpoints of a service into those of the newest build and the others.
func (r *readyEndpoints) refresh(s *service) {
	r.newest = r.newest[:0]
	r.earlier = r.earlier[:0]
	for _, e := range s.endpoints {
		switch {
		case e.state != relay.Ready:
		case e.build == s.platform.status.Build:
			r.newest = append(r.newest, e)
		default:
			r.earlier = append(r.earlier, e)
		}
	}
}

// isFullyHosted reports whether the service has no synthetic relays.
func (s *service) isFullyHosted() bool { return len(s.hollowRelays) == len(s.relays) }

// aggregatorsOf returns the aggregators of a service as relays of the region see them.
func (sim *simulation) aggregatorsOf(s *service, region int) []*fleetRelay {
	return sim.aggregators[s.index*sim.options.Regions+region]
}

// collectOutput processes the messages that relays sent in a tick, in the order of the relays.
func (sim *simulation) collectOutput(now float64) {
	for _, h := range sim.hollowRelays {
		if h == nil || h.sendQueue.isEmpty() {
			continue
		}
		sim.sendDatagrams(h.fleetRelay, h.sendQueue.datagrams)
		for _, p := range h.sendQueue.polls {
			sim.receivePoll(now, p)
		}
		for _, line := range h.sendQueue.votes {
			sim.receiveVote(now, h, line)
		}
		if h.service.isFullyHosted() {
			sim.checkSlowStart(h)
		}
		h.sendQueue.clear()
	}
	for _, s := range sim.syntheticRelays {
		if s.alive {
			sim.sendDatagrams(s.fleetRelay, s.sendQueue.datagrams)
		}
		s.sendQueue.clear()
	}
}

// checkSlowStart checks the work that a relay sent to endpoints during their slow start. The rule limits the work of all
// relays together, so the caller checks it only for services whose relays are all hosted.
func (sim *simulation) checkSlowStart(h *hollowRelay) {
	for _, attempt := range h.sendQueue.slowStartAttempts {
		if !attempt.endpoint.addSlowStartWork(attempt.sentAt, attempt.work) {
			continue
		}
		sim.slowStartViolationCount++
		if len(sim.slowStartViolations) < maxViolationsPerRelay {
			detail := attempt.endpoint.name + " was sent more than it can do while it is cold"
			violation := Violation{attempt.sentAt, h.checker.instance, slowStartRule, detail}
			sim.slowStartViolations = append(sim.slowStartViolations, violation)
		}
	}
}

// sendDatagrams sends a relay's datagrams over the simulated network.
func (sim *simulation) sendDatagrams(from *fleetRelay, datagrams []outgoingDatagram) {
	for _, outgoing := range datagrams {
		sim.sendToHosted(from, outgoing)
	}
}

// sendToHosted sends a datagram to its receivers, except synthetic ones, which receive nothing.
func (sim *simulation) sendToHosted(from *fleetRelay, outgoing outgoingDatagram) {
	d := datagram{from: from, class: outgoing.class, body: outgoing.body}
	if outgoing.to == relay.Broadcast {
		for _, to := range from.service.hollowRelays {
			if to.fleetRelay != from {
				sim.network.send(d, to)
			}
		}
		return
	}
	if int(outgoing.to) >= len(from.service.relays) {
		return
	}
	if to := sim.hollowRelays[from.service.relays[outgoing.to].index]; to != nil {
		sim.network.send(d, to)
	}
}
