package discovery

import (
	"math"

	"lichenroad/relay"
)

// fleetDiscovery answers new calls in turn, and fails those that waited too long but works on them all the same.
type fleetDiscovery struct {
	fleet        *fleet
	down         bool
	version      int
	endpoints    []relay.Endpoint
	leftAt       []relay.Seconds   // when each unit left; 0: it has not
	notifiedAt   [][]relay.Seconds // by relay and unit, when a change was written to it; 0: it was not
	lastAnswerAt []relay.Seconds   // by relay, when a call was last answered
	queue        []*fleetPoll
	working      bool
	standing     map[*fleetPoll]bool
}

// fleetPoll is a call to discovery.
type fleetPoll struct {
	poll
	from            *fleetRelay
	startedAt       relay.Seconds
	afterGeneration int64
	closed          bool // answered or failed
}

func newFleetDiscovery(f *fleet) *fleetDiscovery {
	d := &fleetDiscovery{fleet: f, leftAt: make([]relay.Seconds, fleetEndpoints), notifiedAt: make([][]relay.Seconds, fleetRelays),
		lastAnswerAt: make([]relay.Seconds, fleetRelays), standing: map[*fleetPoll]bool{}}
	for i := range fleetEndpoints {
		d.endpoints = append(d.endpoints, relay.Endpoint{ID: relay.EndpointID(i + 1), Build: 1, Weight: 1, State: relay.Ready})
	}
	for i := range d.notifiedAt {
		d.notifiedAt[i], d.lastAnswerAt[i] = make([]relay.Seconds, fleetEndpoints), -1
	}
	return d
}

// take takes a call.
func (d *fleetDiscovery) receive(c *fleetPoll) {
	f := d.fleet
	if !d.down && c.continues && f.now <= d.lastAnswerAt[c.from.id]+continuesFor {
		d.standing[c] = true
		if int64(d.version) > c.afterGeneration {
			d.answer(c)
			return
		}
		f.runAt(f.now+c.wait.Seconds(), func() {
			if !c.closed {
				d.answer(c)
			}
		})
		return
	}
	f.findings.pollsBySecond[int(f.now)]++
	f.runAt(c.startedAt+discoveryWait, func() { d.fail(c) })
	if !d.down {
		d.queue = append(d.queue, c)
		d.serveQueue()
	}
}

// work takes the next turn of the queue.
func (d *fleetDiscovery) serveQueue() {
	if d.working || len(d.queue) == 0 {
		return
	}
	c := d.queue[0]
	d.queue, d.working = d.queue[1:], true
	d.fleet.runAt(d.fleet.now+1/discoveryRate, func() {
		d.working = false
		if !c.closed && !d.down {
			d.answer(c)
		}
		d.serveQueue()
	})
}

// answer writes a call what changed since its list.
func (d *fleetDiscovery) answer(c *fleetPoll) {
	f, r := d.fleet, c.from
	c.closed = true
	delete(d.standing, c)
	if r.dead {
		return
	}
	list := List{Generation: int64(d.version)}
	for i, unit := range d.endpoints {
		if d.leftAt[i] == 0 || c.afterGeneration >= int64(d.version) {
			continue
		}
		list.Endpoints = append(list.Endpoints, ListedEndpoint{Endpoint: unit})
		if d.notifiedAt[r.id][i] == 0 {
			d.notifiedAt[r.id][i] = f.now
		}
	}
	d.lastAnswerAt[r.id] = f.now
	r.runAt(f.now+0.001+0.029*f.Float64(), func() { r.pollAnswered(c, list) })
}

func (d *fleetDiscovery) fail(c *fleetPoll) {
	if c.closed {
		return
	}
	c.closed = true
	delete(d.standing, c)
	if r := c.from; !r.dead {
		r.runAt(d.fleet.now, func() { r.pollFailed(c, false) })
	}
}

// fall ends all watches and loses the queue, whose calls fail in their time.
func (d *fleetDiscovery) goDown() {
	d.down, d.queue = true, nil
	for _, r := range d.fleet.relays { // in an order that the seed fixes
		if r != nil && d.standing[r.poll] {
			d.fail(r.poll)
		}
	}
}

// comeBack takes calls again; a third of the units leave at that moment.
func (d *fleetDiscovery) comeBack() {
	d.down = false
	d.version++
	for _, i := range d.fleet.Perm(fleetEndpoints)[:fleetEndpoints/3] {
		d.endpoints[i].State, d.leftAt[i] = relay.Draining, d.fleet.now
	}
}

// notifiedBy is when a relay counts as told that a unit left.
func (d *fleetDiscovery) notifiedBy(no, unit int) relay.Seconds {
	by := d.leftAt[unit] + maxNotifyDelay
	if written := d.notifiedAt[no][unit]; written > 0 {
		by = math.Min(by, written)
	}
	return by
}
