package policy

import (
	"math"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// weight of one outcome in an endpoint's failure estimate: two failures make an outlier
	failureStep = 0.25
	// s in which that estimate halves: an outlier gets an attempt every few seconds to earn its way
	failureHalfLife = 4.0
	// failure estimate of an outlier
	outlierThreshold = 0.3
	// part of its last attempts failed, at which the machine is at fault: 3 in a row
	faultyThreshold = 0.5
	// rise of the cost for each usual attempt time that an endpoint holds attempts unanswered
	unansweredCost = 1.0
	// times the cost in another zone, where crossing has a price
	crossZoneCost = 1.6
	// s; divisors are at least this long
	minDuration = 1e-3
)

// evidenceSource says who saw an outcome.
type evidenceSource int

const (
	ownEvidence evidenceSource = iota
	peerEvidence
	evidenceSources
)

// trackedEndpoint is one endpoint as this relay sees it.
type trackedEndpoint struct {
	p  *Policy
	id relay.EndpointID
	relay.Endpoint
	startTime    relay.Seconds
	listed       bool
	removedAt    relay.Seconds // when it was reported as removed
	openAttempts int           // of this relay

	lastAnswerAt relay.Seconds // or when the endpoint stopped being idle
	connected    bool          // its last attempt had a connection

	failure        float64 // failure estimate, as of failureAt
	failureAt      relay.Seconds
	failedFraction float64       // of its last attempts, whatever the time between
	faultyAt       relay.Seconds // when it last failed most of them

	ratio   float64 // latency ratio, as of ratioAt; 0: not known
	ratioAt relay.Seconds

	slowStartBudget   float64 // attempts that the slow start leaves, as of slowStartBudgetAt
	slowStartBudgetAt relay.Seconds
	firstAttemptDraw  float64 // a random number, for the first attempt during the slow start; 1: spent

	evidence [evidenceSources]window.Sliding // outcomes by class
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
		e.failure = e.failureEstimate() + failureStep*(1-e.failureEstimate())
		e.failureAt = e.p.now
	case attemptOutcome:
		e.openAttempts--
		e.attemptEnded(m)
	}
}

// update takes the endpoint's entry in the list. A fresh start, or another build under an old id, is a new
// process: nothing known of the old one holds.
func (e *trackedEndpoint) update(entry relay.Endpoint) {
	restarted := entry.StartKnown && entry.StartedAt != e.StartedAt
	if !e.listed || entry.Build != e.Build || restarted {
		e.resetProcess()
	}
	if entry.State == relay.Removed && e.State != relay.Removed {
		e.removedAt = e.p.now
	}
	e.Endpoint = entry
	e.startTime = math.Inf(-1)
	if entry.StartKnown {
		e.startTime = entry.StartedAt
	}
}

func (e *trackedEndpoint) resetProcess() {
	e.listed = true
	e.failure, e.ratio, e.failedFraction, e.faultyAt = 0, 0, 0, 0
	e.slowStartBudget = e.p.random.Float64()
	e.slowStartBudgetAt = e.p.now
	e.firstAttemptDraw = e.p.random.Float64()
	for source := range e.evidence {
		e.evidence[source].Reset()
	}
}

// withState is what is known of the endpoint, in another state.
func (e *trackedEndpoint) withState(state relay.EndpointState) relay.Endpoint {
	entry := e.Endpoint
	entry.State = state
	return entry
}

// forgettable says that the endpoint was removed long ago and holds nothing.
func (e *trackedEndpoint) forgettable() bool {
	removed := e.listed && e.State == relay.Removed
	return removed && e.openAttempts == 0 && e.p.now-e.removedAt > forgetRemovedAfter
}

func (e *trackedEndpoint) onNewestBuild() bool { return e.Build >= e.p.canary.status.Build }

