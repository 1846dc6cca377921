package policy

import (
	"fmt"
	"math"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/membership"
	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// TestRulesHold plays random legal events under random settings and checks the rules after every step.
func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, drawSettings(t))
		outcomes := []relay.Outcome{relay.Succeeded, relay.Succeeded, relay.Succeeded, relay.Errored, relay.RejectedByEndpoint,
			relay.TimedOut, relay.ConnectFailed, relay.ConnectionBroken, relay.Cancelled, relay.NotSent}
		w.outcomeOf = func(_ *worldRequest, l *worldAttempt) relay.Outcome {
			l.end = w.now + rapid.Float64Range(0.001, 4).Draw(t, "took")
			return rapid.SampledFrom(outcomes).Draw(t, "outcome")
		}
		build, stage, phase := relay.Build(5), relay.Stage(0), relay.PhaseReleased
		news := func() relay.RolloutStatus {
			n := relay.RolloutStatus{Valid: true, Build: build, Stage: stage, Phase: phase, ExposureLimit: 1}
			if c := w.set.Rollout.ExposureLimits; phase == relay.PhaseCanary {
				n.ExposureLimit = c[min(int(stage), len(c)-1)]
			} else if phase != relay.PhaseReleased {
				n.ExposureLimit = 0
			}
			return n
		}
		w.step(relay.ListUpdate{Kind: relay.ListCached, Endpoints: entries(6, 5, 1)}, news())
		for i := rapid.IntRange(20, 120).Draw(t, "steps"); i > 0; i-- {
			w.now += rapid.SampledFrom([]float64{0.005, 0.01, 0.01, 0.015}).Draw(t, "dt")
			events := w.due()
			for j := rapid.IntRange(0, 6).Draw(t, "queries"); j > 0; j-- {
				q := w.newRequest(relay.RequestClass(rapid.IntRange(0, 2).Draw(t, "category")),
					relay.Key(rapid.IntRange(0, 4).Draw(t, "key")))
				q.Deadline = w.now + rapid.Float64Range(0.001, 3).Draw(t, "patience")
				events = append(events, q)
			}
			switch rapid.IntRange(0, 9).Draw(t, "other") {
			case 0:
				es := entries(2, build, rapid.IntRange(1, 12).Draw(t, "unit"))
				for k := range es {
					es[k].Build += relay.Build(rapid.IntRange(-1, 1).Draw(t, "of"))
					es[k].State = relay.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
					es[k].StartKnown = rapid.Bool().Draw(t, "started")
					es[k].StartedAt = w.now - rapid.Float64Range(0, 6).Draw(t, "age")
				}
				form := rapid.SampledFrom([]relay.ListUpdateKind{relay.ListDelta, relay.ListDelta, relay.ListFull,
					relay.ListFetchFailed, relay.ListWatchStalled}).Draw(t, "form")
				if form == relay.ListFetchFailed || form == relay.ListWatchStalled {
					es = nil
				}
				events = append(events, relay.ListUpdate{Kind: form, Endpoints: es})
			case 1:
				switch rapid.IntRange(0, 3).Draw(t, "news") {
				case 0:
					build, stage, phase = build+1, 0, relay.PhaseCanary
				case 1:
					stage = relay.Stage(rapid.IntRange(int(stage), 3).Draw(t, "stage"))
				default:
					after := map[relay.Phase][]relay.Phase{relay.PhaseCanary: {relay.PhaseCanary, relay.PhaseRollingBack, relay.PhaseReleased},
						relay.PhaseRollingBack: {relay.PhaseWithdrawn}, relay.PhaseReleased: {relay.PhaseReleased, relay.PhaseRollingBack},
						relay.PhaseWithdrawn: {relay.PhaseWithdrawn}}
					phase = rapid.SampledFrom(after[phase]).Draw(t, "phase")
				}
				n := news()
				n.Reply = relay.VoteReply(rapid.IntRange(0, 3).Draw(t, "reply"))
				events = append(events, n)
			case 4:
				s := relay.CanaryScope{Build: build - relay.Build(rapid.IntRange(0, 1).Draw(t, "old")), GroupOfTenant: []int{0, -1, 1, 5},
					GroupOpen: make([]bool, rapid.IntRange(0, 3).Draw(t, "groups"))}
				for g := range s.GroupOpen {
					s.GroupOpen[g] = rapid.Bool().Draw(t, "open")
				}
				events = append(events, s)
			case 2:
				m := peerwire.Report{Build: build, Stage: stage, Verdicts: make([]peerwire.ClassVerdict, 3),
					Observations: []peerwire.Observation{{Endpoint: peerwire.HashOf(3), Outcome: relay.Errored}, {Endpoint: 77, Class: 9}}}
				f := peerwire.Decision{Build: build, Stage: stage, Verdict: relay.Verdict(rapid.IntRange(0, 3).Draw(t, "find")),
					Ratios: make([]float64, 20)}
				events = append(events, relay.MessageReceived{From: 1, Body: m.Encode()}, relay.MessageReceived{From: 0, Body: f.Encode()},
					relay.MessageReceived{From: 1, Body: m.Encode()[:9]}, relay.MessageReceived{From: 99, Body: []byte{1}},
					relay.RolloutStatus{Reply: relay.ReplyMaybeCounted}, relay.ReportedCounts{}, relay.MisreportedOutcome{}, relay.HealthCheckEnded{})
			case 3:
				for id := relay.RequestID(0); id < w.next; id++ {
					if q := w.requests[id]; q != nil && !q.finished && len(q.attempts) > 0 {
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

// TestSlowStartEndpointIsWithheld lets unlike relays share a fleet in which units start cold, and adds up all they send.
func TestSlowStartEndpointIsWithheld(t *testing.T) {
	small := []float64{30, 10, 10} // queries a second of each relay, and of a hundred small ones
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
		set.Self = relay.RelayID(i)
		w := newWorld(t, set)
		w.outcomeOf = func(_ *worldRequest, l *worldAttempt) relay.Outcome { // the unit that will start anew is by far the quickest
			if l.end = w.now + 0.5; l.endpoint.ID == 1 {
				l.end = w.now + 0.02
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
	most := set.Rules.OverloadMultiple * set.Rules.SlowStartFloor * capacity * set.Rules.OverloadWindow
	if sent > most || sent == 0 {
		t.Errorf("%v legs to the cold unit, at most %v bearable", sent, most)
	}
}

// attemptsAtBuild has a hundred relays with a few queries each, and counts their legs at units of one build.
func attemptsAtBuild(t *testing.T, queries int, build relay.Build, units []relay.Endpoint, news relay.RolloutStatus) (legs int) {
	set := plainSettings()
	set.Relays = 100
	for seed := int64(0); seed < 100; seed++ {
		w := newWorld(t, set)
		w.mod = New(set, seed)
		w.now = 10
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: units}, news)
		w.now += 0.1
		w.step(relay.TimerFired{ID: 1})
		for i := 0; i < queries; i++ {
			w.step(w.newRequest(0, 0))
		}
		legs += w.attemptsAt(build, w.sent)
	}
	return legs
}

// Small relays held a first leg each for a cold unit; when a build went back, they all sent it to the first one.
func TestFirstAttemptNeedsAChoice(t *testing.T) {
	cold := entries(1, 5, 1)
	cold[0].StartKnown, cold[0].StartedAt = true, 10
	gone := relay.RolloutStatus{Valid: true, Build: 6, Stage: 3, Phase: relay.PhaseRollingBack}
	if n := attemptsAtBuild(t, 1, 5, append(entries(8, 6, 20), cold...), gone); n > 0 {
		t.Errorf("%d of 100 relays sent to the only cold unit at once", n)
	}
	if n := attemptsAtBuild(t, 1, 5, append(entries(1, 5, 2), cold...), gone); n < 100 {
		t.Errorf("only %d of 100 relays sent where there was a warm unit", n)
	}
}

// Relays without news of a build sent its first units all of the legs that the rule leaves uncounted.
func TestTargetBindsBeforeTheStatus(t *testing.T) {
	units := append(entries(30, 5, 1), entries(1, 6, 40)...)
	news := relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1}
	if n := attemptsAtBuild(t, 5, 6, units, news); n > 40 {
		t.Errorf("%d of 500 legs went to the unit of a build not named yet", n)
	}
}

func TestLikelihoodRatio(t *testing.T) {
	// 20 outcomes, 4 categories: Pd = 20/40, Pf = 0.01/4; flagged 0.5/0.0025 = 200, clean 0.5/0.9975.
	if got := math.Exp(logRatio(true, 20, 4)); math.Abs(got-200) > 1e-9 {
		t.Error("flagged:", got)
	}
	if got := math.Exp(logRatio(false, 20, 4)); math.Abs(got-0.5/0.9975) > 1e-12 {
		t.Error("clean:", got)
	}
}

func TestFlag(t *testing.T) {
	before := outcomeCounts{attempts: 2000, failed: 20, measured: 2000}
	for name, c := range map[string]struct {
		newer  outcomeCounts
		pooled bool
		want   bool
	}{
		"ten of forty failed":           {outcomeCounts{attempts: 40, failed: 10}, false, true},
		"too few outcomes":              {outcomeCounts{attempts: 19, failed: 19}, false, false},
		"a few against none, one relay": {outcomeCounts{attempts: 20, failed: 2}, false, false},
		"under five points":             {outcomeCounts{attempts: 400, failed: 16}, false, false},
		"the same, pooled":              {outcomeCounts{attempts: 400, failed: 16}, true, true},
		"pooled, few failures":          {outcomeCounts{attempts: 60, failed: 4}, true, false},
		"late":                          {outcomeCounts{attempts: 50, late: 10}, false, true},
		"twice as slow, few legs":       {outcomeCounts{attempts: 100, matched: 40, relative: logRatioSum{28, 30}}, true, false},
		"twice as slow, many":           {outcomeCounts{attempts: 100, matched: 80, relative: logRatioSum{56, 60}}, true, true},
		"as slow as the hour": {outcomeCounts{attempts: 100, measured: 80, overall: logRatioSum{56, 60}, matched: 80,
			relative: logRatioSum{6, 30}}, true, false},
		"half as slow again, as a good one under more load": {outcomeCounts{attempts: 100, matched: 80,
			relative: logRatioSum{32, 30}}, true, false},
	} {
		compared := comparison{newest: c.newer, earlier: before}
		got := compared.flagged()
		if c.pooled {
			got = compared.pooledFlagged()
		}
		if got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// word is what a relay tells in one report.
type testReport struct {
	peerwire.ClassVerdict
	observations []peerwire.Observation
}

// aggregating returns a module that fuses at stage 1 of build 6, and hears the given verdicts of category 0.
func aggregating(verdicts ...testReport) *Policy {
	set := plainSettings()
	set.Relays = 4
	p := New(set, 1)
	p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(6, 5, 1), entries(2, 6, 20)...)},
		relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4}})
	for i, v := range verdicts {
		m := peerwire.Report{Build: 6, Stage: 1, Verdicts: []peerwire.ClassVerdict{v.ClassVerdict, {}, {}}, Observations: v.observations}
		p.Step(1, []relay.Event{relay.MessageReceived{From: relay.RelayID(i), Body: m.Encode()}})
	}
	return p
}

