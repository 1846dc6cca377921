package scale

import (
	"math"
	"slices"
	"testing"
)

func TestApportionByZipf(t *testing.T) {
	if got := apportion(20, 4); !slices.Equal(got, []int{9, 5, 3, 3}) {
		t.Errorf("%v", got) // 1 each, and 16 by 12/25, 6/25, 4/25, 3/25: 7.68, 3.84, 2.56, 1.92
	}
	for _, c := range [][2]int{{4300, 2100}, {42000, 2100}, {21, 21}} {
		got, sum := apportion(c[0], c[1]), 0
		for _, n := range got {
			sum += n
		}
		if sum != c[0] || slices.Min(got) < 1 || !slices.IsSortedFunc(got, func(a, b int) int { return b - a }) {
			t.Errorf("%v: sum %d, %v", c, sum, got[:5])
		}
	}
}

func TestPlacesFillZonesEvenly(t *testing.T) {
	p, zones, racks := newPlacer(4, 2), map[int]int{}, map[place]int{}
	for range 4 * machinesPerRack * 2 {
		at := p.place()
		if at.region != at.zone%2 {
			t.Fatalf("%+v", at)
		}
		zones[at.zone]++
		racks[at]++
	}
	for z, n := range zones {
		if n != 2*machinesPerRack {
			t.Errorf("zone %d: %d", z, n)
		}
	}
	for at, n := range racks {
		if n != machinesPerRack {
			t.Errorf("%+v: %d", at, n)
		}
	}
}

// TestLoadIsProportionalToEndpoints adds up the load of all relays.
func TestLoadIsProportionalToEndpoints(t *testing.T) {
	o := smallOptions(Skewed, func(o *Options) { o.Relays, o.Endpoints, o.Services = 100, 700, 30 })
	sum := 0.0
	for _, s := range o.sizes() {
		sum += s.rate * float64(s.relays)
		if each := s.rate * float64(s.relays) / float64(s.endpoints); math.Abs(each-30*100/700.0) > 1e-9 {
			t.Errorf("%+v: %g requests a second at each endpoint", s, each)
		}
	}
	if math.Abs(sum-30*100) > 1e-6 {
		t.Errorf("%g requests a second in all", sum)
	}
}

func TestWideIsOneService(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Tenants, o.Routes = 5, 7 })
	if got := o.sizes(); len(got) != 1 || got[0] != (serviceSize{14, 60, 5, 7, 30}) {
		t.Errorf("%+v", got)
	}
}
