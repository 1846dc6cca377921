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

// replayFlags are the flags of `trace replay` other than those of its input.
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
		Long: "Replay a trace in virtual time against emulated planners, with the real decision module. The same flags give the same\nresult. With --live the requests go to relay processes over their wire protocol on loopback, at the recorded pace. The\nlatency of a request counts from when it should have been sent, and a run whose sender was late too often is reported as\ninvalid."}
	var in traceInput
	flags := replayFlags{bounds: live.DefaultBounds}
	in.addFlags(c)
	flags.add(c)
	c.Flags().Float64Var(&in.from, "from", 0, "time in s after the first arrival at which the replay begins")
	c.Flags().Float64Var(&in.length, "for", 0, "length of the replay in s; 0: the whole trace")
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
	f.Int64Var(&flags.options.Seed, "seed", 1, "seed of all random draws, including the sampling of the trace")
	f.IntVar(&flags.options.Relays, "relays", 4, "number of relays, up to 1000")
	f.IntVar(&flags.options.Endpoints, "planners", 10, "number of planners, up to 1000")
	f.StringVar(&flags.fault, "fault", noFault, "fault of the planners, not with --live: "+strings.Join(lab.EndpointFaultNames(), ", "))
	f.StringVar(&flags.json, "json", "", "file to write the result to")
	f.StringVar(&flags.report, "report", "", "directory for the report, an HTML page")
	f.BoolVar(&flags.live, "live", false, "replay over sockets on loopback, at the recorded pace")
	f.StringVar(&flags.liveDir, "dir", "found/live", "directory for the configurations and logs of --live")
	f.DurationVar(&flags.lateAfter, "late", 10*time.Millisecond, "delay after which --live counts a request as sent late")
	f.Float64Var(&flags.bounds.MaxLateShare, "late-share", flags.bounds.MaxLateShare, "fraction of late requests above which a --live run is invalid, from 0 to 1")
}

// noFault is the value of --fault for a replay without a fault.
const noFault = "none"

// checkBounds sets the delay after which a request counts as sent late. It checks --late and --late-share, also for a replay
// without --live, and rejects --fault together with --live.
func (flags *replayFlags) checkBounds() error {
	flags.bounds.LateAfter = flags.lateAfter.Seconds()
	if flags.bounds.LateAfter < 0 || flags.bounds.MaxLateShare < 0 || flags.bounds.MaxLateShare > 1 {
		return fmt.Errorf("--late must not be negative, --late-share must be from 0 to 1")
	}
	if flags.live && flags.fault != noFault {
		return fmt.Errorf("--fault can't be used with --live")
	}
	return nil
}

// replayVirtual replays a trace in virtual time. After a signal it prints the result up to then, and fails.
func (t *tool) replayVirtual(ctx context.Context, in *traceInput, files []string, flags *replayFlags) error {
	options := flags.options
	fault, err := lab.EndpointFaultByName(flags.fault)
	if err != nil {
		return err
	}
	options.Fault = fault
	var replay *lab.Replay
	emitted, err := in.emitArrivals(ctx, t, files, options.Seed, func(arrival lab.Arrival) error {
		if replay == nil { // the mapping, and with it the request classes, is read before the first arrival
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
		return withExitFailed(fmt.Errorf("ended by a signal after %d queries", emitted))
	}
	return replayError(&result)
}

// printReplay prints a summary of a replay, and writes its report if dir is not empty.
func (t *tool) printReplay(how string, r *lab.ReplayResult, dir string) error {
	if dir != "" {
		name, err := r.Report(dir, how)
		if err != nil {
			return withExitFailed(err)
		}
		printf(t.stdout, "report: %s\n", name)
	}
	printf(t.stdout, "%s: %d queries over %.1f s, %d relays, %d planners: service %.4f, worst 10 s %.4f, tail %.4f\n", how, r.All.Requests, r.Duration, r.Relays,
		r.Endpoints, r.All.ServedFraction, r.Worst10, r.Tail)
	printf(t.stdout, "%d denied, %d written off, %d unanswered, %.3f legs a query, %d crossings; latency p50 %.3f s, p99 %.3f s, most %.3f s\n", r.Rejected, r.Failed,
		r.Unanswered, r.AttemptsPerRequest, r.CrossSiteAttempts, r.Latency["p50"], r.Latency["p99"], r.Latency["max"])
	return nil
}

// replayError returns the error of a replay whose checker found violations; nil: none.
func replayError(r *lab.ReplayResult) error {
	if len(r.Violations) > 0 {
		return ruleBroken("%d violations of rules, the first: %s", len(r.Violations), r.Violations[0].Text)
	}
	return nil
}
