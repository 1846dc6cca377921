package discovery

import (
	"fmt"
	"math"

	"lichenroad/membership"
	"lichenroad/policy"
	"lichenroad/relay"
)

// fleetRelay is one process of a relay. It connects its parts in the same way as Client and membershipHost.
type fleetRelay struct {
	fleet     *fleet
	id        int
	dead      bool
	startedAt relay.Seconds
	module    *policy.Policy
	schedule  *pollSchedule
	node      *membership.Node
	events    []relay.Event // events not yet passed to the decision module

	poll         *fleetPoll // poll of the watch; nil: none
	commanded    bool       // the poll was sent on a command, and not to continue the watch
	watchPending bool       // a watch was commanded during the poll

	timerAt    relay.Seconds // timer of the membership node; membership.Never: none
	lease      relay.Seconds
	leasedAt   relay.Seconds // when the first lease was granted; 0: none yet
	listed     bool          // the current list of the discovery service was received since the start
	cachedList []relay.Endpoint

	requests   relay.RequestID
	attemptsOf map[relay.RequestID]relay.AttemptNumber
	waiting    []*fleetAttempt
}

// fleetAttempt is an attempt to send a request, which may have to wait for a connection.
type fleetAttempt struct {
	command relay.SendAttempt
	number  relay.AttemptNumber
	sent    bool
	ended   bool
}

// runAt runs a function at a time, unless the process is dead by then, and passes the resulting events to the decision
// module.
func (r *fleetRelay) runAt(at relay.Seconds, run func()) {
	r.fleet.runAt(at, func() {
		if r.dead {
			return
		}
		run()
		r.flush()
	})
}

func (r *fleetRelay) addEvents(events ...relay.Event) { r.events = append(r.events, events...) }

// flush passes the new events to the decision module and carries out its commands, until there are no more events.
func (r *fleetRelay) flush() {
	for len(r.events) > 0 {
		events, leased := r.events, r.fleet.now < r.lease
		r.events = nil
		commands := r.module.Step(r.fleet.now, events)
		if !leased {
			r.checkRejections(events, commands)
		}
		for _, command := range commands {
			r.carryOut(command)
		}
	}
}

// checkRejections counts the requests that were rejected at once, and those that were not. It is called for relays without
// a lease, which should reject all requests.
func (r *fleetRelay) checkRejections(events []relay.Event, commands []relay.Command) {
	rejected := map[relay.RequestID]bool{}
	for _, command := range commands {
		if reject, ok := command.(relay.Reject); ok && reject.RetryAfter > 0 {
			rejected[reject.Request] = true
		}
	}
	for _, event := range events {
		request, ok := event.(relay.Request)
		switch {
		case !ok:
		case rejected[request.ID]:
			r.fleet.findings.rejected++
		default:
			r.fleet.findings.unrejected++
		}
	}
}

func (r *fleetRelay) carryOut(command relay.Command) {
	switch command := command.(type) {
	case relay.SetTimer:
		r.runAt(command.At, func() { r.addEvents(relay.TimerFired{ID: command.ID}) })
	case relay.Watch:
		if command.On && !r.fleet.disabled.fixedRetry {
			r.commandWatch()
		}
	case relay.SendAttempt:
		r.startAttempt(command)
	}
}

func (r *fleetRelay) commandWatch() {
	if r.poll != nil {
		r.watchPending = true
		return
	}
	r.startWatch()
}

func (r *fleetRelay) sendRequest() {
	r.requests++
	r.fleet.findings.requests++
	r.addEvents(relay.Request{ID: r.requests, Deadline: r.fleet.now + 2})
	r.runAt(r.fleet.now+requestInterval, r.sendRequest)
}

// startWatch starts a poll after a failure or on a command.
func (r *fleetRelay) startWatch() {
	r.commanded = true
	r.startPoll()
}

