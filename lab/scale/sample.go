package scale

import (
	"fmt"
	"math"
)

// Which relays are hosted. At full size the relays of a wide fleet would need some hundred gigabytes and hours, so the first
// relays of a service are always hosted (the aggregators and those that replace them), of the others a sample, and of the long
// tail of small services some are simulated for all. The sample depends on the options alone, never on the machine.
const (
	alwaysHosted            = 8         // relays of a service: the aggregators, and as many that may replace them
	alwaysSimulatedServices = 16        // largest services
	budgetSeconds           = 1800.0    // processor seconds that a run may take by the estimate
	maxMemoryMB             = 12 * 1024 // that a run may take
)

// The estimate of memory, in MB.
const (
	garbageFactor             = 2.0        // process memory over live heap, with the collector's default settings
	baseMemoryMB              = 150.0      // of the program and its synthetic relays
	heapPerInstance           = 0.3        // live heap of a hosted relay
	heapPerEndpoint           = 0.6 / 1024 // for an endpoint on the list
	heapPerContactedEndpoint  = 1.0 / 1024 // more, for an endpoint that the relay sent attempts to
	heapPerAggregatedEndpoint = 1.2 / 1024 // more at an aggregator, for an endpoint in reports
	heapPerRelay              = 0.4 / 1024 // for a peer
	heapPerTenant             = 32.0 / (1 << 20)
)

// The estimate of processor time, in seconds.
const (
	costPerRequest            = 3e-5   // with its share of the host
	costPerCandidate          = 8.5e-8 // an endpoint, for each request
	costPerAggregatedEndpoint = 9e-6   // an endpoint and second, of an aggregator's periodic work
	costPerAggregatedAttempt  = 2e-7   // for each attempt in reports to an aggregator
	costPerListedEndpoint     = 1.2e-5 // an endpoint, of the first list
)

// sample is how much of the fleet is hosted.
type sample struct {
	ordinary   int // relays of each simulated service besides the first ones
	tailStride int // of the small services, one in so many is simulated
}

// includes reports whether a service is simulated.
func (s sample) includes(service int) bool {
	return service < alwaysSimulatedServices || (service-alwaysSimulatedServices)%s.tailStride == 0
}

// servicesPer returns how many of the services a simulated one stands for.
func (s sample) servicesPer(service, services int) float64 {
	if service < alwaysSimulatedServices {
		return 1
	}
	tail := services - alwaysSimulatedServices
	simulated := (tail + s.tailStride - 1) / s.tailStride
	return float64(tail) / float64(simulated)
}

// hostedOf returns how many of a service's relays are hosted.
func (s sample) hostedOf(relays int) int { return min(relays, alwaysHosted+s.ordinary) }

// estimate is what a sample is expected to take.
type estimate struct {
	processorSeconds, memoryMB float64
	instances                  int
}

// fitsBudget reports whether a run with the estimate is within the budget.
func (e estimate) fitsBudget() bool {
	return e.processorSeconds <= budgetSeconds && e.memoryMB <= maxMemoryMB
}

// estimate returns what a run with a sample is expected to take.
func (o *Options) estimate(s sample) estimate {
	var total estimate
	liveHeap := 0.0
	for i, size := range o.sizes() {
		if !s.includes(i) {
			continue
		}
		hosted := s.hostedOf(size.relays)
		total.instances += hosted
		total.processorSeconds += o.estimateProcessor(size, hosted)
		liveHeap += o.estimateHeap(size, hosted)
	}
	total.memoryMB = baseMemoryMB + garbageFactor*liveHeap + float64(o.Endpoints+o.Relays)/1024
	return total
}

// estimateProcessor returns the processor seconds of a service.
func (o *Options) estimateProcessor(size serviceSize, hosted int) float64 {
	endpoints, relays := float64(size.endpoints), float64(size.relays)
	aggregators := min(aggregatorCount, hosted)
	perRelay := size.rate * (costPerRequest + costPerCandidate*endpoints)
	perAggregator := costPerAggregatedEndpoint*endpoints + costPerAggregatedAttempt*relays*size.rate
	return o.Seconds*(float64(hosted)*perRelay+float64(aggregators)*perAggregator) +
		float64(hosted)*costPerListedEndpoint*endpoints
}

// estimateHeap returns the live heap of a service in MB.
func (o *Options) estimateHeap(size serviceSize, hosted int) float64 {
	endpoints, relays := float64(size.endpoints), float64(size.relays)
	aggregators := min(aggregatorCount, hosted)
	contacted := math.Min(endpoints, size.rate*o.Seconds)
	return float64(hosted)*(heapPerInstance+heapPerEndpoint*endpoints+heapPerContactedEndpoint*contacted+heapPerRelay*relays+
		heapPerTenant*float64(size.tenants)) + float64(aggregators)*heapPerAggregatedEndpoint*endpoints
}

// chooseSample returns the largest sample within the budget, or an error if there is none that fits the memory.
func (o *Options) chooseSample() (sample, error) {
	if o.SampledPerService > 0 {
		s := sample{ordinary: o.SampledPerService, tailStride: 1}
		return s, o.checkMemory(s)
	}
	candidates := o.candidateSamples()
	for _, s := range candidates {
		if o.estimate(s).fitsBudget() {
			return s, nil
		}
	}
	smallest := candidates[len(candidates)-1]
	return smallest, o.checkMemory(smallest)
}

// candidateSamples returns the samples to choose from, the largest first.
func (o *Options) candidateSamples() []sample {
	everyRelay := sample{ordinary: o.Relays, tailStride: 1}
	candidates := []sample{everyRelay}
	for _, ordinary := range []int{128, 64, 32, 16} {
		for _, stride := range []int{1, 4, 16, 64} {
			candidates = append(candidates, sample{ordinary, stride})
		}
	}
	return candidates
}

// checkMemory returns an error for a sample that needs more memory than a run may take.
func (o *Options) checkMemory(s sample) error {
	e := o.estimate(s)
	if e.memoryMB <= maxMemoryMB {
		return nil
	}
	return fmt.Errorf("this size needs about %.0f MB for %d hosted relays, and a run may take %d MB", e.memoryMB,
		e.instances, maxMemoryMB)
}
