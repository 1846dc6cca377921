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
	c := &cobra.Command{Use: "lab", Short: "Stand-ins on loopback, and a demonstration with them", RunE: needsVerb}
	c.AddCommand(t.labDemo(), t.labPlanner(), t.labSweep(), t.labCompare(), t.labShape(), t.labLedger(), t.labFit(), t.labScale())
	return c
}

func (t *tool) labDemo() *cobra.Command {
	c := &cobra.Command{Use: "demo", Short: "Take a good and a bad build through a plan, with real processes on loopback", Args: cobra.NoArgs}
	dir := c.Flags().String("dir", "found/demo", "for configurations, logs, journal and report")
	c.RunE = func(*cobra.Command, []string) error {
		self, err := os.Executable()
		if err != nil {
			return failed(err)
		}
		if err := os.RemoveAll(*dir + "/desk"); err != nil { // of an earlier demonstration
			return failed(err)
		}
		ctx, cancel := untilSignal()
		defer cancel()
		r, err := demo.Run(ctx, demo.Options{Self: self, Dir: *dir, Out: t.out, Limit: 55 * time.Second})
		if err != nil {
			return failed(err)
		}
		fmt.Fprintf(t.out, "%d queries: %d honoured, %d denied, %d failed; %d legs at builds on trial, at most %.2f of any allowance\n",
			r.Queries, r.Honoured, r.Denied, r.Failed, r.TrialLegs, r.MostOfCap)
		fmt.Fprintln(t.out, "report:", r.Report)
		if len(r.Broken) > 0 {
			return fault{exitBroke, errors.New(strings.Join(r.Broken, "; "))}
		}
		return nil
	}
	return c
}

func (t *tool) labLedger() *cobra.Command {
	c := &cobra.Command{Use: "ledger DIR", Short: "Add up what the relays of a fleet logged, a file *.log each: kinds of lines, relays, busiest second",
		Args: cobra.ExactArgs(1)}
	l := logsummary.New()
	c.Flags().Float64Var(&l.From, "from", 0, "s; earlier lines are left out")
	c.Flags().Float64Var(&l.To, "to", 0, "s; lines from then on are left out; 0: none")
	c.RunE = func(_ *cobra.Command, args []string) error {
		files, err := filepath.Glob(filepath.Join(args[0], "*.log"))
		if err != nil || len(files) == 0 {
			return failed(fmt.Errorf("%s: no *.log", args[0]))
		}
		for _, name := range files {
			f, err := os.Open(name)
			if err != nil {
				return failed(err)
			}
			err = l.Read(filepath.Base(name), f)
			f.Close()
			if err != nil {
				return failed(err)
			}
		}
		fmt.Fprintf(t.out, "%d relays, %d lines that are none of a relay's\n%8s %7s %9s %9s %9s %6s  %s\n", l.Relays(), l.Unparsed,
			"lines", "relays", "first s", "last s", "busiest", "in it", "kind")
		for _, r := range l.Rows() {
			fmt.Fprintf(t.out, "%8d %7d %9.3f %9.3f %9.0f %6d  %s\n", r.Lines, r.Relays, r.First, r.Last, r.PeakSecond, r.PeakLines, r.Kind)
		}
		return nil
	}
	return c
}

func (t *tool) labShape() *cobra.Command {
	var names []string
	for _, s := range lab.Shapes {
		names = append(names, s.Name+" ("+s.Layout+")")
	}
	c := &cobra.Command{Use: "shape NAME FILE", Short: "Write a made-up trace of a kind of load: " + strings.Join(names, ", "), Args: cobra.ExactArgs(2)}
	span := c.Flags().Float64("span", 300, "s")
	rate := c.Flags().Float64("rate", 100, "mean arrivals a second")
	seed := c.Flags().Int64("seed", 1, "of all chance")
	c.RunE = func(_ *cobra.Command, args []string) error {
		if !(*span > 0 && *rate > 0 && *span**rate <= 1e8) {
			return fmt.Errorf("--span and --rate: above 0, and 100 million arrivals at most")
		}
		var b bytes.Buffer
		if err := lab.WriteShape(&b, args[0], *span, *rate, *seed); err != nil {
			return err
		}
		return failed(lab.WriteFile(args[1], b.Bytes()))
	}
	return c
}

func (t *tool) labPlanner() *cobra.Command {
	c := &cobra.Command{Use: "planner", Short: "Run a stand-in planner; it prints each query that it takes in", Args: cobra.NoArgs}
	var p fakes.Server
	listen := c.Flags().String("listen", "127.0.0.1:0", "address on loopback")
	c.Flags().StringVar(&p.Name, "name", "planner", "it answers queries with this")
	c.Flags().IntVar(&p.Workers, "cores", 4, "queries at a time")
	c.Flags().DurationVar(&p.ServiceTime, "took", 5*time.Millisecond, "time for a query")
	c.Flags().Float64Var(&p.FailureRate, "fails", 0, "part of the queries that fail, from 0 to 1")
	c.Flags().DurationVar(&p.FailAfter, "after", 0, "time from the start from which they do")
	c.Flags().Int64Var(&p.Seed, "seed", 1, "of all chance")
	c.RunE = func(*cobra.Command, []string) error {
		if host, _, err := net.SplitHostPort(*listen); err != nil || net.ParseIP(host) == nil || !net.ParseIP(host).IsLoopback() {
			return fmt.Errorf("--listen: %q is no loopback address with a port", *listen)
		}
		ln, err := net.Listen("tcp", *listen)
		if err != nil {
			return failed(err)
		}
		ctx, cancel := untilSignal()
		defer cancel()
		go func() { <-ctx.Done(); ln.Close() }()
		p.QueryLog = t.out
		if err := p.Serve(ln); ctx.Err() == nil {
			return failed(err)
		}
		return nil
	}
	return c
}
