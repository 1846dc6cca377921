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
	MemoLoss  float64 // part of the memos that are lost
	RosterLag float64 // times up to 4 s more until relays hear of units
	Silence   float64 // chance a day that the desk falls silent across a freeze's start, or in the middle of a release
	Late      float64 // times 3 s that news is later, for spells of a release
	Desk      float64 // chance a day that the desk is killed and starts again
	Forget    float64 // times 3 events that it has forgotten then
	Relays    float64 // chance, for a relay and a release, that it is killed and starts again
	Deployer  float64 // chance a release that the deployer stands still for up to 20 s
	Early     float64 // chance a release that a planner of a build not announced is there
	OneSide   float64 // chance a release that its trial has planners at the first site alone
	Pauses    float64 // planners that stand still for up to 0.5 s, a second and ten planners
	Skew      float64 // s that the relays' clocks differ by, both ways
}

// Ordinary is a week with a little of everything.
func Ordinary() Faults {
	return Faults{MemoLoss: 0.1, RosterLag: 0.25, Silence: 0.2, Late: 0.2, Desk: 0.2, Relays: 0.03, Deployer: 0.1, Early: 0.1,
		Pauses: 0.05, Skew: 1}
}

// Worst gives the faults of one kind alone, driven to their worst, or of several with a + between.
func Worst(kind string) (Faults, bool) {
	if one, more, several := strings.Cut(kind, "+"); several {
		a, ok1 := Worst(one)
		b, ok2 := Worst(more)
		return Faults{max(a.MemoLoss, b.MemoLoss), max(a.RosterLag, b.RosterLag), max(a.Silence, b.Silence), max(a.Late, b.Late),
			max(a.Desk, b.Desk), max(a.Forget, b.Forget), max(a.Relays, b.Relays), max(a.Deployer, b.Deployer), max(a.Early, b.Early), max(a.OneSide, b.OneSide),
			max(a.Pauses, b.Pauses), max(a.Skew, b.Skew)}, ok1 && ok2
	}
	f, ok := map[string]Faults{
		"none": {}, "ordinary": Ordinary(),
		"memos": {MemoLoss: 1}, "roster": {RosterLag: 1}, "silence": {Silence: 1}, "late": {Late: 1}, "desk": {Desk: 1},
		"journal": {Desk: 1, Forget: 1}, "relays": {Relays: 0.5}, "deployer": {Deployer: 1}, "early": {Early: 1}, "one-side": {OneSide: 1},
		"pauses": {Pauses: 3}, "clocks": {Skew: 1},
	}[kind]
	return f, ok
}

// Kinds lists the names that Worst knows.
func Kinds() []string {
	return []string{"none", "ordinary", "memos", "roster", "silence", "late", "desk", "journal", "relays", "deployer", "early", "one-side",
		"pauses", "clocks"}
}

// Without takes out one defence by its name, and says whether there is one of that name.
func (o *Options) Without(name string) bool {
	d, ok := map[string]*bool{"guard": &o.Guard.All, "guard-freezes": &o.Guard.Freezes, "guard-needs": &o.Guard.Dependencies,
		"guard-unheard": &o.Guard.UnknownDependencies, "guard-groups": &o.Guard.Groups, "guard-ceiling": &o.Guard.FreezeCeiling,
		"guard-skew": &o.Guard.ClockSkew, "guard-votes": &o.Guard.VoteFilter, "guard-start": &o.Guard.StartInFreeze,
		"guard-backward": &o.Guard.BackwardStatus, "desk-freezes": &o.Desk.Freezes, "desk-needs": &o.Desk.Dependencies,
		"desk-least": &o.Desk.MinStageTime, "desk-narrow": &o.Desk.LostDependencies}[name]
	if ok {
		*d = true
	}
	return ok
}

// ControlTimed makes the run a baseline in which time alone moves steps, and nobody's vote counts.
func (o *Options) ByClock() {
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
	o.Plan, o.NoVotes = &p, true
}

// Options are what a run is made of.
type Options struct {
	Plan    *plan.Plan
	Seed    int64
	Days    float64
	Start   plan.Unix // 00:00 UTC of the first day
	Relays  int       // of all services together
	Units   int
	Faults  Faults
	BadPart float64 // of the builds that are bad
	Load    float64 // times the ordinary day's

	Guard   rollout.GuardSafeguards
	Desk    rollout.Safeguards
	NoVotes bool // votes are dropped: with a clock that moves steps, the baseline
	Module  func(relay.Settings, int64) module
	Change  func(*relay.Settings) // of what relays are told, where given
	Keep    bool                  // the timeline's lines

	Progress func(day float64)
}

