//go:build !slim

package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"lichenroad/internal/planxml"
	"lichenroad/lab"
)

func (t *tool) simulate() *cobra.Command {
	c := &cobra.Command{Use: "simulate FILE", Short: "Try a plan out in virtual time, with real decision modules", Args: cobra.ExactArgs(1),
		Long: "Try a plan out in virtual time: the real decision modules, guards and desk against emulated planners, clients and\nfaults. The same call gives the same result. Exit code 3 where a rule or a line of the plan was broken."}
	var o lab.Options
	f := c.Flags()
	f.Float64Var(&o.Days, "days", 7, "days to play, up to 60")
	f.Int64Var(&o.Seed, "seed", 1, "of all chance")
	f.IntVar(&o.Relays, "relays", 40, "relays, of all services together, up to 1000")
	f.IntVar(&o.Units, "planners", 30, "planners, of all services together, up to 1000")
	f.Float64Var(&o.BadPart, "bad", 0.4, "part of the builds that are bad")
	f.Float64Var(&o.Load, "load", 1, "times the ordinary day's queries")
	guard := f.String("guard", "on", "on, or off: relays that know no plan")
	faults := f.String("faults", "ordinary", "one of "+strings.Join(lab.Kinds(), ", ")+"; or several with a + between")
	without := f.StringSlice("without", nil, "a defence to take out, such as guard-freezes or desk-needs; may stand more than once")
	clock := f.Bool("by-clock", false, "the baseline: time alone moves steps, no vote counts")
	file := f.String("json", "", "a file for the result")
	dir := f.String("report", "", "a directory for the report, an HTML page")
	c.RunE = func(c *cobra.Command, args []string) error {
		var ok bool
		switch {
		case o.Days <= 0 || o.Days > 60 || o.Relays < 1 || o.Relays > 1000 || o.Units < 1 || o.Units > 1000:
			return fmt.Errorf("--days up to 60, --relays and --planners from 1 to 1000")
		case !(o.BadPart >= 0 && o.BadPart <= 1) || !(o.Load > 0 && o.Load <= 10):
			return fmt.Errorf("--bad from 0 to 1, --load above 0 and up to 10")
		case *guard != "on" && *guard != "off":
			return fmt.Errorf("--guard: on or off")
		}
		if o.Faults, ok = lab.Worst(*faults); !ok {
			return fmt.Errorf("--faults: %q is none of %s", *faults, strings.Join(lab.Kinds(), ", "))
		}
		o.Guard.All = *guard == "off"
		for _, name := range *without {
			if !o.Without(name) {
				return fmt.Errorf("--without: there is no defence %q", name)
			}
		}
		p, err := planxml.Load(args[0])
		if err != nil {
			return failed(err)
		}
		o.Plan = p
		if *clock {
			o.ByClock()
		}
		if bar := t.progress(int64(o.Days*1000), "days"); bar != nil {
			o.Progress = func(day float64) { bar.Set64(int64(day * 1000)) }
		}
		ctx, cancel := untilSignal()
		defer cancel()
		r, err := lab.Run(ctx, o)
		if err != nil && ctx.Err() == nil {
			return failed(err)
		}
		if err := t.writeJSON(*file, r); err != nil {
			return err
		}
		if *dir != "" {
			name, err := r.Report(p, *dir)
			if err != nil {
				return failed(err)
			}
			fmt.Fprintln(t.out, "report:", name)
		}
		t.summary(&r)
		if ctx.Err() != nil {
			return failed(fmt.Errorf("ended by a signal after %.2f days", r.Days))
		}
		if len(r.Broken) > 0 {
			return fault{exitBroke, fmt.Errorf("%d times a rule or a line of the plan was broken", len(r.Broken)+r.BrokenMore)}
		}
		return nil
	}
	return c
}

// summary prints the result in plain lines.
func (t *tool) summary(r *lab.Result) {
	good, bad, out, stayed := 0, 0, 0, 0
	for _, x := range r.Releases {
		switch is := x.Released >= 0 && x.Back < 0; {
		case x.Bad:
			bad++
			if is {
				stayed++
			}
		default:
			good++
			if is {
				out++
			}
		}
	}
	fmt.Fprintf(t.out, "simulated: %g days, %d relays, %d planners, seed %d: %d queries in %.0f s of traffic\n", r.Days, r.Relays, r.Units, r.Seed, r.Queries, r.Awake)
	fmt.Fprintf(t.out, "releases: %d good, %d of them out after %.1f h on average; %d bad, %d of them out\n", good, out, r.GoodTook/3600, bad, stayed)
	fmt.Fprintf(t.out, "service %.4f; worth lost by bad builds %.1f; at most %.2f of any allowance used\n", r.Service, r.BadWorth, r.MostOfCap)
	if len(r.Broken) == 0 {
		fmt.Fprintln(t.out, "broken: nothing")
	}
	for i, b := range r.Broken {
		if i == 10 {
			fmt.Fprintf(t.out, "broken: and %d more\n", len(r.Broken)-i+r.BrokenMore)
			break
		}
		fmt.Fprintf(t.out, "broken: at %.3f s %s by %s: %s\n", b.Time, b.Rule, b.Relay, b.Text)
	}
	fmt.Fprintln(t.out, "timeline", r.Hash)
}

// progress is a bar up to a number, -1 where none is known; none where nobody sees it, as in a pipe.
func (t *tool) progress(most int64, what string, more ...progressbar.Option) *progressbar.ProgressBar {
	f, ok := t.errs.(*os.File)
	if !ok {
		return nil
	}
	if info, err := f.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return progressbar.NewOptions64(most, append(more, progressbar.OptionSetWriter(f), progressbar.OptionSetDescription(what),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish(), progressbar.OptionSetPredictTime(true))...)
}
