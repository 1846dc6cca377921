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
	no        int
	dead      bool
	startedAt relay.Seconds
	module    *policy.Policy
	keeper    *keeper
	node      *membership.Node
	events    []relay.Event // that the module has not seen yet

	call    *fleetCall // to discovery; nil: none
	ordered bool       // the call was ordered by the module, and does not continue the watch
	again   bool       // a watch was ordered meanwhile

	wakeAt   relay.Seconds // of the node; membership.Never: none
	lease    relay.Seconds
	leasedAt relay.Seconds // when the first lease came; 0: none yet
	listed   bool          // discovery's own list came since the start
	held     []relay.Endpoint

	queries relay.RequestID
	legsOf  map[relay.RequestID]relay.AttemptNumber
	waiting []*fleetLeg
}

// fleetLeg is a leg that waits for its connection.
type fleetLeg struct {
	order relay.SendAttempt
	no    relay.AttemptNumber
	sent  bool
	ended bool
}

// at runs something of this process, and lets the module see what came of it.
func (r *fleetRelay) at(at relay.Seconds, run func()) {
	r.fleet.at(at, func() {
		if r.dead {
			return
		}
		run()
		r.flush()
	})
}

func (r *fleetRelay) learn(events ...relay.Event) { r.events = append(r.events, events...) }

// flush lets the module see what happened, and carries out its orders.
func (r *fleetRelay) flush() {
	for len(r.events) > 0 {
		events, leased := r.events, r.fleet.now < r.lease
		r.events = nil
		orders := r.module.Step(r.fleet.now, events)
		if !leased {
			r.checkDenied(events, orders)
		}
		for _, order := range orders {
			r.carryOut(order)
		}
	}
}

// checkDenied holds the module to denying at once what comes without a lease.
func (r *fleetRelay) checkDenied(events []relay.Event, orders []relay.Command) {
	denied := map[relay.RequestID]bool{}
	for _, order := range orders {
		if deny, is := order.(relay.Reject); is && deny.RetryAfter > 0 {
			denied[deny.Request] = true
		}
	}
	for _, event := range events {
		if query, is := event.(relay.Request); is && denied[query.ID] {
			r.fleet.found.denied++
		} else if is {
			r.fleet.found.undenied++
		}
	}
}

func (r *fleetRelay) carryOut(order relay.Command) {
	switch o := order.(type) {
	case relay.SetTimer:
		r.at(o.At, func() { r.learn(relay.TimerFired{ID: o.ID}) })
	case relay.Watch:
		if r.fleet.faults.fixedRetry || !o.On {
			return
		}
		if r.call != nil {
			r.again = true
			return
		}
		r.ask()
	case relay.SendAttempt:
		r.leg(o)
	}
}

func (r *fleetRelay) query() {
	r.queries++
	r.fleet.found.queries++
	r.learn(relay.Request{ID: r.queries, Deadline: r.fleet.now + 2})
	r.at(r.fleet.now+queryEvery, r.query)
}

// ask makes the watch's next call, behind a failure or by order.
func (r *fleetRelay) ask() {
	r.ordered = true
	r.makeCall()
}

func (r *fleetRelay) makeCall() {
	f, c := r.fleet, &fleetCall{request: r.keeper.next(), from: r, at: r.fleet.now, after: r.keeper.version}
	r.call = c
	r.member(membership.PollStarted{Wait: c.wait.Seconds(), ContinuesWatch: c.continues})
	r.at(f.now+c.limit.Seconds(), func() { r.failed(c, true) })
	f.discovery.take(c)
}

// answered takes a list from discovery, and goes on with the watch.
func (r *fleetRelay) answered(c *fleetCall, list List) {
	if r.call != c {
		return
	}
	list, form, news := r.keeper.took(list, r.ordered, false)
	given := membership.List{Generation: list.Generation, Full: form != relay.ListDelta}
	for _, line := range list.Endpoints {
		r.leaving(line.ID)
		given.Endpoints = append(given.Endpoints, line.Endpoint)
	}
	if news {
		r.learn(relay.ListUpdate{Kind: form, Endpoints: given.Endpoints})
	}
	r.hold(given.Endpoints)
	r.member(membership.PollAnswered{List: given})
	if !r.listed && r.startedAt >= restartAt && list.Generation == int64(r.fleet.discovery.version) {
		r.fleet.found.listLast = math.Max(r.fleet.found.listLast, r.fleet.now-r.startedAt)
	}
	r.listed = r.listed || list.Generation == int64(r.fleet.discovery.version)
	r.ordered, r.again = r.again, false
	r.makeCall()
}

// hold notes the list as the relay would find it behind a restart.
func (r *fleetRelay) hold(changed []relay.Endpoint) {
	var held []relay.Endpoint
	gone := map[relay.EndpointID]bool{}
	for _, unit := range changed {
		gone[unit.ID] = true
	}
	for _, unit := range r.held {
		if !gone[unit.ID] {
			held = append(held, unit)
		}
	}
	r.held = held
}

