package scale

import (
	"cmp"
	"math"
	"slices"

	"lichenroad/relay"
)

const (
	machinesPerRack = 40
	zipfExponent    = 1.0 // of the sizes of services in the skewed shape
)

// place is where a machine is.
type place struct {
	zone, region, rack int
}

// placer assigns places to machines, evenly over the zones and rack by rack within each.
type placer struct {
	regions        int
	machinesInZone []int
	next           int // number of the next machine
}

func newPlacer(zones, regions int) *placer {
	return &placer{regions: regions, machinesInZone: make([]int, zones)}
}

// place returns the place of the next machine.
func (p *placer) place() place {
	zone := p.next % len(p.machinesInZone)
	p.next++
	rack := p.machinesInZone[zone] / machinesPerRack
	p.machinesInZone[zone]++
	return place{zone, zone % p.regions, rack}
}

// apportion splits a total into shares by Zipf's law, each at least one, by largest remainders.
func apportion(total, count int) []int {
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

// serviceSize is how much of the fleet one service has.
type serviceSize struct {
	relays, endpoints, tenants, routes int
	rate                               float64 // requests a second at each of its relays
}

// sizes returns the sizes of all services, the largest first.
func (o *Options) sizes() []serviceSize {
	if o.Shape == Wide {
		return []serviceSize{{o.Relays, o.Endpoints, o.Tenants, o.Routes, o.Rate}}
	}
	relays := apportion(o.Relays, o.Services)
	endpoints := apportion(o.Endpoints, o.Services)
	sizes := make([]serviceSize, o.Services)
	for i := range sizes {
		sizes[i] = serviceSize{
			relays:    relays[i],
			endpoints: endpoints[i],
			tenants:   proportion(o.Tenants, endpoints[i], o.Endpoints),
			routes:    proportion(o.Routes, endpoints[i], o.Endpoints),
			// The load is proportional to the endpoints, so that these are equally busy everywhere.
			rate: o.Rate * float64(o.Relays) / float64(relays[i]) * float64(endpoints[i]) / float64(o.Endpoints),
		}
	}
	return sizes
}

// proportion returns the part of a total that corresponds to a part of a whole.
func proportion(total, part, whole int) int {
	return int(math.Round(float64(total) * float64(part) / float64(whole)))
}

// identity is one relay of the fleet, hosted or synthetic.
type identity struct {
	index   int // in the fleet
	service *service
	number  relay.ID // in its service
	place
	alive     bool
	downSince float64
	weight    float64 // relays of its service that it stands for in the figures
}
