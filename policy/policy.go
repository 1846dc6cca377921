// Package policy holds every decision of a relay.
//
// How to call it: New(settings, seed) once, then Step(now, events) whenever something has happened; the
// orders it returns are to be carried out in their order. Settings, events and orders are the types of
// package relay. The module reads no clock, does no I/O, starts no goroutine and keeps no global.
//
// Inside, each part is a small actor: the roster, a unit for every server, the desk (queries and their
// legs), the gate (denials), the trial (exposure, evidence, verdicts) and the fuser (votes). Parts change
// each other only by notes; one loop (drain) empties all inboxes in the order of posting. They may read
// each other's figures. ring.go sums figures over buckets of time, memo.go writes a verdict as bytes.
package policy

import (
	"math"
	"math/rand"
	"sort"

	"lichenroad/relay"
)

// Tuned values. Those marked DESIGN are the design page's starting values.
const (
	tick         = 0.05 // s; overdue legs, held queries and votes are looked at this often: a small part of any due time
	patienceEdge = 0.06 // s before patience ends that a query without a leg is answered: just over one tick

	capShare     = 0.8  // of the cap that the build on trial may get (DESIGN)
	youngUnit    = 5.0  // s; outcomes of younger units are no evidence (DESIGN)
	leastCount   = 20   // outcomes a build for a flag, and pooled outcomes for a vote on (DESIGN)
	flagErrors   = 3.0  // standard errors that a share must be worse by (DESIGN)
	flagOutcomes = 1.0  // failures that a share must be worse by (DESIGN)
	flagPoints   = 0.05 // difference of shares that a flag needs (DESIGN)
	halfKnown    = 20.0 // outcomes at which a bad build is flagged half the time (DESIGN)
	falseAlarm   = 0.01 // false-alarm probability of one relay over all its categories (DESIGN)
	prior        = 0.35 // of a build being bad (DESIGN)
	alarmCost    = 1.0  // cost of sending a good build back (DESIGN: equal costs)
	missCost     = 1.0  // cost of letting a bad build through (DESIGN)
	verdictLife  = 6.0  // s that a verdict counts at a fuser (DESIGN)
	verdictEvery = 1.0  // s between verdicts without a change (DESIGN)
	leastFlags   = 2    // relays that must flag (DESIGN)
	fuserCount   = 4    // lowest-numbered relays that fuse (DESIGN)
	extraWait    = 3.0  // s past the least time that a fuser waits for outcomes (DESIGN)

	evidenceWidth   = 0.5 // s a bucket of outcomes
	evidenceBuckets = 24  // 12 s: a verdict's life twice over
	evidenceRecent  = 12  // buckets taken as recent where a build is compared with its own earlier share

	voteRenew = 0.5 // of a vote's life after which it is cast again: one lost renewal is survived
	voteGap   = 0.4 // s at least between two votes of one relay
	callGrace = 0.5 // s past the platform's own time-out before a vote counts as lost

	badStep     = 0.25 // weight of one outcome in a unit's failure figure: two failures in a row make a suspect
	badHalf     = 4.0  // s in which that figure halves: a suspect gets a leg every few seconds to earn its way back
	suspectAt   = 0.3  // failure figure of a suspect
	suspectFirm = 0.1  // the same for queries that can't be sent again after an error
	paceStep    = 0.2  // weight of one answer in a unit's pace
	paceHalf    = 3.0  // s in which the pace of a silent unit goes half way back to the fleet's
	quietShare  = 1.0  // rise of a unit's cost for each usual leg time that it holds legs and answers nothing

	copyAt     = 0.45 // of the due time after which a second copy may start: early enough to end in time
	copyBudget = 0.05 // second copies a query, so that overload is not fed
	copySaved  = 3.0  // second copies that may be saved up for a burst

	coldPart  = 0.7 // of what rule 4 allows a cold unit that all relays together use
	coldBurst = 0.2 // of the rule's time that a relay may send ahead of the rate
	flowWidth = 0.5 // s a bucket of legs sent
	flowCount = 4   // buckets: 2 s, long enough for small relays, short enough for a loss

	gateEvery   = 0.25 // s between two moves of the gate
	gateHigh    = 0.75 // mean leg time over due time above which more is denied
	gateLow     = 0.55 // below which less is denied
	gateUp      = 0.06 // step up of the denied share: seconds to full, as a queue takes to build
	gateDown    = 0.03 // step down
	gateMost    = 0.9  // most that is denied
	gateFewest  = 5.0  // legs in the gate's time below which it doesn't move up
	overShare   = 1.15 // times its share of traffic at which a customer counts as beyond it
	overWeight  = 3.0  // times the denied share that beyond-share customers bear
	gateBuckets = 2    // buckets of flowWidth that the gate looks at

	watchRetry = 1.0 // s before a failed watch is asked for again, with as much jitter on top
	watchWait  = 4.0 // s without any answer after which a call to the roster is made again
)

