package policy

import "lichenroad/relay"

// checkRejection holds a rejection to the promise that nothing was done, or that a retry is dropped (rule 2).
func (w *world) checkRejection(request *worldRequest) {
	class := w.set.Classes[request.Class]
	retryHarms := class.Idempotency == relay.AtMostOnce ||
		class.Idempotency == relay.IdempotencyKeyed && class.DedupScope != relay.DedupAll
	for _, attempt := range request.attempts {
		if mayHaveRun := !attempt.done || !attempt.outcome.NeverRan(); mayHaveRun && retryHarms {
			w.t.Fatalf("%v: rejected request %d, which may have run", w.now, request.ID)
		}
	}
}

// checkAnswers wants a final answer for each request whose time is over (rule 1).
func (w *world) checkAnswers() {
	for id := relay.RequestID(0); id < w.next; id++ {
		request := w.requests[id]
		if request == nil || request.finished {
			continue
		}
		if w.now > request.Deadline+w.set.Rules.AnswerSlack {
			w.t.Fatalf("%v: request %d has no final answer, its deadline was %v", w.now, id, request.Deadline)
		}
	}
}

// checkUnsentCancelled wants attempts that have not been written yet cancelled once the newest build's exposure limit has
// fallen to nothing: they are under it too.
func (w *world) checkUnsentCancelled(event relay.Event) {
	status, ok := event.(relay.RolloutStatus)
	if !ok || !status.Valid || status.ExposureLimit != 0 || status.Build != w.status.Build || w.limitSince != w.now {
		return
	}
	for _, request := range w.requests {
		for _, attempt := range request.attempts {
			sentBefore := attempt.endpoint.Build == status.Build && attempt.at < w.now
			if sentBefore && !attempt.done && !attempt.cancelledUnsent {
				w.t.Fatalf("%v: an attempt to build %d may still go after its limit fell", w.now, status.Build)
			}
		}
	}
}

// checkRetry holds an attempt to rule 2, beside an earlier one of its request.
func (w *world) checkRetry(
	request *worldRequest, earlier *worldAttempt, endpoint *worldEndpoint, sendBy relay.Seconds,
) {
	if !earlier.done && !w.set.Limits.HedgedRequests {
		w.t.Fatalf("%v: two attempts of request %d at once", w.now, request.ID)
	}
	class := w.set.Classes[request.Class]
	if earlier.done && earlier.outcome.NeverRan() || class.Idempotency == relay.Idempotent {
		return
	}
	windowEnd := earlier.at + class.DedupWindow
	if class.Idempotency == relay.AtMostOnce || !sharesDedup(class, earlier, endpoint) || w.now > windowEnd {
		w.t.Fatalf("%v: request %d may run twice", w.now, request.ID)
	}
	if sendBy <= 0 || sendBy > windowEnd { // it may wait for a connection until then, and be written later
		w.t.Fatalf("%v: request %d may be written until %v, its window ends at %v", w.now, request.ID, sendBy, windowEnd)
	}
}

func sharesDedup(class relay.ClassSettings, earlier *worldAttempt, endpoint *worldEndpoint) bool {
	switch class.DedupScope {
	case relay.DedupAll:
		return true
	case relay.DedupZone:
		return earlier.endpoint.Zone == endpoint.Zone
	case relay.DedupFailureDomain:
		return earlier.endpoint.FailureDomain == endpoint.FailureDomain
	}
	return false
}

// worldLimit is the exposure limit that binds an attempt at a build on trial.
type worldLimit struct {
	limit float64
	stage relay.Stage
	since relay.Seconds // attempts from before do not count; -1: all do
}

// checkExposure holds an attempt to rule 5.
func (w *world) checkExposure(request *worldRequest, endpoint relay.Endpoint) {
	w.checkStickyKey(request, endpoint)
	limit, onTrial := w.limitOf(endpoint.Build)
	if !onTrial {
		return
	}
	rollout := w.set.Rollout
	idempotent := w.set.Classes[request.Class].Idempotency == relay.Idempotent
	if int(limit.stage) < rollout.IdempotentOnlyStages && !idempotent {
		w.t.Fatalf("%v: an effect at a stage for idempotent requests alone", w.now)
	}
	w.canaryAttempts = append(w.canaryAttempts, worldMark{w.now, endpoint.Build, request.Class})
	windowStart := w.now - rollout.ExposureWindow
	attempts := w.count(w.canaryAttempts, request.Class, func(mark worldMark) bool {
		return mark.at > max(windowStart, limit.since) && mark.build == endpoint.Build
	})
	accepted := w.count(w.accepted, request.Class, func(mark worldMark) bool { return mark.at > windowStart })
	if attempts > rollout.ExposureAllowance+limit.limit*accepted+1e-6 || limit.limit == 0 {
		w.t.Fatalf("%v: %v attempts at build %d on trial, limit %v of %v",
			w.now, attempts, endpoint.Build, limit.limit, accepted)
	}
}

// checkStickyKey keeps a key that the newest build has answered from going back to an earlier one.
func (w *world) checkStickyKey(request *worldRequest, endpoint relay.Endpoint) {
	status := w.status
	if status == nil || !w.set.Rollout.StickyKeys || request.Key == 0 {
		return
	}
	stuck := w.keys[request.Key] == status.Build &&
		(status.Phase == relay.PhaseCanary || status.Phase == relay.PhaseReleased)
	if stuck && endpoint.Build < status.Build {
		w.t.Fatalf("%v: key %d went back to build %d", w.now, request.Key, endpoint.Build)
	}
}

// limitOf is the limit for a build, by the rules' text; false for one that is not on trial.
func (w *world) limitOf(build relay.Build) (limit worldLimit, onTrial bool) {
	status := w.status
	switch {
	case status == nil || build < status.Build || build == status.Build && status.Phase == relay.PhaseReleased:
		return worldLimit{}, false
	case build > status.Build:
		return worldLimit{limit: w.set.Rollout.ExposureLimits[0], since: -1}, true
	}
	limit = worldLimit{limit: status.ExposureLimit, stage: status.Stage, since: -1}
	bindsFrom := w.limitSince + w.set.Rules.DrainGrace
	if w.now <= bindsFrom {
		limit.limit = w.previousLimit
	} else if w.limitSince >= 0 {
		limit.since = bindsFrom
	}
	return limit, true
}

// count counts marks of a class, or of all where exposure is not counted by class.
func (w *world) count(marks []worldMark, class relay.RequestClass, counts func(worldMark) bool) (n float64) {
	for _, mark := range marks {
		if counts(mark) && (!w.set.Rollout.PerClass || mark.class == class) {
			n++
		}
	}
	return n
}
