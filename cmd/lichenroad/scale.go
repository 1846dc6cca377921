//go:build !slim

package main

import (
	"runtime"

	"github.com/spf13/cobra"

	"lichenroad/lab/scale"
)

// scaleFlags are the flags of `lab scale` that do not set a field of scale.Options directly.
type scaleFlags struct {
	shape   string
	faults  []string
	without []string
	json    string
}

func (t *tool) labScale() *cobra.Command {
	c := &cobra.Command{Use: "scale", Short: "Measure the cost of relays in a large fleet: hollow relays in virtual time", Args: cobra.NoArgs,
		Long: "Measure the cost of relays in a large fleet. Hollow relays are the real decision code with its real messages and list\n" +
			"reader; clients, endpoints, discovery, platform and network are emulated. The same flags give the same figures, except\n" +
			"processor time and memory. Exit code 3 if the checker found a violation. docs/scale-lab.md explains each figure."}
	var options scale.Options
	var flags scaleFlags
	f := c.Flags()
	f.IntVar(&options.Relays, "relays", 43, "number of relays in the fleet")
	f.IntVar(&options.Endpoints, "units", 420, "number of endpoints in the fleet, including those of a build on trial")
	f.IntVar(&options.Services, "services", 21, "number of services in a skewed fleet; a wide fleet has one")
	f.IntVar(&options.Zones, "zones", 16, "number of zones")
	f.IntVar(&options.Regions, "regions", 7, "number of regions, over which the zones are spread")
	f.StringVar(&flags.shape, "shape", string(scale.Skewed), "wide (one service over all) or skewed (few large services and a long tail)")
	f.Float64Var(&options.Seconds, "seconds", 20, "virtual time to simulate, in s")
	f.Int64Var(&options.Seed, "seed", 1, "seed of all random draws")
	f.IntVar(&options.Tenants, "tenants", 0, "number of tenants, spread over the services by size")
	f.IntVar(&options.Routes, "routes", 0, "number of routes, spread over the services by size; each request has one as its key")
	f.Float64Var(&options.Rate, "rate", 77, "mean requests a second at each relay")
	f.StringArrayVar(&flags.faults, "fault", nil, "fault to inject; may be given more than once")
	f.StringArrayVar(&flags.without, "without", nil, "safeguard to switch off; may be given more than once")
	f.IntVar(&options.SampledPerService, "measured", 0, "relays of a service that are simulated in full besides its first 8; 0: as many as the budget of processor time and memory allows")
	f.IntVar(&options.Jobs, "jobs", runtime.GOMAXPROCS(0), "number of threads; it changes no figure except processor time and memory")
	f.StringVar(&flags.json, "json", "", "file to write the figures to")
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
		return withExitFailed(err)
	}
	if err := t.writeJSON(flags.json, result); err != nil {
		return err
	}
	if err := result.WriteTable(t.stdout); err != nil {
		return withExitFailed(err)
	}
	if result.ViolationCount > 0 {
		return ruleBroken("%d violations of rules", result.ViolationCount)
	}
	return nil
}
