package policy

import (
	"math"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// queue depths (own open attempts at an endpoint) that have a baseline ratio each; an endpoint that runs
	// well rarely has deeper queues
	maxQueueDepth = peerwire.MaxQueueDepth
	// attempts from which a mean ratio counts as known
	minRatioSamples = 10.0
	// weight of one answer in an endpoint's ratio
	endpointRatioSmoothing = 0.2
	// weight of one answer in the fleet's mean ratio
	fleetRatioSmoothing = 0.02
	// weight of one answer in a machine type's mean ratio over all relays: about 500 attempts, as machine
	// types change slowly
	machineTypeRatioSmoothing = 0.002
	// seconds in which the ratio of an endpoint without answers moves half way back to the fleet's mean
	ratioHalfLife = 3.0
)

// latencyRatios holds mean latency ratios. A latency ratio is the duration of an attempt divided by the
// expected work of its request.
type latencyRatios struct {
	p        *Policy
	fleet    window.Mean
	byType   []window.Mean                // by machine type, over the attempts of all relays
	baseline [][maxQueueDepth]window.Mean // by machine type and queue depth; frozen during a trial
	// mean logarithm of the ratio over the baseline at machines of the earlier build: the present load
	earlier window.Mean

	earlierAt relay.Seconds // time of the last attempt at a machine of the earlier build
}

// machineTypeMean returns the mean ratio of one machine type over the attempts of all relays.
func (r *latencyRatios) machineTypeMean(machineType relay.MachineType) *window.Mean {
	i := min(max(int(machineType), 0), peerwire.MaxMachineTypes-1)
	for i >= len(r.byType) {
		r.byType = append(r.byType, window.Mean{})
	}
	return &r.byType[i]
}

// baselineRatio returns the baseline ratio of a machine type at a queue depth; 0: not known.
func (r *latencyRatios) baselineRatio(machineType relay.MachineType, queueDepth int) float64 {
	if machineType < 0 || int(machineType) >= len(r.baseline) || queueDepth >= maxQueueDepth {
		return 0
	}
	ratio := &r.baseline[machineType][queueDepth]
	if ratio.Samples < minRatioSamples {
		return 0
	}
	return ratio.Value
}

// record adds the ratio of a successful attempt to the fleet's mean and, unless they are frozen, to the
// baseline ratios.
func (r *latencyRatios) record(machineType relay.MachineType, queueDepth int, ratio float64) {
	r.fleet.Add(ratio, fleetRatioSmoothing)
	if r.p.canary.baselineFrozen() || machineType < 0 || queueDepth >= maxQueueDepth {
		return
	}
	for int(machineType) >= len(r.baseline) {
		r.baseline = append(r.baseline, [maxQueueDepth]window.Mean{})
	}
	r.baseline[machineType][queueDepth].Add(ratio, fleetRatioSmoothing)
}

// latencyRatio is the endpoint's ratio by now. Without new answers it moves back to the fleet's mean.
func (e *trackedEndpoint) latencyRatio() float64 {
	fleetMean := math.Max(e.p.latency.fleet.Value, minDuration)
	if e.lastLatencyRatio == 0 {
		return fleetMean
	}
	return fleetMean + (e.lastLatencyRatio-fleetMean)*math.Exp2(-(e.p.now-e.latencyRatioAt)/ratioHalfLife)
}
