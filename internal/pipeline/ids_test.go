package pipeline

import (
	"fmt"
	"testing"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// endFirst ends the request in one way.
type endFirst func(l *Loop, env *fakeEnvironment, request *Request)

// endAttempt returns an endFirst that sends one attempt, which ends with an outcome, and then ends the request if that is open.
func endAttempt(result AttemptResult) endFirst {
	return func(l *Loop, env *fakeEnvironment, request *Request) {
		l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1})
		if result.Outcome == relay.Succeeded {
			result.Response = l.Pool.Filled([]byte("T"))
		}
		l.EndAttempt(env.sent[len(env.sent)-1], result)
		l.execute(relay.Fail{Request: request.ID})
	}
}

// TestIDIsKnownWhileItMayRun guards against running an id twice, and against turning away an id that provably never ran.
func TestIDIsKnownWhileItMayRun(t *testing.T) {
	for _, c := range []struct {
		name string
		end  endFirst // nil: the request stays open
		want idState
	}{
		{"open", nil, idOpen},
		{"rejected at once", func(l *Loop, _ *fakeEnvironment, request *Request) { l.execute(relay.Reject{Request: request.ID}) }, idUnknown},
		{"client left before an attempt", func(l *Loop, _ *fakeEnvironment, request *Request) { l.ClientLeft(request) }, idUnknown},
		{"attempt not sent", endAttempt(AttemptResult{Outcome: relay.NotSent}), idUnknown},
		{"attempt without a connection", endAttempt(AttemptResult{Outcome: relay.ConnectFailed}), idUnknown},
		{"attempt turned away", endAttempt(AttemptResult{Outcome: relay.RejectedByEndpoint}), idUnknown},
		{"attempt cancelled before its last byte", endAttempt(AttemptResult{Outcome: relay.Cancelled, Unsent: true}), idUnknown},
		{"attempt cancelled", endAttempt(AttemptResult{Outcome: relay.Cancelled}), idMayRun},
		{"attempt timed out", endAttempt(AttemptResult{Outcome: relay.TimedOut}), idMayRun},
		{"connection broken", endAttempt(AttemptResult{Outcome: relay.ConnectionBroken}), idMayRun},
		{"served", endAttempt(AttemptResult{Outcome: relay.Succeeded}), idRan},
		{"failed at the endpoint", endAttempt(AttemptResult{Outcome: relay.Errored}), idRan},
		{"served, a hedged attempt is open", func(l *Loop, env *fakeEnvironment, request *Request) {
			l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 2})
			endAttempt(AttemptResult{Outcome: relay.Succeeded})(l, env, request)
		}, idOpen},
		{"served after a time-out", func(l *Loop, env *fakeEnvironment, request *Request) {
			l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 2})
			l.EndAttempt(env.sent[0], AttemptResult{Outcome: relay.TimedOut})
			endAttempt(AttemptResult{Outcome: relay.Succeeded})(l, env, request)
		}, idMayRun},
		{"client left, then the attempt is cancelled", func(l *Loop, env *fakeEnvironment, request *Request) {
			env.wasSent = true
			l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1})
			l.ClientLeft(request)
			l.execute(relay.CancelAttempt{Request: request.ID})
		}, idMayRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, env := newLoop(t)
			first := beginRequest(t, l, env)
			if c.end != nil {
				c.end(l, env, first)
			}
			second := acceptRequest(t, l, env, first.Query.ID)
			l.ReceiveRequest(second)
			if second.idState != c.want {
				t.Fatalf("the id is %v, want %v", second.idState, c.want)
			}
			l.TakeEvents()
			env.responses = nil
			l.BeginRequest(second, second.ReceivedAt)
			admitted := len(l.TakeEvents()) == 1
			if admitted != (c.want == idUnknown) {
				t.Errorf("the module was notified of the second request: %v", admitted)
			}
			if admitted {
				return
			}
			_, code, _, _ := pgwire.ParseError([]byte(env.responses[0])[5 : len(env.responses[0])-6])
			if len(env.responses) != 1 || code != pgwire.CodeDuplicateID || l.Metrics.Get(metrics.DuplicateIDs) != 1 {
				t.Errorf("responses %q, counters %v", env.responses, l.Metrics.Fields())
			}
			third := acceptRequest(t, l, env, first.Query.ID)
			if l.ReceiveRequest(third); third.idState != c.want {
				t.Errorf("after the second request the id is %v, want %v", third.idState, c.want)
			}
		})
	}
}

