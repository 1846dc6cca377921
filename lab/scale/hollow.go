package scale

import (
	"fmt"
	"math"
	"math/rand"

	"lichenroad/internal/discovery"
	"lichenroad/internal/linewire"
	"lichenroad/membership"
	"lichenroad/policy"
	"lichenroad/relay"
)

const latestEnd = 1e-4 // s before a client gives up that its attempts end

// request is one request that a hollow relay has taken.
type request struct {
	query    relay.Request
	work     float64
	until    float64 // when its client gives up
	attempts []attempt
	over     bool
	open     int
}

// attempt is one try of a request at a unit.
type attempt struct {
	unit *unit
	at   float64
	how  relay.Outcome // that it will end with, unless something happens to the unit
	over bool
}

// hollow is one relay without its sockets: a host of the real state machines.
type hollow struct {
	*identity
	world   *world
	random  *rand.Rand
	started float64 // when this life began
	life    int

	policy   *policy.Policy
	member   *member // nil: it is switched off
	reader   *discovery.Reader
	known    *listAnswer // the list that its next start is given
	lines    linewire.Splitter
	load     load
	timers   timers
	requests map[relay.RequestID]*request
	listed   int64 // generation of the list; -1: none
	first    bool  // the next list is the first whole one of this life
	ordered  bool  // the next answer was ordered by the decision code
	stands   bool  // discovery answered the last call, and the next continues the watch
	calling  int64 // number of the call that discovery has not answered; 0: none
	calls    int64

	inbox   []datagram
	answers []answerIn
	news    []newsIn
	out     outbox

	meter   meter
	checker checker
	events  []relay.Event
	unknown int // entries of lists and attempts that name no unit of the service
}

// outbox is what a relay gave out in a tick, for the world to take in the order of relays.
type outbox struct {
	tells []tell
	calls []listCall
	votes []string
	cold  []coldAttempt
}

type tell struct {
	class class
	to    relay.ID
	body  []byte
}

type coldAttempt struct {
	unit     *unit
	at, work float64
}

func (o *outbox) empty() bool { return len(o.tells)+len(o.calls)+len(o.votes)+len(o.cold) == 0 }

func (o *outbox) clear() {
	clear(o.tells)
	o.tells, o.calls, o.votes, o.cold = o.tells[:0], o.calls[:0], o.votes[:0], o.cold[:0]
}

func newHollow(w *world, id *identity) *hollow {
	h := &hollow{identity: id, world: w, random: seeded(w.options.Seed, "hollow", id.index), listed: -1}
	h.checker.instance = fmt.Sprintf("service %d relay %d", id.service.index, id.number)
	return h
}

// start begins a process: fresh state machines, with the list as last held. It runs between ticks.
func (h *hollow) start(now float64) {
	h.life++
	h.started = now
	set := h.service.settings
	set.Self, set.Zone = h.number, relay.Zone(h.zone)
	h.policy = policy.New(set, h.random.Int63())
	h.reader = discovery.NewReader(h.world.zoneNames, kindNames(), func(unix float64) relay.Seconds {
		return unix - epoch - now
	})
	h.lines = linewire.Splitter{}
	h.load = load{random: h.random, rate: h.service.size.rate, tenants: h.service.size.tenants,
		routes: h.service.size.routes, lastID: h.load.lastID}
	h.timers = timers{}
	h.requests = map[relay.RequestID]*request{}
	h.checker.restarted()
	h.member = nil
	if !h.world.options.lacks(Leases) {
		h.member = newMember(h)
	}
	h.first, h.ordered, h.stands, h.listed = true, true, false, -1
	if h.known == nil {
		h.known = h.service.registry.answer(-1)
	}
	// The configuration holds the list and the news as of the start.
	h.calling = 0
	h.answers = append(h.answers[:0], answerIn{0, h.known})
	h.news = append(h.news[:0], newsIn{h.life, linewire.StatusNoticeLine(h.service.platform.state(now))})
	h.timers.set(timer{at: now + h.load.gap(), kind: arrivalTimer})
}

