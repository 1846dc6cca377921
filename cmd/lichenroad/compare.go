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
	c.Flags().Float64Var(&options.Confidence, "confidence", 0.95, "confidence level of the intervals, between 0 and 1")
	c.Flags().Float64Var(&options.Margin, "margin", 0, "difference that does not matter, as a fraction of the first mean")
}

func (t *tool) labCompare() *cobra.Command {
	c := &cobra.Command{Use: "compare A.json B.json", Short: "Compare the runs of two sweeps or replays, paired by seed", Args: cobra.ExactArgs(2)}
	var options experiment.Options
	addComparisonFlags(c, &options)
	c.RunE = func(_ *cobra.Command, args []string) error {
		first, err := readRuns(args[0])
		if err != nil {
			return withExitFailed(err)
		}
		second, err := readRuns(args[1])
		if err != nil {
			return withExitFailed(err)
		}
		return t.printComparison(first, second, options)
	}
	return c
}

// printComparison compares two lists of runs, paired by seed, and prints a table with a row for each metric.
func (t *tool) printComparison(first, second []experiment.Run, options experiment.Options) error {
	comparisons, err := experiment.Compare(first, second, options)
	if err != nil {
		return withExitFailed(err)
	}
	table := t.newTable()
	printf(table, "FIGURE\tSEEDS\tFIRST\tTHIS\tDIFFERENCE\t%g%% INTERVAL\tVERDICT\n", 100*options.Confidence)
	for _, c := range comparisons {
		printf(table, "%s\t%d\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\n", c.Metric, c.Pairs, c.A, c.B, c.Difference, c.Low, c.High, c.Verdict)
	}
	return table.Flush()
}

// readRuns reads the runs in a result file of a sweep or a replay.
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

// parseRuns parses the result of a sweep with one value, or of a replay, which is one run.
func parseRuns(content []byte) ([]experiment.Run, error) {
	var swept sweepResult
	if err := json.Unmarshal(content, &swept); err != nil {
		return nil, err
	}
	if len(swept.Runs) > 0 {
		values, _ := experiment.GroupByValue(swept.Runs)
		if len(values) > 1 {
			sort.Strings(values)
			return nil, fmt.Errorf("the file has runs of %d values (%s): lab sweep compares them itself", len(values), strings.Join(values, ", "))
		}
		return swept.Runs, nil
	}
	var replayed lab.ReplayResult
	if err := json.Unmarshal(content, &replayed); err != nil {
		return nil, err
	}
	if replayed.All.Requests == 0 {
		return nil, errors.New("neither the result of a sweep nor of a replay")
	}
	return []experiment.Run{{Seed: replayed.Seed, Metrics: replayMetrics(replayed)}}, nil
}

// replayMetrics returns the metrics of a replay by which runs are compared.
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
