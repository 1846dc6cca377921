package lab

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Faults say how much goes wrong. Zero is nothing; one is as much as a week has at its worst.
type Faults struct {
	MessageLoss        float64 // part of the memos that are lost
	ListLag            float64 // times up to 4 s more until relays hear of units
	ControllerSilence  float64 // chance a day that the desk falls silent across a freeze's start, or in the middle of a release
	StatusLag          float64 // times 3 s that news is later, for spells of a release
	ControllerRestarts float64 // chance a day that the desk is killed and starts again
	ForgottenEvents    float64 // times 3 events that it has forgotten then
	RelayRestarts      float64 // chance, for a relay and a release, that it is killed and starts again
	DeployerStalls     float64 // chance a release that the deployer stands still for up to 20 s
	UnannouncedBuilds  float64 // chance a release that a planner of a build not announced is there
	OneSiteCanaries    float64 // chance a release that its trial has planners at the first site alone
	EndpointPauses     float64 // planners that stand still for up to 0.5 s, a second and ten planners
	ClockSkew          float64 // s that the relays' clocks differ by, both ways
}

// Ordinary is a week with a little of everything.
func OrdinaryFaults() Faults {
	return Faults{MessageLoss: 0.1, ListLag: 0.25, ControllerSilence: 0.2, StatusLag: 0.2, ControllerRestarts: 0.2, RelayRestarts: 0.03, DeployerStalls: 0.1, UnannouncedBuilds: 0.1,
		EndpointPauses: 0.05, ClockSkew: 1}
}

// Worst gives the faults of one kind alone, driven to their worst, or of several with a + between.
func FaultsByName(kind string) (Faults, bool) {
	if one, more, several := strings.Cut(kind, "+"); several {
		a, ok1 := FaultsByName(one)
		b, ok2 := FaultsByName(more)
		return Faults{max(a.MessageLoss, b.MessageLoss), max(a.ListLag, b.ListLag), max(a.ControllerSilence, b.ControllerSilence), max(a.StatusLag, b.StatusLag),
			max(a.ControllerRestarts, b.ControllerRestarts), max(a.ForgottenEvents, b.ForgottenEvents), max(a.RelayRestarts, b.RelayRestarts), max(a.DeployerStalls, b.DeployerStalls), max(a.UnannouncedBuilds, b.UnannouncedBuilds), max(a.OneSiteCanaries, b.OneSiteCanaries),
			max(a.EndpointPauses, b.EndpointPauses), max(a.ClockSkew, b.ClockSkew)}, ok1 && ok2
	}
	f, ok := map[string]Faults{
		"none": {}, "ordinary": OrdinaryFaults(),
		"memos": {MessageLoss: 1}, "roster": {ListLag: 1}, "silence": {ControllerSilence: 1}, "late": {StatusLag: 1}, "desk": {ControllerRestarts: 1},
		"journal": {ControllerRestarts: 1, ForgottenEvents: 1}, "relays": {RelayRestarts: 0.5}, "deployer": {DeployerStalls: 1}, "early": {UnannouncedBuilds: 1}, "one-side": {OneSiteCanaries: 1},
		"pauses": {EndpointPauses: 3}, "clocks": {ClockSkew: 1},
	}[kind]
	return f, ok
}

// Kinds lists the names that Worst knows.
func FaultNames() []string {
	return []string{"none", "ordinary", "memos", "roster", "silence", "late", "desk", "journal", "relays", "deployer", "early", "one-side",
		"pauses", "clocks"}
}

// Without takes out one defence by its name, and says whether there is one of that name.
func (o *Options) DisableSafeguard(name string) bool {
	d, ok := map[string]*bool{"guard": &o.Guard.All, "guard-freezes": &o.Guard.Freezes, "guard-needs": &o.Guard.Dependencies,
		"guard-unheard": &o.Guard.UnknownDependencies, "guard-groups": &o.Guard.Groups, "guard-ceiling": &o.Guard.FreezeCeiling,
		"guard-skew": &o.Guard.ClockSkew, "guard-votes": &o.Guard.VoteFilter, "guard-start": &o.Guard.StartInFreeze,
		"guard-backward": &o.Guard.BackwardStatus, "desk-freezes": &o.Controller.Freezes, "desk-needs": &o.Controller.Dependencies,
		"desk-least": &o.Controller.MinStageTime, "desk-narrow": &o.Controller.LostDependencies}[name]
	if ok {
		*d = true
	}
	return ok
}

