package pipeline

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
	"lichenroad/settings"
)

// fakeEnvironment implements Upstream and Client, and records the calls of the loop.
type fakeEnvironment struct {
	sent            []*Attempt
	cancelled       []*Attempt
	unsentCancelled []*Attempt
	responses       []string
	wasSent         bool // the result of Cancel
}

func (env *fakeEnvironment) Send(attempt *Attempt) { env.sent = append(env.sent, attempt) }
func (env *fakeEnvironment) Cancel(attempt *Attempt) bool {
	env.cancelled = append(env.cancelled, attempt)
	return env.wasSent
}
func (env *fakeEnvironment) CancelUnsent(attempt *Attempt) {
	env.unsentCancelled = append(env.unsentCancelled, attempt)
}
func (env *fakeEnvironment) State() ClientState           { return ClientOpen }
func (env *fakeEnvironment) HealthCheck(relay.EndpointID) {}
func (env *fakeEnvironment) CloseIdle(relay.EndpointID)   {}
func (env *fakeEnvironment) Respond(response *buffer.Chain) {
	env.responses = append(env.responses, string(response.Bytes()))
	response.Free()
}

func newLoop(t *testing.T) (*Loop, *fakeEnvironment) {
	t.Helper()
	site := settings.Site{ClassByName: map[string]relay.RequestClass{"look": 0}}
	site.Relays = 1
	site.Classes = make([]relay.ClassSettings, 1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	env := &fakeEnvironment{}
	l.Upstream = env
	return l, env
}

func beginRequest(t *testing.T, l *Loop, env *fakeEnvironment) *Request {
	t.Helper()
	request := acceptRequest(t, l, env, "9b1f")
	l.ReceiveRequest(request)
	l.BeginRequest(request, request.ReceivedAt)
	return request
}

// acceptRequest returns the record of a request with an id that was read.
func acceptRequest(t *testing.T, l *Loop, env *fakeEnvironment, id string) *Request {
	t.Helper()
	body := l.Pool.Filled([]byte("SELECT body FROM objects WHERE oid = '7f3a' /* id=" + id + ",c=look,d=480 */\x00"))
	text, err := pgwire.Statement(body.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	request, err := Accept(&l.Site, text, body, l.Clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	request.Client = env
	return request
}

func attemptsEnded(l *Loop) (got []relay.AttemptEnded) {
	for _, e := range l.TakeEvents() {
		if e, ok := e.(relay.AttemptEnded); ok {
			got = append(got, e)
		}
	}
	return got
}

func TestDeadlineCountsFromTheArrival(t *testing.T) {
	l, env := newLoop(t)
	request := beginRequest(t, l, env)
	if got := l.TakeEvents()[0].(relay.Request); got.Deadline != request.ReceivedAt+0.48 || got.Key != 0x7f3a || got.ID != request.ID {
		t.Errorf("request event %+v", got)
	}
}

func TestFirstResponseCounts(t *testing.T) {
	l, env := newLoop(t)
	request := beginRequest(t, l, env)
	l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1})
	l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 2})
	l.TakeEvents()
	for _, attempt := range env.sent {
		response := l.Pool.Chain()
		response.Write([]byte{'T', byte(attempt.Number)})
		l.EndAttempt(attempt, AttemptResult{Outcome: relay.Succeeded, Response: response})
		l.EndAttempt(attempt, AttemptResult{Outcome: relay.ConnectionBroken})
	}
	got := attemptsEnded(l)
	if len(got) != 2 || !got[0].RequestFinished || !got[1].RequestFinished || len(env.responses) != 1 || env.responses[0][:2] != "T\x00" {
		t.Errorf("attempts ended %+v, responses %q", got, env.responses)
	}
	l.execute(relay.Reject{Request: request.ID})
	l.execute(relay.Fail{Request: request.ID})
	l.execute(relay.CancelAttempt{Request: request.ID})
	l.dropFinished(len(l.finished))
	if len(env.responses) != 1 || len(l.requests) != 0 || l.Pool.InUse() != 0 || l.Metrics.Get(metrics.Succeeded) != 1 {
		t.Errorf("responses %q, %d records kept, counters %s", env.responses, len(l.requests), l.Metrics.Fields())
	}
}

// TestAttemptOfARequestWhoseClientLeft executes a SendAttempt for a request whose client has disconnected without the
// module knowing yet: the attempt still ends exactly once, as not sent.
func TestAttemptOfARequestWhoseClientLeft(t *testing.T) {
	l, env := newLoop(t)
	request := beginRequest(t, l, env)
	l.ClientLeft(request)
	l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1})
	if got := attemptsEnded(l); len(got) != 1 || got[0].Outcome != relay.NotSent || !got[0].RequestFinished || len(env.sent) != 0 {
		t.Errorf("attempts ended: %+v; want one, not sent", got)
	}
	l.dropFinished(len(l.finished))
	if len(l.requests) != 0 || l.Pool.InUse() != 0 {
		t.Error("the request's record or its buffers were not released")
	}
}

