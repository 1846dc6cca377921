package rollout

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Tuned values, each with its unit and the reason for its size.
const (
	mostVoters  = 4096    // relays of a service whose votes are kept: far more than any has
	voteBurst   = 0.25    // s of votes that may come at once: relays that were cut off come back together
	lookAgain   = 1.0     // s after which what waits for no time is looked at again at the latest
	mostBuild   = 1 << 16 // the protocol's news hold no higher build
	mostFreezes = 64      // set by operators and not lifted yet
	mostText    = 400     // bytes of an operator's words that are kept
)

// Release is where a build stands.
type Release struct {
	Build relay.Build
	Step  plan.StepIndex
	Phase relay.Phase
	Since plan.Unix // when the present step or phase began
	Began plan.Unix
}

// vote is one relay's, which stands for a while.
type vote struct {
	build   relay.Build
	step    plan.StepIndex
	verdict relay.Verdict
	at      plan.Unix
}

// closure is an operator's freeze.
type closure struct {
	Event
}

// service is the state of one service.
type service struct {
	newest  Release
	known   bool
	waiting relay.Build // offered and not begun; 0: none
	offered plan.Unix
	votes   map[string]vote
	halted  bool
	haltWhy Event
	// budget of the votes that are taken, by a bucket that leaks; not part of what is folded
	bucket   float64
	bucketAt plan.Unix
}

// Core is the state of all services of a plan, and what is decided about it.
type Core struct {
	plan     *plan.Plan
	calendar *plan.Calendar
	order    []plan.ServiceIndex
	services []service
	closures []closure
	last     plan.Unix // the latest time seen: the core's time never goes back
	off      Safeguards
}

// Defences that tests take out, to show what each is for. All stand by default.
type Safeguards struct{ Freezes, Needs, MinStageTime, NarrowLost, StaleVotes bool }

// New returns the state before any event.
func New(p *plan.Plan) *Core {
	c := &Core{plan: p, calendar: plan.NewCalendar(p, false), order: p.Order(), services: make([]service, len(p.Services))}
	for i := range c.services {
		c.services[i].votes = map[string]vote{}
	}
	return c
}

// Without takes defences out. Only for tests and for experiments that show what a defence is worth.
func (c *Core) Without(d Safeguards) { c.off = d }

// Plan is the plan that holds.
func (c *Core) Plan() *plan.Plan { return c.plan }

// Replan puts another plan in the place of the one that holds. Services keep their state by name; one whose build
// is on trial at a step that the next plan does not have can't be carried over, and nothing changes then.
func (c *Core) Replan(p *plan.Plan) error {
	next := New(p)
	next.off, next.closures, next.last = c.off, c.closures, c.last
	for i := range c.plan.Services {
		s, name := &c.services[i], c.plan.Services[i].Name
		to, there := p.Service(name)
		busy := s.known && (s.newest.Phase == relay.PhaseCanary || s.newest.Phase == relay.PhaseRollingBack)
		switch {
		case !there && (busy || s.waiting != 0):
			return fmt.Errorf("service %s has build %d under way and is not in the new plan", name, max(s.newest.Build, s.waiting))
		case !there:
			continue
		case busy && int(s.newest.Step) >= len(p.Services[to].Steps):
			return fmt.Errorf("service %s stands at step %d, which the new plan does not have", name, s.newest.Step)
		}
		next.services[to] = *s
	}
	*c = *next
	return nil
}

// Now moves the core's time forward; it never goes back, whatever the machine's clock does.
func (c *Core) now(at plan.Unix) plan.Unix {
	c.last = math.Max(c.last, at)
	return c.last
}

var errEvent = errors.New("does not follow from what is known")