// ControlTimed makes the run a baseline in which time alone moves steps, and nobody's vote counts.
func (o *Options) UseClockBaseline() {
	p := *o.Plan
	p.Services = append([]plan.Service(nil), p.Services...)
	for i := range p.Services {
		s := &p.Services[i]
		longest := 0.0
		for _, st := range s.Steps {
			longest = math.Max(longest, st.MinTime)
		}
		s.Votes.Control, s.Votes.StepTime = plan.ControlTimed, longest
	}
	o.Plan, o.IgnoreVotes = &p, true
}

// Options are what a run is made of.
type Options struct {
	Plan             *plan.Plan
	Seed             int64
	Days             float64
	Start            plan.Unix // 00:00 UTC of the first day
	Relays           int       // of all services together
	Endpoints        int
	Faults           Faults
	BadBuildFraction float64 // of the builds that are bad
	LoadFactor       float64 // times the ordinary day's

	Guard          rollout.GuardSafeguards
	Controller     rollout.Safeguards
	IgnoreVotes    bool // votes are dropped: with a clock that moves steps, the baseline
	NewModule      func(relay.Settings, int64) module
	ChangeSettings func(*relay.Settings) // of what relays are told, where given
	KeepTimeline   bool                  // the timeline's lines

	Progress func(day float64)
}

// Release is what became of one build.
type Release struct {
	Service      string      `json:"service"`
	Build        relay.Build `json:"build"`
	BuildFault   string      `json:"fault"`
	Bad          bool        `json:"bad"`
	OfferedAt    float64     `json:"offered"` // s since the start; -1: never
	BeganAt      float64     `json:"began"`
	ReleasedAt   float64     `json:"released"`
	RolledBackAt float64     `json:"back"`
	Promotions   int         `json:"steps"` // moves on
}

// Result is what a run showed.
type Result struct {
	Seed                  int64              `json:"seed"`
	Days                  float64            `json:"days"`
	Relays                int                `json:"relays"`
	Endpoints             int                `json:"units"`
	Releases              []Release          `json:"releases"`
	Events                int                `json:"steps"`
	Attempts              int                `json:"legs"`
	CanaryAttempts        int                `json:"legs_on_trial"`
	Requests              int                `json:"queries"`
	Succeeded             int                `json:"honoured"`
	Rejected              int                `json:"denied"`
	Failed                int                `json:"written_off"`
	ServedFraction        float64            `json:"service"` // value answered in due time over value asked for
	WeightLostToBadBuilds float64            `json:"bad_builds_worth_lost"`
	Violations            []Violation        `json:"broken"`
	UnlistedViolations    int                `json:"broken_not_listed"`
	ViolationsByRule      map[string]int     `json:"broken_by_rule"`
	MaxAllowanceUsed      float64            `json:"most_of_cap"`
	BlockedFor            map[string]float64 `json:"held"`
	TrafficTime           float64            `json:"played_s"` // of the time with traffic
	TimelineHash          string             `json:"timeline_sha256"`
	GoodReleased          float64            `json:"good_released"` // part of the good builds that were released
	GoodReleaseTime       float64            `json:"good_took_s"`   // mean of those, from the offer on
	BadReleased           float64            `json:"bad_released"`  // part of the bad ones

	Steps        []ControllerStep `json:"-"`
	AllowanceUse []AllowanceUse   `json:"-"`
	Timeline     []string         `json:"-"`
	FreezeTimes  [][]float64      `json:"-"` // of each freeze: from, to, ...
	FreezeNames  []string         `json:"-"`
}

// Use is the highest part of an allowance that was used within ten minutes, for the report.
type AllowanceUse struct {
	Hour    float64
	Service string
	Max     float64
}

// spell decides when there is traffic. A whole week of it would be hours of work; what matters happens round releases,
// freezes and faults, so there is traffic there, and a sample of it now and then. In between nobody asks anything, the
// relays sleep, and the clock leaps.
type trafficWindow struct {
	simulation  *simulation
	from        float64 // of the present or the next spell
	until       float64
	wantedTimes []float64 // times that are wanted
	startedAt   float64
	lastStepAt  float64 // when the desk last made a move
}

