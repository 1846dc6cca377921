// The choice of a unit for a query's next leg, and the guard that every leg passes.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	strictOutlierThreshold = 0.1 // failure figure of a suspect where a query is not sent again after an error
	minHealthyFraction     = 0.3 // part of the units below which the sound ones can't carry the load alone
	outlierCostFactor      = 3.0 // times a suspect's cost up to which a sound one is taken then: three legs, one honoured
	canaryCostFactor       = 1.5 // times the earlier unit's cost up to which the trial's is taken: its pace is unknown
	connectBuckets         = 12  // 6 s of legs that tell how many connects fail: a few legs of a small relay
	maxConnectFailures     = 0.1 // of legs that get no connection from which units with a standing one come first
	connectionLife         = 8.0 // s after its last answer that a unit's connection counts as standing
)

// route sends a query that has no leg out, holds it while it is in time and may go, or gives it up at once.
func (d *router) route(q *trackedRequest) {
	held := d.p.now < q.objectiveAt && d.p.now < q.Deadline-deadlineMargin
	if u := d.pickEndpoint(q); u != nil && held {
		d.sendAttempt(q, u)
		return
	}
	if !held || d.p.endpoints.leaseExpired() || len(q.attempts) >= d.p.settings.Limits.MaxAttempts ||
		q.class.idempotency == relay.AtMostOnce && q.mayHaveRun() {
		d.giveUp(q)
	}
}

// pick chooses the unit for a query's next leg, one of the build on trial only while its share lasts.
func (d *router) pickEndpoint(q *trackedRequest) *trackedEndpoint {
	var earlier, onTrial []*trackedEndpoint
	for _, u := range d.p.endpoints.all {
		if !d.eligible(q, u) {
			continue
		}
		if _, _, trial := d.p.canary.exposureLimit(u.Build); trial {
			onTrial = append(onTrial, u)
		} else {
			earlier = append(earlier, u)
		}
	}
	old, fresh := d.bestOf(q, earlier), d.bestOf(q, onTrial)
	if old == nil || fresh != nil && d.p.canary.withinTarget(q, fresh.Build) && fresh.load() <= canaryCostFactor*old.load() {
		return fresh
	}
	return old
}

// best is the cheaper of two random choices among the units that look sound; among all, where none does.
// While connects fail, units that hold a connection come first, whatever makes new ones dear or rare.
func (d *router) bestOf(q *trackedRequest, units []*trackedEndpoint) *trackedEndpoint {
	limit := outlierThreshold
	if q.class.idempotency == relay.AtMostOnce {
		limit = strictOutlierThreshold
	}
	failed := d.connects.all(d.p.now, 1)
	short := failed > 1 && failed > maxConnectFailures*d.connects.all(d.p.now, 0)
	var pools [3][]*trackedEndpoint
	for _, u := range units {
		i := 0
		switch {
		case q.hasTried(u):
			continue
		case u.failureEstimate() >= limit:
			i = 2
		case short && (!u.connected || u.openAttempts == 0 && d.p.now-u.lastAnswerAt > connectionLife):
			i = 1
		}
		pools[i] = append(pools[i], u)
	}
	// Where most units fail at once the few sound ones can't carry everything: suspects take what would
	// wait there for long, of queries that may go out again.
	sound, suspects := float64(len(pools[0])), float64(len(pools[2]))
	if sound > 0 && sound < minHealthyFraction*(sound+suspects) && q.class.idempotency != relay.AtMostOnce {
		a, b := d.twoRandomChoices(pools[0]), d.weightedChoice(pools[2])
		if b.cost()*outlierCostFactor < a.cost() {
			return b
		}
		return a
	}
	for _, pool := range [...][]*trackedEndpoint{pools[0], pools[1], pools[2], units} {
		if len(pool) > 0 {
			return d.twoRandomChoices(pool)
		}
	}
	return nil
}

// cheaper is the cheaper of two random choices.
func (d *router) twoRandomChoices(pool []*trackedEndpoint) *trackedEndpoint {
	a := d.weightedChoice(pool)
	if b := d.weightedChoice(pool); b.cost() < a.cost() {
		return b
	}
	return a
}

// may is the guard that every leg passes: rules 2 to 5.
func (d *router) eligible(q *trackedRequest, u *trackedEndpoint) bool {
	p := d.p
	if q.finished || u.State != relay.Ready || len(q.attempts) >= p.settings.Limits.MaxAttempts || p.endpoints.leaseExpired() {
		return false
	}
	for i := range q.attempts {
		l := &q.attempts[i]
		if l.open && !p.settings.Limits.HedgedRequests {
			return false
		}
		if !l.mayHaveRun {
			continue
		}
		switch q.class.idempotency {
		case relay.AtMostOnce:
			return false
		case relay.IdempotencyKeyed:
			same := q.class.dedupScope == relay.DedupAll || q.class.dedupScope == relay.DedupZone && u.Zone == l.zone ||
				q.class.dedupScope == relay.DedupFailureDomain && u.FailureDomain == l.failureDomain
			if !same || p.now >= q.dedupDeadline() {
				return false
			}
		}
	}
	return !u.withheld() && p.canary.permits(q, u.Build)
}

// send is where every leg goes out.
func (d *router) sendAttempt(q *trackedRequest, u *trackedEndpoint) {
	p, by := d.p, q.dedupDeadline()
	if end := d.p.endpoints.leaseExpiresAt; end != never && (by == 0 || end < by) {
		by = end // it waits for a connection no longer than the list holds
	}
	q.attempts = append(q.attempts, trackedAttempt{endpoint: u, zone: u.Zone, failureDomain: u.FailureDomain, build: u.Build, sentAt: p.now,
		endpointAge: p.now - u.startTime, open: true, mayHaveRun: true, queueDepth: u.openAttempts})
	if u.capacityFraction() < 1 {
		u.slowStartBudget, u.slowStartBudgetAt, u.firstAttemptDraw = math.Max(0, u.slowStartLeft()-1), p.now, 1
	}
	p.canary.chargeAttempt(q, u.Build)
	p.send(u, attemptSent{})
	p.emit(relay.SendAttempt{Request: q.ID, Endpoint: u.id, SendBy: by})
}
