package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// smallOptions returns options for a fleet that can be simulated within a second.
func smallOptions(shape Shape, change func(o *Options)) Options {
	o := Options{Relays: 14, Endpoints: 60, Services: 3, Zones: 6, Regions: 3, Shape: shape, Seconds: 14, Seed: 3, Rate: 30, Jobs: 2}
	if change != nil {
		change(&o)
	}
	return o
}

// simulate runs a simulation and fails the test on an error.
func simulate(t *testing.T, o Options) *Result {
	t.Helper()
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// deterministicPart returns a result as JSON, without the figures that depend on the machine (processor time, memory and run
// time).
func deterministicPart(t *testing.T, r *Result) string {
	t.Helper()
	c := *r
	c.ProcessPeakMB, c.WallSeconds, c.GCSeconds = 0, 0, 0
	c.Roles = append([]Role(nil), r.Roles...)
	for i := range c.Roles {
		c.Roles[i].CPUShare, c.Roles[i].StartCPUSeconds, c.Roles[i].HeapMB = Distribution{}, Distribution{}, Distribution{}
	}
	b, err := json.Marshal(&c)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestValidationErrors(t *testing.T) {
	for _, c := range []struct {
		change func(o *Options)
		want   string
	}{
		{func(o *Options) {}, ""},
		{func(o *Options) { o.Relays = 0 }, "--relays: 0 is not from 1 to 20000"},
		{func(o *Options) { o.Endpoints = 200_001 }, "--units: 200001 is not from 1 to 200000"},
		{func(o *Options) { o.Services = -1 }, "--services: -1 is not from 1 to 20000"},
		{func(o *Options) { o.Zones = 0 }, "--zones: 0 is not from 1 to 256"},
		{func(o *Options) { o.Regions = 65 }, "--regions: 65 is not from 1 to 64"},
		{func(o *Options) { o.Seconds = math.NaN() }, "--seconds: NaN is not from 1 to 3600"},
		{func(o *Options) { o.Tenants = -1 }, "--tenants: -1 is not from 0 to 1e+06"},
		{func(o *Options) { o.Routes = 2_000_000 }, "--routes: 2e+06 is not from 0 to 1e+06"},
		{func(o *Options) { o.Rate = 0 }, "--rate: 0 is not from 0.1 to 1000"},
		{func(o *Options) { o.Jobs = 0 }, "--jobs: 0 is not from 1 to 256"},
		{func(o *Options) { o.SampledPerService = -1 }, "--measured: -1 is not from 0 to 20000"},
		{func(o *Options) { o.Shape = "round" }, `--shape: "round" is neither wide nor skewed`},
		{func(o *Options) { o.Regions, o.Zones = 7, 6 }, "--regions: 7 of them need as many zones, not 6"},
		{func(o *Options) { o.Services = 15 }, "--services: 15 of them need as many relays and units"},
		{func(o *Options) { o.Faults = []Fault{"flood"} }, `--fault: "flood" is none of relay-kills, `},
		{func(o *Options) { o.Regions, o.Faults = 1, []Fault{RegionSplit} }, "--fault: region-split needs two regions"},
		{func(o *Options) { o.Without = []Safeguard{"moat"} }, `--without: "moat" is none of drain-notices, `},
	} {
		t.Run(c.want, func(t *testing.T) {
			o := smallOptions(Skewed, c.change)
			err := o.Validate()
			switch {
			case c.want == "" && err != nil:
				t.Errorf("options %+v: %v", o, err)
			case c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n")):
				t.Errorf("got error %v, want one line that starts with %q", err, c.want)
			}
		})
	}
}

// TestSameSeedSameFigures simulates all faults at once, with different numbers of threads and different seeds.
func TestSameSeedSameFigures(t *testing.T) {
	for _, shape := range []Shape{Wide, Skewed} {
		o := smallOptions(shape, func(o *Options) { o.Faults = AllFaults })
		first := deterministicPart(t, simulate(t, o))
		o.Jobs = 5
		if again := deterministicPart(t, simulate(t, o)); again != first {
			t.Errorf("%s: figures depend on the number of threads:\n%s\n%s", shape, first, again)
		}
		o.Seed++
		if other := deterministicPart(t, simulate(t, o)); other == first {
			t.Errorf("%s: another seed gave the same figures", shape)
		}
	}
}

// TestRunRejectsSizesThatNeedTooMuchMemory requests more hosted relays than fit into the memory.
func TestRunRejectsSizesThatNeedTooMuchMemory(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Relays, o.Endpoints, o.SampledPerService = 4300, 42000, 4300 })
	_, err := Run(context.Background(), o)
	if err == nil || !strings.Contains(err.Error(), "MB for 4300 hosted relays, and a run may take 12288 MB") {
		t.Errorf("got error %v, want one about the memory for 4300 hosted relays", err)
	}
}