// Apply folds an event into the state. An event that can't follow is refused and changes nothing: a journal that
// holds one is broken or of another plan.
func (c *Core) Apply(e Event) error {
	wrong := func(why string) error {
		return fmt.Errorf("%s of %s build %d: %s, %w", e.Kind, e.Service, e.Build, why, errEvent)
	}
	if !(e.At >= 0) || math.IsInf(e.At, 0) {
		return wrong("no time")
	}
	switch e.Kind {
	case EventControllerStarted:
		c.now(e.At)
		return nil
	case EventFrozen:
		if e.Name == "" || slices.ContainsFunc(c.closures, func(x closure) bool { return x.Name == e.Name }) {
			return wrong("the freeze has no name of its own")
		}
		if len(c.closures) >= mostFreezes {
			return wrong("too many freezes")
		}
		c.closures = append(c.closures, closure{e})
		c.now(e.At)
		return nil
	case EventUnfrozen:
		at := slices.IndexFunc(c.closures, func(x closure) bool { return x.Name == e.Name })
		if at < 0 {
			return wrong("there is no such freeze")
		}
		c.closures = slices.Delete(c.closures, at, at+1)
		c.now(e.At)
		return nil
	}
	no, ok := c.plan.Service(e.Service)
	if !ok {
		return wrong("no such service")
	}
	s, terms := &c.services[no], &c.plan.Services[no]
	under := s.known && s.newest.Build == e.Build
	trial := under && s.newest.Phase == relay.PhaseCanary
	next := Release{Build: e.Build, Step: e.Step, Phase: relay.PhaseCanary, Since: e.At, Began: s.newest.Began}
	switch e.Kind {
	case EventOffered:
		if e.Build <= 0 || e.Build >= mostBuild || e.Build <= s.waiting || s.known && e.Build <= s.newest.Build {
			return wrong("no later build")
		}
		s.waiting, s.offered = e.Build, e.At
	case EventSuperseded:
		if s.waiting == 0 || e.Build <= s.waiting {
			return wrong("none was waiting")
		}
		s.waiting, s.offered = e.Build, e.At
	case EventBegan:
		if s.waiting != e.Build || e.Step != 0 || s.busy() {
			return wrong("it can't begin")
		}
		next.Began = e.At
		s.newest, s.known, s.waiting = next, true, 0
		clear(s.votes)
	case EventPromoted:
		if !trial || e.Step != s.newest.Step+1 || int(e.Step) >= len(terms.Steps) {
			return wrong("not the next step")
		}
		s.newest = next
	case EventReleased:
		if !trial || int(s.newest.Step) != len(terms.Steps)-1 {
			return wrong("not at its last step")
		}
		next.Step, next.Phase = s.newest.Step, relay.PhaseReleased
		s.newest = next
	case EventRollingBack:
		if !under || s.newest.Phase != relay.PhaseCanary && s.newest.Phase != relay.PhaseReleased {
			return wrong("it can't go back")
		}
		next.Step, next.Phase = s.newest.Step, relay.PhaseRollingBack
		s.newest = next
	case EventWithdrawn:
		if !under || s.newest.Phase != relay.PhaseRollingBack {
			return wrong("it was not going back")
		}
		next.Step, next.Phase = s.newest.Step, relay.PhaseWithdrawn
		s.newest = next
	case EventVoted:
		if e.Relay == "" || len(s.votes) >= mostVoters && s.votes[e.Relay] == (vote{}) || e.Verdict < relay.NoVote ||
			e.Verdict > relay.VoteRollBack {
			return wrong("no vote")
		}
		s.votes[e.Relay] = vote{e.Build, e.Step, e.Verdict, e.At}
	case EventHalted:
		s.halted, s.haltWhy = true, e
	case EventResumed:
		s.halted = false
	default:
		return wrong("of no known kind")
	}
	c.now(e.At)
	return nil
}

// busy says that a build is on its way, on or back.
func (s *service) busy() bool {
	return s.known && (s.newest.Phase == relay.PhaseCanary || s.newest.Phase == relay.PhaseRollingBack)
}

// need is how many relays a share asks for, one at least.
func need(share float64, of int) int { return max(1, int(math.Ceil(share*float64(of)-1e-9))) }

