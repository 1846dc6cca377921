//go:build !slim

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lichenroad/lab"
	"lichenroad/trace"
)

func (t *tool) traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Check public cluster traces in CSV, and replay them as load", RunE: needsVerb}
	c.AddCommand(t.traceCheck(), t.traceReplay())
	return c
}

// traced is what both commands read a trace by.
type traced struct {
	layout, mapping string
	window          float64
	from, length    float64
	seed            int64
	m               *trace.Mapping
}

func (x *traced) flags(c *cobra.Command) {
	c.Flags().StringVar(&x.layout, "layout", "", "one of "+strings.Join(trace.Layouts(), ", "))
	c.Flags().StringVar(&x.mapping, "mapping", "", "an XML file that says which task becomes which query")
	c.Flags().Float64Var(&x.window, "window", -1, "s within which rows are put back in order; the mapping's, or 60, where not given")
	c.MarkFlagRequired("layout")
}

// read reads the files, the standard input for -, and hands on each task.
func (x *traced) read(t *tool, files []string, emit func(*trace.Task) error) (*trace.Audit, error) {
	o := trace.Usual(x.layout)
	if x.mapping != "" {
		var err error
		if x.m, err = trace.LoadMapping(x.mapping); err != nil {
			return nil, failed(err)
		}
		o.Window = x.m.Window
	}
	if x.window >= 0 {
		o.Window = x.window
	}
	known := false
	for _, l := range trace.Layouts() {
		known = known || l == x.layout
	}
	if !known {
		return nil, fmt.Errorf("--layout: %q is none of %s", x.layout, strings.Join(trace.Layouts(), ", "))
	}
	var from []io.Reader
	for _, name := range files {
		if name == "-" {
			from = append(from, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, failed(err)
		}
		defer f.Close()
		from = append(from, f)
	}
	a, err := trace.Read(o, emit, from...)
	if err != nil {
		return a, failed(fmt.Errorf("%s: %w", strings.Join(files, ", "), err))
	}
	return a, nil
}

// found is what a check tells.
type found struct {
	Rows       int64                  `json:"rows"`
	Taken      int64                  `json:"taken"`
	Reordered  int64                  `json:"reordered"`
	Reported   map[trace.Reason]int64 `json:"reported"`
	First      map[trace.Reason]int64 `json:"first"`
	Tasks      int64                  `json:"tasks"`
	Span       float64                `json:"span_s"`
	Rate       map[string]float64     `json:"rate"`
	Categories map[string]int64       `json:"categories"`
	Unplaced   map[trace.Reason]int64 `json:"unplaced"` // tasks that the mapping has no place for
}

func (t *tool) traceCheck() *cobra.Command {
	c := &cobra.Command{Use: "check FILE...", Short: "Read a trace and tell of every row that can't be used", Args: cobra.MinimumNArgs(1),
		Long: "Read a trace and tell of every row that can't be used. Plain or gzip; - is the standard input; several files are\nread as one. Exit code 1 where no row could be used."}
	var x traced
	x.flags(c)
	file := c.Flags().String("json", "", "a file for the result")
	c.RunE = func(_ *cobra.Command, args []string) error {
		out := found{Categories: map[string]int64{}, Unplaced: map[trace.Reason]int64{}}
		a, err := x.read(t, args, func(k *trace.Task) error {
			if x.m != nil {
				if q, why := x.m.Place(k); why != trace.Taken {
					out.Unplaced[why]++
				} else {
					out.Categories[x.m.Categories[q.Category]]++
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		out.Rows, out.Taken, out.Reordered, out.Reported, out.First, out.Tasks = a.Rows, a.Taken, a.Reordered, a.Reported, a.First, a.Tasks
		out.Span, out.Rate = a.To-a.From, map[string]float64{"mean": a.Rate(), "peak": a.Peak}
		if err := t.writeJSON(*file, out); err != nil {
			return err
		}
		t.audit(a)
		for why, n := range out.Unplaced {
			fmt.Fprintf(t.out, "  no place: %s: %d tasks\n", why, n)
		}
		if a.Taken == 0 {
			return failed(fmt.Errorf("%s: no row could be used", strings.Join(args, ", ")))
		}
		return nil
	}
	return c
}

func (t *tool) audit(a *trace.Audit) {
	fmt.Fprintf(t.out, "%d rows: %d taken (%d put back in order), %d reported; %d tasks over %.1f s, %.2f a second, %g in the fullest\n", a.Rows,
		a.Taken, a.Reordered, a.Left(), a.Tasks, a.To-a.From, a.Rate(), a.Peak)
	for _, l := range a.Lines() {
		fmt.Fprintln(t.out, " ", l)
	}
}

// writeJSON puts a result in a file, whole or not at all; nothing where no file is named.
func (t *tool) writeJSON(name string, v any) error {
	if name == "" {
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = lab.WriteFile(name, append(b, '\n'))
	}
	return failed(err)
}

func (t *tool) traceReplay() *cobra.Command {
	c := &cobra.Command{Use: "replay FILE...", Short: "Replay a trace in virtual time against emulated planners, with the real decision module", Args: cobra.MinimumNArgs(1)}
	var x traced
	x.flags(c)
	c.MarkFlagRequired("mapping")
	var o lab.ReplayOptions
	c.Flags().Int64Var(&o.Seed, "seed", 1, "of all chance, and of the thinning")
	c.Flags().IntVar(&o.Relays, "relays", 4, "relays, up to 1000")
	c.Flags().IntVar(&o.Units, "planners", 10, "planners, up to 1000")
	c.Flags().Float64Var(&x.from, "from", 0, "s after the first arrival from which tasks are played")
	c.Flags().Float64Var(&x.length, "for", 0, "s that are played; all where not given")
	file := c.Flags().String("json", "", "a file for the result")
	dir := c.Flags().String("report", "", "a directory for the report, an HTML page")
	c.RunE = func(_ *cobra.Command, args []string) error {
		ctx, cancel := untilSignal()
		defer cancel()
		var r *lab.Replay
		unplaced, played, first := map[trace.Reason]int64{}, 0, 0.0
		a, err := x.read(t, args, func(k *trace.Task) error {
			if r == nil {
				o.Categories, o.Customers = x.m.Categories, x.m.Customers
				var err error
				if r, err = lab.NewReplay(o); err != nil {
					return err
				}
				first = k.At
			}
			switch {
			case ctx.Err() != nil:
				return ctx.Err()
			case k.At-first < x.from, x.length > 0 && k.At-first >= x.from+x.length, !x.m.Kept(k, o.Seed):
				return nil
			}
			q, why := x.m.Place(k)
			if why != trace.Taken {
				unplaced[why]++
				return nil
			}
			played++
			r.Play(lab.Arrival{At: q.At, Category: q.Category, Customer: q.Customer, Work: q.Work, Relay: q.Relay, Fails: q.Fails})
			return nil
		})
		if err != nil && ctx.Err() == nil {
			return err
		}
		t.audit(a)
		for why, n := range unplaced {
			fmt.Fprintf(t.out, "  no place: %s: %d tasks\n", why, n)
		}
		if r == nil || played == 0 {
			return failed(fmt.Errorf("%s: nothing could be played", strings.Join(args, ", ")))
		}
		got := r.End()
		if err := t.writeJSON(*file, got); err != nil {
			return err
		}
		if *dir != "" {
			name, err := got.Report(*dir)
			if err != nil {
				return failed(err)
			}
			fmt.Fprintln(t.out, "report:", name)
		}
		fmt.Fprintf(t.out, "simulated: %d queries over %.1f s, %d relays, %d planners: service %.4f, worst 10 s %.4f\n", got.All.Queries, got.Span, got.Relays,
			got.Units, got.All.Service, got.Worst10)
		fmt.Fprintf(t.out, "%d denied, %d written off, %.3f legs a query; latency p50 %.3f s, p99 %.3f s, most %.3f s\n", got.Denied, got.WrittenOff, got.LegsEach,
			got.Latency["p50"], got.Latency["p99"], got.Latency["max"])
		fmt.Fprintln(t.out, "timeline", got.Hash)
		if ctx.Err() != nil {
			return failed(fmt.Errorf("ended by a signal after %d queries", played))
		}
		if len(got.Broken) > 0 {
			return fault{exitBroke, fmt.Errorf("%d times a rule was broken, first: %s", len(got.Broken), got.Broken[0].Text)}
		}
		return nil
	}
	return c
}