func TestErrorResponses(t *testing.T) {
	for _, c := range []struct {
		name     string
		command  func(relay.RequestID) relay.Command
		code     string
		contains string
	}{
		{"rejected",
			func(id relay.RequestID) relay.Command { return relay.Reject{Request: id} }, pgwire.CodeTooManyConnections, ""},
		{"rejected with a retry-after time",
			func(id relay.RequestID) relay.Command { return relay.Reject{Request: id, RetryAfter: 0.2501} }, pgwire.CodeTooManyConnections, "D251\x00"},
		{"failed",
			func(id relay.RequestID) relay.Command { return relay.Fail{Request: id} }, pgwire.CodeSystemError, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, env := newLoop(t)
			request := beginRequest(t, l, env)
			l.execute(c.command(request.ID))
			_, code, _, err := pgwire.ParseError([]byte(env.responses[0])[5 : len(env.responses[0])-6])
			if code != c.code || err != nil || !strings.Contains(env.responses[0], c.contains) {
				t.Errorf("responses %q, parse error %v", env.responses, err)
			}
		})
	}
}

func TestAttemptTimesOut(t *testing.T) {
	for _, c := range []struct {
		name    string
		wasSent bool
		want    relay.Outcome
	}{
		{"after its last byte was sent", true, relay.TimedOut},
		{"before its last byte was sent", false, relay.ConnectFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, env := newLoop(t)
			env.wasSent = c.wasSent
			request := beginRequest(t, l, env)
			request.Deadline = l.Clock.Now() // times out immediately
			l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1, Timeout: 5})
			l.TakeEvents()
			l.fireTimers()
			got := attemptsEnded(l)
			if len(got) != 1 || got[0].Outcome != c.want || got[0].RequestFinished || len(env.cancelled) != 1 {
				t.Errorf("attempts ended: %+v", got)
			}
		})
	}
}

func TestResponseAfterTimeoutIsDropped(t *testing.T) {
	l, env := newLoop(t)
	env.wasSent = true
	request := beginRequest(t, l, env)
	request.Deadline = l.Clock.Now()
	l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1})
	l.TakeEvents()
	l.fireTimers()
	response := l.Pool.Chain()
	response.Write([]byte("T"))
	l.EndAttempt(env.sent[0], AttemptResult{Outcome: relay.Succeeded, Response: response})
	l.execute(relay.Fail{Request: request.ID})
	if got := attemptsEnded(l); len(got) != 1 || got[0].Outcome != relay.TimedOut || len(env.responses) != 1 || env.responses[0][0] != 'E' {
		t.Errorf("attempts ended %+v, responses %q", got, env.responses)
	}
	if l.Pool.InUse() != 0 {
		t.Error("the buffers of the late response were not freed")
	}
}

func TestServiceOpensOnce(t *testing.T) {
	l, _ := newLoop(t)
	opened := 0
	l.OnServiceOpen(func() { opened++ })
	if opened != 0 {
		t.Error("function ran before service was open")
	}
	l.OpenService()
	l.OpenService()
	l.OnServiceOpen(func() { opened++ })
	if opened != 2 {
		t.Errorf("functions ran %d times, want 2", opened)
	}
}

func TestTimersFireInOrderAndNotEarly(t *testing.T) {
	l, _ := newLoop(t)
	var got []int
	now := l.Clock.Now()
	for i, at := range []relay.Seconds{now + 3600, now, now - 1, now} {
		l.RunAt(at, func() { got = append(got, i) })
	}
	l.fireTimers()
	if len(got) != 3 || got[0] != 2 || got[1] != 1 || got[2] != 3 {
		t.Error("timers ran in the order", got)
	}
}

func TestPostedEventsAreBoundedAndInOrder(t *testing.T) {
	l, _ := newLoop(t)
	for range limits.MaxQueuedEvents {
		if !l.TryPost(Func(func(*Loop) {})) {
			t.Fatal("event refused though the queue is not full")
		}
	}
	if l.TryPost(Func(func(*Loop) {})) || l.Metrics.Get(metrics.QueueLimitReached) != 1 {
		t.Error("event accepted though the queue is full, or not counted")
	}
	l.TakePosted()
	var order []int
	stop := make(chan struct{})
	for i := range 3 {
		l.Post(Func(func(*Loop) { order = append(order, i) }))
	}
	l.Post(Func(func(*Loop) { close(stop) }))
	l.Run(stop)
	if len(order) != 3 || order[0] != 0 || order[2] != 2 {
		t.Error("events were applied in the order", order)
	}
}

// TestAttemptCarriesItsSendByTime checks that an attempt gets its send-by time from SendAttempt, and that CancelUnsent
// sets it to the current time.
func TestAttemptCarriesItsSendByTime(t *testing.T) {
	l, env := newLoop(t)
	request := beginRequest(t, l, env)
	now := l.Clock.Now()
	l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1})
	l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 2, SendBy: now + 60})
	if env.sent[0].SendExpired(now+60) || env.sent[1].SendExpired(now+59) || !env.sent[1].SendExpired(now+60) {
		t.Error("the attempt does not expire at the time that the command names")
	}
	l.execute(relay.CancelUnsent{Request: request.ID, Attempt: 0})
	l.execute(relay.CancelUnsent{Request: request.ID, Attempt: 7})
	if len(env.unsentCancelled) != 1 || !env.sent[0].SendExpired(l.Clock.Now()) {
		t.Errorf("%d attempts passed to CancelUnsent, want 1, expired", len(env.unsentCancelled))
	}
}
