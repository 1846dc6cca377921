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
	CoresPerEndpoint     = 3     // cores of a planner
	MaxQueue             = 60    // queries that a planner holds before it turns more away
	slowStartTime        = 4.0   // s until a started planner can do all of its work
	slowStartFloor       = 0.4   // part of it that it can do at first
	overloadMultiple     = 3.0   // times what a cold planner can do at which it falls over
	overloadWindow       = 1.0   // s of that
	drainTime            = 2.0   // s from a planner's drain to its end
	startTime            = 1.5   // s that a planner takes to start
	statusRepeatInterval = 5.0   // s between news that say the same again
	aliveInterval        = 1.0   // s between signs of life of the other services' desks
	requestsPerEndpoint  = 8.0   // queries a second for each planner of a fleet, on an ordinary day
	crossSiteDelay       = 0.001 // s one way between sites
	sameSiteDelay        = 0.0003
)

// fault is what is wrong with a build.
type buildFault struct {
	name        string
	failureRate float64 // part of its queries
	onlyClass   int     // of this category alone; -1: all
	slowdown    float64 // times the work
	fromAge     float64 // s of a planner's age from which it shows
}

// good says that nothing is wrong.
func (f buildFault) isGood() bool { return f.failureRate == 0 && f.slowdown <= 1.2 }

func drawBuildFault(r *rand.Rand, badPart float64) buildFault {
	if r.Float64() >= badPart {
		return buildFault{name: "good", onlyClass: -1, slowdown: uniform(r, 0.92, 1.08)}
	}
	switch r.Intn(4) {
	case 0:
		return buildFault{name: "fails", failureRate: uniform(r, 0.08, 0.36), onlyClass: -1, slowdown: 1}
	case 1:
		return buildFault{name: "more work", onlyClass: -1, slowdown: uniform(r, 2, 3.5)}
	case 2:
		return buildFault{name: "fails one category", failureRate: uniform(r, 0.4, 0.9), onlyClass: r.Intn(len(requestClasses)), slowdown: 1}
	}
	return buildFault{name: "turns slow late", failureRate: uniform(r, 0.15, 0.4), onlyClass: -1, slowdown: uniform(r, 2, 3), fromAge: uniform(r, 5, 11)}
}

// planner is one server of a fleet.
type endpoint struct {
	fleet       *fleet
	id          relay.EndpointID
	site        plan.SiteIndex
	build       relay.Build
	speed       float64
	state       relay.EndpointState
	startedAt   float64
	inSlowStart bool // it was started within the run: it warms up
	listed      bool
	pausedUntil float64 // until when it stands still
	running     int
	waiting     []*attempt
	overloaded  bool
	fault       activeFault
	random      *rand.Rand
	recentLoad  []load // legs sent to it while it is cold, for rule 4
}

// load is a leg's work, by when it was sent.
type load struct{ at, work float64 }

// warmth is the part of its work that it can do.
func (p *endpoint) slowStartFraction() float64 {
	if !p.inSlowStart {
		return 1
	}
	return math.Min(1, slowStartFloor+(1-slowStartFloor)*(p.fleet.simulation.now-p.startedAt)/slowStartTime)
}

// come takes a leg in.
func (p *endpoint) receive(l *attempt) {
	w := p.fleet.simulation
	switch {
	case p.state == relay.Removed:
		w.runAfter(l.delay, func() { l.end(relay.ConnectFailed) })
		return
	case p.overloaded: // it answers nothing any more
		return
	case len(p.waiting) >= MaxQueue || p.state == relay.Draining && w.now > l.request.relay.leavingSince[p.id]+1:
		w.runAfter(l.delay, func() { l.end(relay.RejectedByEndpoint) })
		return
	}
	w.checker.attemptRan(l)
	p.waiting = append(p.waiting, l)
	p.startWaiting()
}

func (p *endpoint) startWaiting() {
	w := p.fleet.simulation
	if p.pausedUntil > w.now || p.overloaded {
		return
	}
	for p.running < CoresPerEndpoint && len(p.waiting) > 0 {
		l := p.waiting[0]
		p.waiting = p.waiting[1:]
		if l.ended {
			continue // given up while it waited
		}
		p.running++
		bad := p.fleet.builds[p.build]
		took := l.request.work / p.speed / p.slowStartFraction()
		fails := false
		if w.now-p.startedAt >= bad.fromAge {
			took *= bad.slowdown
			fails = (bad.onlyClass < 0 || bad.onlyClass == int(l.request.Class)) && p.random.Float64() < bad.failureRate
		}
		if p.fault.until > w.now {
			took *= math.Max(p.fault.slowdown, 1)
			fails = fails || p.random.Float64() < p.fault.failureRate
		}
		if l.request.failuresLeft > 0 {
			l.request.failuresLeft--
			fails = true
		}
		w.runAfter(took, func() {
			p.running--
			how := relay.Succeeded
			if fails {
				how = relay.Errored
			}
			if p.state == relay.Removed {
				how = relay.ConnectionBroken
			}
			w.runAfter(l.delay, func() { l.end(how) })
			p.startWaiting()
		})
	}
}

