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
type Violation struct {
	Time   float64 `json:"time"` // s since the start
	Relay  string  `json:"relay"`
	Rule   string  `json:"rule"`
	Figure float64 `json:"figure"`
	Text   string  `json:"text"`
}

const (
	maxViolations  = 200  // that are listed; the rest is counted
	notifyGrace    = 0.25 // s after lower news until it binds
	exposureWindow = 2.0  // s in which exposure is counted
	freeAttempts   = 1.0  // legs in it that are free
	drainGrace     = 0.25
)

// checker watches from outside: what was taken, sent, told, answered, and what the desk did. It knows the plan as it
// is written, not what policy or rollout make of it.
type checker struct {
	simulation       *simulation
	violations       []Violation
	unlisted         int
	maxAllowanceUsed float64 // of any allowance that was used
	relays           map[*simulatedRelay]*relayRecord
	freezeTimes      [][]interval      // by freeze
	services         []servicePosition // by service: where the desk stands, by its own moves
	released         map[string]map[relay.Build]bool
	steps            []ControllerStep
	byRule           map[string]int
	allowanceUse     map[allowanceKey]float64
}

// allowanceKey is a service and ten minutes.
type allowanceKey struct {
	service    plan.ServiceIndex
	tenMinutes int
}

// stood is where a service's newest build stands.
type servicePosition struct {
	announced bool
	build     relay.Build
	step      int
	phase     relay.Phase
}

type interval struct{ from, to float64 } // s since the start

// watched is what a relay did of late, by group.
type relayRecord struct {
	relay         *simulatedRelay
	groups        []exposureRecord // the last one: customers of no group
	total         exposureRecord
	services      []servicePosition // by service, as last told
	exposureLimit float64           // the platform's cap as last told
	// What held before the last change, which binds until the grace is over.
	previousLimits []float64
	loweredAt      float64
	freezeLimits   []float64 // cap by group as the freeze that holds began; nil: none holds
}

// account counts queries and legs on trial in the window.
type exposureRecord struct {
	requests []timedLimit
	attempts []float64
}

type timedLimit struct{ at, limit float64 }

func newChecker(w *simulation) *checker {
	c := &checker{simulation: w, relays: map[*simulatedRelay]*relayRecord{}, services: make([]servicePosition, len(w.plan.Services)), released: map[string]map[relay.Build]bool{}, byRule: map[string]int{}, allowanceUse: map[allowanceKey]float64{}}
	for i := range w.plan.Services {
		c.released[w.plan.Services[i].Name] = map[relay.Build]bool{1: true}
	}
	for i := range w.plan.Freezes {
		c.freezeTimes = append(c.freezeTimes, c.freezeIntervals(&w.plan.Freezes[i]))
	}
	return c
}

// windows writes a freeze's times out, day by day, for the time of the run.
func (c *checker) freezeIntervals(f *plan.Freeze) (out []interval) {
	start := time.Unix(int64(c.simulation.epoch), 0)
	for _, s := range f.Schedules {
		if !s.From.IsZero() {
			out = append(out, interval{s.From.Sub(start).Seconds(), s.To.Sub(start).Seconds()})
			continue
		}
		for d := -2; d <= int(c.simulation.options.Days)+2; d++ {
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
			out = append(out, interval{from.Sub(start).Seconds(), to.Sub(start).Seconds()})
		}
	}
	return out
}

