//go:build !slim

package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lichenroad/lab"
	"lichenroad/lab/live"
)

// replayFlags are the flags of `trace replay` besides those of its input.
type replayFlags struct {
	options   lab.ReplayOptions
	fault     string
	json      string
	report    string
	live      bool
	liveDir   string
	lateAfter time.Duration
	bounds    live.Bounds
}

func (t *tool) traceReplay() *cobra.Command {
	c := &cobra.Command{Use: "replay FILE...", Short: "Replay a trace against planners, with the real decision module", Args: cobra.MinimumNArgs(1),
		Long: "Replay a trace in virtual time against emulated planners, with the real decision module. The same call gives the same\nresult. With --live it goes to relays as processes, over their wire protocol on loopback, at the recorded pace: a request\nthat goes out late is timed from when it should have gone out, and a run whose sender was late too often is called invalid."}
	var in traceInput
	flags := replayFlags{bounds: live.DefaultBounds}
	in.addFlags(c)
	flags.add(c)
	c.Flags().Float64Var(&in.from, "from", 0, "s after the first arrival from which tasks are played")
	c.Flags().Float64Var(&in.length, "for", 0, "s that are played; all where not given")
	markRequired(c.MarkFlagRequired("mapping"))
	c.RunE = func(_ *cobra.Command, files []string) error {
		ctx, cancel := untilSignal()
		defer cancel()
		if err := flags.checkBounds(); err != nil {
			return err
		}
		if flags.live {
			return t.replayLive(ctx, &in, files, &flags)
		}
		return t.replayVirtual(ctx, &in, files, &flags)
	}
	return c
}

func (flags *replayFlags) add(c *cobra.Command) {
	f := c.Flags()
	f.Int64Var(&flags.options.Seed, "seed", 1, "of all chance, and of the thinning")
	f.IntVar(&flags.options.Relays, "relays", 4, "relays, up to 1000")
	f.IntVar(&flags.options.Endpoints, "planners", 10, "planners, up to 1000")
	f.StringVar(&flags.fault, "fault", noFault, "what goes wrong with planners, virtual replay alone: "+strings.Join(lab.EndpointFaultNames(), ", "))
	f.StringVar(&flags.json, "json", "", "a file for the result")
	f.StringVar(&flags.report, "report", "", "a directory for the report, an HTML page")
	f.BoolVar(&flags.live, "live", false, "over sockets on loopback, at the recorded pace")
	f.StringVar(&flags.liveDir, "dir", "found/live", "for configurations and logs of --live")
	f.DurationVar(&flags.lateAfter, "late", 10*time.Millisecond, "after which a request went out late, with --live")
	f.Float64Var(&flags.bounds.MaxLateShare, "late-share", flags.bounds.MaxLateShare, "part of late requests above which a --live run is invalid, from 0 to 1")
}

// noFault is the value of --fault for a run without one.
const noFault = "none"

// checkBounds checks the flags of a live replay, also where they are not used.
func (flags *replayFlags) checkBounds() error {
	flags.bounds.LateAfter = flags.lateAfter.Seconds()
	if flags.bounds.LateAfter < 0 || flags.bounds.MaxLateShare < 0 || flags.bounds.MaxLateShare > 1 {
		return fmt.Errorf("--late from 0 on, --late-share from 0 to 1")
	}
	if flags.live && flags.fault != noFault {
		return fmt.Errorf("--fault: not with --live")
	}
	return nil
}

// replayVirtual replays in virtual time. After a signal it prints the result of what was played.
func (t *tool) replayVirtual(ctx context.Context, in *traceInput, files []string, flags *replayFlags) error {
	options := flags.options
	fault, err := lab.EndpointFaultByName(flags.fault)
	if err != nil {
		return err
	}
	options.Fault = fault
	var replay *lab.Replay
	played, err := in.emitArrivals(ctx, t, files, options.Seed, func(arrival lab.Arrival) error {
		if replay == nil { // the mapping, and with it the classes, is read with the trace
			options.Classes, options.Tenants = in.mapping.Classes, in.mapping.Tenants
			var err error
			if replay, err = lab.NewReplay(options); err != nil {
				return err
			}
		}
		replay.Arrive(arrival)
		return nil
	})
	if err != nil {
		return err
	}
	result := replay.Finish()
	if err := t.writeJSON(flags.json, result); err != nil {
		return err
	}
	if err := t.printReplay("simulated", &result, flags.report); err != nil {
		return err
	}
	printf(t.stdout, "timeline %s\n", result.TimelineHash)
	if ctx.Err() != nil {
		return failed(fmt.Errorf("ended by a signal after %d queries", played))
	}
	return replayError(&result)
}

// printReplay prints what a replay showed, and writes its page where a directory is named.
func (t *tool) printReplay(how string, r *lab.ReplayResult, dir string) error {
	if dir != "" {
		name, err := r.Report(dir, how)
		if err != nil {
			return failed(err)
		}
		printf(t.stdout, "report: %s\n", name)
	}
	printf(t.stdout, "%s: %d queries over %.1f s, %d relays, %d planners: service %.4f, worst 10 s %.4f, tail %.4f\n", how, r.All.Requests, r.Duration, r.Relays,
		r.Endpoints, r.All.ServedFraction, r.Worst10, r.Tail)
	printf(t.stdout, "%d denied, %d written off, %d unanswered, %.3f legs a query, %d crossings; latency p50 %.3f s, p99 %.3f s, most %.3f s\n", r.Rejected, r.Failed,
		r.Unanswered, r.AttemptsPerRequest, r.CrossSiteAttempts, r.Latency["p50"], r.Latency["p99"], r.Latency["max"])
	return nil
}

// replayError is the error of a replay whose checker found something.
func replayError(r *lab.ReplayResult) error {
	if len(r.Violations) > 0 {
		return ruleBroken("%d times a rule was broken, first: %s", len(r.Violations), r.Violations[0].Text)
	}
	return nil
}