// count gives the relays whose votes stand for a verdict on the newest build: at its present step, or at any for back.
func (c *Core) count(no plan.ServiceIndex, v relay.Verdict, now plan.Unix) (n int) {
	s := &c.services[no]
	for _, x := range s.votes {
		if x.verdict == v && x.build == s.newest.Build && now-x.at < c.plan.Services[no].Votes.TTL &&
			(v == relay.VoteRollBack || x.step == s.newest.Step && x.at >= s.newest.Since) {
			n++
		}
	}
	return n
}

// needed is how many votes a verdict takes.
func (c *Core) needed(no plan.ServiceIndex, v relay.Verdict) int {
	t := &c.plan.Services[no]
	if t.Votes.Control == plan.ControlSingleVote {
		return 1
	}
	return need(map[relay.Verdict]float64{relay.VotePromote: t.Votes.Promote, relay.VoteRollBack: t.Votes.RollBack, relay.VoteHold: t.Votes.Hold}[v],
		len(t.Relays))
}

// met says whether a need holds: the other service's newest build is at the step or past it and on its way on. An
// earlier build that stays out does not count, since the one that waits may have been made for the newer.
func (c *Core) met(n plan.Dependency) bool {
	s := &c.services[n.Service]
	return s.known && reached(n, s.newest.Phase, s.newest.Step)
}

func reached(n plan.Dependency, phase relay.Phase, step plan.StepIndex) bool {
	switch phase {
	case relay.PhaseReleased:
		return true
	case relay.PhaseCanary:
		return !n.Released && step >= n.Step
	}
	return false
}

// closed looks for a freeze, of the plan or an operator's, that stops a service from opening or raising anything at
// any site that a step touches. A release touches every site.
func (c *Core) closed(no plan.ServiceIndex, step plan.StepIndex, now plan.Unix) BlockReason {
	if c.off.Freezes {
		return BlockReason{}
	}
	t := &c.plan.Services[no]
	for _, x := range c.closures {
		if (x.Service == "" || x.Service == t.Name) && (x.Until == 0 || now < x.Until) {
			return BlockReason{BlockedByOperatorFreeze, fmt.Sprintf("freeze %s by %s: %s", x.Name, x.Who, x.Why), x.Until}
		}
	}
	what := plan.FreezePromotions
	if step == 0 {
		what = plan.FreezeStarts
	}
	return frozen(c.plan, c.calendar, no, step, what, now)
}

func frozen(p *plan.Plan, cal *plan.Calendar, no plan.ServiceIndex, step plan.StepIndex, what plan.FreezeEffect, now plan.Unix) (w BlockReason) {
	t := &p.Services[no]
	for i := range p.Sites {
		site := plan.SiteIndex(i)
		if int(step) < len(t.Steps) && !t.OpenAtSite(step, site) {
			continue
		}
		if f, in := cal.Frozen(now, no, site, what); in && f.Until > w.Until {
			w = BlockReason{BlockedByPlanFreeze, fmt.Sprintf("freeze %s until %s", p.Freezes[f.Freeze].Name, clockText(f.Until)), f.Until}
		}
	}
	return w
}

// May says whether a service may go to a step (0: begin; the number of its steps: be released) as far as plan and
// operators go. Votes and time are another matter.
func (c *Core) CanPromote(no plan.ServiceIndex, step plan.StepIndex, now plan.Unix) BlockReason {
	s, t := &c.services[no], &c.plan.Services[no]
	if s.halted {
		return BlockReason{BlockedByHalt, fmt.Sprintf("halted by %s: %s", s.haltWhy.Who, s.haltWhy.Why), 0}
	}
	if w := c.closed(no, step, now); !w.Ok() {
		return w
	}
	if till := s.newest.Since + t.SettleTime; step == 0 && s.known && s.newest.Phase == relay.PhaseReleased && now < till {
		// Relays and whoever runs the fleet must hear of the release and go over to it first.
		return BlockReason{BlockedBySettleTime, fmt.Sprintf("build %d was released, the next begins at %s", s.newest.Build, clockText(till)), till}
	}
	if c.off.Needs {
		return BlockReason{}
	}
	for k := plan.StepIndex(0); k <= step && int(k) < len(t.Steps); k++ { // what an earlier step needed must still hold
		for _, n := range t.Steps[k].Dependencies {
			if !c.met(n) {
				return BlockReason{BlockedByDependency, c.plan.DependencyText(n), 0}
			}
		}
	}
	return BlockReason{}
}

