package scale

import (
	"fmt"
	"math"
)

// Which relays are hosted whole. At full size the relays of a wide fleet would need some hundred gigabytes and hours, so
// a service has all of its first relays hosted (they fuse, or follow as fusers) and a sample of the others, and of the
// long tail of small services some are played for all. The sample depends on the options alone, never on the machine.
const (
	alwaysHosted              = 8          // relays of a service that are always hosted: the fusers, and as many deputies
	alwaysSimulatedServices   = 16         // largest services that are always played
	budgetSeconds             = 1800.0     // processor seconds that a run may take by the estimate
	maxMemoryMB               = 12 * 1024  // bound of a run's memory
	garbageFactor             = 2.0        // process memory over live heap, with the collector's default pace
	baseMemoryMB              = 150.0      // of the program and its stand-ins
	heapPerInstance           = 0.3        // MB of live heap
	heapPerEndpoint           = 0.6 / 1024 // MB, of a unit on the list
	heapPerContactedEndpoint  = 1.0 / 1024 // MB more, of a unit that the relay sent attempts to
	heapPerAggregatedEndpoint = 1.2 / 1024 // MB more at a fuser, of a unit that others told of
	heapPerRelay              = 0.4 / 1024 // MB, of a peer that is heard
	heapPerTenant             = 32.0 / (1 << 20)
	costPerRequest            = 3e-5   // s, with its share of the host
	costPerCandidate          = 8.5e-8 // s a unit, for each request
	costPerAggregatedEndpoint = 9e-6   // s a unit and second, of a fuser's periodic work
	costPerAggregatedAttempt  = 2e-7   // s for each attempt that a fuser hears of
	costPerListedEndpoint     = 1.2e-5 // s a unit, of the first list
)

// sample is how much of the fleet is hosted whole.
type sample struct {
	ordinary   int // relays of each played service besides the first ones
	tailStride int // of the small services every so many is played
}

// plays says whether a service is played.
func (s sample) includes(service int) bool {
	return service < alwaysSimulatedServices || (service-alwaysSimulatedServices)%s.tailStride == 0
}

// stands is how many services a played one stands for.
func (s sample) servicesPer(service, services int) float64 {
	if service < alwaysSimulatedServices {
		return 1
	}
	tail := services - alwaysSimulatedServices
	played := (tail + s.tailStride - 1) / s.tailStride
	return float64(tail) / float64(played)
}

// hosted says how many relays of a service are hosted whole.
func (s sample) hostedOf(relays int) int { return min(relays, alwaysHosted+s.ordinary) }

// estimate is what a sample is expected to take.
type estimate struct {
	processorSeconds, memoryMB float64
	instances                  int
}

func (o *Options) estimate(s sample) (e estimate) {
	live := 0.0
	for i, size := range o.sizes() {
		if !s.includes(i) {
			continue
		}
		hosted := s.hostedOf(size.relays)
		aggregators := min(aggregatorCount, hosted)
		e.instances += hosted
		endpoints, relays := float64(size.endpoints), float64(size.relays)
		perRelay := size.rate * (costPerRequest + costPerCandidate*endpoints)
		perFuser := costPerAggregatedEndpoint*endpoints + costPerAggregatedAttempt*relays*size.rate
		e.processorSeconds += o.Seconds*(float64(hosted)*perRelay+float64(aggregators)*perFuser) +
			float64(hosted)*costPerListedEndpoint*endpoints
		met := math.Min(endpoints, size.rate*o.Seconds)
		live += float64(hosted)*(heapPerInstance+heapPerEndpoint*endpoints+heapPerContactedEndpoint*met+heapPerRelay*relays+
			heapPerTenant*float64(size.tenants)) + float64(aggregators)*heapPerAggregatedEndpoint*endpoints
	}
	e.memoryMB = baseMemoryMB + garbageFactor*live + float64(o.Endpoints+o.Relays)/1024
	return e
}

// chooseSample takes the largest sample within the budget, or says why there is none.
func (o *Options) chooseSample() (sample, error) {
	if o.Measured > 0 {
		s := sample{ordinary: o.Measured, tailStride: 1}
		return s, o.fits(s)
	}
	everyRelay := sample{ordinary: o.Relays, tailStride: 1}
	candidates := []sample{everyRelay}
	for _, ordinary := range []int{128, 64, 32, 16} {
		for _, stride := range []int{1, 4, 16, 64} {
			candidates = append(candidates, sample{ordinary, stride})
		}
	}
	lowest := candidates[len(candidates)-1]
	for _, s := range candidates {
		e := o.estimate(s)
		if e.processorSeconds <= budgetSeconds && e.memoryMB <= maxMemoryMB {
			return s, nil
		}
	}
	return lowest, o.fits(lowest)
}

// fits refuses a sample that needs more memory than a run may take.
func (o *Options) fits(s sample) error {
	if e := o.estimate(s); e.memoryMB > maxMemoryMB {
		return fmt.Errorf("this size needs about %.0f MB for %d hosted relays, and a run may take %d MB", e.memoryMB,
			e.instances, maxMemoryMB)
	}
	return nil
}
