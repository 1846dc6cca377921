package lab

import (
	"fmt"
	"math/rand"

	"lichenroad/relay"
)

// baseline is a module that does what a plain balancer does: it sends each query to one unit, again elsewhere where that
// is harmless, and judges nothing. It keeps the rules, so that what it lacks shows as service.
type baseline struct {
	settings      relay.Settings
	random        *rand.Rand
	leastInFlight bool // the unit with the least in flight; else any
	endpoints     []relay.Endpoint
	inFlight      map[relay.EndpointID]int
	requests      map[relay.RequestID]*baselineRequest
	commands      []relay.Command
}

type baselineRequest struct {
	relay.Request
	attempts int
	mayRan   bool
	tried    map[relay.EndpointID]bool
}

const (
	maxBaselineAttempts = 3    // legs of a query at most
	deadlineSlack       = 0.03 // s before patience ends that a leg is given up: it is answered in time then
)

// Baselines lists the names that Baseline knows.
func Baselines() []string { return []string{"policy", "random", "least-in-flight"} }

// Baseline gives a module by name; none for policy, which is the real one.
func Baseline(name string) (func(relay.Settings, int64) module, error) {
	if name == "policy" {
		return nil, nil
	}
	if name != "random" && name != "least-in-flight" {
		return nil, fmt.Errorf("module %q is none of %v", name, Baselines())
	}
	return func(set relay.Settings, seed int64) module {
		return &baseline{settings: set, random: rand.New(rand.NewSource(seed)), leastInFlight: name == "least-in-flight", inFlight: map[relay.EndpointID]int{},
			requests: map[relay.RequestID]*baselineRequest{}}
	}, nil
}

// Step takes what happened.
func (b *baseline) Step(now relay.Seconds, events []relay.Event) []relay.Command {
	b.commands = b.commands[:0]
	for _, e := range events {
		switch e := e.(type) {
		case relay.ListUpdate:
			b.listUpdated(e)
		case relay.Request:
			q := &baselineRequest{Request: e, tried: map[relay.EndpointID]bool{}}
			b.requests[e.ID] = q
			b.route(now, q)
		case relay.AttemptEnded:
			b.inFlight[e.Endpoint]--
			q := b.requests[e.Request]
			switch {
			case q == nil:
			case e.RequestFinished || e.Outcome == relay.Succeeded:
				delete(b.requests, e.Request)
			default:
				q.mayRan = q.mayRan || !e.Outcome.NeverRan()
				b.route(now, q)
			}
		case relay.ClientDisconnected:
			delete(b.requests, e.Request)
		}
	}
	return b.commands
}

func (b *baseline) listUpdated(r relay.ListUpdate) {
	if r.Kind == relay.ListFetchFailed {
		return
	}
	if r.Kind != relay.ListDelta {
		b.endpoints = b.endpoints[:0]
	}
next:
	for _, e := range r.Endpoints {
		for i := range b.endpoints {
			if b.endpoints[i].ID == e.ID {
				b.endpoints[i] = e
				continue next
			}
		}
		b.endpoints = append(b.endpoints, e)
	}
}

// send sends a query's next leg, or gives the query up.
func (b *baseline) route(now relay.Seconds, q *baselineRequest) {
	repeat := b.settings.Classes[q.Class].Idempotency
	harmless := repeat == relay.Idempotent || !q.mayRan
	wait := q.Deadline - now - deadlineSlack
	var pick *relay.Endpoint
	seen := 0
	for i := range b.endpoints {
		u := &b.endpoints[i]
		if u.State != relay.Ready || q.tried[u.ID] {
			continue
		}
		seen++
		switch {
		case pick == nil, b.leastInFlight && b.inFlight[u.ID] < b.inFlight[pick.ID], !b.leastInFlight && b.random.Intn(seen) == 0:
			pick = u
		}
	}
	if pick == nil || !harmless || q.attempts >= maxBaselineAttempts || wait <= 0 {
		delete(b.requests, q.ID)
		if harmless {
			b.commands = append(b.commands, relay.Reject{Request: q.ID})
		} else {
			b.commands = append(b.commands, relay.Fail{Request: q.ID})
		}
		return
	}
	q.attempts++
	q.tried[pick.ID] = true
	b.inFlight[pick.ID]++
	b.commands = append(b.commands, relay.SendAttempt{Request: q.ID, Endpoint: pick.ID, Timeout: wait})
}
