package discovery

import (
	"math"

	"lichenroad/relay"
)

// This file implements the discovery service of a drainSimulation, and the rule of the relay protocol on when a relay
// counts as notified of a change.

// Times of that rule, in seconds.
const (
	stallNotice      = 6.0 // from a stall until the relay counts as notified of the missed changes
	stallAfterWait   = 2.0 // from the end of the poll's wait until then, if that is later
	moveNotice       = 4.0 // from a change of the service's address until the relay counts as notified of changes
	watchGap         = 0.2 // time after an answer within which the next poll continues the watch
	failedPollFactor = 4   // factor on the poll interval after a failed poll
)

func (d *drainSimulation) isDown() bool { return d.now >= d.downAt && d.now < d.upAt }

// overloaded decides at random whether the service fails a poll, which is more likely shortly after its address changed.
func (d *drainSimulation) overloaded() bool {
	justMoved := d.now >= d.moveAt && d.now < d.moveAt+2
	return d.Intn(6) == 0 || justMoved && d.Intn(2) == 0
}

// changeEndpoint lets a random endpoint drain, be removed or become ready again.
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

// changeNotifiedAt returns when the relay counts as notified of a change made now, unless it is sent a list before then.
func (d *drainSimulation) changeNotifiedAt() relay.Seconds {
	switch {
	case d.poll != nil && d.poll.stalled:
		return d.stallNotifiedAt()
	case !d.pushed:
		return never()
	case d.isDown(): // changes that reach the agent when it comes back count as notified at once
		return d.upAt
	case d.now >= d.moveAt && d.now < d.moveAt+moveNotice:
		return d.now + moveNotice
	default:
		return d.now
	}
}

// stallNotifiedAt returns when the relay counts as notified of a change that the stalled poll misses. If that time falls
// into an outage of the service, in which no relay can learn of the change, it is counted from the end of the outage
// instead.
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

// listWritten records that a list with all changes since a version was sent to the relay, which thereby counts as notified.
func (d *drainSimulation) listWritten(since int) {
	for i, version := range d.changedIn {
		if d.leftAt[i] > 0 && version > since {
			d.notifiedAt[i] = math.Min(d.notifiedAt[i], d.now)
		}
	}
}

// notifyUnwatched applies the rule for a relay without a watch. The relay may use its list for the poll interval after its
// last poll, or for failedPollFactor times as long if that poll failed. The time is counted again from the end of an
// outage. After that, the relay counts as notified of each change that long after the change. A watch continues if the next
// poll starts within watchGap.
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

// injectFaults lets a waiting poll stall or fail. At stallAt all open polls stall, even if an answer is already in transit.
func (d *drainSimulation) injectFaults(poll *simulatedPoll) {
	if poll == nil {
		return
	}
	if poll.startedAt < d.stallAt && d.now >= d.stallAt && poll.answeredAt > d.stallAt {
		poll.stalled, poll.failsAt, poll.answeredAt, poll.arrivesAt = true, never(), never(), never()
	}
	if d.isDown() && poll.startedAt < d.downAt && !poll.stalled && poll.answeredAt > d.now {
		poll.failsAt = math.Min(poll.failsAt, d.now) // the connection is reset
	}
}

// answer sends the answer to a poll when it is due.
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

// changeAddress changes the address of the service. The new address is polled for the full list, and the watch at the old
// one continues until the new one has answered or the old one ends it. The relay counts as notified of changes that a stall
// has hidden at the earliest moveNotice after the change of address.
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
