//go:build !slim

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"lichenroad/experiment"
	"lichenroad/lab"
	"lichenroad/relay"
)

// swept is the file that a sweep leaves and a comparison reads.
type swept struct {
	Trace []string         `json:"trace"`
	Vary  string           `json:"vary"`
	Runs  []experiment.Run `json:"runs"`
}

func (t *tool) labSweep() *cobra.Command {
	c := &cobra.Command{Use: "sweep FILE...", Short: "Replay a trace with one thing changed, on several seeds, and say what it does", Args: cobra.MinimumNArgs(1),
		Long: "Replay a trace with one thing changed, on several seeds. --vary names it and its values: relays=4,8, planners=8,10,12,\nmodule=" + strings.Join(lab.Baselines(), ",") +
			". Or a fault: fault=" + strings.Join(lab.Troubles(), ",") +
			",\nor a setting: legs=1,2,3, cancel=true,false, retry-after=true,false. Each value is held against the first, by the same\nseeds; with one value the file alone is left, for lab compare, such as of another version of the program."}
	var x traced
	x.flags(c)
	c.MarkFlagRequired("mapping")
	all := c.Flags().String("fault", "none", "what goes wrong with planners in all runs: "+strings.Join(lab.Troubles(), ", "))
	chart := c.Flags().String("report", "", "a directory for the chart, an HTML page")
	vary := c.Flags().String("vary", "", "what is changed, and its values: NAME=A,B,...")
	c.MarkFlagRequired("vary")
	seeds := c.Flags().Int("seeds", 5, "seeds, from 1 on; up to 200")
	relays := c.Flags().Int("relays", 4, "relays, where they are not varied")
	units := c.Flags().Int("planners", 10, "planners, where they are not varied")
	file := c.Flags().String("json", "", "a file for all runs")
	confidence := c.Flags().Float64("confidence", 0.95, "of the intervals")
	margin := c.Flags().Float64("margin", 0, "a difference that matters to nobody, as a part")
	c.RunE = func(_ *cobra.Command, args []string) error {
		name, list, ok := strings.Cut(*vary, "=")
		values := strings.Split(list, ",")
		if !ok || list == "" || *seeds < 1 || *seeds > 200 {
			return fmt.Errorf("--vary NAME=A,B,..., --seeds from 1 to 200")
		}
		trouble, err := lab.TroubleOf(*all)
		if err != nil {
			return err
		}
		var arrivals []lab.Arrival // a trace that is swept is held whole: its queries, not its rows
		_, err = x.play(context.Background(), t, args, 1, func(a lab.Arrival) error {
			if len(arrivals) >= mostSwept {
				return fmt.Errorf("over %d queries: thin or cut the trace", mostSwept)
			}
			arrivals = append(arrivals, a)
			return nil
		})
		if err != nil {
			return err
		}
		var todo []lab.ReplayOptions
		var at []experiment.Run
		for _, v := range values {
			o := lab.ReplayOptions{Trouble: trouble, Relays: *relays, Units: *units, Categories: x.m.Classes, Customers: x.m.Tenants}
			switch name {
			case "relays", "planners":
				n, err := strconv.Atoi(v)
				if err != nil {
					return fmt.Errorf("--vary: %q is no number", v)
				}
				if name == "relays" {
					o.Relays = n
				} else {
					o.Units = n
				}
			case "module":
				if o.Module, err = lab.Baseline(v); err != nil {
					return err
				}
			case "fault":
				if o.Trouble, err = lab.TroubleOf(v); err != nil {
					return err
				}
			case "legs", "cancel", "retry-after":
				if o.Change, err = setting(name, v); err != nil {
					return fmt.Errorf("--vary: %w", err)
				}
			default:
				return fmt.Errorf("--vary: %q is none of relays, planners, module, fault, legs, cancel, retry-after", name)
			}
			for s := range *seeds {
				o.Seed = int64(s + 1)
				todo, at = append(todo, o), append(at, experiment.Run{Value: v, Seed: o.Seed})
			}
		}
		if err := sweep(arrivals, todo, at); err != nil {
			return failed(err)
		}
		if err := t.writeJSON(*file, swept{args, name, at}); err != nil {
			return err
		}
		order, by := experiment.GroupByValue(at)
		if *chart != "" {
			page, err := sweepPage(*chart, name, order, by, *confidence)
			if err != nil {
				return failed(err)
			}
			fmt.Fprintln(t.out, "report:", page)
		}
		for _, v := range order[1:] {
			fmt.Fprintf(t.out, "\n%s=%s against %s=%s (simulated)\n", name, v, name, order[0])
			if err := t.compare(by[order[0]], by[v], experiment.Options{Confidence: *confidence, Margin: *margin}); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

// sweepPage writes the charts of a sweep: each figure's mean and interval, by value.
func sweepPage(dir, name string, order []string, by map[string][]experiment.Run, confidence float64) (string, error) {
	figures, of := []string{"service", "worst_10s", "denied_part", "written_off_part", "legs_a_query", "p99_s"}, map[string][]lab.Bar{}
	for _, f := range figures {
		for _, v := range order {
			estimate := experiment.Mean(by[v], f, confidence)
			of[f] = append(of[f], lab.Bar{Name: v, Mean: estimate.Mean, Low: estimate.Low, Top: estimate.High})
		}
	}
	return lab.SweepPage(dir, "What "+name+" does", figures, of)
}

// setting gives the change of a setting that relays are told.
func setting(name, v string) (func(*relay.Settings), error) {
	if name == "legs" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > 10 {
			return nil, fmt.Errorf("legs: %q is none from 1 to 10", v)
		}
		return func(s *relay.Settings) { s.Limits.MaxAttempts = n }, nil
	}
	on, err := strconv.ParseBool(v)
	if err != nil {
		return nil, fmt.Errorf("%s: %q is neither true nor false", name, v)
	}
	return func(s *relay.Settings) {
		if name == "cancel" {
			s.Limits.CancelAttempts = on
		} else {
			s.Limits.RetryAfter = on
		}
	}, nil
}

// mostSwept bounds the queries of a sweep: 64 bytes each.
const mostSwept = 4 << 20

// sweep plays all runs, as many at a time as there are cores. Each is a world of its own.
func sweep(arrivals []lab.Arrival, todo []lab.ReplayOptions, at []experiment.Run) error {
	errs := make([]error, len(todo))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i := range todo {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wait.Done() }()
			r, err := lab.NewReplay(todo[i])
			if err != nil {
				errs[i] = err
				return
			}
			for _, a := range arrivals {
				r.Play(a)
			}
			at[i].Metrics = figures(r.End())
		}()
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func figures(r lab.Replayed) map[string]float64 {
	n := float64(max(r.All.Queries, 1))
	return map[string]float64{"service": r.All.Service, "worst_10s": r.Worst10, "tail": r.Tail, "figure": r.Figure, "denied_part": float64(r.Denied) / n, "written_off_part": float64(r.WrittenOff) / n,
		"legs_a_query": r.LegsEach, "p50_s": r.Latency["p50"], "p99_s": r.Latency["p99"], "broken": float64(len(r.Broken))}
}

func (t *tool) compare(a, b []experiment.Run, o experiment.Options) error {
	list, err := experiment.Compare(a, b, o)
	if err != nil {
		return failed(err)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "FIGURE\tSEEDS\tFIRST\tTHIS\tDIFFERENCE\t%g%% INTERVAL\tVERDICT\n", 100*o.Confidence)
	for _, c := range list {
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\n", c.Metric, c.Pairs, c.A, c.B, c.Difference, c.Low, c.High, c.Verdict)
	}
	return w.Flush()
}

func (t *tool) labCompare() *cobra.Command {
	c := &cobra.Command{Use: "compare A.json B.json", Short: "Hold the runs of two sweeps or replays against each other, by seed", Args: cobra.ExactArgs(2)}
	confidence := c.Flags().Float64("confidence", 0.95, "of the intervals")
	margin := c.Flags().Float64("margin", 0, "a difference that matters to nobody, as a part")
	c.RunE = func(_ *cobra.Command, args []string) error {
		var both [2][]experiment.Run
		for i, name := range args {
			raw, err := os.ReadFile(name)
			if err != nil {
				return failed(err)
			}
			if both[i], err = runsOf(raw); err != nil {
				return failed(fmt.Errorf("%s: %w", name, err))
			}
		}
		return t.compare(both[0], both[1], experiment.Options{Confidence: *confidence, Margin: *margin})
	}
	return c
}

// runsOf reads the runs of a sweep with one value, or the one run of a replay.
func runsOf(raw []byte) ([]experiment.Run, error) {
	var s swept
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, err
	}
	if len(s.Runs) > 0 {
		values, _ := experiment.GroupByValue(s.Runs)
		if len(values) > 1 {
			sort.Strings(values)
			return nil, fmt.Errorf("it has %d values (%s): compare them by the sweep itself", len(values), strings.Join(values, ", "))
		}
		return s.Runs, nil
	}
	var r lab.Replayed
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, err
	}
	if r.All.Queries == 0 {
		return nil, fmt.Errorf("no sweep and no replay")
	}
	return []experiment.Run{{Seed: r.Seed, Metrics: figures(r)}}, nil
}
