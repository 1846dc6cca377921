package discovery

import (
	"math"

	"lichenroad/relay"
)

// fleetDiscovery answers new calls in turn, and fails those that waited too long but works on them all the same.
type fleetDiscovery struct {
	fleet    *fleet
	down     bool
	version  int
	units    []relay.Endpoint
	leftAt   []relay.Seconds   // when each unit left; 0: it has not
	told     [][]relay.Seconds // by relay and unit, when a change was written to it; 0: it was not
	lastAt   []relay.Seconds   // by relay, when a call was last answered
	queue    []*fleetCall
	working  bool
	standing map[*fleetCall]bool
}

// fleetCall is a call to discovery.
type fleetCall struct {
	request
	from   *fleetRelay
	at     relay.Seconds
	after  int64
	closed bool // answered or failed
}

func newFleetDiscovery(f *fleet) *fleetDiscovery {
	d := &fleetDiscovery{fleet: f, leftAt: make([]relay.Seconds, fleetUnits), told: make([][]relay.Seconds, fleetRelays),
		lastAt: make([]relay.Seconds, fleetRelays), standing: map[*fleetCall]bool{}}
	for i := range fleetUnits {
		d.units = append(d.units, relay.Endpoint{ID: relay.EndpointID(i + 1), Build: 1, Weight: 1, State: relay.Ready})
	}
	for i := range d.told {
		d.told[i], d.lastAt[i] = make([]relay.Seconds, fleetUnits), -1
	}
	return d
}

// take takes a call.
func (d *fleetDiscovery) take(c *fleetCall) {
	f := d.fleet
	if !d.down && c.continues && f.now <= d.lastAt[c.from.no]+continuesFor {
		d.standing[c] = true
		if int64(d.version) > c.after {
			d.answer(c)
			return
		}
		f.at(f.now+c.wait.Seconds(), func() {
			if !c.closed {
				d.answer(c)
			}
		})
		return
	}
	f.found.calls[int(f.now)]++
	f.at(c.at+discoveryWait, func() { d.fail(c) })
	if !d.down {
		d.queue = append(d.queue, c)
		d.work()
	}
}

// work takes the next turn of the queue.
func (d *fleetDiscovery) work() {
	if d.working || len(d.queue) == 0 {
		return
	}
	c := d.queue[0]
	d.queue, d.working = d.queue[1:], true
	d.fleet.at(d.fleet.now+1/discoveryPace, func() {
		d.working = false
		if !c.closed && !d.down {
			d.answer(c)
		}
		d.work()
	})
}

// answer writes a call what changed since its list.
func (d *fleetDiscovery) answer(c *fleetCall) {
	f, r := d.fleet, c.from
	c.closed = true
	delete(d.standing, c)
	if r.dead {
		return
	}
	list := List{Generation: int64(d.version)}
	for i, unit := range d.units {
		if d.leftAt[i] == 0 || c.after >= int64(d.version) {
			continue
		}
		list.Endpoints = append(list.Endpoints, ListedEndpoint{Endpoint: unit})
		if d.told[r.no][i] == 0 {
			d.told[r.no][i] = f.now
		}
	}
	d.lastAt[r.no] = f.now
	r.at(f.now+0.001+0.029*f.Float64(), func() { r.answered(c, list) })
}

func (d *fleetDiscovery) fail(c *fleetCall) {
	if c.closed {
		return
	}
	c.closed = true
	delete(d.standing, c)
	if r := c.from; !r.dead {
		r.at(d.fleet.now, func() { r.failed(c, false) })
	}
}

// fall ends all watches and loses the queue, whose calls fail in their time.
func (d *fleetDiscovery) fall() {
	d.down, d.queue = true, nil
	for _, r := range d.fleet.relays { // in an order that the seed fixes
		if r != nil && d.standing[r.call] {
			d.fail(r.call)
		}
	}
}

// comeBack takes calls again; a third of the units leave at that moment.
func (d *fleetDiscovery) comeBack() {
	d.down = false
	d.version++
	for _, i := range d.fleet.Perm(fleetUnits)[:fleetUnits/3] {
		d.units[i].State, d.leftAt[i] = relay.Draining, d.fleet.now
	}
}

// toldBy is when a relay counts as told that a unit left.
func (d *fleetDiscovery) toldBy(no, unit int) relay.Seconds {
	by := d.leftAt[unit] + mostToldAfter
	if written := d.told[no][unit]; written > 0 {
		by = math.Min(by, written)
	}
	return by
}
