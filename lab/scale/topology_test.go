package scale

import (
	"math"
	"slices"
	"testing"
)

func TestApportionByZipf(t *testing.T) {
	if got := splitByZipf(20, 4); !slices.Equal(got, []int{9, 5, 3, 3}) {
		// One each, and 16 in proportion to 12/25, 6/25, 4/25 and 3/25: 7.68, 3.84, 2.56 and 1.92.
		t.Errorf("shares of 20: got %v, want [9 5 3 3]", got)
	}
	for _, c := range [][2]int{{4300, 2100}, {42000, 2100}, {21, 21}} {
		got, sum := splitByZipf(c[0], c[1]), 0
		for _, n := range got {
			sum += n
		}
		if sum != c[0] || slices.Min(got) < 1 || !slices.IsSortedFunc(got, func(a, b int) int { return b - a }) {
			t.Errorf("total and count %v: shares add up to %d and start with %v", c, sum, got[:5])
		}
	}
}

func TestPlacesFillZonesEvenly(t *testing.T) {
	p, zones, racks := newPlacer(4, 2), map[int]int{}, map[place]int{}
	for range 4 * machinesPerRack * 2 {
		at := p.nextPlace()
		if at.region != at.zone%2 {
			t.Fatalf("zone is in the wrong region: %+v", at)
		}
		zones[at.zone]++
		racks[at]++
	}
	for zone, n := range zones {
		if n != 2*machinesPerRack {
			t.Errorf("zone %d has %d machines, want %d", zone, n, 2*machinesPerRack)
		}
	}
	for at, n := range racks {
		if n != machinesPerRack {
			t.Errorf("rack %+v has %d machines, want %d", at, n, machinesPerRack)
		}
	}
}

// TestLoadIsProportionalToEndpoints checks that the load of each endpoint is the same in all services, and that the load of the
// fleet is the requested one.
func TestLoadIsProportionalToEndpoints(t *testing.T) {
	o := smallOptions(Skewed, func(o *Options) { o.Relays, o.Endpoints, o.Services = 100, 700, 30 })
	sum := 0.0
	for _, s := range o.sizes() {
		sum += s.rate * float64(s.relays)
		if perEndpoint := s.rate * float64(s.relays) / float64(s.endpoints); math.Abs(perEndpoint-30*100/700.0) > 1e-9 {
			t.Errorf("service %+v: %g requests per second at each endpoint", s, perEndpoint)
		}
	}
	if math.Abs(sum-30*100) > 1e-6 {
		t.Errorf("%g requests per second in the fleet, want 3000", sum)
	}
}

func TestWideIsOneService(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Tenants, o.Routes = 5, 7 })
	if got := o.sizes(); len(got) != 1 || got[0] != (serviceSize{14, 60, 5, 7, 30}) {
		t.Errorf("services: got %+v, want one with the whole fleet", got)
	}
}
