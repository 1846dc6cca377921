//go:build !slim

package main

import (
	"runtime"

	"github.com/spf13/cobra"

	"lichenroad/lab/scale"
)

// scaleFlags are the flags of `lab scale` that are not fields of scale.Options unchanged.
type scaleFlags struct {
	shape   string
	faults  []string
	without []string
	json    string
}

func (t *tool) labScale() *cobra.Command {
	c := &cobra.Command{Use: "scale", Short: "Measure what relays of a large fleet cost: hollow relays in virtual time", Args: cobra.NoArgs,
		Long: "Measure what relays of a large fleet cost. Hollow relays are the real decision code with its real messages and list\n" +
			"reader; clients, endpoints, discovery, platform and network are emulated. The same call gives the same figures, processor\n" +
			"time and memory aside. Exit code 3 where the checker found a broken rule. docs/scale-lab.md explains each figure."}
	var options scale.Options
	var flags scaleFlags
	f := c.Flags()
	f.IntVar(&options.Relays, "relays", 43, "relays of the fleet")
	f.IntVar(&options.Endpoints, "units", 420, "endpoints of the fleet, those of a release included")
	f.IntVar(&options.Services, "services", 21, "services of a skewed fleet; a wide one has one")
	f.IntVar(&options.Zones, "zones", 16, "zones")
	f.IntVar(&options.Regions, "regions", 7, "regions, over which the zones are spread")
	f.StringVar(&flags.shape, "shape", string(scale.Skewed), "wide: one service over all; skewed: few large services and a long tail")
	f.Float64Var(&options.Seconds, "seconds", 20, "virtual seconds")
	f.Int64Var(&options.Seed, "seed", 1, "of all chance")
	f.IntVar(&options.Tenants, "tenants", 0, "tenants, spread over services by size")
	f.IntVar(&options.Routes, "routes", 0, "routes, spread over services by size; each request has one as its key")
	f.Float64Var(&options.Rate, "rate", 77, "requests a second at each relay, in the mean")
	f.StringArrayVar(&flags.faults, "fault", nil, "what goes wrong; may be given more than once")
	f.StringArrayVar(&flags.without, "without", nil, "a defence to switch off; may be given more than once")
	f.IntVar(&options.SampledPerService, "measured", 0, "relays of a service that are hosted whole besides its first 8; 0: by the budget")
	f.IntVar(&options.Jobs, "jobs", runtime.GOMAXPROCS(0), "threads; they change no figure but processor time and memory")
	f.StringVar(&flags.json, "json", "", "a file for the figures")
	c.RunE = func(*cobra.Command, []string) error { return t.runScale(options, flags) }
	return c
}

func (t *tool) runScale(options scale.Options, flags scaleFlags) error {
	options.Shape = scale.Shape(flags.shape)
	for _, name := range flags.faults {
		options.Faults = append(options.Faults, scale.Fault(name))
	}
	for _, name := range flags.without {
		options.Without = append(options.Without, scale.Safeguard(name))
	}
	if err := options.Validate(); err != nil {
		return err
	}
	options.Progress = t.virtualProgress(options.Seconds, "virtual ms")
	ctx, cancel := untilSignal()
	defer cancel()
	result, err := scale.Run(ctx, options)
	if err != nil {
		return failed(err)
	}
	if err := t.writeJSON(flags.json, result); err != nil {
		return err
	}
	if err := result.WriteTable(t.out); err != nil {
		return failed(err)
	}
	if result.ViolationCount > 0 {
		return ruleBroken("%d times a rule was broken", result.ViolationCount)
	}
	return nil
}