func TestFusion(t *testing.T) {
	clean, bad := testReport{ClassVerdict: peerwire.ClassVerdict{Outcomes: 30}}, testReport{ClassVerdict: peerwire.ClassVerdict{Flagged: true, Outcomes: 30}}
	few := testReport{} // ten legs at two units of the newest build, of which three fail; forty at an earlier one
	for i := 0; i < 50; i++ {
		observed := peerwire.Observation{Endpoint: peerwire.HashOf(1)}
		if i < 10 {
			observed = peerwire.Observation{Endpoint: peerwire.HashOf(relay.EndpointID(20 + i%2)), Newest: true}
		}
		if i < 9 && i%3 == 0 {
			observed.Outcome = relay.Errored
		}
		few.observations = append(few.observations, observed)
	}
	for name, c := range map[string]struct {
		verdicts []testReport
		back     bool
	}{
		"all clean":                              {[]testReport{clean, clean, clean}, false},
		"one flagger is not enough":              {[]testReport{bad, clean, clean}, false},
		"two are":                                {[]testReport{bad, bad, clean}, true},
		"none has enough outcomes, together yes": {[]testReport{few, few, few}, true},
	} {
		p := aggregating(c.verdicts...)
		p.aggregator.cleanAt = p.now - pooledFlagDuration - 1 // as if any pooled flag had lasted
		if back := p.aggregator.fuse().rollBack; back != c.back {
			t.Errorf("%s: back %v", name, back)
		}
	}
}

