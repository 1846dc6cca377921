package policy

import (
	"testing"

	"lichenroad/relay"
)

// TestWarmingEndpointIsNotOverloaded lets relays with different request rates share a fleet in which an endpoint restarts,
// and checks the sum of the attempts that they send to it.
func TestWarmingEndpointIsNotOverloaded(t *testing.T) {
	withSmallRelays := []float64{30, 10, 10} // rates of three relays; a hundred small ones follow
	for i := 0; i < 100; i++ {
		withSmallRelays = append(withSmallRelays, 0.3)
	}
	for _, rates := range [][]float64{{60, 15, 5}, withSmallRelays} {
		checkSlowStart(t, rates)
	}
}

// checkSlowStart simulates one relay for each of the request rates, which are in requests per second.
func checkSlowStart(t *testing.T, rates []float64) {
	settings := testSettings()
	settings.Relays = len(rates)
	// capacity is in requests per second: 80 requests per second use 65% of all endpoints' capacity.
	const endpointCount, capacity = 8, 80.0 / 8 / 0.65
	var worlds []*world
	list := entries(endpointCount, 5, 1)
	for i := range rates {
		settings.Self = relay.ID(i)
		w := newWorld(t, settings)
		w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome { // fastest where it will restart
			if attempt.end = w.now + 0.5; attempt.endpoint.ID == 1 {
				attempt.end = w.now + 0.02
			}
			return relay.Succeeded
		}
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: list},
			relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
		worlds = append(worlds, w)
	}
	runAll := func(span relay.Seconds) {
		for i, w := range worlds {
			dueRequests := 0.0
			w.run(span, func() (out []relay.Event) {
				for dueRequests += rates[i] * 0.01; dueRequests >= 1; dueRequests-- {
					out = append(out, w.newRequest(0, 0))
				}
				return out
			})
		}
	}
	runAll(4)
	list[0].StartKnown, list[0].StartedAt = true, worlds[0].now // it restarts and is idle, with the lowest cost of all
	for _, w := range worlds {
		w.sent = nil
		w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: list[:1]})
	}
	runAll(settings.Rules.OverloadWindow)
	sent := 0.0
	for _, w := range worlds {
		for _, attempt := range w.sent {
			if attempt.Endpoint == list[0].ID {
				sent++
			}
		}
	}
	maxAttempts := settings.Rules.OverloadMultiple * settings.Rules.SlowStartFloor * capacity * settings.Rules.OverloadWindow
	if sent > maxAttempts || sent == 0 {
		t.Errorf("%v attempts at the warming endpoint, which can take at most %v", sent, maxAttempts)
	}
}

// A relay with little traffic may send a warming endpoint one attempt ahead of the slow-start budget. When a build was
// rolled back and a single warming endpoint was left, all relays used to send it that attempt at once.
func TestFirstAttemptNeedsUsableEndpoints(t *testing.T) {
	warming := entries(1, 5, 1)
	warming[0].StartKnown, warming[0].StartedAt = true, 10
	rollingBack := relay.RolloutStatus{Valid: true, Build: 6, Stage: 3, Phase: relay.PhaseRollingBack}
	if n := attemptsAtBuild(t, 1, 5, append(entries(8, 6, 20), warming...), rollingBack); n > 0 {
		t.Errorf("%d of 100 relays sent an attempt to the only endpoint while it was warming", n)
	}
	if n := attemptsAtBuild(t, 1, 5, append(entries(1, 5, 2), warming...), rollingBack); n < 100 {
		t.Errorf("only %d of 100 relays sent an attempt though an endpoint past its slow start was ready", n)
	}
}
