//go:build !slim

package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"lichenroad/lab/scale"
)

func (t *tool) labScale() *cobra.Command {
	c := &cobra.Command{Use: "scale", Short: "Measure what relays of a large fleet cost: hollow relays in virtual time", Args: cobra.NoArgs,
		Long: "Measure what relays of a large fleet cost. Hollow relays are the real decision code with its real messages and list\n" +
			"reader; clients, units, discovery, platform and network are stand-ins. The same call gives the same figures, processor\n" +
			"time and memory aside. Exit code 3 where the checker found a broken rule. docs/scale-lab.md explains each figure."}
	var o scale.Options
	f := c.Flags()
	f.IntVar(&o.Relays, "relays", 43, "relays of the fleet")
	f.IntVar(&o.Endpoints, "units", 420, "units of the fleet, those of a release included")
	f.IntVar(&o.Services, "services", 21, "services of a skewed fleet; a wide one has one")
	f.IntVar(&o.Zones, "zones", 16, "zones")
	f.IntVar(&o.Regions, "regions", 7, "regions, over which the zones are spread")
	shape := f.String("shape", string(scale.Skewed), "wide: one service over all; skewed: few large services and a long tail")
	f.Float64Var(&o.Seconds, "seconds", 20, "virtual seconds")
	f.Int64Var(&o.Seed, "seed", 1, "of all chance")
	f.IntVar(&o.Tenants, "tenants", 0, "tenants, spread over services by size")
	f.IntVar(&o.Routes, "routes", 0, "routes, spread over services by size; each request has one as its key")
	f.Float64Var(&o.Rate, "rate", 77, "requests a second at each relay, in the mean")
	faults := f.StringArray("fault", nil, "what goes wrong; may stand more than once")
	without := f.StringArray("without", nil, "a defence to switch off; may stand more than once")
	f.IntVar(&o.Measured, "measured", 0, "relays of a service that are hosted whole besides its first 8; 0: by the budget")
	f.IntVar(&o.Jobs, "jobs", runtime.GOMAXPROCS(0), "threads; they change no figure but processor time and memory")
	file := f.String("json", "", "a file for the figures")
	c.RunE = func(*cobra.Command, []string) error {
		o.Shape = scale.Shape(*shape)
		for _, name := range *faults {
			o.Faults = append(o.Faults, scale.Fault(name))
		}
		for _, name := range *without {
			o.Without = append(o.Without, scale.Safeguard(name))
		}
		if err := o.Validate(); err != nil {
			return err
		}
		if bar := t.progress(int64(o.Seconds*1000), "virtual ms"); bar != nil {
			o.Progress = func(second float64) { bar.Set64(int64(second * 1000)) }
		}
		ctx, cancel := untilSignal()
		defer cancel()
		r, err := scale.Run(ctx, o)
		if err != nil {
			return failed(err)
		}
		if err := t.writeJSON(*file, r); err != nil {
			return err
		}
		if err := r.WriteTable(t.out); err != nil {
			return failed(err)
		}
		if r.ViolationCount > 0 {
			return fault{exitBroke, fmt.Errorf("%d times a rule was broken", r.ViolationCount)}
		}
		return nil
	}
	return c
}