// A query whose patience ends before the next tick was held until it was lost.
func TestShortDeadlineIsAnswered(t *testing.T) {
	w := newWorld(t, plainSettings())
	w.step(relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
	q := w.newRequest(0, 0)
	q.Deadline = w.now + 0.01
	w.step(q)
	if !w.requests[q.ID].finished {
		t.Error("held, with no unit to send it to")
	}
}

// With no unit of the build listed yet, aggregators voted it on until it was the whole fleet.
func TestNoPromotionBeforeEndpointsAreListed(t *testing.T) {
	w := newWorld(t, plainSettings())
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
		relay.RolloutStatus{Valid: true, Build: 6, ExposureLimit: 0.1})
	load := func() []relay.Event { return []relay.Event{w.newRequest(0, 0)} }
	w.run(12, load)
	if len(w.votes) > 0 {
		t.Fatal("voted", w.votes)
	}
	w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(1, 6, 20)})
	w.run(6, load)
	if len(w.votes) == 0 || w.votes[0].Verdict != relay.VotePromote {
		t.Error("no vote on once the unit was listed and clean:", w.votes)
	}
}

// Legs that one unit swallowed filled the gate's limit, and it denied what the others could answer.
func TestUnansweredAttemptsDoNotStopAdmission(t *testing.T) {
	w := newWorld(t, plainSettings())
	w.outcomeOf = func(_ *worldRequest, l *worldAttempt) relay.Outcome {
		if l.endpoint.ID == 1 {
			l.end = w.now + 100
		}
		return relay.Succeeded
	}
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
		relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
	w.run(20, func() (out []relay.Event) {
		if int(w.now*100)%4 == 0 {
			out = append(out, w.newRequest(2, 0))
		}
		return out
	})
	if w.rejected > 5 {
		t.Errorf("%d of %d denied", w.rejected, w.next)
	}
}

// canaryRun puts a build of newUnits units on trial beside eight earlier ones; each leg ends as how says.
func canaryRun(t *testing.T, newUnits int, how attemptEnding) []relay.Vote {
	return canaryOf(t, entries(newUnits, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4}, 14, how).votes
}

// canaryOf does so with these units and news for a while; legs sent before that are forgotten.
func canaryOf(t *testing.T, newer []relay.Endpoint, news relay.RolloutStatus, span relay.Seconds, how attemptEnding) *world {
	w := newWorld(t, plainSettings())
	w.outcomeOf = func(_ *worldRequest, l *worldAttempt) relay.Outcome {
		o, took := how(l.endpoint, w.now)
		l.end = w.now + took
		return o
	}
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
		relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
	w.run(12, w.load)
	w.sent = nil
	w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: newer}, news)
	w.run(span, w.load)
	return w
}

// load is a query each tick.
func (w *world) load() []relay.Event { return []relay.Event{w.newRequest(0, 0)} }

// started is units that start at a time.
func started(es []relay.Endpoint, at relay.Seconds) []relay.Endpoint {
	for i := range es {
		es[i].StartKnown, es[i].StartedAt = true, at
	}
	return es
}