type (
	note any // what one part tells another

	// actor is a part with an inbox.
	actor interface{ take(n note) }

	letter struct {
		to   actor
		body note
	}
)

// Notes.
type (
	noteTick    struct{}
	noteSent    struct{ at relay.Seconds }
	noteOutcome struct {
		category relay.Category
		build    relay.Build
		age      relay.Seconds // of the unit, when the leg was sent
		how      relay.Outcome
		took     relay.Seconds
		sentAt   relay.Seconds
		work     relay.Seconds
		due      relay.Seconds // time allowed from sending
		overdue  bool          // was told as overdue before
	}
	noteOverdue  noteOutcome // the leg is still out past its due time
	noteVerdicts struct {
		from relay.RelayNo
		memo memo
	}
	noteStage struct{ fresh bool }
)

// row is what differs by category.
type row struct {
	repeat   relay.Repeat
	group    relay.Group
	window   relay.Seconds
	due      relay.Seconds
	stretch  float64
	patience relay.Seconds
	lean     float64 // share of the gate's denials that this category bears: low value, more
}

// Policy is one relay's decisions.
type Policy struct {
	set  relay.Settings
	rows []row
	rng  *rand.Rand
	now  relay.Seconds
	mail []letter
	out  []relay.Order

	roster roster
	desk   desk
	gate   gate
	trial  trial
	fuser  fuser
	begun  bool
}

// New returns the module of one relay, ready for its first Step.
func New(set relay.Settings, seed int64) *Policy {
	p := &Policy{set: set, rng: rand.New(rand.NewSource(seed))}
	top := 0.0
	for _, c := range set.Categories {
		top = math.Max(top, c.Value)
	}
	for _, c := range set.Categories {
		p.rows = append(p.rows, row{repeat: c.Repeat, group: c.Group, window: c.RepeatWindow, due: c.DueTime,
			stretch: c.DueStretch, patience: c.Patience, lean: 1.5 - c.Value/math.Max(top, 1e-9)})
	}
	n := len(p.rows)
	p.roster = roster{p: p, byID: map[relay.UnitID]*unit{}}
	p.desk = desk{p: p, queries: map[relay.QueryID]*query{}, copies: copySaved,
		flow: newRing(flowWidth, flowCount, 1)}
	p.gate = gate{p: p, legs: newRing(flowWidth, flowCount, 2), mix: newRing(flowWidth, flowCount, len(set.Customers)+1)}
	p.trial = trial{p: p, newer: newRing(evidenceWidth, evidenceBuckets, 3*n),
		earlier: newRing(evidenceWidth, evidenceBuckets, 3*n), keys: map[relay.Key]bool{},
		told: make([]verdict, n)}
	p.fuser = fuser{p: p, heard: make([]heard, max(set.Relays, int(set.Self)+1))}
	return p
}

// Step takes what has happened up to now and returns what to do about it.
func (p *Policy) Step(now relay.Seconds, events []relay.Event) []relay.Order {
	p.now, p.out = math.Max(now, p.now), p.out[:0]
	if !p.begun {
		p.begun = true
		p.do(relay.Wake{ID: 1, At: p.now + tick})
		if p.set.RosterOnAsk {
			p.roster.ask()
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case relay.Woken:
			p.do(relay.Wake{ID: 1, At: p.now + tick})
			p.post(&p.roster, noteTick{})
			p.post(&p.trial, noteTick{})
			p.post(&p.fuser, noteTick{})
			p.post(&p.gate, noteTick{})
			p.post(&p.desk, noteTick{})
		case relay.Roster:
			p.post(&p.roster, e)
		case relay.StageNews:
			p.post(&p.trial, e)
		case relay.JudgedWrong:
			p.post(&p.trial, e)
		case relay.Heard:
			if m, err := decodeMemo(e.Body); err == nil {
				p.post(&p.fuser, noteVerdicts{e.From, m})
			}
		case relay.Query, relay.LegEnded, relay.Streaming, relay.ClientLeft:
			p.post(&p.desk, e)
		}
		p.drain()
	}
	return p.out
}

func (p *Policy) post(to actor, n note) { p.mail = append(p.mail, letter{to, n}) }

// drain empties the inboxes, in the order of posting.
func (p *Policy) drain() {
	for i := 0; i < len(p.mail); i++ {
		p.mail[i].to.take(p.mail[i].body)
	}
	p.mail = p.mail[:0]
}

func (p *Policy) do(o relay.Order) { p.out = append(p.out, o) }

// roster keeps the list of units and the watch on it.
type roster struct {
	p       *Policy
	byID    map[relay.UnitID]*unit
	units   []*unit // all ever listed, by id
	watched bool
	asked   relay.Seconds
	askAt   relay.Seconds // when to ask again after a failure; 0: no need
}

func (r *roster) ask() {
	r.asked, r.askAt = r.p.now, 0
	r.p.do(relay.Watch{On: true})
}