// Why says what the service waits for.
func (c *Core) Why(no plan.ServiceIndex, now plan.Unix) BlockReason {
	now = c.now(now)
	s, t := &c.services[no], &c.plan.Services[no]
	if s.busy() && s.newest.Phase == relay.PhaseRollingBack {
		return BlockReason{BlockedByRollback, fmt.Sprintf("build %d is going back", s.newest.Build), s.newest.Since + t.RollbackTime}
	}
	if !s.busy() {
		if s.waiting == 0 {
			return BlockReason{BlockedNoBuild, "no build is on trial or waiting", 0}
		}
		return c.CanPromote(no, 0, now)
	}
	if w := c.CanPromote(no, s.newest.Step+1, now); !w.Ok() {
		return w
	}
	if till := s.newest.Since + t.Steps[s.newest.Step].MinTime; now < till && !c.off.MinStageTime {
		return BlockReason{BlockedByMinTime, fmt.Sprintf("step %s lasts until %s at least", t.StepName(s.newest.Step), clockText(till)), till}
	}
	if t.Votes.Control == plan.ControlTimed {
		if n := c.count(no, relay.VoteHold, now); n >= c.needed(no, relay.VoteHold) {
			return BlockReason{BlockedByHoldVotes, fmt.Sprintf("%d relays hold it", n), 0}
		}
		if till := s.newest.Since + t.Votes.StepTime; now < till {
			return BlockReason{BlockedByMinTime, "the clock moves it at " + clockText(till), till}
		}
		return BlockReason{}
	}
	if n, of := c.count(no, relay.VotePromote, now), c.needed(no, relay.VotePromote); n < of {
		return BlockReason{BlockedByMissingVotes, fmt.Sprintf("%d of %d relays stand for it", n, of), 0}
	}
	return BlockReason{}
}

// Due gives the events that follow at a time, already folded in, in the order in which they happen: services that
// others need first, so that what begins in the same moment sees it.
func (c *Core) Advance(at plan.Unix) (out []Event) {
	now := c.now(at)
	do := func(no plan.ServiceIndex, e Event) {
		e.At, e.Service = now, c.plan.Services[no].Name
		if err := c.Apply(e); err != nil {
			panic("rollout: " + err.Error()) // Due only makes events that follow
		}
		out = append(out, e)
	}
	for i := len(c.closures) - 1; i >= 0; i-- {
		if x := c.closures[i]; x.Until > 0 && now >= x.Until {
			e := Event{At: now, Kind: EventUnfrozen, Service: x.Service, Name: x.Name, Who: "desk", Why: "its time is over"}
			if c.Apply(e) == nil {
				out = append(out, e)
			}
		}
	}
	for again := true; again; {
		again = false
		for _, no := range c.order {
			s, t := &c.services[no], &c.plan.Services[no]
			before := len(out)
			switch n := s.newest; {
			case s.known && (n.Phase == relay.PhaseCanary || n.Phase == relay.PhaseReleased) &&
				c.count(no, relay.VoteRollBack, now) >= c.needed(no, relay.VoteRollBack):
				// Back is always free: no freeze, halt or need stands in its way.
				do(no, Event{Kind: EventRollingBack, Build: n.Build, Step: n.Step, Why: fmt.Sprintf("%d relays vote it back", c.count(no, relay.VoteRollBack, now))})
			case s.known && n.Phase == relay.PhaseRollingBack && now >= n.Since+t.RollbackTime:
				do(no, Event{Kind: EventWithdrawn, Build: n.Build, Step: n.Step})
			case !s.busy() && s.waiting != 0 && c.CanPromote(no, 0, now).Ok():
				do(no, Event{Kind: EventBegan, Build: s.waiting})
			case s.known && n.Phase == relay.PhaseCanary && c.Why(no, now).Ok():
				if int(n.Step)+1 < len(t.Steps) {
					do(no, Event{Kind: EventPromoted, Build: n.Build, Step: n.Step + 1})
				} else {
					do(no, Event{Kind: EventReleased, Build: n.Build, Step: n.Step})
				}
			}
			again = again || len(out) > before
		}
	}
	return out
}