// isFrozen says whether a freeze stops a service's move, at a site or (site < 0) at any that the step touches.
func (c *checker) isFrozen(at float64, s plan.ServiceIndex, site plan.SiteIndex, what plan.FreezeEffect, step int) bool {
	for i := range c.simulation.plan.Freezes {
		f := &c.simulation.plan.Freezes[i]
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
		for _, w := range c.freezeTimes[i] {
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
	steps := c.simulation.plan.Services[s].Steps
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

func (c *checker) report(who, rule string, figure float64, format string, a ...any) {
	c.byRule[rule]++
	if len(c.violations) >= maxViolations {
		c.unlisted++
		return
	}
	text := fmt.Sprintf(format, a...)
	c.violations = append(c.violations, Violation{c.simulation.now, who, rule, figure, text})
	c.simulation.record("BROKEN %s %s %s", rule, who, text)
}

func (c *checker) wasReleased(service string, b relay.Build) bool { return c.released[service][b] }

// Move is a step of the desk, for the report.
type ControllerStep struct {
	Time    float64           `json:"time"`
	Service string            `json:"service"`
	Kind    rollout.EventKind `json:"kind"`
	Build   relay.Build       `json:"build"`
	Step    int               `json:"step"`
}

// moved holds a move of the desk against the plan.
func (c *checker) checkStep(e rollout.Event) {
	no, ok := c.simulation.plan.Service(e.Service)
	if !ok {
		return
	}
	s := &c.services[no]
	steps := c.simulation.plan.Services[no].Steps
	c.steps = append(c.steps, ControllerStep{c.simulation.now, e.Service, e.Kind, e.Build, int(e.Step)})
	onto, what := -1, plan.FreezePromotions
	switch e.Kind {
	case rollout.EventBegan:
		onto, what = 0, plan.FreezeStarts
		*s = servicePosition{true, e.Build, 0, relay.PhaseCanary}
	case rollout.EventPromoted:
		onto = int(e.Step)
		if s.build != e.Build || s.phase != relay.PhaseCanary || onto != s.step+1 {
			c.report("desk", "moved twice", float64(onto), "%s build %d from step %d to %d", e.Service, e.Build, s.step, onto)
		}
		s.step = onto
	case rollout.EventReleased:
		onto = len(steps)
		s.phase = relay.PhaseReleased
		c.released[e.Service][e.Build] = true
	case rollout.EventRollingBack:
		s.phase = relay.PhaseRollingBack
		c.released[e.Service][e.Build] = false
	case rollout.EventWithdrawn:
		s.phase = relay.PhaseWithdrawn
	}
	if onto < 0 {
		return
	}
	if c.isFrozen(c.simulation.now, no, -1, what, onto) {
		c.report("desk", "moved in a freeze", float64(onto), "%s build %d to step %d", e.Service, e.Build, onto)
	}
	for k := 0; k <= onto && k < len(steps); k++ {
		for _, n := range steps[k].Dependencies {
			if o := c.services[n.Service]; !dependencyMet(o, n) {
				c.report("desk", "moved without its need", float64(onto), "%s build %d to step %d, %s stands at %d", e.Service, e.Build, onto,
					c.simulation.plan.Services[n.Service].Name, o.step)
			}
		}
	}
}

// replay sets what the desk stands at after a restart with a journal: it may have forgotten moves, which it then
// makes a second time.
func (c *checker) restorePositions(journal []rollout.Event) {
	for i := range c.services {
		c.services[i] = servicePosition{}
	}
	for _, e := range journal {
		no, ok := c.simulation.plan.Service(e.Service)
		if !ok {
			continue
		}
		s := &c.services[no]
		switch e.Kind {
		case rollout.EventBegan:
			*s = servicePosition{true, e.Build, 0, relay.PhaseCanary}
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

func dependencyMet(s servicePosition, n plan.Dependency) bool {
	if !s.announced {
		return false
	}
	return s.phase == relay.PhaseReleased || s.phase == relay.PhaseCanary && !n.Released && s.step >= int(n.Step)
}

// cast holds a vote that a relay sends against the plan: none for on in a freeze.
func (c *checker) checkVote(x *simulatedRelay, v relay.Vote) {
	if v.Verdict == relay.VotePromote && c.isFrozen(c.simulation.now, x.fleet.service, -1, plan.FreezePromotions, int(v.Stage)+1) {
		c.report(x.name, "vote for on in a freeze", float64(v.Stage), "build %d step %d", v.Build, v.Stage)
	}
}

// started begins a relay's accounts.
func (c *checker) relayStarted(x *simulatedRelay) {
	n := len(c.simulation.plan.Groups) + 1
	c.relays[x] = &relayRecord{relay: x, groups: make([]exposureRecord, n), services: make([]servicePosition, len(c.simulation.plan.Services)), previousLimits: make([]float64, n)}
}

// told notes what a relay is told. A lower cap binds after the grace.
func (c *checker) statusReceived(x *simulatedRelay, s plan.ServiceIndex, n relay.RolloutStatus) {
	r := c.relays[x]
	if r == nil || !n.Valid {
		return
	}
	old := r.services[s]
	if old.announced && n.Build < old.build {
		return // a desk that forgot: the later build holds
	}
	if old.announced && n.Build == old.build && (old.phase == relay.PhaseRollingBack || old.phase == relay.PhaseWithdrawn) && (n.Phase == relay.PhaseCanary || n.Phase == relay.PhaseReleased) {
		return
	}
	before := make([]float64, len(r.groups))
	for g := range r.groups {
		before[g] = c.exposureLimit(r, g)
	}
	r.services[s] = servicePosition{true, n.Build, int(n.Stage), n.Phase}
	if s == x.fleet.service {
		r.exposureLimit = n.ExposureLimit
	}
	lower := false
	for g := range r.groups {
		lower = lower || c.exposureLimit(r, g) < before[g]
	}
	if lower {
		if c.simulation.now-r.loweredAt > notifyGrace {
			clear(r.previousLimits)
		}
		for g := range before {
			r.previousLimits[g] = math.Max(r.previousLimits[g], before[g])
		}
		r.loweredAt = c.simulation.now
	}
}

// entitled is the cap that a group has at a relay by what the relay was told and by the plan: that of the platform's
// step, or of the deepest one before it whose needs were told to hold; none for customers of no group.
func (c *checker) exposureLimit(r *relayRecord, group int) float64 {
	own := r.services[r.relay.fleet.service]
	if !own.announced || group >= len(c.simulation.plan.Groups) {
		return 0
	}
	if own.phase == relay.PhaseReleased {
		return 1
	}
	if own.phase != relay.PhaseCanary {
		return 0
	}
	steps := c.simulation.plan.Services[r.relay.fleet.service].Steps
	cap := 0.0
	open := false
	for k := 0; k <= own.step && k < len(steps); k++ {
		for _, n := range steps[k].Dependencies {
			if !dependencyMet(r.services[n.Service], n) {
				return c.boundByFreeze(r, group, cap)
			}
		}
		for _, o := range steps[k].OpenGroups {
			open = open || o.Site == r.relay.site && int(o.Group) == group
		}
		if open {
			cap = math.Min(steps[k].ExposureLimit, r.exposureLimit)
		}
	}
	return c.boundByFreeze(r, group, cap)
}

// boundByFreeze bounds a cap by what held as the freeze began that holds now.
func (c *checker) boundByFreeze(r *relayRecord, group int, cap float64) float64 {
	if r.freezeLimits == nil {
		return cap
	}
	return math.Min(cap, r.freezeLimits[group])
}

// edge notes the beginning and the end of freezes at each relay, by the true time. What was told shortly before it
// began counts as told before.
func (c *checker) freezeEdge() {
	for _, x := range c.simulation.relays {
		r := c.relays[x]
		if r == nil {
			continue
		}
		in := c.isFrozen(c.simulation.now, x.fleet.service, x.site, plan.FreezeAll, 0)
		if in && r.freezeLimits == nil {
			caps := make([]float64, len(r.groups))
			for g := range caps {
				caps[g] = c.exposureLimit(r, g)
			}
			r.freezeLimits = caps
		} else if !in {
			r.freezeLimits = nil
		}
	}
}

func (a *exposureRecord) dropOld(now float64) {
	i := 0
	for i < len(a.requests) && a.requests[i].at < now-exposureWindow {
		i++
	}
	a.requests = a.requests[i:]
	i = 0
	for i < len(a.attempts) && a.attempts[i] < now-exposureWindow {
		i++
	}
	a.attempts = a.attempts[i:]
}

// allowance is how many legs a window allows.
func (a *exposureRecord) allowance() float64 {
	sum := freeAttempts
	for _, s := range a.requests {
		sum += s.limit
	}
	return sum
}

func (c *checker) groupOf(q *simulatedRequest) int {
	if q.group == plan.NoGroup {
		return len(c.simulation.plan.Groups)
	}
	return int(q.group)
}

// holds is the cap that a group has now, with the one before where it still binds.
func (c *checker) bindingLimit(r *relayRecord, g int) float64 {
	cap := c.exposureLimit(r, g)
	if c.simulation.now-r.loweredAt <= notifyGrace {
		cap = math.Max(cap, r.previousLimits[g])
	}
	return cap
}

func (c *checker) requestArrived(q *simulatedRequest) {
	r := c.relays[q.relay]
	g := c.groupOf(q)
	cap := c.bindingLimit(r, g)
	r.groups[g].dropOld(c.simulation.now)
	r.groups[g].requests = append(r.groups[g].requests, timedLimit{c.simulation.now, cap})
	r.total.dropOld(c.simulation.now)
	r.total.requests = append(r.total.requests, timedLimit{c.simulation.now, cap})
}

// sent holds a leg against rules 2, 3, 4 and 5 and the plan.
func (c *checker) checkAttempt(l *attempt) {
	q, x, u := l.request, l.request.relay, l.endpoint
	r := c.relays[x]
	// 2. No effect twice.
	for _, o := range q.attempts {
		if o == l || o.ended && !o.mayHaveRun() {
			continue
		}
		k := &requestClasses[q.Class]
		if !o.ended {
			c.report(x.name, "two legs at once", float64(l.number), "query %d", q.ID)
		}
		if k.idempotency == relay.AtMostOnce || k.idempotency == relay.IdempotencyKeyed && (o.endpoint.site != u.site || c.simulation.now-o.sentAt >= k.dedupWindow) {
			c.report(x.name, "effect twice", float64(l.number), "%s query %d sent again", k.name, q.ID)
		}
	}
	// 3. Drains.
	if at, ok := x.leavingSince[u.id]; ok && c.simulation.now > at+drainGrace {
		c.report(x.name, "drain", c.simulation.now-at, "planner %d was told to drain", u.id)
	}
	// 4. Cold planners.
	if u.inSlowStart && c.simulation.now-u.startedAt < slowStartTime {
		keep, work := u.recentLoad[:0], q.work/u.speed // each leg by its own work: by the last one's a long query broke the rule alone
		for _, t := range u.recentLoad {
			if t.at > c.simulation.now-overloadWindow {
				keep, work = append(keep, t), work+t.work/u.speed
			}
		}
		u.recentLoad = append(keep, load{c.simulation.now, q.work})
		if can := CoresPerEndpoint * u.slowStartFraction() * overloadWindow; work > overloadMultiple*can && !u.overloaded {
			u.overloaded = true
			c.report(x.name, "cold planner pushed over", work/can, "planner %d, %d legs in a second", u.id, len(u.recentLoad))
		}
	}
	// 5. Exposure, by the relay and by the group.
	own := r.services[x.fleet.service]
	if u.build == 1 || own.announced && (u.build < own.build || u.build == own.build && own.phase == relay.PhaseReleased) {
		return
	}
	c.simulation.counters.canaryAttempts++
	g := c.groupOf(q)
	unannounced := !own.announced || u.build > own.build
	if cap := c.bindingLimit(r, g); cap <= 0 || unannounced {
		why := "exposed where closed"
		switch {
		case g == len(c.simulation.plan.Groups):
			why = "exposed without a group"
		case unannounced:
			why = "exposed to a build not announced"
		case r.freezeLimits != nil:
			why = "exposed in a freeze"
		}
		c.report(x.name, why, cap, "build %d, step %d, group %d", u.build, own.step, g)
	}
	a := &r.groups[g]
	a.dropOld(c.simulation.now)
	a.attempts = append(a.attempts, c.simulation.now)
	r.total.dropOld(c.simulation.now)
	r.total.attempts = append(r.total.attempts, c.simulation.now)
	for i, a := range []*exposureRecord{a, &r.total} {
		used := float64(len(a.attempts)) / a.allowance()
		c.maxAllowanceUsed = math.Max(c.maxAllowanceUsed, used)
		k := allowanceKey{x.fleet.service, int(c.simulation.now / 600)}
		c.allowanceUse[k] = math.Max(c.allowanceUse[k], used)
		if used > 1+1e-9 {
			c.report(x.name, [...]string{"group over its cap", "relay over its cap"}[i], used, "build %d, step %d, group %d: %d legs, %.2f allowed", u.build, own.step, g,
				len(a.attempts), a.allowance())
		}
	}
}

// mayHaveRun says whether a leg that has its end may have run.
func (l *attempt) mayHaveRun() bool { return l.ran }

// ran notes that a planner took a leg in.
func (c *checker) attemptRan(l *attempt) { l.ran = true }

// answered holds a final answer against rule 1 and rule 2.
func (c *checker) checkOutcome(q *simulatedRequest, how RequestOutcome) {
	if q.ended {
		c.report(q.relay.name, "answered twice", 0, "query %d", q.ID)
	}
	if c.simulation.now > q.deadlineAt {
		c.report(q.relay.name, "answered too late", c.simulation.now-q.deadlineAt, "query %d", q.ID)
	}
	if k := &requestClasses[q.Class]; how == RequestRejected && k.idempotency != relay.Idempotent {
		for _, l := range q.attempts {
			if l.ran || !l.ended && l.endpoint != nil {
				c.report(q.relay.name, "denied what may have run", 0, "%s query %d", k.name, q.ID)
			}
		}
	}
}

func (c *checker) requestUnanswered(q *simulatedRequest) {
	c.report(q.relay.name, "no answer", c.simulation.now-q.arrivedAt, "%s query %d", requestClasses[q.Class].name, q.ID)
}
