package policy

import (
	"math"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// weight of one outcome in the failure estimate: two consecutive failures make an endpoint an outlier
	failureSmoothing = 0.25
	// seconds in which the failure estimate halves: an outlier is tried again every few seconds
	failureHalfLife = 4.0
	// failure estimate from which an endpoint is an outlier
	outlierThreshold = 0.3
	// failed fraction of the last attempts from which the machine counts as faulty: three consecutive
	// failures
	faultyThreshold = 0.5
	// relative growth of the cost for each mean attempt duration in which open attempts stay unanswered
	unansweredCostGrowth = 1.0
	// factor on the cost of an endpoint in another zone, where crossing zones has a price
	crossZoneCostFactor = 1.6
	// seconds; lower bound of durations used as divisors
	minDuration = 1e-3
)

// evidenceSource tells which relays' attempts an outcome comes from.
type evidenceSource int

const (
	ownEvidence evidenceSource = iota
	peerEvidence
	evidenceSourceCount
)

// trackedEndpoint is this relay's knowledge of one endpoint.
type trackedEndpoint struct {
	p  *Policy
	id relay.EndpointID
	relay.Endpoint
	startTime    relay.Seconds
	listed       bool
	incarnation  int           // number of the process under the id, as far as the list shows
	removedAt    relay.Seconds // when it was first listed as removed
	openAttempts int           // attempts of this relay that have not ended

	lastAnswerAt         relay.Seconds // last answer, or first attempt sent after an idle period
	lastAttemptConnected bool          // the last attempt got a connection

	lastFailureEstimate float64 // value at failureEstimatedAt
	failureEstimatedAt  relay.Seconds
	failedFraction      float64       // smoothed over the last attempts; does not decay with time
	faultyAt            relay.Seconds // when failedFraction last marked it faulty, or a connection broke

	lastLatencyRatio float64 // value at latencyRatioAt; 0: not known
	latencyRatioAt   relay.Seconds

	slowStartBudget   float64 // attempts left in the slow start, as of slowStartBudgetAt
	slowStartBudgetAt relay.Seconds
	// random number that decides whether this relay may send a first attempt ahead of the slow-start budget;
	// 1: used up
	firstAttemptDraw float64

	evidence [evidenceSourceCount]window.Sliding // outcomes by request class
}

func (e *trackedEndpoint) receive(m message) {
	switch m := m.(type) {
	case endpointListed:
		e.update(m.entry)
	case attemptSent:
		if e.openAttempts == 0 {
			e.lastAnswerAt = e.p.now
		}
		e.openAttempts++
	case objectiveMissed:
		e.lastFailureEstimate = e.failureEstimate() + failureSmoothing*(1-e.failureEstimate())
		e.failureEstimatedAt = e.p.now
	case attemptOutcome:
		e.openAttempts--
		e.attemptEnded(m)
	}
}

// update applies the endpoint's entry in the list. A new start time, or another build under the same id,
// means a new process, to which nothing learned about the old one applies.
func (e *trackedEndpoint) update(entry relay.Endpoint) {
	restarted := entry.StartKnown && entry.StartedAt != e.StartedAt
	if !e.listed || entry.Build != e.Build || restarted {
		e.resetProcessState()
	}
	if entry.State == relay.Removed && e.State != relay.Removed {
		e.removedAt = e.p.now
	}
	e.Endpoint = entry
	e.p.endpoints.stale = true
	e.startTime = math.Inf(-1)
	if entry.StartKnown {
		e.startTime = entry.StartedAt
	}
}

func (e *trackedEndpoint) resetProcessState() {
	e.listed = true
	e.incarnation++
	e.lastFailureEstimate, e.lastLatencyRatio, e.failedFraction, e.faultyAt = 0, 0, 0, 0
	e.slowStartBudget = e.p.random.Float64()
	e.slowStartBudgetAt = e.p.now
	e.firstAttemptDraw = e.p.random.Float64()
	for source := range e.evidence {
		e.evidence[source].Reset()
	}
}

// withState returns the endpoint's current entry with another state.
func (e *trackedEndpoint) withState(state relay.EndpointState) relay.Endpoint {
	entry := e.Endpoint
	entry.State = state
	return entry
}

// evictable reports whether the endpoint was removed long ago and has no open attempts.
func (e *trackedEndpoint) evictable() bool {
	removed := e.listed && e.State == relay.Removed
	return removed && e.openAttempts == 0 && e.p.now-e.removedAt > removedRetention
}

func (e *trackedEndpoint) onNewestBuild() bool { return e.Build >= e.p.canary.status.Build }