func (r *fleetRelay) startPoll() {
	next := r.schedule.nextPoll(r.fleet.now)
	poll := &fleetPoll{poll: next, from: r, startedAt: r.fleet.now, afterGeneration: r.schedule.generation}
	r.poll = poll
	r.stepMembership(membership.PollStarted{Wait: poll.wait.Seconds(), ContinuesWatch: poll.continues})
	r.runAt(r.fleet.now+poll.timeout.Seconds(), func() { r.pollFailed(poll, true) })
	r.fleet.discovery.receive(poll)
}

// pollAnswered handles a list from the discovery service and continues the watch.
func (r *fleetRelay) pollAnswered(poll *fleetPoll, list List) {
	if r.poll != poll {
		return
	}
	origin := watchContinued
	if r.commanded {
		origin = watchCommanded
	}
	update := r.schedule.accept(list, origin)
	list = update.list
	received := membership.List{Generation: list.Generation, Full: update.kind != relay.ListDelta}
	for _, endpoint := range list.Endpoints {
		r.endpointLeaving(endpoint.ID)
		received.Endpoints = append(received.Endpoints, endpoint.Endpoint)
	}
	if update.notify {
		r.addEvents(relay.ListUpdate{Kind: update.kind, Endpoints: received.Endpoints})
	}
	r.updateCachedList(received.Endpoints)
	r.stepMembership(membership.PollAnswered{List: received})
	if !r.listed && r.startedAt >= restartAt && list.Generation == int64(r.fleet.discovery.version) {
		r.fleet.findings.maxListDelaySeen = math.Max(r.fleet.findings.maxListDelaySeen, r.fleet.now-r.startedAt)
	}
	r.listed = r.listed || list.Generation == int64(r.fleet.discovery.version)
	r.commanded, r.watchPending = r.watchPending, false
	r.startPoll()
}

// updateCachedList updates the list that the relay would find after a restart. All changed endpoints have left, because in
// this simulation none joins.
func (r *fleetRelay) updateCachedList(changed []relay.Endpoint) {
	var remaining []relay.Endpoint
	gone := map[relay.EndpointID]bool{}
	for _, endpoint := range changed {
		gone[endpoint.ID] = true
	}
	for _, endpoint := range r.cachedList {
		if !gone[endpoint.ID] {
			remaining = append(remaining, endpoint)
		}
	}
	r.cachedList = remaining
}

func (r *fleetRelay) pollFailed(poll *fleetPoll, stalled bool) {
	if r.poll != poll {
		return
	}
	r.poll, poll.closed = nil, true
	r.schedule.pollFailed(stalled)
	r.stepMembership(membership.PollFailed{Stalled: stalled})
	kind := relay.ListFetchFailed
	if stalled {
		kind = relay.ListWatchStalled
	}
	switch {
	case r.fleet.disabled.fixedRetry:
		r.runAt(r.fleet.now+1+r.fleet.Float64(), r.startWatch)
		return
	case r.watchPending:
		r.watchPending = false
		r.startWatch()
	}
	r.addEvents(relay.ListUpdate{Kind: kind})
}

// stepMembership passes an event to the membership node and carries out the output.
func (r *fleetRelay) stepMembership(event membership.Event) {
	now, output := r.fleet.now, r.node.Step(r.fleet.now, event)
	for _, body := range output.Messages {
		r.fleet.broadcast(relay.ID(r.id), body)
	}
	if len(output.Removed) > 0 {
		update := relay.ListUpdate{Kind: relay.ListDelta, FromPeers: true}
		for _, id := range output.Removed {
			r.endpointLeaving(id)
			update.Endpoints = append(update.Endpoints, relay.Endpoint{ID: id, State: relay.Draining, Partial: true})
		}
		r.addEvents(update)
	}
	r.setLease(output.LeaseExpiresAt)
	if output.DiscoveryRecovered {
		r.addEvents(relay.DiscoveryRecovered{})
	}
	if output.TimerAt < r.timerAt {
		at := output.TimerAt
		r.timerAt = at
		r.runAt(at, func() {
			if r.timerAt == at {
				r.timerAt = membership.Never
			}
			r.stepMembership(membership.TimerFired{})
		})
	}
	if now < r.lease && r.leasedAt == 0 {
		r.leasedAt = now
		if r.startedAt >= restartAt {
			r.fleet.findings.maxLeaseDelaySeen = math.Max(r.fleet.findings.maxLeaseDelaySeen, now-r.startedAt)
		}
	}
}

