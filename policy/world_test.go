package policy

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/relay"
)

// The same verdict each time: random runs start from a fixed seed and leave nothing behind.
func TestMain(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "150"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world plays the other side of one relay and checks every order against the rules' text. It knows
// nothing of the module's guards.
type world struct {
	t              interface{ Fatalf(string, ...any) }
	set            relay.Settings
	mod            *Policy
	now            relay.Seconds
	next           relay.RequestID
	requests       map[relay.RequestID]*worldRequest
	endpoints      map[relay.EndpointID]*worldEndpoint
	timers         []relay.SetTimer
	accepted       []worldMark // queries taken, legs on trial, by category
	canaryAttempts []worldMark
	status         *relay.RolloutStatus
	limitSince     relay.Seconds // when the present cap began to bind
	previousLimit  float64       // the cap that it replaced
	keys           map[relay.Key]relay.Build
	outcomeOf      func(q *worldRequest, l *worldAttempt) relay.Outcome // how a leg will end
	sent           []relay.SendAttempt
	votes          []relay.Vote
	rejected       int
	reportTimes    []relay.Seconds // when it sent reports
}

type worldMark struct {
	at    relay.Seconds
	build relay.Build
	class relay.RequestClass
}

type worldEndpoint struct {
	relay.Endpoint
	notReadySince relay.Seconds // when it was told as not ready
}

type worldAttempt struct {
	endpoint        relay.Endpoint
	at, end         relay.Seconds
	outcome         relay.Outcome
	done            bool
	cancelled       bool
	cancelledUnsent bool
}

type worldRequest struct {
	relay.Request
	attempts []*worldAttempt
	finished bool // ended by the module, or told as over
}

func newWorld(t interface{ Fatalf(string, ...any) }, set relay.Settings) *world {
	w := &world{t: t, set: set, mod: New(set, 1), requests: map[relay.RequestID]*worldRequest{},
		endpoints: map[relay.EndpointID]*worldEndpoint{}, keys: map[relay.Key]relay.Build{}}
	w.outcomeOf = func(*worldRequest, *worldAttempt) relay.Outcome { return relay.Succeeded }
	return w
}

// step delivers events at the present time and carries out the orders.
func (w *world) step(events ...relay.Event) {
	honoured := map[relay.Key]relay.Build{}
	var told []*worldRequest // as over, in this batch: it binds from the next
	for _, e := range events {
		switch e := e.(type) {
		case relay.Request:
			w.requests[e.ID] = &worldRequest{Request: e}
			w.accepted = append(w.accepted, worldMark{w.now, 0, e.Class})
		case relay.AttemptEnded:
			q := w.requests[e.Request]
			if e.RequestFinished {
				told = append(told, q)
			}
			if e.Outcome == relay.Succeeded && q.Key != 0 {
				honoured[q.Key] = max(honoured[q.Key], q.attempts[e.Attempt].endpoint.Build)
			}
		case relay.ClientDisconnected:
			if q := w.requests[e.Request]; q != nil {
				told = append(told, q)
			}
		case relay.ListUpdate:
			w.listUpdated(e)
		case relay.RolloutStatus:
			w.statusReceived(e)
		}
	}
	for _, o := range w.mod.Step(w.now, events) {
		switch o := o.(type) {
		case relay.SendAttempt:
			w.sendAttempt(o)
		case relay.Reject:
			q := w.final(o.Request)
			w.rejected++
			for _, l := range q.attempts {
				c := w.set.Classes[q.Class]
				if maybe := !l.done || !l.outcome.NeverRan(); maybe && (c.Idempotency == relay.AtMostOnce ||
					c.Idempotency == relay.IdempotencyKeyed && c.DedupScope != relay.DedupAll) {
					w.t.Fatalf("%v: denied query %d, which may have run", w.now, q.ID)
				}
			}
		case relay.Fail:
			w.final(o.Request)
		case relay.CancelUnsent:
			w.requests[o.Request].attempts[o.Attempt].cancelledUnsent = true
		case relay.SetTimer:
			w.timers = append(w.timers, o)
		case relay.CancelAttempt:
			if !w.set.Limits.CancelAttempts || int(o.Attempt) >= len(w.requests[o.Request].attempts) {
				w.t.Fatalf("%v: cancel not allowed", w.now)
			}
			w.requests[o.Request].attempts[o.Attempt].cancelled = true
		case relay.HealthCheck:
			if !w.set.Limits.HealthChecks {
				w.t.Fatalf("probe not allowed")
			}
		case relay.SendMessage:
			if !w.set.Limits.PeerMessages || len(o.Body) > 256 {
				w.t.Fatalf("message not allowed, or of %d bytes", len(o.Body))
			}
			w.reportTimes = append(w.reportTimes, w.now)
		case relay.Vote:
			w.votes = append(w.votes, o)
		}
	}
	for _, e := range events { // the newest build's cap fell: legs that have not gone yet are under it too
		n, ok := e.(relay.RolloutStatus)
		for _, q := range w.requests {
			for _, l := range q.attempts {
				if ok && n.Valid && n.ExposureLimit == 0 && n.Build == w.status.Build && l.endpoint.Build == n.Build && l.at < w.now &&
					w.limitSince == w.now && !l.done && !l.cancelledUnsent {
					w.t.Fatalf("%v: a leg to build %d may still go after its cap fell", w.now, n.Build)
				}
			}
		}
	}
	for _, q := range told {
		q.finished = true
	}
	for k, b := range honoured {
		w.keys[k] = max(w.keys[k], b)
	}
	for id := relay.RequestID(0); id < w.next; id++ {
		if q := w.requests[id]; q != nil && !q.finished && w.now > q.Deadline+w.set.Rules.AnswerSlack {
			w.t.Fatalf("%v: query %d has no final answer, patience ended at %v", w.now, id, q.Deadline)
		}
	}
}

func (w *world) final(id relay.RequestID) *worldRequest {
	q := w.requests[id]
	if q == nil || q.finished {
		w.t.Fatalf("%v: a final answer to query %d, which is over", w.now, id)
	}
	q.finished = true
	return q
}

func (w *world) listUpdated(r relay.ListUpdate) {
	listed := map[relay.EndpointID]bool{}
	for _, e := range r.Endpoints {
		listed[e.ID] = true
		if u := w.endpoints[e.ID]; u == nil {
			w.endpoints[e.ID] = &worldEndpoint{e, w.now}
		} else {
			if e.State != relay.Ready && u.State == relay.Ready {
				u.notReadySince = w.now
			}
			u.Endpoint = e
		}
	}
	for id, u := range w.endpoints {
		if (r.Kind == relay.ListCached || r.Kind == relay.ListFull) && !listed[id] {
			if u.State == relay.Ready {
				u.notReadySince = w.now
			}
			u.State = relay.Removed
		}
	}
}

func (w *world) statusReceived(n relay.RolloutStatus) {
	if !n.Valid {
		return
	}
	if w.status == nil || n.Build != w.status.Build {
		w.limitSince, w.previousLimit = -100, 0
	} else if n.ExposureLimit < w.status.ExposureLimit {
		w.limitSince, w.previousLimit = w.now, max(w.status.ExposureLimit, w.previousLimit)
	}
	for k, b := range w.keys {
		if b == n.Build && (n.Phase == relay.PhaseRollingBack || n.Phase == relay.PhaseWithdrawn) {
			delete(w.keys, k)
		}
	}
	w.status = &n
}

// leg checks rules 1, 2, 3 and 5 for one leg, and draws how it ends.
func (w *world) sendAttempt(o relay.SendAttempt) {
	q, u := w.requests[o.Request], w.endpoints[o.Endpoint]
	if q == nil || u == nil || q.finished {
		w.t.Fatalf("%v: a leg of query %d, unknown or over, or to an unknown unit", w.now, o.Request)
	}
	if u.State != relay.Ready && w.now > u.notReadySince+w.set.Rules.DrainGrace {
		w.t.Fatalf("%v: a leg to a unit told as not ready at %v", w.now, u.notReadySince)
	}
	c := w.set.Classes[q.Class]
	for _, l := range q.attempts {
		if !l.done && !w.set.Limits.HedgedRequests {
			w.t.Fatalf("%v: two legs of query %d at once", w.now, q.ID)
		}
		if l.done && l.outcome.NeverRan() || c.Idempotency == relay.Idempotent {
			continue
		}
		same := c.DedupScope == relay.DedupAll || c.DedupScope == relay.DedupZone && l.endpoint.Zone == u.Zone ||
			c.DedupScope == relay.DedupFailureDomain && l.endpoint.FailureDomain == u.FailureDomain
		if c.Idempotency == relay.AtMostOnce || !same || w.now > l.at+c.DedupWindow {
			w.t.Fatalf("%v: query %d may run twice", w.now, q.ID)
		}
		if o.SendBy <= 0 || o.SendBy > l.at+c.DedupWindow { // it may wait for a connection until then, and be written later
			w.t.Fatalf("%v: query %d may be written until %v, its window ends at %v", w.now, q.ID, o.SendBy, l.at+c.DedupWindow)
		}
	}
	if len(q.attempts) >= w.set.Limits.MaxAttempts {
		w.t.Fatalf("%v: too many legs", w.now)
	}
	w.exposure(q, u.Endpoint)
	l := &worldAttempt{endpoint: u.Endpoint, at: w.now}
	l.outcome = w.outcomeOf(q, l)
	q.attempts = append(q.attempts, l)
	if l.end == 0 {
		l.end = w.now + 0.1
	}
	if l.end >= q.Deadline {
		l.end, l.outcome = q.Deadline, relay.TimedOut
	}
	w.sent = append(w.sent, o)
}

func (w *world) exposure(q *worldRequest, u relay.Endpoint) {
	ro := w.set.Rollout
	if n := w.status; n != nil && ro.StickyKeys && q.Key != 0 && w.keys[q.Key] == n.Build && u.Build < n.Build &&
		(n.Phase == relay.PhaseCanary || n.Phase == relay.PhaseReleased) {
		w.t.Fatalf("%v: key %d went back to build %d", w.now, q.Key, u.Build)
	}
	cap, stage, since := 0.0, relay.Stage(0), -1.0
	switch {
	case w.status == nil || u.Build < w.status.Build || u.Build == w.status.Build && w.status.Phase == relay.PhaseReleased:
		return
	case u.Build > w.status.Build:
		cap = ro.ExposureLimits[0]
	default:
		cap, stage = w.status.ExposureLimit, w.status.Stage
		if w.now <= w.limitSince+w.set.Rules.DrainGrace {
			cap = w.previousLimit
		} else if w.limitSince >= 0 {
			since = w.limitSince + w.set.Rules.DrainGrace
		}
	}
	if int(stage) < ro.IdempotentOnlyStages && w.set.Classes[q.Class].Idempotency != relay.Idempotent {
		w.t.Fatalf("%v: an effect at a guarded stage", w.now)
	}
	w.canaryAttempts = append(w.canaryAttempts, worldMark{w.now, u.Build, q.Class})
	legs, taken := 0.0, 0.0
	for _, m := range w.canaryAttempts {
		if m.at > max(w.now-ro.ExposureWindow, since) && m.build == u.Build && (!ro.PerClass || m.class == q.Class) {
			legs++
		}
	}
	for _, m := range w.accepted {
		if m.at > w.now-ro.ExposureWindow && (!ro.PerClass || m.class == q.Class) {
			taken++
		}
	}
	if legs > ro.ExposureAllowance+cap*taken+1e-6 || cap == 0 {
		w.t.Fatalf("%v: %v legs at build %d on trial, cap %v of %v", w.now, legs, u.Build, cap, taken)
	}
}

// due collects what has come about by now: wake-ups and ends of legs.
func (w *world) due() (events []relay.Event) {
	left := w.timers[:0]
	for _, k := range w.timers {
		if k.At <= w.now {
			events = append(events, relay.TimerFired{ID: k.ID})
		} else {
			left = append(left, k)
		}
	}
	w.timers = left
	ids := make([]int, 0, len(w.requests))
	for id := range w.requests {
		ids = append(ids, int(id))
	}
	sort.Ints(ids)
	for _, id := range ids {
		q := w.requests[relay.RequestID(id)]
		over := q.finished
		for i, l := range q.attempts {
			if l.cancelled && !l.done && l.end > w.now {
				l.end, l.outcome = w.now, relay.Cancelled
			}
			if !l.done && l.end <= w.now {
				l.done = true
				over = over || l.outcome == relay.Succeeded
				events = append(events, relay.AttemptEnded{Request: q.ID, Attempt: relay.AttemptNumber(i), Endpoint: l.endpoint.ID, Outcome: l.outcome,
					Duration: l.end - l.at, RequestFinished: over})
			}
		}
	}
	return events
}

// run lets time pass in ticks of 10 ms; each is called before its tick for more events.
func (w *world) run(span relay.Seconds, each func() []relay.Event) {
	for end := w.now + span; w.now < end; {
		w.now += 0.01
		events := w.due()
		if each != nil {
			events = append(events, each()...)
		}
		w.step(events...)
	}
}

// thin is a query each so many hundredths of a second.
func (w *world) thin(every int) func() []relay.Event {
	return func() []relay.Event {
		if int(w.now*100)%every == 0 {
			return w.load()
		}
		return nil
	}
}

// attemptsAt is how many of the legs went to a build.
func (w *world) attemptsAt(build relay.Build, legs []relay.SendAttempt) (n int) {
	for _, o := range legs {
		if w.endpoints[o.Endpoint].Build == build {
			n++
		}
	}
	return n
}

func (w *world) newRequest(c relay.RequestClass, key relay.Key) relay.Request {
	w.next++
	return relay.Request{ID: w.next - 1, Class: c, Key: key, Deadline: w.now + w.set.Classes[c].Deadline,
		Work: 0.1, HasWork: true}
}

func entries(n int, build relay.Build, from int) (es []relay.Endpoint) {
	for i := 0; i < n; i++ {
		es = append(es, relay.Endpoint{ID: relay.EndpointID(from + i), Zone: relay.Zone(i % 2), FailureDomain: relay.FailureDomain(i % 3),
			Build: build, State: relay.Ready})
	}
	return es
}

// plainSettings are those of a middling site with three categories, one of each kind.
func plainSettings() relay.Settings {
	return relay.Settings{Relays: 1, ListOnRequest: true,
		Classes: []relay.ClassSettings{
			{Idempotency: relay.Idempotent, LatencyObjective: 1, Deadline: 3, PriorityWeight: 2},
			{Idempotency: relay.IdempotencyKeyed, DedupScope: relay.DedupZone, DedupWindow: 2, LatencyObjective: 1, Deadline: 4, PriorityWeight: 3},
			{Idempotency: relay.AtMostOnce, LatencyObjective: 1, Deadline: 4, PriorityWeight: 3}},
		Limits: relay.Limits{MaxAttempts: 3, CancelAttempts: true, HedgedRequests: true, RetryAfter: true, MaxRetryAfter: 1,
			PeerMessages: true},
		Rules: relay.Rules{AnswerSlack: 0.02, DrainGrace: 0.25, PollInterval: 10, SlowStartFloor: 0.4, SlowStartTime: 4, OverloadMultiple: 2.5, OverloadWindow: 2},
		Rollout: relay.Rollout{ExposureLimits: []float64{0.1, 0.4, 1, 1}, StageShares: []float64{0.05, 0.2, 0.5, 1},
			ExposureAllowance: 1, ExposureWindow: 2, PromoteQuorum: 1, RollBackQuorum: 1, VoteTTL: 10, CallTimeout: 1, VotesPerSec: 50,
			MinStageTime: 2}}
}

// drawSettings varies all that the rules depend on.
func drawSettings(t *rapid.T) relay.Settings {
	s := plainSettings()
	pick := func(name string) bool { return rapid.Bool().Draw(t, name) }
	s.Relays = rapid.IntRange(1, 6).Draw(t, "relays")
	s.Self = relay.RelayID(rapid.IntRange(0, s.Relays-1).Draw(t, "self"))
	s.ListOnRequest = pick("ask")
	for i := range s.Classes {
		s.Classes[i].DedupScope = relay.DedupScope(rapid.IntRange(0, 2).Draw(t, fmt.Sprint("group", i)))
		s.Classes[i].Idempotency = relay.Idempotency(rapid.IntRange(0, 2).Draw(t, fmt.Sprint("repeat", i)))
	}
	s.Limits = relay.Limits{MaxAttempts: rapid.IntRange(1, 6).Draw(t, "legs"), CancelAttempts: pick("cancel"),
		PeerMessages: pick("messages"), HealthChecks: pick("probes"), HedgedRequests: pick("copies"), RetryAfter: pick("after")}
	s.Rules.DrainGrace = rapid.SampledFrom([]float64{0, 0.25, 2}).Draw(t, "grace")
	r := &s.Rollout
	r.Control = relay.RolloutControl(rapid.IntRange(0, 2).Draw(t, "control"))
	r.InPlace, r.PerClass, r.StickyKeys = pick("inplace"), pick("percategory"), pick("forward")
	r.IdempotentOnlyStages = rapid.IntRange(0, 2).Draw(t, "guarded")
	r.ExposureAllowance = float64(rapid.IntRange(0, 3).Draw(t, "uncounted"))
	r.ExposureWindow = rapid.SampledFrom([]float64{0.5, 2, 4}).Draw(t, "window")
	if pick("bare") { // an all but empty start
		r.ExposureLimits, r.StageShares, r.VotesPerSec, r.VoteTTL = []float64{0}, nil, 0, 0
		s.Rules.SlowStartTime, s.Rules.OverloadWindow = 0, 0
	}
	return s
}
