package policy

import (
	"testing"

	"lichenroad/relay"
)

// attemptsAtBuild has a hundred relays with a few requests each, and counts their attempts at endpoints of one build.
func attemptsAtBuild(t *testing.T, queries int, build relay.Build, endpoints []relay.Endpoint, status relay.RolloutStatus) (attempts int) {
	set := plainSettings()
	set.Relays = 100
	for seed := int64(0); seed < 100; seed++ {
		w := newWorld(t, set)
		w.mod = New(set, seed)
		w.now = 10
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: endpoints}, status)
		w.now += 0.1
		w.step(relay.TimerFired{ID: 1})
		for i := 0; i < queries; i++ {
			w.step(w.newRequest(0, 0))
		}
		attempts += w.attemptsAt(build, w.sent)
	}
	return attempts
}

// canaryRun puts a build of newUnits endpoints on trial beside eight earlier ones; each attempt ends as how says.
func canaryRun(t *testing.T, newUnits int, how attemptEnding) []relay.Vote {
	return canaryOf(t, entries(newUnits, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4}, 14, how).votes
}

// canaryOf does so with these endpoints and status for a while; attempts sent before that are forgotten.
func canaryOf(t *testing.T, newer []relay.Endpoint, status relay.RolloutStatus, span relay.Seconds, how attemptEnding) *world {
	w := newWorld(t, plainSettings())
	w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome {
		o, took := how(attempt.endpoint, w.now)
		attempt.end = w.now + took
		return o
	}
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
		relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
	w.run(12, w.load)
	w.sent = nil
	w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: newer}, status)
	w.run(span, w.load)
	return w
}

// load is a request each tick.
func (w *world) load() []relay.Event { return []relay.Event{w.newRequest(0, 0)} }

// started is endpoints that start at a time.
func started(es []relay.Endpoint, at relay.Seconds) []relay.Endpoint {
	for i := range es {
		es[i].StartKnown, es[i].StartedAt = true, at
	}
	return es
}

func rolledBack(votes []relay.Vote) bool {
	for _, v := range votes {
		if v.Verdict == relay.VoteRollBack {
			return true
		}
	}
	return false
}

// ending says how an attempt sent to an endpoint at some time ends, and after how long.
type attemptEnding func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds)

// fails lets every kth attempt that hits fail after took; all others are answered.
func fails(k int, took relay.Seconds, hits func(u relay.Endpoint) bool) attemptEnding {
	n := 0
	return func(u relay.Endpoint, _ relay.Seconds) (relay.Outcome, relay.Seconds) {
		if hits(u) {
			if n++; n%k == 0 {
				return relay.Errored, took
			}
		}
		return relay.Succeeded, 0.1
	}
}
