package scale

import (
	"context"
	"math"

	"lichenroad/relay"
)

// world is the fleet on one clock. It goes on in ticks: what crosses from one relay to another takes a tick at least, so
// within one the relays are played beside each other, and what they gave out is taken in their order afterwards.
type world struct {
	options     Options
	network     *network
	services    []*service
	relays      []*identity // of the played services
	hollows     []*hollow   // by index of the relay; nil: it is stood in for
	standIns    []*standIn
	zoneNames   []string
	faults      []faultEvent
	pending     []faultEvent // that came up during the run
	faultCounts faultCounts
	mail        []parcel
	ready       []readyUnits  // by index of the service
	fusersOf    [][]*identity // by service and region
	viewAt      float64
	cutFrom     float64 // the last cut of the last region
	cutTo       float64
	coldBroken  []Broken
	coldCount   int
	sampled     bool // not every relay is hosted
}

// readyUnits are the units that take requests.
type readyUnits struct{ newer, earlier []*unit }

const viewEvery = 0.1 // s between two looks of the stand-ins at units and fusers

func newWorld(o Options) (*world, error) {
	s, err := o.chooseSample()
	if err != nil {
		return nil, err
	}
	w := &world{options: o, network: newNetwork(&o), cutFrom: never, cutTo: never, viewAt: -1}
	for z := range o.Zones {
		w.zoneNames = append(w.zoneNames, zoneName(z))
	}
	sizes := o.sizes()
	relayPlaces, unitPlaces := newPlacer(o.Zones, o.Regions), newPlacer(o.Zones, o.Regions)
	for i, size := range sizes {
		if !s.plays(i) {
			continue
		}
		service := newService(&o, i, size, unitPlaces)
		service.weight = s.stands(i, len(sizes))
		w.people(service, s, relayPlaces)
		service.platform = newPlatform(service, unitPlaces)
		w.services = append(w.services, service)
	}
	w.ready = make([]readyUnits, len(sizes))
	w.fusersOf = make([][]*identity, len(sizes)*o.Regions)
	w.faults = schedule(&o, len(w.relays))
	for _, h := range w.hollows {
		if h != nil {
			h.start(0)
		}
	}
	return w, nil
}

// people gives a service its relays. The first ones are hosted, and the others evenly over their numbers.
func (w *world) people(s *service, how sample, p *placer) {
	relays, hosted := s.size.relays, how.hosted(s.size.relays)
	first := min(hostedFirst, relays)
	rest, sampled := relays-first, hosted-first
	for no := range relays {
		id := &identity{index: len(w.relays), service: s, number: relay.ID(no), place: p.place(), alive: true, weight: 1}
		s.relays = append(s.relays, id)
		w.relays = append(w.relays, id)
		i := no - first
		switch {
		case i < 0:
		case (i+1)*sampled/rest > i*sampled/rest:
			id.weight = float64(rest) / float64(sampled)
		default:
			w.sampled = true
			w.hollows = append(w.hollows, nil)
			w.standIns = append(w.standIns, newStandIn(w, id))
			continue
		}
		h := newHollow(w, id)
		s.hollows = append(s.hollows, h)
		w.hollows = append(w.hollows, h)
	}
}

// run plays the whole time.
func (w *world) run(ctx context.Context) error {
	crew := newCrew(w.options.Jobs)
	defer crew.dismiss()
	live := make([]participant, 0, len(w.hollows))
	for _, h := range w.hollows {
		if h != nil {
			live = append(live, h)
		}
	}
	for _, s := range w.standIns {
		live = append(live, s)
	}
	ticks := int64(math.Round(w.options.Seconds / tick))
	for n := range ticks {
		from, to := float64(n)*tick, float64(n+1)*tick
		w.begin(n, from)
		crew.advance(live, from, to)
		w.collect(to)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if w.options.Progress != nil && n%10 == 0 {
			w.options.Progress(to)
		}
	}
	return nil
}

// begin is what happens between relays before a tick.
func (w *world) begin(n int64, now float64) {
	w.strike(now)
	for _, s := range w.services {
		s.bury(now)
		if s.platform.due(now) {
			w.tellNews(now, s)
		}
		if s.registry.publish(now) {
			w.answerParked(now, s, true)
		}
		w.answerParked(now, s, false)
	}
	w.look(now)
	w.hand(now)
	w.network.deliver(n)
}

// strike has faults happen.
func (w *world) strike(now float64) {
	for len(w.faults) > 0 && w.faults[0].at <= now {
		w.faults[0].do(w, now)
		w.faults = w.faults[1:]
	}
	due := w.pending
	w.pending = nil
	for _, f := range due {
		if f.at <= now {
			f.do(w, now)
		} else {
			w.pending = append(w.pending, f)
		}
	}
}

func (w *world) later(at float64, do func(now float64)) {
	w.pending = append(w.pending, faultEvent{at, func(_ *world, now float64) { do(now) }})
}

// look renews what stand-ins know of units and fusers.
func (w *world) look(now float64) {
	if now < w.viewAt || len(w.standIns) == 0 {
		return
	}
	w.viewAt = now + viewEvery
	for _, s := range w.services {
		if len(s.hollows) == len(s.relays) {
			continue
		}
		r := &w.ready[s.index]
		r.newer, r.earlier = r.newer[:0], r.earlier[:0]
		for _, u := range s.units {
			switch {
			case u.state != relay.Ready:
			case u.build == s.platform.news.Build:
				r.newer = append(r.newer, u)
			default:
				r.earlier = append(r.earlier, u)
			}
		}
		for region := range w.options.Regions {
			w.fusersOf[s.index*w.options.Regions+region] = s.fusersFor(now, region, w.network)
		}
	}
}

func (w *world) fusers(s *service, region int) []*identity {
	return w.fusersOf[s.index*w.options.Regions+region]
}

// collect takes what relays gave out in a tick, in their order.
func (w *world) collect(now float64) {
	for _, h := range w.hollows {
		if h == nil || h.out.empty() {
			continue
		}
		for _, t := range h.out.tells {
			w.route(h.identity, t)
		}
		for _, c := range h.out.calls {
			w.call(now, c)
		}
		for _, line := range h.out.votes {
			w.vote(now, h, line)
		}
		if len(h.service.hollows) == len(h.service.relays) {
			w.checkCold(h)
		}
		h.out.clear()
	}
	for _, s := range w.standIns {
		if !s.alive {
			s.out.clear()
		}
		for _, t := range s.out.tells {
			w.route(s.identity, t)
		}
		s.out.clear()
	}
}

// checkCold holds the work that all relays of a wholly hosted service sent to cold units against the rule.
func (w *world) checkCold(h *hollow) {
	for _, c := range h.out.cold {
		if !c.unit.sentCold(c.at, c.work) {
			continue
		}
		if w.coldCount++; len(w.coldBroken) < keptPerRelay {
			w.coldBroken = append(w.coldBroken, Broken{c.at, h.checker.instance, coldRule,
				c.unit.name + " was sent more than it can do while it is cold"})
		}
	}
}

// route sends a datagram to each relay that it is for and that is hosted.
func (w *world) route(from *identity, t tell) {
	d := datagram{from: from, class: t.class, body: t.body}
	if t.to != relay.Broadcast {
		if int(t.to) < len(from.service.relays) {
			if to := w.hollows[from.service.relays[t.to].index]; to != nil {
				w.network.send(d, to)
			}
		}
		return
	}
	for _, to := range from.service.hollows {
		if to.identity != from {
			w.network.send(d, to)
		}
	}
}
