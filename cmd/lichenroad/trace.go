//go:build !slim

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"lichenroad/lab"
	"lichenroad/lab/live"
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
	o := trace.DefaultOptions(x.layout)
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
	total, known := int64(0), true
	for _, name := range files {
		if name == "-" {
			known, from = false, append(from, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, failed(err)
		}
		defer f.Close()
		if info, err := f.Stat(); err == nil && info.Mode().IsRegular() {
			total += info.Size()
		} else {
			known = false
		}
		from = append(from, f)
	}
	if !known {
		total = -1
	}
	if bar := t.progress(total, "trace", progressbar.OptionShowBytes(true)); bar != nil { // rate and remaining time go by the bytes read
		defer bar.Clear()
		for i := range from {
			from[i] = io.TeeReader(from[i], bar)
		}
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
				if q, why := x.m.Place(k); why != trace.Accepted {
					out.Unplaced[why]++
				} else {
					out.Categories[x.m.Classes[q.Class]]++
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		out.Rows, out.Taken, out.Reordered, out.Reported, out.First, out.Tasks = a.Rows, a.Accepted, a.Reordered, a.Reported, a.FirstLine, a.Tasks
		out.Span, out.Rate = a.To-a.From, map[string]float64{"mean": a.Rate(), "peak": a.Peak}
		if err := t.writeJSON(*file, out); err != nil {
			return err
		}
		t.audit(a)
		for why, n := range out.Unplaced {
			fmt.Fprintf(t.out, "  no place: %s: %d tasks\n", why, n)
		}
		if a.Accepted == 0 {
			return failed(fmt.Errorf("%s: no row could be used", strings.Join(args, ", ")))
		}
		return nil
	}
	return c
}

func (t *tool) audit(a *trace.Audit) {
	fmt.Fprintf(t.out, "%d rows: %d taken (%d put back in order), %d reported; %d tasks over %.1f s, %.2f a second, %g in the fullest\n", a.Rows,
		a.Accepted, a.Reordered, a.ReportedRows(), a.Tasks, a.To-a.From, a.Rate(), a.Peak)
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

// play hands on each task that is played, as the arrival that it becomes: within the cut, kept by the thinning, placed by
// the mapping.
func (x *traced) play(ctx context.Context, t *tool, files []string, seed int64, emit func(lab.Arrival) error) (played int, err error) {
	unplaced, any, first := map[trace.Reason]int64{}, false, 0.0
	a, err := x.read(t, files, func(k *trace.Task) error {
		if !any {
			any, first = true, k.At
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case k.At-first < x.from, x.length > 0 && k.At-first >= x.from+x.length, !x.m.Sampled(k, seed):
			return nil
		}
		q, why := x.m.Place(k)
		if why != trace.Accepted {
			unplaced[why]++
			return nil
		}
		played++
		return emit(lab.Arrival{At: q.At, Category: q.Class, Customer: q.Tenant, Work: q.Work, Relay: q.Relay, Fails: q.FailedAttempts,
			Machine: q.Machine, BadFor: q.FaultTime, BadPart: q.FaultShare})
	})
	if err != nil && ctx.Err() == nil {
		return played, err
	}
	t.audit(a)
	for why, n := range unplaced {
		fmt.Fprintf(t.out, "  no place: %s: %d tasks\n", why, n)
	}
	if played == 0 {
		return 0, failed(fmt.Errorf("%s: nothing could be played", strings.Join(files, ", ")))
	}
	return played, nil
}

func (t *tool) traceReplay() *cobra.Command {
	c := &cobra.Command{Use: "replay FILE...", Short: "Replay a trace against planners, with the real decision module", Args: cobra.MinimumNArgs(1),
		Long: "Replay a trace in virtual time against emulated planners, with the real decision module. The same call gives the same\nresult. With --live it goes to relays as processes, over their wire protocol on loopback, at the recorded pace: a query\nthat goes out late is counted from when it was due, and a run whose sender was late too often is called invalid."}
	var x traced
	x.flags(c)
	c.MarkFlagRequired("mapping")
	var o lab.ReplayOptions
	b := live.Usual
	c.Flags().Int64Var(&o.Seed, "seed", 1, "of all chance, and of the thinning")
	c.Flags().IntVar(&o.Relays, "relays", 4, "relays, up to 1000")
	c.Flags().IntVar(&o.Units, "planners", 10, "planners, up to 1000")
	c.Flags().Float64Var(&x.from, "from", 0, "s after the first arrival from which tasks are played")
	c.Flags().Float64Var(&x.length, "for", 0, "s that are played; all where not given")
	fault := c.Flags().String("fault", "none", "what goes wrong with planners, virtual replay alone: "+strings.Join(lab.Troubles(), ", "))
	file := c.Flags().String("json", "", "a file for the result")
	dir := c.Flags().String("report", "", "a directory for the report, an HTML page")
	alive := c.Flags().Bool("live", false, "over sockets on loopback, at the recorded pace")
	state := c.Flags().String("dir", "found/live", "for configurations and logs of --live")
	late := c.Flags().Duration("late", 10*time.Millisecond, "after which a query went out late, with --live")
	c.Flags().Float64Var(&b.LateShare, "late-share", b.LateShare, "part of late queries above which a --live run is invalid, from 0 to 1")
	c.RunE = func(_ *cobra.Command, args []string) error {
		ctx, cancel := untilSignal()
		defer cancel()
		if b.LateAfter = late.Seconds(); b.LateAfter < 0 || b.LateShare < 0 || b.LateShare > 1 {
			return fmt.Errorf("--late from 0 on, --late-share from 0 to 1")
		}
		if *alive {
			if *fault != "none" {
				return fmt.Errorf("--fault: not with --live")
			}
			return t.playLive(ctx, &x, args, live.Options{Dir: *state, Relays: o.Relays, Units: o.Units, Seed: o.Seed, Bounds: b}, *file, *dir)
		}
		var err error
		if o.Trouble, err = lab.TroubleOf(*fault); err != nil {
			return err
		}
		var r *lab.Replay
		played, err := x.play(ctx, t, args, o.Seed, func(a lab.Arrival) error {
			if r == nil {
				o.Categories, o.Customers = x.m.Classes, x.m.Tenants
				var err error
				if r, err = lab.NewReplay(o); err != nil {
					return err
				}
			}
			r.Play(a)
			return nil
		})
		if err != nil {
			return err
		}
		got := r.End()
		if err := t.writeJSON(*file, got); err != nil {
			return err
		}
		if err := t.figures("simulated", &got, *dir); err != nil {
			return err
		}
		fmt.Fprintln(t.out, "timeline", got.Hash)
		if ctx.Err() != nil {
			return failed(fmt.Errorf("ended by a signal after %d queries", played))
		}
		return broke(&got)
	}
	return c
}

// figures tells what a replay showed, and writes its page where a directory is named.
func (t *tool) figures(how string, got *lab.Replayed, dir string) error {
	if dir != "" {
		name, err := got.Report(dir, how)
		if err != nil {
			return failed(err)
		}
		fmt.Fprintln(t.out, "report:", name)
	}
	fmt.Fprintf(t.out, "%s: %d queries over %.1f s, %d relays, %d planners: service %.4f, worst 10 s %.4f, tail %.4f\n", how, got.All.Queries, got.Span, got.Relays,
		got.Units, got.All.Service, got.Worst10, got.Tail)
	fmt.Fprintf(t.out, "%d denied, %d written off, %d unanswered, %.3f legs a query, %d crossings; latency p50 %.3f s, p99 %.3f s, most %.3f s\n", got.Denied, got.WrittenOff,
		got.Unheard, got.LegsEach, got.Crossings, got.Latency["p50"], got.Latency["p99"], got.Latency["max"])
	return nil
}

func broke(got *lab.Replayed) error {
	if len(got.Broken) > 0 {
		return fault{exitBroke, fmt.Errorf("%d times a rule was broken, first: %s", len(got.Broken), got.Broken[0].Text)}
	}
	return nil
}

// playLive replays over sockets. The trace is read as it is played: a few arrivals ahead.
func (t *tool) playLive(ctx context.Context, x *traced, files []string, o live.Options, file, dir string) error {
	if o.Relays < 1 || o.Relays > 40 || o.Units < 2 || o.Units > 200 {
		return failed(fmt.Errorf("from 1 to 40 relays and from 2 to 200 planners with --live"))
	}
	var err error
	if o.Self, err = os.Executable(); err != nil {
		return failed(err)
	}
	if x.m, err = trace.LoadMapping(x.mapping); err != nil {
		return failed(err)
	}
	o.Categories, o.Customers = x.m.Classes, x.m.Tenants
	arrivals := make(chan lab.Arrival, 4096)
	ended := make(chan error, 1)
	reading, stop := context.WithCancel(ctx)
	go func() {
		_, err := x.play(reading, t, files, o.Seed, func(a lab.Arrival) error {
			if a.BadFor > 0 {
				return failed(fmt.Errorf("%s: failures as hours can't be played with --live", x.mapping))
			}
			select {
			case arrivals <- a:
				return nil
			case <-reading.Done():
				return reading.Err()
			}
		})
		close(arrivals)
		ended <- err
	}()
	got, err := live.Run(ctx, o, arrivals)
	stop()
	if readErr := <-ended; readErr != nil {
		return readErr
	}
	if err != nil {
		return failed(err)
	}
	if err := t.writeJSON(file, got); err != nil {
		return err
	}
	if err := t.figures("measured on loopback", &got.Replayed, dir); err != nil {
		return err
	}
	l := got.Sender
	fmt.Fprintf(t.out, "sender: %d sent, %d not; late p50 %.4f s, p99 %.4f s, most %.4f s; %.2f%% over %g s; at most %d connections to a relay, %d broke\n", l.Sent,
		l.Unsent, l.Quantiles["p50"], l.Quantiles["p99"], l.Quantiles["max"], 100*l.Share, l.LateAfter, l.Lanes, l.Broken)
	if got.Overran > 0 {
		fmt.Fprintf(t.out, "%d answers came after their patience had ended\n", got.Overran)
	}
	switch {
	case got.Ended:
		return failed(fmt.Errorf("ended by a signal after %d queries", got.All.Queries))
	case l.Invalid != "":
		return failed(fmt.Errorf("invalid: %s", l.Invalid))
	}
	return broke(&got.Replayed)
}
