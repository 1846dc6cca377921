// Package policy holds every decision of a relay.
//
// How to call it: New(settings, seed) once, then Step(now, events) whenever something has happened; the
// orders it returns are to be carried out in their order, and the slice is good until the next Step.
// Their types are package relay's. The module has no clock, no I/O, no goroutine and no global.
//
// Inside, each part is a small actor: the roster, a unit for every server, the desk (queries, legs, answers),
// the gate (denials), the trial (exposure, evidence, verdicts) and the fuser (votes). Parts change each other
// only by notes. state.go has the types, measure.go buckets of time, memo.go bytes.
package policy

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sort"

	"lichenroad/relay"
)

// Tuned values, each with its unit and the reason for its size. DESIGN marks the design page's own.
const (
	tick         = 0.05 // s between looks at overdue legs, held queries and votes: small beside any due time
	patienceEdge = 0.06 // s before patience ends that a query without a leg is answered: just over a tick

	capShare     = 0.8  // of the cap that the build on trial may get (DESIGN)
	youngUnit    = 5.0  // s; slowness of younger units is no evidence (DESIGN: nothing of them is)
	leastCount   = 20.0 // outcomes a build for a flag, and pooled ones for a vote on (DESIGN)
	flagErrors   = 3.0  // standard errors that a share must be worse by (DESIGN)
	flagOutcomes = 1.0  // failures that a share must be worse by, and more (DESIGN)
	flagPoints   = 0.05 // difference of shares that a flag needs (DESIGN)
	halfKnown    = 20.0 // outcomes at which a bad build is flagged half the time (DESIGN)
	falseAlarm   = 0.01 // false-alarm probability of one relay over all its categories (DESIGN)
	prior        = 0.35 // of a build being bad (DESIGN)
	alarmCost    = 1.0  // of sending a good build back (DESIGN: equal costs)
	missCost     = 1.0  // of letting a bad build through (DESIGN)
	verdictLife  = 6.0  // s that a verdict counts at a fuser (DESIGN)
	verdictEvery = 1.0  // s between verdicts without a change (DESIGN)
	leastFlags   = 2    // relays that must flag (DESIGN)
	fuserCount   = 4    // lowest-numbered relays that fuse (DESIGN)
	extraWait    = 3.0  // s past the least time that a fuser waits for outcomes (DESIGN)

	judgeEvery      = 0.25 // s between two looks at the evidence: a few outcomes apart
	evidenceWidth   = 0.5  // s a bucket of outcomes
	evidenceBuckets = 24   // 12 s: two lives of a verdict, long enough for 20 outcomes of a rare category
	evidenceLately  = 6    // of these buckets, looked at alone too: a build that turns bad has shone for long
	evidenceRecent  = 12   // buckets taken as recent where a build is compared with its own earlier share
	steadyTime      = 12.0 // s after a release that the usual pace is held: a window of evidence
	turnAge         = 11.0 // s of a machine's age at which the last of the builds that turn bad have done so
	eldestSpread    = 2.0  // s between the starts of machines that count as the eldest: one stage's
	ripeAge         = 15.0 // s of a build's first machines up to which it is not released: some turn bad at 12 s
	ripePart        = 0.9  // of the time between two builds after which it is: the next would end the trial
	lateBuckets     = 8    // 4 s of legs that show slowness: the hour changes faster than builds do
	depths          = 8    // own legs at a unit that paces are told apart by: more are rare where it runs well
	leastPace       = 10.0 // legs from which a usual pace is known
	poolOutcomes    = 4.0  // the same as flagOutcomes for pooled counts, which are looked at far more often
	flagLasts       = 1.0  // s that a pooled flag must last: a verdict from every relay
	poolPoints      = 0.02 // the same as flagPoints for pooled failures: many outcomes show a mild fault too
	slowTimes       = 1.6  // times the earlier machines' leg time that a flag needs: as much differs by load
	illPart         = 0.5  // of a build's units that fail most legs, above which that is the build's doing
	illTimes        = 2.0  // times the earlier build's part that it must be too: twice is no chance of the draw
	fleetTimes      = 1.4  // times the fleet's leg time before the trial that stops a vote on
	fleetPatience   = 6.0  // s that it may last until the build is held its cause: most troubles pass
	hourLag         = 0.5  // s after the last leg of earlier machines that they still tell how the hour is
	leastSlow       = 60.0 // legs that slowness needs, earlier machines twice that: the last to drain are idle
	listedPart      = 0.5  // of a stage's units that must be listed before its time counts: news may lag
	listedLag       = 3.0  // s from a stage's start in which its units are usually listed

	fuserSilence = 3.0 // s without a finding after which a fuser counts as lost: three findings
	voteRenew    = 0.5 // of a vote's life after which it is cast again: one lost renewal is survived
	voteGap      = 0.4 // s at least between two votes of one relay
	voteSpare    = 1.0 // s after which relays beyond the needed ones vote too: news of a success is there
	voteOver     = 1.1 // times the needed votes that are cast at once: some relays are dead or cut off
	callGrace    = 0.5 // s past the platform's own time-out before a vote counts as lost

	badStep     = 0.25  // weight of one outcome in a unit's failure figure: two failures make a suspect
	badHalf     = 4.0   // s in which that figure halves: a suspect gets a leg every few seconds to earn its way
	suspectAt   = 0.3   // failure figure of a suspect
	brokenAt    = 0.5   // part of its last legs that a unit failed, at which the machine is at fault: 3 in a row
	suspectFirm = 0.1   // the same for queries that can't be sent again after an error
	soundFew    = 0.3   // part of the units below which the sound ones can't carry the load alone
	suspectDear = 3.0   // times a suspect's cost up to which a sound one is taken then: three legs, one honoured
	paceStep    = 0.2   // weight of one answer in a unit's pace
	paceFleet   = 0.02  // the same in the fleet's
	paceKind    = 0.002 // the same in a kind of machine's over all relays: 500 legs, as kinds change slowly
	paceHalf    = 3.0   // s in which the pace of a silent unit goes half way back to the fleet's
	trialDear   = 1.5   // times the earlier unit's cost up to which the trial's is taken: its pace is unknown
	quietShare  = 1.0   // rise of a unit's cost for each usual leg time that it holds legs and answers nothing
	crossCost   = 1.6   // times the cost in another zone, where crossing has a price

	linkBuckets = 12  // 6 s of legs that tell how many connects fail: a few legs of a small relay
	linkShare   = 0.1 // of legs that get no connection from which units with a standing one come first
	linkLife    = 8.0 // s after its last answer that a unit's connection counts as standing

	coldPart   = 0.8 // of what rule 4 allows a cold unit that all relays use: slow machines take so much less
	strainStep = 0.1 // weight of one leg in the mean of leg time over due time: ten legs tell an overload
	coldBurst  = 0.2 // of the rule's time that a relay may send ahead of the rate
	flowWidth  = 0.5 // s a bucket of legs and queries
	flowCount  = 4   // buckets: 2 s, long enough for small relays, short enough for a loss

	gateWait   = 0.5  // of the mean due time that a leg may take before the gate holds the inflow
	gateLately = 2    // buckets of the gate's, the present one and one before, that show a burst's own pace
	gateSpare  = 4.0  // open queries beyond that, so that a small relay is not shut by one slow answer
	gateLow    = 0.8  // part of the limit from which the category of least value is denied; the top: 1
	gateOver   = 0.9  // times its part of the limit from which a beyond-share customer's query is denied
	overShare  = 1.15 // times its share of traffic at which a customer counts as beyond it
	fullDenial = 0.8  // part of the limit from which a query turned away by a full unit is not sent on

	watchRetry  = 1.0  // s before a failed watch is asked for again, with as much jitter on top
	askPart     = 0.25 // of the time to which a relay with no watch is held, at most the same
	silentRetry = 0.2  // s, with as much on top, while a call behind a silence fails: a tenth of the 2 s left
	forgetGone  = 60.0 // s after which a unit that is gone is forgotten: five windows of evidence
	watchWait   = 4.0  // s without any answer after which a call to the roster is made again
	doubtSpread = 2.0  // s past listedLag before a watch is doubted, and on average until then
)

