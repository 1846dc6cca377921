package discovery

import (
	"fmt"
	"math"

	"lichenroad/membership"
	"lichenroad/policy"
	"lichenroad/relay"
)

// fleetRelay is one process of a relay, wired as on sockets.
type fleetRelay struct {
	fleet     *fleet
	id        int
	dead      bool
	startedAt relay.Seconds
	module    *policy.Policy
	schedule  *pollSchedule
	node      *membership.Node
	events    []relay.Event // that the module has not seen yet

	poll         *fleetPoll // to discovery; nil: none
	commanded    bool       // the call was ordered by the module, and does not continue the watch
	watchPending bool       // a watch was ordered meanwhile

	timerAt    relay.Seconds // of the node; membership.Never: none
	lease      relay.Seconds
	leasedAt   relay.Seconds // when the first lease came; 0: none yet
	listed     bool          // discovery's own list came since the start
	cachedList []relay.Endpoint

	requests   relay.RequestID
	attemptsOf map[relay.RequestID]relay.AttemptNumber
	waiting    []*fleetAttempt
}

// fleetAttempt is a leg that waits for its connection.
type fleetAttempt struct {
	command relay.SendAttempt
	number  relay.AttemptNumber
	sent    bool
	ended   bool
}

// at runs something of this process, and lets the module see what came of it.
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

// flush lets the module see what happened, and carries out its orders.
func (r *fleetRelay) flush() {
	for len(r.events) > 0 {
		events, leased := r.events, r.fleet.now < r.lease
		r.events = nil
		orders := r.module.Step(r.fleet.now, events)
		if !leased {
			r.checkRejections(events, orders)
		}
		for _, order := range orders {
			r.carryOut(order)
		}
	}
}

// checkRejections holds the module to denying at once what comes without a lease.
func (r *fleetRelay) checkRejections(events []relay.Event, orders []relay.Command) {
	denied := map[relay.RequestID]bool{}
	for _, order := range orders {
		if deny, is := order.(relay.Reject); is && deny.RetryAfter > 0 {
			denied[deny.Request] = true
		}
	}
	for _, event := range events {
		if query, is := event.(relay.Request); is && denied[query.ID] {
			r.fleet.findings.rejected++
		} else if is {
			r.fleet.findings.unrejected++
		}
	}
}

func (r *fleetRelay) carryOut(order relay.Command) {
	switch o := order.(type) {
	case relay.SetTimer:
		r.runAt(o.At, func() { r.addEvents(relay.TimerFired{ID: o.ID}) })
	case relay.Watch:
		if r.fleet.disabled.fixedRetry || !o.On {
			return
		}
		if r.poll != nil {
			r.watchPending = true
			return
		}
		r.startWatch()
	case relay.SendAttempt:
		r.startAttempt(o)
	}
}

func (r *fleetRelay) sendRequest() {
	r.requests++
	r.fleet.findings.requests++
	r.addEvents(relay.Request{ID: r.requests, Deadline: r.fleet.now + 2})
	r.runAt(r.fleet.now+requestInterval, r.sendRequest)
}

// ask makes the watch's next call, behind a failure or by order.
func (r *fleetRelay) startWatch() {
	r.commanded = true
	r.startPoll()
}

func (r *fleetRelay) startPoll() {
	f, c := r.fleet, &fleetPoll{poll: r.schedule.nextPoll(), from: r, startedAt: r.fleet.now, afterGeneration: r.schedule.generation}
	r.poll = c
	r.stepMembership(membership.PollStarted{Wait: c.wait.Seconds(), Continues: c.continues})
	r.runAt(f.now+c.timeout.Seconds(), func() { r.pollFailed(c, true) })
	f.discovery.receive(c)
}

// answered takes a list from discovery, and goes on with the watch.
func (r *fleetRelay) pollAnswered(c *fleetPoll, list List) {
	if r.poll != c {
		return
	}
	list, form, news := r.schedule.accept(list, r.commanded, false)
	given := membership.List{Generation: list.Generation, Full: form != relay.ListDelta}
	for _, line := range list.Endpoints {
		r.endpointLeaving(line.ID)
		given.Endpoints = append(given.Endpoints, line.Endpoint)
	}
	if news {
		r.addEvents(relay.ListUpdate{Kind: form, Endpoints: given.Endpoints})
	}
	r.updateCachedList(given.Endpoints)
	r.stepMembership(membership.PollAnswered{List: given})
	if !r.listed && r.startedAt >= restartAt && list.Generation == int64(r.fleet.discovery.version) {
		r.fleet.findings.listLast = math.Max(r.fleet.findings.listLast, r.fleet.now-r.startedAt)
	}
	r.listed = r.listed || list.Generation == int64(r.fleet.discovery.version)
	r.commanded, r.watchPending = r.watchPending, false
	r.startPoll()
}