func back(votes []relay.Vote) bool {
	for _, v := range votes {
		if v.Verdict == relay.VoteRollBack {
			return true
		}
	}
	return false
}

// ending says how a leg sent to a unit at some time ends, and after how long.
type attemptEnding func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds)

// fails lets every kth leg that hits fail after took; all others are answered.
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

func TestWhichBuildsAreRolledBack(t *testing.T) {
	newest := func(u relay.Endpoint) bool { return u.Build == 6 }
	for name, c := range map[string]struct {
		units int
		how   attemptEnding
		want  bool
	}{
		"a good one stays":                            {3, fails(1, 0, func(relay.Endpoint) bool { return false }), false},
		"one that fails a tenth goes":                 {3, fails(10, 0.1, newest), true},
		"its only unit's faults may be the machine's": {1, fails(3, 0.1, newest), false},
		"one failing machine of four is not the build": {4, fails(2, 0.05, func(u relay.Endpoint) bool {
			return u.ID == 20
		}), false},
		"one under which all units slow goes": {3, func(_ relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if at > 14 {
				return relay.Succeeded, 0.3
			}
			return relay.Succeeded, 0.1
		}, true},
	} {
		if got := back(canaryRun(t, c.units, c.how)); got != c.want {
			t.Errorf("%s: voted back %v", name, got)
		}
	}
}

// Failures of units under 5 s old were no evidence, and a build was released before its units were older.
func TestYoungEndpoints(t *testing.T) {
	newest := func(u relay.Endpoint) bool { return u.Build == 6 }
	for name, c := range map[string]struct {
		how  attemptEnding
		want bool
	}{
		"their failures count": {fails(5, 0.1, newest), true},
		"their slowness does not": {func(u relay.Endpoint, _ relay.Seconds) (relay.Outcome, relay.Seconds) {
			if newest(u) {
				return relay.Succeeded, 0.3
			}
			return relay.Succeeded, 0.1
		}, false},
	} {
		w := canaryOf(t, started(entries(4, 6, 20), 12), relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 3.9, c.how)
		if got := back(w.votes); got != c.want {
			t.Errorf("%s: voted back %v", name, got)
		}
	}
}

// A bucket of one leg cut the build's share of the legs to half of what the design gives it.
func TestCanaryTargetIsReached(t *testing.T) {
	w := canaryOf(t, entries(8, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 4, fails(1, 0,
		func(relay.Endpoint) bool { return false }))
	if legs := w.attemptsAt(6, w.sent); 2*legs < len(w.sent) {
		t.Errorf("%d of %d legs went to half of the units", legs, len(w.sent))
	}
}

// A build that turned bad some seconds after its start was released before, and there was nothing to go back to.
func TestLastStageWaits(t *testing.T) {
	good := fails(1, 0, func(relay.Endpoint) bool { return false })
	released := func(w *world) bool {
		for _, v := range w.votes {
			if v.Verdict == relay.VotePromote {
				return true
			}
		}
		return false
	}
	last := relay.RolloutStatus{Valid: true, Build: 6, Stage: 3, ExposureLimit: 1}
	if w := canaryOf(t, started(entries(8, 6, 20), 11), last, lateFaultAge-1, good); released(w) {
		t.Error("released before its first machines were old")
	} else if w.run(2.5, w.load); !released(w) {
		t.Error("not released when many legs had shown them well beyond the age at which builds turn bad")
	}
	w := canaryOf(t, started(entries(8, 6, 20), 11), last, 0, good)
	if w.run(matureAge-2, w.thin(20)); released(w) { // too few legs at that age: some seconds more
		t.Error("released on a handful of legs")
	} else if w.run(2, w.thin(20)); !released(w) {
		t.Error("not released at the latest age")
	}
	// The next build is due: it would end the trial.
	w = canaryOf(t, nil, relay.RolloutStatus{Valid: true, Build: 6, Phase: relay.PhaseWithdrawn}, 8, good)
	w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: started(entries(8, 7, 20), w.now)},
		relay.RolloutStatus{Valid: true, Build: 7, Stage: 3, ExposureLimit: 1})
	if w.run(8, w.load); !released(w) {
		t.Error("not released before the next build was due")
	}
}

// The failures of a build that turned bad were lost among the legs that it had answered well before.
func TestBuildThatTurnsBad(t *testing.T) {
	n := 0
	w := canaryOf(t, entries(8, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 14.5,
		func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if u.Build == 6 && at > 22 {
				if n++; n%20 == 0 {
					return relay.Errored, 0.1
				}
			}
			return relay.Succeeded, 0.1
		})
	if !back(w.votes) {
		t.Error("a twentieth of its legs has failed for 4.5 s, and it stays")
	}
}

// The eldest machines of a build turned bad, and fresh ones, many times as many, hid them for seconds.
func TestOldestMachinesShowABuildThatTurnsBad(t *testing.T) {
	n := 0
	newer := append(started(entries(4, 6, 20), 11), started(entries(12, 6, 40), 16)...)
	w := canaryOf(t, newer, relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 8.5,
		func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if u.Build == 6 && at-u.StartedAt > 6 {
				if n++; n%5 == 0 {
					return relay.Errored, 0.1
				}
			}
			return relay.Succeeded, 0.1
		})
	if !back(w.votes) {
		t.Error("a fifth of the eldest machines' legs has failed for 3.5 s, and it stays")
	}
}