func (r *roster) take(n note) {
	switch n := n.(type) {
	case noteTick:
		late := !r.watched && r.askAt == 0 && r.p.now-r.asked > watchWait
		if r.p.set.RosterOnAsk && (late || r.askAt > 0 && r.p.now >= r.askAt) {
			r.ask()
		}
	case relay.Roster:
		if n.Form == relay.RosterFailed {
			// The notice doesn't say which call failed or whether the watch stands: ask again.
			r.watched = false
			r.askAt = r.p.now + watchRetry*(1+r.p.rng.Float64())
			return
		}
		if n.Form != relay.RosterCached {
			r.watched = true
		}
		listed := map[relay.UnitID]bool{}
		for _, e := range n.Units {
			listed[e.Unit] = true
			u := r.byID[e.Unit]
			if u == nil {
				u = &unit{p: r.p, id: e.Unit}
				r.byID[e.Unit] = u
				at := sort.Search(len(r.units), func(i int) bool { return r.units[i].id > e.Unit })
				r.units = append(r.units, nil)
				copy(r.units[at+1:], r.units[at:])
				r.units[at] = u
			}
			r.p.post(u, e)
		}
		if n.Form != relay.RosterDelta {
			for _, u := range r.units {
				if !listed[u.id] && u.State != relay.Gone {
					gone := u.UnitEntry
					gone.State = relay.Gone
					r.p.post(u, gone)
				}
			}
		}
	}
}

// unit is one server as this relay sees it.
type unit struct {
	p  *Policy
	id relay.UnitID
	relay.UnitEntry
	listed  relay.Seconds // when its present process was first listed
	open    int           // own legs out
	answer  relay.Seconds // last answer, or when the unit stopped being idle
	bad     float64       // failure figure, as of badAt
	badAt   relay.Seconds
	pace    float64 // leg time over expected work, as of paceAt
	paceAt  relay.Seconds
	cold    float64 // legs that the cold budget holds, as of coldAt
	coldAt  relay.Seconds
	started relay.Seconds
}

func (u *unit) take(n note) {
	switch n := n.(type) {
	case relay.UnitEntry:
		// A fresh start or another build under an old id is a new process: nothing known of the old one holds.
		if u.listed == 0 || n.Build != u.Build || n.Started && n.StartedAt != u.StartedAt || u.State == relay.Gone {
			u.listed, u.bad, u.pace = u.p.now, 0, 0
			u.cold, u.coldAt = u.p.rng.Float64(), u.p.now
		}
		u.UnitEntry = n
		u.started = math.Inf(-1)
		if n.Started {
			u.started = n.StartedAt
		}
	case noteSent:
		if u.open == 0 {
			u.answer = u.p.now
		}
		u.open++
	case noteOutcome:
		u.open--
		if n.how == relay.Cancelled || n.how == relay.NotSent {
			return
		}
		u.answer = u.p.now
		miss := 1.0
		switch n.how {
		case relay.Honoured:
			miss = 0
			ratio := n.took / math.Max(n.work, 1e-3)
			u.pace, u.paceAt = u.paceNow()+paceStep*(ratio-u.paceNow()), u.p.now
			u.p.desk.pace += 0.02 * (ratio - u.p.desk.pace)
		case relay.TurnedAway:
			miss = suspectAt
		}
		u.bad, u.badAt = u.badNow()+badStep*(miss-u.badNow()), u.p.now
	}
}

func (u *unit) badNow() float64 { return u.bad * math.Exp2(-(u.p.now-u.badAt)/badHalf) }

func (u *unit) paceNow() float64 {
	usual := math.Max(u.p.desk.pace, 1e-3)
	if u.pace == 0 {
		return usual
	}
	return usual + (u.pace-usual)*math.Exp2(-(u.p.now-u.paceAt)/paceHalf)
}

