package lab

import (
	"fmt"
	"math"
	"time"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Broken is one rule or one line of the plan that was not kept.
type Broken struct {
	Time   float64 `json:"time"` // s since the start
	Relay  string  `json:"relay"`
	Rule   string  `json:"rule"`
	Figure float64 `json:"figure"`
	Text   string  `json:"text"`
}

const (
	mostBroken = 200  // that are listed; the rest is counted
	tellGrace  = 0.25 // s after lower news until it binds
	window     = 2.0  // s in which exposure is counted
	uncounted  = 1.0  // legs in it that are free
	drainGrace = 0.25
)

// checker watches from outside: what was taken, sent, told, answered, and what the desk did. It knows the plan as it
// is written, not what policy or rollout make of it.
type checker struct {
	w      *world
	broken []Broken
	more   int
	most   float64 // of any allowance that was used
	relays map[*node]*watched
	freeze [][]frozen // by freeze
	state  []stood    // by service: where the desk stands, by its own moves
	rel    map[string]map[relay.Build]bool
	moves  []Move
	by     map[string]int
	use    map[useKey]float64
}

// useKey is a service and ten minutes.
type useKey struct {
	service plan.ServiceIndex
	part    int
}

// stood is where a service's newest build stands.
type stood struct {
	known bool
	build relay.Build
	step  int
	phase relay.Phase
}

type frozen struct{ from, to float64 } // s since the start

// watched is what a relay did of late, by group.
type watched struct {
	x      *node
	groups []account // the last one: customers of no group
	total  account
	told   []stood // by service, as last told
	limit  float64 // the platform's cap as last told
	// What held before the last change, which binds until the grace is over.
	loose   []float64
	looseAt float64
	inCap   []float64 // cap by group as the freeze that holds began; nil: none holds
}

// account counts queries and legs on trial in the window.
type account struct {
	taken []stamp
	legs  []float64
}

type stamp struct{ at, cap float64 }

func newChecker(w *world) *checker {
	c := &checker{w: w, relays: map[*node]*watched{}, state: make([]stood, len(w.plan.Services)), rel: map[string]map[relay.Build]bool{}, by: map[string]int{}, use: map[useKey]float64{}}
	for i := range w.plan.Services {
		c.rel[w.plan.Services[i].Name] = map[relay.Build]bool{1: true}
	}
	for i := range w.plan.Freezes {
		c.freeze = append(c.freeze, c.windows(&w.plan.Freezes[i]))
	}
	return c
}

// windows writes a freeze's times out, day by day, for the time of the run.
func (c *checker) windows(f *plan.Freeze) (out []frozen) {
	start := time.Unix(int64(c.w.epoch), 0)
	for _, s := range f.Schedules {
		if !s.From.IsZero() {
			out = append(out, frozen{s.From.Sub(start).Seconds(), s.To.Sub(start).Seconds()})
			continue
		}
		for d := -2; d <= int(c.w.opt.Days)+2; d++ {
			day := start.In(s.Zone).AddDate(0, 0, d)
			if !s.Days[day.Weekday()] {
				continue
			}
			y, m, dd := day.Date()
			from := time.Date(y, m, dd, 0, 0, int(s.Start.Seconds()), 0, s.Zone)
			end := dd
			if s.End <= s.Start {
				end++
			}
			to := time.Date(y, m, end, 0, 0, int(s.End.Seconds()), 0, s.Zone)
			out = append(out, frozen{from.Sub(start).Seconds(), to.Sub(start).Seconds()})
		}
	}
	return out
}

// isFrozen says whether a freeze stops a service's move, at a site or (site < 0) at any that the step touches.
func (c *checker) isFrozen(at float64, s plan.ServiceIndex, site plan.SiteIndex, what plan.FreezeEffect, step int) bool {
	for i := range c.w.plan.Freezes {
		f := &c.w.plan.Freezes[i]
		if f.Effect&what == 0 || len(f.Services) > 0 && !contains(f.Services, s) {
			continue
		}
		if len(f.Sites) > 0 {
			hit := site >= 0 && contains(f.Sites, site)
			for _, fs := range f.Sites {
				hit = hit || site < 0 && c.touches(s, step, fs)
			}
			if !hit {
				continue
			}
		}
		for _, w := range c.freeze[i] {
			if at >= w.from && at < w.to {
				return true
			}
		}
	}
	return false
}

func contains[T comparable](list []T, x T) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

func (c *checker) touches(s plan.ServiceIndex, step int, site plan.SiteIndex) bool {
	steps := c.w.plan.Services[s].Steps
	if step >= len(steps) {
		return true
	}
	for k := 0; k <= step; k++ {
		for _, o := range steps[k].OpenGroups {
			if o.Site == site {
				return true
			}
		}
	}
	return false
}

func (c *checker) fail(who, rule string, figure float64, format string, a ...any) {
	c.by[rule]++
	if len(c.broken) >= mostBroken {
		c.more++
		return
	}
	text := fmt.Sprintf(format, a...)
	c.broken = append(c.broken, Broken{c.w.now, who, rule, figure, text})
	c.w.mark("BROKEN %s %s %s", rule, who, text)
}

func (c *checker) wasReleased(service string, b relay.Build) bool { return c.rel[service][b] }

// Move is a step of the desk, for the report.
type Move struct {
	Time    float64           `json:"time"`
	Service string            `json:"service"`
	Kind    rollout.EventKind `json:"kind"`
	Build   relay.Build       `json:"build"`
	Step    int               `json:"step"`
}

// moved holds a move of the desk against the plan.
func (c *checker) moved(e rollout.Event) {
	no, ok := c.w.plan.Service(e.Service)
	if !ok {
		return
	}
	s := &c.state[no]
	steps := c.w.plan.Services[no].Steps
	c.moves = append(c.moves, Move{c.w.now, e.Service, e.Kind, e.Build, int(e.Step)})
	onto, what := -1, plan.FreezePromotions
	switch e.Kind {
	case rollout.EventBegan:
		onto, what = 0, plan.FreezeStarts
		*s = stood{true, e.Build, 0, relay.PhaseCanary}
	case rollout.EventPromoted:
		onto = int(e.Step)
		if s.build != e.Build || s.phase != relay.PhaseCanary || onto != s.step+1 {
			c.fail("desk", "moved twice", float64(onto), "%s build %d from step %d to %d", e.Service, e.Build, s.step, onto)
		}
		s.step = onto
	case rollout.EventReleased:
		onto = len(steps)
		s.phase = relay.PhaseReleased
		c.rel[e.Service][e.Build] = true
	case rollout.EventRollingBack:
		s.phase = relay.PhaseRollingBack
		c.rel[e.Service][e.Build] = false
	case rollout.EventWithdrawn:
		s.phase = relay.PhaseWithdrawn
	}
	if onto < 0 {
		return
	}
	if c.isFrozen(c.w.now, no, -1, what, onto) {
		c.fail("desk", "moved in a freeze", float64(onto), "%s build %d to step %d", e.Service, e.Build, onto)
	}
	for k := 0; k <= onto && k < len(steps); k++ {
		for _, n := range steps[k].Dependencies {
			if o := c.state[n.Service]; !reaches(o, n) {
				c.fail("desk", "moved without its need", float64(onto), "%s build %d to step %d, %s stands at %d", e.Service, e.Build, onto,
					c.w.plan.Services[n.Service].Name, o.step)
			}
		}
	}
}

// replay sets what the desk stands at after a restart with a journal: it may have forgotten moves, which it then
// makes a second time.
func (c *checker) replay(journal []rollout.Event) {
	for i := range c.state {
		c.state[i] = stood{}
	}
	for _, e := range journal {
		no, ok := c.w.plan.Service(e.Service)
		if !ok {
			continue
		}
		s := &c.state[no]
		switch e.Kind {
		case rollout.EventBegan:
			*s = stood{true, e.Build, 0, relay.PhaseCanary}
		case rollout.EventPromoted:
			s.step = int(e.Step)
		case rollout.EventReleased:
			s.phase = relay.PhaseReleased
		case rollout.EventRollingBack:
			s.phase = relay.PhaseRollingBack
		case rollout.EventWithdrawn:
			s.phase = relay.PhaseWithdrawn
		}
	}
}

func reaches(s stood, n plan.Dependency) bool {
	if !s.known {
		return false
	}
	return s.phase == relay.PhaseReleased || s.phase == relay.PhaseCanary && !n.Released && s.step >= int(n.Step)
}

// cast holds a vote that a relay sends against the plan: none for on in a freeze.
func (c *checker) cast(x *node, v relay.Vote) {
	if v.Verdict == relay.VotePromote && c.isFrozen(c.w.now, x.f.no, -1, plan.FreezePromotions, int(v.Stage)+1) {
		c.fail(x.name, "vote for on in a freeze", float64(v.Stage), "build %d step %d", v.Build, v.Stage)
	}
}

// started begins a relay's accounts.
func (c *checker) started(x *node) {
	n := len(c.w.plan.Groups) + 1
	c.relays[x] = &watched{x: x, groups: make([]account, n), told: make([]stood, len(c.w.plan.Services)), loose: make([]float64, n)}
}

// told notes what a relay is told. A lower cap binds after the grace.
func (c *checker) told(x *node, s plan.ServiceIndex, n relay.RolloutStatus) {
	r := c.relays[x]
	if r == nil || !n.Valid {
		return
	}
	old := r.told[s]
	if old.known && n.Build < old.build {
		return // a desk that forgot: the later build holds
	}
	if old.known && n.Build == old.build && (old.phase == relay.PhaseRollingBack || old.phase == relay.PhaseWithdrawn) && (n.Phase == relay.PhaseCanary || n.Phase == relay.PhaseReleased) {
		return
	}
	before := make([]float64, len(r.groups))
	for g := range r.groups {
		before[g] = c.entitled(r, g)
	}
	r.told[s] = stood{true, n.Build, int(n.Stage), n.Phase}
	if s == x.f.no {
		r.limit = n.ExposureLimit
	}
	lower := false
	for g := range r.groups {
		lower = lower || c.entitled(r, g) < before[g]
	}
	if lower {
		if c.w.now-r.looseAt > tellGrace {
			clear(r.loose)
		}
		for g := range before {
			r.loose[g] = math.Max(r.loose[g], before[g])
		}
		r.looseAt = c.w.now
	}
}

// entitled is the cap that a group has at a relay by what the relay was told and by the plan: that of the platform's
// step, or of the deepest one before it whose needs were told to hold; none for customers of no group.
func (c *checker) entitled(r *watched, group int) float64 {
	own := r.told[r.x.f.no]
	if !own.known || group >= len(c.w.plan.Groups) {
		return 0
	}
	if own.phase == relay.PhaseReleased {
		return 1
	}
	if own.phase != relay.PhaseCanary {
		return 0
	}
	steps := c.w.plan.Services[r.x.f.no].Steps
	cap := 0.0
	open := false
	for k := 0; k <= own.step && k < len(steps); k++ {
		for _, n := range steps[k].Dependencies {
			if !reaches(r.told[n.Service], n) {
				return c.inFreeze(r, group, cap)
			}
		}
		for _, o := range steps[k].OpenGroups {
			open = open || o.Site == r.x.site && int(o.Group) == group
		}
		if open {
			cap = math.Min(steps[k].ExposureLimit, r.limit)
		}
	}
	return c.inFreeze(r, group, cap)
}

// inFreeze bounds a cap by what held as the freeze began that holds now.
func (c *checker) inFreeze(r *watched, group int, cap float64) float64 {
	if r.inCap == nil {
		return cap
	}
	return math.Min(cap, r.inCap[group])
}

// edge notes the beginning and the end of freezes at each relay, by the true time. What was told shortly before it
// began counts as told before.
func (c *checker) edge() {
	for _, x := range c.w.nodes {
		r := c.relays[x]
		if r == nil {
			continue
		}
		in := c.isFrozen(c.w.now, x.f.no, x.site, plan.FreezeAll, 0)
		if in && r.inCap == nil {
			caps := make([]float64, len(r.groups))
			for g := range caps {
				caps[g] = c.entitled(r, g)
			}
			r.inCap = caps
		} else if !in {
			r.inCap = nil
		}
	}
}

func (a *account) trim(now float64) {
	i := 0
	for i < len(a.taken) && a.taken[i].at < now-window {
		i++
	}
	a.taken = a.taken[i:]
	i = 0
	for i < len(a.legs) && a.legs[i] < now-window {
		i++
	}
	a.legs = a.legs[i:]
}

// allowance is how many legs a window allows.
func (a *account) allowance() float64 {
	sum := uncounted
	for _, s := range a.taken {
		sum += s.cap
	}
	return sum
}

func (c *checker) groupOf(q *query) int {
	if q.group == plan.NoGroup {
		return len(c.w.plan.Groups)
	}
	return int(q.group)
}

// holds is the cap that a group has now, with the one before where it still binds.
func (c *checker) holds(r *watched, g int) float64 {
	cap := c.entitled(r, g)
	if c.w.now-r.looseAt <= tellGrace {
		cap = math.Max(cap, r.loose[g])
	}
	return cap
}

func (c *checker) taken(q *query) {
	r := c.relays[q.x]
	g := c.groupOf(q)
	cap := c.holds(r, g)
	r.groups[g].trim(c.w.now)
	r.groups[g].taken = append(r.groups[g].taken, stamp{c.w.now, cap})
	r.total.trim(c.w.now)
	r.total.taken = append(r.total.taken, stamp{c.w.now, cap})
}

// sent holds a leg against rules 2, 3, 4 and 5 and the plan.
func (c *checker) sent(l *leg) {
	q, x, u := l.q, l.q.x, l.u
	r := c.relays[x]
	// 2. No effect twice.
	for _, o := range q.legs {
		if o == l || o.over && !o.mayRun() {
			continue
		}
		k := &categories[q.Class]
		if !o.over {
			c.fail(x.name, "two legs at once", float64(l.no), "query %d", q.ID)
		}
		if k.repeat == relay.AtMostOnce || k.repeat == relay.IdempotencyKeyed && (o.u.site != u.site || c.w.now-o.at >= k.window) {
			c.fail(x.name, "effect twice", float64(l.no), "%s query %d sent again", k.name, q.ID)
		}
	}
	// 3. Drains.
	if at, ok := x.unitTold[u.id]; ok && c.w.now > at+drainGrace {
		c.fail(x.name, "drain", c.w.now-at, "planner %d was told to drain", u.id)
	}
	// 4. Cold planners.
	if u.cold && c.w.now-u.started < warmUp {
		keep, work := u.sent[:0], q.work/u.speed // each leg by its own work: by the last one's a long query broke the rule alone
		for _, t := range u.sent {
			if t.at > c.w.now-fallAfter {
				keep, work = append(keep, t), work+t.work/u.speed
			}
		}
		u.sent = append(keep, load{c.w.now, q.work})
		if can := CoresEach * u.warmth() * fallAfter; work > fallTimes*can && !u.fallen {
			u.fallen = true
			c.fail(x.name, "cold planner pushed over", work/can, "planner %d, %d legs in a second", u.id, len(u.sent))
		}
	}
	// 5. Exposure, by the relay and by the group.
	own := r.told[x.f.no]
	if u.build == 1 || own.known && (u.build < own.build || u.build == own.build && own.phase == relay.PhaseReleased) {
		return
	}
	c.w.stats.trialLegs++
	g := c.groupOf(q)
	unannounced := !own.known || u.build > own.build
	if cap := c.holds(r, g); cap <= 0 || unannounced {
		why := "exposed where closed"
		switch {
		case g == len(c.w.plan.Groups):
			why = "exposed without a group"
		case unannounced:
			why = "exposed to a build not announced"
		case r.inCap != nil:
			why = "exposed in a freeze"
		}
		c.fail(x.name, why, cap, "build %d, step %d, group %d", u.build, own.step, g)
	}
	a := &r.groups[g]
	a.trim(c.w.now)
	a.legs = append(a.legs, c.w.now)
	r.total.trim(c.w.now)
	r.total.legs = append(r.total.legs, c.w.now)
	for i, a := range []*account{a, &r.total} {
		used := float64(len(a.legs)) / a.allowance()
		c.most = math.Max(c.most, used)
		k := useKey{x.f.no, int(c.w.now / 600)}
		c.use[k] = math.Max(c.use[k], used)
		if used > 1+1e-9 {
			c.fail(x.name, [...]string{"group over its cap", "relay over its cap"}[i], used, "build %d, step %d, group %d: %d legs, %.2f allowed", u.build, own.step, g,
				len(a.legs), a.allowance())
		}
	}
}

// mayRun says whether a leg that has its end may have run.
func (l *leg) mayRun() bool { return l.ran }

// ran notes that a planner took a leg in.
func (c *checker) ran(l *leg) { l.ran = true }

// answered holds a final answer against rule 1 and rule 2.
func (c *checker) answered(q *query, how Ended) {
	if q.over {
		c.fail(q.x.name, "answered twice", 0, "query %d", q.ID)
	}
	if c.w.now > q.until {
		c.fail(q.x.name, "answered too late", c.w.now-q.until, "query %d", q.ID)
	}
	if k := &categories[q.Class]; how == EndedDenied && k.repeat != relay.Idempotent {
		for _, l := range q.legs {
			if l.ran || !l.over && l.u != nil {
				c.fail(q.x.name, "denied what may have run", 0, "%s query %d", k.name, q.ID)
			}
		}
	}
}

func (c *checker) unanswered(q *query) {
	c.fail(q.x.name, "no answer", c.w.now-q.at, "%s query %d", categories[q.Class].name, q.ID)
}
