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
func (w *world) settings(no plan.ServiceIndex, relays int) relay.Settings {
	t := &w.plan.Services[no]
	s := relay.Settings{Relays: relays,
		Limits: relay.Limits{MaxAttempts: 3, CancelAttempts: true, PeerMessages: true, RetryAfter: true, MaxRetryAfter: 1, ConnectTimeout: 0.5},
		Rules: relay.Rules{DrainGrace: 0.25, SlowStartFloor: coldFrom, SlowStartTime: warmUp, OverloadMultiple: fallTimes, OverloadWindow: fallAfter,
			AnswerSlack: 0.01, PollInterval: 30},
		Rollout: relay.Rollout{Control: relay.ControlQuorum, ExposureAllowance: 1, ExposureWindow: 2, IdempotentOnlyStages: 1,
			PromoteQuorum: need(t.Votes.Promote, relays), RollBackQuorum: need(t.Votes.RollBack, relays), HoldQuorum: 1, VoteTTL: t.Votes.TTL,
			CallTimeout: 1, VotesPerSec: t.Votes.PerSecond, MinStageTime: 4}}
	for _, c := range categories {
		s.Classes = append(s.Classes, relay.ClassSettings{Idempotency: c.repeat, DedupScope: relay.DedupZone, DedupWindow: c.window,
			LatencyObjective: c.due, Deadline: c.patience, PriorityWeight: c.value})
	}
	for range w.customers() {
		s.Tenants = append(s.Tenants, relay.TenantSettings{TrafficShare: 1 / float64(len(w.customers()))})
	}
	for _, st := range t.Steps {
		s.Rollout.ExposureLimits = append(s.Rollout.ExposureLimits, st.ExposureLimit)
		s.Rollout.StageShares = append(s.Rollout.StageShares, st.Share)
	}
	return s
}

func need(share float64, of int) int { return max(1, int(math.Ceil(share*float64(of)-1e-9))) }

// customers are all of the plan's, and one who is in no group.
func (w *world) customers() (out []string) {
	for _, g := range w.plan.Groups {
		out = append(out, g.Tenants...)
	}
	return append(out, "nobody-in-a-group")
}

// start begins a relay's process: a fresh module, told of the list as it stands and of what its own desk says.
func (x *node) start() {
	w := x.f.w
	x.life++
	x.alive, x.born = true, w.now
	set := x.f.set
	set.Self, set.Zone = x.no, relay.Zone(x.site)
	x.mod = w.opt.module(set, x.rng.Int63())
	x.queries, x.unitTold = map[relay.RequestID]*query{}, map[relay.EndpointID]float64{}
	x.guard, x.guardAt = nil, 0
	if !w.opt.Guard.All {
		var groups []plan.GroupIndex
		for _, c := range w.customers() {
			groups = append(groups, w.plan.GroupOf(c))
		}
		x.guard = rollout.NewGuard(w.plan, x.f.no, x.site, groups)
		x.guard.DisableSafeguards(w.opt.Guard)
	}
	w.check.started(x)
	var list []relay.Endpoint
	for _, u := range x.f.units {
		if u.listed && u.state != relay.Removed {
			list = append(list, u.entry())
		}
	}
	x.list(relay.ListUpdate{Kind: relay.ListCached, Endpoints: list})
	if n := w.desk.core.RolloutStatus(x.f.no, w.unix()); n.Valid { // its configuration holds it at each start
		x.hear(x.f.no, n)
	}
	for s, yes := range x.hears {
		if yes {
			w.desk.tellOne(x, plan.ServiceIndex(s), w.desk.core.RolloutStatus(plan.ServiceIndex(s), w.unix()))
		}
	}
	x.signs()
}

// kill ends it; what it held is nobody's duty any more.
func (x *node) kill() {
	x.alive = false
	x.life++
	for _, q := range x.queries {
		q.over = true
	}
}

// clock is the relay's own idea of the time of day.
func (x *node) clock() plan.Unix { return x.f.w.unix() + x.offset }

// time is the module's.
func (x *node) time() relay.Seconds { return x.f.w.now - x.born }

// signs has the desks of other services show that they live, while anybody is awake to hear it.
func (x *node) signs() {
	life := x.life
	x.f.w.in(signEvery, func() {
		if !x.alive || x.life != life {
			return
		}
		if x.f.w.awake && !x.f.w.desk.silent && x.guard != nil {
			for s, yes := range x.hears {
				if yes {
					x.guard.DependencyAlive(x.clock(), plan.ServiceIndex(s))
				}
			}
			x.look()
		}
		if x.f.w.awake {
			x.signs()
		} else {
			x.f.w.parked = append(x.f.w.parked, x)
		}
	})
}