func kindNames() (out []string) {
	for _, k := range machineKinds {
		out = append(out, k.name)
	}
	return out
}

// stop ends the process with all that it holds.
func (h *hollow) stop() {
	for _, r := range h.requests {
		if !r.over {
			h.meter.requests.Left++
		}
	}
	h.policy, h.member, h.reader, h.requests, h.timers = nil, nil, nil, nil, timers{}
	h.known = h.service.registry.answer(-1)
	h.inbox, h.answers, h.news = nil, nil, nil
	h.out.clear()
}

// advance plays one tick. Relays are advanced beside each other: it reads the world and changes only this relay.
func (h *hollow) advance(from, to float64) {
	if !h.alive {
		return
	}
	h.meter.aliveSeconds += to - from
	for _, a := range h.answers {
		h.takeAnswer(from, a)
	}
	for _, n := range h.news {
		h.takeNews(from, n)
	}
	h.answers, h.news = h.answers[:0], h.news[:0]
	h.takeDatagrams(from)
	for {
		t, due := h.timers.due(to)
		if !due {
			break
		}
		h.timer(math.Max(t.at, from), t)
	}
}

func (h *hollow) timer(now float64, t timer) {
	switch t.kind {
	case arrivalTimer:
		h.timers.set(timer{at: now + h.load.gap(), kind: arrivalTimer})
		h.take(now)
	case attemptTimer:
		h.attemptEnds(now, t.request, int(t.attempt))
	case patienceTimer:
		h.clientLeaves(now, t.request)
	case membershipTimer:
		h.member.woken(now)
	case wakeTimer:
		h.step(now, relay.TimerFired{ID: t.wake})
	}
}

// takeDatagrams hands over what other relays sent, all of a tick at once as the real loop does with what waits.
func (h *hollow) takeDatagrams(now float64) {
	if len(h.inbox) == 0 {
		return
	}
	events := h.events[:0]
	for _, d := range h.inbox {
		h.meter.received(d.class, len(d.body)+datagramOverhead)
		if h.member != nil && membership.IsMessage(d.body) {
			h.member.step(now, membership.MessageReceived{From: d.from.number, Body: d.body})
			continue
		}
		events = append(events, relay.MessageReceived{From: d.from.number, Body: d.body})
	}
	clear(h.inbox)
	h.inbox, h.events = h.inbox[:0], events
	if len(events) > 0 {
		h.step(now, events...)
	}
}

// take brings a client's request.
func (h *hollow) take(now float64) {
	query, work := h.load.next(now - h.started)
	r := &request{query: query, work: work, until: query.Deadline + h.started}
	h.requests[query.ID] = r
	h.meter.requests.Taken++
	h.checker.takes(now)
	h.timers.set(timer{at: r.until, kind: patienceTimer, request: r})
	h.step(now, query)
}

// step has the decision code see events, and carries out its orders.
func (h *hollow) step(now float64, events ...relay.Event) {
	before := threadTime()
	orders := h.policy.Step(now-h.started, events)
	h.meter.processor += threadTime() - before
	for _, o := range orders {
		switch o := o.(type) {
		case relay.SendAttempt:
			h.send(now, o)
		case relay.CancelAttempt:
			h.cancel(now, o)
		case relay.Reject:
			h.final(o.Request, &h.meter.requests.Denied)
		case relay.Fail:
			h.final(o.Request, &h.meter.requests.WroteOff)
		case relay.SetTimer:
			h.timers.set(timer{at: h.started + o.At, kind: wakeTimer, wake: o.ID})
		case relay.SendMessage:
			h.tell(verdictClass, o.To, o.Body)
		case relay.Vote:
			line := linewire.VoteLine(o)
			h.meter.sent(newsClass, len(line))
			h.out.votes = append(h.out.votes, line)
		case relay.Watch:
			if h.ordered = true; h.calling == 0 || o.Restart {
				h.watch(now, h.listed)
			}
		}
	}
}

