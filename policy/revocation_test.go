package policy

import (
	"testing"

	"lichenroad/relay"
)

// TestConditionsOfWaitingAttempts guards against an attempt that is written although what permitted it has ceased to hold while it
// waited for its connection. The request must then get another attempt or its final answer in time.
func TestConditionsOfWaitingAttempts(t *testing.T) {
	const earlier, newest = relay.Build(1), relay.Build(2)
	status := func(change func(*relay.RolloutStatus)) relay.Event {
		s := relay.RolloutStatus{Valid: true, Build: newest, Stage: 1, Phase: relay.PhaseCanary, ExposureLimit: 0.4}
		change(&s)
		return s
	}
	scope := func(change func(*relay.CanaryScope)) relay.Event {
		s := relay.CanaryScope{Build: newest, Stage: 1, GroupOfTenant: []int{0, 1}, GroupOpen: []bool{true, false}}
		change(&s)
		return s
	}
	list := func(change func(*relay.Endpoint)) relay.Event {
		entry := entries(1, newest, 2)[0]
		change(&entry)
		return relay.ListUpdate{Kind: relay.ListDelta, Endpoints: []relay.Endpoint{entry}}
	}
	for name, c := range map[string]struct {
		event     relay.Event
		waitsAt   relay.Build // build of the endpoint for whose connection the attempt waits
		cancelled bool
	}{
		"the newest build answered the key": {relay.AttemptEnded{Request: 1, Endpoint: 2, Outcome: relay.Succeeded, RequestFinished: true}, earlier, true},
		"it answered another key":           {relay.AttemptEnded{Request: 2, Endpoint: 2, Outcome: relay.Succeeded, RequestFinished: true}, earlier, false},
		"the earlier build answered":        {relay.AttemptEnded{Request: 3, Endpoint: 1, Outcome: relay.Succeeded, RequestFinished: true}, newest, false},
		"a lower limit":                     {status(func(s *relay.RolloutStatus) { s.ExposureLimit = 0.1 }), newest, true},
		"a lower limit, earlier build":      {status(func(s *relay.RolloutStatus) { s.ExposureLimit = 0.1 }), earlier, false},
		"a higher limit":                    {status(func(s *relay.RolloutStatus) { s.ExposureLimit = 1 }), newest, false},
		"an earlier stage":                  {status(func(s *relay.RolloutStatus) { s.Stage = 0 }), newest, true},
		"a rollback":                        {status(func(s *relay.RolloutStatus) { s.Phase, s.ExposureLimit = relay.PhaseRollingBack, 0 }), newest, true},
		"a withdrawn build":                 {status(func(s *relay.RolloutStatus) { s.Phase, s.ExposureLimit = relay.PhaseWithdrawn, 0 }), newest, true},
		"a release":                         {status(func(s *relay.RolloutStatus) { s.Phase, s.ExposureLimit = relay.PhaseReleased, 1 }), newest, false},
		"the same scope":                    {scope(func(*relay.CanaryScope) {}), newest, false},
		"a scope without the tenant":        {scope(func(s *relay.CanaryScope) { s.GroupOpen[0] = false }), newest, true},
		"a scope of an earlier build":       {scope(func(s *relay.CanaryScope) { s.Build = earlier }), newest, true},
		"a scope of an earlier stage":       {scope(func(s *relay.CanaryScope) { s.Stage = 0 }), newest, true},
		"an expired lease":                  {relay.ListLease{ExpiresAt: 0.1}, newest, true},
		"a shorter lease":                   {relay.ListLease{ExpiresAt: 5}, newest, false},
		"a longer lease":                    {relay.ListLease{ExpiresAt: 7}, newest, false},
		"a drain":                           {list(func(e *relay.Endpoint) { e.State = relay.Draining }), newest, true},
		"a removal":                         {list(func(e *relay.Endpoint) { e.State = relay.Removed }), newest, true},
		"another build":                     {list(func(e *relay.Endpoint) { e.Build = 3 }), newest, true},
		"a restart":                         {list(func(e *relay.Endpoint) { e.StartKnown, e.StartedAt = true, 0.05 }), newest, true},
		"another zone":                      {list(func(e *relay.Endpoint) { e.Zone = 1 }), newest, true},
		"another failure domain":            {list(func(e *relay.Endpoint) { e.FailureDomain = 1 }), newest, true},
		"the same entry":                    {list(func(*relay.Endpoint) {}), newest, false},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Rollout.StickyKeys, settings.Rollout.IdempotentOnlyStages, settings.Rollout.ExposureAllowance = true, 1, 9
			p := New(settings, 1)
			p.Step(0, []relay.Event{relay.ListLease{ExpiresAt: 6},
				relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(1, earlier, 1), entries(1, newest, 2)...)},
				status(func(*relay.RolloutStatus) {}), scope(func(*relay.CanaryScope) {})})
			p.canary.budgetOf(newest).allowedByGroup[0] = 9
			send := func(id relay.RequestID, key relay.Key, build relay.Build) {
				request := &trackedRequest{Request: relay.Request{ID: id, Key: key, Deadline: 3, Class: 2}, class: &p.classes[2], objectiveAt: 3}
				p.router.requests[id] = request
				p.router.openRequests = append(p.router.openRequests, request)
				p.router.sendAttempt(request, p.endpoints.byID[relay.EndpointID(build)])
				p.deliver()
			}
			const waiting = relay.RequestID(4)
			send(1, 77, newest)
			send(2, 78, newest)
			send(3, 77, earlier)
			send(waiting, 77, c.waitsAt)
			if got := cancelsUnsent(p.Step(0.1, []relay.Event{c.event}), waiting); got != c.cancelled {
				t.Fatalf("cancelled: %v, want %v", got, c.cancelled)
			}
			if !c.cancelled {
				return
			}
			if cancelsUnsent(p.Step(0.2, []relay.Event{c.event}), waiting) {
				t.Error("cancelled twice")
			}
			commands := p.Step(0.3, []relay.Event{relay.AttemptEnded{Request: waiting, Endpoint: relay.EndpointID(c.waitsAt), Outcome: relay.NotSent}})
			if !answersOrSends(commands, waiting) && !answersOrSends(p.Step(2.95, []relay.Event{relay.TimerFired{ID: tickTimer}}), waiting) {
				t.Error("no further attempt and no final answer by its deadline")
			}
		})
	}
}