// hear takes news of a service, its own or one that it needs.
func (x *node) hear(s plan.ServiceIndex, n relay.RolloutStatus) {
	x.f.w.check.told(x, s, n)
	switch {
	case x.guard == nil && s == x.f.no:
		x.step(n)
	case x.guard == nil:
	case s == x.f.no:
		x.guard.StatusReceived(x.clock(), n)
		x.look()
	default:
		x.guard.DependencyStatusReceived(x.clock(), s, n)
		x.look()
	}
}

// reply takes the answer to a vote.
func (x *node) reply(n relay.RolloutStatus) {
	if x.guard == nil {
		x.step(n)
		return
	}
	if n.Valid {
		x.f.w.check.told(x, x.f.no, n)
		x.guard.StatusReceived(x.clock(), n)
		x.look()
	}
	x.step(relay.RolloutStatus{Reply: n.Reply})
}

// look has the guard look: what it says goes to the module, a vote that must change goes to the desk.
func (x *node) look() {
	if x.guard == nil || !x.alive {
		return
	}
	x.buffer = x.guard.Evaluate(x.clock(), x.buffer[:0])
	if len(x.buffer) > 0 {
		x.step(append([]relay.Event(nil), x.buffer...)...)
	}
	if v, ok := x.guard.ReviseVote(x.clock()); ok {
		x.f.w.check.cast(x, v)
		x.f.w.desk.vote(x, v, false)
	}
	at, life := x.guard.NextEvaluation(x.clock())-x.clock()+x.f.w.now, x.life
	if !x.f.w.awake {
		at = math.Max(at, x.f.w.now+30)
	}
	if !math.IsInf(at, 0) && (x.guardAt <= x.f.w.now || at < x.guardAt) {
		x.guardAt = at
		x.f.w.at(at, func() {
			if x.life == life && x.guardAt == at {
				x.guardAt = 0
				x.look()
			}
		})
	}
}

// list tells the relay of units.
func (x *node) list(r relay.ListUpdate) {
	for _, e := range r.Endpoints {
		if e.State != relay.Ready {
			if _, ok := x.unitTold[e.ID]; !ok {
				x.unitTold[e.ID] = x.f.w.now
			}
		} else {
			delete(x.unitTold, e.ID)
		}
	}
	e := r
	e.Endpoints = append([]relay.Endpoint(nil), r.Endpoints...)
	for i := range e.Endpoints {
		e.Endpoints[i].StartedAt -= x.born
	}
	x.step(e)
}

// step has the module see events, and carries out its orders.
func (x *node) step(events ...relay.Event) {
	w := x.f.w
	for _, o := range x.mod.Step(x.time(), events) {
		switch o := o.(type) {
		case relay.SendAttempt:
			x.send(o)
		case relay.CancelAttempt:
			if q := x.queries[o.Request]; q != nil && int(o.Attempt) < len(q.legs) {
				l := q.legs[o.Attempt]
				w.in(0, func() { l.end(relay.Cancelled) })
			}
		case relay.Reject:
			x.final(o.Request, EndedDenied)
		case relay.Fail:
			x.final(o.Request, EndedWrittenOff)
		case relay.SetTimer:
			life := x.life
			w.at(x.born+o.At, func() { x.wake(life, o.ID) })
		case relay.SendMessage:
			x.tell(o)
		case relay.Vote:
			v := o
			if x.guard != nil {
				v = x.guard.FilterVote(x.clock(), o)
			}
			w.check.cast(x, v)
			w.desk.vote(x, v, true)
		case relay.Log:
			if w.opt.Keep {
				w.mark("relay %s: %s", x.name, o.Line)
			}
		}
	}
}

func (x *node) wake(life int, id relay.TimerID) {
	if !x.alive || x.life != life {
		return
	}
	if !x.f.w.awake && x.f.w.now > x.f.w.sleepAt { // nobody asks anything: it sleeps until the next spell
		x.f.w.at(x.f.w.spell.next(), func() { x.wake(life, id) })
		return
	}
	x.step(relay.TimerFired{ID: id})
}

// tell sends a message, which may be late or lost.
func (x *node) tell(o relay.SendMessage) {
	w := x.f.w
	body := append([]byte(nil), o.Body...)
	for _, to := range x.f.nodes {
		if to == x || o.To != relay.Broadcast && to.no != o.To || x.rng.Float64() < w.opt.Faults.MemoLoss {
			continue
		}
		to, life := to, to.life
		w.in(between(x.rng, 0.001, 0.039), func() {
			if to.alive && to.life == life {
				to.step(relay.MessageReceived{From: x.no, Body: body})
			}
		})
	}
}

// ask brings a client's query, drawn as the site's shares have it.
func (x *node) ask() {
	c, u := 0, x.rng.Float64()
	for ; c < len(categories)-1 && u > categories[c].share; c++ {
		u -= categories[c].share
	}
	k := &categories[c]
	x.take(c, x.rng.Intn(len(x.f.w.customers())), between(x.rng, k.work[0], k.work[1]), 0)
}

