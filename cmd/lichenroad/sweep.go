//go:build !slim

package main

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"lichenroad/experiment"
	"lichenroad/lab"
	"lichenroad/relay"
)

const (
	maxSweptRequests = 4 << 20 // requests held in memory, 64 bytes each
	maxSeeds         = 200
)

// sweepResult is the result file that `lab sweep` writes and `lab compare` reads.
type sweepResult struct {
	Trace []string         `json:"trace"`
	Vary  string           `json:"vary"`
	Runs  []experiment.Run `json:"runs"`
}

// sweepFlags are the flags of `lab sweep` other than those of its input.
type sweepFlags struct {
	fault      string
	report     string
	vary       string
	seeds      int
	relays     int
	planners   int
	json       string
	comparison experiment.Options
}

func (t *tool) labSweep() *cobra.Command {
	c := &cobra.Command{Use: "sweep FILE...", Short: "Replay a trace with several values of one option, on several seeds, and compare the results", Args: cobra.MinimumNArgs(1),
		Long: "Replay a trace with several values of one option, on several seeds. --vary is the option and its values: relays=4,8,\nplanners=8,10,12, module=" + strings.Join(lab.Baselines(), ",") +
			",\nfault=" + strings.Join(lab.EndpointFaultNames(), ",") +
			",\nlegs=1,2,3 (attempts a request), cancel=true,false or retry-after=true,false. Each value is compared with the first, seed\nby seed. With one value the runs are only written to the file, for lab compare, such as with another version of the\nprogram."}
	var in traceInput
	var flags sweepFlags
	in.addFlags(c)
	flags.add(c)
	markRequired(c.MarkFlagRequired("mapping"))
	markRequired(c.MarkFlagRequired("vary"))
	c.RunE = func(_ *cobra.Command, files []string) error { return t.runSweep(&in, files, &flags) }
	return c
}

func (flags *sweepFlags) add(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&flags.fault, "fault", noFault, "fault of the planners in all runs: "+strings.Join(lab.EndpointFaultNames(), ", "))
	f.StringVar(&flags.report, "report", "", "directory for the charts, an HTML page")
	f.StringVar(&flags.vary, "vary", "", "option to vary, and its values: NAME=A,B,...")
	f.IntVar(&flags.seeds, "seeds", 5, "number of seeds, up to 200; they are 1, 2 and so on")
	f.IntVar(&flags.relays, "relays", 4, "number of relays, unless it is varied")
	f.IntVar(&flags.planners, "planners", 10, "number of planners, unless it is varied")
	f.StringVar(&flags.json, "json", "", "file to write all runs to")
	addComparisonFlags(c, &flags.comparison)
}

// variation is the option that --vary names, and its values.
type variation struct {
	name   string
	values []string
}

func parseVariation(text string) (variation, bool) {
	name, list, ok := strings.Cut(text, "=")
	return variation{name: name, values: strings.Split(list, ",")}, ok && list != ""
}

// runSweep runs all replays of a sweep, and compares the runs of each value with those of the first value.
func (t *tool) runSweep(in *traceInput, files []string, flags *sweepFlags) error {
	varied, ok := parseVariation(flags.vary)
	if !ok || flags.seeds < 1 || flags.seeds > maxSeeds {
		return fmt.Errorf("--vary must be NAME=A,B,..., --seeds from 1 to 200")
	}
	fault, err := lab.EndpointFaultByName(flags.fault)
	if err != nil {
		return err
	}
	arrivals, err := t.readArrivals(in, files)
	if err != nil {
		return err
	}
	base := lab.ReplayOptions{Fault: fault, Relays: flags.relays, Endpoints: flags.planners, Classes: in.mapping.Classes,
		Tenants: in.mapping.Tenants}
	replays, err := varied.replays(base, flags.seeds)
	if err != nil {
		return err
	}
	runs, err := runReplays(arrivals, replays)
	if err != nil {
		return withExitFailed(err)
	}
	if err := t.writeJSON(flags.json, sweepResult{files, varied.name, runs}); err != nil {
		return err
	}
	values, byValue := experiment.GroupByValue(runs)
	if flags.report != "" {
		page, err := writeSweepPage(flags.report, varied.name, values, byValue, flags.comparison.Confidence)
		if err != nil {
			return withExitFailed(err)
		}
		printf(t.stdout, "report: %s\n", page)
	}
	first := values[0]
	for _, value := range values[1:] {
		printf(t.stdout, "\n%s=%s against %s=%s (simulated)\n", varied.name, value, varied.name, first)
		if err := t.printComparison(byValue[first], byValue[value], flags.comparison); err != nil {
			return err
		}
	}
	return nil
}

