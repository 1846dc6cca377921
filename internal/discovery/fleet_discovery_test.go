package discovery

import (
	"math"

	"lichenroad/relay"
)

// fleetDiscovery simulates an overloaded discovery service. It answers new polls one after another. Polls that have waited
// too long fail, but the service still spends time on them.
type fleetDiscovery struct {
	fleet        *fleet
	down         bool
	version      int
	endpoints    []relay.Endpoint
	leftAt       []relay.Seconds     // when each endpoint left; 0: it has not left
	notifiedAt   [][]relay.Seconds   // by relay and endpoint, when the relay was sent the change; 0: not yet
	lastAnswerAt []relay.Seconds     // by relay, when its last poll was answered
	queue        []*fleetPoll        // new polls that are not served yet
	busy         bool                // a poll is being served
	waiting      map[*fleetPoll]bool // polls that continue a watch
}

// fleetPoll is a poll by a relay.
type fleetPoll struct {
	poll
	from            *fleetRelay
	startedAt       relay.Seconds
	afterGeneration int64
	closed          bool // the poll was answered or has failed
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

// receive handles a poll. If it continues a watch, it waits for a change; otherwise it is queued.
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

// serveQueue serves the polls in the queue one after another.
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

// answer answers a poll with the changes since the relay's generation.
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

// goDown starts an outage. All watches end at once. The queue is lost, and its polls fail after discoveryWait.
func (d *fleetDiscovery) goDown() {
	d.down, d.queue = true, nil
	for _, r := range d.fleet.relays { // not over the map, to keep runs with the same seed equal
		if r != nil && d.waiting[r.poll] {
			d.fail(r.poll)
		}
	}
}

// comeBack ends the outage. A third of the endpoints leave at that moment.
func (d *fleetDiscovery) comeBack() {
	d.down = false
	d.version++
	for _, i := range d.fleet.Perm(fleetEndpoints)[:fleetEndpoints/3] {
		d.endpoints[i].State, d.leftAt[i] = relay.Draining, d.fleet.now
	}
}

// notifiedBy returns when a relay counts as notified that an endpoint has left.
func (d *fleetDiscovery) notifiedBy(relayID, index int) relay.Seconds {
	at := d.leftAt[index] + maxNotifyDelay
	if written := d.notifiedAt[relayID][index]; written > 0 {
		at = math.Min(at, written)
	}
	return at
}
