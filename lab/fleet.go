package lab

import (
	"math"
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Facts of the emulated site, each with its unit.
const (
	CoresEach   = 3     // cores of a planner
	MostQueue   = 60    // queries that a planner holds before it turns more away
	warmUp      = 4.0   // s until a started planner can do all of its work
	coldFrom    = 0.4   // part of it that it can do at first
	fallTimes   = 3.0   // times what a cold planner can do at which it falls over
	fallAfter   = 1.0   // s of that
	drainFor    = 2.0   // s from a planner's drain to its end
	startFor    = 1.5   // s that a planner takes to start
	retellEvery = 5.0   // s between news that say the same again
	signEvery   = 1.0   // s between signs of life of the other services' desks
	queriesEach = 8.0   // queries a second for each planner of a fleet, on an ordinary day
	crossTook   = 0.001 // s one way between sites
	nearTook    = 0.0003
)

// category is what a query of a kind is like.
type category struct {
	name     string
	share    float64
	work     [2]float64 // s on a core of speed 1
	due      float64
	patience float64
	value    float64
	repeat   relay.Idempotency
	window   float64 // in which a site drops a repeat
}

var categories = []category{
	{"next-turn", 0.38, [2]float64{0.08, 0.13}, 0.8, 2.5, 2, relay.Idempotent, 0},
	{"full-route", 0.31, [2]float64{0.11, 0.19}, 1.5, 4, 1, relay.Idempotent, 0},
	{"stop-done", 0.16, [2]float64{0.08, 0.13}, 1, 4, 3, relay.IdempotencyKeyed, 4},
	{"reassign", 0.15, [2]float64{0.11, 0.19}, 1.2, 4, 3, relay.AtMostOnce, 0},
}

// fault is what is wrong with a build.
type fault struct {
	name   string
	fails  float64 // part of its queries
	only   int     // of this category alone; -1: all
	slower float64 // times the work
	after  float64 // s of a planner's age from which it shows
}

// good says that nothing is wrong.
func (f fault) good() bool { return f.fails == 0 && f.slower <= 1.2 }

func drawFault(r *rand.Rand, badPart float64) fault {
	if r.Float64() >= badPart {
		return fault{name: "good", only: -1, slower: between(r, 0.92, 1.08)}
	}
	switch r.Intn(4) {
	case 0:
		return fault{name: "fails", fails: between(r, 0.08, 0.36), only: -1, slower: 1}
	case 1:
		return fault{name: "more work", only: -1, slower: between(r, 2, 3.5)}
	case 2:
		return fault{name: "fails one category", fails: between(r, 0.4, 0.9), only: r.Intn(len(categories)), slower: 1}
	}
	return fault{name: "turns slow late", fails: between(r, 0.15, 0.4), only: -1, slower: between(r, 2, 3), after: between(r, 5, 11)}
}

// planner is one server of a fleet.
type planner struct {
	f       *fleet
	id      relay.EndpointID
	site    plan.SiteIndex
	build   relay.Build
	speed   float64
	state   relay.EndpointState
	started float64
	cold    bool // it was started within the run: it warms up
	listed  bool
	paused  float64 // until when it stands still
	running int
	waiting []*leg
	fallen  bool
	ill     illness
	rng     *rand.Rand
	sent    []load // legs sent to it while it is cold, for rule 4
}

// load is a leg's work, by when it was sent.
type load struct{ at, work float64 }

// warmth is the part of its work that it can do.
func (p *planner) warmth() float64 {
	if !p.cold {
		return 1
	}
	return math.Min(1, coldFrom+(1-coldFrom)*(p.f.w.now-p.started)/warmUp)
}

// come takes a leg in.
func (p *planner) come(l *leg) {
	w := p.f.w
	switch {
	case p.state == relay.Removed:
		w.in(l.way, func() { l.end(relay.ConnectFailed) })
		return
	case p.fallen: // it answers nothing any more
		return
	case len(p.waiting) >= MostQueue || p.state == relay.Draining && w.now > l.q.x.unitTold[p.id]+1:
		w.in(l.way, func() { l.end(relay.RejectedByEndpoint) })
		return
	}
	w.check.ran(l)
	p.waiting = append(p.waiting, l)
	p.start()
}

func (p *planner) start() {
	w := p.f.w
	if p.paused > w.now || p.fallen {
		return
	}
	for p.running < CoresEach && len(p.waiting) > 0 {
		l := p.waiting[0]
		p.waiting = p.waiting[1:]
		if l.over {
			continue // given up while it waited
		}
		p.running++
		bad := p.f.builds[p.build]
		took := l.q.work / p.speed / p.warmth()
		fails := false
		if w.now-p.started >= bad.after {
			took *= bad.slower
			fails = (bad.only < 0 || bad.only == int(l.q.Class)) && p.rng.Float64() < bad.fails
		}
		if p.ill.until > w.now {
			took *= math.Max(p.ill.slower, 1)
			fails = fails || p.rng.Float64() < p.ill.fails
		}
		if l.q.fails > 0 {
			l.q.fails--
			fails = true
		}
		w.in(took, func() {
			p.running--
			how := relay.Succeeded
			if fails {
				how = relay.Errored
			}
			if p.state == relay.Removed {
				how = relay.ConnectionBroken
			}
			w.in(l.way, func() { l.end(how) })
			p.start()
		})
	}
}

// pause has the planner stand still.
func (p *planner) pause(d float64) {
	p.paused = p.f.w.now + d
	p.f.w.in(d, p.start)
}

// fleet is one service: its planners, what lists them, what starts and drains them, and its relays.
type fleet struct {
	w       *world
	no      plan.ServiceIndex
	name    string
	set     relay.Settings
	units   []*planner
	nodes   []*node
	builds  map[relay.Build]fault
	stable  relay.Build // that the earlier planners run
	size    int
	nextID  relay.EndpointID
	rng     *rand.Rand
	stalled bool
	pending []relay.RolloutStatus // that a stalled deployer has not looked at
	heard   relay.RolloutStatus   // that the deployer acts on
}

// told is news to the deployer.
func (f *fleet) told(n relay.RolloutStatus, lag float64) {
	f.w.in(lag, func() {
		if f.stalled {
			f.pending = append(f.pending, n)
			return
		}
		f.deploy(n)
	})
}

// stall has the deployer stand still.
func (f *fleet) stall(d float64) {
	f.stalled = true
	f.w.in(d, func() {
		f.stalled = false
		late := f.pending
		f.pending = nil
		for _, n := range late {
			f.deploy(n)
		}
	})
}

// deploy brings the fleet to where the news has it: planners of the trial where the step is open, all of a released
// build, none of one that goes back.
func (f *fleet) deploy(n relay.RolloutStatus) {
	if n.Build < f.heard.Build || n.Build == f.heard.Build && (f.heard.Phase == relay.PhaseWithdrawn || f.heard.Phase == relay.PhaseRollingBack && n.Phase == relay.PhaseCanary) {
		return
	}
	f.heard = n
	t := &f.w.plan.Services[f.no]
	bySite := make([]int, len(f.w.plan.Sites))
	for _, u := range f.live() {
		if u.build == n.Build {
			bySite[u.site]++
		}
	}
	switch n.Phase {
	case relay.PhaseCanary, relay.PhaseReleased:
		step := plan.StepIndex(n.Stage)
		if n.Phase == relay.PhaseReleased {
			step = plan.StepIndex(len(t.Steps) - 1)
		}
		touched := 0.0
		for s := range bySite {
			if t.OpenAtSite(step, plan.SiteIndex(s)) {
				touched++
			}
		}
		for s := range bySite { // the share is one of the whole fleet, at the sites that are open
			each := float64(f.size) / float64(len(bySite))
			want := 0
			if t.OpenAtSite(step, plan.SiteIndex(s)) {
				want = int(math.Ceil(float64(f.size)*t.Steps[step].Share/touched - 1e-9))
			}
			if n.Phase == relay.PhaseReleased {
				want = int(math.Ceil(each))
			}
			if s > 0 && n.Phase == relay.PhaseCanary && f.oneSide(n.Build) {
				want = 0
			}
			for k := bySite[s]; k < want; k++ {
				f.launch(n.Build, plan.SiteIndex(s), between(f.rng, 0, 1)+startFor)
			}
		}
		if n.Phase == relay.PhaseReleased && f.stable < n.Build {
			f.stable = n.Build
			f.drain(func(u *planner) bool { return u.build < n.Build }, 6)
		}
	case relay.PhaseRollingBack, relay.PhaseWithdrawn:
		if n.Build == f.stable { // it was released: the one before comes back
			f.stable = f.before(n.Build)
			for s := range bySite {
				for range int(math.Ceil(float64(f.size) / float64(len(bySite)))) {
					f.launch(f.stable, plan.SiteIndex(s), between(f.rng, 0, 1)+startFor)
				}
			}
			f.drain(func(u *planner) bool { return u.build >= n.Build }, 6)
			return
		}
		f.drain(func(u *planner) bool { return u.build >= n.Build }, 0)
	}
}

// oneSide says whether a build's trial gets planners at the first site alone, as the same draw says each time.
func (f *fleet) oneSide(b relay.Build) bool {
	return f.w.random("one-side"+f.name, int(b)).Float64() < f.w.opt.Faults.OneSide
}

// before is the latest good enough build before another: the one that was stable then.
func (f *fleet) before(b relay.Build) relay.Build {
	best := relay.Build(1)
	for x := range f.builds {
		if x < b && x > best && f.w.check.wasReleased(f.name, x) {
			best = x
		}
	}
	return best
}

func (f *fleet) live() (out []*planner) {
	for _, u := range f.units {
		if u.state == relay.Ready {
			out = append(out, u)
		}
	}
	return out
}

// launch starts a planner.
func (f *fleet) launch(b relay.Build, site plan.SiteIndex, after float64) *planner {
	f.nextID++
	u := &planner{f: f, id: f.nextID, site: site, build: b, state: relay.Removed, cold: after > 0,
		rng: f.w.random("planner"+f.name, int(f.nextID))}
	u.speed = between(u.rng, 1.3, 1.7)
	if u.rng.Float64() < 0.39 {
		u.speed = between(u.rng, 0.9, 1.1)
	}
	f.units = append(f.units, u)
	u.state = relay.Ready // counted on, and listed once it runs
	up := func() {
		if u.state == relay.Ready {
			u.started = f.w.now
			u.listed = true
			f.list(u)
		}
	}
	if after <= 0 {
		u.started, u.listed = -1e6, true
	} else {
		f.w.in(after, up)
	}
	return u
}

// drain takes planners out, a little later, and lists them so.
func (f *fleet) drain(which func(*planner) bool, after float64) {
	f.w.in(after, func() {
		for _, u := range f.units {
			if u.state != relay.Ready || !which(u) {
				continue
			}
			u := u
			u.state = relay.Draining
			f.list(u)
			f.w.in(drainFor, func() {
				u.state = relay.Removed
				f.list(u)
				f.w.in(20, f.forget)
			})
		}
	})
}

// forget drops planners that are gone.
func (f *fleet) forget() {
	kept := f.units[:0]
	for _, u := range f.units {
		if u.state != relay.Removed || u.running > 0 {
			kept = append(kept, u)
		}
	}
	clear(f.units[len(kept):])
	f.units = kept
}

// list tells every relay of the fleet of a planner, each with its own lag.
func (f *fleet) list(u *planner) {
	if !u.listed && u.state == relay.Ready {
		return
	}
	e := u.entry()
	for _, x := range f.nodes {
		x, life := x, x.life
		f.w.in(between(f.rng, 0.1, 0.5)+f.w.opt.Faults.RosterLag*between(f.rng, 0, 4), func() {
			if x.alive && x.life == life {
				x.list(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: []relay.Endpoint{e}})
			}
		})
	}
}

