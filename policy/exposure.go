// Exposure: how many queries may meet the build on trial, and which.

package policy

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

const (
	exposureTarget     = 0.8  // of the cap that the build on trial may get (DESIGN)
	frozenAfterRelease = 12.0 // s after a release that the usual pace is held: a window of evidence
)

func (t *canary) take(n message) {
	switch n := n.(type) {
	case relay.RolloutStatus:
		if n.Valid && (!t.hasStatus || n.Build >= t.status.Build) {
			t.statusReceived(n)
		}
	case relay.CanaryScope:
		t.setScope(n)
	case tickMessage:
		if t.p.now >= t.nextJudgeAt && t.hasStatus {
			t.nextJudgeAt = t.p.now + judgeInterval
			t.judge()
		}
	}
}

func (t *canary) statusReceived(n relay.RolloutStatus) {
	if !t.hasStatus || n.Build != t.status.Build || n.Stage != t.status.Stage || n.Phase != t.status.Phase {
		t.listedAt, t.watchRestarted = 0, false
		if t.p.settings.Self == 0 {
			t.p.emit(relay.Log{Line: fmt.Sprintf("build %d stage %d phase %d", n.Build, n.Stage, n.Phase)})
		}
	}
	for k, b := range t.stickyKeys {
		if b < n.Build || b == n.Build && (n.Phase == relay.PhaseRollingBack || n.Phase == relay.PhaseWithdrawn) {
			delete(t.stickyKeys, k)
		}
	}
	if t.hasStatus && n.Build != t.status.Build {
		if t.offeredAt > 0 {
			t.releaseInterval = t.p.now - t.offeredAt
		}
		t.offeredAt = t.p.now
		t.baseline = t.fleetCounts()
		clear(t.lastEarlier[ownEvidence])
		clear(t.lastEarlier[peerEvidence])
	}
	t.hasStatus, t.status, t.stageSince = true, n, t.p.now-n.Age
	x := t.budgetOf(n.Build)
	if n.ExposureLimit < x.limit {
		x.exhaust()
		t.p.router.cancelUnsent(n.Build) // a lower cap binds legs that still wait for a connection, too
	}
	x.limit = n.ExposureLimit
}

// exposureLimit gives a build's cap and stage, and whether it is on trial. One not named yet is in the first stage.
func (t *canary) exposureLimit(b relay.Build) (cap float64, stage relay.Stage, onTrial bool) {
	switch {
	case !t.hasStatus || b < t.status.Build || b == t.status.Build && t.status.Phase == relay.PhaseReleased:
		return 1, 0, false
	case b > t.status.Build:
		return t.budgetOf(b).limit, 0, true
	}
	return t.status.ExposureLimit, t.status.Stage, true
}

// took adds a query's part to the rule's budgets, which hold no more than its uncounted legs at any time.
func (t *canary) requestArrived(q *trackedRequest) {
	limits, g := t.budgetsFor(q)
	for _, x := range limits {
		i := x.index(q.Class)
		x.allowed[i] = math.Min(x.allowed[i]+x.limit, t.p.settings.Rollout.ExposureAllowance)
		if g >= 0 {
			x.allowedByGroup[g] = math.Min(x.allowedByGroup[g]+x.limit, t.p.settings.Rollout.ExposureAllowance)
		}
	}
}

// may is the guard's part on exposure (rule 5).
func (t *canary) permits(q *trackedRequest, b relay.Build) bool {
	ro := &t.p.settings.Rollout
	if ro.StickyKeys && q.Key != 0 && b < t.stickyKeys[q.Key] {
		return false
	}
	cap, stage, onTrial := t.exposureLimit(b)
	if !onTrial {
		return true
	}
	x := t.budgetOf(b)
	if g, open := t.groupOf(q.Tenant); t.hasScope {
		if !open || b > t.scope.Build || x.allowedByGroup[g] < 1-1e-9 {
			return false
		}
		stage = min(stage, t.scope.Stage)
	}
	if cap <= 0 || int(stage) < ro.IdempotentOnlyStages && q.class.idempotency != relay.Idempotent {
		return false
	}
	return x.allowed[x.index(q.Class)] >= 1-1e-9
}

// within says whether the design's share of the cap leaves room for a leg at a build, announced or not.
func (t *canary) withinTarget(q *trackedRequest, b relay.Build) bool {
	x := t.budgetOf(b)
	return x.target[x.index(q.Class)] >= 1-1e-9
}

// spend takes a leg off the budgets. The design's share is one of the legs sent: a share of all that is taken
// in an overload would push the build's few units over.
func (t *canary) chargeAttempt(q *trackedRequest, b relay.Build) {
	limits, g := t.budgetsFor(q)
	for _, x := range limits {
		i := x.index(q.Class)
		part, most := math.Min(exposureTarget*x.limit, t.capacityShare), t.p.settings.Rollout.ExposureAllowance+1
		if !t.p.settings.Rollout.InPlace {
			most += part // a bound that this leg's part may pass: else two legs in three were the most
		}
		x.target[i] = math.Min(x.target[i]+part, most)
	}
	if _, _, onTrial := t.exposureLimit(b); onTrial {
		x := t.budgetOf(b)
		x.allowed[x.index(q.Class)]--
		x.target[x.index(q.Class)]--
		if g >= 0 {
			x.allowedByGroup[g]--
		}
	}
}

// answered pins a key to the newest build once it has answered there.
func (t *canary) requestAnswered(q *trackedRequest, b relay.Build) {
	if t.p.settings.Rollout.StickyKeys && q.Key != 0 && b > t.stickyKeys[q.Key] &&
		(!t.hasStatus || b > t.status.Build || b == t.status.Build && t.canRollBack()) {
		t.stickyKeys[q.Key] = b
	}
}

// judging says whether the newest build can still be sent back.
func (t *canary) canRollBack() bool {
	return t.hasStatus && (t.status.Phase == relay.PhaseCanary || t.status.Phase == relay.PhaseReleased)
}

// steady says that the usual pace of each kind is held as it was before the trial, for comparison.
func (t *canary) ratiosFrozen() bool {
	return t.p.now > frozenAfterRelease/2 && t.canRollBack() &&
		(t.status.Phase == relay.PhaseCanary || t.p.now-t.stageSince < frozenAfterRelease)
}
