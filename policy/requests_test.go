package policy

import (
	"testing"

	"lichenroad/relay"
)

// A request that had no endpoint used to wait for the next tick even if its deadline came before that, so that it got no
// answer in time.
func TestShortDeadlineIsAnswered(t *testing.T) {
	w := newWorld(t, testSettings())
	w.step(relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
	request := w.newRequest(0, 0)
	request.Deadline = w.now + 0.01
	w.step(request)
	if !w.requests[request.ID].finished {
		t.Error("a request with no endpoint to send it to has no answer, though its deadline comes before the next tick")
	}
}

// TestEndOfTheLeaseRejectsAtOnce lets the lease on the endpoint list expire. New requests are then rejected in the same
// step, with a retry time. Requests that already wait for an endpoint are rejected in the next tick. No attempt may wait
// for a connection beyond the lease. Under a new lease, requests are served again.
func TestEndOfTheLeaseRejectsAtOnce(t *testing.T) {
	settings := testSettings()
	settings.ListOnRequest = true
	p := New(settings, 1)
	step := func(now relay.Seconds, events ...relay.Event) (sent, rejected []relay.Command) {
		for _, command := range p.Step(now, events) {
			switch command := command.(type) {
			case relay.SendAttempt:
				sent = append(sent, command)
			case relay.Reject:
				rejected = append(rejected, command)
			}
		}
		return sent, rejected
	}
	request := func(id relay.RequestID) relay.Request { return relay.Request{ID: id, Deadline: 100} }
	step(0, relay.ListLease{ExpiresAt: 0}, relay.ListUpdate{Kind: relay.ListCached, Endpoints: entries(1, 1, 1)})
	if sent, rejected := step(0.1, request(1)); len(sent) != 0 || len(rejected) != 1 || rejected[0].(relay.Reject).RetryAfter != settings.Limits.MaxRetryAfter {
		t.Errorf("without a valid lease: sent %v, rejected %v", sent, rejected)
	}
	if sent, _ := step(0.2, relay.ListLease{ExpiresAt: 1}, request(2)); len(sent) != 1 || sent[0].(relay.SendAttempt).SendBy != 1 {
		t.Errorf("under a lease that expires at 1: sent %+v", sent)
	}
	if sent, rejected := step(0.9, relay.AttemptEnded{Request: 2, Outcome: relay.ConnectFailed}, relay.ListUpdate{Kind: relay.ListDelta,
		Endpoints: []relay.Endpoint{{ID: 1, State: relay.Draining, Partial: true}}}, request(3)); len(sent)+len(rejected) != 0 {
		t.Errorf("with no ready endpoint, under a lease: sent %v, rejected %v", sent, rejected)
	}
	if sent, rejected := step(1, relay.TimerFired{ID: 1}, request(4)); len(sent) != 0 || len(rejected) != 3 {
		t.Errorf("when the lease has expired: sent %v, rejected %v", sent, rejected)
	}
	if sent, rejected := step(1.1, relay.ListLease{ExpiresAt: 7}, relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(1, 1, 1)},
		request(5)); len(sent) != 1 || len(rejected) != 0 {
		t.Errorf("under a new lease: sent %v, rejected %v", sent, rejected)
	}
}

// When eight of ten endpoints failed, the two healthy ones used to get all requests and were overloaded. The results
// were worse than those of a plain load balancer.
func TestOutliersTakeWhatFewHealthyEndpointsCannotCarry(t *testing.T) {
	for _, c := range []struct {
		healthy, openAttempts int // healthy endpoints, and open attempts at each of them
		idempotency           relay.Idempotency
		wantSome, wantAll     bool // outliers get some attempts, or all
	}{
		{2, 0, relay.Idempotent, false, false},
		{2, 30, relay.Idempotent, true, true},
		{2, 30, relay.IdempotencyKeyed, true, true},
		{2, 30, relay.AtMostOnce, false, false}, // after an error such a request can't be retried
		{4, 30, relay.Idempotent, false, false}, // 40% of the endpoints are enough healthy ones
		{0, 0, relay.Idempotent, true, true},
	} {
		w := newWorld(t, testSettings())
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(10, 5, 1)})
		p := w.policy
		p.now = w.now
		for i, endpoint := range p.endpoints.all {
			if endpoint.openAttempts = c.openAttempts; i >= c.healthy {
				endpoint.openAttempts, endpoint.lastFailureEstimate, endpoint.failureEstimatedAt = 0, 1, p.now
			}
			endpoint.lastAnswerAt = p.now
		}
		outliers := 0
		for range 200 {
			if endpoint := p.router.bestOf(&trackedRequest{class: &classState{idempotency: c.idempotency}}, p.endpoints.all); endpoint.lastFailureEstimate > 0 {
				outliers++
			}
		}
		if outliers > 0 != c.wantSome || outliers == 200 != c.wantAll {
			t.Errorf("%+v: outliers were chosen for %d of 200 requests", c, outliers)
		}
	}
}