// Release is what became of one build.
type Release struct {
	Service  string      `json:"service"`
	Build    relay.Build `json:"build"`
	Fault    string      `json:"fault"`
	Bad      bool        `json:"bad"`
	Offered  float64     `json:"offered"` // s since the start; -1: never
	Began    float64     `json:"began"`
	Released float64     `json:"released"`
	Back     float64     `json:"back"`
	Steps    int         `json:"steps"` // moves on
}

// Result is what a run showed.
type Result struct {
	Seed       int64              `json:"seed"`
	Days       float64            `json:"days"`
	Relays     int                `json:"relays"`
	Units      int                `json:"units"`
	Releases   []Release          `json:"releases"`
	Steps      int                `json:"steps"`
	Legs       int                `json:"legs"`
	TrialLegs  int                `json:"legs_on_trial"`
	Queries    int                `json:"queries"`
	Honoured   int                `json:"honoured"`
	Denied     int                `json:"denied"`
	WrittenOff int                `json:"written_off"`
	Service    float64            `json:"service"` // value answered in due time over value asked for
	BadWorth   float64            `json:"bad_builds_worth_lost"`
	Broken     []Broken           `json:"broken"`
	BrokenMore int                `json:"broken_not_listed"`
	BrokenBy   map[string]int     `json:"broken_by_rule"`
	MostOfCap  float64            `json:"most_of_cap"`
	Held       map[string]float64 `json:"held"`
	Awake      float64            `json:"played_s"` // of the time with traffic
	Hash       string             `json:"timeline_sha256"`
	GoodOut    float64            `json:"good_released"` // part of the good builds that were released
	GoodTook   float64            `json:"good_took_s"`   // mean of those, from the offer on
	BadOut     float64            `json:"bad_released"`  // part of the bad ones

	Moves []Move      `json:"-"`
	Use   []Use       `json:"-"`
	Lines []string    `json:"-"`
	Spans [][]float64 `json:"-"` // of each freeze: from, to, ...
	Names []string    `json:"-"`
}

// Use is the highest part of an allowance that was used within ten minutes, for the report.
type Use struct {
	Hour    float64
	Service string
	Most    float64
}

// spell decides when there is traffic. A whole week of it would be hours of work; what matters happens round releases,
// freezes and faults, so there is traffic there, and a sample of it now and then. In between nobody asks anything, the
// relays sleep, and the clock leaps.
type spell struct {
	w     *world
	from  float64 // of the present or the next spell
	until float64
	marks []float64 // times that are wanted
	begun float64
	moved float64 // when the desk last made a move
}

const (
	leadIn      = 6.0    // s of traffic before a time that matters
	spellLeast  = 14.0   // s of a spell
	spellMost   = 100.0  // s without a move after which a spell rests although a release is under way
	restFor     = 3600.0 // s of that rest
	sampleEvery = 7200.0 // s between samples where nothing happens
)

// next is when the next spell begins, for whoever sleeps.
func (s *spell) next() float64 { return math.Max(s.from, s.w.now+1e-3) }

// busy says whether a release is under way that may go on within half a minute.
func (s *spell) busy() bool {
	for i := range s.w.fleets {
		w := s.w.desk.core.BlockReason(plan.ServiceIndex(i), s.w.unix())
		switch w.Code {
		case rollout.BlockedByMissingVotes, rollout.BlockedByRollback, rollout.Unblocked, rollout.BlockedByHoldVotes:
			return true
		case rollout.BlockedByMinTime, rollout.BlockedBySettleTime:
			return true
		case rollout.BlockedByPlanFreeze, rollout.BlockedByOperatorFreeze:
			if w.Until > 0 && w.Until-s.w.unix() < 30 {
				return true
			}
		}
	}
	return false
}

// plan finds the next spell after now.
func (s *spell) plan() {
	next := s.w.now + sampleEvery
	for _, m := range s.marks {
		if m > s.w.now {
			next = math.Min(next, m-leadIn)
			break
		}
	}
	if s.busy() {
		next = math.Min(next, s.w.now+restFor)
	}
	s.from = math.Max(next, s.w.now+0.5)
	s.until = s.from + spellLeast
}

// soon brings the next spell forward: something has moved while nobody was awake.
func (s *spell) soon() {
	s.moved = s.w.now
	if !s.w.awake && s.from > s.w.now+1 {
		s.from = s.w.now + 0.5
		s.until = s.from + spellLeast
		s.w.at(s.from, s.wake)
	}
}

