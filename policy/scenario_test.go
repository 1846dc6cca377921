package policy

import (
	"testing"

	"lichenroad/relay"
)

// attemptsAtBuild simulates a hundred relays that get a few requests each, and counts their attempts at endpoints of one
// build.
func attemptsAtBuild(t *testing.T, requests int, build relay.Build, endpoints []relay.Endpoint, status relay.RolloutStatus) (attempts int) {
	settings := testSettings()
	settings.Relays = 100
	for seed := int64(0); seed < 100; seed++ {
		w := newWorld(t, settings)
		w.policy = New(settings, seed)
		w.now = 10
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: endpoints}, status)
		w.now += 0.1
		w.step(relay.TimerFired{ID: 1})
		for i := 0; i < requests; i++ {
			w.step(w.newRequest(0, 0))
		}
		attempts += w.attemptsAt(build, w.sent)
	}
	return attempts
}

// canaryVotes puts a build on trial that runs on newEndpoints endpoints, beside eight of the earlier build, and returns
// the votes cast.
func canaryVotes(t *testing.T, newEndpoints int, ending attemptEnding) []relay.Vote {
	return runCanary(t, entries(newEndpoints, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4}, 14, ending).votes
}

// runCanary first runs eight endpoints of the released build 5 for 12 s, which is one evidence window. It then adds the
// newer endpoints, delivers the status and runs for the span. The sent attempts of the returned world are those of that
// span only. The ending determines how attempts end.
func runCanary(t *testing.T, newer []relay.Endpoint, status relay.RolloutStatus, span relay.Seconds, ending attemptEnding) *world {
	w := newWorld(t, testSettings())
	w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome {
		outcome, duration := ending(attempt.endpoint, w.now)
		attempt.end = w.now + duration
		return outcome
	}
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
		relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
	w.run(12, w.requestEachTick)
	w.sent = nil
	w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: newer}, status)
	w.run(span, w.requestEachTick)
	return w
}

// requestEachTick is a function for run that sends one request in each tick.
func (w *world) requestEachTick() []relay.Event { return []relay.Event{w.newRequest(0, 0)} }

// startedAt sets the start time of list entries.
func startedAt(list []relay.Endpoint, at relay.Seconds) []relay.Endpoint {
	for i := range list {
		list[i].StartKnown, list[i].StartedAt = true, at
	}
	return list
}

func votedToRollBack(votes []relay.Vote) bool {
	for _, vote := range votes {
		if vote.Verdict == relay.VoteRollBack {
			return true
		}
	}
	return false
}

// attemptEnding returns the outcome and the duration of an attempt that is sent to an endpoint at some time.
type attemptEnding func(endpoint relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds)

// failEvery lets every kth attempt at a matching endpoint fail after the duration. All other attempts succeed.
func failEvery(k int, duration relay.Seconds, matches func(endpoint relay.Endpoint) bool) attemptEnding {
	n := 0
	return func(endpoint relay.Endpoint, _ relay.Seconds) (relay.Outcome, relay.Seconds) {
		if matches(endpoint) {
			if n++; n%k == 0 {
				return relay.Errored, duration
			}
		}
		return relay.Succeeded, 0.1
	}
}
