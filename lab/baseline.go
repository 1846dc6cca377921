package lab

import (
	"fmt"
	"math/rand"

	"lichenroad/relay"
)

// baseline is a decision module that works as a plain load balancer: it sends each request to one endpoint, retries at
// another where that is safe, and rates neither endpoints nor builds. It follows the same rules as policy, so the two are
// compared by how much of the load they serve in time.
type baseline struct {
	settings      relay.Settings
	random        *rand.Rand
	leastInFlight bool // pick the endpoint with the fewest attempts in flight; otherwise a random one
	endpoints     []relay.Endpoint
	inFlight      map[relay.EndpointID]int
	requests      map[relay.RequestID]*baselineRequest
	commands      []relay.Command // commands of the current step
}

// baselineRequest is a request without a final answer.
type baselineRequest struct {
	relay.Request
	attempts   int
	mayHaveRun bool // an attempt may have run
	tried      map[relay.EndpointID]bool
}

const (
	maxBaselineAttempts = 3    // attempts per request
	deadlineSlack       = 0.03 // s; attempts time out this long before the deadline, so that the answer is still in time
)

// Names of the decision modules.
const (
	policyModule   = "policy"
	randomModule   = "random"
	inFlightModule = "least-in-flight"
)

// Baselines lists the names that Baseline knows.
func Baselines() []string { return []string{policyModule, randomModule, inFlightModule} }

// Baseline returns the constructor of the decision module with a given name. For "policy", the real module, it is nil, which
// Options.NewModule and ReplayOptions.NewModule take as the default.
func Baseline(name string) (func(relay.Settings, int64) module, error) {
	switch name {
	case policyModule:
		return nil, nil
	case randomModule, inFlightModule:
		return func(settings relay.Settings, seed int64) module {
			return &baseline{
				settings:      settings,
				random:        rand.New(rand.NewSource(seed)),
				leastInFlight: name == inFlightModule,
				inFlight:      map[relay.EndpointID]int{},
				requests:      map[relay.RequestID]*baselineRequest{},
			}
		}, nil
	}
	return nil, fmt.Errorf("module %q is none of %v", name, Baselines())
}

// Step implements module.
func (b *baseline) Step(now relay.Seconds, events []relay.Event) []relay.Command {
	b.commands = b.commands[:0]
	for _, event := range events {
		switch event := event.(type) {
		case relay.ListUpdate:
			b.listUpdated(event)
		case relay.Request:
			request := &baselineRequest{Request: event, tried: map[relay.EndpointID]bool{}}
			b.requests[event.ID] = request
			b.route(now, request)
		case relay.AttemptEnded:
			b.attemptEnded(now, event)
		case relay.ClientDisconnected:
			delete(b.requests, event.Request)
		}
	}
	return b.commands
}

func (b *baseline) attemptEnded(now relay.Seconds, event relay.AttemptEnded) {
	b.inFlight[event.Endpoint]--
	request := b.requests[event.Request]
	switch {
	case request == nil:
	case event.RequestFinished || event.Outcome == relay.Succeeded:
		delete(b.requests, event.Request)
	default:
		request.mayHaveRun = request.mayHaveRun || !event.Outcome.NeverRan()
		b.route(now, request)
	}
}

func (b *baseline) listUpdated(update relay.ListUpdate) {
	if update.Kind == relay.ListFetchFailed {
		return
	}
	if update.Kind != relay.ListDelta {
		b.endpoints = b.endpoints[:0]
	}
	for _, endpoint := range update.Endpoints {
		b.setEndpoint(endpoint)
	}
}

// setEndpoint replaces an endpoint's entry, or adds it.
func (b *baseline) setEndpoint(endpoint relay.Endpoint) {
	for i := range b.endpoints {
		if b.endpoints[i].ID == endpoint.ID {
			b.endpoints[i] = endpoint
			return
		}
	}
	b.endpoints = append(b.endpoints, endpoint)
}

// route sends the next attempt of a request. If none is safe, possible or in time, it ends the request.
func (b *baseline) route(now relay.Seconds, request *baselineRequest) {
	isSafe := !request.mayHaveRun || b.settings.Classes[request.Class].Idempotency == relay.Idempotent
	timeout := request.Deadline - now - deadlineSlack
	picked := b.pick(request)
	if picked == nil || !isSafe || request.attempts >= maxBaselineAttempts || timeout <= 0 {
		delete(b.requests, request.ID)
		if isSafe {
			b.commands = append(b.commands, relay.Reject{Request: request.ID})
		} else {
			b.commands = append(b.commands, relay.Fail{Request: request.ID})
		}
		return
	}
	request.attempts++
	request.tried[picked.ID] = true
	b.inFlight[picked.ID]++
	b.commands = append(b.commands, relay.SendAttempt{Request: request.ID, Endpoint: picked.ID, Timeout: timeout})
}

// pick returns a ready endpoint to which the request has not been sent yet; nil if there is none.
func (b *baseline) pick(request *baselineRequest) (picked *relay.Endpoint) {
	candidates := 0
	for i := range b.endpoints {
		candidate := &b.endpoints[i]
		if candidate.State != relay.Ready || request.tried[candidate.ID] {
			continue
		}
		candidates++
		if picked == nil || b.replacesPicked(candidate, picked, candidates) {
			picked = candidate
		}
	}
	return picked
}

// replacesPicked reports whether the candidate, the candidates-th so far, replaces the endpoint picked before. With random
// picks, this is reservoir sampling: each candidate is equally likely in the end.
func (b *baseline) replacesPicked(candidate, picked *relay.Endpoint, candidates int) bool {
	if b.leastInFlight {
		return b.inFlight[candidate.ID] < b.inFlight[picked.ID]
	}
	return b.random.Intn(candidates) == 0
}
