package policy

import (
	"testing"

	"lichenroad/relay"
)

// TestSlowStartEndpointIsWithheld lets unlike relays share a fleet in which endpoints start cold, and adds up all they send.
func TestSlowStartEndpointIsWithheld(t *testing.T) {
	small := []float64{30, 10, 10} // requests a second of each relay, and of a hundred small ones
	for i := 0; i < 100; i++ {
		small = append(small, 0.3)
	}
	for _, rates := range [][]float64{{60, 15, 5}, small} {
		checkSlowStart(t, rates)
	}
}

func checkSlowStart(t *testing.T, rates []float64) {
	set := plainSettings()
	set.Relays = len(rates)
	const fleet, capacity = 8, 80.0 / 8 / 0.65
	var worlds []*world
	es := entries(fleet, 5, 1)
	for i := range rates {
		set.Self = relay.ID(i)
		w := newWorld(t, set)
		w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome { // the endpoint that will start anew is by far the quickest
			if attempt.end = w.now + 0.5; attempt.endpoint.ID == 1 {
				attempt.end = w.now + 0.02
			}
			return relay.Succeeded
		}
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: es},
			relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
		worlds = append(worlds, w)
	}
	feed := func(span relay.Seconds) {
		for i, w := range worlds {
			credit := 0.0
			w.run(span, func() (out []relay.Event) {
				for credit += rates[i] * 0.01; credit >= 1; credit-- {
					out = append(out, w.newRequest(0, 0))
				}
				return out
			})
		}
	}
	feed(4)
	es[0].StartKnown, es[0].StartedAt = true, worlds[0].now // it starts anew, idle, as the cheapest of all
	for _, w := range worlds {
		w.sent = nil
		w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: es[:1]})
	}
	feed(set.Rules.OverloadWindow)
	sent := 0.0
	for _, w := range worlds {
		for _, o := range w.sent {
			if o.Endpoint == es[0].ID {
				sent++
			}
		}
	}
	maxCount := set.Rules.OverloadMultiple * set.Rules.SlowStartFloor * capacity * set.Rules.OverloadWindow
	if sent > maxCount || sent == 0 {
		t.Errorf("%v attempts to the cold endpoint, at most %v bearable", sent, maxCount)
	}
}

// Small relays held a first attempt each for a cold endpoint; when a build was rolled back, they all sent it to the first one.
func TestFirstAttemptNeedsAChoice(t *testing.T) {
	cold := entries(1, 5, 1)
	cold[0].StartKnown, cold[0].StartedAt = true, 10
	gone := relay.RolloutStatus{Valid: true, Build: 6, Stage: 3, Phase: relay.PhaseRollingBack}
	if n := attemptsAtBuild(t, 1, 5, append(entries(8, 6, 20), cold...), gone); n > 0 {
		t.Errorf("%d of 100 relays sent to the only cold endpoint at once", n)
	}
	if n := attemptsAtBuild(t, 1, 5, append(entries(1, 5, 2), cold...), gone); n < 100 {
		t.Errorf("only %d of 100 relays sent where there was a warm endpoint", n)
	}
}
