// The choice of a unit for a query's next leg, and the guard that every leg passes.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	suspectFirm = 0.1 // failure figure of a suspect where a query is not sent again after an error
	soundFew    = 0.3 // part of the units below which the sound ones can't carry the load alone
	suspectDear = 3.0 // times a suspect's cost up to which a sound one is taken then: three legs, one honoured
	trialDear   = 1.5 // times the earlier unit's cost up to which the trial's is taken: its pace is unknown
	linkBuckets = 12  // 6 s of legs that tell how many connects fail: a few legs of a small relay
	linkShare   = 0.1 // of legs that get no connection from which units with a standing one come first
	linkLife    = 8.0 // s after its last answer that a unit's connection counts as standing
)

// route sends a query that has no leg out, holds it while it is in time and may go, or gives it up at once.
func (d *desk) route(q *query) {
	held := d.p.now < q.due && d.p.now < q.Deadline-patienceEdge
	if u := d.pick(q); u != nil && held {
		d.send(q, u)
		return
	}
	if !held || d.p.roster.expired() || len(q.legs) >= d.p.set.Limits.MaxAttempts ||
		q.row.repeat == relay.AtMostOnce && q.mayHaveRun() {
		d.finish(q)
	}
}

// pick chooses the unit for a query's next leg, one of the build on trial only while its share lasts.
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
	if q.over || u.State != relay.Ready || len(q.legs) >= p.set.Limits.MaxAttempts || p.roster.expired() {
		return false
	}
	for i := range q.legs {
		l := &q.legs[i]
		if l.open && !p.set.Limits.HedgedRequests {
			return false
		}
		if !l.mayRan {
			continue
		}
		switch q.row.repeat {
		case relay.AtMostOnce:
			return false
		case relay.IdempotencyKeyed:
			same := q.row.group == relay.DedupAll || q.row.group == relay.DedupZone && u.Zone == l.zone ||
				q.row.group == relay.DedupFailureDomain && u.FailureDomain == l.cell
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
	if end := d.p.roster.leaseEnd; end != never && (by == 0 || end < by) {
		by = end // it waits for a connection no longer than the list holds
	}
	q.legs = append(q.legs, leg{unit: u, zone: u.Zone, cell: u.FailureDomain, build: u.Build, at: p.now,
		age: p.now - u.started, open: true, mayRan: true, depth: u.open})
	if u.warmth() < 1 {
		u.cold, u.coldAt, u.first = math.Max(0, u.coldLeft()-1), p.now, 1
	}
	p.trial.spend(q, u.Build)
	p.post(u, noteSent{})
	p.do(relay.SendAttempt{Request: q.ID, Endpoint: u.id, SendBy: by})
}