const (
	leadTime       = 6.0    // s of traffic before a time that matters
	minWindow      = 14.0   // s of a spell
	maxIdleWindow  = 100.0  // s without a move after which a spell rests although a release is under way
	restTime       = 3600.0 // s of that rest
	sampleInterval = 7200.0 // s between samples where nothing happens
)

// next is when the next spell begins, for whoever sleeps.
func (s *trafficWindow) nextStart() float64 { return math.Max(s.from, s.simulation.now+1e-3) }

// busy says whether a release is under way that may go on within half a minute.
func (s *trafficWindow) releaseUnderWay() bool {
	for i := range s.simulation.fleets {
		w := s.simulation.controller.core.BlockReason(plan.ServiceIndex(i), s.simulation.unixNow())
		switch w.Code {
		case rollout.BlockedByMissingVotes, rollout.BlockedByRollback, rollout.Unblocked, rollout.BlockedByHoldVotes:
			return true
		case rollout.BlockedByMinTime, rollout.BlockedBySettleTime:
			return true
		case rollout.BlockedByPlanFreeze, rollout.BlockedByOperatorFreeze:
			if w.Until > 0 && w.Until-s.simulation.unixNow() < 30 {
				return true
			}
		}
	}
	return false
}

// plan finds the next spell after now.
func (s *trafficWindow) scheduleNext() {
	next := s.simulation.now + sampleInterval
	for _, m := range s.wantedTimes {
		if m > s.simulation.now {
			next = math.Min(next, m-leadTime)
			break
		}
	}
	if s.releaseUnderWay() {
		next = math.Min(next, s.simulation.now+restTime)
	}
	s.from = math.Max(next, s.simulation.now+0.5)
	s.until = s.from + minWindow
}

// soon brings the next spell forward: something has moved while nobody was awake.
func (s *trafficWindow) bringForward() {
	s.lastStepAt = s.simulation.now
	if !s.simulation.hasTraffic && s.from > s.simulation.now+1 {
		s.from = s.simulation.now + 0.5
		s.until = s.from + minWindow
		s.simulation.runAt(s.from, s.start)
	}
}

func (s *trafficWindow) start() {
	w := s.simulation
	if w.hasTraffic || w.now < s.from-1e-6 {
		return // it was brought forward, or is over already
	}
	w.hasTraffic, s.startedAt = true, w.now
	w.record("traffic begins")
	parked := w.parkedRelays
	w.parkedRelays = nil
	for _, x := range parked {
		if x.alive {
			x.watchAlive()
			x.evaluateGuard()
		}
	}
	w.controller.advance()
	w.controller.publishAll()
	for _, f := range w.fleets {
		f.startTraffic()
	}
	s.watchForEnd()
	s.repeatStatuses()
}

func (s *trafficWindow) repeatStatuses() {
	s.simulation.runAfter(statusRepeatInterval, func() {
		if s.simulation.hasTraffic {
			s.simulation.controller.publishAll()
			s.repeatStatuses()
		}
	})
}

// watch ends a spell when it is over and nothing is under way.
func (s *trafficWindow) watchForEnd() {
	w := s.simulation
	w.runAfter(1, func() {
		soon := false
		for _, m := range s.wantedTimes {
			soon = soon || m > w.now-3 && m < w.now+leadTime+2
		}
		if w.now < s.until || soon || s.releaseUnderWay() && w.now-math.Max(s.startedAt, s.lastStepAt) < maxIdleWindow {
			s.watchForEnd()
			return
		}
		w.hasTraffic, w.idleFrom = false, w.now+5
		w.counters.trafficTime += w.now - s.startedAt
		w.record("traffic ends")
		s.scheduleNext()
		w.runAt(s.from, s.start)
	})
}

// traffic has clients ask while there is any.
func (f *fleet) startTraffic() {
	rate := requestsPerEndpoint * float64(f.size) * max(f.simulation.options.LoadFactor, 0)
	if f.simulation.options.LoadFactor == 0 {
		rate = requestsPerEndpoint * float64(f.size)
	}
	var next func()
	total := 0.0
	for _, x := range f.relays {
		total += x.weight
	}
	next = func() {
		if !f.simulation.hasTraffic {
			return
		}
		pick := f.random.Float64() * total
		for _, x := range f.relays {
			if pick -= x.weight; pick < 0 {
				if x.alive {
					x.arrive()
				}
				break
			}
		}
		f.simulation.runAfter(f.random.ExpFloat64()/rate, next)
	}
	f.simulation.runAfter(f.random.ExpFloat64()/rate, next)
	if p := f.simulation.options.Faults.EndpointPauses; p > 0 {
		var pause func()
		pause = func() {
			if !f.simulation.hasTraffic {
				return
			}
			if live := f.live(); len(live) > 0 {
				live[f.random.Intn(len(live))].pause(uniform(f.random, 0.1, 0.5))
			}
			f.simulation.runAfter(f.random.ExpFloat64()/(p*float64(f.size)/10+1e-9), pause)
		}
		f.simulation.runAfter(f.random.ExpFloat64()/(p*float64(f.size)/10+1e-9), pause)
	}
}

