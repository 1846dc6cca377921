package scale

import (
	"fmt"
	"math"
)

// Which relays are hosted whole. At full size the relays of a wide fleet would need some hundred gigabytes and hours, so
// a service has all of its first relays hosted (they fuse, or follow as fusers) and a sample of the others, and of the
// long tail of small services some are played for all. The sample depends on the options alone, never on the machine.
const (
	hostedFirst    = 8          // relays of a service that are always hosted: the fusers, and as many deputies
	headServices   = 16         // largest services that are always played
	budgetSeconds  = 1800.0     // processor seconds that a run may take by the estimate
	mostMemoryMB   = 12 * 1024  // bound of a run's memory
	garbageFactor  = 2.0        // process memory over live heap, with the collector's default pace
	baseMemoryMB   = 150.0      // of the program and its stand-ins
	heapEach       = 0.3        // MB of live heap
	heapPerUnit    = 0.6 / 1024 // MB, of a unit on the list
	heapPerMet     = 1.0 / 1024 // MB more, of a unit that the relay sent attempts to
	heapPerHeard   = 1.2 / 1024 // MB more at a fuser, of a unit that others told of
	heapPerRelay   = 0.4 / 1024 // MB, of a peer that is heard
	heapPerTenant  = 32.0 / (1 << 20)
	costPerRequest = 3e-5   // s, with its share of the host
	costPerPick    = 8.5e-8 // s a unit, for each request
	costPerFused   = 9e-6   // s a unit and second, of a fuser's periodic work
	costPerHeard   = 2e-7   // s for each attempt that a fuser hears of
	costPerListed  = 1.2e-5 // s a unit, of the first list
)

// sample is how much of the fleet is hosted whole.
type sample struct {
	ordinary   int // relays of each played service besides the first ones
	tailStride int // of the small services every so many is played
}

// plays says whether a service is played.
func (s sample) plays(service int) bool {
	return service < headServices || (service-headServices)%s.tailStride == 0
}

// stands is how many services a played one stands for.
func (s sample) stands(service, services int) float64 {
	if service < headServices {
		return 1
	}
	tail := services - headServices
	played := (tail + s.tailStride - 1) / s.tailStride
	return float64(tail) / float64(played)
}

// hosted says how many relays of a service are hosted whole.
func (s sample) hosted(relays int) int { return min(relays, hostedFirst+s.ordinary) }

// estimate is what a sample is expected to take.
type estimate struct {
	processorSeconds, memoryMB float64
	instances                  int
}

func (o *Options) estimate(s sample) (e estimate) {
	live := 0.0
	for i, size := range o.sizes() {
		if !s.plays(i) {
			continue
		}
		hosted := s.hosted(size.relays)
		fusers := min(fuserNumbers, hosted)
		e.instances += hosted
		units, relays := float64(size.units), float64(size.relays)
		perRelay := size.rate * (costPerRequest + costPerPick*units)
		perFuser := costPerFused*units + costPerHeard*relays*size.rate
		e.processorSeconds += o.Seconds*(float64(hosted)*perRelay+float64(fusers)*perFuser) +
			float64(hosted)*costPerListed*units
		met := math.Min(units, size.rate*o.Seconds)
		live += float64(hosted)*(heapEach+heapPerUnit*units+heapPerMet*met+heapPerRelay*relays+
			heapPerTenant*float64(size.tenants)) + float64(fusers)*heapPerHeard*units
	}
	e.memoryMB = baseMemoryMB + garbageFactor*live + float64(o.Units+o.Relays)/1024
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
	least := candidates[len(candidates)-1]
	for _, s := range candidates {
		e := o.estimate(s)
		if e.processorSeconds <= budgetSeconds && e.memoryMB <= mostMemoryMB {
			return s, nil
		}
	}
	return least, o.fits(least)
}

// fits refuses a sample that needs more memory than a run may take.
func (o *Options) fits(s sample) error {
	if e := o.estimate(s); e.memoryMB > mostMemoryMB {
		return fmt.Errorf("this size needs about %.0f MB for %d hosted relays, and a run may take %d MB", e.memoryMB,
			e.instances, mostMemoryMB)
	}
	return nil
}