// Next is when Due should be asked again although nothing was told: when a freeze, a least time, an operator's
// freeze or the way back ends.
func (c *Core) Next(now plan.Unix) plan.Unix {
	now = c.now(now)
	next := c.calendar.Next(now)
	for i := range c.services {
		if w := c.Why(plan.ServiceIndex(i), now); w.Until > now {
			next = math.Min(next, w.Until)
		} else if c.services[i].busy() {
			next = math.Min(next, now+lookAgain) // votes lapse
		}
	}
	for _, x := range c.closures {
		if x.Until > now {
			next = math.Min(next, x.Until)
		}
	}
	return next
}

// Refusal is why a vote was not counted, in the protocol's words.
type Rejection string

// The platform's errors.
const (
	VoteCounted       Rejection = ""
	RejectedThrottled Rejection = "Throttling"
	RejectedStale     Rejection = "ConditionFailed"
	RejectedInvalid   Rejection = "ValidationError"
)

// Vote checks a relay's vote and gives the event that counts it. The caller keeps the event before it folds it in
// and tells anybody.
func (c *Core) Vote(no plan.ServiceIndex, from string, v relay.Vote, at plan.Unix) (Event, Rejection) {
	now := c.now(at)
	s, t := &c.services[no], &c.plan.Services[no]
	if !slices.ContainsFunc(t.Relays, func(r plan.Relay) bool { return r.Name == from }) || v.Verdict < relay.NoVote || v.Verdict > relay.VoteRollBack {
		return Event{}, RejectedInvalid
	}
	burst := math.Max(1, t.Votes.PerSecond*voteBurst)
	s.bucket = math.Min(burst, s.bucket+(now-s.bucketAt)*t.Votes.PerSecond)
	if s.bucketAt == 0 {
		s.bucket = burst
	}
	if s.bucketAt = now; s.bucket < 1 {
		return Event{}, RejectedThrottled
	}
	s.bucket--
	if !c.off.StaleVotes && (!s.known || v.Build != s.newest.Build || s.newest.Phase == relay.PhaseWithdrawn ||
		v.Verdict != relay.VoteRollBack && v.Verdict != relay.NoVote && int(v.Stage) != int(s.newest.Step)) {
		return Event{}, RejectedStale
	}
	return Event{At: now, Kind: EventVoted, Service: t.Name, Build: v.Build, Step: plan.StepIndex(v.Stage), Relay: from, Verdict: v.Verdict}, VoteCounted
}

// Offer gives the event of a new build, which takes the place of one that has not begun.
func (c *Core) Offer(no plan.ServiceIndex, b relay.Build, who, why string, at plan.Unix) (Event, error) {
	now := c.now(at)
	s, t := &c.services[no], &c.plan.Services[no]
	if b <= 0 || b >= mostBuild || s.known && b <= s.newest.Build || b <= s.waiting {
		return Event{}, fmt.Errorf("build %d is not later than build %d of %s", b, max(s.newest.Build, s.waiting), t.Name)
	}
	e := Event{At: now, Kind: EventOffered, Service: t.Name, Build: b, Who: who, Why: clip(why)}
	if s.waiting != 0 {
		e.Kind = EventSuperseded
	}
	return e, nil
}

func clip(s string) string { return s[:min(len(s), mostText)] }