// attemptEnded updates the endpoint's statistics with an ended attempt of this relay.
func (e *trackedEndpoint) attemptEnded(ended attemptOutcome) {
	if ended.outcome == relay.Cancelled || ended.outcome == relay.NotSent {
		return
	}
	e.lastAnswerAt = e.p.now
	e.lastAttemptConnected = ended.outcome != relay.ConnectFailed
	e.p.router.countConnect(e.lastAttemptConnected)
	if ended.outcome == relay.Succeeded {
		ratio := ended.duration / math.Max(ended.work, minDuration)
		e.lastLatencyRatio = e.latencyRatio() + endpointRatioSmoothing*(ratio-e.latencyRatio())
		e.latencyRatioAt = e.p.now
	}
	e.lastFailureEstimate = e.failureEstimate() +
		failureSmoothing*(failureSample(ended.outcome)-e.failureEstimate())
	e.failureEstimatedAt = e.p.now
	e.p.router.objectiveUsage.Add(
		ended.duration/math.Max(ended.objective, minDuration), objectiveUsageSmoothing,
	)
	if ended.attempt.build == e.Build {
		observed := e.newObservation(ended)
		e.recordObservation(observed, ownEvidence)
		e.p.canary.unreported = append(e.p.canary.unreported, observed)
	}
}

// failureSample is the value of an outcome in a failure estimate. Rejections by a full endpoint alone
// don't bring the estimate up to outlierThreshold.
func failureSample(outcome relay.Outcome) float64 {
	switch outcome {
	case relay.Succeeded:
		return 0
	case relay.RejectedByEndpoint:
		return outlierThreshold
	}
	return 1
}

// failureEstimate is the estimated probability that an attempt at the endpoint fails. It follows the last
// outcomes and decays with time.
func (e *trackedEndpoint) failureEstimate() float64 {
	return e.lastFailureEstimate * math.Exp2(-(e.p.now-e.failureEstimatedAt)/failureHalfLife)
}

// newObservation returns the outcome of an attempt in the form that is reported to the aggregators.
func (e *trackedEndpoint) newObservation(ended attemptOutcome) peerwire.Observation {
	observed := peerwire.Observation{
		Endpoint:   peerwire.HashOf(e.id),
		Class:      ended.class,
		Outcome:    ended.outcome,
		Newest:     e.onNewestBuild(),
		Young:      ended.attempt.endpointAge < e.p.maxYoungAge(),
		Late:       ended.duration > ended.objective || ended.outcome == relay.TimedOut,
		QueueDepth: min(ended.attempt.queueDepth, maxQueueDepth-1),
	}
	faulty := ended.outcome == relay.Errored || ended.outcome == relay.ConnectionBroken
	if ended.attempt.queueDepth < maxQueueDepth && !faulty && !ended.outcome.NeverRan() {
		observed.Ratio = ended.duration / math.Max(ended.work, minDuration)
	}
	return observed
}

// recordObservation adds an attempt of any relay to the evidence on the endpoint, its machine type and
// its build.
func (e *trackedEndpoint) recordObservation(observed peerwire.Observation, source evidenceSource) {
	// A full table or a failed connect is not the machine's fault.
	if !observed.Outcome.NeverRan() {
		e.updateFailedFraction(observed.Outcome)
	}
	latency := &e.p.latency
	baseline := latency.baselineRatio(e.MachineType, observed.QueueDepth)
	if observed.Outcome == relay.Succeeded && observed.Ratio > 0 {
		latency.machineTypeMean(e.MachineType).Add(observed.Ratio, machineTypeRatioSmoothing)
		latency.record(e.MachineType, observed.QueueDepth, observed.Ratio)
	}
	knownClass := observed.Class >= 0 && int(observed.Class) < len(e.p.classes)
	if knownClass && !observed.Outcome.NeverRan() && observed.Newest == e.onNewestBuild() {
		e.recordEvidence(observed, source, baseline)
	}
}

func (e *trackedEndpoint) updateFailedFraction(outcome relay.Outcome) {
	weight := failureSample(outcome)
	e.failedFraction += failureSmoothing * (weight - e.failedFraction)
	failedMost := weight == 1 && e.failedFraction >= faultyThreshold
	if failedMost || outcome == relay.ConnectionBroken {
		e.faultyAt = e.p.now
	}
}

// cost is the expected cost of one more attempt at the endpoint, for comparison with other endpoints.
func (e *trackedEndpoint) cost() float64 {
	if e.Zone != e.p.settings.Zone && e.p.settings.Costs.CrossZone > 0 {
		return crossZoneCostFactor * e.load()
	}
	return e.load()
}

// load is the cost of one more attempt, without the price of crossing zones. It grows while the endpoint
// holds attempts without answering any.
func (e *trackedEndpoint) load() float64 {
	load := e.latencyRatio() * float64(e.openAttempts+1)
	if e.openAttempts > 0 {
		load *= 1 + unansweredCostGrowth*(e.p.now-e.lastAnswerAt)/
			math.Max(e.p.router.attemptDuration.Value, minDuration)
	}
	return load
}

// weight is the endpoint's capacity relative to others: its size, the speed of its machine type and its
// progress in the slow start.
func (e *trackedEndpoint) weight() float64 {
	weight := e.capacityFraction()
	if e.Weight > 0 {
		weight *= e.Weight
	}
	if ratio := e.p.latency.machineTypeMean(e.MachineType); ratio.Samples >= minRatioSamples {
		weight /= ratio.Value
	}
	return weight
}