// hold notes the list as the relay would find it behind a restart.
func (r *fleetRelay) updateCachedList(changed []relay.Endpoint) {
	var held []relay.Endpoint
	gone := map[relay.EndpointID]bool{}
	for _, unit := range changed {
		gone[unit.ID] = true
	}
	for _, unit := range r.cachedList {
		if !gone[unit.ID] {
			held = append(held, unit)
		}
	}
	r.cachedList = held
}

func (r *fleetRelay) pollFailed(c *fleetPoll, silent bool) {
	if r.poll != c {
		return
	}
	r.poll, c.closed = nil, true
	r.schedule.pollFailed(silent)
	r.stepMembership(membership.PollFailed{Stalled: silent})
	form := relay.ListFetchFailed
	if silent {
		form = relay.ListWatchStalled
	}
	switch {
	case r.fleet.disabled.fixedRetry:
		r.runAt(r.fleet.now+1+r.fleet.Float64(), r.startWatch)
		return
	case r.watchPending:
		r.watchPending = false
		r.startWatch()
	}
	r.addEvents(relay.ListUpdate{Kind: form})
}

// member lets the node see an event, and carries out what it returns.
func (r *fleetRelay) stepMembership(event any) {
	now, out := r.fleet.now, r.node.Step(r.fleet.now, event)
	for _, body := range out.Messages {
		r.fleet.broadcast(relay.RelayID(r.id), body)
	}
	if len(out.Removed) > 0 {
		left := relay.ListUpdate{Kind: relay.ListDelta, FromPeers: true}
		for _, unit := range out.Removed {
			r.endpointLeaving(unit)
			left.Endpoints = append(left.Endpoints, relay.Endpoint{ID: unit, State: relay.Draining, Partial: true})
		}
		r.addEvents(left)
	}
	r.setLease(out.Lease)
	if out.Answers {
		r.addEvents(relay.DiscoveryRecovered{})
	}
	if out.TimerAt < r.timerAt {
		at := out.TimerAt
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
			r.fleet.findings.leaseLast = math.Max(r.fleet.findings.leaseLast, now-r.startedAt)
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

// leg sends a leg, on a connection that stands or on a new one, some of which don't come up in time.
func (r *fleetRelay) startAttempt(order relay.SendAttempt) {
	f, l := r.fleet, &fleetAttempt{command: order, number: r.attemptsOf[order.Request]}
	r.attemptsOf[order.Request]++
	if f.Intn(3) > 0 {
		r.sendAttempt(l)
		return
	}
	r.waiting = append(r.waiting, l)
	up := f.now + 1.5*connectTimeout*f.Float64()
	r.runAt(math.Min(up, f.now+connectTimeout), func() {
		if up > f.now {
			r.endAttempt(l, relay.ConnectFailed)
			return
		}
		r.sendAttempt(l)
	})
}

func (r *fleetRelay) endAttempt(l *fleetAttempt, how relay.Outcome) {
	if l.ended {
		return
	}
	l.ended = true
	r.addEvents(relay.AttemptEnded{Request: l.command.Request, Attempt: l.number, Endpoint: l.command.Endpoint, Outcome: how, Duration: 0.1, RequestFinished: how == relay.Succeeded})
}

// leaving ends the legs that wait for a connection to a unit, as the pool does at the news.
func (r *fleetRelay) endpointLeaving(unit relay.EndpointID) {
	var left []*fleetAttempt
	for _, l := range r.waiting {
		if l.command.Endpoint == unit && !l.sent {
			r.endAttempt(l, relay.NotSent)
		}
		if !l.ended && !l.sent {
			left = append(left, l)
		}
	}
	r.waiting = left
}

// write sends a leg to its unit, which the check sees.
func (r *fleetRelay) sendAttempt(l *fleetAttempt) {
	f, unit := r.fleet, int(l.command.Endpoint)-1
	if l.ended {
		return
	}
	if l.command.SendBy > 0 && f.now > l.command.SendBy {
		r.endAttempt(l, relay.NotSent)
		return
	}
	l.sent = true
	f.findings.attempts++
	if f.discovery.leftAt[unit] > 0 && f.now > f.discovery.notifiedBy(r.id, unit)+fleetGrace+graceSlack {
		if f.findings.violations++; f.findings.violations == 1 {
			f.findings.firstViolation = fmt.Sprintf("%.3f: relay %d, started at %.3f, sent a leg to unit %d, which counts as told as leaving at %.3f",
				f.now, r.id, r.startedAt, unit+1, f.discovery.notifiedBy(r.id, unit))
		}
	}
	r.runAt(f.now+0.02+0.2*f.Float64(), func() { r.endAttempt(l, relay.Succeeded) })
}