// Operate gives the event of an operator's word; who and why are kept with it.
func (c *Core) Operate(kind EventKind, service, name, who, why string, until, at plan.Unix) (Event, error) {
	now := c.now(at)
	e := Event{At: now, Kind: kind, Service: service, Name: name, Until: until, Who: clip(who), Why: clip(why)}
	if who == "" || why == "" {
		return Event{}, errors.New("who and why must be said")
	}
	no, ok := c.plan.Service(service)
	if !ok && (service != "" || kind != EventFrozen && kind != EventUnfrozen) {
		return Event{}, fmt.Errorf("there is no service %q", service)
	}
	switch kind {
	case EventFrozen:
		if until != 0 && until <= now {
			return Event{}, errors.New("the freeze would be over already")
		}
		if name == "" || slices.ContainsFunc(c.closures, func(x closure) bool { return x.Name == name }) {
			return Event{}, fmt.Errorf("freeze %q has no name of its own", name)
		}
		if len(c.closures) >= mostFreezes {
			return Event{}, fmt.Errorf("%d freezes are set, no more are kept", mostFreezes)
		}
	case EventUnfrozen:
		at := slices.IndexFunc(c.closures, func(x closure) bool { return x.Name == name })
		if at < 0 {
			return Event{}, fmt.Errorf("no operator set a freeze %q (those of the plan end as it says)", name)
		}
		e.Service = c.closures[at].Service
	case EventHalted, EventResumed:
		if c.services[no].halted == (kind == EventHalted) {
			return Event{}, fmt.Errorf("%s is %s already", service, kind)
		}
	case EventRollingBack:
		r := c.services[no].newest
		if !c.services[no].known || r.Phase != relay.PhaseCanary && r.Phase != relay.PhaseReleased {
			return Event{}, fmt.Errorf("%s has no build that could go back", service)
		}
		e.Build, e.Step = r.Build, r.Step
	default:
		return Event{}, fmt.Errorf("%s is no operator's word", kind)
	}
	return e, nil
}

// Supported is the deepest step that the newest build stands at and whose needs, and those of the steps before it,
// hold; -1 where not even those of the first do. A dependency that turned bad takes it back, at once.
func (c *Core) Supported(no plan.ServiceIndex) plan.StepIndex {
	s, t := &c.services[no], &c.plan.Services[no]
	if c.off.NarrowLost {
		return s.newest.Step
	}
	for k := plan.StepIndex(0); k <= s.newest.Step && int(k) < len(t.Steps); k++ {
		for _, n := range t.Steps[k].Dependencies {
			if !c.met(n) {
				return k - 1
			}
		}
	}
	return s.newest.Step
}

// Cap is the cap that holds for a group at a site.
func (c *Core) ExposureLimit(no plan.ServiceIndex, site plan.SiteIndex, group plan.GroupIndex, at plan.Unix) float64 {
	c.now(at)
	s, t := &c.services[no], &c.plan.Services[no]
	switch {
	case !s.known:
		return 0
	case s.newest.Phase == relay.PhaseReleased:
		return 1
	case s.newest.Phase != relay.PhaseCanary:
		return 0
	}
	k := c.Supported(no)
	if k < 0 || !t.IsOpen(k, site, group) {
		return 0
	}
	return t.Steps[k].ExposureLimit
}

// News is what relays are told of a service: the newest build that has begun, with the cap of the deepest step
// whose needs hold.
func (c *Core) Statuses(no plan.ServiceIndex, at plan.Unix) relay.RolloutStatus {
	now := c.now(at)
	s, t := &c.services[no], &c.plan.Services[no]
	if !s.known {
		return relay.RolloutStatus{}
	}
	n := relay.RolloutStatus{Valid: true, Build: s.newest.Build, Stage: relay.Stage(s.newest.Step), Phase: s.newest.Phase,
		Age: math.Max(0, now-s.newest.Since)}
	switch s.newest.Phase {
	case relay.PhaseReleased:
		n.ExposureLimit = 1
	case relay.PhaseCanary:
		if k := c.Supported(no); k >= 0 {
			n.ExposureLimit = t.Steps[k].ExposureLimit
		}
	}
	return n
}

// Status is what an operator sees of one service.
type Status struct {
	Service string      `json:"service"`
	Build   relay.Build `json:"build"`
	Phase   string      `json:"phase"`
	Step    string      `json:"step"`
	Since   plan.Unix   `json:"since"`
	Cap     float64     `json:"cap"`
	Waiting relay.Build `json:"waiting,omitempty"`
	Code    BlockCode   `json:"code"`
	Why     string      `json:"why"`
	Until   plan.Unix   `json:"until,omitempty"`
	On      int         `json:"votes_on"`
	OnOf    int         `json:"votes_on_needed"`
	Back    int         `json:"votes_back"`
	BackOf  int         `json:"votes_back_needed"`
	Halted  bool        `json:"halted"`
	Lost    bool        `json:"needs_lost"` // it is released or on trial past what its needs still hold
}