// TestFleetThatABadBuildSlows releases a build that then fails and slows down, too late to be sent back, and offers the
// next one, which is good: that the whole fleet gets slower is not its doing, and it is the way out. A fleet that slows
// with no such build in service is the trial's.
func TestFleetThatABadBuildSlows(t *testing.T) {
	for _, failing := range []bool{true, false} {
		n := 0
		w := canaryOf(t, entries(8, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 3, Phase: relay.PhaseReleased, ExposureLimit: 1}, 14,
			func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
				if n++; failing && u.Build == 6 && at > 22 && n%8 == 0 {
					return relay.Errored, 0.1
				}
				if at > 28 {
					return relay.Succeeded, 0.1 * min(4, 1+(at-28)/2)
				}
				return relay.Succeeded, 0.1
			})
		w.votes = nil
		w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(4, 7, 40)},
			relay.RolloutStatus{Valid: true, Build: 7, Stage: 1, ExposureLimit: 0.4})
		w.run(16, w.load)
		if got := back(w.votes); got == failing {
			t.Errorf("the build before fails %v: voted back %v", failing, got)
		}
	}
}

// TestScopeKeepsGroupsApart sends queries of three customers while a scope opens one of two groups: only its queries
// meet the build, within the cap of their own number, whatever the others send, and builds after it none.
func TestScopeKeepsGroupsApart(t *testing.T) {
	set := plainSettings()
	set.Rollout.ExposureLimits = []float64{0.25, 1}
	set.Tenants = []relay.TenantSettings{{TrafficShare: 0.2}, {TrafficShare: 0.4}, {TrafficShare: 0.4}}
	for _, scoped := range []bool{true, false} {
		w := newWorld(t, set)
		entry := func(id relay.EndpointID, b relay.Build) relay.Endpoint {
			return relay.Endpoint{ID: id, Build: b, State: relay.Ready}
		}
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: []relay.Endpoint{entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 3)}},
			relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseCanary, ExposureLimit: 0.25})
		if scoped {
			w.step(relay.CanaryScope{Build: 2, GroupOfTenant: []int{0, 1, -1}, GroupOpen: []bool{true, false}})
		}
		legs, asked := [3]float64{}, [3]float64{}
		for i := range 4000 {
			customer := relay.Tenant(i % 3)
			before := len(w.sent)
			w.run(0.01, func() []relay.Event {
				q := w.newRequest(0, 0)
				q.Tenant = customer
				return []relay.Event{q}
			})
			asked[customer]++
			for _, s := range w.sent[before:] {
				if s.Endpoint == 4 && scoped {
					t.Fatal("a leg at a build after the scope's")
				}
				if s.Endpoint == 3 {
					legs[customer]++
				}
			}
		}
		if scoped && (legs[1] > 0 || legs[2] > 0 || legs[0] < 50 || legs[0] > 0.25*asked[0]+1) {
			t.Errorf("legs on trial by customer: %v of %v", legs, asked)
		}
		if !scoped && (legs[1] == 0 || legs[2] == 0) {
			t.Errorf("without a scope: %v", legs)
		}
	}
}

func BenchmarkTrialMay(b *testing.B) {
	for _, scoped := range []bool{false, true} {
		b.Run(fmt.Sprintf("scope=%v", scoped), func(b *testing.B) {
			p := New(plainSettings(), 1)
			p.Step(0, []relay.Event{relay.RolloutStatus{Valid: true, Build: 2, ExposureLimit: 0.5}})
			if scoped {
				p.Step(0, []relay.Event{relay.CanaryScope{Build: 2, GroupOfTenant: []int{0, 1}, GroupOpen: []bool{true, true}}})
			}
			request := &trackedRequest{Request: relay.Request{Tenant: 1}, class: &p.classes[0]}
			b.ReportAllocs()
			for range b.N {
				p.canary.requestArrived(request)
				p.canary.permits(request, 2)
			}
		})
	}
}

// The gate knew its pace from two seconds of answers: after a quiet time it turned a burst away from idle units.
func TestAdmissionOpensInABurst(t *testing.T) {
	p := New(plainSettings(), 1)
	for p.now = 10; p.now < 12; p.now += 0.25 {
		p.admission.answered.Add(p.now, 0, 1) // four a second, due in 1 s
	}
	quiet := p.admission.limit()
	for p.now = 12; p.now < 12.49; p.now += 0.01 {
		p.admission.answered.Add(p.now, 0, 1) // a hundred a second
	}
	burst := p.admission.limit()
	p.now = 13.75 // over, and nothing answered since: the mean of 2 s alone is left
	after, mean := p.admission.limit(), spareRequests+maxObjectiveUsage*p.admission.answered.Total(p.now, 0)/(flowBucketTime*flowBuckets)
	if quiet > spareRequests+4 || burst < spareRequests+20 || after != mean {
		t.Errorf("limit %.1f, in the burst %.1f, after it %.1f of %.1f", quiet, burst, after, mean)
	}
}

