//go:build !slim

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lichenroad/lab"
	"lichenroad/lab/demo"
	"lichenroad/lab/fakes"
	"lichenroad/lab/logsummary"
)

func (t *tool) labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Demonstration on loopback, emulated planners, sweeps and measurements", RunE: requireSubcommand}
	c.AddCommand(t.labDemo(), t.labPlanner(), t.labSweep(), t.labCompare(), t.labShape(), t.labLedger(), t.labFit(), t.labScale())
	return c
}

const demoTimeout = 55 * time.Second // after which a demonstration fails

func (t *tool) labDemo() *cobra.Command {
	c := &cobra.Command{Use: "demo", Short: "Roll out a good and a bad build under a release plan, with real processes on loopback", Args: cobra.NoArgs}
	dir := c.Flags().String("dir", "found/demo", "directory for configurations, logs, journal and report")
	c.RunE = func(*cobra.Command, []string) error {
		self, err := os.Executable()
		if err != nil {
			return withExitFailed(err)
		}
		if err := os.RemoveAll(*dir + "/desk"); err != nil { // the release controller's state of an earlier demonstration
			return withExitFailed(err)
		}
		ctx, cancel := untilSignal()
		defer cancel()
		r, err := demo.Run(ctx, demo.Options{Executable: self, Dir: *dir, Out: t.stdout, Timeout: demoTimeout})
		if err != nil {
			return withExitFailed(err)
		}
		printf(t.stdout, "%d queries: %d honoured, %d denied, %d failed; %d legs at builds on trial, at most %.2f of any allowance\n",
			r.Requests, r.Succeeded, r.Rejected, r.Failed, r.CanaryAttempts, r.MaxExposureUse)
		printf(t.stdout, "report: %s\n", r.Report)
		if len(r.Violations) > 0 {
			return ruleBroken("%s", strings.Join(r.Violations, "; "))
		}
		return nil
	}
	return c
}

// isLoopback reports whether an address is a loopback IP address with a port.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

func (t *tool) labLedger() *cobra.Command {
	c := &cobra.Command{Use: "ledger DIR", Short: "Summarize the logs of a fleet's relays, one file DIR/*.log each: kinds of lines, relays, busiest second",
		Args: cobra.ExactArgs(1)}
	summary := logsummary.New()
	c.Flags().Float64Var(&summary.From, "from", 0, "time in s; earlier lines are left out")
	c.Flags().Float64Var(&summary.To, "to", 0, "time in s; lines from then on are left out; 0: no limit")
	c.RunE = func(_ *cobra.Command, args []string) error {
		names, err := filepath.Glob(filepath.Join(args[0], "*.log"))
		if err != nil || len(names) == 0 {
			return withExitFailed(fmt.Errorf("%s: no *.log files", args[0]))
		}
		for _, name := range names {
			if err := addLogFile(summary, name); err != nil {
				return withExitFailed(err)
			}
		}
		printf(t.stdout, "%d relays, %d lines that are none of a relay's\n%8s %7s %9s %9s %9s %6s  %s\n", summary.Relays(), summary.Unparsed,
			"lines", "relays", "first s", "last s", "busiest", "in it", "kind")
		for _, r := range summary.Rows() {
			printf(t.stdout, "%8d %7d %9.3f %9.3f %9.0f %6d  %s\n", r.Lines, r.Relays, r.First, r.Last, r.PeakSecond, r.PeakLines, r.Kind)
		}
		return nil
	}
	return c
}

// addLogFile adds the lines of one log file to the summary.
func addLogFile(summary *logsummary.Summary, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // an error does not matter after reading
	return summary.Read(filepath.Base(name), file)
}

const maxShapeArrivals = 1e8 // in a synthetic trace, on average

func (t *tool) labShape() *cobra.Command {
	var names []string
	for _, shape := range lab.Shapes {
		names = append(names, shape.Name+" ("+shape.Layout+")")
	}
	c := &cobra.Command{Use: "shape NAME FILE", Short: "Write a synthetic trace with one of these shapes of load (and layouts): " + strings.Join(names, ", "), Args: cobra.ExactArgs(2)}
	span := c.Flags().Float64("span", 300, "length in s")
	rate := c.Flags().Float64("rate", 100, "mean arrivals a second")
	seed := c.Flags().Int64("seed", 1, "seed of all random draws")
	c.RunE = func(_ *cobra.Command, args []string) error {
		inRange := *span > 0 && *rate > 0 && *span**rate <= maxShapeArrivals
		if !inRange {
			return errors.New("--span and --rate: must be above 0, with at most 100 million arrivals")
		}
		var content bytes.Buffer
		if err := lab.WriteShape(&content, args[0], *span, *rate, *seed); err != nil {
			return err
		}
		return withExitFailed(lab.WriteFile(args[1], content.Bytes()))
	}
	return c
}

func (t *tool) labPlanner() *cobra.Command {
	c := &cobra.Command{Use: "planner", Short: "Run an emulated planner, which prints each request that it receives", Args: cobra.NoArgs}
	var planner fakes.Server
	listen := c.Flags().String("listen", "127.0.0.1:0", "loopback address and port")
	c.Flags().StringVar(&planner.Name, "name", "planner", "name of the planner, which its responses contain")
	c.Flags().IntVar(&planner.Workers, "cores", 4, "requests processed at a time")
	c.Flags().DurationVar(&planner.ServiceTime, "took", 5*time.Millisecond, "processing time of a request")
	c.Flags().Float64Var(&planner.FailureRate, "fails", 0, "fraction of the requests that fail, from 0 to 1")
	c.Flags().DurationVar(&planner.FailAfter, "after", 0, "time after the start from which on requests fail")
	c.Flags().Int64Var(&planner.Seed, "seed", 1, "seed of all random draws")
	c.RunE = func(*cobra.Command, []string) error {
		if !isLoopback(*listen) {
			return fmt.Errorf("--listen: %q is not a loopback address with a port", *listen)
		}
		listener, err := net.Listen("tcp", *listen)
		if err != nil {
			return withExitFailed(err)
		}
		ctx, cancel := untilSignal()
		defer cancel()
		go func() { // returns when the command ends
			<-ctx.Done()
			_ = listener.Close() // makes Serve return
		}()
		planner.QueryLog = t.stdout
		if err := planner.Serve(listener); ctx.Err() == nil {
			return withExitFailed(err)
		}
		return nil
	}
	return c
}