// tell sends a datagram. One to all relays leaves as one: the address of all is the platform's.
func (h *hollow) tell(c class, to relay.ID, body []byte) {
	h.meter.sent(c, len(body)+datagramOverhead)
	if to == relay.Broadcast {
		h.meter.classes[c].broadcasts++
	}
	h.meter.fused = h.meter.fused || isFinding(body)
	h.out.tells = append(h.out.tells, tell{c, to, append([]byte(nil), body...)})
}

// send makes an attempt.
func (h *hollow) send(now float64, o relay.SendAttempt) {
	r := h.requests[o.Request]
	if r == nil {
		return
	}
	u := h.service.byID[o.Endpoint]
	if u == nil {
		h.unknown++
		r.attempts = append(r.attempts, attempt{at: now, how: relay.ConnectFailed})
		r.open++
		h.timers.set(timer{at: now, kind: attemptTimer, request: r, attempt: int32(len(r.attempts) - 1)})
		return
	}
	h.checker.sends(now, r, u, h.world.unreachable(h.region, u.leaving, now))
	h.meter.requests.Attempts++
	if u.warmth(now) < 1 {
		h.out.cold = append(h.out.cold, coldAttempt{u, now, r.work * machineKinds[u.kind].pace})
	}
	how, took := u.answer(now, h.place, r.work, h.service.platform.defect(u.build), h.random)
	end := now + took
	latest := r.until - latestEnd
	if o.Timeout > 0 {
		latest = math.Min(latest, now+o.Timeout)
	}
	if !h.world.network.reaches(h.region, u.region) {
		how, end = relay.ConnectFailed, now+h.service.settings.Limits.ConnectTimeout
	}
	if end > latest {
		how, end = relay.TimedOut, math.Max(latest, now)
	}
	r.attempts = append(r.attempts, attempt{unit: u, at: now, how: how})
	r.open++
	h.timers.set(timer{at: end, kind: attemptTimer, request: r, attempt: int32(len(r.attempts) - 1)})
}

// attemptEnds is the one end of an attempt. One whose unit's process ended meanwhile is broken.
func (h *hollow) attemptEnds(now float64, r *request, no int) {
	a := &r.attempts[no]
	if a.over {
		return
	}
	if a.unit != nil && a.how != relay.ConnectFailed && a.how != relay.Cancelled && a.unit.ended > a.at && a.unit.ended <= now {
		a.how = relay.ConnectionBroken
	}
	a.over = true
	r.open--
	if a.how == relay.Succeeded && !r.over {
		r.over = true
		h.meter.requests.Honoured++
	}
	ended := relay.AttemptEnded{Request: r.query.ID, Attempt: relay.AttemptNumber(no), Outcome: a.how, Duration: now - a.at, RequestFinished: r.over}
	if a.unit != nil {
		ended.Endpoint = a.unit.id
	}
	h.step(now, ended)
	h.forget(r)
}

func (h *hollow) cancel(now float64, o relay.CancelAttempt) {
	r := h.requests[o.Request]
	if r == nil || int(o.Attempt) >= len(r.attempts) || r.attempts[o.Attempt].over {
		return
	}
	r.attempts[o.Attempt].how = relay.Cancelled
	h.timers.set(timer{at: now, kind: attemptTimer, request: r, attempt: int32(o.Attempt)})
}

// final takes the relay's own answer to a request.
func (h *hollow) final(id relay.RequestID, count *int64) {
	if r := h.requests[id]; r != nil && !r.over {
		r.over = true
		*count++
		h.forget(r)
	}
}

func (h *hollow) clientLeaves(now float64, r *request) {
	if r.over {
		return
	}
	r.over = true
	h.meter.requests.Left++
	h.step(now, relay.ClientDisconnected{Request: r.query.ID})
	h.forget(r)
}

func (h *hollow) forget(r *request) {
	if r.over && r.open == 0 {
		delete(h.requests, r.query.ID)
	}
}