var phaseNames = map[relay.Phase]string{relay.PhaseCanary: "on trial", relay.PhaseRollingBack: "going back",
	relay.PhaseReleased: "released", relay.PhaseWithdrawn: "withdrawn"}

// Status lists all services.
func (c *Core) Status(at plan.Unix) (out []Status) {
	now := c.now(at)
	for i := range c.services {
		no, s, t := plan.ServiceIndex(i), &c.services[i], &c.plan.Services[i]
		w, n := c.Why(no, now), c.Statuses(no, now)
		x := Status{Service: t.Name, Build: s.newest.Build, Phase: "none", Since: s.newest.Since, Cap: n.ExposureLimit, Waiting: s.waiting,
			Code: w.Code, Why: w.Text, Until: w.Until, Halted: s.halted, OnOf: c.needed(no, relay.VotePromote), BackOf: c.needed(no, relay.VoteRollBack)}
		if math.IsInf(x.Until, 0) {
			x.Until = 0
		}
		if s.known {
			x.Phase, x.Step = phaseNames[s.newest.Phase], t.StepName(s.newest.Step)
			x.On, x.Back = c.count(no, relay.VotePromote, now), c.count(no, relay.VoteRollBack, now)
			x.Lost = (s.newest.Phase == relay.PhaseCanary || s.newest.Phase == relay.PhaseReleased) && c.Supported(no) < s.newest.Step
		}
		out = append(out, x)
	}
	return out
}

// Closures lists the operators' freezes that stand, by name.
func (c *Core) Closures() (out []Event) {
	for _, x := range c.closures {
		out = append(out, x.Event)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Snapshot is the whole state as events that fold into it again: what a journal may begin with when it is cut short.
func (c *Core) Snapshot() (out []Event) {
	for i := range c.services {
		s, name := &c.services[i], c.plan.Services[i].Name
		if s.known {
			n := s.newest
			began := n.Began
			if s.newest.Step == 0 && n.Phase == relay.PhaseCanary {
				began = n.Since
			}
			out = append(out, Event{At: began, Kind: EventOffered, Service: name, Build: n.Build},
				Event{At: began, Kind: EventBegan, Service: name, Build: n.Build})
			for k := plan.StepIndex(1); k <= n.Step; k++ {
				out = append(out, Event{At: n.Since, Kind: EventPromoted, Service: name, Build: n.Build, Step: k})
			}
			switch n.Phase {
			case relay.PhaseReleased:
				out = append(out, Event{At: n.Since, Kind: EventReleased, Service: name, Build: n.Build, Step: n.Step})
			case relay.PhaseRollingBack, relay.PhaseWithdrawn:
				out = append(out, Event{At: n.Since, Kind: EventRollingBack, Service: name, Build: n.Build, Step: n.Step})
			}
			if n.Phase == relay.PhaseWithdrawn {
				out = append(out, Event{At: n.Since, Kind: EventWithdrawn, Service: name, Build: n.Build, Step: n.Step})
			}
		}
		if s.waiting != 0 {
			out = append(out, Event{At: s.offered, Kind: EventOffered, Service: name, Build: s.waiting})
		}
		var voters []string
		for r := range s.votes {
			voters = append(voters, r)
		}
		sort.Strings(voters)
		for _, r := range voters {
			v := s.votes[r]
			out = append(out, Event{At: v.at, Kind: EventVoted, Service: name, Build: v.build, Step: v.step, Relay: r, Verdict: v.verdict})
		}
		if s.halted {
			out = append(out, s.haltWhy)
		}
	}
	for _, x := range c.closures {
		out = append(out, x.Event)
	}
	return append(out, Event{At: c.last, Kind: EventControllerStarted, Why: "snapshot"})
}
