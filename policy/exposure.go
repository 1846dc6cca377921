// Exposure: how many queries may meet the build on trial, and which.

package policy

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

const (
	capShare   = 0.8  // of the cap that the build on trial may get (DESIGN)
	steadyTime = 12.0 // s after a release that the usual pace is held: a window of evidence
)

func (t *trial) take(n note) {
	switch n := n.(type) {
	case relay.RolloutStatus:
		if n.Valid && (!t.known || n.Build >= t.news.Build) {
			t.hear(n)
		}
	case relay.CanaryScope:
		t.narrow(n)
	case noteTick:
		if t.p.now >= t.judgeAt && t.known {
			t.judgeAt = t.p.now + judgeEvery
			t.judge()
		}
	}
}

func (t *trial) hear(n relay.RolloutStatus) {
	if !t.known || n.Build != t.news.Build || n.Stage != t.news.Stage || n.Phase != t.news.Phase {
		t.listedAt, t.doubted = 0, false
		if t.p.set.Self == 0 {
			t.p.do(relay.Log{Line: fmt.Sprintf("build %d stage %d phase %d", n.Build, n.Stage, n.Phase)})
		}
	}
	for k, b := range t.keys {
		if b < n.Build || b == n.Build && (n.Phase == relay.PhaseRollingBack || n.Phase == relay.PhaseWithdrawn) {
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
	if n.ExposureLimit < x.cap {
		x.empty()
		t.p.desk.recall(n.Build) // a lower cap binds legs that still wait for a connection, too
	}
	x.cap = n.ExposureLimit
}

// capOf gives a build's cap and stage, and whether it is on trial. One not named yet is in the first stage.
func (t *trial) capOf(b relay.Build) (cap float64, stage relay.Stage, onTrial bool) {
	switch {
	case !t.known || b < t.news.Build || b == t.news.Build && t.news.Phase == relay.PhaseReleased:
		return 1, 0, false
	case b > t.news.Build:
		return t.limit(b).cap, 0, true
	}
	return t.news.ExposureLimit, t.news.Stage, true
}

// took adds a query's part to the rule's budgets, which hold no more than its uncounted legs at any time.
func (t *trial) took(q *query) {
	limits, g := t.budgets(q)
	for _, x := range limits {
		i := x.slot(q.Class)
		x.hard[i] = math.Min(x.hard[i]+x.cap, t.p.set.Rollout.ExposureAllowance)
		if g >= 0 {
			x.parts[g] = math.Min(x.parts[g]+x.cap, t.p.set.Rollout.ExposureAllowance)
		}
	}
}

// may is the guard's part on exposure (rule 5).
func (t *trial) may(q *query, b relay.Build) bool {
	ro := &t.p.set.Rollout
	if ro.StickyKeys && q.Key != 0 && b < t.keys[q.Key] {
		return false
	}
	cap, stage, onTrial := t.capOf(b)
	if !onTrial {
		return true
	}
	x := t.limit(b)
	if g, open := t.group(q.Tenant); t.scoped {
		if !open || b > t.scope.Build || x.parts[g] < 1-1e-9 {
			return false
		}
		stage = min(stage, t.scope.Stage)
	}
	if cap <= 0 || int(stage) < ro.IdempotentOnlyStages && q.row.repeat != relay.Idempotent {
		return false
	}
	return x.hard[x.slot(q.Class)] >= 1-1e-9
}

// within says whether the design's share of the cap leaves room for a leg at a build, announced or not.
func (t *trial) within(q *query, b relay.Build) bool {
	x := t.limit(b)
	return x.soft[x.slot(q.Class)] >= 1-1e-9
}

// spend takes a leg off the budgets. The design's share is one of the legs sent: a share of all that is taken
// in an overload would push the build's few units over.
func (t *trial) spend(q *query, b relay.Build) {
	limits, g := t.budgets(q)
	for _, x := range limits {
		i := x.slot(q.Class)
		part, most := math.Min(capShare*x.cap, t.room), t.p.set.Rollout.ExposureAllowance+1
		if !t.p.set.Rollout.InPlace {
			most += part // a bound that this leg's part may pass: else two legs in three were the most
		}
		x.soft[i] = math.Min(x.soft[i]+part, most)
	}
	if _, _, onTrial := t.capOf(b); onTrial {
		x := t.limit(b)
		x.hard[x.slot(q.Class)]--
		x.soft[x.slot(q.Class)]--
		if g >= 0 {
			x.parts[g]--
		}
	}
}

// answered pins a key to the newest build once it has answered there.
func (t *trial) answered(q *query, b relay.Build) {
	if t.p.set.Rollout.StickyKeys && q.Key != 0 && b > t.keys[q.Key] &&
		(!t.known || b > t.news.Build || b == t.news.Build && t.judging()) {
		t.keys[q.Key] = b
	}
}

// judging says whether the newest build can still be sent back.
func (t *trial) judging() bool {
	return t.known && (t.news.Phase == relay.PhaseCanary || t.news.Phase == relay.PhaseReleased)
}

// steady says that the usual pace of each kind is held as it was before the trial, for comparison.
func (t *trial) steady() bool {
	return t.p.now > steadyTime/2 && t.judging() &&
		(t.news.Phase == relay.PhaseCanary || t.p.now-t.since < steadyTime)
}