func (s *spell) wake() {
	w := s.w
	if w.awake || w.now < s.from-1e-6 {
		return // it was brought forward, or is over already
	}
	w.awake, s.begun = true, w.now
	w.mark("traffic begins")
	parked := w.parked
	w.parked = nil
	for _, x := range parked {
		if x.alive {
			x.signs()
			x.look()
		}
	}
	w.desk.due()
	w.desk.again()
	for _, f := range w.fleets {
		f.traffic()
	}
	s.watch()
	s.retell()
}

func (s *spell) retell() {
	s.w.in(retellEvery, func() {
		if s.w.awake {
			s.w.desk.again()
			s.retell()
		}
	})
}

// watch ends a spell when it is over and nothing is under way.
func (s *spell) watch() {
	w := s.w
	w.in(1, func() {
		soon := false
		for _, m := range s.marks {
			soon = soon || m > w.now-3 && m < w.now+leadIn+2
		}
		if w.now < s.until || soon || s.busy() && w.now-math.Max(s.begun, s.moved) < spellMost {
			s.watch()
			return
		}
		w.awake, w.sleepAt = false, w.now+5
		w.stats.awakeFor += w.now - s.begun
		w.mark("traffic ends")
		s.plan()
		w.at(s.from, s.wake)
	})
}

// traffic has clients ask while there is any.
func (f *fleet) traffic() {
	rate := queriesEach * float64(f.size) * max(f.w.opt.Load, 0)
	if f.w.opt.Load == 0 {
		rate = queriesEach * float64(f.size)
	}
	var next func()
	total := 0.0
	for _, x := range f.nodes {
		total += x.weight
	}
	next = func() {
		if !f.w.awake {
			return
		}
		pick := f.rng.Float64() * total
		for _, x := range f.nodes {
			if pick -= x.weight; pick < 0 {
				if x.alive {
					x.ask()
				}
				break
			}
		}
		f.w.in(f.rng.ExpFloat64()/rate, next)
	}
	f.w.in(f.rng.ExpFloat64()/rate, next)
	if p := f.w.opt.Faults.Pauses; p > 0 {
		var pause func()
		pause = func() {
			if !f.w.awake {
				return
			}
			if live := f.live(); len(live) > 0 {
				live[f.rng.Intn(len(live))].pause(between(f.rng, 0.1, 0.5))
			}
			f.w.in(f.rng.ExpFloat64()/(p*float64(f.size)/10+1e-9), pause)
		}
		f.w.in(f.rng.ExpFloat64()/(p*float64(f.size)/10+1e-9), pause)
	}
}

// Run plays a plan for some days.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Relays < len(o.Plan.Services) || o.Units < 2*len(o.Plan.Services) || o.Days <= 0 {
		return Result{}, fmt.Errorf("at least a relay and two planners a service, and some time")
	}
	if o.Start == 0 {
		o.Start = float64(time.Date(2026, 11, 30, 0, 0, 0, 0, time.UTC).Unix()) // a Monday
	}
	w, end := setup(o), o.Days*86400
	for w.now < end {
		if err := ctx.Err(); err != nil {
			break
		}
		w.run(math.Min(w.now+600, end))
		if o.Progress != nil {
			o.Progress(w.now / 86400)
		}
	}
	return w.result(), ctx.Err()
}

// setup makes a world that has not begun.
func setup(o Options) *world {
	w := &world{opt: o, plan: withRelays(o.Plan, o.Relays), epoch: o.Start, log: sha256.New()}
	w.rng = w.random("world", 0)
	w.check = newChecker(w)
	w.spell = spell{w: w}
	w.desk = newDeskLink(w)
	w.build(o)
	w.scenario(o)
	w.spell.plan()
	w.at(w.spell.from, w.spell.wake)
	w.desk.due()
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
			q.Services[i].Relays = append(q.Services[i].Relays, plan.Relay{Name: nodeName(k), Site: plan.SiteIndex(k % len(q.Sites))})
		}
	}
	return &q
}