func (r *fleetRelay) failed(c *fleetCall, silent bool) {
	if r.call != c {
		return
	}
	r.call, c.closed = nil, true
	r.keeper.failed(silent)
	r.member(membership.PollFailed{Stalled: silent})
	form := relay.ListFetchFailed
	if silent {
		form = relay.ListWatchStalled
	}
	switch {
	case r.fleet.faults.fixedRetry:
		r.at(r.fleet.now+1+r.fleet.Float64(), r.ask)
		return
	case r.again:
		r.again = false
		r.ask()
	}
	r.learn(relay.ListUpdate{Kind: form})
}

// member lets the node see an event, and carries out what it returns.
func (r *fleetRelay) member(event membership.Event) {
	now, out := r.fleet.now, r.node.Step(r.fleet.now, event)
	for _, body := range out.Messages {
		r.fleet.broadcast(relay.RelayID(r.no), body)
	}
	if len(out.Removed) > 0 {
		left := relay.ListUpdate{Kind: relay.ListDelta, FromPeers: true}
		for _, unit := range out.Removed {
			r.leaving(unit)
			left.Endpoints = append(left.Endpoints, relay.Endpoint{ID: unit, State: relay.Draining, Partial: true})
		}
		r.learn(left)
	}
	r.grant(out.LeaseExpiresAt)
	if out.DiscoveryRecovered {
		r.learn(relay.DiscoveryRecovered{})
	}
	if out.TimerAt < r.wakeAt {
		at := out.TimerAt
		r.wakeAt = at
		r.at(at, func() {
			if r.wakeAt == at {
				r.wakeAt = membership.Never
			}
			r.member(membership.TimerFired{})
		})
	}
	if now < r.lease && r.leasedAt == 0 {
		r.leasedAt = now
		if r.startedAt >= restartAt {
			r.fleet.found.leaseLast = math.Max(r.fleet.found.leaseLast, now-r.startedAt)
		}
	}
}

func (r *fleetRelay) grant(lease relay.Seconds) {
	if lease == r.lease {
		return
	}
	r.lease = lease
	if !r.fleet.faults.noLease {
		r.learn(relay.ListLease{ExpiresAt: lease})
	}
}

// leg sends a leg, on a connection that stands or on a new one, some of which don't come up in time.
func (r *fleetRelay) leg(order relay.SendAttempt) {
	f, l := r.fleet, &fleetLeg{order: order, no: r.legsOf[order.Request]}
	r.legsOf[order.Request]++
	if f.Intn(3) > 0 {
		r.write(l)
		return
	}
	r.waiting = append(r.waiting, l)
	up := f.now + 1.5*connectTimeout*f.Float64()
	r.at(math.Min(up, f.now+connectTimeout), func() {
		if up > f.now {
			r.end(l, relay.ConnectFailed)
			return
		}
		r.write(l)
	})
}

func (r *fleetRelay) end(l *fleetLeg, how relay.Outcome) {
	if l.ended {
		return
	}
	l.ended = true
	r.learn(relay.AttemptEnded{Request: l.order.Request, Attempt: l.no, Endpoint: l.order.Endpoint, Outcome: how, Duration: 0.1, RequestFinished: how == relay.Succeeded})
}

// leaving ends the legs that wait for a connection to a unit, as the pool does at the news.
func (r *fleetRelay) leaving(unit relay.EndpointID) {
	var left []*fleetLeg
	for _, l := range r.waiting {
		if l.order.Endpoint == unit && !l.sent {
			r.end(l, relay.NotSent)
		}
		if !l.ended && !l.sent {
			left = append(left, l)
		}
	}
	r.waiting = left
}

// write sends a leg to its unit, which the check sees.
func (r *fleetRelay) write(l *fleetLeg) {
	f, unit := r.fleet, int(l.order.Endpoint)-1
	if l.ended {
		return
	}
	if l.order.SendBy > 0 && f.now > l.order.SendBy {
		r.end(l, relay.NotSent)
		return
	}
	l.sent = true
	f.found.sent++
	if f.discovery.leftAt[unit] > 0 && f.now > f.discovery.toldBy(r.no, unit)+fleetGrace+graceSlack {
		if f.found.breaks++; f.found.breaks == 1 {
			f.found.broken = fmt.Sprintf("%.3f: relay %d, started at %.3f, sent a leg to unit %d, which counts as told as leaving at %.3f",
				f.now, r.no, r.startedAt, unit+1, f.discovery.toldBy(r.no, unit))
		}
	}
	r.at(f.now+0.02+0.2*f.Float64(), func() { r.end(l, relay.Succeeded) })
}