// New returns the module of one relay, ready for its first Step.
func New(set relay.Settings, seed int64) *Policy {
	p := &Policy{set: set, rng: rand.New(rand.NewSource(seed))}
	top := 1e-9
	for _, c := range set.Categories {
		top = math.Max(top, c.Value)
	}
	for _, c := range set.Categories {
		p.rows = append(p.rows, row{repeat: c.Repeat, group: c.Group, window: c.RepeatWindow, due: c.DueTime,
			stretch: c.DueStretch, patience: c.Patience, gate: gateLow + (1-gateLow)*c.Value/top})
	}
	p.assemble()
	// Relays that start together would all look and tell at the same moments, once a second.
	p.trial.judgeAt, p.trial.toldAt = judgeEvery*p.rng.Float64(), -verdictEvery*p.rng.Float64()
	return p
}

func (r *roster) ask() {
	r.askAt, r.failed = r.p.now+watchWait, false
	r.p.do(relay.Watch{On: true})
}

func (r *roster) take(n note) {
	switch n := n.(type) {
	case noteTick:
		t := &r.p.trial
		if r.p.set.RosterOnAsk && r.p.now >= r.askAt {
			r.ask()
		} else if r.askAt == never && t.known && !t.doubted && t.listedAt == 0 && t.news.Phase == relay.OnTrial &&
			r.p.now-t.since > listedLag+doubtSpread && r.p.rng.Float64() < tick/doubtSpread {
			// A stage whose units nobody lists: a silent watch shows in nothing else until its wait is over.
			t.doubted = true
			r.p.do(relay.Watch{On: true, Anew: true})
		}
	case relay.Roster:
		if n.Form == relay.RosterFailed || n.Form == relay.RosterSilent {
			// Which call failed is not said. What a silent watch missed counts as told soon: ask at once.
			r.failed, r.silent = true, r.silent || n.Form == relay.RosterSilent
			wait := math.Min(watchRetry, askPart*r.p.set.Rules.AskEvery)
			if n.Form == relay.RosterSilent {
				wait = 0
			} else if r.silent {
				wait = math.Min(silentRetry, wait)
			}
			r.askAt = r.p.now + wait*(1+r.p.rng.Float64())
			return
		}
		if n.Form != relay.RosterCached && !r.failed { // else it may be of another call than the one that failed
			r.askAt, r.silent = never, false
		}
		r.merge(n)
	}
}

