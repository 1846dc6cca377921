package scale

import (
	"fmt"
	"math"
)

// Hosting every relay of a wide fleet at full size would take some hundred gigabytes of memory and hours of processor time.
// Of each simulated service, the first relays (the aggregators and their possible replacements) and a sample of the others
// are hosted. Of the long tail of small services only some are simulated, each of which represents several. The
// sample depends on the options only, never on the machine.
const (
	alwaysHosted            = 8         // relays of each service: the aggregators, and as many possible replacements
	alwaysSimulatedServices = 16        // the largest services
	budgetSeconds           = 1800.0    // estimated processor time that a run may take
	maxMemoryMB             = 12 * 1024 // memory that a run may take
)

// Parameters of the memory estimate, in MB.
const (
	garbageFactor             = 2.0              // ratio of process memory to live heap with the collector's default settings
	baseMemoryMB              = 150.0            // the program and its synthetic relays
	heapPerInstance           = 0.3              // live heap of one hosted relay
	heapPerEndpoint           = 0.6 / 1024       // live heap for each endpoint on the list
	heapPerContactedEndpoint  = 1.0 / 1024       // additional, for each endpoint to which the relay has sent attempts
	heapPerAggregatedEndpoint = 1.2 / 1024       // additional at an aggregator, for each endpoint in the reports it receives
	heapPerRelay              = 0.4 / 1024       // live heap for each peer
	heapPerTenant             = 32.0 / (1 << 20) // live heap for each tenant
)

// Parameters of the estimate of processor time, in seconds.
const (
	costPerRequest            = 3e-5   // including the request's share of the simulation's own cost
	costPerCandidate          = 8.5e-8 // cost of a request for each candidate endpoint
	costPerAggregatedEndpoint = 9e-6   // cost of an aggregator's periodic work for each endpoint and second
	costPerAggregatedAttempt  = 2e-7   // cost for each attempt in the reports that an aggregator receives
	costPerListedEndpoint     = 1.2e-5 // cost of the first list for each endpoint
)

// sample is the part of the fleet that is simulated and hosted.
type sample struct {
	sampledPerService int // hosted relays of each simulated service in addition to the first alwaysHosted ones
	tailStride        int // one in tailStride of the services beyond the largest is simulated
}

// includes reports whether the service with this index is simulated.
func (s sample) includes(service int) bool {
	return service < alwaysSimulatedServices || (service-alwaysSimulatedServices)%s.tailStride == 0
}

// servicesRepresented returns how many of all services a simulated service represents in the figures.
func (s sample) servicesRepresented(service, services int) float64 {
	if service < alwaysSimulatedServices {
		return 1
	}
	tail := services - alwaysSimulatedServices
	simulated := (tail + s.tailStride - 1) / s.tailStride
	return float64(tail) / float64(simulated)
}

// hostedRelays returns how many relays of a service are hosted, out of the number given.
func (s sample) hostedRelays(relays int) int { return min(relays, alwaysHosted+s.sampledPerService) }

// estimate is the expected resource use of a run.
type estimate struct {
	processorSeconds, memoryMB float64
	instances                  int
}

// fitsBudget reports whether the estimate is within the budget for processor time and memory.
func (e estimate) fitsBudget() bool {
	return e.processorSeconds <= budgetSeconds && e.memoryMB <= maxMemoryMB
}

// estimate returns the expected resource use of a run with the sample.
func (o *Options) estimate(s sample) estimate {
	var total estimate
	liveHeap := 0.0
	for i, size := range o.sizes() {
		if !s.includes(i) {
			continue
		}
		hosted := s.hostedRelays(size.relays)
		total.instances += hosted
		total.processorSeconds += o.estimateProcessor(size, hosted)
		liveHeap += o.estimateHeap(size, hosted)
	}
	total.memoryMB = baseMemoryMB + garbageFactor*liveHeap + float64(o.Endpoints+o.Relays)/1024
	return total
}

// estimateProcessor returns the processor seconds that the hosted relays of a service take.
func (o *Options) estimateProcessor(size serviceSize, hosted int) float64 {
	endpoints, relays := float64(size.endpoints), float64(size.relays)
	aggregators := min(aggregatorCount, hosted)
	perRelay := size.rate * (costPerRequest + costPerCandidate*endpoints)
	perAggregator := costPerAggregatedEndpoint*endpoints + costPerAggregatedAttempt*relays*size.rate
	return o.Seconds*(float64(hosted)*perRelay+float64(aggregators)*perAggregator) +
		float64(hosted)*costPerListedEndpoint*endpoints
}

// estimateHeap returns the live heap of the hosted relays of a service in MB.
func (o *Options) estimateHeap(size serviceSize, hosted int) float64 {
	endpoints, relays := float64(size.endpoints), float64(size.relays)
	aggregators := min(aggregatorCount, hosted)
	contacted := math.Min(endpoints, size.rate*o.Seconds)
	return float64(hosted)*(heapPerInstance+heapPerEndpoint*endpoints+heapPerContactedEndpoint*contacted+heapPerRelay*relays+
		heapPerTenant*float64(size.tenants)) + float64(aggregators)*heapPerAggregatedEndpoint*endpoints
}

// chooseSample returns the first candidate sample within the budget. If none is, it returns the last one, with an error if
// even that needs more memory than a run may take. Options.SampledPerService overrides the choice.
func (o *Options) chooseSample() (sample, error) {
	if o.SampledPerService > 0 {
		s := sample{sampledPerService: o.SampledPerService, tailStride: 1}
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

// candidateSamples returns the samples to choose from in order of preference, the whole fleet first.
func (o *Options) candidateSamples() []sample {
	everyRelay := sample{sampledPerService: o.Relays, tailStride: 1}
	candidates := []sample{everyRelay}
	for _, sampled := range []int{128, 64, 32, 16} {
		for _, stride := range []int{1, 4, 16, 64} {
			candidates = append(candidates, sample{sampled, stride})
		}
	}
	return candidates
}

// checkMemory returns an error if a run with the sample needs more memory than a run may take.
func (o *Options) checkMemory(s sample) error {
	e := o.estimate(s)
	if e.memoryMB <= maxMemoryMB {
		return nil
	}
	return fmt.Errorf("this size needs about %.0f MB for %d hosted relays, and a run may take %d MB", e.memoryMB,
		e.instances, maxMemoryMB)
}