// take takes a query of a category and a customer in; some of its first legs fail where a trace has it so.
func (x *node) take(c, customer int, work float64, fails int) {
	w := x.f.w
	k := &categories[c]
	x.lastID++
	q := &query{x: x, at: w.now, due: w.now + k.due, work: work, fails: fails,
		until: w.now + k.patience*between(x.rng, 0.6, 1)}
	q.Request = relay.Request{ID: x.lastID, Deadline: q.until - x.born, Work: q.work * between(x.rng, 0.8, 1.25), HasWork: true,
		Class: relay.RequestClass(c), Tenant: relay.Tenant(customer)}
	q.group = w.plan.GroupOf(w.customers()[customer])
	x.queries[q.ID] = q
	w.stats.queries++
	w.stats.worth += k.value * q.work
	w.check.taken(q)
	if w.tally != nil {
		w.tally.Asked(q.counted(), x.f.busy())
	}
	life := x.life
	w.at(q.until, func() {
		if !q.over && x.life == life {
			w.check.unanswered(q)
			q.over = true
			w.stats.left++
			if w.tally != nil {
				w.tally.Ended(q.counted(), w.now, EndedUnheard)
			}
			x.step(relay.ClientDisconnected{Request: q.ID})
		}
	})
	x.step(q.Request)
}

// counted is a query as a tally counts it.
func (q *query) counted() Asked { return Asked{q.at, int(q.Class), int(q.Tenant), q.work} }

// busy is the part of the planners' cores that works.
func (f *fleet) busy() float64 {
	busy, cores := 0, 0
	for _, u := range f.units {
		busy, cores = busy+u.running, cores+CoresEach
	}
	return float64(busy) / float64(max(cores, 1))
}

// send sends a leg.
func (x *node) send(o relay.SendAttempt) {
	w := x.f.w
	q := x.queries[o.Request]
	if q == nil {
		return
	}
	l := &leg{q: q, no: relay.AttemptNumber(len(q.legs)), at: w.now, way: nearTook}
	q.legs = append(q.legs, l)
	for _, u := range x.f.units {
		if u.id == o.Endpoint {
			l.u = u
		}
	}
	if q.over || l.u == nil {
		how := relay.NotSent
		if l.u == nil && !q.over {
			how = relay.ConnectFailed
		}
		w.in(0, func() { l.end(how) })
		return
	}
	if l.u.site != x.site {
		l.way = crossTook
		w.stats.crossed++
	}
	w.stats.legs++
	w.check.sent(l)
	w.in(l.way, func() { l.u.come(l) })
	until := q.until
	if o.Timeout > 0 {
		until = math.Min(until, w.now+o.Timeout)
	}
	w.at(until-1e-4, func() { l.end(relay.TimedOut) })
}

// end is the one end of a leg.
func (l *leg) end(how relay.Outcome) {
	if l.over {
		return
	}
	l.over = true
	x, w := l.q.x, l.q.x.f.w
	if l.u != nil {
		if f := l.u.f.builds[l.u.build]; !f.good() && !how.NeverRan() && how != relay.Cancelled && (how != relay.Succeeded || w.now > l.q.due) {
			w.stats.badWorth += categories[l.q.Class].value * l.q.work
		}
	}
	if !x.alive || x.queries[l.q.ID] != l.q {
		return
	}
	if how == relay.Succeeded && !l.q.over {
		x.answered(l.q, EndedHonoured)
	}
	x.step(relay.AttemptEnded{Request: l.q.ID, Attempt: l.no, Endpoint: l.unit(), Outcome: how, Duration: w.now - l.at, RequestFinished: l.q.over})
	x.forget(l.q)
}

func (l *leg) unit() relay.EndpointID {
	if l.u == nil {
		return 0
	}
	return l.u.id
}

func (x *node) final(id relay.RequestID, how Ended) {
	q := x.queries[id]
	if q == nil {
		return
	}
	x.answered(q, how)
	x.forget(q)
}

func (x *node) answered(q *query, how Ended) {
	w := x.f.w
	w.check.answered(q, how)
	if q.over {
		return
	}
	q.over = true
	if w.tally != nil {
		w.tally.Ended(q.counted(), w.now, how)
	}
	k := &categories[q.Class]
	switch {
	case how == EndedHonoured:
		w.stats.honoured++
		if w.now <= q.due {
			w.stats.served += k.value * q.work
		}
	case how == EndedDenied:
		w.stats.denied++
	default:
		w.stats.writtenOff++
	}
}

// forget drops the record of a query that is over and has no leg out.
func (x *node) forget(q *query) {
	if !q.over {
		return
	}
	for _, l := range q.legs {
		if !l.over {
			return
		}
	}
	x.f.w.in(1, func() { // orders about it may still come in the step that is under way
		if x.queries[q.ID] == q {
			delete(x.queries, q.ID)
		}
	})
}

func (o *Options) module(set relay.Settings, seed int64) module {
	if o.Module != nil {
		return o.Module(set, seed)
	}
	return policy.New(set, seed)
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }
