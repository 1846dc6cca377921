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

// TestMain makes the property tests reproducible: rapid starts from a fixed seed and writes no files.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world simulates everything outside the decision module of one relay: its host, clients, endpoints and
// platform. It checks every command of the module independently of the module's own checks: each request gets
// exactly one final answer, in time; no request has a second effect; nothing is sent to a draining or removed
// endpoint after the drain grace; and attempts at a build on trial stay within the exposure limit.
type world struct {
	t              interface{ Fatalf(string, ...any) }
	settings       relay.Settings
	policy         *Policy
	now            relay.Seconds
	nextID         relay.RequestID
	requests       map[relay.RequestID]*worldRequest
	endpoints      map[relay.EndpointID]*worldEndpoint
	timers         []relay.SetTimer
	received       []exposureRecord // received requests
	canaryAttempts []exposureRecord // attempts at builds on trial
	status         *relay.RolloutStatus
	limitLoweredAt relay.Seconds             // when the present exposure limit replaced a higher one; -100: it did not
	previousLimit  float64                   // highest exposure limit of the newest build before that
	keyBuilds      map[relay.Key]relay.Build // newest build that has answered a request with the key
	// returns the outcome of an attempt that is being sent; may also set its end
	outcomeOf   func(request *worldRequest, attempt *worldAttempt) relay.Outcome
	sent        []relay.SendAttempt
	votes       []relay.Vote
	rejected    int
	reportTimes []relay.Seconds // when the module sent messages
}

// exposureRecord is a request or an attempt that counts for an exposure limit.
type exposureRecord struct {
	at    relay.Seconds
	build relay.Build
	class relay.RequestClass
}

// worldEndpoint is an endpoint as discovery last reported it.
type worldEndpoint struct {
	relay.Endpoint
	notReadySince relay.Seconds // when it was first reported as draining or removed
}

// worldAttempt is an attempt that the module has sent. Its end and outcome are drawn when it is sent; a
// cancellation may change them.
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
	finished bool // has its final answer from the module, or was reported to the module as finished
}

func newWorld(t interface{ Fatalf(string, ...any) }, settings relay.Settings) *world {
	w := &world{t: t, settings: settings, policy: New(settings, 1), requests: map[relay.RequestID]*worldRequest{},
		endpoints: map[relay.EndpointID]*worldEndpoint{}, keyBuilds: map[relay.Key]relay.Build{}}
	w.outcomeOf = func(*worldRequest, *worldAttempt) relay.Outcome { return relay.Succeeded }
	return w
}

// worldBatch holds the effects of a batch of events that the checks consider only from the next batch on.
type worldBatch struct {
	finished  []*worldRequest // reported to the module as finished
	succeeded map[relay.Key]relay.Build
}

// step delivers events at the present time, executes the commands and checks the answers.
func (w *world) step(events ...relay.Event) {
	batch := worldBatch{succeeded: map[relay.Key]relay.Build{}}
	for _, event := range events {
		w.recordEvent(event, &batch)
	}
	for _, command := range w.policy.Step(w.now, events) {
		w.execute(command)
	}
	for _, event := range events {
		w.checkUnsentCancelled(event)
	}
	for _, request := range batch.finished {
		request.finished = true
	}
	for key, build := range batch.succeeded {
		w.keyBuilds[key] = max(w.keyBuilds[key], build)
	}
	w.checkStickyRevoked()
	w.checkAnswers()
}