func (u *planner) entry() relay.Endpoint {
	return relay.Endpoint{ID: u.id, Zone: relay.Zone(u.site), Build: u.build, Weight: 1, State: u.state,
		StartKnown: u.cold, StartedAt: u.started}
}

// moved notes what the desk did.
func (f *fleet) moved(e rollout.Event) {
	if e.Kind == rollout.EventOffered || e.Kind == rollout.EventSuperseded {
		return
	}
	if f.w.opt.Faults.Early > 0 && e.Kind == rollout.EventBegan && f.rng.Float64() < f.w.opt.Faults.Early {
		// The deployer errs: a planner of a build that nobody has announced yet is there already.
		f.builds[e.Build+1] = fault{name: "unannounced", fails: 0.5, only: -1, slower: 1}
		f.launch(e.Build+1, plan.SiteIndex(f.rng.Intn(len(f.w.plan.Sites))), startFor)
		f.drain(func(u *planner) bool { return u.build == e.Build+1 && f.builds[u.build].name == "unannounced" }, 45) // it is noticed
	}
}

// query is one query of a client.
type query struct {
	relay.Request
	x       *node
	at, due float64
	work    float64
	legs    []*leg
	over    bool
	until   float64
	group   plan.GroupIndex
	fails   int // legs of it that fail, as a trace has it
}

// leg is one try of it.
type leg struct {
	q    *query
	no   relay.AttemptNumber
	u    *planner
	at   float64
	way  float64 // s one way
	over bool    // it has its end
	ran  bool    // the planner took it in
}

// node is one relay that runs: the real module, and its guard.
type node struct {
	f        *fleet
	no       relay.ID
	name     string
	site     plan.SiteIndex
	offset   float64 // of its clock
	weight   float64
	hears    []bool // by service: whose desk it watches
	alive    bool
	life     int
	born     float64
	mod      module
	guard    *rollout.Guard
	queries  map[relay.RequestID]*query
	lastID   relay.RequestID
	guardAt  float64
	unitTold map[relay.EndpointID]float64 // when it was told that a unit drains or is gone
	rng      *rand.Rand
	buffer   []relay.Event
}

// module is a decision module; the real one, or a baseline.
type module interface {
	Step(now relay.Seconds, events []relay.Event) []relay.Command
}