// A customer beyond its share met one limit in all categories but the least: a burst, mostly one customer's, was
// served in the order in which it came.
func TestPriorityRanksBeyondAQuota(t *testing.T) {
	set := plainSettings()
	set.Tenants = []relay.TenantSettings{{TrafficShare: 0.5}, {TrafficShare: 0.5}}
	for i := range set.Classes {
		set.Classes[i].PriorityWeight = float64(i + 1)
	}
	p := New(set, 1)
	p.now = 20
	p.admission.answered.Add(19.6, 0, 1000)
	admits := func(customer relay.Tenant, category int) (n int) {
		for ; n < 10000; n++ {
			p.router.openInTime = n
			if p.admission.rejects(&trackedRequest{Request: relay.Request{Tenant: customer, Class: relay.RequestClass(category)}, class: &p.classes[category]}) {
				return n
			}
		}
		return n
	}
	for c := 1; c < len(set.Classes); c++ {
		if less, more := admits(0, c-1), admits(0, c); less >= more {
			t.Errorf("beyond its share, value %d is denied at %d open, value %d at %d", c, less, c+1, more)
		}
		if beyond, within := admits(0, c), admits(1, c); beyond >= within {
			t.Errorf("value %d: denied at %d open beyond a share, at %d within", c+1, beyond, within)
		}
	}
}

// Where eight of ten units failed, the two sound ones got everything and were swamped: a plain balancer did better.
func TestOutliersTakeWhatFewHealthyEndpointsCannotCarry(t *testing.T) {
	for _, c := range []struct {
		sound, open int // sound units, legs that each holds
		repeat      relay.Idempotency
		some, all   bool // suspects get some, or all
	}{
		{2, 0, relay.Idempotent, false, false},
		{2, 30, relay.Idempotent, true, true},
		{2, 30, relay.IdempotencyKeyed, true, true},
		{2, 30, relay.AtMostOnce, false, false}, // an error there is a query lost
		{4, 30, relay.Idempotent, false, false}, // they are not few
		{0, 0, relay.Idempotent, true, true},
	} {
		w := newWorld(t, plainSettings())
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(10, 5, 1)})
		p := w.mod
		p.now = w.now
		for i, endpoint := range p.endpoints.all {
			if endpoint.openAttempts = c.open; i >= c.sound {
				endpoint.openAttempts, endpoint.failure, endpoint.failureAt = 0, 1, p.now
			}
			endpoint.lastAnswerAt = p.now
		}
		suspects := 0
		for range 200 {
			if endpoint := p.router.bestOf(&trackedRequest{class: &classState{idempotency: c.repeat}}, p.endpoints.all); endpoint.failure > 0 {
				suspects++
			}
		}
		if suspects > 0 != c.some || suspects == 200 != c.all {
			t.Errorf("%+v: %d of 200", c, suspects)
		}
	}
}

// TestBuildBesideTheEarlierOne: machines that came beside the earlier ones take what these did alone, not an even
// part of the load, while legs are quick; where legs take most of their due time, an even part stays.
func TestBuildBesideTheEarlierOne(t *testing.T) {
	for _, c := range []struct {
		newer             int
		took, least, most float64
	}{{6, 0.1, 0.44, 0.6}, {6, 0.6, 0.25, 0.47}, {12, 0.1, 0.74, 0.82}} {
		set := plainSettings()
		set.Rollout.PromoteQuorum, set.Rollout.RollBackQuorum = 9, 9
		w := newWorld(t, set)
		w.outcomeOf = func(_ *worldRequest, l *worldAttempt) relay.Outcome {
			l.end = w.now + c.took
			return relay.Succeeded
		}
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(12, 5, 1), entries(c.newer, 6, 100)...)},
			relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1})
		w.run(3, w.thin(12)) // some eight queries a second
		w.sent = nil
		w.run(9, w.thin(12))
		all := len(w.sent)
		if share := float64(w.attemptsAt(6, w.sent)) / float64(all); share < c.least || share > c.most {
			t.Errorf("legs of %.1f s: %.2f of %d legs at %d machines beside 12, wanted %.2f to %.2f", c.took, share, all, c.newer, c.least, c.most)
		}
	}
}

// A zone that was lost came back and reset what its machines held: most of the newest build's machines had
// broken legs, nearly half of the earlier ones had, and the build went back.
func TestZoneLostIsNotTheBuildsDoing(t *testing.T) {
	lost := func(all bool) []relay.Vote {
		return canaryRun(t, 9, func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if at > 15 && at < 17 && u.Zone == 0 && (all || u.Build == 6) {
				return relay.ConnectionBroken, 0.1
			}
			return relay.Succeeded, 0.1
		})
	}
	if back(lost(true)) {
		t.Error("a build went back over a zone that was lost")
	}
	if !back(lost(false)) {
		t.Error("a build whose machines alone broke their legs did not go back")
	}
}

// Relays that started together all told the aggregators in the same quarter of a second, so that evidence came late.
func TestReportsAreSpread(t *testing.T) {
	set, at := plainSettings(), make([]int, 10)
	set.Relays = 60
	for i := 0; i < set.Relays; i++ {
		set.Self = relay.RelayID(i)
		w := newWorld(t, set)
		w.mod = New(set, int64(i))
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
			relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
		w.run(4, w.load)
		at[int(w.reportTimes[len(w.reportTimes)-1]*10)%10]++
	}
	for i, n := range at {
		if n > set.Relays/3 {
			t.Errorf("%d of %d relays told at %d tenths of a second: %v", n, set.Relays, i, at)
		}
	}
}

