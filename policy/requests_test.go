package policy

import (
	"testing"

	"lichenroad/relay"
)

// A request whose deadline ends before the next tick was held until it was lost.
func TestShortDeadlineIsAnswered(t *testing.T) {
	w := newWorld(t, plainSettings())
	w.step(relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
	request := w.newRequest(0, 0)
	request.Deadline = w.now + 0.01
	w.step(request)
	if !w.requests[request.ID].finished {
		t.Error("held, with no endpoint to send it to")
	}
}

// TestEndOfTheLeaseRejectsAtOnce lets the lease on the list end: what comes then is rejected in the same step, with a time to
// come back, and what waits without an attempt in the next one. No attempt waits for its connection beyond the lease. A new lease
// has requests served again.
func TestEndOfTheLeaseRejectsAtOnce(t *testing.T) {
	set := plainSettings()
	set.ListOnRequest = true
	p := New(set, 1)
	step := func(now relay.Seconds, events ...relay.Event) (sent, rejected []relay.Command) {
		for _, o := range p.Step(now, events) {
			switch o := o.(type) {
			case relay.SendAttempt:
				sent = append(sent, o)
			case relay.Reject:
				rejected = append(rejected, o)
			}
		}
		return sent, rejected
	}
	query := func(id relay.RequestID) relay.Request { return relay.Request{ID: id, Deadline: 100} }
	step(0, relay.ListLease{ExpiresAt: 0}, relay.ListUpdate{Kind: relay.ListCached, Endpoints: entries(1, 1, 1)})
	if sent, rejected := step(0.1, query(1)); len(sent) != 0 || len(rejected) != 1 || rejected[0].(relay.Reject).RetryAfter != set.Limits.MaxRetryAfter {
		t.Errorf("on a list that nobody has confirmed: sent %v, rejected %v", sent, rejected)
	}
	if sent, _ := step(0.2, relay.ListLease{ExpiresAt: 1}, query(2)); len(sent) != 1 || sent[0].(relay.SendAttempt).SendBy != 1 {
		t.Errorf("under a lease up to 1: %+v", sent)
	}
	if sent, rejected := step(0.9, relay.AttemptEnded{Request: 2, Outcome: relay.ConnectFailed}, relay.ListUpdate{Kind: relay.ListDelta,
		Endpoints: []relay.Endpoint{{ID: 1, State: relay.Draining, Partial: true}}}, query(3)); len(sent)+len(rejected) != 0 {
		t.Errorf("with no endpoint, under a lease: sent %v, rejected %v", sent, rejected)
	}
	if sent, rejected := step(1, relay.TimerFired{ID: 1}, query(4)); len(sent) != 0 || len(rejected) != 3 {
		t.Errorf("at the end of the lease: sent %v, rejected %v", sent, rejected)
	}
	if sent, rejected := step(1.1, relay.ListLease{ExpiresAt: 7}, relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(1, 1, 1)},
		query(5)); len(sent) != 1 || len(rejected) != 0 {
		t.Errorf("under a new lease: sent %v, rejected %v", sent, rejected)
	}
}

// Where eight of ten endpoints failed, the two healthy ones got everything and were swamped: a plain balancer did better.
func TestOutliersTakeWhatFewHealthyEndpointsCannotCarry(t *testing.T) {
	for _, c := range []struct {
		sound, open int // sound endpoints, attempts that each holds
		repeat      relay.Idempotency
		some, all   bool // outliers get some, or all
	}{
		{2, 0, relay.Idempotent, false, false},
		{2, 30, relay.Idempotent, true, true},
		{2, 30, relay.IdempotencyKeyed, true, true},
		{2, 30, relay.AtMostOnce, false, false}, // an error there is a request lost
		{4, 30, relay.Idempotent, false, false}, // they are not few
		{0, 0, relay.Idempotent, true, true},
	} {
		w := newWorld(t, plainSettings())
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(10, 5, 1)})
		p := w.mod
		p.now = w.now
		for i, endpoint := range p.endpoints.all {
			if endpoint.openAttempts = c.open; i >= c.sound {
				endpoint.openAttempts, endpoint.lastFailureEstimate, endpoint.failureEstimatedAt = 0, 1, p.now
			}
			endpoint.lastAnswerAt = p.now
		}
		suspects := 0
		for range 200 {
			if endpoint := p.router.bestOf(&trackedRequest{class: &classState{idempotency: c.repeat}}, p.endpoints.all); endpoint.lastFailureEstimate > 0 {
				suspects++
			}
		}
		if suspects > 0 != c.some || suspects == 200 != c.all {
			t.Errorf("%+v: %d of 200", c, suspects)
		}
	}
}