// recordEvent applies an event to the simulated state.
func (w *world) recordEvent(event relay.Event, batch *worldBatch) {
	switch event := event.(type) {
	case relay.Request:
		w.requests[event.ID] = &worldRequest{Request: event}
		w.received = append(w.received, exposureRecord{w.now, 0, event.Class})
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

// execute applies a command to the simulated state, and checks that it is permitted.
func (w *world) execute(command relay.Command) {
	switch command := command.(type) {
	case relay.SendAttempt:
		w.sendAttempt(command)
	case relay.Reject:
		w.rejected++
		w.checkRejection(w.finishRequest(command.Request))
	case relay.Fail:
		w.finishRequest(command.Request)
	case relay.CancelUnsent:
		w.requests[command.Request].attempts[command.Attempt].cancelledUnsent = true
	case relay.SetTimer:
		w.timers = append(w.timers, command)
	case relay.CancelAttempt:
		if !w.settings.Limits.CancelAttempts || int(command.Attempt) >= len(w.requests[command.Request].attempts) {
			w.t.Fatalf("%v: cancelled an unknown attempt, or the settings do not permit cancelling", w.now)
		}
		w.requests[command.Request].attempts[command.Attempt].cancelled = true
	case relay.HealthCheck:
		if !w.settings.Limits.HealthChecks {
			w.t.Fatalf("the settings do not permit health checks")
		}
	case relay.SendMessage:
		if !w.settings.Limits.PeerMessages || len(command.Body) > 256 {
			w.t.Fatalf("message not permitted, or too long: %d bytes", len(command.Body))
		}
		w.reportTimes = append(w.reportTimes, w.now)
	case relay.Vote:
		w.votes = append(w.votes, command)
	}
}

// finishRequest records the final answer of a request, and checks that it is the only one.
func (w *world) finishRequest(id relay.RequestID) *worldRequest {
	request := w.requests[id]
	if request == nil || request.finished {
		w.t.Fatalf("%v: final answer to request %d, which is unknown or finished", w.now, id)
	}
	request.finished = true
	return request
}

func (w *world) listUpdated(update relay.ListUpdate) {
	listed := map[relay.EndpointID]bool{}
	for _, entry := range update.Endpoints {
		listed[entry.ID] = true
		if known := w.endpoints[entry.ID]; known == nil {
			w.endpoints[entry.ID] = &worldEndpoint{entry, w.now}
		} else {
			if entry.State != relay.Ready && known.State == relay.Ready {
				known.notReadySince = w.now
			}
			known.Endpoint = entry
		}
	}
	for id, known := range w.endpoints {
		if (update.Kind == relay.ListCached || update.Kind == relay.ListFull) && !listed[id] {
			if known.State == relay.Ready {
				known.notReadySince = w.now
			}
			known.State = relay.Removed
		}
	}
}

func (w *world) statusReceived(status relay.RolloutStatus) {
	if !status.Valid {
		return
	}
	if w.status == nil || status.Build != w.status.Build {
		w.limitLoweredAt, w.previousLimit = -100, 0
	} else if status.ExposureLimit < w.status.ExposureLimit {
		w.limitLoweredAt, w.previousLimit = w.now, max(w.status.ExposureLimit, w.previousLimit)
	}
	for key, build := range w.keyBuilds {
		if build == status.Build && (status.Phase == relay.PhaseRollingBack || status.Phase == relay.PhaseWithdrawn) {
			delete(w.keyBuilds, key)
		}
	}
	w.status = &status
}

// sendAttempt checks whether an attempt is permitted, and draws how it ends.
func (w *world) sendAttempt(command relay.SendAttempt) {
	request, endpoint := w.requests[command.Request], w.endpoints[command.Endpoint]
	if request == nil || endpoint == nil || request.finished {
		w.t.Fatalf("%v: attempt of request %d: the request is unknown or finished, or the endpoint is unknown", w.now, command.Request)
	}
	if endpoint.State != relay.Ready && w.now > endpoint.notReadySince+w.settings.Rules.DrainGrace {
		w.t.Fatalf("%v: attempt at an endpoint reported as not ready at %v", w.now, endpoint.notReadySince)
	}
	for _, earlier := range request.attempts {
		w.checkRetry(request, earlier, endpoint, command.SendBy)
	}
	if len(request.attempts) >= w.settings.Limits.MaxAttempts {
		w.t.Fatalf("%v: more attempts of a request than the settings permit", w.now)
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

// dueEvents returns the events that are due by now: timers and ends of attempts.
func (w *world) dueEvents() (events []relay.Event) {
	remaining := w.timers[:0]
	for _, timer := range w.timers {
		if timer.At <= w.now {
			events = append(events, relay.TimerFired{ID: timer.ID})
		} else {
			remaining = append(remaining, timer)
		}
	}
	w.timers = remaining
	ids := make([]int, 0, len(w.requests))
	for id := range w.requests {
		ids = append(ids, int(id))
	}
	sort.Ints(ids)
	for _, id := range ids {
		request := w.requests[relay.RequestID(id)]
		requestFinished := request.finished
		for i, attempt := range request.attempts {
			if attempt.cancelled && !attempt.done && attempt.end > w.now {
				attempt.end, attempt.outcome = w.now, relay.Cancelled
			}
			if !attempt.done && attempt.end <= w.now {
				attempt.done = true
				requestFinished = requestFinished || attempt.outcome == relay.Succeeded
				events = append(events, relay.AttemptEnded{Request: request.ID, Attempt: relay.AttemptNumber(i), Endpoint: attempt.endpoint.ID, Outcome: attempt.outcome,
					Duration: attempt.end - attempt.at, RequestFinished: requestFinished})
			}
		}
	}
	return events
}

// run simulates a span of time in ticks of 10 ms. extraEvents, if not nil, returns further events for each
// tick.
func (w *world) run(span relay.Seconds, extraEvents func() []relay.Event) {
	for end := w.now + span; w.now < end; {
		w.now += 0.01
		events := w.dueEvents()
		if extraEvents != nil {
			events = append(events, extraEvents()...)
		}
		w.step(events...)
	}
}

// requestEvery returns a function for run that sends one request every so many ticks.
func (w *world) requestEvery(ticks int) func() []relay.Event {
	return func() []relay.Event {
		if int(w.now*100)%ticks == 0 {
			return w.requestEachTick()
		}
		return nil
	}
}

// attemptsAt counts the attempts that were sent to endpoints of a build.
func (w *world) attemptsAt(build relay.Build, attempts []relay.SendAttempt) (n int) {
	for _, attempt := range attempts {
		if w.endpoints[attempt.Endpoint].Build == build {
			n++
		}
	}
	return n
}

func (w *world) newRequest(class relay.RequestClass, key relay.Key) relay.Request {
	w.nextID++
	return relay.Request{ID: w.nextID - 1, Class: class, Key: key, Deadline: w.now + w.settings.Classes[class].Deadline,
		Work: 0.1, HasWork: true}
}

// entries returns list entries of n ready endpoints with consecutive ids, in two zones and three failure domains.
func entries(n int, build relay.Build, firstID int) (list []relay.Endpoint) {
	for i := 0; i < n; i++ {
		list = append(list, relay.Endpoint{ID: relay.EndpointID(firstID + i), Zone: relay.Zone(i % 2), FailureDomain: relay.FailureDomain(i % 3),
			Build: build, State: relay.Ready})
	}
	return list
}

// testSettings returns the settings of a medium-sized site with three classes, one for each kind of idempotency.
func testSettings() relay.Settings {
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

// drawSettings draws settings in which everything varies that the rules depend on.
func drawSettings(t *rapid.T) relay.Settings {
	settings := testSettings()
	drawBool := func(name string) bool { return rapid.Bool().Draw(t, name) }
	settings.Relays = rapid.IntRange(1, 6).Draw(t, "relays")
	settings.Self = relay.ID(rapid.IntRange(0, settings.Relays-1).Draw(t, "self"))
	settings.ListOnRequest = drawBool("list on request")
	for i := range settings.Classes {
		settings.Classes[i].DedupScope = relay.DedupScope(rapid.IntRange(0, 2).Draw(t, fmt.Sprint("dedup scope ", i)))
		settings.Classes[i].Idempotency = relay.Idempotency(rapid.IntRange(0, 2).Draw(t, fmt.Sprint("idempotency ", i)))
	}
	settings.Limits = relay.Limits{MaxAttempts: rapid.IntRange(1, 6).Draw(t, "max attempts"), CancelAttempts: drawBool("cancel"),
		PeerMessages: drawBool("peer messages"), HealthChecks: drawBool("health checks"), HedgedRequests: drawBool("hedged requests"), RetryAfter: drawBool("retry after")}
	settings.Rules.DrainGrace = rapid.SampledFrom([]float64{0, 0.25, 2}).Draw(t, "drain grace")
	rollout := &settings.Rollout
	rollout.Control = relay.RolloutControl(rapid.IntRange(0, 2).Draw(t, "control"))
	rollout.InPlace, rollout.PerClass, rollout.StickyKeys = drawBool("in place"), drawBool("per class"), drawBool("sticky keys")
	rollout.IdempotentOnlyStages = rapid.IntRange(0, 2).Draw(t, "idempotent-only stages")
	rollout.ExposureAllowance = float64(rapid.IntRange(0, 3).Draw(t, "exposure allowance"))
	rollout.ExposureWindow = rapid.SampledFrom([]float64{0.5, 2, 4}).Draw(t, "exposure window")
	if drawBool("minimal") { // hardly any settings
		rollout.ExposureLimits, rollout.StageShares, rollout.VotesPerSec, rollout.VoteTTL = []float64{0}, nil, 0, 0
		settings.Rules.SlowStartTime, settings.Rules.OverloadWindow = 0, 0
	}
	return settings
}