// TestFullSizeHasASample checks that a fleet of the target size has a sample within the budget, in both shapes.
func TestFullSizeHasASample(t *testing.T) {
	for _, shape := range []Shape{Wide, Skewed} {
		for _, seconds := range []float64{20, 120} {
			o := Options{Relays: 4300, Endpoints: 42000, Services: 2100, Zones: 16, Regions: 7, Shape: shape, Seconds: seconds, Rate: 77, Jobs: 8}
			s, err := o.chooseSample()
			if err != nil {
				t.Fatal(err)
			}
			if e := o.estimate(s); e.processorSeconds > budgetSeconds || e.memoryMB > maxMemoryMB || e.instances < aggregatorCount+16 {
				t.Errorf("%s, %g s: sample %+v has the estimate %+v", shape, seconds, s, e)
			}
		}
	}
}

// TestSampleRepresentsTheFleet checks that the weights of hosted relays add up to the size of the fleet.
func TestSampleRepresentsTheFleet(t *testing.T) {
	o := Options{Relays: 430, Endpoints: 900, Services: 100, Zones: 16, Regions: 7, Shape: Skewed, Seconds: 1, Rate: 5, Jobs: 1,
		SampledPerService: 3}
	sim, err := newSimulation(o)
	if err != nil {
		t.Fatal(err)
	}
	represented := 0.0
	for _, h := range sim.hollowRelays {
		if h != nil {
			represented += h.representedRelays()
		}
	}
	if math.Abs(represented-430) > 1e-6 {
		t.Errorf("hosted relays represent %g relays, want 430", represented)
	}
	if len(sim.hollowRelays) != 430 || len(sim.syntheticRelays) == 0 {
		t.Errorf("%d relays, of which %d are synthetic; want 430 and some", len(sim.hollowRelays), len(sim.syntheticRelays))
	}
}

// TestSyntheticRelaysSendWhatHostedRelaysDo compares the traffic that relays receive in a fleet with synthetic relays with that
// in a fleet whose relays are all hosted.
func TestSyntheticRelaysSendWhatHostedRelaysDo(t *testing.T) {
	all := simulate(t, smallOptions(Wide, func(o *Options) { o.Relays, o.Rate, o.SampledPerService = 40, 60, 40 }))
	part := simulate(t, smallOptions(Wide, func(o *Options) { o.Relays, o.Rate, o.SampledPerService = 40, 60, 4 }))
	if all.Hosted != 40 || part.Hosted != 12 {
		t.Fatalf("%d and %d hosted relays, want 40 and 12", all.Hosted, part.Hosted)
	}
	for i, name := range []string{relayRole, aggregatorRole} {
		tolerance := 0.05
		if name == relayRole {
			tolerance = 0.1 // only about four decisions per second, and one more at each change
		}
		a, b := &all.Roles[i], &part.Roles[i]
		if a.Name != name || b.Name != name || a.Instances != b.Instances {
			t.Fatalf("roles differ in name or size: %+v and %+v", a, b)
		}
		for _, c := range []struct {
			figure    string
			a, b      float64
			tolerance float64 // relative
		}{{"messages in", a.MessagesIn.Mean - a.Membership.MessagesIn.Mean, b.MessagesIn.Mean - b.Membership.MessagesIn.Mean, tolerance},
			{"bytes in", a.BytesIn.Mean - a.Membership.BytesIn.Mean, b.BytesIn.Mean - b.Membership.BytesIn.Mean, tolerance},
			{"membership in", a.Membership.BytesIn.Mean, b.Membership.BytesIn.Mean, 0.5}} { // a few per second, at random
			if !(math.Abs(c.a-c.b) <= c.tolerance*c.a) || c.a == 0 {
				t.Errorf("%s, %s: %g if all relays are hosted, %g with synthetic relays", name, c.figure, c.a, c.b)
			}
		}
	}
	if all.ReleaseSummary.BadRolledBack != 1 || part.ReleaseSummary.BadRolledBack != 1 {
		t.Errorf("%d and %d rollbacks of bad builds, want 1 each", all.ReleaseSummary.BadRolledBack, part.ReleaseSummary.BadRolledBack)
	}
}

func TestDistribution(t *testing.T) {
	var observations []observation
	for i := 1; i <= 100; i++ {
		observations = append(observations, observation{float64(i), 1})
	}
	if d := distributionOf(observations); d != (Distribution{50.5, 99, 100}) {
		t.Errorf("values 1 to 100: %+v", d)
	}
	if d := distributionOf([]observation{{10, 1}, {1, 199}}); d != (Distribution{(10 + 199) / 200.0, 1, 10}) {
		t.Errorf("weighted values: %+v", d)
	}
	if d := distributionOf(nil); d != (Distribution{}) {
		t.Errorf("no values: %+v", d)
	}
}

func TestTableNamesEveryFigure(t *testing.T) {
	r := simulate(t, smallOptions(Skewed, func(o *Options) { o.Seconds = 2 }))
	var b bytes.Buffer
	if err := r.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"cpu_share", "heap_mb", "messages_in_per_s", "messages_out_per_s", "bytes_in_per_s", "bytes_out_per_s",
		"list_bytes_in_per_s", "news_bytes_out_per_s", "releases:", "process:", "broken: 0"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the table does not contain %q:\n%s", want, b.String())
		}
	}
}