// TestLeaseThatIsShortenedEndsWaitingAttempts guards against an attempt that waits for its connection beyond the end of a lease that
// was to last longer when it was sent.
func TestLeaseThatIsShortenedEndsWaitingAttempts(t *testing.T) {
	for _, extended := range []bool{false, true} {
		p := New(testSettings(), 1)
		p.Step(0, []relay.Event{relay.ListLease{ExpiresAt: 6}, relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(2, 1, 1)}})
		p.Step(0.5, []relay.Event{relay.Request{ID: 1, Deadline: 3}})
		timers := 0
		for _, command := range p.Step(0.6, []relay.Event{relay.ListLease{ExpiresAt: 0.7}}) {
			if timer, ok := command.(relay.SetTimer); ok && timer.ID == leaseTimer && timer.At == 0.7 {
				timers++
			}
		}
		if timers != 1 {
			t.Errorf("%d timers for the end of the lease, want 1", timers)
		}
		if extended {
			p.Step(0.65, []relay.Event{relay.ListLease{ExpiresAt: 9}})
		}
		if cancelled := cancelsUnsent(p.Step(0.7, []relay.Event{relay.TimerFired{ID: leaseTimer}}), 1); cancelled == extended {
			t.Errorf("cancelled at the end of the lease: %v; the lease was extended before: %v", cancelled, extended)
		}
	}
}

// cancelsUnsent reports whether one of the commands takes back an attempt of the request.
func cancelsUnsent(commands []relay.Command, id relay.RequestID) bool {
	for _, command := range commands {
		if cancel, ok := command.(relay.CancelUnsent); ok && cancel.Request == id {
			return true
		}
	}
	return false
}

// answersOrSends reports whether one of the commands sends an attempt of the request or rejects it. A request that never ran must
// not be failed.
func answersOrSends(commands []relay.Command, id relay.RequestID) bool {
	for _, command := range commands {
		switch command := command.(type) {
		case relay.SendAttempt:
			if command.Request == id {
				return true
			}
		case relay.Reject:
			if command.Request == id {
				return true
			}
		}
	}
	return false
}