// warmth is the least part of its capacity that the unit can have by now.
func (u *unit) warmth() float64 {
	r := &u.p.set.Rules
	age := u.p.now - u.started
	if age >= r.WarmUp {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*math.Max(age, 0)/r.WarmUp
}

// cost is what one more leg here is expected to cost, for comparison with other units. A unit that holds
// legs and answers nothing gets dearer by the moment: pauses, stalls and silent losses look alike so far.
func (u *unit) cost() float64 {
	c := u.paceNow() * float64(u.open+1) / u.warmth()
	if u.open > 0 {
		c *= 1 + quietShare*(u.p.now-u.answer)/math.Max(u.p.desk.usual, 1e-3)
	}
	return c
}

// coldRate is the legs per second that rule 4 leaves this relay for a cold unit: its own flow to a warm
// unit stands for its part of what such a unit can take.
func (u *unit) coldRate() float64 {
	r := &u.p.set.Rules
	return u.p.desk.warmFlow * u.warmth() * r.FallMultiple * coldPart
}

// coldLeft is the cold budget by now.
func (u *unit) coldLeft() float64 {
	rate := u.coldRate()
	most := math.Max(1, rate*u.p.set.Rules.FallTime*coldBurst)
	return math.Min(most, u.cold+rate*(u.p.now-u.coldAt))
}

// leg is one try of a query at a unit.
type leg struct {
	unit    *unit
	zone    relay.Zone // of the unit when the leg was sent
	cell    relay.Cell
	build   relay.Build
	at      relay.Seconds
	age     relay.Seconds // of the unit then
	open    bool
	mayRan  bool // it is out, or ended without proof that it never ran
	overdue bool
}

// query is one query that this relay has taken.
type query struct {
	relay.Query
	row    *row
	at     relay.Seconds
	due    relay.Seconds
	legs   []leg
	over   bool // has its final answer, or needs none
	held   bool // waits for a unit
	stream bool // the client owns a leg: nothing more to decide
}

func (q *query) out() (n int) {
	for i := range q.legs {
		if q.legs[i].open {
			n++
		}
	}
	return n
}

func (q *query) mayHaveRun() bool {
	for i := range q.legs {
		if q.legs[i].mayRan {
			return true
		}
	}
	return false
}

// work is the query's expected work; without a hint, the due time stands in as a common yardstick.
func (q *query) work() relay.Seconds {
	if q.HasWork && q.Work > 0 {
		return q.Work
	}
	return math.Max(q.row.due, 1e-3)
}

// desk takes queries, sends legs and gives final answers.
type desk struct {
	p        *Policy
	queries  map[relay.QueryID]*query
	open     []*query // those with an answer owed or legs out, in order of arrival
	copies   float64  // second copies that may be sent
	pace     float64  // the fleet's leg time over expected work
	usual    relay.Seconds
	flow     ring // legs sent to warm units
	warmFlow float64
}

func (d *desk) take(n note) {
	switch n := n.(type) {
	case relay.Query:
		if _, twice := d.queries[n.ID]; twice {
			return
		}
		if n.Category < 0 || int(n.Category) >= len(d.p.rows) {
			d.p.do(relay.WriteOff{Query: n.ID})
			return
		}
		q := &query{Query: n, row: &d.p.rows[n.Category], at: d.p.now}
		q.due = q.at + math.Min(q.row.due+q.row.stretch*n.Work, math.Max(q.row.patience, q.row.due))
		d.queries[n.ID] = q
		d.open = append(d.open, q)
		d.copies = math.Min(d.copies+copyBudget, copySaved)
		d.p.trial.took(q)
		if d.p.gate.denies(q) {
			d.finish(q)
			return
		}
		d.route(q)
	case relay.LegEnded:
		d.ended(n)
	case relay.Streaming:
		if q := d.queries[n.Query]; q != nil {
			q.over, q.stream = true, true
		}
	case relay.ClientLeft:
		if q := d.queries[n.Query]; q != nil {
			q.over = true
			d.cancelRest(q)
		}
	case noteTick:
		d.look()
	}
}

func (d *desk) ended(n relay.LegEnded) {
	q := d.queries[n.Query]
	if q == nil || int(n.Leg) >= len(q.legs) || !q.legs[n.Leg].open {
		return
	}
	l := &q.legs[n.Leg]
	l.open, l.mayRan = false, !n.How.NeverRan()
	o := noteOutcome{category: q.Category, build: l.build, age: l.age, how: n.How, took: n.Took, sentAt: l.at,
		work: q.work(), due: q.due - q.at, overdue: l.overdue}
	d.p.post(l.unit, o)
	d.p.post(&d.p.trial, o)
	d.p.post(&d.p.gate, o)
	if n.How == relay.Honoured {
		d.usual += 0.02 * (n.Took - d.usual)
		d.p.trial.answered(q, l.build)
	}
	if n.Over {
		q.over = true
	}
	if q.over {
		d.cancelRest(q)
		return
	}
	if q.out() == 0 {
		d.route(q)
	}
}

// cancelRest ends the legs of a query that needs them no more.
func (d *desk) cancelRest(q *query) {
	if !d.p.set.Limits.Cancel || q.stream {
		return
	}
	for i := range q.legs {
		if q.legs[i].open {
			d.p.do(relay.CancelLeg{Query: q.ID, Leg: relay.LegNo(i)})
		}
	}
}

// look goes over the open queries: legs past their due time, second copies, held queries, patience.
func (d *desk) look() {
	warm := 0.0
	for _, u := range d.p.roster.units {
		if u.State == relay.Ready && u.warmth() >= 1 {
			warm++
		}
	}
	d.warmFlow = d.flow.sum(d.p.now, 0, 0, flowCount) / (flowWidth * flowCount) / math.Max(warm, 1)
	left := d.open[:0]
	for _, q := range d.open {
		for i := range q.legs {
			if l := &q.legs[i]; l.open && !l.overdue && d.p.now-l.at > q.due-q.at {
				l.overdue = true
				d.p.post(&d.p.trial, noteOverdue{category: q.Category, build: l.build, age: l.age, sentAt: l.at})
			}
		}
		if !q.over {
			out := q.out()
			switch {
			case out == 0 && (d.p.now >= q.due || d.p.now >= q.Until-patienceEdge):
				d.finish(q)
			case out == 0:
				d.route(q)
			case out == 1 && len(q.legs) == 1 && d.p.now-q.at > copyAt*(q.due-q.at) && d.p.now < q.due:
				d.copy(q)
			}
		}
		if q.over && q.out() == 0 {
			delete(d.queries, q.ID)
			continue
		}
		left = append(left, q)
	}
	clear(d.open[len(left):])
	d.open = left
}

// copy sends a second copy of a query whose only leg is late: whatever keeps that leg (a pause, a slow or
// dead unit, a long queue), another unit is likely to be free of it.
func (d *desk) copy(q *query) {
	if d.copies < 1 || q.row.repeat == relay.AtMostOnce || d.p.gate.level > 0 {
		return
	}
	if u := d.pick(q); u != nil {
		d.copies--
		d.send(q, u)
	}
}

// route sends a query that has no leg out, holds it while no unit may take it, or gives it up.
func (d *desk) route(q *query) {
	if u := d.pick(q); u != nil {
		q.held = false
		d.send(q, u)
		return
	}
	// Held only while a unit may yet come free for it; with no legs left, or an effect that may have
	// happened, there is nothing to wait for.
	q.held = len(q.legs) < d.p.set.Limits.MaxLegs && !q.mayHaveRun()
	if !q.held || d.p.now >= q.due {
		d.finish(q)
	}
}

// pick chooses the unit for a query's next leg: two random choices among the earlier units, two among
// those of the build on trial while its share of the cap lasts, and the cheaper of the winners.
func (d *desk) pick(q *query) *unit {
	var earlier, onTrial []*unit
	for _, u := range d.p.roster.units {
		if u.State != relay.Ready || !d.may(q, u) {
			continue
		}
		if _, _, trial := d.p.trial.capOf(u.Build); trial {
			onTrial = append(onTrial, u)
		} else {
			earlier = append(earlier, u)
		}
	}
	old := d.best(q, earlier)
	if old != nil && (len(onTrial) == 0 || !d.p.trial.within(q)) {
		return old
	}
	fresh := d.best(q, onTrial)
	if old == nil || fresh != nil && fresh.cost() <= old.cost() {
		return fresh
	}
	return old
}

// best is the cheaper of two random choices among the units that look sound; among all, where none does.
func (d *desk) best(q *query, units []*unit) *unit {
	limit := suspectAt
	if q.row.repeat == relay.AtMostOnce {
		limit = suspectFirm
	}
	pool := make([]*unit, 0, len(units))
	for _, u := range units {
		if u.badNow() < limit && !q.tried(u) {
			pool = append(pool, u)
		}
	}
	for _, u := range units {
		if len(pool) == 0 || pool[0].badNow() >= limit {
			if u.badNow() >= limit && !q.tried(u) {
				pool = append(pool, u)
			}
		}
	}
	if len(pool) == 0 {
		pool = units
	}
	if len(pool) == 0 {
		return nil
	}
	a := d.p.rng.Intn(len(pool))
	if len(pool) == 1 {
		return pool[a]
	}
	b := d.p.rng.Intn(len(pool) - 1)
	if b >= a {
		b++
	}
	if pool[b].cost() < pool[a].cost() {
		a = b
	}
	return pool[a]
}

func (q *query) tried(u *unit) bool {
	for i := range q.legs {
		if q.legs[i].unit == u {
			return true
		}
	}
	return false
}

// may is the guard that every leg passes: rules 2 to 5.
func (d *desk) may(q *query, u *unit) bool {
	p := d.p
	if q.over || u.State != relay.Ready || len(q.legs) >= p.set.Limits.MaxLegs || p.now >= q.Until {
		return false
	}
	for i := range q.legs {
		l := &q.legs[i]
		if l.open && !p.set.Limits.SecondCopies {
			return false
		}
		if !l.mayRan {
			continue
		}
		switch q.row.repeat {
		case relay.AtMostOnce:
			return false
		case relay.Numbered:
			same := q.row.group == relay.GroupAll || q.row.group == relay.GroupZone && u.Zone == l.zone ||
				q.row.group == relay.GroupCell && u.Cell == l.cell
			if !same || p.now-l.at >= q.row.window {
				return false
			}
		}
	}
	if u.warmth() < 1 && u.coldLeft() < 1 {
		return false
	}
	return p.trial.may(q, u.Build)
}

// send is where every leg goes out.
func (d *desk) send(q *query, u *unit) {
	p := d.p
	q.legs = append(q.legs, leg{unit: u, zone: u.Zone, cell: u.Cell, build: u.Build, at: p.now,
		age: p.now - u.started, open: true, mayRan: true})
	if u.warmth() < 1 {
		u.cold, u.coldAt = u.coldLeft()-1, p.now
	} else {
		d.flow.add(p.now, 0, 1)
	}
	p.trial.spend(q, u.Build)
	p.post(u, noteSent{p.now})
	p.do(relay.SendLeg{Query: q.ID, Unit: u.id})
}

// finish is the one place of final answers that are not an honoured leg: a denial where it is true that
// trying again is harmless, a write-off otherwise.
func (d *desk) finish(q *query) {
	if q.over {
		return
	}
	q.over, q.held = true, false
	harmless := q.row.repeat == relay.Reissuable || !q.mayHaveRun() ||
		q.row.repeat == relay.Numbered && q.row.group == relay.GroupAll
	if !harmless {
		d.p.do(relay.WriteOff{Query: q.ID})
	} else if d.p.set.Limits.RetryAfter {
		d.p.do(relay.Deny{Query: q.ID, RetryAfter: d.p.set.Limits.MaxRetryAfter})
	} else {
		d.p.do(relay.Deny{Query: q.ID})
	}
	d.cancelRest(q)
}

// gate denies new queries while answers come too late: it guards against any lasting lack of capacity.
type gate struct {
	p      *Policy
	legs   ring    // figure 0: legs; 1: leg time over due time
	mix    ring    // queries taken, by customer; the last figure: all
	level  float64 // share that is denied
	moveAt relay.Seconds
}

func (g *gate) take(n note) {
	switch n := n.(type) {
	case noteOutcome:
		if n.how == relay.Honoured || n.how == relay.TimedOut || n.how == relay.TurnedAway {
			ratio := n.took / math.Max(n.due, 1e-3)
			if n.how == relay.TurnedAway {
				ratio = 1.5
			}
			g.legs.add(g.p.now, 0, 1)
			g.legs.add(g.p.now, 1, math.Min(ratio, 2))
		}
	case noteTick:
		if g.p.now < g.moveAt {
			return
		}
		g.moveAt = g.p.now + gateEvery
		count, sum := g.legs.sum(g.p.now, 0, 0, gateBuckets), g.legs.sum(g.p.now, 1, 0, gateBuckets)
		for _, q := range g.p.desk.open {
			if !q.over && g.p.now > q.due {
				count, sum = count+1, sum+1.5
			}
		}
		switch {
		case count >= gateFewest && sum > gateHigh*count:
			g.level = math.Min(g.level+gateUp, gateMost)
		case sum < gateLow*math.Max(count, 1):
			g.level = math.Max(g.level-gateDown, 0)
		}
	}
}

// denies says whether a new query is turned away, and counts it.
func (g *gate) denies(q *query) bool {
	n := len(g.p.set.Customers)
	c := int(q.Customer)
	g.mix.add(g.p.now, n, 1)
	if c < n {
		g.mix.add(g.p.now, c, 1)
	}
	if g.level == 0 {
		return false
	}
	share := g.level * q.row.lean
	if c < n && g.p.set.Customers[c].Share > 0 {
		own, all := g.mix.sum(g.p.now, c, 0, flowCount), g.mix.sum(g.p.now, n, 0, flowCount)
		if own > overShare*g.p.set.Customers[c].Share*all {
			share *= overWeight
		}
	}
	return g.p.rng.Float64() < share
}

// exposure is what a relay may still send to one build on trial, by category where the rule counts so.
type exposure struct {
	build relay.Build
	cap   float64
	hard  []float64 // legs that the rule leaves
	soft  []float64 // legs that the design's share of the cap leaves
}

// trial knows where the newest build stands, bounds exposure to it, and forms verdicts on it.
type trial struct {
	p       *Policy
	known   bool
	news    relay.StageNews
	since   relay.Seconds // when the present state began
	limits  []*exposure
	newer   ring // per category: outcomes, failures, late answers of the newest build
	earlier ring // the same of the builds before it
	keys    map[relay.Key]bool
	told    []verdict
	toldAt  relay.Seconds
}

// Figures of an evidence ring, per category.
const (
	figCount = iota
	figFailed
	figLate
	figures
)

func (t *trial) take(n note) {
	switch n := n.(type) {
	case relay.StageNews:
		t.p.post(&t.p.fuser, n)
		if n.Valid {
			t.hear(n)
		}
	case noteOutcome:
		if n.how == relay.Cancelled || n.how.NeverRan() {
			return
		}
		t.count(n.build, n.age, n.category, figCount)
		if n.how != relay.Honoured {
			t.count(n.build, n.age, n.category, figFailed)
		} else if n.took > n.due {
			t.count(n.build, n.age, n.category, figLate)
		}
	case noteTick:
		t.tell()
	}
}

func (t *trial) count(b relay.Build, age relay.Seconds, c relay.Category, figure int) {
	if !t.known || age < youngUnit {
		return
	}
	r := &t.earlier
	if b >= t.news.Build {
		r = &t.newer
	}
	r.add(t.p.now, int(c)*figures+figure, 1)
}

func (t *trial) hear(n relay.StageNews) {
	if !t.known || n.Build != t.news.Build {
		t.newer.reset()
		t.keys = map[relay.Key]bool{}
	}
	if t.known && n.Build < t.news.Build {
		return // old news
	}
	if n.Phase == relay.GoingBack || n.Phase == relay.Withdrawn {
		t.keys = map[relay.Key]bool{}
	}
	t.known, t.news, t.since = true, n, t.p.now-n.Age
	x := t.limit(n.Build)
	if n.Cap < x.cap {
		clear(x.hard)
		clear(x.soft)
	}
	x.cap = n.Cap
}

// limit returns the exposure kept for a build, started when the build is first met.
func (t *trial) limit(b relay.Build) *exposure {
	for _, x := range t.limits {
		if x.build == b {
			return x
		}
	}
	n := 1
	if t.p.set.Rollout.PerCategory {
		n = len(t.p.rows)
	}
	x := &exposure{build: b, hard: make([]float64, n), soft: make([]float64, n)}
	if c := t.p.set.Rollout.Caps; len(c) > 0 {
		x.cap = c[0]
	}
	for i := range x.hard {
		x.hard[i], x.soft[i] = t.p.set.Rollout.Uncounted, t.p.set.Rollout.Uncounted
	}
	t.limits = append(t.limits, x)
	return x
}

// capOf gives the cap and stage of a build, and whether it is on trial. A build that the news doesn't
// name yet counts as in the first stage.
func (t *trial) capOf(b relay.Build) (cap float64, stage relay.Stage, onTrial bool) {
	switch {
	case !t.known || b < t.news.Build:
		return 1, 0, false
	case b > t.news.Build:
		return t.limit(b).cap, 0, true
	case t.news.Phase == relay.Released:
		return 1, 0, false
	}
	return t.news.Cap, t.news.Stage, true
}

func (x *exposure) slot(c relay.Category) int { return min(int(c), len(x.hard)-1) }

// took adds a query's part to the budgets. They are buckets that never hold more than the rule's
// uncounted legs, so every window of any length keeps the cap.
func (t *trial) took(q *query) {
	most := t.p.set.Rollout.Uncounted
	for _, x := range t.limits {
		i := x.slot(q.Category)
		x.hard[i] = math.Min(x.hard[i]+x.cap, most)
		x.soft[i] = math.Min(x.soft[i]+capShare*x.cap, most)
	}
}

// may is the guard's part on exposure (rule 5).
func (t *trial) may(q *query, b relay.Build) bool {
	ro := &t.p.set.Rollout
	if ro.KeysForward && t.known && b < t.news.Build && q.Key != 0 && t.keys[q.Key] {
		return false
	}
	cap, stage, onTrial := t.capOf(b)
	if !onTrial {
		return true
	}
	if cap <= 0 || int(stage) < ro.GuardedStages && q.row.repeat != relay.Reissuable {
		return false
	}
	x := t.limit(b)
	return x.hard[x.slot(q.Category)] >= 1-1e-9
}

// within says whether the design's share of the cap leaves room for one more leg.
func (t *trial) within(q *query) bool {
	x := t.limit(t.news.Build)
	return x.soft[x.slot(q.Category)] >= 1-1e-9
}

func (t *trial) spend(q *query, b relay.Build) {
	if _, _, onTrial := t.capOf(b); onTrial {
		x := t.limit(b)
		x.hard[x.slot(q.Category)]--
		x.soft[x.slot(q.Category)]--
	}
}

// answered pins a key to the newest build once it has answered there.
func (t *trial) answered(q *query, b relay.Build) {
	if t.p.set.Rollout.KeysForward && q.Key != 0 && t.known && b == t.news.Build &&
		(t.news.Phase == relay.OnTrial || t.news.Phase == relay.Released) {
		t.keys[q.Key] = true
	}
}

// judging says whether the newest build can still be sent back.
func (t *trial) judging() bool {
	return t.known && (t.news.Phase == relay.OnTrial || t.news.Phase == relay.Released)
}

// verdict forms this relay's verdict on one category.
func (t *trial) verdict(c relay.Category) verdict {
	at := int(c) * figures
	now := t.p.now
	n1 := t.newer.sum(now, at+figCount, 0, evidenceBuckets)
	n0 := t.earlier.sum(now, at+figCount, 0, evidenceBuckets)
	base, from, to := &t.earlier, 0, evidenceBuckets
	recent := evidenceBuckets
	if n0 < leastCount { // without earlier machines: this release's own earlier share
		base, from, recent = &t.newer, evidenceRecent, evidenceRecent
		n1, n0 = t.newer.sum(now, at+figCount, 0, recent), base.sum(now, at+figCount, from, to)
	}
	v := verdict{n: int(n1)}
	if n1 < leastCount || n0 < leastCount {
		return v
	}
	for _, fig := range []int{figFailed, figLate} {
		x1, x0 := t.newer.sum(now, at+fig, 0, recent), base.sum(now, at+fig, from, to)
		v.flag = v.flag || worse(x1, n1, x0, n0)
	}
	return v
}

// worse is the design's test of one share against another.
func worse(x1, n1, x0, n0 float64) bool {
	p1, p0 := x1/n1, x0/n0
	err := math.Sqrt(p1*(1-p1)/n1 + p0*(1-p0)/n0)
	return p1-p0 >= flagPoints && p1-p0 > flagErrors*err && x1-p0*n1 >= flagOutcomes
}

// tell sends this relay's verdicts to the fusers, on change and every so often.
func (t *trial) tell() {
	if !t.judging() {
		return
	}
	m := memo{build: t.news.Build, stage: t.news.Stage}
	changed := t.p.now-t.toldAt >= verdictEvery
	for c := range t.p.rows {
		v := t.verdict(relay.Category(c))
		m.verdicts = append(m.verdicts, v)
		changed = changed || v.flag != t.told[c].flag
	}
	if !changed {
		return
	}
	t.toldAt = t.p.now
	copy(t.told, m.verdicts)
	t.p.post(&t.p.fuser, noteVerdicts{t.p.set.Self, m})
	if !t.p.set.Limits.Messages {
		return
	}
	body := m.encode()
	for i := 0; i < t.p.fuser.count(); i++ {
		if relay.RelayNo(i) != t.p.set.Self {
			t.p.do(relay.Tell{To: relay.RelayNo(i), Body: body})
		}
	}
}

// heard is the last word of one relay.
type heard struct {
	memo
	at  relay.Seconds
	has bool
}

// fuser weighs all relays' verdicts and votes.
type fuser struct {
	p       *Policy
	heard   []heard
	cast    relay.Vote // the vote that stands, or is under way
	castAt  relay.Seconds
	sure    bool // it was counted
	pending bool
}

// count is how many relays fuse: the lowest-numbered few, or as many as a share of votes needs.
func (f *fuser) count() int {
	r := &f.p.set.Rollout
	return min(max(fuserCount, r.VotesOn, r.VotesBack, r.VotesHold), f.p.set.Relays)
}

func (f *fuser) take(n note) {
	switch n := n.(type) {
	case noteVerdicts:
		if int(n.from) < len(f.heard) {
			f.heard[n.from] = heard{n.memo, f.p.now, true}
		}
	case relay.StageNews:
		if n.Reply != relay.Unasked {
			f.pending, f.sure = false, n.Reply == relay.Counted
		}
	case noteTick:
		if int(f.p.set.Self) < f.count() {
			f.vote()
		}
	}
}

// fused sums the log likelihood ratios of the verdicts that hold now.
func (f *fuser) fused() (sum float64, flaggers, pooled int) {
	t := &f.p.trial
	pf := falseAlarm / math.Max(float64(len(f.p.rows)), 1)
	for i := range f.heard {
		h := &f.heard[i]
		if !h.has || f.p.now-h.at > verdictLife || h.build != t.news.Build || h.stage != t.news.Stage {
			continue
		}
		flags := false
		for _, v := range h.verdicts {
			n := float64(v.n)
			pd := n / (n + halfKnown)
			pooled += v.n
			if v.flag {
				flags = true
				sum += math.Log(pd / pf)
			} else {
				sum += math.Log((1 - pd) / (1 - pf))
			}
		}
		if flags {
			flaggers++
		}
	}
	return sum, flaggers, pooled
}

// threshold is log t of the paper.
func threshold() float64 { return math.Log(alarmCost * (1 - prior) / (missCost * prior)) }

// wish is the vote that this fuser wants to stand.
func (f *fuser) wish() relay.Verdict {
	t := &f.p.trial
	if !t.judging() {
		return relay.NoVote
	}
	sum, flaggers, pooled := f.fused()
	if sum >= threshold() && flaggers >= leastFlags {
		return relay.VoteBack
	}
	if t.news.Phase == relay.Released {
		return relay.NoVote
	}
	r := &f.p.set.Rollout
	age := f.p.now - t.since
	if r.Control == relay.Clock {
		if pooled < leastCount && age < r.StepTime+extraWait {
			return relay.VoteHold
		}
		return relay.NoVote
	}
	if age >= r.LeastTime+extraWait || age >= r.LeastTime && pooled >= leastCount {
		return relay.VoteOn
	}
	return relay.NoVote
}

// vote casts the wish, renews it before it lapses and casts it again when it was lost.
func (f *fuser) vote() {
	r := &f.p.set.Rollout
	if f.pending && f.p.now-f.castAt > r.CallTimeout+callGrace {
		f.pending, f.sure = false, false
	}
	gap := voteGap
	if r.VotesPerSec > 0 {
		gap = math.Max(gap, 2*float64(f.count())/r.VotesPerSec)
	}
	if f.pending || f.castAt > 0 && f.p.now-f.castAt < gap {
		return
	}
	w := f.wish()
	next := relay.Vote{Build: f.p.trial.news.Build, Stage: f.p.trial.news.Stage, Verdict: w}
	same := next == f.cast || w == relay.NoVote && f.cast.Verdict == relay.NoVote
	if same && (w == relay.NoVote || f.sure && f.p.now-f.castAt < voteRenew*r.VoteLife) {
		return
	}
	f.cast, f.castAt, f.pending, f.sure = next, f.p.now, true, false
	f.p.do(next)
}