// Where the trial's best machine stood in the other zone, the query stayed with the earlier build.
func TestCanaryIsNotLeftForACrossZoneAttempt(t *testing.T) {
	set := plainSettings()
	set.Costs.CrossZone = 0.02
	far := entries(8, 6, 100)
	for i := range far {
		far[i].Zone = 1
	}
	w := newWorld(t, set)
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(8, 5, 1), far...)},
		relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1})
	w.run(6, w.thin(12))
	if newer := w.attemptsAt(6, w.sent); 3*newer < len(w.sent) {
		t.Errorf("%d of %d legs at a trial in the other zone", newer, len(w.sent))
	}
}

// Relays that held old news cast a vote on what was past twice a second, all of them, and filled the platform.
func TestStaleVoteIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		reply       relay.VoteReply
		least, most int
	}{{relay.ReplyStale, 1, 2}, {relay.ReplyNotCounted, 4, 12}} {
		w := newWorld(t, plainSettings())
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(8, 5, 1), entries(8, 6, 20)...)},
			relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4})
		seen := 0
		w.run(9, func() []relay.Event {
			events := w.load()
			for ; seen < len(w.votes); seen++ {
				events = append(events, relay.RolloutStatus{Reply: c.reply})
			}
			return events
		})
		if n := len(w.votes); n < c.least || n > c.most {
			t.Errorf("reply %d: %d votes in nine seconds, wanted %d to %d", c.reply, n, c.least, c.most)
		}
	}
}

// TestStalledWatchIsPolledAtOnce tells of a silent watch, whose 2 s are nearly over: the next call is made at once. Those
// behind it that fail are backed off, so that a fleet does not keep up the overload that fails them; up to their answer
// the lease holds the relay back. Whatever fails, the next call comes within the time that a failed one is held to.
func TestStalledWatchIsPolledAtOnce(t *testing.T) {
	for seed := range int64(50) {
		set := plainSettings()
		set.ListOnRequest = true
		set.Relays = 300
		p, now := New(set, seed), relay.Seconds(0)
		asks := func(events ...relay.Event) bool {
			for _, o := range p.Step(now, events) {
				if w, ok := o.(relay.Watch); ok && w.On {
					return true
				}
			}
			return false
		}
		after := func(form relay.ListUpdateKind) (wait relay.Seconds) {
			for asked := asks(relay.ListUpdate{Kind: form}); !asked; asked = asks(relay.TimerFired{ID: 1}) {
				now, wait = now+tickInterval, wait+tickInterval
			}
			return wait
		}
		asks(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)})
		if wait := after(relay.ListWatchStalled); wait > 2*tickInterval {
			t.Errorf("seed %d: asked %v after a silence", seed, wait)
		}
		longest := 0.0
		for range 20 {
			longest = math.Max(longest, after(relay.ListFetchFailed))
		}
		if longest < 4 || longest > 16+tickInterval {
			t.Errorf("seed %d: calls that fail are made again after %v at most", seed, longest)
		}
		asks(relay.ListUpdate{Kind: relay.ListDelta})
		if wait := after(relay.ListFetchFailed); wait > 2+tickInterval {
			t.Errorf("seed %d: asked %v after the first failure behind an answer", seed, wait)
		}
		p = New(set, seed)
		asks(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)})
		p.endpoints.backoff = membership.NewBackoff(set.Relays, 0.5, p.random) // a failed call holds for 2 s then
		for range 20 {
			if wait := after(relay.ListFetchFailed); wait > 2 {
				t.Errorf("seed %d: held to a list for 2 s, asked again after %v", seed, wait)
			}
		}
	}
}

// TestEndOfTheLeaseRejectsAtOnce lets the lease on the list end: what comes then is denied in the same step, with a time to
// come back, and what waits without a leg in the next one. No leg waits for its connection beyond the lease. A new lease
// has queries served again.
func TestEndOfTheLeaseRejectsAtOnce(t *testing.T) {
	set := plainSettings()
	set.ListOnRequest = true
	p := New(set, 1)
	step := func(now relay.Seconds, events ...relay.Event) (sent, denied []relay.Command) {
		for _, o := range p.Step(now, events) {
			switch o := o.(type) {
			case relay.SendAttempt:
				sent = append(sent, o)
			case relay.Reject:
				denied = append(denied, o)
			}
		}
		return sent, denied
	}
	query := func(id relay.RequestID) relay.Request { return relay.Request{ID: id, Deadline: 100} }
	step(0, relay.ListLease{ExpiresAt: 0}, relay.ListUpdate{Kind: relay.ListCached, Endpoints: entries(1, 1, 1)})
	if sent, denied := step(0.1, query(1)); len(sent) != 0 || len(denied) != 1 || denied[0].(relay.Reject).RetryAfter != set.Limits.MaxRetryAfter {
		t.Errorf("on a list that nobody has confirmed: sent %v, denied %v", sent, denied)
	}
	if sent, _ := step(0.2, relay.ListLease{ExpiresAt: 1}, query(2)); len(sent) != 1 || sent[0].(relay.SendAttempt).SendBy != 1 {
		t.Errorf("under a lease up to 1: %+v", sent)
	}
	if sent, denied := step(0.9, relay.AttemptEnded{Request: 2, Outcome: relay.ConnectFailed}, relay.ListUpdate{Kind: relay.ListDelta,
		Endpoints: []relay.Endpoint{{ID: 1, State: relay.Draining, Partial: true}}}, query(3)); len(sent)+len(denied) != 0 {
		t.Errorf("with no unit, under a lease: sent %v, denied %v", sent, denied)
	}
	if sent, denied := step(1, relay.TimerFired{ID: 1}, query(4)); len(sent) != 0 || len(denied) != 3 {
		t.Errorf("at the end of the lease: sent %v, denied %v", sent, denied)
	}
	if sent, denied := step(1.1, relay.ListLease{ExpiresAt: 7}, relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(1, 1, 1)},
		query(5)); len(sent) != 1 || len(denied) != 0 {
		t.Errorf("under a new lease: sent %v, denied %v", sent, denied)
	}
}

