package discovery

import (
	"math"

	"lichenroad/relay"
)

// This file is the discovery service of a drainSimulation, and the bench's rules on when the relay counts as notified.

// Times of the bench's rules, in seconds.
const (
	stallNotice      = 6.0 // after a stall, when what it missed counts as notified
	stallAfterWait   = 2.0 // the same after the poll's wait, if that is later
	moveNotice       = 4.0 // after a change of the service's address
	watchGap         = 0.2 // after an answer in which the next poll continues the watch
	failedPollFactor = 4   // on the poll interval after a failed poll
)

func (d *drainSimulation) isDown() bool { return d.now >= d.downAt && d.now < d.upAt }

// overloaded says whether the service fails a poll by chance, which is more likely right after it moved.
func (d *drainSimulation) overloaded() bool {
	justMoved := d.now >= d.moveAt && d.now < d.moveAt+2
	return d.Intn(6) == 0 || justMoved && d.Intn(2) == 0
}

// changeEndpoint lets an endpoint drain, go or come back.
func (d *drainSimulation) changeEndpoint() {
	i := d.Intn(len(d.endpoints))
	d.version++
	d.changedIn[i] = d.version
	if endpoint := &d.endpoints[i]; endpoint.State != relay.Ready {
		endpoint.State, d.leftAt[i] = relay.Ready, 0
		return
	}
	d.endpoints[i].State = relay.EndpointState(d.Intn(2)) // draining or removed
	d.leftAt[i], d.notifiedAt[i] = d.now, d.changeNotifiedAt()
}

// changeNotifiedAt is when the relay counts as notified of a change made now, unless a list is written to it before.
func (d *drainSimulation) changeNotifiedAt() relay.Seconds {
	switch {
	case d.poll != nil && d.poll.stalled:
		return d.stallNotifiedAt()
	case !d.pushed:
		return never()
	case d.isDown(): // what the agent gets at the return counts at once
		return d.upAt
	case d.now >= d.moveAt && d.now < d.moveAt+moveNotice:
		return d.now + moveNotice
	default:
		return d.now
	}
}

// stallNotifiedAt is when a change counts that the stalled poll misses. While the service is down nobody can learn of it,
// so the time counts anew from its return.
func (d *drainSimulation) stallNotifiedAt() relay.Seconds {
	at := math.Max(d.stallAt, d.poll.startedAt) + stallNotice
	if wait := d.poll.wait.Seconds(); wait > 0 {
		at = math.Max(at, d.poll.startedAt+wait+stallAfterWait)
	}
	if at < d.downAt || at >= d.upAt {
		return at
	}
	if d.pushed {
		return d.upAt
	}
	return d.upAt + d.pollInterval
}

// listWritten notes that a list with all changes since a version was written to the relay, which counts at once.
func (d *drainSimulation) listWritten(since int) {
	for i, version := range d.changedIn {
		if d.leftAt[i] > 0 && version > since {
			d.notifiedAt[i] = math.Min(d.notifiedAt[i], d.now)
		}
	}
}

// notifyUnwatched holds a relay without a watch to the list that it has for the poll interval of the settings, counted from
// its last poll, four times as long if that failed, and anew when the service is back; from then on each change counts so
// long after it was made. A watch goes on if the next poll comes within watchGap.
func (d *drainSimulation) notifyUnwatched() {
	if d.poll != nil || d.previousPoll != nil {
		d.watchedAt = d.now
	}
	if d.pushed || d.now < d.watchedAt+watchGap || d.isDown() {
		return
	}
	interval, from := d.pollInterval, d.lastPollAt
	if d.lastPollFailed {
		interval *= failedPollFactor
	}
	if d.now >= d.upAt {
		from = math.Max(from, d.upAt)
	}
	for i, leftAt := range d.leftAt {
		at := math.Max(from, leftAt) + interval
		if leftAt > 0 && d.notifiedAt[i] == never() && d.now >= at {
			d.notifiedAt[i] = at
		}
	}
}

// injectFaults stalls a poll that waits, or lets it fail. All polls that are open at one moment stall, whether or not an
// answer is on its way.
func (d *drainSimulation) injectFaults(poll *simulatedPoll) {
	if poll == nil {
		return
	}
	if poll.startedAt < d.stallAt && d.now >= d.stallAt && poll.answeredAt > d.stallAt {
		poll.stalled, poll.failsAt, poll.answeredAt, poll.arrivesAt = true, never(), never(), never()
	}
	if d.isDown() && poll.startedAt < d.downAt && !poll.stalled && poll.answeredAt > d.now {
		poll.failsAt = math.Min(poll.failsAt, d.now) // its connection is reset
	}
}

// answer writes the answer to a poll when it is due.
func (d *drainSimulation) answer(poll *simulatedPoll) {
	if poll == nil || poll.stalled || poll.failsAt != never() || poll.answeredAt != never() {
		return
	}
	due := d.version > poll.afterVersion || poll.wait == 0 || d.now >= poll.startedAt+poll.wait.Seconds()
	if !due {
		return
	}
	poll.answeredAt = d.now
	poll.arrivesAt = d.now + 0.03*d.Float64()
	poll.list = List{Generation: int64(d.version)}
	for i, endpoint := range d.endpoints {
		if d.changedIn[i] > poll.afterVersion {
			poll.list.Endpoints = append(poll.list.Endpoints, ListedEndpoint{Endpoint: endpoint})
		}
	}
	d.listWritten(poll.afterVersion)
}

// changeAddress moves the service: the new address is polled for the full list, and the watch at the old one goes on until
// that has answered, or the old address ends it. What a stall has swallowed counts from the change.
func (d *drainSimulation) changeAddress() {
	d.previousPoll, d.previousSchedule = d.poll, d.schedule
	for i := range d.notifiedAt {
		if d.leftAt[i] > 0 && d.notifiedAt[i] > d.now {
			d.notifiedAt[i] = math.Max(d.notifiedAt[i], d.now+moveNotice)
		}
	}
	d.schedule = newPollSchedule(1, d.previousSchedule.settings)
	d.startPoll()
}
