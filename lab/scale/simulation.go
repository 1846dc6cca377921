package scale

import (
	"context"
	"math"

	"lichenroad/relay"
)

// simulation is the fleet on one virtual clock, which advances in ticks. What crosses from one relay to another takes a tick
// at least, so the relays are advanced in parallel within a tick, and what they sent is taken in their order after it. All
// but advance runs on the goroutine of run.
type simulation struct {
	options         Options
	network         *network
	services        []*service     // the simulated ones
	relays          []*identity    // of these services
	hollowRelays    []*hollowRelay // by index of the relay; nil: it is synthetic
	syntheticRelays []*syntheticRelay
	zoneNames       []string
	sampled         bool // not every relay is hosted

	plannedFaults    []faultEvent // in order of time
	followUps        []faultEvent // of faults, in any order
	faultCounts      faultCounts
	partitionedFrom  float64 // the latest partition of the last region
	partitionedUntil float64

	controlMessages []controlMessage // under way

	// Views of the synthetic relays, refreshed now and then.
	readyEndpoints []readyEndpoints // by index of the service
	aggregators    [][]*identity    // by service and region
	nextViewAt     float64

	slowStartViolations     []Violation
	slowStartViolationCount int
}

// readyEndpoints are the endpoints of a service that take requests.
type readyEndpoints struct{ newest, earlier []*endpoint }

const (
	viewInterval  = 0.1 // seconds between two refreshes of the synthetic relays' views
	progressTicks = 10  // between two calls of Options.Progress
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
		service.weight = sample.servicesPer(i, len(sizes))
		sim.addRelays(service, sample, relayPlacer)
		service.platform = newPlatform(service, endpointPlacer)
		sim.services = append(sim.services, service)
	}
	sim.readyEndpoints = make([]readyEndpoints, len(sizes))
	sim.aggregators = make([][]*identity, len(sizes)*o.Regions)
	sim.plannedFaults = planFaults(&o, len(sim.relays))
	for _, h := range sim.hollowRelays {
		if h != nil {
			h.start(0)
		}
	}
	return sim, nil
}

// addRelays adds the relays of a service. The first ones are hosted, and a sample of the others, evenly over their numbers.
func (sim *simulation) addRelays(s *service, sample sample, p *placer) {
	relays := s.size.relays
	first := min(alwaysHosted, relays)
	others := relays - first
	sampled := sample.hostedOf(relays) - first
	for number := range relays {
		id := &identity{index: len(sim.relays), service: s, number: relay.ID(number), place: p.place(), alive: true, weight: 1}
		s.relays = append(s.relays, id)
		sim.relays = append(sim.relays, id)
		if i := number - first; i >= 0 {
			inSample := (i+1)*sampled/others > i*sampled/others
			if !inSample {
				sim.sampled = true
				sim.hollowRelays = append(sim.hollowRelays, nil)
				sim.syntheticRelays = append(sim.syntheticRelays, newSyntheticRelay(sim, id))
				continue
			}
			id.weight = float64(others) / float64(sampled)
		}
		h := newHollowRelay(sim, id)
		s.hollowRelays = append(s.hollowRelays, h)
		sim.hollowRelays = append(sim.hollowRelays, h)
	}
}

// run simulates the whole time, unless the context ends before.
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

// participants returns all relays, hosted and synthetic.
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

// beginTick advances everything but the relays to a tick, and delivers what arrives at them.
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

// applyFaults applies the fault events that are due. Follow-ups that these schedule are due at the next tick at the earliest.
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

// runLater schedules the follow-up of a fault.
func (sim *simulation) runLater(at float64, apply func(now float64)) {
	sim.followUps = append(sim.followUps, faultEvent{at, func(_ *simulation, now float64) { apply(now) }})
}

// refreshViews refreshes what synthetic relays know of endpoints and aggregators.
func (sim *simulation) refreshViews(now float64) {
	if now < sim.nextViewAt || len(sim.syntheticRelays) == 0 {
		return
	}
	sim.nextViewAt = now + viewInterval
	for _, s := range sim.services {
		if s.isHostedWhole() {
			continue
		}
		sim.readyEndpoints[s.index].refresh(s)
		for region := range sim.options.Regions {
			sim.aggregators[s.index*sim.options.Regions+region] = s.aggregatorsSeenFrom(region, now, sim.network)
		}
	}
}

// refresh sorts the ready endpoints of a service by build.
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

// isHostedWhole reports whether all relays of the service are hosted.
func (s *service) isHostedWhole() bool { return len(s.hollowRelays) == len(s.relays) }

// aggregatorsOf returns the aggregators of a service as seen from a region.
func (sim *simulation) aggregatorsOf(s *service, region int) []*identity {
	return sim.aggregators[s.index*sim.options.Regions+region]
}

// collectOutput takes what relays sent in a tick, in their order.
func (sim *simulation) collectOutput(now float64) {
	for _, h := range sim.hollowRelays {
		if h == nil || h.sendQueue.isEmpty() {
			continue
		}
		sim.sendDatagrams(h.identity, h.sendQueue.datagrams)
		for _, p := range h.sendQueue.polls {
			sim.receivePoll(now, p)
		}
		for _, line := range h.sendQueue.votes {
			sim.receiveVote(now, h, line)
		}
		if h.service.isHostedWhole() {
			sim.checkSlowStart(h)
		}
		h.sendQueue.clear()
	}
	for _, s := range sim.syntheticRelays {
		if s.alive {
			sim.sendDatagrams(s.identity, s.sendQueue.datagrams)
		}
		s.sendQueue.clear()
	}
}

// checkSlowStart checks the work that a relay sent to endpoints during their slow start. The rule is on the work of all
// relays, so it is checked only if all of the service are hosted.
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

// sendDatagrams gives the datagrams of a relay to the network.
func (sim *simulation) sendDatagrams(from *identity, datagrams []outgoingDatagram) {
	for _, outgoing := range datagrams {
		sim.sendToHosted(from, outgoing)
	}
}

// sendToHosted sends a datagram to those of its receivers that are hosted.
func (sim *simulation) sendToHosted(from *identity, outgoing outgoingDatagram) {
	d := datagram{from: from, class: outgoing.class, body: outgoing.body}
	if outgoing.to == relay.Broadcast {
		for _, to := range from.service.hollowRelays {
			if to.identity != from {
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