// build puts fleets and relays together.
func (w *world) build(o Options) {
	for i := range w.plan.Services {
		s := &w.plan.Services[i]
		f := &fleet{w: w, no: plan.ServiceIndex(i), name: s.Name, builds: map[relay.Build]fault{1: {name: "good", only: -1, slower: 1}},
			stable: 1, size: o.Units / len(w.plan.Services), rng: w.random("fleet", i)}
		f.set = w.settings(f.no, len(s.Relays))
		if o.Change != nil {
			o.Change(&f.set)
		}
		w.fleets = append(w.fleets, f)
		for k := range f.size {
			f.launch(1, plan.SiteIndex(k%len(w.plan.Sites)), 0)
		}
		hears := make([]bool, len(w.plan.Services))
		for _, n := range rollout.DependenciesOf(w.plan, f.no) {
			hears[n] = true
		}
		for k, r := range s.Relays {
			x := &node{f: f, no: relay.ID(k), name: r.Name, site: r.Site, hears: hears, rng: w.random("relay"+s.Name, k)}
			x.offset = between(x.rng, -1, 1) * o.Faults.Skew
			x.weight = 1
			if k%5 == 0 {
				x.weight = 4 // a few carry far more
			}
			f.nodes = append(f.nodes, x)
			w.nodes = append(w.nodes, x)
		}
	}
	for _, x := range w.nodes {
		x.start()
	}
	for i := range w.check.freeze {
		for _, z := range w.check.freeze[i] {
			for _, t := range []float64{z.from, z.to} {
				if t > 0 {
					w.at(t, w.check.edge)
					w.spell.marks = append(w.spell.marks, t)
				}
			}
		}
	}
}

// offer brings a new build of a service at a time.
func (w *world) offer(s int, at float64) {
	w.spell.marks = append(w.spell.marks, at)
	w.at(at, func() {
		f := w.fleets[s]
		b := relay.Build(2)
		for x := range f.builds {
			b = max(b, x+1)
		}
		f.builds[b] = drawFault(w.rng, w.opt.BadPart)
		if e, err := w.desk.core.Offer(f.no, b, "lab", f.builds[b].name, w.unix()); err == nil {
			w.desk.take(e)
		}
	})
}

// silence has the desk say nothing, and hear nothing, for a while.
func (w *world) silence(at, d float64) {
	w.spell.marks = append(w.spell.marks, at, at+d)
	w.at(at, func() { w.mark("desk silent"); w.desk.silent = true })
	w.at(at+d, func() { w.mark("desk speaks"); w.desk.silent = false; w.desk.again() })
}

// scenario draws the days: a release of each service a day and a second where there is time, one that meets a freeze's
// start, a desk that falls silent across one, restarts, lateness.
func (w *world) scenario(o Options) {
	r := w.random("scenario", 0)
	n := len(w.fleets)
	for day := 0.0; day < o.Days; day++ {
		base := day * 86400
		morning := base + between(r, 6.2, 6.8)*3600
		apart := between(r, 40, 200)
		if r.Float64() < 0.25 {
			apart = 0 // all in the same second
		}
		for s := range n {
			w.offer(s, morning+float64(s)*apart)
			w.offer(s, base+between(r, 10, 11)*3600+float64(s)*apart)
		}
		// A late one, which the first freeze after 12:00 catches in the middle of a step.
		if int(day)%2 == 0 {
			start := w.firstFreeze(base + 12*3600)
			for s := range n {
				w.offer(s, start-between(r, 25, 75))
			}
			if int(day)%4 == 0 || r.Float64() < o.Faults.Silence {
				w.silence(start-between(r, 1, 12), between(r, 15, 60))
			}
		}
		f := o.Faults
		if r.Float64() < f.Silence {
			w.silence(morning+between(r, 10, 120), between(r, 5, 30))
		}
		if f.Silence >= 0.5 { // the whole night: a freeze that begins and ends within it
			start := w.firstFreeze(base + 12*3600)
			w.silence(start-5, 9*3600)
		}
		if day == 1 || r.Float64() < f.Desk {
			at := morning + between(r, 10, 200)
			forget := int(math.Round(f.Forget * between(r, 0, 3)))
			w.at(at, func() { w.desk.restart(forget) })
		}
		if r.Float64() < f.Late || f.Late >= 1 {
			at := morning + between(r, 0, 100)
			w.at(at, func() { w.desk.late = 3 * math.Min(1, 2*f.Late) })
			w.at(at+between(r, 20, 90), func() { w.desk.late = 0 })
			start := w.firstFreeze(base + 12*3600)
			w.at(start-20, func() { w.desk.late = 3 * math.Min(1, 2*f.Late) })
			w.at(start+20, func() { w.desk.late = 0 })
		}
		for _, x := range w.nodes {
			if r.Float64() < f.Relays || day == 2 && x.no == 1 {
				x, at := x, morning+between(r, 5, 200)
				if r.Float64() < 0.3 { // it starts during a freeze
					at = w.firstFreeze(base+12*3600) + between(r, -5, 10)
				}
				w.at(at, func() { w.mark("relay %s of %s killed", x.name, x.f.name); x.kill() })
				w.at(at+between(r, 1, 5), x.start)
			}
		}
		for s := range n {
			if r.Float64() < f.Deployer {
				fl, d := w.fleets[s], between(r, 5, 20)
				w.at(morning+between(r, 5, 60), func() { w.mark("deployer of %s stands still", fl.name); fl.stall(d) })
			}
		}
	}
	sort.Float64s(w.spell.marks)
}