// readArrivals reads the trace of a sweep. It keeps the arrivals in memory, but not the rows of the trace.
func (t *tool) readArrivals(in *traceInput, files []string) ([]lab.Arrival, error) {
	const samplingSeed = 1 // a fixed seed, so that all runs have the same requests
	var arrivals []lab.Arrival
	_, err := in.emitArrivals(context.Background(), t, files, samplingSeed, func(arrival lab.Arrival) error {
		if len(arrivals) >= maxSweptRequests {
			return fmt.Errorf("the trace has over %d requests: lower the thin attribute of the mapping, or use a shorter trace", maxSweptRequests)
		}
		arrivals = append(arrivals, arrival)
		return nil
	})
	return arrivals, err
}

// sweptReplay describes one replay of a sweep, which has not run yet.
type sweptReplay struct {
	value   string
	options lab.ReplayOptions
}

// replays returns the replays of a sweep: for each value, one for each seed from 1 to seeds.
func (v variation) replays(base lab.ReplayOptions, seeds int) ([]sweptReplay, error) {
	var replays []sweptReplay
	for _, value := range v.values {
		options := base
		if err := setVariedValue(&options, v.name, value); err != nil {
			return nil, err
		}
		for seed := 1; seed <= seeds; seed++ {
			options.Seed = int64(seed)
			replays = append(replays, sweptReplay{value: value, options: options})
		}
	}
	return replays, nil
}

// setVariedValue sets the option that is varied to a value.
func setVariedValue(options *lab.ReplayOptions, name, value string) (err error) {
	switch name {
	case "relays":
		options.Relays, err = parseCount(value)
	case "planners":
		options.Endpoints, err = parseCount(value)
	case "module":
		options.NewModule, err = lab.Baseline(value)
	case "fault":
		options.Fault, err = lab.EndpointFaultByName(value)
	case "legs", "cancel", "retry-after":
		if options.ChangeSettings, err = settingChange(name, value); err != nil {
			err = fmt.Errorf("--vary: %w", err)
		}
	default:
		err = fmt.Errorf("--vary: %q is none of relays, planners, module, fault, legs, cancel, retry-after", name)
	}
	return err
}

func parseCount(value string) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil {
		return 0, fmt.Errorf("--vary: %q is not a whole number", value)
	}
	return n, nil
}

// settingChange returns a function that sets a varied setting of the relays to a value.
func settingChange(name, value string) (func(*relay.Settings), error) {
	if name == "legs" {
		const maxAttempts = 10
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > maxAttempts {
			return nil, fmt.Errorf("legs: %q is not a number from 1 to %d", value, maxAttempts)
		}
		return func(s *relay.Settings) { s.Limits.MaxAttempts = n }, nil
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		return nil, fmt.Errorf("%s: %q is neither true nor false", name, value)
	}
	if name == "cancel" {
		return func(s *relay.Settings) { s.Limits.CancelAttempts = on }, nil
	}
	return func(s *relay.Settings) { s.Limits.RetryAfter = on }, nil
}

// runReplays runs the replays concurrently, at most one for each core at a time. Each is an independent simulation on its
// own goroutine. The error is that of the first replay in the list that failed.
func runReplays(arrivals []lab.Arrival, replays []sweptReplay) ([]experiment.Run, error) {
	runs := make([]experiment.Run, len(replays))
	errs := make([]error, len(replays))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i, r := range replays {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			runs[i], errs[i] = runReplay(arrivals, r)
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return runs, nil
}

func runReplay(arrivals []lab.Arrival, r sweptReplay) (experiment.Run, error) {
	replay, err := lab.NewReplay(r.options)
	if err != nil {
		return experiment.Run{}, err
	}
	for _, arrival := range arrivals {
		replay.Arrive(arrival)
	}
	return experiment.Run{Value: r.value, Seed: r.options.Seed, Metrics: replayMetrics(replay.Finish())}, nil
}

// writeSweepPage writes an HTML page with a chart for each metric of a sweep: its mean and confidence interval, by value.
func writeSweepPage(dir, varied string, values []string, byValue map[string][]experiment.Run, confidence float64) (string, error) {
	charted := []string{"service", "worst_10s", "denied_part", "written_off_part", "legs_a_query", "p99_s"}
	bars := map[string][]lab.Bar{}
	for _, metric := range charted {
		for _, value := range values {
			estimate := experiment.Mean(byValue[value], metric, confidence)
			bars[metric] = append(bars[metric], lab.Bar{Name: value, Mean: estimate.Mean, Low: estimate.Low, High: estimate.High})
		}
	}
	return lab.SweepPage(dir, "What "+varied+" does", charted, bars)
}