// Run plays a plan for some days.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Relays < len(o.Plan.Services) || o.Endpoints < 2*len(o.Plan.Services) || o.Days <= 0 {
		return Result{}, fmt.Errorf("at least a relay and two planners a service, and some time")
	}
	if o.Start == 0 {
		o.Start = float64(time.Date(2026, 11, 30, 0, 0, 0, 0, time.UTC).Unix()) // a Monday
	}
	w, end := newSimulation(o), o.Days*86400
	for w.now < end {
		if err := ctx.Err(); err != nil {
			break
		}
		w.runUntil(math.Min(w.now+600, end))
		if o.Progress != nil {
			o.Progress(w.now / 86400)
		}
	}
	return w.result(), ctx.Err()
}

// setup makes a world that has not begun.
func newSimulation(o Options) *simulation {
	w := &simulation{options: o, plan: withRelays(o.Plan, o.Relays), epoch: o.Start, timelineHash: sha256.New()}
	w.random = w.newRandom("world", 0)
	w.checker = newChecker(w)
	w.traffic = trafficWindow{simulation: w}
	w.controller = newControllerLink(w)
	w.addFleets(o)
	w.scenario(o)
	w.traffic.scheduleNext()
	w.runAt(w.traffic.from, w.traffic.start)
	w.controller.advance()
	return w
}

// withRelays gives a copy of a plan in which each service has its part of the relays.
func withRelays(p *plan.Plan, relays int) *plan.Plan {
	q := *p
	q.Services = append([]plan.Service(nil), p.Services...)
	for i := range q.Services {
		n := relays / len(q.Services)
		if i < relays%len(q.Services) {
			n++
		}
		q.Services[i].Relays = nil
		for k := range n {
			q.Services[i].Relays = append(q.Services[i].Relays, plan.Relay{Name: relayName(k), Site: plan.SiteIndex(k % len(q.Sites))})
		}
	}
	return &q
}

// build puts fleets and relays together.
func (w *simulation) addFleets(o Options) {
	for i := range w.plan.Services {
		s := &w.plan.Services[i]
		f := &fleet{simulation: w, service: plan.ServiceIndex(i), name: s.Name, builds: map[relay.Build]buildFault{1: {name: "good", onlyClass: -1, slowdown: 1}},
			stable: 1, size: o.Endpoints / len(w.plan.Services), random: w.newRandom("fleet", i)}
		f.settings = w.relaySettings(f.service, len(s.Relays))
		if o.ChangeSettings != nil {
			o.ChangeSettings(&f.settings)
		}
		w.fleets = append(w.fleets, f)
		for k := range f.size {
			f.launch(1, plan.SiteIndex(k%len(w.plan.Sites)), 0)
		}
		hears := make([]bool, len(w.plan.Services))
		for _, n := range rollout.DependenciesOf(w.plan, f.service) {
			hears[n] = true
		}
		for k, r := range s.Relays {
			x := &simulatedRelay{fleet: f, id: relay.RelayID(k), name: r.Name, site: r.Site, watches: hears, random: w.newRandom("relay"+s.Name, k)}
			x.clockOffset = uniform(x.random, -1, 1) * o.Faults.ClockSkew
			x.weight = 1
			if k%5 == 0 {
				x.weight = 4 // a few carry far more
			}
			f.relays = append(f.relays, x)
			w.relays = append(w.relays, x)
		}
	}
	for _, x := range w.relays {
		x.start()
	}
	for i := range w.checker.freezeTimes {
		for _, z := range w.checker.freezeTimes[i] {
			for _, t := range []float64{z.from, z.to} {
				if t > 0 {
					w.runAt(t, w.checker.freezeEdge)
					w.traffic.wantedTimes = append(w.traffic.wantedTimes, t)
				}
			}
		}
	}
}

