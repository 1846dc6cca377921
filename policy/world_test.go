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
	accepted       []worldMark // requests taken, attempts on trial, by class
	canaryAttempts []worldMark
	status         *relay.RolloutStatus
	limitSince     relay.Seconds // when the present cap began to bind
	previousLimit  float64       // the cap that it replaced
	keys           map[relay.Key]relay.Build
	outcomeOf      func(request *worldRequest, attempt *worldAttempt) relay.Outcome // how an attempt will end
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

// worldBatch is what a batch of events brings that binds from the next batch on.
type worldBatch struct {
	finished  []*worldRequest // reported to the module as finished
	succeeded map[relay.Key]relay.Build
}

// step delivers events at the present time, carries out the commands and checks the rules.
func (w *world) step(events ...relay.Event) {
	batch := worldBatch{succeeded: map[relay.Key]relay.Build{}}
	for _, event := range events {
		w.happened(event, &batch)
	}
	for _, command := range w.mod.Step(w.now, events) {
		w.carryOut(command)
	}
	for _, event := range events {
		w.checkUnsentCancelled(event)
	}
	for _, request := range batch.finished {
		request.finished = true
	}
	for key, build := range batch.succeeded {
		w.keys[key] = max(w.keys[key], build)
	}
	w.checkAnswers()
}

// happened takes an event into the world's own state.
func (w *world) happened(event relay.Event, batch *worldBatch) {
	switch event := event.(type) {
	case relay.Request:
		w.requests[event.ID] = &worldRequest{Request: event}
		w.accepted = append(w.accepted, worldMark{w.now, 0, event.Class})
	case relay.AttemptEnded:
		request := w.requests[event.Request]
		if event.RequestFinished {
			batch.finished = append(batch.finished, request)
		}
		if event.Outcome == relay.Succeeded && request.Key != 0 {
			build := request.attempts[event.Attempt].endpoint.Build
			batch.succeeded[request.Key] = max(batch.succeeded[request.Key], build)
		}
	case relay.ClientDisconnected:
		if request := w.requests[event.Request]; request != nil {
			batch.finished = append(batch.finished, request)
		}
	case relay.ListUpdate:
		w.listUpdated(event)
	case relay.RolloutStatus:
		w.statusReceived(event)
	}
}

// carryOut carries out a command, and checks that it is allowed.
func (w *world) carryOut(command relay.Command) {
	switch command := command.(type) {
	case relay.SendAttempt:
		w.sendAttempt(command)
	case relay.Reject:
		w.rejected++
		w.checkRejection(w.final(command.Request))
	case relay.Fail:
		w.final(command.Request)
	case relay.CancelUnsent:
		w.requests[command.Request].attempts[command.Attempt].cancelledUnsent = true
	case relay.SetTimer:
		w.timers = append(w.timers, command)
	case relay.CancelAttempt:
		if !w.set.Limits.CancelAttempts || int(command.Attempt) >= len(w.requests[command.Request].attempts) {
			w.t.Fatalf("%v: cancel not allowed", w.now)
		}
		w.requests[command.Request].attempts[command.Attempt].cancelled = true
	case relay.HealthCheck:
		if !w.set.Limits.HealthChecks {
			w.t.Fatalf("health check not allowed")
		}
	case relay.SendMessage:
		if !w.set.Limits.PeerMessages || len(command.Body) > 256 {
			w.t.Fatalf("message not allowed, or of %d bytes", len(command.Body))
		}
		w.reportTimes = append(w.reportTimes, w.now)
	case relay.Vote:
		w.votes = append(w.votes, command)
	}
}

func (w *world) final(id relay.RequestID) *worldRequest {
	request := w.requests[id]
	if request == nil || request.finished {
		w.t.Fatalf("%v: a final answer to request %d, which is over", w.now, id)
	}
	request.finished = true
	return request
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

// sendAttempt checks the rules for one attempt, and draws how it ends.
func (w *world) sendAttempt(command relay.SendAttempt) {
	request, endpoint := w.requests[command.Request], w.endpoints[command.Endpoint]
	if request == nil || endpoint == nil || request.finished {
		w.t.Fatalf("%v: an attempt of request %d, unknown or over, or to an unknown endpoint", w.now, command.Request)
	}
	if endpoint.State != relay.Ready && w.now > endpoint.notReadySince+w.set.Rules.DrainGrace {
		w.t.Fatalf("%v: an attempt to an endpoint reported as not ready at %v", w.now, endpoint.notReadySince)
	}
	for _, earlier := range request.attempts {
		w.checkRetry(request, earlier, endpoint, command.SendBy)
	}
	if len(request.attempts) >= w.set.Limits.MaxAttempts {
		w.t.Fatalf("%v: too many attempts", w.now)
	}
	w.checkExposure(request, endpoint.Endpoint)
	attempt := &worldAttempt{endpoint: endpoint.Endpoint, at: w.now}
	attempt.outcome = w.outcomeOf(request, attempt)
	request.attempts = append(request.attempts, attempt)
	if attempt.end == 0 {
		attempt.end = w.now + 0.1
	}
	if attempt.end >= request.Deadline {
		attempt.end, attempt.outcome = request.Deadline, relay.TimedOut
	}
	w.sent = append(w.sent, command)
}

// due collects what has come about by now: wake-ups and ends of attempts.
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
		request := w.requests[relay.RequestID(id)]
		over := request.finished
		for i, attempt := range request.attempts {
			if attempt.cancelled && !attempt.done && attempt.end > w.now {
				attempt.end, attempt.outcome = w.now, relay.Cancelled
			}
			if !attempt.done && attempt.end <= w.now {
				attempt.done = true
				over = over || attempt.outcome == relay.Succeeded
				events = append(events, relay.AttemptEnded{Request: request.ID, Attempt: relay.AttemptNumber(i), Endpoint: attempt.endpoint.ID, Outcome: attempt.outcome,
					Duration: attempt.end - attempt.at, RequestFinished: over})
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

// thin is a request each so many hundredths of a second.
func (w *world) thin(every int) func() []relay.Event {
	return func() []relay.Event {
		if int(w.now*100)%every == 0 {
			return w.load()
		}
		return nil
	}
}

// attemptsAt is how many of the attempts went to a build.
func (w *world) attemptsAt(build relay.Build, attempts []relay.SendAttempt) (n int) {
	for _, o := range attempts {
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

// plainSettings are those of a middling site with three classes, one of each kind.
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
	s.Self = relay.ID(rapid.IntRange(0, s.Relays-1).Draw(t, "self"))
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