// attemptEnded learns from the end of an attempt of this relay.
func (e *trackedEndpoint) attemptEnded(ended attemptOutcome) {
	if ended.outcome == relay.Cancelled || ended.outcome == relay.NotSent {
		return
	}
	e.lastAnswerAt = e.p.now
	e.connected = ended.outcome != relay.ConnectFailed
	e.p.router.countConnect(e.connected)
	if ended.outcome == relay.Succeeded {
		ratio := ended.duration / math.Max(ended.work, minDuration)
		e.ratio = e.latencyRatio() + ratioStep*(ratio-e.latencyRatio())
		e.ratioAt = e.p.now
	}
	e.failure = e.failureEstimate() + failureStep*(failureWeight(ended.outcome)-e.failureEstimate())
	e.failureAt = e.p.now
	e.p.router.objectiveUsage.Add(ended.duration/math.Max(ended.objective, minDuration), objectiveUsageStep)
	if ended.attempt.build == e.Build {
		observed := e.observe(ended)
		e.learn(observed, ownEvidence)
		e.p.canary.unreported = append(e.p.canary.unreported, observed)
	}
}

// failureWeight is what an outcome adds to a failure estimate. An endpoint that is full is no outlier for
// that alone.
func failureWeight(outcome relay.Outcome) float64 {
	switch outcome {
	case relay.Succeeded:
		return 0
	case relay.RejectedByEndpoint:
		return outlierThreshold
	}
	return 1
}

// failureEstimate is how likely an attempt at the endpoint fails, by its last outcomes; it decays with
// time.
func (e *trackedEndpoint) failureEstimate() float64 {
	return e.failure * math.Exp2(-(e.p.now-e.failureAt)/failureHalfLife)
}

// observe is how an attempt ended, as the aggregators are told.
func (e *trackedEndpoint) observe(ended attemptOutcome) peerwire.Observation {
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

// learn learns what an attempt shows of the endpoint and its build, whichever relay sent it.
func (e *trackedEndpoint) learn(observed peerwire.Observation, source evidenceSource) {
	if !observed.Outcome.NeverRan() { // what a full table or a failed connect shows is not the machine's doing
		e.updateFailedFraction(observed.Outcome)
	}
	latency := &e.p.latency
	usual := latency.usualRatio(e.MachineType, observed.QueueDepth)
	if observed.Outcome == relay.Succeeded && observed.Ratio > 0 {
		latency.ofType(e.MachineType).Add(observed.Ratio, machineTypeRatioStep)
		latency.learn(e.MachineType, observed.QueueDepth, observed.Ratio)
	}
	knownClass := observed.Class >= 0 && int(observed.Class) < len(e.p.classes)
	if knownClass && !observed.Outcome.NeverRan() && observed.Newest == e.onNewestBuild() {
		e.recordEvidence(observed, source, usual)
	}
}

func (e *trackedEndpoint) updateFailedFraction(outcome relay.Outcome) {
	weight := failureWeight(outcome)
	e.failedFraction += failureStep * (weight - e.failedFraction)
	failedMost := weight == 1 && e.failedFraction >= faultyThreshold
	if failedMost || outcome == relay.ConnectionBroken {
		e.faultyAt = e.p.now
	}
}

// cost is what one more attempt here is expected to cost, for comparison with other endpoints.
func (e *trackedEndpoint) cost() float64 {
	if e.Zone != e.p.settings.Zone && e.p.settings.Costs.CrossZone > 0 {
		return crossZoneCost * e.load()
	}
	return e.load()
}

// load is what one more attempt costs the endpoint. One that holds attempts and answers nothing gets dearer
// by the moment.
func (e *trackedEndpoint) load() float64 {
	load := e.latencyRatio() * float64(e.openAttempts+1)
	if e.openAttempts > 0 {
		load *= 1 + unansweredCost*(e.p.now-e.lastAnswerAt)/math.Max(e.p.router.attemptDuration.Value, minDuration)
	}
	return load
}

// weight is what the endpoint is able to do: its size, by how fast its type of machine is and how far it
// has warmed up.
func (e *trackedEndpoint) weight() float64 {
	weight := e.capacityFraction()
	if e.Weight > 0 {
		weight *= e.Weight
	}
	if ratio := e.p.latency.ofType(e.MachineType); ratio.Samples >= minRatioSamples {
		weight /= ratio.Value
	}
	return weight
}