// offer brings a new build of a service at a time.
func (w *simulation) offerBuild(s int, at float64) {
	w.traffic.wantedTimes = append(w.traffic.wantedTimes, at)
	w.runAt(at, func() {
		f := w.fleets[s]
		b := relay.Build(2)
		for x := range f.builds {
			b = max(b, x+1)
		}
		f.builds[b] = drawBuildFault(w.random, w.options.BadBuildFraction)
		if e, err := w.controller.core.Offer(f.service, b, "lab", f.builds[b].name, w.unixNow()); err == nil {
			w.controller.apply(e)
		}
	})
}

// silence has the desk say nothing, and hear nothing, for a while.
func (w *simulation) silenceController(at, d float64) {
	w.traffic.wantedTimes = append(w.traffic.wantedTimes, at, at+d)
	w.runAt(at, func() { w.record("desk silent"); w.controller.silent = true })
	w.runAt(at+d, func() { w.record("desk speaks"); w.controller.silent = false; w.controller.publishAll() })
}

// scenario draws the days: a release of each service a day and a second where there is time, one that meets a freeze's
// start, a desk that falls silent across one, restarts, lateness.
func (w *simulation) scenario(o Options) {
	r := w.newRandom("scenario", 0)
	n := len(w.fleets)
	for day := 0.0; day < o.Days; day++ {
		base := day * 86400
		morning := base + uniform(r, 6.2, 6.8)*3600
		apart := uniform(r, 40, 200)
		if r.Float64() < 0.25 {
			apart = 0 // all in the same second
		}
		for s := range n {
			w.offerBuild(s, morning+float64(s)*apart)
			w.offerBuild(s, base+uniform(r, 10, 11)*3600+float64(s)*apart)
		}
		// A late one, which the first freeze after 12:00 catches in the middle of a step.
		if int(day)%2 == 0 {
			start := w.firstFreeze(base + 12*3600)
			for s := range n {
				w.offerBuild(s, start-uniform(r, 25, 75))
			}
			if int(day)%4 == 0 || r.Float64() < o.Faults.ControllerSilence {
				w.silenceController(start-uniform(r, 1, 12), uniform(r, 15, 60))
			}
		}
		f := o.Faults
		if r.Float64() < f.ControllerSilence {
			w.silenceController(morning+uniform(r, 10, 120), uniform(r, 5, 30))
		}
		if f.ControllerSilence >= 0.5 { // the whole night: a freeze that begins and ends within it
			start := w.firstFreeze(base + 12*3600)
			w.silenceController(start-5, 9*3600)
		}
		if day == 1 || r.Float64() < f.ControllerRestarts {
			at := morning + uniform(r, 10, 200)
			forget := int(math.Round(f.ForgottenEvents * uniform(r, 0, 3)))
			w.runAt(at, func() { w.controller.restart(forget) })
		}
		if r.Float64() < f.StatusLag || f.StatusLag >= 1 {
			at := morning + uniform(r, 0, 100)
			w.runAt(at, func() { w.controller.statusLag = 3 * math.Min(1, 2*f.StatusLag) })
			w.runAt(at+uniform(r, 20, 90), func() { w.controller.statusLag = 0 })
			start := w.firstFreeze(base + 12*3600)
			w.runAt(start-20, func() { w.controller.statusLag = 3 * math.Min(1, 2*f.StatusLag) })
			w.runAt(start+20, func() { w.controller.statusLag = 0 })
		}
		for _, x := range w.relays {
			if r.Float64() < f.RelayRestarts || day == 2 && x.id == 1 {
				x, at := x, morning+uniform(r, 5, 200)
				if r.Float64() < 0.3 { // it starts during a freeze
					at = w.firstFreeze(base+12*3600) + uniform(r, -5, 10)
				}
				w.runAt(at, func() { w.record("relay %s of %s killed", x.name, x.fleet.name); x.kill() })
				w.runAt(at+uniform(r, 1, 5), x.start)
			}
		}
		for s := range n {
			if r.Float64() < f.DeployerStalls {
				fl, d := w.fleets[s], uniform(r, 5, 20)
				w.runAt(morning+uniform(r, 5, 60), func() { w.record("deployer of %s stands still", fl.name); fl.stallDeployer(d) })
			}
		}
	}
	sort.Float64s(w.traffic.wantedTimes)
}