// firstFreeze is the first start of a freeze after a time; six in the evening where there is none.
func (w *world) firstFreeze(after float64) float64 {
	best := after + 6*3600
	for _, f := range w.check.freeze {
		for _, z := range f {
			if z.from > after {
				best = math.Min(best, z.from)
			}
		}
	}
	return best
}

func (w *world) result() Result {
	c, s := w.check, &w.stats
	for i := range w.desk.since {
		w.desk.held[w.desk.code[i]] += w.unix() - w.desk.since[i]
	}
	out := Result{Seed: w.opt.Seed, Days: w.now / 86400, Relays: len(w.nodes), Units: w.opt.Units, Steps: int(s.steps), Legs: s.legs,
		TrialLegs: s.trialLegs, Queries: s.queries, Honoured: s.honoured, Denied: s.denied, WrittenOff: s.writtenOff,
		Service: s.served / math.Max(s.worth, 1e-9), BadWorth: s.badWorth, Broken: c.broken, BrokenMore: c.more, BrokenBy: c.by,
		MostOfCap: c.most, Held: map[string]float64{}, Awake: s.awakeFor, Hash: hex.EncodeToString(w.log.Sum(nil)), Moves: c.moves,
		Lines: w.lines}
	if out.Broken == nil {
		out.Broken = []Broken{}
	}
	for code, d := range w.desk.held {
		if code == rollout.Unblocked {
			code = "free"
		}
		out.Held[string(code)] = math.Round(d)
	}
	out.releases(w)
	for k, most := range c.use {
		out.Use = append(out.Use, Use{float64(k.part) / 6, w.plan.Services[k.service].Name, most})
	}
	sort.Slice(out.Use, func(i, j int) bool {
		a, b := out.Use[i], out.Use[j]
		return a.Hour < b.Hour || a.Hour == b.Hour && a.Service < b.Service
	})
	for i := range w.plan.Freezes {
		out.Names = append(out.Names, w.plan.Freezes[i].Name)
		var spans []float64
		for _, z := range c.freeze[i] {
			spans = append(spans, z.from, z.to)
		}
		out.Spans = append(out.Spans, spans)
	}
	return out
}

// releases folds the moves into what became of each build.
func (o *Result) releases(w *world) {
	type key struct {
		s string
		b relay.Build
	}
	at := map[key]*Release{}
	var order []key
	for _, m := range o.Moves {
		k := key{m.Service, m.Build}
		r := at[k]
		if r == nil {
			no, _ := w.plan.Service(m.Service)
			f := w.fleets[no].builds[m.Build]
			r = &Release{Service: m.Service, Build: m.Build, Fault: f.name, Bad: !f.good(), Offered: -1, Began: -1, Released: -1, Back: -1}
			at[k] = r
			order = append(order, k)
		}
		switch m.Kind {
		case rollout.EventOffered, rollout.EventSuperseded:
			r.Offered = m.Time
		case rollout.EventBegan:
			r.Began = m.Time
		case rollout.EventPromoted:
			r.Steps++
		case rollout.EventReleased:
			r.Released, r.Steps = m.Time, r.Steps+1
		case rollout.EventRollingBack:
			r.Back = m.Time
		}
	}
	goods, bads, out, badOut, took := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, k := range order {
		r := at[k]
		o.Releases = append(o.Releases, *r)
		if r.Began < 0 {
			continue
		}
		stays := r.Released >= 0 && r.Back < 0
		switch {
		case r.Bad:
			bads++
			if stays {
				badOut++
			}
		default:
			goods++
			if stays {
				out, took = out+1, took+r.Released-r.Offered
			}
		}
	}
	o.GoodOut, o.BadOut = out/math.Max(goods, 1), badOut/math.Max(bads, 1)
	o.GoodTook = took / math.Max(out, 1)
}