func (r *fleetRelay) setLease(lease relay.Seconds) {
	if lease == r.lease {
		return
	}
	r.lease = lease
	if !r.fleet.disabled.noLease {
		r.addEvents(relay.ListLease{ExpiresAt: lease})
	}
}

// startAttempt sends an attempt on an open connection or on a new one, which may not be established in time.
func (r *fleetRelay) startAttempt(command relay.SendAttempt) {
	fleet := r.fleet
	attempt := &fleetAttempt{command: command, number: r.attemptsOf[command.Request]}
	r.attemptsOf[command.Request]++
	if fleet.Intn(3) > 0 {
		r.sendAttempt(attempt)
		return
	}
	r.waiting = append(r.waiting, attempt)
	connectedAt := fleet.now + 1.5*connectTimeout*fleet.Float64()
	r.runAt(math.Min(connectedAt, fleet.now+connectTimeout), func() {
		if connectedAt > fleet.now {
			r.endAttempt(attempt, relay.ConnectFailed)
			return
		}
		r.sendAttempt(attempt)
	})
}

func (r *fleetRelay) endAttempt(attempt *fleetAttempt, outcome relay.Outcome) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	r.addEvents(relay.AttemptEnded{
		Request:         attempt.command.Request,
		Attempt:         attempt.number,
		Endpoint:        attempt.command.Endpoint,
		Outcome:         outcome,
		Duration:        0.1,
		RequestFinished: outcome == relay.Succeeded,
	})
}

// endpointLeaving ends the attempts that wait for a connection to an endpoint, as the connection pool does when the
// endpoint leaves.
func (r *fleetRelay) endpointLeaving(id relay.EndpointID) {
	var waiting []*fleetAttempt
	for _, attempt := range r.waiting {
		if attempt.command.Endpoint == id && !attempt.sent {
			r.endAttempt(attempt, relay.NotSent)
		}
		if !attempt.ended && !attempt.sent {
			waiting = append(waiting, attempt)
		}
	}
	r.waiting = waiting
}

// sendAttempt sends an attempt to its endpoint and checks it. An attempt that is too late is ended without being sent.
func (r *fleetRelay) sendAttempt(attempt *fleetAttempt) {
	fleet := r.fleet
	if attempt.ended {
		return
	}
	if attempt.command.SendBy > 0 && fleet.now > attempt.command.SendBy {
		r.endAttempt(attempt, relay.NotSent)
		return
	}
	attempt.sent = true
	fleet.findings.attempts++
	r.checkAttempt(attempt)
	r.runAt(fleet.now+0.02+0.2*fleet.Float64(), func() { r.endAttempt(attempt, relay.Succeeded) })
}

// checkAttempt checks that an attempt is not sent to an endpoint after its drain grace, counted from the time at which the
// relay counts as notified of the drain.
func (r *fleetRelay) checkAttempt(attempt *fleetAttempt) {
	fleet, index := r.fleet, int(attempt.command.Endpoint)-1
	notifiedBy := fleet.discovery.notifiedBy(r.id, index)
	if fleet.discovery.leftAt[index] == 0 || fleet.now <= notifiedBy+fleetGrace+graceSlack {
		return
	}
	if fleet.findings.violations++; fleet.findings.violations == 1 {
		fleet.findings.firstViolation = fmt.Sprintf(
			"at %.3f relay %d, started at %.3f, sent an attempt to endpoint %d, although notified of its drain by %.3f",
			fleet.now, r.id, r.startedAt, index+1, notifiedBy)
	}
}