// pause has the planner stand still.
func (p *endpoint) pause(d float64) {
	p.pausedUntil = p.fleet.simulation.now + d
	p.fleet.simulation.runAfter(d, p.startWaiting)
}

// fleet is one service: its planners, what lists them, what starts and drains them, and its relays.
type fleet struct {
	simulation      *simulation
	service         plan.ServiceIndex
	name            string
	settings        relay.Settings
	endpoints       []*endpoint
	relays          []*simulatedRelay
	builds          map[relay.Build]buildFault
	stable          relay.Build // that the earlier planners run
	size            int
	nextID          relay.EndpointID
	random          *rand.Rand
	stalled         bool
	pendingStatuses []relay.RolloutStatus // that a stalled deployer has not looked at
	deployed        relay.RolloutStatus   // that the deployer acts on
}

// told is news to the deployer.
func (f *fleet) statusReceived(n relay.RolloutStatus, lag float64) {
	f.simulation.runAfter(lag, func() {
		if f.stalled {
			f.pendingStatuses = append(f.pendingStatuses, n)
			return
		}
		f.deploy(n)
	})
}

// stall has the deployer stand still.
func (f *fleet) stallDeployer(d float64) {
	f.stalled = true
	f.simulation.runAfter(d, func() {
		f.stalled = false
		late := f.pendingStatuses
		f.pendingStatuses = nil
		for _, n := range late {
			f.deploy(n)
		}
	})
}

// deploy brings the fleet to where the news has it: planners of the trial where the step is open, all of a released
// build, none of one that goes back.
func (f *fleet) deploy(n relay.RolloutStatus) {
	if n.Build < f.deployed.Build || n.Build == f.deployed.Build && (f.deployed.Phase == relay.PhaseWithdrawn || f.deployed.Phase == relay.PhaseRollingBack && n.Phase == relay.PhaseCanary) {
		return
	}
	f.deployed = n
	t := &f.simulation.plan.Services[f.service]
	bySite := make([]int, len(f.simulation.plan.Sites))
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
			if s > 0 && n.Phase == relay.PhaseCanary && f.canaryAtOneSite(n.Build) {
				want = 0
			}
			for k := bySite[s]; k < want; k++ {
				f.launch(n.Build, plan.SiteIndex(s), uniform(f.random, 0, 1)+startTime)
			}
		}
		if n.Phase == relay.PhaseReleased && f.stable < n.Build {
			f.stable = n.Build
			f.drain(func(u *endpoint) bool { return u.build < n.Build }, 6)
		}
	case relay.PhaseRollingBack, relay.PhaseWithdrawn:
		if n.Build == f.stable { // it was released: the one before comes back
			f.stable = f.stableBefore(n.Build)
			for s := range bySite {
				for range int(math.Ceil(float64(f.size) / float64(len(bySite)))) {
					f.launch(f.stable, plan.SiteIndex(s), uniform(f.random, 0, 1)+startTime)
				}
			}
			f.drain(func(u *endpoint) bool { return u.build >= n.Build }, 6)
			return
		}
		f.drain(func(u *endpoint) bool { return u.build >= n.Build }, 0)
	}
}

// canaryAtOneSite says whether a build's trial gets planners at the first site alone, as the same draw says each time.
func (f *fleet) canaryAtOneSite(b relay.Build) bool {
	return f.simulation.newRandom("one-side"+f.name, int(b)).Float64() < f.simulation.options.Faults.OneSiteCanaries
}

// before is the latest good enough build before another: the one that was stable then.
func (f *fleet) stableBefore(b relay.Build) relay.Build {
	best := relay.Build(1)
	for x := range f.builds {
		if x < b && x > best && f.simulation.checker.wasReleased(f.name, x) {
			best = x
		}
	}
	return best
}

func (f *fleet) live() (out []*endpoint) {
	for _, u := range f.endpoints {
		if u.state == relay.Ready {
			out = append(out, u)
		}
	}
	return out
}

