package policy

import (
	"testing"

	"pgregory.net/rapid"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// TestRulesHold delivers random valid events under random settings; world checks the rules after every step.
func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, drawSettings(t))
		outcomes := []relay.Outcome{relay.Succeeded, relay.Succeeded, relay.Succeeded, relay.Errored, relay.RejectedByEndpoint,
			relay.TimedOut, relay.ConnectFailed, relay.ConnectionBroken, relay.Cancelled, relay.NotSent}
		w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome {
			attempt.end = w.now + rapid.Float64Range(0.001, 4).Draw(t, "duration")
			return rapid.SampledFrom(outcomes).Draw(t, "outcome")
		}
		build, stage, phase := relay.Build(5), relay.Stage(0), relay.PhaseReleased
		status := func() relay.RolloutStatus {
			current := relay.RolloutStatus{Valid: true, Build: build, Stage: stage, Phase: phase, ExposureLimit: 1}
			if limits := w.settings.Rollout.ExposureLimits; phase == relay.PhaseCanary {
				current.ExposureLimit = limits[min(int(stage), len(limits)-1)]
			} else if phase != relay.PhaseReleased {
				current.ExposureLimit = 0
			}
			return current
		}
		w.step(relay.ListUpdate{Kind: relay.ListCached, Endpoints: entries(6, 5, 1)}, status())
		for i := rapid.IntRange(20, 120).Draw(t, "steps"); i > 0; i-- {
			w.now += rapid.SampledFrom([]float64{0.005, 0.01, 0.01, 0.015}).Draw(t, "interval")
			events := w.dueEvents()
			for j := rapid.IntRange(0, 6).Draw(t, "requests"); j > 0; j-- {
				request := w.newRequest(relay.RequestClass(rapid.IntRange(0, 2).Draw(t, "class")),
					relay.Key(rapid.IntRange(0, 4).Draw(t, "key")))
				request.Deadline = w.now + rapid.Float64Range(0.001, 3).Draw(t, "time to deadline")
				events = append(events, request)
			}
			switch rapid.IntRange(0, 9).Draw(t, "other event") {
			case 0:
				list := entries(2, build, rapid.IntRange(1, 12).Draw(t, "first endpoint"))
				for k := range list {
					list[k].Build += relay.Build(rapid.IntRange(-1, 1).Draw(t, "build offset"))
					list[k].State = relay.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
					list[k].StartKnown = rapid.Bool().Draw(t, "start known")
					list[k].StartedAt = w.now - rapid.Float64Range(0, 6).Draw(t, "age")
				}
				kind := rapid.SampledFrom([]relay.ListUpdateKind{relay.ListDelta, relay.ListDelta, relay.ListFull,
					relay.ListFetchFailed, relay.ListWatchStalled}).Draw(t, "kind of update")
				if kind == relay.ListFetchFailed || kind == relay.ListWatchStalled {
					list = nil
				}
				events = append(events, relay.ListUpdate{Kind: kind, Endpoints: list})
			case 1:
				switch rapid.IntRange(0, 3).Draw(t, "status") {
				case 0:
					build, stage, phase = build+1, 0, relay.PhaseCanary
				case 1:
					stage = relay.Stage(rapid.IntRange(int(stage), 3).Draw(t, "stage"))
				default:
					nextPhases := map[relay.Phase][]relay.Phase{relay.PhaseCanary: {relay.PhaseCanary, relay.PhaseRollingBack, relay.PhaseReleased},
						relay.PhaseRollingBack: {relay.PhaseWithdrawn}, relay.PhaseReleased: {relay.PhaseReleased, relay.PhaseRollingBack},
						relay.PhaseWithdrawn: {relay.PhaseWithdrawn}}
					phase = rapid.SampledFrom(nextPhases[phase]).Draw(t, "phase")
				}
				current := status()
				current.Reply = relay.VoteReply(rapid.IntRange(0, 3).Draw(t, "reply"))
				events = append(events, current)
			case 4:
				scope := relay.CanaryScope{Build: build - relay.Build(rapid.IntRange(0, 1).Draw(t, "scope of an earlier build")), GroupOfTenant: []int{0, -1, 1, 5},
					GroupOpen: make([]bool, rapid.IntRange(0, 3).Draw(t, "number of groups"))}
				for group := range scope.GroupOpen {
					scope.GroupOpen[group] = rapid.Bool().Draw(t, "group open")
				}
				events = append(events, scope)
			case 2:
				report := peerwire.Report{Build: build, Stage: stage, Verdicts: make([]peerwire.ClassVerdict, 3),
					Observations: []peerwire.Observation{{Endpoint: peerwire.HashOf(3), Outcome: relay.Errored}, {Endpoint: 77, Class: 9}}}
				decision := peerwire.Decision{Build: build, Stage: stage, Verdict: relay.Verdict(rapid.IntRange(0, 3).Draw(t, "verdict")),
					Ratios: make([]float64, 20)}
				events = append(events, relay.MessageReceived{From: 1, Body: report.Encode()}, relay.MessageReceived{From: 0, Body: decision.Encode()},
					relay.MessageReceived{From: 1, Body: report.Encode()[:9]}, relay.MessageReceived{From: 99, Body: []byte{1}},
					relay.RolloutStatus{Reply: relay.ReplyMaybeCounted}, relay.ReportedCounts{}, relay.MisreportedOutcome{}, relay.HealthCheckEnded{})
			case 3:
				for id := relay.RequestID(0); id < w.nextID; id++ {
					if request := w.requests[id]; request != nil && !request.finished && len(request.attempts) > 0 {
						events = append(events, relay.ClientDisconnected{Request: id}, relay.ClientDisconnected{Request: 1 << 30})
						break
					}
				}
			}
			w.step(events...)
		}
		w.run(5, nil)
	})
}
