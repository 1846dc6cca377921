//go:build !slim

package main

import (
	"context"
	"fmt"
	"os"

	"lichenroad/lab"
	"lichenroad/lab/live"
	"lichenroad/trace"
)

// Bounds of a live replay: each relay is a process and each planner a listener on this machine.
const (
	maxLiveRelays     = 40
	minLivePlanners   = 2
	maxLivePlanners   = 200
	maxQueuedArrivals = 4096 // arrivals read ahead of the sender
)

// replayLive replays a trace over sockets. It reads up to maxQueuedArrivals arrivals ahead of the sender. After a signal it
// prints the result up to then, and fails.
func (t *tool) replayLive(ctx context.Context, in *traceInput, files []string, flags *replayFlags) error {
	options, err := flags.liveOptions(in)
	if err != nil {
		return withExitFailed(err)
	}
	readContext, stopReading := context.WithCancel(ctx)
	arrivals, readResult := t.prefetch(readContext, in, files, options.Seed)
	result, err := live.Run(ctx, options, arrivals)
	stopReading()
	if readErr := <-readResult; readErr != nil {
		return readErr
	}
	if err != nil {
		return withExitFailed(err)
	}
	if err := t.writeJSON(flags.json, result); err != nil {
		return err
	}
	if err := t.printReplay("measured on loopback", &result.ReplayResult, flags.report); err != nil {
		return err
	}
	t.printSender(result.Sender)
	if result.LateResponses > 0 {
		printf(t.stdout, "%d answers came after their patience had ended\n", result.LateResponses)
	}
	switch {
	case result.EndedEarly:
		return withExitFailed(fmt.Errorf("ended by a signal after %d queries", result.All.Requests))
	case result.Sender.Invalid != "":
		return withExitFailed(fmt.Errorf("invalid: %s", result.Sender.Invalid))
	}
	return replayError(&result.ReplayResult)
}

// liveOptions checks the size of a live replay, reads the mapping and returns the options of the replay.
func (flags *replayFlags) liveOptions(in *traceInput) (live.Options, error) {
	relays, planners := flags.options.Relays, flags.options.Endpoints
	if relays < 1 || relays > maxLiveRelays || planners < minLivePlanners || planners > maxLivePlanners {
		return live.Options{}, fmt.Errorf("--live allows 1 to 40 relays and 2 to 200 planners")
	}
	self, err := os.Executable()
	if err != nil {
		return live.Options{}, err
	}
	mapping, err := trace.LoadMapping(in.mappingFile)
	if err != nil {
		return live.Options{}, err
	}
	in.mapping = mapping
	return live.Options{Executable: self, Dir: flags.liveDir, Relays: relays, Planners: planners, Seed: flags.options.Seed,
		RequestClasses: mapping.Classes, Tenants: mapping.Tenants, Bounds: flags.bounds}, nil
}

// prefetch reads the trace ahead of the sender, on a goroutine that ends with the trace or the context. The goroutine
// then closes the channel of arrivals and sends its error, or nil, on the other channel.
func (t *tool) prefetch(ctx context.Context, in *traceInput, files []string, seed int64) (<-chan lab.Arrival, <-chan error) {
	arrivals := make(chan lab.Arrival, maxQueuedArrivals)
	result := make(chan error, 1)
	emit := func(arrival lab.Arrival) error {
		if arrival.FaultDuration > 0 {
			return withExitFailed(fmt.Errorf("%s: failures as hours can't be replayed with --live", in.mappingFile))
		}
		select {
		case arrivals <- arrival:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	go func() {
		_, err := in.emitArrivals(ctx, t, files, seed, emit)
		close(arrivals)
		result <- err
	}()
	return arrivals, result
}

func (t *tool) printSender(s live.Lateness) {
	printf(t.stdout, "sender: %d sent, %d not; late p50 %.4f s, p99 %.4f s, most %.4f s; %.2f%% over %g s; at most %d connections to a relay, %d broke\n", s.Sent,
		s.Unsent, s.Quantiles["p50"], s.Quantiles["p99"], s.Quantiles["max"], 100*s.LateShare, s.LateAfter, s.MaxConnections, s.BrokenConnections)
}