// firstFreeze is the first start of a freeze after a time; six in the evening where there is none.
func (w *simulation) firstFreeze(after float64) float64 {
	best := after + 6*3600
	for _, f := range w.checker.freezeTimes {
		for _, z := range f {
			if z.from > after {
				best = math.Min(best, z.from)
			}
		}
	}
	return best
}

func (w *simulation) result() Result {
	c, s := w.checker, &w.counters
	for i := range w.controller.blockedSince {
		w.controller.blockedFor[w.controller.blockedBy[i]] += w.unixNow() - w.controller.blockedSince[i]
	}
	out := Result{Seed: w.options.Seed, Days: w.now / 86400, Relays: len(w.relays), Endpoints: w.options.Endpoints, Events: int(s.controllerEvents), Attempts: s.attempts,
		CanaryAttempts: s.canaryAttempts, Requests: s.requests, Succeeded: s.succeeded, Rejected: s.rejected, Failed: s.failed,
		ServedFraction: s.weightServed / math.Max(s.weightOffered, 1e-9), WeightLostToBadBuilds: s.weightLostToBadBuilds, Violations: c.violations, UnlistedViolations: c.unlisted, ViolationsByRule: c.byRule,
		MaxAllowanceUsed: c.maxAllowanceUsed, BlockedFor: map[string]float64{}, TrafficTime: s.trafficTime, TimelineHash: hex.EncodeToString(w.timelineHash.Sum(nil)), Steps: c.steps,
		Timeline: w.timeline}
	if out.Violations == nil {
		out.Violations = []Violation{}
	}
	for code, d := range w.controller.blockedFor {
		if code == rollout.Unblocked {
			code = "free"
		}
		out.BlockedFor[string(code)] = math.Round(d)
	}
	out.foldReleases(w)
	for k, most := range c.allowanceUse {
		out.AllowanceUse = append(out.AllowanceUse, AllowanceUse{float64(k.period) / 6, w.plan.Services[k.service].Name, most})
	}
	sort.Slice(out.AllowanceUse, func(i, j int) bool {
		a, b := out.AllowanceUse[i], out.AllowanceUse[j]
		return a.Hour < b.Hour || a.Hour == b.Hour && a.Service < b.Service
	})
	for i := range w.plan.Freezes {
		out.FreezeNames = append(out.FreezeNames, w.plan.Freezes[i].Name)
		var spans []float64
		for _, z := range c.freezeTimes[i] {
			spans = append(spans, z.from, z.to)
		}
		out.FreezeTimes = append(out.FreezeTimes, spans)
	}
	return out
}

// releases folds the moves into what became of each build.
func (o *Result) foldReleases(w *simulation) {
	type key struct {
		s string
		b relay.Build
	}
	at := map[key]*Release{}
	var order []key
	for _, m := range o.Steps {
		k := key{m.Service, m.Build}
		r := at[k]
		if r == nil {
			no, _ := w.plan.Service(m.Service)
			f := w.fleets[no].builds[m.Build]
			r = &Release{Service: m.Service, Build: m.Build, BuildFault: f.name, Bad: !f.isGood(), OfferedAt: -1, BeganAt: -1, ReleasedAt: -1, RolledBackAt: -1}
			at[k] = r
			order = append(order, k)
		}
		switch m.Kind {
		case rollout.EventOffered, rollout.EventSuperseded:
			r.OfferedAt = m.Time
		case rollout.EventBegan:
			r.BeganAt = m.Time
		case rollout.EventPromoted:
			r.Promotions++
		case rollout.EventReleased:
			r.ReleasedAt, r.Promotions = m.Time, r.Promotions+1
		case rollout.EventRollingBack:
			r.RolledBackAt = m.Time
		}
	}
	goods, bads, out, badOut, took := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, k := range order {
		r := at[k]
		o.Releases = append(o.Releases, *r)
		if r.BeganAt < 0 {
			continue
		}
		stays := r.ReleasedAt >= 0 && r.RolledBackAt < 0
		switch {
		case r.Bad:
			bads++
			if stays {
				badOut++
			}
		default:
			goods++
			if stays {
				out, took = out+1, took+r.ReleasedAt-r.OfferedAt
			}
		}
	}
	o.GoodReleased, o.BadReleased = out/math.Max(goods, 1), badOut/math.Max(bads, 1)
	o.GoodReleaseTime = took / math.Max(out, 1)
}
