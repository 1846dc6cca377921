//go:build !slim

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"lichenroad/experiment"
	"lichenroad/lab"
)

func addComparisonFlags(c *cobra.Command, options *experiment.Options) {
	c.Flags().Float64Var(&options.Confidence, "confidence", 0.95, "of the intervals")
	c.Flags().Float64Var(&options.Margin, "margin", 0, "a difference that matters to nobody, as a part")
}

func (t *tool) labCompare() *cobra.Command {
	c := &cobra.Command{Use: "compare A.json B.json", Short: "Compare the runs of two sweeps or replays, by seed", Args: cobra.ExactArgs(2)}
	var options experiment.Options
	addComparisonFlags(c, &options)
	c.RunE = func(_ *cobra.Command, args []string) error {
		first, err := readRuns(args[0])
		if err != nil {
			return failed(err)
		}
		second, err := readRuns(args[1])
		if err != nil {
			return failed(err)
		}
		return t.printComparison(first, second, options)
	}
	return c
}

// printComparison prints a table of the figures of two lists of runs, by seed.
func (t *tool) printComparison(first, second []experiment.Run, options experiment.Options) error {
	comparisons, err := experiment.Compare(first, second, options)
	if err != nil {
		return failed(err)
	}
	table := t.newTable()
	printf(table, "FIGURE\tSEEDS\tFIRST\tTHIS\tDIFFERENCE\t%g%% INTERVAL\tVERDICT\n", 100*options.Confidence)
	for _, c := range comparisons {
		printf(table, "%s\t%d\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\n", c.Metric, c.Pairs, c.A, c.B, c.Difference, c.Low, c.High, c.Verdict)
	}
	return table.Flush()
}

// readRuns reads the runs of a file that a sweep or a replay left.
func readRuns(name string) ([]experiment.Run, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	runs, err := parseRuns(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return runs, nil
}

// parseRuns parses the runs of a sweep with one value, or the one run of a replay.
func parseRuns(content []byte) ([]experiment.Run, error) {
	var swept sweepResult
	if err := json.Unmarshal(content, &swept); err != nil {
		return nil, err
	}
	if len(swept.Runs) > 0 {
		values, _ := experiment.GroupByValue(swept.Runs)
		if len(values) > 1 {
			sort.Strings(values)
			return nil, fmt.Errorf("it has %d values (%s): compare them by the sweep itself", len(values), strings.Join(values, ", "))
		}
		return swept.Runs, nil
	}
	var replayed lab.ReplayResult
	if err := json.Unmarshal(content, &replayed); err != nil {
		return nil, err
	}
	if replayed.All.Requests == 0 {
		return nil, errors.New("no sweep and no replay")
	}
	return []experiment.Run{{Seed: replayed.Seed, Metrics: replayMetrics(replayed)}}, nil
}

// replayMetrics are the replayMetrics of a replay by which runs are compared.
func replayMetrics(r lab.ReplayResult) map[string]float64 {
	requests := float64(max(r.All.Requests, 1))
	return map[string]float64{
		"service":          r.All.ServedFraction,
		"worst_10s":        r.Worst10,
		"tail":             r.Tail,
		"figure":           r.Score,
		"denied_part":      float64(r.Rejected) / requests,
		"written_off_part": float64(r.Failed) / requests,
		"legs_a_query":     r.AttemptsPerRequest,
		"p50_s":            r.Latency["p50"],
		"p99_s":            r.Latency["p99"],
		"broken":           float64(len(r.Violations)),
	}
}
