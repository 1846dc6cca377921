package discovery

import (
	"math"

	"lichenroad/relay"
)

// fleetDiscovery is the discovery service. It answers new polls in turn, and fails those that waited too long but works on
// them all the same.
type fleetDiscovery struct {
	fleet        *fleet
	down         bool
	version      int
	endpoints    []relay.Endpoint
	leftAt       []relay.Seconds   // when each endpoint left; 0: it has not
	notifiedAt   [][]relay.Seconds // by relay and endpoint, when the change was written; 0: it was not
	lastAnswerAt []relay.Seconds   // by relay, when a poll was last answered
	queue        []*fleetPoll
	busy         bool
	waiting      map[*fleetPoll]bool
}

// fleetPoll is a poll of a relay.
type fleetPoll struct {
	poll
	from            *fleetRelay
	startedAt       relay.Seconds
	afterGeneration int64
	closed          bool // answered or failed
}

func newFleetDiscovery(f *fleet) *fleetDiscovery {
	d := &fleetDiscovery{
		fleet:        f,
		leftAt:       make([]relay.Seconds, fleetEndpoints),
		notifiedAt:   make([][]relay.Seconds, fleetRelays),
		lastAnswerAt: make([]relay.Seconds, fleetRelays),
		waiting:      map[*fleetPoll]bool{},
	}
	for i := range fleetEndpoints {
		d.endpoints = append(d.endpoints, relay.Endpoint{ID: relay.EndpointID(i + 1), Build: 1, Weight: 1, State: relay.Ready})
	}
	for i := range d.notifiedAt {
		d.notifiedAt[i], d.lastAnswerAt[i] = make([]relay.Seconds, fleetEndpoints), -1
	}
	return d
}

// receive receives a poll: one that continues a watch waits, any other one queues.
func (d *fleetDiscovery) receive(poll *fleetPoll) {
	fleet := d.fleet
	if !d.down && poll.continues && fleet.now <= d.lastAnswerAt[poll.from.id]+continuesFor {
		d.waiting[poll] = true
		if int64(d.version) > poll.afterGeneration {
			d.answer(poll)
			return
		}
		fleet.runAt(fleet.now+poll.wait.Seconds(), func() {
			if !poll.closed {
				d.answer(poll)
			}
		})
		return
	}
	fleet.findings.pollsBySecond[int(fleet.now)]++
	fleet.runAt(poll.startedAt+discoveryWait, func() { d.fail(poll) })
	if !d.down {
		d.queue = append(d.queue, poll)
		d.serveQueue()
	}
}

// serveQueue works on the first poll of the queue, then on the next.
func (d *fleetDiscovery) serveQueue() {
	if d.busy || len(d.queue) == 0 {
		return
	}
	poll := d.queue[0]
	d.queue, d.busy = d.queue[1:], true
	d.fleet.runAt(d.fleet.now+1/discoveryRate, func() {
		d.busy = false
		if !poll.closed && !d.down {
			d.answer(poll)
		}
		d.serveQueue()
	})
}

// answer answers a poll by what changed since the relay's list.
func (d *fleetDiscovery) answer(poll *fleetPoll) {
	fleet, r := d.fleet, poll.from
	poll.closed = true
	delete(d.waiting, poll)
	if r.dead {
		return
	}
	list := List{Generation: int64(d.version)}
	for i, endpoint := range d.endpoints {
		if d.leftAt[i] == 0 || poll.afterGeneration >= int64(d.version) {
			continue
		}
		list.Endpoints = append(list.Endpoints, ListedEndpoint{Endpoint: endpoint})
		if d.notifiedAt[r.id][i] == 0 {
			d.notifiedAt[r.id][i] = fleet.now
		}
	}
	d.lastAnswerAt[r.id] = fleet.now
	r.runAt(fleet.now+0.001+0.029*fleet.Float64(), func() { r.pollAnswered(poll, list) })
}

func (d *fleetDiscovery) fail(poll *fleetPoll) {
	if poll.closed {
		return
	}
	poll.closed = true
	delete(d.waiting, poll)
	if r := poll.from; !r.dead {
		r.runAt(d.fleet.now, func() { r.pollFailed(poll, false) })
	}
}

// goDown ends all watches and loses the queue, whose polls fail in their time.
func (d *fleetDiscovery) goDown() {
	d.down, d.queue = true, nil
	for _, r := range d.fleet.relays { // in an order that the seed fixes
		if r != nil && d.waiting[r.poll] {
			d.fail(r.poll)
		}
	}
}

// comeBack takes polls again; a third of the endpoints leave at that moment.
func (d *fleetDiscovery) comeBack() {
	d.down = false
	d.version++
	for _, i := range d.fleet.Perm(fleetEndpoints)[:fleetEndpoints/3] {
		d.endpoints[i].State, d.leftAt[i] = relay.Draining, d.fleet.now
	}
}

// notifiedBy is when a relay counts as notified that an endpoint left.
func (d *fleetDiscovery) notifiedBy(relayID, index int) relay.Seconds {
	at := d.leftAt[index] + maxNotifyDelay
	if written := d.notifiedAt[relayID][index]; written > 0 {
		at = math.Min(at, written)
	}
	return at
}