// launch starts a planner.
func (f *fleet) launch(b relay.Build, site plan.SiteIndex, after float64) *endpoint {
	f.nextID++
	u := &endpoint{fleet: f, id: f.nextID, site: site, build: b, state: relay.Removed, inSlowStart: after > 0,
		random: f.simulation.newRandom("planner"+f.name, int(f.nextID))}
	u.speed = uniform(u.random, 1.3, 1.7)
	if u.random.Float64() < 0.39 {
		u.speed = uniform(u.random, 0.9, 1.1)
	}
	f.endpoints = append(f.endpoints, u)
	u.state = relay.Ready // counted on, and listed once it runs
	up := func() {
		if u.state == relay.Ready {
			u.startedAt = f.simulation.now
			u.listed = true
			f.announce(u)
		}
	}
	if after <= 0 {
		u.startedAt, u.listed = -1e6, true
	} else {
		f.simulation.runAfter(after, up)
	}
	return u
}

// drain takes planners out, a little later, and lists them so.
func (f *fleet) drain(which func(*endpoint) bool, after float64) {
	f.simulation.runAfter(after, func() {
		for _, u := range f.endpoints {
			if u.state != relay.Ready || !which(u) {
				continue
			}
			u := u
			u.state = relay.Draining
			f.announce(u)
			f.simulation.runAfter(drainTime, func() {
				u.state = relay.Removed
				f.announce(u)
				f.simulation.runAfter(20, f.forgetRemoved)
			})
		}
	})
}

// forget drops planners that are gone.
func (f *fleet) forgetRemoved() {
	kept := f.endpoints[:0]
	for _, u := range f.endpoints {
		if u.state != relay.Removed || u.running > 0 {
			kept = append(kept, u)
		}
	}
	clear(f.endpoints[len(kept):])
	f.endpoints = kept
}

// list tells every relay of the fleet of a planner, each with its own lag.
func (f *fleet) announce(u *endpoint) {
	if !u.listed && u.state == relay.Ready {
		return
	}
	e := u.listEntry()
	for _, x := range f.relays {
		x, life := x, x.incarnation
		f.simulation.runAfter(uniform(f.random, 0.1, 0.5)+f.simulation.options.Faults.ListLag*uniform(f.random, 0, 4), func() {
			if x.alive && x.incarnation == life {
				x.listUpdated(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: []relay.Endpoint{e}})
			}
		})
	}
}

func (u *endpoint) listEntry() relay.Endpoint {
	return relay.Endpoint{ID: u.id, Zone: relay.Zone(u.site), Build: u.build, Weight: 1, State: u.state,
		StartKnown: u.inSlowStart, StartedAt: u.startedAt}
}

// moved notes what the desk did.
func (f *fleet) controllerStepped(e rollout.Event) {
	if e.Kind == rollout.EventOffered || e.Kind == rollout.EventSuperseded {
		return
	}
	if f.simulation.options.Faults.UnannouncedBuilds > 0 && e.Kind == rollout.EventBegan && f.random.Float64() < f.simulation.options.Faults.UnannouncedBuilds {
		// The deployer errs: a planner of a build that nobody has announced yet is there already.
		f.builds[e.Build+1] = buildFault{name: "unannounced", failureRate: 0.5, onlyClass: -1, slowdown: 1}
		f.launch(e.Build+1, plan.SiteIndex(f.random.Intn(len(f.simulation.plan.Sites))), startTime)
		f.drain(func(u *endpoint) bool { return u.build == e.Build+1 && f.builds[u.build].name == "unannounced" }, 45) // it is noticed
	}
}

// query is one query of a client.
type simulatedRequest struct {
	relay.Request
	relay                  *simulatedRelay
	arrivedAt, objectiveAt float64
	work                   float64
	attempts               []*attempt
	ended                  bool
	deadlineAt             float64
	group                  plan.GroupIndex
	failuresLeft           int // legs of it that fail, as a trace has it
}

// leg is one try of it.
type attempt struct {
	request  *simulatedRequest
	number   relay.AttemptNumber
	endpoint *endpoint
	sentAt   float64
	delay    float64 // s one way
	ended    bool    // it has its end
	ran      bool    // the planner took it in
}

// node is one relay that runs: the real module, and its guard.
type simulatedRelay struct {
	fleet        *fleet
	id           relay.RelayID
	name         string
	site         plan.SiteIndex
	clockOffset  float64 // of its clock
	weight       float64
	watches      []bool // by service: whose desk it watches
	alive        bool
	incarnation  int
	startedAt    float64
	module       module
	guard        *rollout.Guard
	requests     map[relay.RequestID]*simulatedRequest
	lastID       relay.RequestID
	guardTimerAt float64
	leavingSince map[relay.EndpointID]float64 // when it was told that a unit drains or is gone
	random       *rand.Rand
	guardEvents  []relay.Event
}

// module is a decision module; the real one, or a baseline.
type module interface {
	Step(now relay.Seconds, events []relay.Event) []relay.Command
}