// TestPeerUpdateIsNoAnswerOfDiscovery has a call fail, and peers tell of units that left and that discovery answers again:
// the first leaves the retry as it was, the second brings it forward, spread over the fleet.
func TestPeerUpdateIsNoAnswerOfDiscovery(t *testing.T) {
	const relays = 200
	at := map[bool][]relay.Seconds{}
	for _, answers := range []bool{false, true} {
		for seed := range int64(relays) {
			set := plainSettings()
			set.ListOnRequest, set.Relays = true, relays
			p := New(set, seed)
			p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)}})
			for range 6 {
				p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListFetchFailed}})
			}
			events := []relay.Event{relay.ListUpdate{Kind: relay.ListDelta, FromPeers: true,
				Endpoints: []relay.Endpoint{{ID: 1, State: relay.Draining, Partial: true}}}}
			if answers {
				events = append(events, relay.DiscoveryRecovered{})
			}
			asked := false
			for now := 1.0; !asked && now < 30; now += tickInterval {
				for _, o := range p.Step(now, append(events, relay.TimerFired{ID: 1})) {
					if w, ok := o.(relay.Watch); ok && w.On {
						asked = true
						at[answers] = append(at[answers], now)
					}
				}
				events = nil
			}
			if !asked {
				t.Fatalf("seed %d, answers %v: the retry was dropped", seed, answers)
			}
		}
		sort.Float64s(at[answers])
	}
	if last := at[true][relays-1]; last > 1+8+2*tickInterval || last < 1+4 {
		t.Errorf("the last of the fleet calls %v after discovery answers again", last-1)
	}
	if at[true][relays/2] >= at[false][relays/2] {
		t.Errorf("no sooner than without: %v, %v", at[true][relays/2], at[false][relays/2])
	}
}

// TestUnlistedStageRestartsTheWatch tells of a stage whose units are not listed: relays open their watches anew,
// once each and not together, and none does where they are.
func TestUnlistedStageRestartsTheWatch(t *testing.T) {
	const relays = 100
	for _, listed := range []bool{false, true} {
		anew, at := 0, map[int]int{}
		for seed := range int64(relays) {
			p := New(plainSettings(), seed)
			p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(20, 1, 1)},
				relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseCanary, ExposureLimit: 0.1}})
			for now := relay.Seconds(0); now < 15; now += tickInterval {
				events := []relay.Event{relay.TimerFired{ID: 1}}
				if listed && now > 2 {
					events = append(events, relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(5, 2, 21)})
				}
				for _, o := range p.Step(now, events) {
					if w, ok := o.(relay.Watch); ok && w.Restart {
						anew++
						at[int(now)]++
					}
				}
			}
		}
		most := 0
		for second, n := range at {
			if most = max(most, n); second < int(listingDelay+restartSpread) {
				t.Error("doubted before its units could be listed")
			}
		}
		if listed && anew > 0 || !listed && (anew < relays*9/10 || anew > relays || most > relays/2) {
			t.Errorf("listed %v: %d times, %d in one second", listed, anew, most)
		}
	}
}

// TestUpdateOfAnotherCallKeepsTheRetry has a call fail and a list come all the same, as when discovery moves and the old
// watch still tells something: the watch is asked for again, or the relay would hear nothing more.
func TestUpdateOfAnotherCallKeepsTheRetry(t *testing.T) {
	for _, form := range []relay.ListUpdateKind{relay.ListFetchFailed, relay.ListWatchStalled} {
		p, now, asked := New(plainSettings(), 1), relay.Seconds(0), false
		p.Step(0, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(3, 1, 1)}})
		p.Step(1, []relay.Event{relay.ListUpdate{Kind: form}, relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(1, 1, 1)}})
		for now = 1; now < 4; now += tickInterval {
			for _, o := range p.Step(now, []relay.Event{relay.TimerFired{ID: 1}}) {
				w, ok := o.(relay.Watch)
				asked = asked || ok && w.On
			}
		}
		if !asked {
			t.Errorf("after news of form %d and a list: not asked again", form)
		}
		p.Step(now, []relay.Event{relay.ListUpdate{Kind: relay.ListDelta}})
		for ; now < 10; now += tickInterval {
			for _, o := range p.Step(now, []relay.Event{relay.TimerFired{ID: 1}}) {
				if w, ok := o.(relay.Watch); ok {
					t.Errorf("asked at %v, though the call behind the failure was answered: %+v", now, w)
				}
			}
		}
	}
}
