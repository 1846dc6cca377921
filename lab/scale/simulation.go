package scale

import (
	"context"
	"math"

	"lichenroad/relay"
)

// world is the fleet on one clock. It goes on in ticks: what crosses from one relay to another takes a tick at least, so
// within one the relays are played beside each other, and what they gave out is taken in their order afterwards.
type simulation struct {
	options                 Options
	network                 *network
	services                []*service
	relays                  []*identity    // of the played services
	hollowRelays            []*hollowRelay // by index of the relay; nil: it is stood in for
	syntheticRelays         []*syntheticRelay
	zoneNames               []string
	plannedFaults           []faultEvent
	followUps               []faultEvent // that came up during the run
	faultCounts             faultCounts
	controlMessages         []controlMessage
	readyEndpoints          []readyEndpoints // by index of the service
	aggregators             [][]*identity    // by service and region
	nextViewAt              float64
	partitionedFrom         float64 // the last cut of the last region
	partitionedUntil        float64
	slowStartViolations     []Violation
	slowStartViolationCount int
	sampled                 bool // not every relay is hosted
}

// readyEndpoints are the units that take requests.
type readyEndpoints struct{ newer, earlier []*endpoint }

const viewInterval = 0.1 // s between two looks of the stand-ins at units and fusers

func newSimulation(o Options) (*simulation, error) {
	s, err := o.chooseSample()
	if err != nil {
		return nil, err
	}
	sim := &simulation{options: o, network: newNetwork(&o), partitionedFrom: never, partitionedUntil: never, nextViewAt: -1}
	for z := range o.Zones {
		sim.zoneNames = append(sim.zoneNames, zoneName(z))
	}
	sizes := o.sizes()
	relayPlaces, unitPlaces := newPlacer(o.Zones, o.Regions), newPlacer(o.Zones, o.Regions)
	for i, size := range sizes {
		if !s.includes(i) {
			continue
		}
		service := newService(&o, i, size, unitPlaces)
		service.weight = s.servicesPer(i, len(sizes))
		sim.addRelays(service, s, relayPlaces)
		service.platform = newPlatform(service, unitPlaces)
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

// people gives a service its relays. The first ones are hosted, and the others evenly over their numbers.
func (sim *simulation) addRelays(s *service, how sample, p *placer) {
	relays, hosted := s.size.relays, how.hostedOf(s.size.relays)
	first := min(alwaysHosted, relays)
	rest, sampled := relays-first, hosted-first
	for index := range relays {
		id := &identity{index: len(sim.relays), service: s, number: relay.RelayID(index), place: p.place(), alive: true, weight: 1}
		s.relays = append(s.relays, id)
		sim.relays = append(sim.relays, id)
		i := index - first
		switch {
		case i < 0:
		case (i+1)*sampled/rest > i*sampled/rest:
			id.weight = float64(rest) / float64(sampled)
		default:
			sim.sampled = true
			sim.hollowRelays = append(sim.hollowRelays, nil)
			sim.syntheticRelays = append(sim.syntheticRelays, newSyntheticRelay(sim, id))
			continue
		}
		h := newHollowRelay(sim, id)
		s.hollowRelays = append(s.hollowRelays, h)
		sim.hollowRelays = append(sim.hollowRelays, h)
	}
}

// run plays the whole time.
func (sim *simulation) run(ctx context.Context) error {
	crew := newWorkerPool(sim.options.Jobs)
	defer crew.close()
	live := make([]participant, 0, len(sim.hollowRelays))
	for _, h := range sim.hollowRelays {
		if h != nil {
			live = append(live, h)
		}
	}
	for _, s := range sim.syntheticRelays {
		live = append(live, s)
	}
	ticks := int64(math.Round(sim.options.Seconds / tick))
	for n := range ticks {
		from, to := float64(n)*tick, float64(n+1)*tick
		sim.beginTick(n, from)
		crew.advance(live, from, to)
		sim.collectOutput(to)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if sim.options.Progress != nil && n%10 == 0 {
			sim.options.Progress(to)
		}
	}
	return nil
}

// begin is what happens between relays before a tick.
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

// strike has faults happen.
func (sim *simulation) applyFaults(now float64) {
	for len(sim.plannedFaults) > 0 && sim.plannedFaults[0].at <= now {
		sim.plannedFaults[0].apply(sim, now)
		sim.plannedFaults = sim.plannedFaults[1:]
	}
	due := sim.followUps
	sim.followUps = nil
	for _, f := range due {
		if f.at <= now {
			f.apply(sim, now)
		} else {
			sim.followUps = append(sim.followUps, f)
		}
	}
}

func (sim *simulation) runLater(at float64, do func(now float64)) {
	sim.followUps = append(sim.followUps, faultEvent{at, func(_ *simulation, now float64) { do(now) }})
}

// look renews what stand-ins know of units and fusers.
func (sim *simulation) refreshViews(now float64) {
	if now < sim.nextViewAt || len(sim.syntheticRelays) == 0 {
		return
	}
	sim.nextViewAt = now + viewInterval
	for _, s := range sim.services {
		if len(s.hollowRelays) == len(s.relays) {
			continue
		}
		r := &sim.readyEndpoints[s.index]
		r.newer, r.earlier = r.newer[:0], r.earlier[:0]
		for _, e := range s.endpoints {
			switch {
			case e.state != relay.Ready:
			case e.build == s.platform.status.Build:
				r.newer = append(r.newer, e)
			default:
				r.earlier = append(r.earlier, e)
			}
		}
		for region := range sim.options.Regions {
			sim.aggregators[s.index*sim.options.Regions+region] = s.aggregatorsSeenFrom(now, region, sim.network)
		}
	}
}

func (sim *simulation) aggregatorsOf(s *service, region int) []*identity {
	return sim.aggregators[s.index*sim.options.Regions+region]
}

// collect takes what relays gave out in a tick, in their order.
func (sim *simulation) collectOutput(now float64) {
	for _, h := range sim.hollowRelays {
		if h == nil || h.sendQueue.empty() {
			continue
		}
		for _, t := range h.sendQueue.datagrams {
			sim.sendToHosted(h.identity, t)
		}
		for _, c := range h.sendQueue.polls {
			sim.receivePoll(now, c)
		}
		for _, line := range h.sendQueue.votes {
			sim.receiveVote(now, h, line)
		}
		if len(h.service.hollowRelays) == len(h.service.relays) {
			sim.checkSlowStart(h)
		}
		h.sendQueue.clear()
	}
	for _, s := range sim.syntheticRelays {
		if !s.alive {
			s.sendQueue.clear()
		}
		for _, t := range s.sendQueue.datagrams {
			sim.sendToHosted(s.identity, t)
		}
		s.sendQueue.clear()
	}
}

// checkSlowStart holds the work that all relays of a wholly hosted service sent to cold units against the rule.
func (sim *simulation) checkSlowStart(h *hollowRelay) {
	for _, c := range h.sendQueue.slowStartAttempts {
		if !c.unit.addSlowStartWork(c.sentAt, c.work) {
			continue
		}
		if sim.slowStartViolationCount++; len(sim.slowStartViolations) < maxViolationsPerRelay {
			sim.slowStartViolations = append(sim.slowStartViolations, Violation{c.sentAt, h.checker.instance, slowStartRule,
				c.unit.name + " was sent more than it can do while it is cold"})
		}
	}
}

// route sends a datagram to each relay that it is for and that is hosted.
func (sim *simulation) sendToHosted(from *identity, t outgoingDatagram) {
	d := datagram{from: from, class: t.class, body: t.body}
	if t.to != relay.Broadcast {
		if int(t.to) < len(from.service.relays) {
			if to := sim.hollowRelays[from.service.relays[t.to].index]; to != nil {
				sim.network.send(d, to)
			}
		}
		return
	}
	for _, to := range from.service.hollowRelays {
		if to.identity != from {
			sim.network.send(d, to)
		}
	}
}
