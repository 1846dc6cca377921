//go:build !slim

package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"lichenroad/internal/planxml"
	"lichenroad/lab"
)

// Bounds of `plan simulate`.
const (
	maxSimulatedDays     = 60
	maxSimulatedRelays   = 1000 // also the maximum number of planners
	maxSimulatedLoad     = 10   // times the load of an ordinary day
	maxPrintedViolations = 10
)

// simulateFlags are the flags of `plan simulate` that do not set a field of lab.Options directly.
type simulateFlags struct {
	guard   string
	faults  string
	without []string
	byClock bool
	json    string
	report  string
}

func (t *tool) planSimulate() *cobra.Command {
	c := &cobra.Command{Use: "simulate FILE", Short: "Simulate releases under a plan in virtual time, with the real decision modules", Args: cobra.ExactArgs(1),
		Long: "Simulate releases under a plan in virtual time: the real decision modules, guards and release controller with emulated\nplanners, clients and faults. The same flags give the same result. Exit code 3 if a rule or the plan was violated."}
	var options lab.Options
	var flags simulateFlags
	f := c.Flags()
	f.Float64Var(&options.Days, "days", 7, "days to simulate, up to 60")
	f.Int64Var(&options.Seed, "seed", 1, "seed of all random draws")
	f.IntVar(&options.Relays, "relays", 40, "number of relays of all services together, up to 1000")
	f.IntVar(&options.Endpoints, "planners", 30, "number of planners of all services together, up to 1000")
	f.Float64Var(&options.BadBuildFraction, "bad", 0.4, "fraction of the builds that are bad")
	f.Float64Var(&options.LoadFactor, "load", 1, "load as a multiple of an ordinary day's")
	f.StringVar(&flags.guard, "guard", "on", "on, or off (the relays do not follow the plan)")
	f.StringVar(&flags.faults, "faults", "ordinary", "one of "+strings.Join(lab.FaultNames(), ", ")+"; or several, joined with +")
	f.StringSliceVar(&flags.without, "without", nil, "safeguard to switch off, such as guard-freezes or desk-needs; may be given more than once")
	f.BoolVar(&flags.byClock, "by-clock", false, "simulate the baseline, in which builds are promoted by time alone and votes are ignored")
	f.StringVar(&flags.json, "json", "", "file to write the result to")
	f.StringVar(&flags.report, "report", "", "directory for the report, an HTML page")
	c.RunE = func(_ *cobra.Command, args []string) error {
		if err := flags.apply(&options); err != nil {
			return err
		}
		p, err := planxml.Load(args[0])
		if err != nil {
			return withExitFailed(err)
		}
		options.Plan = p
		if flags.byClock {
			options.UseClockBaseline()
		}
		return t.runSimulation(options, flags)
	}
	return c
}

// apply checks the options, and sets those that the flags name: guard, faults and safeguards.
func (flags simulateFlags) apply(options *lab.Options) error {
	if err := checkBounds(options); err != nil {
		return err
	}
	switch flags.guard {
	case "on":
	case "off":
		options.Guard.All = true
	default:
		return fmt.Errorf("--guard: %q is neither on nor off", flags.guard)
	}
	faults, ok := lab.FaultsByName(flags.faults)
	if !ok {
		return fmt.Errorf("--faults: %q is none of %s", flags.faults, strings.Join(lab.FaultNames(), ", "))
	}
	options.Faults = faults
	for _, name := range flags.without {
		if !options.DisableSafeguard(name) {
			return fmt.Errorf("--without: there is no safeguard %q", name)
		}
	}
	return nil
}

func checkBounds(options *lab.Options) error {
	daysOutOfRange := options.Days <= 0 || options.Days > maxSimulatedDays
	relaysOutOfRange := options.Relays < 1 || options.Relays > maxSimulatedRelays
	plannersOutOfRange := options.Endpoints < 1 || options.Endpoints > maxSimulatedRelays
	if daysOutOfRange || relaysOutOfRange || plannersOutOfRange {
		return fmt.Errorf("--days must be above 0 and up to 60, --relays and --planners from 1 to 1000")
	}
	badInRange := options.BadBuildFraction >= 0 && options.BadBuildFraction <= 1
	loadInRange := options.LoadFactor > 0 && options.LoadFactor <= maxSimulatedLoad
	if !badInRange || !loadInRange {
		return fmt.Errorf("--bad must be from 0 to 1, --load above 0 and up to 10")
	}
	return nil
}

// runSimulation runs a simulation and prints its result. After a signal it prints the result up to then, and fails.
func (t *tool) runSimulation(options lab.Options, flags simulateFlags) error {
	options.Progress = t.virtualProgress(options.Days, "days")
	ctx, cancel := untilSignal()
	defer cancel()
	result, err := lab.Run(ctx, options)
	if err != nil && ctx.Err() == nil {
		return withExitFailed(err)
	}
	if err := t.writeJSON(flags.json, result); err != nil {
		return err
	}
	if flags.report != "" {
		name, err := result.Report(options.Plan, flags.report)
		if err != nil {
			return withExitFailed(err)
		}
		printf(t.stdout, "report: %s\n", name)
	}
	t.printSummary(&result)
	if ctx.Err() != nil {
		return withExitFailed(fmt.Errorf("ended by a signal after %.2f days", result.Days))
	}
	if len(result.Violations) > 0 {
		return ruleBroken("%d violations of rules or of the plan", len(result.Violations)+result.UnlistedViolations)
	}
	return nil
}

// releaseCounts counts the good and bad builds of a simulation, and how many of them are released at its end.
type releaseCounts struct {
	good, goodReleased int
	bad, badReleased   int
}

func countReleases(result *lab.Result) releaseCounts {
	var counts releaseCounts
	for _, r := range result.Releases {
		released := 0
		if r.ReleasedAt >= 0 && r.RolledBackAt < 0 {
			released = 1
		}
		if r.Bad {
			counts.bad++
			counts.badReleased += released
		} else {
			counts.good++
			counts.goodReleased += released
		}
	}
	return counts
}

// printSummary prints a summary of the result and its first violations.
func (t *tool) printSummary(r *lab.Result) {
	const secondsPerHour = 3600
	counts := countReleases(r)
	printf(t.stdout, "simulated: %g days, %d relays, %d planners, seed %d: %d queries in %.0f s of traffic\n", r.Days, r.Relays, r.Endpoints, r.Seed, r.Requests, r.TrafficTime)
	printf(t.stdout, "releases: %d good, %d of them out after %.1f h on average; %d bad, %d of them out\n", counts.good, counts.goodReleased,
		r.GoodReleaseTime/secondsPerHour, counts.bad, counts.badReleased)
	printf(t.stdout, "service %.4f; worth lost by bad builds %.1f; at most %.2f of any allowance used\n", r.ServedFraction, r.WeightLostToBadBuilds, r.MaxAllowanceUsed)
	if len(r.Violations) == 0 {
		printf(t.stdout, "broken: nothing\n")
	}
	for i, b := range r.Violations {
		if i == maxPrintedViolations {
			printf(t.stdout, "broken: and %d more\n", len(r.Violations)-i+r.UnlistedViolations)
			break
		}
		printf(t.stdout, "broken: at %.3f s %s by %s: %s\n", b.Time, b.Rule, b.Relay, b.Text)
	}
	printf(t.stdout, "timeline %s\n", r.TimelineHash)
}