func (u *unit) take(n note) {
	switch n := n.(type) {
	case relay.UnitEntry:
		// A fresh start, or another build under an old id, is a new process: nothing known of the old holds.
		if !u.met || n.Build != u.Build || n.Started && n.StartedAt != u.StartedAt {
			u.met, u.bad, u.pace, u.misses, u.brokenOn = true, 0, 0, 0, 0
			u.cold, u.coldAt, u.first = u.p.rng.Float64(), u.p.now, u.p.rng.Float64()
			u.seen[own].reset()
			u.seen[told].reset()
		}
		if n.State == relay.Gone && u.State != relay.Gone {
			u.goneAt = u.p.now
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
	case noteOverdue:
		u.bad, u.badAt = u.badNow()+badStep*(1-u.badNow()), u.p.now
	case noteOutcome:
		u.open--
		u.ended(n)
	}
}

// young is the age up to which a unit may be slow for being cold: what the site states, at most the design's.
func (p *Policy) young() relay.Seconds {
	if w := p.set.Rules.WarmUp; w > 0 && w < youngUnit {
		return w
	}
	return youngUnit
}

// miss is what an outcome adds to a failure figure. A unit that is full is no suspect for that alone.
func miss(how relay.Outcome) float64 {
	switch how {
	case relay.Honoured:
		return 0
	case relay.TurnedAway:
		return suspectAt
	}
	return 1
}

// witness learns what a leg shows of the unit and its build, whichever relay sent it.
func (u *unit) witness(s sighting, by int) {
	m := miss(s.how)
	if !s.how.NeverRan() { // what a full table or a refused connection shows is not the machine's doing
		if u.misses += badStep * (m - u.misses); m == 1 && u.misses >= brokenAt || s.how == relay.Broken {
			u.brokenOn = u.p.now
		}
	}
	usual := u.p.desk.usualPace(u.Kind, s.depth)
	if s.how == relay.Honoured && s.pace > 0 {
		u.p.desk.kind(u.Kind).add(s.pace, paceKind)
		u.p.desk.learnPace(u, s.pace, s.depth)
	}
	known := s.category >= 0 && int(s.category) < len(u.p.rows)
	if known && !s.how.NeverRan() && s.newest == u.newest() {
		u.record(s, by, usual)
	}
}

// cost is what one more leg here is expected to cost, for comparison with other units.
func (u *unit) cost() float64 {
	if u.Zone != u.p.set.Zone && u.p.set.Prices.CrossZone > 0 {
		return crossCost * u.load()
	}
	return u.load()
}

// load is what it costs the unit. One that holds legs and answers nothing gets dearer by the moment.
func (u *unit) load() float64 {
	c := u.paceNow() * float64(u.open+1)
	if u.open > 0 {
		c *= 1 + quietShare*(u.p.now-u.answer)/math.Max(u.p.desk.usual.v, 1e-3)
	}
	return c
}

// coldLeft is the budget of legs for a cold unit by now. Its even part of this relay's answers stands for
// what it can do when warm, so all relays together keep rule 4. (Legs sent won't do: a lone unit gets more.)
func (u *unit) coldLeft() float64 {
	r := &u.p.set.Rules
	rate := u.p.desk.evenFlow * u.warmth() * r.FallMultiple * coldPart
	return math.Min(math.Max(1, rate*r.FallTime*coldBurst), u.cold+rate*(u.p.now-u.coldAt))
}

// spared says that the unit is too cold for one more leg of this relay. By its budget alone a small relay
// would leave it alone for its whole youth; while there are warm units, most relays may send one at once.
func (u *unit) spared() bool {
	r := &u.p.set.Rules
	return u.warmth() < 1 && u.coldLeft() < 1 &&
		u.first >= u.p.desk.choice*math.Min(1, r.FallMultiple*r.ColdFrom*coldPart)
}

func (d *desk) take(n note) {
	switch n := n.(type) {
	case relay.Query:
		if d.queries[n.ID] != nil {
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
		d.inTime++
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
			q.stream = true
			d.settle(q)
		}
	case relay.ClientLeft:
		if q := d.queries[n.Query]; q != nil {
			d.settle(q)
		}
	case noteTick:
		d.look()
	}
}

func (d *desk) ended(n relay.LegEnded) {
	q := d.queries[n.Query]
	if q == nil || n.Leg < 0 || int(n.Leg) >= len(q.legs) || !q.legs[n.Leg].open {
		return
	}
	l := &q.legs[n.Leg]
	l.open, l.mayRan = false, !n.How.NeverRan()
	o := noteOutcome{category: q.Category, leg: *l, how: n.How, took: n.Took, work: q.work(), due: q.due - q.at}
	d.p.post(l.unit, o)
	d.p.post(&d.p.gate, o)
	if n.How == relay.Honoured {
		d.usual.add(n.Took, paceFleet)
		d.flow.add(d.p.now, 0, 1)
		d.p.trial.answered(q, l.build)
	}
	switch {
	case n.Over:
		d.settle(q)
	case q.over || q.out() > 0:
	case n.How == relay.TurnedAway && float64(d.inTime) > fullDenial*d.p.gate.limit():
		d.finish(q) // the fleet is full: more legs would only feed it
	default:
		d.route(q)
	}
}

// settle ends a query and its legs.
func (d *desk) settle(q *query) {
	if !q.over && !q.overdue {
		d.inTime--
	}
	q.over = true
	if !d.p.set.Limits.Cancel || q.stream {
		return
	}
	for i := range q.legs {
		if q.legs[i].open {
			d.p.do(relay.CancelLeg{Query: q.ID, Leg: relay.LegNo(i)})
		}
	}
}

// look goes over the open queries: held ones, due times, patience.
func (d *desk) look() {
	warm, all := d.p.roster.warm()
	if d.ease = 0; d.strain.n >= leastPace {
		d.ease = math.Min(math.Max(2-2*d.strain.v/gateWait, 0), 1)
	}
	d.choice = warm / math.Max(all, 1) * d.ease // only the budget holds in an overload, or if not known
	d.evenFlow = d.flow.all(d.p.now, 0) / (flowWidth * flowCount) / math.Max(all, 1)
	left := d.open[:0]
	for _, q := range d.open {
		out := q.out()
		if !q.over && !q.overdue && d.p.now > q.due {
			// Too late to be worth a place in the gate's limit: legs that a unit swallows must not shut it.
			q.overdue = true
			d.inTime--
			for i := range q.legs {
				if q.legs[i].open {
					d.p.post(q.legs[i].unit, noteOverdue{})
				}
			}
		}
		if !q.over && out == 0 {
			d.route(q)
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

// route sends a query that has no leg out, holds it while it is in time and may go, or gives it up at once.
func (d *desk) route(q *query) {
	held := d.p.now < q.due && d.p.now < q.Until-patienceEdge
	if u := d.pick(q); u != nil && held {
		d.send(q, u)
		return
	}
	if !held || len(q.legs) >= d.p.set.Limits.MaxLegs || q.row.repeat == relay.AtMostOnce && q.mayHaveRun() {
		d.finish(q)
	}
}

// pick chooses the unit for a query's next leg: two random choices among the earlier units, two among those
// of the build on trial while its share lasts, and the cheaper of the winners; a crossing costs far less.
func (d *desk) pick(q *query) *unit {
	var earlier, onTrial []*unit
	for _, u := range d.p.roster.units {
		if !d.may(q, u) {
			continue
		}
		if _, _, trial := d.p.trial.capOf(u.Build); trial {
			onTrial = append(onTrial, u)
		} else {
			earlier = append(earlier, u)
		}
	}
	old, fresh := d.best(q, earlier), d.best(q, onTrial)
	if old == nil || fresh != nil && d.p.trial.within(q, fresh.Build) && fresh.load() <= trialDear*old.load() {
		return fresh
	}
	return old
}

// best is the cheaper of two random choices among the units that look sound; among all, where none does.
// While connects fail, units that hold a connection come first, whatever makes new ones dear or rare.
func (d *desk) best(q *query, units []*unit) *unit {
	limit := suspectAt
	if q.row.repeat == relay.AtMostOnce {
		limit = suspectFirm
	}
	failed := d.links.all(d.p.now, 1)
	short := failed > 1 && failed > linkShare*d.links.all(d.p.now, 0)
	var pools [3][]*unit
	for _, u := range units {
		i := 0
		switch {
		case q.tried(u):
			continue
		case u.badNow() >= limit:
			i = 2
		case short && (!u.linked || u.open == 0 && d.p.now-u.answer > linkLife):
			i = 1
		}
		pools[i] = append(pools[i], u)
	}
	// Where most units fail at once the few sound ones can't carry everything: suspects take what would
	// wait there for long, of queries that may go out again.
	sound, suspects := float64(len(pools[0])), float64(len(pools[2]))
	if sound > 0 && sound < soundFew*(sound+suspects) && q.row.repeat != relay.AtMostOnce {
		a, b := d.cheaper(pools[0]), d.draw(pools[2])
		if b.cost()*suspectDear < a.cost() {
			return b
		}
		return a
	}
	for _, pool := range [...][]*unit{pools[0], pools[1], pools[2], units} {
		if len(pool) > 0 {
			return d.cheaper(pool)
		}
	}
	return nil
}

// cheaper is the cheaper of two random choices.
func (d *desk) cheaper(pool []*unit) *unit {
	a := d.draw(pool)
	if b := d.draw(pool); b.cost() < a.cost() {
		return b
	}
	return a
}

// may is the guard that every leg passes: rules 2 to 5.
func (d *desk) may(q *query, u *unit) bool {
	p := d.p
	if q.over || u.State != relay.Ready || len(q.legs) >= p.set.Limits.MaxLegs {
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
			if !same || p.now >= q.repeatBy() {
				return false
			}
		}
	}
	return !u.spared() && p.trial.may(q, u.Build)
}

// send is where every leg goes out.
func (d *desk) send(q *query, u *unit) {
	p, by := d.p, q.repeatBy()
	q.legs = append(q.legs, leg{unit: u, zone: u.Zone, cell: u.Cell, build: u.Build, at: p.now,
		age: p.now - u.started, open: true, mayRan: true, depth: u.open})
	if u.warmth() < 1 {
		u.cold, u.coldAt, u.first = math.Max(0, u.coldLeft()-1), p.now, 1
	}
	p.trial.spend(q, u.Build)
	p.post(u, noteSent{})
	p.do(relay.SendLeg{Query: q.ID, Unit: u.id, By: by})
}

// repeatBy is when the window of a numbered query that may have run ends, by its first such leg: a repeat's
// last byte has to be written before that, however long it waits for its connection. 0: no such time.
func (q *query) repeatBy() relay.Seconds {
	for i := range q.legs {
		if q.row.repeat == relay.Numbered && q.legs[i].mayRan {
			return q.legs[i].at + q.row.window
		}
	}
	return 0
}

// finish gives all final answers but an honoured leg's: a denial where trying again is harmless.
func (d *desk) finish(q *query) {
	if q.over {
		return
	}
	harmless := q.row.repeat == relay.Reissuable || !q.mayHaveRun() ||
		q.row.repeat == relay.Numbered && q.row.group == relay.GroupAll
	switch {
	case !harmless:
		d.p.do(relay.WriteOff{Query: q.ID})
	case d.p.set.Limits.RetryAfter:
		d.p.do(relay.Deny{Query: q.ID, RetryAfter: d.p.set.Limits.MaxRetryAfter})
	default:
		d.p.do(relay.Deny{Query: q.ID})
	}
	d.settle(q)
}

func (g *gate) take(n note) {
	if n, ok := n.(noteOutcome); ok && n.how == relay.Honoured {
		g.answers.add(g.p.now, 0, n.due)
	}
}

// limit is how many queries may be open: by Little's law, the rate of answers times the time they may take.
func (g *gate) limit() float64 {
	if g.p.now < flowWidth*flowCount {
		return math.Inf(1) // no pace is known yet
	}
	// After a quiet time the mean tells what was asked, not what can be answered: the last second's pace counts.
	lately := flowWidth*(gateLately-1) + math.Mod(g.p.now, flowWidth)
	return gateSpare + gateWait*math.Max(g.answers.all(g.p.now, 0)/(flowWidth*flowCount),
		g.answers.sum(g.p.now, 0, 0, gateLately)/lately)
}

// denies says whether a new query is turned away, and counts it.
func (g *gate) denies(q *query) bool {
	n, c := len(g.p.set.Customers), int(q.Customer)
	g.mix.add(g.p.now, n, 1)
	part := q.row.gate
	if c < n {
		g.mix.add(g.p.now, c, 1)
		if share := g.p.set.Customers[c].Share; g.mix.all(g.p.now, c) > overShare*share*g.mix.all(g.p.now, n) {
			part *= gateOver // value ranks beyond a share too: a burst is mostly one customer's
		}
	}
	return float64(g.p.desk.inTime) > part*g.limit()
}

func (t *trial) take(n note) {
	switch n := n.(type) {
	case relay.StageNews:
		if n.Valid && (!t.known || n.Build >= t.news.Build) {
			t.hear(n)
		}
	case relay.Scope:
		t.narrow(n)
	case noteTick:
		if t.p.now >= t.judgeAt && t.known {
			t.judgeAt = t.p.now + judgeEvery
			t.judge()
		}
	}
}

func (t *trial) hear(n relay.StageNews) {
	if !t.known || n.Build != t.news.Build || n.Stage != t.news.Stage || n.Phase != t.news.Phase {
		t.listedAt, t.doubted = 0, false
		if t.p.set.Self == 0 {
			t.p.do(relay.Log{Line: fmt.Sprintf("build %d stage %d phase %d", n.Build, n.Stage, n.Phase)})
		}
	}
	for k, b := range t.keys {
		if b < n.Build || b == n.Build && (n.Phase == relay.GoingBack || n.Phase == relay.Withdrawn) {
			delete(t.keys, k)
		}
	}
	if t.known && n.Build != t.news.Build {
		if t.offered > 0 {
			t.cycle = t.p.now - t.offered
		}
		t.offered = t.p.now
		t.calm = t.fleet()
		clear(t.last[own])
		clear(t.last[told])
	}
	t.known, t.news, t.since = true, n, t.p.now-n.Age
	x := t.limit(n.Build)
	if n.Cap < x.cap {
		clear(x.hard)
		clear(x.soft)
		clear(x.parts)
		t.p.desk.recall(n.Build) // a lower cap binds legs that still wait for a connection, too
	}
	x.cap = n.Cap
}

// capOf gives a build's cap and stage, and whether it is on trial. One not named yet is in the first stage.
func (t *trial) capOf(b relay.Build) (cap float64, stage relay.Stage, onTrial bool) {
	switch {
	case !t.known || b < t.news.Build || b == t.news.Build && t.news.Phase == relay.Released:
		return 1, 0, false
	case b > t.news.Build:
		return t.limit(b).cap, 0, true
	}
	return t.news.Cap, t.news.Stage, true
}

// took adds a query's part to the rule's budgets, which hold no more than its uncounted legs at any time.
// Where a scope holds, only queries that may meet the build add to them, each to its group's too.
func (t *trial) took(q *query) {
	g, open := t.group(q.Customer)
	for k := 0; open && k < len(t.limits); k++ {
		x := t.limits[k]
		i := x.slot(q.Category)
		x.hard[i] = math.Min(x.hard[i]+x.cap, t.p.set.Rollout.Uncounted)
		if g >= 0 {
			x.parts[g] = math.Min(x.parts[g]+x.cap, t.p.set.Rollout.Uncounted)
		}
	}
}

// may is the guard's part on exposure (rule 5).
func (t *trial) may(q *query, b relay.Build) bool {
	ro := &t.p.set.Rollout
	if ro.KeysForward && q.Key != 0 && b < t.keys[q.Key] {
		return false
	}
	cap, stage, onTrial := t.capOf(b)
	if !onTrial {
		return true
	}
	x := t.limit(b)
	if g, open := t.group(q.Customer); t.scoped {
		if !open || b > t.scope.Build || x.parts[g] < 1-1e-9 {
			return false
		}
		stage = min(stage, t.scope.Stage)
	}
	if cap <= 0 || int(stage) < ro.GuardedStages && q.row.repeat != relay.Reissuable {
		return false
	}
	return x.hard[x.slot(q.Category)] >= 1-1e-9
}

// within says whether the design's share of the cap leaves room for a leg at a build, announced or not.
func (t *trial) within(q *query, b relay.Build) bool {
	x := t.limit(b)
	return x.soft[x.slot(q.Category)] >= 1-1e-9
}

// spend takes a leg off the budgets. The design's share is one of the legs sent: a share of all that is taken
// in an overload would push the build's few units over.
func (t *trial) spend(q *query, b relay.Build) {
	g, open := t.group(q.Customer)
	for k := 0; open && k < len(t.limits); k++ { // else it could not have gone there
		x := t.limits[k]
		i := x.slot(q.Category)
		part, most := math.Min(capShare*x.cap, t.room), t.p.set.Rollout.Uncounted+1
		if !t.p.set.Rollout.InPlace {
			most += part // a bound that this leg's part may pass: else two legs in three were the most
		}
		x.soft[i] = math.Min(x.soft[i]+part, most)
	}
	if _, _, onTrial := t.capOf(b); onTrial {
		x := t.limit(b)
		x.hard[x.slot(q.Category)]--
		x.soft[x.slot(q.Category)]--
		if g >= 0 {
			x.parts[g]--
		}
	}
}

// answered pins a key to the newest build once it has answered there.
func (t *trial) answered(q *query, b relay.Build) {
	if t.p.set.Rollout.KeysForward && q.Key != 0 && b > t.keys[q.Key] &&
		(!t.known || b > t.news.Build || b == t.news.Build && t.judging()) {
		t.keys[q.Key] = b
	}
}

// judging says whether the newest build can still be sent back.
func (t *trial) judging() bool {
	return t.known && (t.news.Phase == relay.OnTrial || t.news.Phase == relay.Released)
}

// steady says that the usual pace of each kind is held as it was before the trial, for comparison.
func (t *trial) steady() bool {
	return t.p.now > steadyTime/2 && t.judging() &&
		(t.news.Phase == relay.OnTrial || t.p.now-t.since < steadyTime)
}

// judge forms this relay's verdicts and tells the fusers, on change and every so often.
func (t *trial) judge() {
	t.list()
	changed := len(t.untold) > 0 && t.p.now-t.toldAt >= verdictEvery
	for c := range t.p.rows {
		v := t.verdict(c)
		changed = changed || v.flag != t.mine[c].flag
		t.mine[c] = v
	}
	if !changed {
		return
	}
	t.toldAt = t.p.now
	m := memo{build: t.news.Build, stage: t.news.Stage, verdicts: append([]verdict(nil), t.mine...)}
	t.p.post(&t.p.fuser, noteMemo{t.p.set.Self, m})
	t.tell(m)
}

// list notes when most units of the present stage are listed, and what part of the fleet they can take.
func (t *trial) list() {
	newer, earlier, warm, all := 0.0, 0.0, 0.0, 0.0
	for _, u := range t.p.roster.units {
		if u.State != relay.Ready {
			continue
		}
		w := u.warmth()
		if u.spared() {
			w = 0 // what this relay may not send there must not fall on the others of the build
		}
		all += w
		if _, _, onTrial := t.capOf(u.Build); onTrial {
			warm += w
		}
		if u.newest() {
			newer++
		} else {
			earlier++
		}
	}
	// An even part of the load would do, but machines that came beside the earlier ones can do what these did
	// alone; all relays together would else leave half of the queries to the earlier build for a whole stage.
	part := warm / math.Max(all, 1)
	if besides := math.Min(1, warm/math.Max(all-warm, 1)); !t.p.set.Rollout.InPlace {
		part += t.p.desk.ease * math.Max(besides-part, 0)
	}
	// Where own legs show how full a unit is, its cost bounds what it gets; a small relay sees nothing of it.
	t.room = part * (1 + math.Min(1, float64(t.p.desk.inTime)/math.Max(newer+earlier, 1)))
	if t.p.set.Rollout.InPlace {
		earlier += newer
	}
	if s := t.p.set.Rollout.StageShares; t.listedAt == 0 && newer > 0 && int(t.news.Stage) < len(s) &&
		newer >= listedPart*s[t.news.Stage]*earlier {
		t.listedAt = t.p.now
	}
}

// verdict forms this relay's verdict on one category. With too few outcomes it says nothing.
func (t *trial) verdict(c int) (v verdict) {
	if t.legs.all(t.p.now, c) < leastCount {
		return verdict{}
	}
	newer, before := t.compare(own, c, evidenceBuckets, 0)
	if newer[figCount] < leastCount || before[figCount] < leastCount {
		return verdict{}
	}
	return verdict{flagged(newer, before, false), newer[figCount]}
}

// compare sets the newest build's outcomes against the earlier ones'; its eldest machines' alone from an age.
func (t *trial) compare(by, c, to int, age relay.Seconds) (newer, before counts) {
	pooled := by == told
	before, ill := t.gather(pooled, c, false, 0, evidenceBuckets, illPart, 0)
	// A zone that is lost takes machines of both builds along: where half of the earlier ones are off, that
	// most of the newest one's are is not its doing.
	spare := math.Max(illPart, illTimes*ill)
	newer, _ = t.gather(pooled, c, true, 0, to, spare, age)
	if before[figCount] >= leastCount {
		t.last[by][c] = before
		return newer, before
	}
	// Without earlier machines: what they last showed, or else this release's own earlier share. Lateness
	// then says more of the hour than of the build, and is left out.
	if before = t.last[by][c]; before[figCount] == 0 {
		newer, _ = t.gather(pooled, c, true, 0, min(to, evidenceRecent), spare, age)
		before, _ = t.gather(pooled, c, true, evidenceRecent, evidenceBuckets, spare, 0)
	}
	newer[figLate], newer[figMatched] = 0, 0
	return newer, before
}

// gather sums the evidence of the newest build's units, or of the earlier ones. What only some machines of a
// build do is not the build's: a unit that failed most legs or broke one of late is left out, unless more
// than a part (given too) did; the slowest quarter is left out of slowness; a single unit shows no faults.
func (t *trial) gather(pooled bool, c int, newest bool, from, to int, spare float64,
	age relay.Seconds) (sound counts, ill float64) {
	var seen, off []counts
	eldest := 0.0
	if age > 0 {
		eldest = t.eldest()
	}
	for _, u := range t.p.roster.units {
		if u.newest() != newest {
			continue
		}
		until := to
		if has := t.p.now - u.started; age > 0 {
			if until = min(to, int((has-age)/evidenceWidth)); until <= 0 || has < eldest-eldestSpread {
				continue
			}
		}
		e := u.evidence(pooled, c, from, until)
		if e[figCount] == 0 {
			continue
		}
		if u.brokenOn > 0 && t.p.now-u.brokenOn < evidenceWidth*evidenceBuckets {
			off = append(off, e)
		} else {
			seen = append(seen, e)
		}
	}
	all := float64(len(off) + len(seen))
	if ill = float64(len(off)) / math.Max(all, 1); ill > spare {
		seen = append(seen, off...)
	}
	for _, e := range seen {
		sound.add(e)
	}
	if len(seen) == 1 && newest {
		return counts{figCount: sound[figCount]}, ill
	}
	seen = slices.DeleteFunc(seen, func(e counts) bool { return e[figMatched] == 0 })
	sort.SliceStable(seen, func(i, j int) bool {
		return seen[i][figOver]*seen[j][figMatched] > seen[j][figOver]*seen[i][figMatched]
	})
	left := sound[figMatched]
	for _, e := range seen[:(len(seen)+3)/4] {
		sound[figOver] -= e[figOver]
		left -= e[figMatched]
	}
	sound[figOver] *= sound[figMatched] / math.Max(left, 1)
	return sound, ill
}

// flagged is the design's test of one build's shares against another's. Pooled counts need fewer points for
// failures but more of them, and their standard error is that of two equal shares, so that some against
// hardly any count; lateness is left to the slowness, which knows the machines and is held against what the
// earlier ones showed in the same moments: an hour that turns slow is not the newest build's fault.
func flagged(newer, before counts, pooled bool) bool {
	if pooled && worse(newer, before, figFailed, poolPoints, poolOutcomes, true) ||
		!pooled && (worse(newer, before, figFailed, flagPoints, flagOutcomes, false) ||
			worse(newer, before, figLate, flagPoints, flagOutcomes, false)) {
		return true
	}
	m, err := newer.mean(figMatched)
	return newer[figMatched] >= leastSlow && before[figPaced] >= 2*leastSlow && slower(m, err, slowTimes)
}

// set gives the relays that fuse: the lowest-numbered few, of those that are not lost. Each of them is heard
// of every second; one that falls silent is passed over until it is heard again.
func (f *fuser) set() (nos []relay.RelayNo) {
	for i := 0; i < f.p.set.Relays && len(nos) < fuserCount; i++ {
		h := &f.heard[i]
		if h.since == 0 {
			h.since = f.p.now
		}
		if relay.RelayNo(i) == f.p.set.Self || f.p.now-math.Max(h.since, h.foundAt) < fuserSilence {
			nos = append(nos, relay.RelayNo(i))
		}
	}
	return nos
}

func (f *fuser) take(n note) {
	switch n := n.(type) {
	case noteMemo:
		if int(n.from) < len(f.heard) {
			h := &f.heard[n.from]
			h.memo, h.at, h.has = n.memo, f.p.now, true
			for _, s := range n.memo.seen {
				if u := f.p.roster.byMark[s.unit]; u != nil {
					u.witness(s, told)
				}
			}
			h.seen = nil
		}
	case noteFinding:
		if int(n.from) < len(f.heard) {
			f.heard[n.from].found, f.heard[n.from].foundAt = n.finding, f.p.now
			for k, pace := range n.finding.paces {
				if m := f.p.desk.kind(relay.Kind(k)); !f.fusing && pace > 0 {
					*m = mean{pace, leastPace}
				}
			}
		}
	case relay.StageNews:
		if n.Reply != relay.Unasked {
			// A vote on what is past stays as cast until other news comes or it is due anew: all relays that
			// hold old news would else fill the platform twice a second, and votes that matter go unheard.
			f.pending, f.sure = false, n.Reply == relay.Counted || n.Reply == relay.Moot
			if n.Reply == relay.NotCounted {
				f.nextAt = f.p.now + voteGap*(1+f.p.rng.Float64())
			}
		}
	case noteTick:
		if f.p.now >= f.lookAt {
			f.lookAt = f.p.now + judgeEvery
			f.look()
		}
		f.vote()
	}
}

// look renews what this relay wants to vote: as a fuser by all it was told, else by most fusers, or own legs.
func (f *fuser) look() {
	t := &f.p.trial
	f.fusing = slices.Contains(f.set(), f.p.set.Self)
	want := relay.Vote{Build: t.news.Build, Stage: t.news.Stage}
	votes, found := f.count(want)
	if f.fusing || found == 0 {
		want.Verdict = f.wish()
	} else if t.judging() {
		f.cleanAt, f.slowAt = f.p.now, f.p.now
		for v, n := range votes {
			if 2*n > found {
				want.Verdict = relay.Verdict(v)
			}
		}
	}
	if want != f.want {
		f.want, f.wantAt = want, f.p.now
	}
	if f.fusing && f.p.set.Limits.Messages && f.p.set.Relays > 1 &&
		(f.found != want || f.p.now-f.foundAt >= verdictEvery) {
		f.found, f.foundAt = want, f.p.now
		f.tell(want)
	}
}

// logRatio is what one verdict of n outcomes weighs.
func logRatio(flag bool, n float64, categories int) float64 {
	pd, pf := n/(n+halfKnown), falseAlarm/float64(max(categories, 1))
	if flag {
		return math.Log(pd / pf)
	}
	return math.Log((1 - pd) / (1 - pf))
}

// fused sums the log likelihood ratios of the present stage's verdicts. A relay with too few outcomes to flag
// says nothing: hundreds of such verdicts would drown the others. All relays' legs, pooled by unit, make a
// verdict of their own, a category and for all: they have enough together, and need no second flagger.
func (f *fuser) fused() (back, late, outdone bool, pooled float64) {
	t := &f.p.trial
	cats := len(f.p.rows)
	sum, flaggers := 0.0, 0
	for i := range f.heard {
		h := &f.heard[i]
		if !h.has || f.p.now-h.at > verdictLife || h.build != t.news.Build || h.stage != t.news.Stage ||
			len(h.verdicts) != cats {
			continue
		}
		flags := false
		for _, v := range h.verdicts {
			if v.n > 0 {
				sum += logRatio(v.flag, v.n, cats)
				flags = flags || v.flag
			}
		}
		if flags {
			flaggers++
		}
	}
	threshold := math.Log(alarmCost * (1 - prior) / (missCost * prior))
	back, pooledFlag := sum >= threshold && flaggers >= leastFlags, false
	// Also the eldest machines alone: a build that turns bad with age would hide behind its fresh ones.
	for _, x := range [...]struct {
		to  int
		age relay.Seconds
	}{{evidenceLately, youngUnit}, {evidenceLately, 0}, {evidenceBuckets, 0}} {
		for c := 0; c <= cats; c++ {
			newer, before := t.compare(told, c, x.to, x.age)
			outdone = worse(before, newer, figFailed, poolPoints, poolOutcomes, true) // the last holds, as for pooled
			if pooled = newer[figCount]; c < cats {
				newer[figMatched] = 0 // slowness is judged over all categories: a full unit slows them unlike
			}
			if flagged(newer, before, true) && logRatio(true, newer[figCount], cats) >= threshold {
				pooledFlag = true
				f.why = fmt.Sprintf("pooled counts of category %d, %.0f against %.0f", c, newer, before)
			}
		}
	}
	// A burst of failures ends as soon as routing knows the machines at fault; a bad build's go on.
	if !pooledFlag {
		f.cleanAt = f.p.now
	}
	if back {
		f.why = "flags of several relays"
	}
	back = back || f.p.now-f.cleanAt > flagLasts
	fleet := t.fleet()
	m, err := fleet.mean(figPaced)
	calm, calmErr := t.calm.mean(figPaced)
	late = math.Min(fleet[figPaced], t.calm[figPaced]) >= leastSlow &&
		slower(m-calm, math.Hypot(err, calmErr), fleetTimes)
	return back, late, outdone, pooled
}

// wish is the vote that this fuser wants to stand.
func (f *fuser) wish() relay.Verdict {
	t, r := &f.p.trial, &f.p.set.Rollout
	released := t.news.Phase == relay.Released
	if !t.judging() {
		f.cleanAt, f.slowAt = f.p.now, f.p.now
		return relay.NoVote
	}
	back, late, outdone, pooled := f.fused()
	// What the fleet suffers while the earlier build fails more often is its doing: this is the way out.
	if last := int(t.news.Stage) >= len(r.StageShares)-1; !late || last || outdone || released {
		f.slowAt = f.p.now
	} else if !back {
		f.why = "the whole fleet is slower than before"
	}
	age := math.Min(f.p.now-t.since, f.p.now-t.listedAt+listedLag)
	switch {
	case back || f.p.now-f.slowAt > fleetPatience:
		return relay.VoteBack
	case released:
		return relay.NoVote
	case r.Control == relay.Clock && (pooled < leastCount || late) &&
		f.p.now-t.since < r.StepTime+extraWait:
		return relay.VoteHold
	case r.Control != relay.Clock && t.listedAt != 0 && !late && t.ripe() &&
		(age >= r.LeastTime+extraWait || age >= r.LeastTime && pooled >= leastCount):
		return relay.VoteOn
	}
	return relay.NoVote
}

// ripe says that a build which turns bad with age has shown it: by its first machines' legs beyond the age,
// where all relays have enough, or by some seconds more. Only the last stage waits: none is left to go back.
func (t *trial) ripe() bool {
	due := t.cycle > 0 && t.p.now-t.offered > ripePart*t.cycle
	if int(t.news.Stage) < len(t.p.set.Rollout.StageShares)-1 || due || t.eldest() >= ripeAge {
		return true
	}
	shown, _ := t.compare(told, len(t.p.rows), evidenceLately, turnAge)
	return shown[figMatched] >= leastSlow
}

// turn is how long this relay lets others vote first: as many as are needed, and a few for those that are
// lost, vote at once; the rest only when that has not been enough, no faster than votes are taken.
func (f *fuser) turn(v relay.Verdict) relay.Seconds {
	r := &f.p.set.Rollout
	need := [...]int{relay.VoteOn: r.VotesOn, relay.VoteHold: r.VotesHold, relay.VoteBack: r.VotesBack}[v]
	extra := float64(f.p.set.Self) - math.Max(fuserCount, voteOver*float64(need))
	if v == relay.NoVote || extra < 0 {
		return 0
	}
	return voteSpare + extra/math.Max(r.VotesPerSec, 1)
}

// vote casts what is wanted, renews it before it lapses and casts it again when it was lost.
func (f *fuser) vote() {
	r, now, w := &f.p.set.Rollout, f.p.now, f.want
	if f.pending && now-f.castAt > r.CallTimeout+callGrace {
		f.pending, f.sure = false, false
	}
	if f.pending || now < f.nextAt || now-f.wantAt < f.turn(w.Verdict) {
		return
	}
	moot := f.cast.Verdict == relay.NoVote || f.cast.Build != w.Build || !f.p.trial.judging() ||
		f.cast.Verdict != relay.VoteBack && (f.cast.Stage != w.Stage || f.p.trial.news.Phase == relay.Released)
	if w.Verdict == relay.NoVote && moot {
		f.cast = w
		return
	}
	if w == f.cast && f.sure && (w.Verdict == relay.NoVote || now-f.castAt < voteRenew*r.VoteLife) {
		return
	}
	if w.Verdict == relay.VoteBack && f.cast.Verdict != w.Verdict && f.fusing {
		f.p.do(relay.Log{Line: fmt.Sprintf("voting build %d back at stage %d: %s", w.Build, w.Stage, f.why)})
	}
	f.cast, f.castAt, f.nextAt, f.pending, f.sure = w, now, now+voteGap, true, false
	f.p.do(w)
}