// TestIDOfADiscardedRequestIsFree guards against turning away a request whose id only a discarded one had.
func TestIDOfADiscardedRequestIsFree(t *testing.T) {
	l, env := newLoop(t)
	for range 2 {
		request := acceptRequest(t, l, env, "9b1f")
		l.ReceiveRequest(request)
		if request.idState != idUnknown {
			t.Error("the id is", request.idState)
		}
		l.DiscardRequest(request)
	}
	if l.Pool.InUse() != 0 || len(l.ids.known) != 0 {
		t.Errorf("%d bytes and %d ids are kept", l.Pool.InUse(), len(l.ids.known))
	}
}

// TestEndedIDsAreBounded guards against memory that grows under ever new ids, and against forgetting ids that may still run.
func TestEndedIDsAreBounded(t *testing.T) {
	const (
		capacity = 1000
		waiting  = 500 // ids of which an endpoint may still begin an attempt
		deadline = 4.0
		rate     = 10000.0 // ids per second
	)
	r := newIDRegistry(capacity * limits.KnownIDBytes)
	now := relay.Seconds(100)
	for i := range waiting {
		id := fmt.Sprint("waiting ", i)
		r.claim(id, now)
		r.keepMayRun(id, now+deadline, deadline, now)
	}
	r.claim("open", now)
	for i := range 20 * capacity {
		id := fmt.Sprint("flood ", i)
		if state := r.claim(id, now); state != idUnknown {
			t.Fatalf("a new id is %v", state)
		}
		if i%2 == 0 {
			r.keepRan(id, now)
		} else {
			r.keepMayRun(id, now+1/rate, deadline, now)
		}
		now += 1 / rate
		if now < 100+deadline && i%100 == 0 {
			for _, id := range []string{"open", "waiting 0", fmt.Sprint("waiting ", waiting-1)} {
				if r.claim(id, now) == idUnknown {
					t.Fatalf("id %s was forgotten after %d others", id, i)
				}
			}
		}
	}
	now += deadline
	r.claim("last", now)
	if len(r.known) > capacity+2 {
		t.Errorf("%d ids are known, want at most %d and two open ones", len(r.known), capacity)
	}
	if held := len(r.mayRun.ids) + len(r.ran.ids); held > 4*capacity {
		t.Errorf("the queues hold %d entries", held)
	}
	now += limits.IDRetention.Seconds()
	if state := r.claim("waiting 0", now); state != idUnknown || r.claim("open", now) != idOpen {
		t.Errorf("after the retention time an ended id is %v", state)
	}
	if len(r.known) > 3 {
		t.Errorf("%d ids are known after the retention time, want the open ones", len(r.known))
	}
}

// TestIDWithALongDeadlineIsKept guards against forgetting an id that an endpoint was told to run within hours.
func TestIDWithALongDeadlineIsKept(t *testing.T) {
	const hour = 3600.0
	r := newIDRegistry(100 * limits.KnownIDBytes)
	r.claim("long", 0)
	r.keepMayRun("long", hour, 4, 0)
	if state := r.claim("long", hour); state != idMayRun {
		t.Error("before its deadline the id is", state)
	}
	if state := r.claim("long", hour+1); state != idUnknown {
		t.Error("after its deadline the id is", state)
	}
}

// TestExpiredIDCanBeClaimedAgain guards against the end of an earlier request of an id taking away the claim of a later one.
func TestExpiredIDCanBeClaimedAgain(t *testing.T) {
	retention := limits.IDRetention.Seconds()
	r := newIDRegistry(100 * limits.KnownIDBytes)
	r.claim("first in the queue", 0)
	r.keepMayRun("first in the queue", 10*retention, 4, 0)
	r.claim("id", 0)
	r.keepMayRun("id", 1, 4, 0)
	if state := r.claim("id", 2*retention); state != idUnknown {
		t.Fatal("after the retention time the id is", state)
	}
	r.claim("other", 20*retention) // takes both ids out of the queue
	if state := r.claim("id", 20*retention); state != idOpen {
		t.Error("the id of the open request is", state)
	}
}
