package lab

import (
	"fmt"
	"math"

	"lichenroad/plan"
	"lichenroad/policy"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// settings are a fleet's, as its relays are told them.
func (w *simulation) relaySettings(no plan.ServiceIndex, relays int) relay.Settings {
	t := &w.plan.Services[no]
	s := relay.Settings{Relays: relays,
		Limits: relay.Limits{MaxAttempts: 3, CancelAttempts: true, PeerMessages: true, RetryAfter: true, MaxRetryAfter: 1, ConnectTimeout: 0.5},
		Rules: relay.Rules{DrainGrace: 0.25, SlowStartFloor: slowStartFloor, SlowStartTime: slowStartTime, OverloadMultiple: overloadMultiple, OverloadWindow: overloadWindow,
			AnswerSlack: 0.01, PollInterval: 30},
		Rollout: relay.Rollout{Control: relay.ControlQuorum, ExposureAllowance: 1, ExposureWindow: 2, IdempotentOnlyStages: 1,
			PromoteQuorum: quorum(t.Votes.Promote, relays), RollBackQuorum: quorum(t.Votes.RollBack, relays), HoldQuorum: 1, VoteTTL: t.Votes.TTL,
			CallTimeout: 1, VotesPerSec: t.Votes.PerSecond, MinStageTime: 4}}
	for _, c := range requestClasses {
		s.Classes = append(s.Classes, relay.ClassSettings{Idempotency: c.idempotency, DedupScope: relay.DedupZone, DedupWindow: c.dedupWindow,
			LatencyObjective: c.objective, Deadline: c.deadline, PriorityWeight: c.priorityWeight})
	}
	for range w.tenants() {
		s.Tenants = append(s.Tenants, relay.TenantSettings{TrafficShare: 1 / float64(len(w.tenants()))})
	}
	for _, st := range t.Steps {
		s.Rollout.ExposureLimits = append(s.Rollout.ExposureLimits, st.ExposureLimit)
		s.Rollout.StageShares = append(s.Rollout.StageShares, st.Share)
	}
	return s
}

func quorum(share float64, of int) int { return max(1, int(math.Ceil(share*float64(of)-1e-9))) }

// customers are all of the plan's, and one who is in no group.
func (w *simulation) tenants() (out []string) {
	for _, g := range w.plan.Groups {
		out = append(out, g.Tenants...)
	}
	return append(out, "nobody-in-a-group")
}

// start begins a relay's process: a fresh module, told of the list as it stands and of what its own desk says.
func (x *simulatedRelay) start() {
	w := x.fleet.simulation
	x.incarnation++
	x.alive, x.startedAt = true, w.now
	set := x.fleet.settings
	set.Self, set.Zone = x.id, relay.Zone(x.site)
	x.module = w.options.newModule(set, x.random.Int63())
	x.requests, x.leavingSince = map[relay.RequestID]*simulatedRequest{}, map[relay.EndpointID]float64{}
	x.guard, x.guardTimerAt = nil, 0
	if !w.options.Guard.All {
		var groups []plan.GroupIndex
		for _, c := range w.tenants() {
			groups = append(groups, w.plan.GroupOf(c))
		}
		x.guard = rollout.NewGuard(w.plan, x.fleet.service, x.site, groups)
		x.guard.DisableSafeguards(w.options.Guard)
	}
	w.checker.relayStarted(x)
	var list []relay.Endpoint
	for _, u := range x.fleet.endpoints {
		if u.listed && u.state != relay.Removed {
			list = append(list, u.listEntry())
		}
	}
	x.listUpdated(relay.ListUpdate{Kind: relay.ListCached, Endpoints: list})
	if n := w.controller.core.RolloutStatus(x.fleet.service, w.unixNow()); n.Valid { // its configuration holds it at each start
		x.statusReceived(x.fleet.service, n)
	}
	for s, yes := range x.watches {
		if yes {
			w.controller.sendStatus(x, plan.ServiceIndex(s), w.controller.core.RolloutStatus(plan.ServiceIndex(s), w.unixNow()))
		}
	}
	x.watchAlive()
}

// kill ends it; what it held is nobody's duty any more.
func (x *simulatedRelay) kill() {
	x.alive = false
	x.incarnation++
	for _, q := range x.requests {
		q.ended = true
	}
}

// clock is the relay's own idea of the time of day.
func (x *simulatedRelay) clock() plan.Unix { return x.fleet.simulation.unixNow() + x.clockOffset }

// time is the module's.
func (x *simulatedRelay) time() relay.Seconds { return x.fleet.simulation.now - x.startedAt }

// signs has the desks of other services show that they live, while anybody is awake to hear it.
func (x *simulatedRelay) watchAlive() {
	life := x.incarnation
	x.fleet.simulation.runAfter(aliveInterval, func() {
		if !x.alive || x.incarnation != life {
			return
		}
		if x.fleet.simulation.hasTraffic && !x.fleet.simulation.controller.silent && x.guard != nil {
			for s, yes := range x.watches {
				if yes {
					x.guard.DependencyAlive(x.clock(), plan.ServiceIndex(s))
				}
			}
			x.evaluateGuard()
		}
		if x.fleet.simulation.hasTraffic {
			x.watchAlive()
		} else {
			x.fleet.simulation.parkedRelays = append(x.fleet.simulation.parkedRelays, x)
		}
	})
}

// hear takes news of a service, its own or one that it needs.
func (x *simulatedRelay) statusReceived(s plan.ServiceIndex, n relay.RolloutStatus) {
	x.fleet.simulation.checker.statusReceived(x, s, n)
	switch {
	case x.guard == nil && s == x.fleet.service:
		x.step(n)
	case x.guard == nil:
	case s == x.fleet.service:
		x.guard.StatusReceived(x.clock(), n)
		x.evaluateGuard()
	default:
		x.guard.DependencyStatusReceived(x.clock(), s, n)
		x.evaluateGuard()
	}
}

// reply takes the answer to a vote.
func (x *simulatedRelay) voteReplied(n relay.RolloutStatus) {
	if x.guard == nil {
		x.step(n)
		return
	}
	if n.Valid {
		x.fleet.simulation.checker.statusReceived(x, x.fleet.service, n)
		x.guard.StatusReceived(x.clock(), n)
		x.evaluateGuard()
	}
	x.step(relay.RolloutStatus{Reply: n.Reply})
}

// look has the guard look: what it says goes to the module, a vote that must change goes to the desk.
func (x *simulatedRelay) evaluateGuard() {
	if x.guard == nil || !x.alive {
		return
	}
	x.guardEvents = x.guard.Evaluate(x.clock(), x.guardEvents[:0])
	if len(x.guardEvents) > 0 {
		x.step(append([]relay.Event(nil), x.guardEvents...)...)
	}
	if v, ok := x.guard.ReviseVote(x.clock()); ok {
		x.fleet.simulation.checker.checkVote(x, v)
		x.fleet.simulation.controller.receiveVote(x, v, false)
	}
	at, life := x.guard.NextEvaluation(x.clock())-x.clock()+x.fleet.simulation.now, x.incarnation
	if !x.fleet.simulation.hasTraffic {
		at = math.Max(at, x.fleet.simulation.now+30)
	}
	if !math.IsInf(at, 0) && (x.guardTimerAt <= x.fleet.simulation.now || at < x.guardTimerAt) {
		x.guardTimerAt = at
		x.fleet.simulation.runAt(at, func() {
			if x.incarnation == life && x.guardTimerAt == at {
				x.guardTimerAt = 0
				x.evaluateGuard()
			}
		})
	}
}

// list tells the relay of units.
func (x *simulatedRelay) listUpdated(r relay.ListUpdate) {
	for _, e := range r.Endpoints {
		if e.State != relay.Ready {
			if _, ok := x.leavingSince[e.ID]; !ok {
				x.leavingSince[e.ID] = x.fleet.simulation.now
			}
		} else {
			delete(x.leavingSince, e.ID)
		}
	}
	e := r
	e.Endpoints = append([]relay.Endpoint(nil), r.Endpoints...)
	for i := range e.Endpoints {
		e.Endpoints[i].StartedAt -= x.startedAt
	}
	x.step(e)
}

// step has the module see events, and carries out its orders.
func (x *simulatedRelay) step(events ...relay.Event) {
	w := x.fleet.simulation
	for _, o := range x.module.Step(x.time(), events) {
		switch o := o.(type) {
		case relay.SendAttempt:
			x.sendAttempt(o)
		case relay.CancelAttempt:
			if q := x.requests[o.Request]; q != nil && int(o.Attempt) < len(q.attempts) {
				l := q.attempts[o.Attempt]
				w.runAfter(0, func() { l.end(relay.Cancelled) })
			}
		case relay.Reject:
			x.endRequest(o.Request, RequestRejected)
		case relay.Fail:
			x.endRequest(o.Request, RequestFailed)
		case relay.SetTimer:
			life := x.incarnation
			w.runAt(x.startedAt+o.At, func() { x.timerFired(life, o.ID) })
		case relay.SendMessage:
			x.sendMessage(o)
		case relay.Vote:
			v := o
			if x.guard != nil {
				v = x.guard.FilterVote(x.clock(), o)
			}
			w.checker.checkVote(x, v)
			w.controller.receiveVote(x, v, true)
		case relay.Log:
			if w.options.KeepTimeline {
				w.record("relay %s: %s", x.name, o.Line)
			}
		}
	}
}

func (x *simulatedRelay) timerFired(life int, id relay.TimerID) {
	if !x.alive || x.incarnation != life {
		return
	}
	if !x.fleet.simulation.hasTraffic && x.fleet.simulation.now > x.fleet.simulation.idleFrom { // nobody asks anything: it sleeps until the next spell
		x.fleet.simulation.runAt(x.fleet.simulation.traffic.nextStart(), func() { x.timerFired(life, id) })
		return
	}
	x.step(relay.TimerFired{ID: id})
}

// tell sends a message, which may be late or lost.
func (x *simulatedRelay) sendMessage(o relay.SendMessage) {
	w := x.fleet.simulation
	body := append([]byte(nil), o.Body...)
	for _, to := range x.fleet.relays {
		if to == x || o.To != relay.Broadcast && to.id != o.To || x.random.Float64() < w.options.Faults.MessageLoss {
			continue
		}
		to, life := to, to.incarnation
		w.runAfter(uniform(x.random, 0.001, 0.039), func() {
			if to.alive && to.incarnation == life {
				to.step(relay.MessageReceived{From: x.id, Body: body})
			}
		})
	}
}

// ask brings a client's query, drawn as the site's shares have it.
func (x *simulatedRelay) arrive() {
	c, u := 0, x.random.Float64()
	for ; c < len(requestClasses)-1 && u > requestClasses[c].share; c++ {
		u -= requestClasses[c].share
	}
	k := &requestClasses[c]
	x.startRequest(c, x.random.Intn(len(x.fleet.simulation.tenants())), uniform(x.random, k.work[0], k.work[1]), 0)
}

// take takes a query of a category and a customer in; some of its first legs fail where a trace has it so.
func (x *simulatedRelay) startRequest(c, customer int, work float64, fails int) {
	w := x.fleet.simulation
	k := &requestClasses[c]
	x.lastID++
	q := &simulatedRequest{relay: x, arrivedAt: w.now, objectiveAt: w.now + k.objective, work: work, failuresLeft: fails,
		deadlineAt: w.now + k.deadline*uniform(x.random, 0.6, 1)}
	q.Request = relay.Request{ID: x.lastID, Deadline: q.deadlineAt - x.startedAt, Work: q.work * uniform(x.random, 0.8, 1.25), HasWork: true,
		Class: relay.RequestClass(c), Tenant: relay.Tenant(customer)}
	q.group = w.plan.GroupOf(w.tenants()[customer])
	x.requests[q.ID] = q
	w.counters.requests++
	w.counters.weightOffered += k.priorityWeight * q.work
	w.checker.requestArrived(q)
	if w.tally != nil {
		w.tally.RequestArrived(q.counted(), x.fleet.busyFraction())
	}
	life := x.incarnation
	w.runAt(q.deadlineAt, func() {
		if !q.ended && x.incarnation == life {
			w.checker.requestUnanswered(q)
			q.ended = true
			w.counters.disconnected++
			if w.tally != nil {
				w.tally.RequestEnded(q.counted(), w.now, RequestUnanswered)
			}
			x.step(relay.ClientDisconnected{Request: q.ID})
		}
	})
	x.step(q.Request)
}

// counted is a query as a tally counts it.
func (q *simulatedRequest) counted() CountedRequest {
	return CountedRequest{q.arrivedAt, int(q.Class), int(q.Tenant), q.work}
}

// busy is the part of the planners' cores that works.
func (f *fleet) busyFraction() float64 {
	busy, cores := 0, 0
	for _, u := range f.endpoints {
		busy, cores = busy+u.running, cores+CoresPerEndpoint
	}
	return float64(busy) / float64(max(cores, 1))
}

// send sends a leg.
func (x *simulatedRelay) sendAttempt(o relay.SendAttempt) {
	w := x.fleet.simulation
	q := x.requests[o.Request]
	if q == nil {
		return
	}
	l := &attempt{request: q, number: relay.AttemptNumber(len(q.attempts)), sentAt: w.now, delay: sameSiteDelay}
	q.attempts = append(q.attempts, l)
	for _, u := range x.fleet.endpoints {
		if u.id == o.Endpoint {
			l.endpoint = u
		}
	}
	if q.ended || l.endpoint == nil {
		how := relay.NotSent
		if l.endpoint == nil && !q.ended {
			how = relay.ConnectFailed
		}
		w.runAfter(0, func() { l.end(how) })
		return
	}
	if l.endpoint.site != x.site {
		l.delay = crossSiteDelay
		w.counters.crossSiteAttempts++
	}
	w.counters.attempts++
	w.checker.checkAttempt(l)
	w.runAfter(l.delay, func() { l.endpoint.receive(l) })
	until := q.deadlineAt
	if o.Timeout > 0 {
		until = math.Min(until, w.now+o.Timeout)
	}
	w.runAt(until-1e-4, func() { l.end(relay.TimedOut) })
}

// end is the one end of a leg.
func (l *attempt) end(how relay.Outcome) {
	if l.ended {
		return
	}
	l.ended = true
	x, w := l.request.relay, l.request.relay.fleet.simulation
	if l.endpoint != nil {
		if f := l.endpoint.fleet.builds[l.endpoint.build]; !f.isGood() && !how.NeverRan() && how != relay.Cancelled && (how != relay.Succeeded || w.now > l.request.objectiveAt) {
			w.counters.weightLostToBadBuilds += requestClasses[l.request.Class].priorityWeight * l.request.work
		}
	}
	if !x.alive || x.requests[l.request.ID] != l.request {
		return
	}
	if how == relay.Succeeded && !l.request.ended {
		x.requestEnded(l.request, RequestSucceeded)
	}
	x.step(relay.AttemptEnded{Request: l.request.ID, Attempt: l.number, Endpoint: l.endpointID(), Outcome: how, Duration: w.now - l.sentAt, RequestFinished: l.request.ended})
	x.forget(l.request)
}

func (l *attempt) endpointID() relay.EndpointID {
	if l.endpoint == nil {
		return 0
	}
	return l.endpoint.id
}

func (x *simulatedRelay) endRequest(id relay.RequestID, how RequestOutcome) {
	q := x.requests[id]
	if q == nil {
		return
	}
	x.requestEnded(q, how)
	x.forget(q)
}

func (x *simulatedRelay) requestEnded(q *simulatedRequest, how RequestOutcome) {
	w := x.fleet.simulation
	w.checker.checkOutcome(q, how)
	if q.ended {
		return
	}
	q.ended = true
	if w.tally != nil {
		w.tally.RequestEnded(q.counted(), w.now, how)
	}
	k := &requestClasses[q.Class]
	switch {
	case how == RequestSucceeded:
		w.counters.succeeded++
		if w.now <= q.objectiveAt {
			w.counters.weightServed += k.priorityWeight * q.work
		}
	case how == RequestRejected:
		w.counters.rejected++
	default:
		w.counters.failed++
	}
}

// forget drops the record of a query that is over and has no leg out.
func (x *simulatedRelay) forget(q *simulatedRequest) {
	if !q.ended {
		return
	}
	for _, l := range q.attempts {
		if !l.ended {
			return
		}
	}
	x.fleet.simulation.runAfter(1, func() { // orders about it may still come in the step that is under way
		if x.requests[q.ID] == q {
			delete(x.requests, q.ID)
		}
	})
}

func (o *Options) newModule(set relay.Settings, seed int64) module {
	if o.NewModule != nil {
		return o.NewModule(set, seed)
	}
	return policy.New(set, seed)
}

func relayName(i int) string { return fmt.Sprintf("n%d", i) }
