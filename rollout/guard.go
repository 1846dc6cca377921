package rollout

import (
	"fmt"
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Guard narrows, by site, group of customers and its own clock, what one relay's module is told of a build and what
// its votes may do. It knows the plan and what the platform tells of its own service; of services that this one
// needs it knows what their desk tells on a watch. What it does not know counts as closed.
//
// A step counts here only once it was granted: the platform stands at it, no freeze stops it at this site by this
// relay's clock (with the plan's skew at both ends), and all that it needs was heard lately. The cap is that of the
// deepest granted step whose needs are not known to be lost, never more than the platform's, and within a freeze
// never more than before it.
type Guard struct {
	plan     *plan.Plan
	calendar *plan.Calendar
	service  plan.ServiceIndex
	site     plan.SiteIndex
	groups   []int // by customer, -1: none
	off      GuardSafeguards

	now     plan.Unix
	known   bool
	news    relay.RolloutStatus // as last told by the platform, and kept from going backwards
	since   plan.Unix           // when its state began, by its age
	granted plan.StepIndex      // deepest step granted of that build; -1: none; the number of steps: its release
	ceiling float64             // that the cap may not pass while a freeze holds
	top     plan.StepIndex      // and the step
	held    bool                // a freeze held at the last look
	others  []heardOf           // by service
	started plan.Unix

	told   relay.RolloutStatus // what the module last got
	opened opening             // of the scope that it got
	did    bool                // told anything under this plan
	wanted relay.Vote          // by the module
	cast   relay.Vote          // that went to the platform for it
	voted  bool
}

// heardOf is what was last told of another service.
type heardOf struct {
	news relay.RolloutStatus
	at   plan.Unix
}

// GuardSafeguards that tests take out, to show what each is for. All stand by default.
type GuardSafeguards struct {
	All        bool // no guard at all
	Freezes    bool // no look at freezes
	Needs      bool // needs of steps are not looked at
	Unheard    bool // a need that was never heard of counts as met
	Groups     bool // every customer counts as open
	Ceiling    bool // caps may rise in a freeze
	Skew       bool // clocks are taken to agree
	Votes      bool // votes go out as the module means them
	StartProof bool // a relay that starts in a freeze takes what it is told
	Backward   bool // news that go backwards are believed
}

// NewGuard returns the guard of a relay. Groups holds the group of each customer, by the module's numbers.
func NewGuard(p *plan.Plan, service plan.ServiceIndex, site plan.SiteIndex, groups []plan.GroupIndex) *Guard {
	g := &Guard{plan: p, calendar: plan.NewCalendar(p, true), service: service, site: site, granted: -1,
		ceiling: math.Inf(1), others: make([]heardOf, len(p.Services))}
	for _, n := range groups {
		g.groups = append(g.groups, int(n))
	}
	return g
}

// Without takes defences out. Only for tests and experiments.
func (g *Guard) Without(d GuardSafeguards) {
	g.off = d
	if d.Skew {
		g.calendar = plan.NewCalendar(g.plan, false)
	}
}

// Replan goes over to another plan; the service and the site must be in it. What was granted stays granted only as
// far as the next plan has the step, and nothing opens by the change alone while a freeze holds.
func (g *Guard) Replan(p *plan.Plan, customers []string) error {
	service, ok := p.Service(g.plan.Services[g.service].Name)
	site, at := p.Site(g.plan.Sites[g.site])
	if !ok || !at {
		return fmt.Errorf("the plan has no service %s or no site %s", g.plan.Services[g.service].Name, g.plan.Sites[g.site])
	}
	others := make([]heardOf, len(p.Services))
	for i := range p.Services {
		if no, was := g.plan.Service(p.Services[i].Name); was {
			others[i] = g.others[no]
		}
	}
	if n := plan.StepIndex(len(p.Services[service].Steps)); g.granted > n || int(g.granted) == len(g.plan.Services[g.service].Steps) {
		g.granted = min(g.granted, n)
	}
	g.plan, g.service, g.site, g.others, g.calendar = p, service, site, others, plan.NewCalendar(p, !g.off.Skew)
	g.groups, g.did = nil, false
	for _, c := range customers {
		g.groups = append(g.groups, int(p.GroupOf(c)))
	}
	return nil
}

func (g *Guard) terms() *plan.Service { return &g.plan.Services[g.service] }

// at moves the guard's time, which never goes back.
func (g *Guard) at(now plan.Unix) {
	if g.started == 0 {
		g.started = now
	}
	g.now = math.Max(g.now, now)
}

// Hear takes what the platform tells of this relay's own service.
func (g *Guard) StatusReceived(now plan.Unix, n relay.RolloutStatus) {
	g.at(now)
	if !n.Valid {
		return
	}
	first := !g.known
	switch {
	case first || n.Build > g.news.Build:
		g.granted = -1
	case n.Build < g.news.Build && !g.off.Backward:
		return // a desk with an older journal; the later build is known here
	case g.known && n.Build == g.news.Build && over(g.news) && !over(n) && !g.off.Backward:
		return // it has been on its way back: nothing that was told earlier, or by a desk that forgot, opens it again
	}
	g.known, g.news, g.since = true, n, g.now-n.Age
	if stage := plan.StepIndex(n.Stage); n.Phase == relay.PhaseCanary && g.granted > stage {
		g.granted = stage // the platform stands at an earlier step than it did: the lower cap holds
	}
	if first {
		g.prove()
	}
	g.grant()
}

// over says that a build goes back or has gone.
func over(n relay.RolloutStatus) bool {
	return n.Phase == relay.PhaseRollingBack || n.Phase == relay.PhaseWithdrawn
}

// DependencyStatusReceived takes what was told of another service.
func (g *Guard) DependencyStatusReceived(now plan.Unix, s plan.ServiceIndex, n relay.RolloutStatus) {
	g.at(now)
	if !n.Valid || int(s) >= len(g.others) {
		return
	}
	old := &g.others[s].news
	if !g.off.Backward && (n.Build < old.Build || n.Build == old.Build && over(*old) && !over(n)) {
		return // it came late, or from a desk that forgot: what went back stays back
	}
	g.others[s] = heardOf{n, g.now}
}

// Alive says that the watch on another service stands: what was last told of it still holds.
func (g *Guard) Alive(now plan.Unix, s plan.ServiceIndex) {
	g.at(now)
	if int(s) < len(g.others) && g.others[s].news.Valid {
		g.others[s].at = g.now
	}
}

// prove grants a relay that has just started in a freeze what the platform tells, where the age of that state shows
// that it stood before the freeze: every relay that ran then was at it. What began within the freeze, or too near to
// its start for clocks to tell, is not taken on trust.
func (g *Guard) prove() {
	f, in := g.frozen(plan.FreezeAll)
	if !in {
		return
	}
	if g.off.StartProof || g.since < f.Since { // needs are looked at all the same, in supported
		g.granted = g.stage()
	}
}

// stage is the step that the platform stands at, its release counting as one more.
func (g *Guard) stage() plan.StepIndex {
	n := plan.StepIndex(len(g.terms().Steps))
	switch g.news.Phase {
	case relay.PhaseReleased:
		return n
	case relay.PhaseCanary:
		return min(plan.StepIndex(g.news.Stage), n-1)
	}
	return -1
}

func (g *Guard) frozen(what plan.FreezeEffect) (plan.ActiveFreeze, bool) {
	if g.off.Freezes {
		return plan.ActiveFreeze{}, false
	}
	return g.calendar.Frozen(g.now, g.service, g.site, what)
}

// stops is what stands for a step to be granted here: begin for the first, on for each further one.
func stops(step plan.StepIndex) plan.FreezeEffect {
	if step == 0 {
		return plan.FreezeStarts
	}
	return plan.FreezePromotions
}

// grant opens the steps up to the platform's, one after another, as far as nothing stands in the way. News of a
// release whose age shows that it came before the freeze is taken within it: no earlier unit is left then.
func (g *Guard) grant() {
	for g.known && g.granted < g.stage() {
		next := g.granted + 1
		if f, in := g.frozen(stops(next)); in && !(g.news.Phase == relay.PhaseReleased && g.since < f.Since) {
			return
		}
		if !g.may(next).Ok() {
			return
		}
		g.granted = next
	}
}

// may says whether all that a step needs was heard of lately.
func (g *Guard) may(step plan.StepIndex) BlockReason {
	if g.off.Needs || int(step) >= len(g.terms().Steps) {
		return BlockReason{}
	}
	for _, n := range g.terms().Steps[step].Dependencies {
		o := &g.others[n.Service]
		switch {
		case !o.news.Valid && g.off.Unheard:
		case !o.news.Valid:
			return BlockReason{BlockedByStaleStatus, g.plan.DependencyText(n) + ": nothing was heard of it", 0}
		case g.now-o.at > g.plan.StatusTTL && !g.off.Unheard:
			return BlockReason{BlockedByStaleStatus, fmt.Sprintf("%s: last heard of %.0f s ago", g.plan.DependencyText(n), g.now-o.at), 0}
		case !reached(n, o.news.Phase, plan.StepIndex(o.news.Stage)):
			return BlockReason{BlockedByDependency, g.plan.DependencyText(n), 0}
		}
	}
	return BlockReason{}
}

// supported is the deepest granted step whose needs, and those of the steps before it, are not known to be lost. A
// watch that breaks takes nothing back: what was granted was true, and a trial that ends with every desk's silence
// would cost the capacity of its units. What was never heard of counts as lost.
func (g *Guard) supported() plan.StepIndex {
	top := min(g.granted, g.stage())
	if g.off.Needs {
		return top
	}
	for k := plan.StepIndex(0); k <= top && int(k) < len(g.terms().Steps); k++ {
		for _, n := range g.terms().Steps[k].Dependencies {
			o := &g.others[n.Service]
			if !o.news.Valid && !g.off.Unheard || o.news.Valid && !reached(n, o.news.Phase, plan.StepIndex(o.news.Stage)) {
				return k - 1
			}
		}
	}
	return top
}

// cap is the cap that holds here now, and the step that it is of.
func (g *Guard) cap() (float64, plan.StepIndex) {
	k, steps := g.supported(), g.terms().Steps
	switch {
	case g.news.Phase == relay.PhaseReleased && int(g.granted) >= len(steps):
		return 1, plan.StepIndex(len(steps)) // out: nothing is on trial any more, whatever its needs do
	case k < 0 || g.news.Phase != relay.PhaseCanary && g.news.Phase != relay.PhaseReleased:
		return 0, -1
	}
	k = min(k, plan.StepIndex(len(steps)-1))
	c := steps[k].ExposureLimit
	if g.news.Phase == relay.PhaseCanary {
		c = math.Min(c, g.news.ExposureLimit)
	}
	return c, k
}

// bound keeps cap and step from rising in a freeze above what held at the look before, as a need that comes back would
// have them. Only a release that came before the freeze is taken in it.
func (g *Guard) bound(limit float64, step plan.StepIndex) (float64, plan.StepIndex) {
	if !g.held || g.off.Ceiling || int(step) >= len(g.terms().Steps) {
		return limit, step
	}
	return math.Min(limit, g.ceiling), min(step, g.top)
}

// Look gives what the module is to be told by now: nothing, or its scope and the news, narrowed. To be called
// whenever something was heard, and at Next.
func (g *Guard) Evaluate(now plan.Unix, out []relay.Event) []relay.Event {
	g.at(now)
	if !g.known {
		return out
	}
	g.grant()
	_, held := g.frozen(plan.FreezeAll)
	g.held = g.held && held
	limit, step := g.bound(g.cap())
	g.held, g.ceiling, g.top = held, limit, step
	n := g.news
	n.Reply, n.ExposureLimit, n.Age = relay.ReplyNone, limit, math.Max(0, g.now-g.since)
	if n.Phase == relay.PhaseReleased && step < plan.StepIndex(len(g.terms().Steps)) { // not granted here: still on trial
		n.Phase, n.Stage = relay.PhaseCanary, relay.Stage(len(g.terms().Steps)-1)
	}
	if at := (opening{n.Build, step}); !g.did || at != g.opened {
		g.opened = at
		out = append(out, g.narrow(n.Build, step))
	}
	if t := g.told; !g.did || t.Build != n.Build || t.Stage != n.Stage || t.Phase != n.Phase || t.ExposureLimit != n.ExposureLimit {
		g.told = n
		out = append(out, n)
	}
	g.did = true
	return out
}

// narrow is the scope of a build at a step.
func (g *Guard) narrow(b relay.Build, step plan.StepIndex) relay.CanaryScope {
	s := relay.CanaryScope{Build: b, Stage: relay.Stage(max(step, 0)), GroupOfTenant: g.groups, GroupOpen: make([]bool, len(g.plan.Groups))}
	for i := range s.GroupOpen {
		s.GroupOpen[i] = g.off.Groups || g.terms().IsOpen(step, g.site, plan.GroupIndex(i))
	}
	if g.off.Groups {
		s.GroupOfTenant, s.GroupOpen = make([]int, len(g.groups)), []bool{true}
	}
	return s
}

// opening is what a scope depends on: a plan, a build and a step.
type opening struct {
	build relay.Build
	step  plan.StepIndex
}

// Cap is the cap that holds for a group at this relay.
func (g *Guard) ExposureLimit(group plan.GroupIndex) float64 {
	limit, step := g.bound(g.cap())
	if int(step) >= len(g.terms().Steps) {
		return 1
	}
	if step < 0 || group == plan.NoGroup || !g.terms().IsOpen(step, g.site, group) {
		return 0
	}
	return limit
}

// PromotionBlocked says why a vote for going on from the platform's present step has to wait, as far as this relay can tell.
func (g *Guard) PromotionBlocked(now plan.Unix) BlockReason {
	g.at(now)
	if g.off.All || g.off.Votes || !g.known || g.news.Phase != relay.PhaseCanary {
		return BlockReason{}
	}
	next := plan.StepIndex(g.news.Stage) + 1
	if !g.off.Freezes {
		if w := frozen(g.plan, g.calendar, g.service, next, plan.FreezePromotions, g.now); !w.Ok() {
			return w
		}
	}
	if g.granted < g.stage() {
		return BlockReason{BlockedByLocalStep, fmt.Sprintf("step %s is not open here yet", g.terms().StepName(g.stage())), 0}
	}
	if k := g.supported(); k < g.stage() {
		return BlockReason{BlockedByDependency, "a need of the present step was lost", 0}
	}
	return g.may(next)
}

// Vote is what becomes of a vote that the module orders: a vote for on turns into a hold while the plan says wait.
// A vote for back goes out as it is, whatever the plan says.
func (g *Guard) Vote(now plan.Unix, v relay.Vote) relay.Vote {
	g.wanted, g.voted = v, true
	g.cast = g.filter(now, v)
	return g.cast
}

func (g *Guard) filter(now plan.Unix, v relay.Vote) relay.Vote {
	if v.Verdict != relay.VotePromote || g.off.All || g.off.Votes {
		return v
	}
	// A module that is told less than the platform's news (a release that is not granted here yet) goes on voting for a
	// step that is past.
	if past := g.known && (g.news.Phase != relay.PhaseCanary || v.Build != g.news.Build); past || !g.PromotionBlocked(now).Ok() {
		v.Verdict = relay.VoteHold
	}
	return v
}

// Recast gives the vote that has to be cast because the plan's word on the module's last one has changed: an on that
// may stand again, or one that must not stand any longer. The module's own renewals make up for one that is lost.
func (g *Guard) Recast(now plan.Unix) (relay.Vote, bool) {
	if !g.voted || g.wanted.Verdict != relay.VotePromote || !g.known || g.wanted.Build != g.news.Build ||
		g.wanted.Stage != g.news.Stage || g.news.Phase != relay.PhaseCanary {
		return relay.Vote{}, false
	}
	v := g.filter(now, g.wanted)
	if v == g.cast {
		return relay.Vote{}, false
	}
	g.cast = v
	return v, true
}

// Next is when Look has to be called again although nothing was heard.
func (g *Guard) Next(now plan.Unix) plan.Unix {
	g.at(now)
	next := g.calendar.Next(g.now)
	for s := range g.others { // news that turn too old
		if o := &g.others[s]; o.news.Valid && g.now-o.at <= g.plan.StatusTTL {
			next = math.Min(next, o.at+g.plan.StatusTTL+1e-3)
		}
	}
	return math.Max(next, g.now)
}

// Needed lists the services that this one needs, in the plan's order: those whose news it must hear.
func DependenciesOf(p *plan.Plan, s plan.ServiceIndex) (out []plan.ServiceIndex) {
	seen := make([]bool, len(p.Services))
	for _, st := range p.Services[s].Steps {
		for _, n := range st.Dependencies {
			seen[n.Service] = true
		}
	}
	for i, yes := range seen {
		if yes {
			out = append(out, plan.ServiceIndex(i))
		}
	}
	return out
}
