package policy

import "lichenroad/relay"

// checkRejection checks that a rejected request never ran, or that a retry by the client has no second effect.
func (w *world) checkRejection(request *worldRequest) {
	class := w.settings.Classes[request.Class]
	retryUnsafe := class.Idempotency == relay.AtMostOnce ||
		class.Idempotency == relay.IdempotencyKeyed && class.DedupScope != relay.DedupAll
	for _, attempt := range request.attempts {
		if mayHaveRun := !attempt.done || !attempt.outcome.NeverRan(); mayHaveRun && retryUnsafe {
			w.t.Fatalf("%v: request %d was rejected, but may have run", w.now, request.ID)
		}
	}
}

// checkAnswers checks that each request gets a final answer within the answer slack after its deadline.
func (w *world) checkAnswers() {
	for id := relay.RequestID(0); id < w.nextID; id++ {
		request := w.requests[id]
		if request == nil || request.finished {
			continue
		}
		if w.now > request.Deadline+w.settings.Rules.AnswerSlack {
			w.t.Fatalf("%v: request %d has no final answer, its deadline was %v", w.now, id, request.Deadline)
		}
	}
}

// checkUnsentCancelled checks that attempts which may not have been written yet are cancelled when the exposure limit
// of the newest build falls to 0, since the limit applies to them too.
func (w *world) checkUnsentCancelled(event relay.Event) {
	status, ok := event.(relay.RolloutStatus)
	if !ok || !status.Valid || status.ExposureLimit != 0 || status.Build != w.status.Build || w.limitLoweredAt != w.now {
		return
	}
	for _, request := range w.requests {
		for _, attempt := range request.attempts {
			sentBefore := attempt.endpoint.Build == status.Build && attempt.at < w.now
			if sentBefore && !attempt.done && !attempt.cancelledUnsent {
				w.t.Fatalf("%v: attempt at build %d was not cancelled when its exposure limit fell to 0", w.now, status.Build)
			}
		}
	}
}

// checkRetry checks that an attempt has no second effect after an earlier one of its request, and that the two are
// open at the same time only where hedged requests are permitted.
func (w *world) checkRetry(
	request *worldRequest, earlier *worldAttempt, endpoint *worldEndpoint, sendBy relay.Seconds,
) {
	if !earlier.done && !w.settings.Limits.HedgedRequests {
		w.t.Fatalf("%v: request %d has two open attempts", w.now, request.ID)
	}
	class := w.settings.Classes[request.Class]
	if earlier.done && earlier.outcome.NeverRan() || class.Idempotency == relay.Idempotent {
		return
	}
	windowEnd := earlier.at + class.DedupWindow
	if class.Idempotency == relay.AtMostOnce || !sharesDedup(class, earlier, endpoint) || w.now > windowEnd {
		w.t.Fatalf("%v: request %d may run twice", w.now, request.ID)
	}
	if sendBy <= 0 || sendBy > windowEnd { // the attempt may be written until sendBy if it waits for a connection
		w.t.Fatalf("%v: a retry of request %d may be written until %v, but its dedup window ends at %v", w.now, request.ID, sendBy, windowEnd)
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

// worldLimit is the exposure limit that applies to a build on trial.
type worldLimit struct {
	limit float64
	stage relay.Stage
	since relay.Seconds // attempts up to this time do not count; -1: all attempts count
}

// checkExposure checks that an attempt is permitted by sticky keys, by the exposure limit of its endpoint's build, and
// by the stages that are restricted to idempotent requests.
func (w *world) checkExposure(request *worldRequest, endpoint relay.Endpoint) {
	w.checkStickyKey(request, endpoint)
	limit, onTrial := w.limitOf(endpoint.Build)
	if !onTrial {
		return
	}
	rollout := w.settings.Rollout
	idempotent := w.settings.Classes[request.Class].Idempotency == relay.Idempotent
	if int(limit.stage) < rollout.IdempotentOnlyStages && !idempotent {
		w.t.Fatalf("%v: request that is not idempotent at a stage for idempotent requests only", w.now)
	}
	w.canaryAttempts = append(w.canaryAttempts, exposureRecord{w.now, endpoint.Build, request.Class})
	windowStart := w.now - rollout.ExposureWindow
	attempts := w.count(w.canaryAttempts, request.Class, func(record exposureRecord) bool {
		return record.at > max(windowStart, limit.since) && record.build == endpoint.Build
	})
	received := w.count(w.received, request.Class, func(record exposureRecord) bool { return record.at > windowStart })
	if attempts > rollout.ExposureAllowance+limit.limit*received+1e-6 || limit.limit == 0 {
		w.t.Fatalf("%v: %v attempts at build %d on trial, the exposure limit is %v of %v requests",
			w.now, attempts, endpoint.Build, limit.limit, received)
	}
}

// checkStickyRevoked checks that attempts which may not have been written yet are cancelled when the newest build has answered
// their key and theirs is an earlier one.
func (w *world) checkStickyRevoked() {
	for _, request := range w.requests {
		for _, attempt := range request.attempts {
			if !attempt.done && !attempt.cancelled && !attempt.cancelledUnsent && w.isSticky(request.Key) && attempt.endpoint.Build < w.status.Build {
				w.t.Fatalf("%v: attempt at build %d was not cancelled when the newest build had answered its key", w.now, attempt.endpoint.Build)
			}
		}
	}
}

// isSticky reports whether the newest build has answered a request with the key, and can still be rolled back.
func (w *world) isSticky(key relay.Key) bool {
	status := w.status
	return status != nil && w.settings.Rollout.StickyKeys && key != 0 && w.keyBuilds[key] == status.Build &&
		(status.Phase == relay.PhaseCanary || status.Phase == relay.PhaseReleased)
}

// checkStickyKey checks that a request with a key that the newest build has answered is not sent to an earlier build.
func (w *world) checkStickyKey(request *worldRequest, endpoint relay.Endpoint) {
	if w.isSticky(request.Key) && endpoint.Build < w.status.Build {
		w.t.Fatalf("%v: key %d was sent to the earlier build %d", w.now, request.Key, endpoint.Build)
	}
}

// limitOf returns the exposure limit of a build by the settings and the last status, and whether the build is on
// trial. A lowered limit applies once the drain grace is over.
func (w *world) limitOf(build relay.Build) (limit worldLimit, onTrial bool) {
	status := w.status
	switch {
	case status == nil || build < status.Build || build == status.Build && status.Phase == relay.PhaseReleased:
		return worldLimit{}, false
	case build > status.Build:
		return worldLimit{limit: w.settings.Rollout.ExposureLimits[0], since: -1}, true
	}
	limit = worldLimit{limit: status.ExposureLimit, stage: status.Stage, since: -1}
	appliesFrom := w.limitLoweredAt + w.settings.Rules.DrainGrace
	if w.now <= appliesFrom {
		limit.limit = w.previousLimit
	} else if w.limitLoweredAt >= 0 {
		limit.since = appliesFrom
	}
	return limit, true
}

// count counts the records that match, of one class if exposure is counted by class, otherwise of all classes.
func (w *world) count(records []exposureRecord, class relay.RequestClass, matches func(exposureRecord) bool) (n float64) {
	for _, record := range records {
		if matches(record) && (!w.settings.Rollout.PerClass || record.class == class) {
			n++
		}
	}
	return n
}
