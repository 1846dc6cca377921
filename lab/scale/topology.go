package scale

import (
	"math"
	"slices"

	"lichenroad/relay"
)

const (
	machinesPerRack = 40
	zipfExponent    = 1.0 // of the sizes of services in the skewed shape
)

// place is where a machine stands.
type place struct {
	zone, region, rack int
}

// placer gives machines their places, evenly over the zones and rack by rack within each.
type placer struct {
	regions int
	inZone  []int
	next    int
}

func newPlacer(zones, regions int) *placer {
	return &placer{regions: regions, inZone: make([]int, zones)}
}

func (p *placer) place() place {
	zone := p.next % len(p.inZone)
	p.next++
	rack := p.inZone[zone] / machinesPerRack
	p.inZone[zone]++
	return place{zone, zone % p.regions, rack}
}

// apportion splits a total over shares by Zipf's law, each at least one, by largest remainders.
func apportion(total, shares int) []int {
	weights, sum := make([]float64, shares), 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), zipfExponent)
		sum += weights[i]
	}
	out, remainders := make([]int, shares), make([]float64, shares)
	order, left := make([]int, shares), total-shares
	for i := range out {
		exact := weights[i] / sum * float64(total-shares)
		out[i] = 1 + int(exact)
		remainders[i] = exact - math.Floor(exact)
		left -= int(exact)
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case remainders[a] > remainders[b]:
			return -1
		case remainders[a] < remainders[b]:
			return 1
		}
		return 0
	})
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}

// serviceSize is how much of the fleet one service has.
type serviceSize struct {
	relays, endpoints, tenants, routes int
	rate                               float64 // requests a second at each of its relays
}

// sizes are those of all services, the largest first.
func (o *Options) sizes() []serviceSize {
	if o.Shape == Wide {
		return []serviceSize{{o.Relays, o.Endpoints, o.Tenants, o.Routes, o.Rate}}
	}
	relays, endpoints := apportion(o.Relays, o.Services), apportion(o.Endpoints, o.Services)
	out := make([]serviceSize, o.Services)
	for i := range out {
		out[i] = serviceSize{relays: relays[i], endpoints: endpoints[i],
			tenants: proportion(o.Tenants, endpoints[i], o.Endpoints), routes: proportion(o.Routes, endpoints[i], o.Endpoints),
			// A service's load is as its units, so that these are equally busy everywhere.
			rate: o.Rate * float64(o.Relays) / float64(relays[i]) * float64(endpoints[i]) / float64(o.Endpoints)}
	}
	return out
}

func proportion(total, part, whole int) int {
	return int(math.Round(float64(total) * float64(part) / float64(whole)))
}

// identity is one relay of the fleet, hosted whole or stood in for.
type identity struct {
	index   int // in the fleet
	service *service
	number  relay.RelayID // in its service
	place
	alive     bool
	downSince float64
	weight    float64 // relays of its kind that it stands for in the figures
}
