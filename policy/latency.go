package policy

import (
	"math"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// own attempts at an endpoint that usual ratios are told apart by: more are rare where it runs well
	maxQueueDepth = peerwire.MaxQueueDepth
	// attempts from which a usual ratio is known
	minRatioSamples = 10.0
	// weight of one answer in an endpoint's ratio
	ratioStep = 0.2
	// the same in the fleet's
	fleetRatioStep = 0.02
	// the same in a machine type's over all relays: 500 attempts, as types change slowly
	machineTypeRatioStep = 0.002
	// s in which the ratio of an endpoint without answers goes half way back to the fleet's
	ratioHalfLife = 3.0
)

// latencyRatios are latency ratios, the time of an attempt over its request's expected work, of the fleet
// and its parts.
type latencyRatios struct {
	p      *Policy
	fleet  window.Mean
	byType []window.Mean                // by type of machine, over all relays
	usual  [][maxQueueDepth]window.Mean // by type of machine and queue depth; frozen during a trial
	// logarithm of the ratio over the usual one, at machines of the earlier build just now
	earlier window.Mean

	earlierAt relay.Seconds // last attempt there
}

// ofType is the mean ratio of one type of machine over all relays' attempts.
func (r *latencyRatios) ofType(machineType relay.MachineType) *window.Mean {
	i := min(max(int(machineType), 0), peerwire.MaxMachineTypes-1)
	for i >= len(r.byType) {
		r.byType = append(r.byType, window.Mean{})
	}
	return &r.byType[i]
}

// usualRatio is the ratio that is usual for a type of machine at a queue depth; 0: not known.
func (r *latencyRatios) usualRatio(machineType relay.MachineType, queueDepth int) float64 {
	if machineType < 0 || int(machineType) >= len(r.usual) || queueDepth >= maxQueueDepth {
		return 0
	}
	ratio := &r.usual[machineType][queueDepth]
	if ratio.Samples < minRatioSamples {
		return 0
	}
	return ratio.Value
}

// learn learns from an answer.
func (r *latencyRatios) learn(machineType relay.MachineType, queueDepth int, ratio float64) {
	r.fleet.Add(ratio, fleetRatioStep)
	if r.p.canary.ratiosFrozen() || machineType < 0 || queueDepth >= maxQueueDepth {
		return
	}
	for int(machineType) >= len(r.usual) {
		r.usual = append(r.usual, [maxQueueDepth]window.Mean{})
	}
	r.usual[machineType][queueDepth].Add(ratio, fleetRatioStep)
}

// latencyRatio is the endpoint's ratio by now: without answers it goes back to the fleet's.
func (e *trackedEndpoint) latencyRatio() float64 {
	usual := math.Max(e.p.latency.fleet.Value, minDuration)
	if e.ratio == 0 {
		return usual
	}
	return usual + (e.ratio-usual)*math.Exp2(-(e.p.now-e.ratioAt)/ratioHalfLife)
}
