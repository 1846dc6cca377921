package scale

import (
	"cmp"
	"math"
	"slices"

	"lichenroad/relay"
)

const (
	machinesPerRack = 40
	zipfExponent    = 1.0 // exponent of Zipf's law for the sizes of services in the Skewed shape
)

// place is the location of a machine.
type place struct {
	zone, region, rack int
}

// placer assigns places to machines. It spreads them evenly over the zones and fills one rack after another in each zone.
type placer struct {
	regions        int
	machinesInZone []int
	next           int // number of machines placed so far
}

func newPlacer(zones, regions int) *placer {
	return &placer{regions: regions, machinesInZone: make([]int, zones)}
}

// nextPlace returns the place of the next machine.
func (p *placer) nextPlace() place {
	zone := p.next % len(p.machinesInZone)
	p.next++
	rack := p.machinesInZone[zone] / machinesPerRack
	p.machinesInZone[zone]++
	return place{zone, zone % p.regions, rack}
}

// splitByZipf splits a total into count shares by Zipf's law, each at least one. It uses the largest remainder method.
func splitByZipf(total, count int) []int {
	weights := make([]float64, count)
	weightSum := 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), zipfExponent)
		weightSum += weights[i]
	}
	shares := make([]int, count)
	remainders := make([]float64, count)
	byRemainder := make([]int, count)
	rest := total - count
	for i := range shares {
		exact := weights[i] / weightSum * float64(total-count)
		shares[i] = 1 + int(exact)
		remainders[i] = exact - math.Floor(exact)
		rest -= int(exact)
		byRemainder[i] = i
	}
	slices.SortStableFunc(byRemainder, func(a, b int) int {
		return cmp.Compare(remainders[b], remainders[a])
	})
	for _, i := range byRemainder[:rest] {
		shares[i]++
	}
	return shares
}

// serviceSize is the size of one service.
type serviceSize struct {
	relays, endpoints, tenants, routes int
	rate                               float64 // mean requests per second at each of its relays
}

// sizes returns the sizes of all services in descending order.
func (o *Options) sizes() []serviceSize {
	if o.Shape == Wide {
		return []serviceSize{{o.Relays, o.Endpoints, o.Tenants, o.Routes, o.Rate}}
	}
	relays := splitByZipf(o.Relays, o.Services)
	endpoints := splitByZipf(o.Endpoints, o.Services)
	sizes := make([]serviceSize, o.Services)
	for i := range sizes {
		sizes[i] = serviceSize{
			relays:    relays[i],
			endpoints: endpoints[i],
			tenants:   proportion(o.Tenants, endpoints[i], o.Endpoints),
			routes:    proportion(o.Routes, endpoints[i], o.Endpoints),
			// The load is proportional to the endpoints, so that endpoints have the same utilization in all services.
			rate: o.Rate * float64(o.Relays) / float64(relays[i]) * float64(endpoints[i]) / float64(o.Endpoints),
		}
	}
	return sizes
}

// proportion returns the part of total that corresponds to part of whole, rounded.
func proportion(total, part, whole int) int {
	return int(math.Round(float64(total) * float64(part) / float64(whole)))
}

// fleetRelay is one relay of the fleet, hosted or synthetic.
type fleetRelay struct {
	index   int // index in simulation.relays
	service *service
	number  relay.ID // number within its service
	place
	alive     bool
	downSince float64 // time of the last stop
	weight    float64 // number of relays of its service that it represents in the figures
}
