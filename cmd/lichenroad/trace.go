//go:build !slim

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"lichenroad/lab"
	"lichenroad/trace"
)

func (t *tool) traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Check public cluster traces in CSV, and replay them as load", RunE: needsVerb}
	c.AddCommand(t.traceCheck(), t.traceReplay())
	return c
}

// traceInput is how the commands read a trace.
type traceInput struct {
	layout  string
	mapping *trace.Mapping // of mappingFile; nil until read, and where no file is named
	window  float64        // s within which rows are put back in order; below 0: the mapping's, or the usual
	from    float64        // s after the first arrival from which tasks are played
	length  float64        // s that are played; 0: all

	mappingFile string
}

func (in *traceInput) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&in.layout, "layout", "", "one of "+strings.Join(trace.Layouts(), ", "))
	c.Flags().StringVar(&in.mappingFile, "mapping", "", "an XML file that says which task becomes which request")
	c.Flags().Float64Var(&in.window, "window", -1, "s within which rows are put back in order; the mapping's, or 60, where not given")
	markRequired(c.MarkFlagRequired("layout"))
}

// read reads the files, the standard input for -, and hands each task to emit.
func (in *traceInput) read(t *tool, files []string, emit func(*trace.Task) error) (*trace.Audit, error) {
	options, err := in.options()
	if err != nil {
		return nil, err
	}
	sources, err := openSources(files)
	defer sources.close()
	if err != nil {
		return nil, failed(err)
	}
	readers := sources.readers
	if bar := t.progressBar(sources.size, "trace", progressbar.OptionShowBytes(true)); bar != nil { // rate and remaining time go by the bytes read
		defer func() { _ = bar.Clear() }() // a bar that can't be cleared stays on the terminal
		for i := range readers {
			readers[i] = io.TeeReader(readers[i], bar)
		}
	}
	audit, err := trace.Read(options, emit, readers...)
	if err != nil {
		return audit, failed(fmt.Errorf("%s: %w", strings.Join(files, ", "), err))
	}
	return audit, nil
}

// options reads the mapping and puts the options of the trace's reader together.
func (in *traceInput) options() (trace.Options, error) {
	options := trace.DefaultOptions(in.layout)
	if in.mappingFile != "" {
		mapping, err := trace.LoadMapping(in.mappingFile)
		if err != nil {
			return options, failed(err)
		}
		in.mapping = mapping
		options.Window = mapping.Window
	}
	if in.window >= 0 {
		options.Window = in.window
	}
	if !slices.Contains(trace.Layouts(), in.layout) {
		return options, fmt.Errorf("--layout: %q is none of %s", in.layout, strings.Join(trace.Layouts(), ", "))
	}
	return options, nil
}

// sources are the files of a trace, open for reading.
type sources struct {
	readers []io.Reader
	files   []*os.File // to close
	size    int64      // bytes in all; -1: not known
}

const unknownSize = -1

// openSources opens files, of which - is the standard input. What it returns must be closed after an error too.
func openSources(names []string) (*sources, error) {
	s := &sources{}
	for _, name := range names {
		if name == "-" {
			s.readers = append(s.readers, os.Stdin)
			s.size = unknownSize
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return s, err
		}
		s.files = append(s.files, file)
		s.readers = append(s.readers, file)
		info, err := file.Stat()
		switch {
		case err != nil || !info.Mode().IsRegular():
			s.size = unknownSize
		case s.size != unknownSize:
			s.size += info.Size()
		}
	}
	return s, nil
}

func (s *sources) close() {
	for _, file := range s.files {
		_ = file.Close() // only read
	}
}

// play hands each task that is played to emit, as the arrival that it becomes: within the cut, kept by the thinning,
// placed by the mapping.
func (in *traceInput) play(ctx context.Context, t *tool, files []string, seed int64, emit func(lab.Arrival) error) (played int, err error) {
	unplaced := map[trace.Reason]int64{}
	started, first := false, 0.0
	audit, err := in.read(t, files, func(task *trace.Task) error {
		if !started {
			started, first = true, task.At
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !in.inCut(task.At-first) || !in.mapping.Sampled(task, seed) {
			return nil
		}
		request, why := in.mapping.RequestFor(task)
		if why != trace.Accepted {
			unplaced[why]++
			return nil
		}
		played++
		return emit(lab.Arrival{At: request.At, Class: request.Class, Tenant: request.Tenant, Work: request.Work,
			Relay: request.RelayHash, FailedAttempts: request.FailedAttempts, Machine: request.MachineHash, FaultDuration: request.FaultDuration, FailureRate: request.FailureRate})
	})
	if err != nil && ctx.Err() == nil {
		return played, err
	}
	t.printAudit(audit)
	t.printUnplaced(unplaced)
	if played == 0 {
		return 0, failed(fmt.Errorf("%s: nothing could be played", strings.Join(files, ", ")))
	}
	return played, nil
}

// inCut reports whether a task is played that arrives so many seconds after the first.
func (in *traceInput) inCut(since float64) bool {
	beforeCut := since < in.from
	afterCut := in.length > 0 && since >= in.from+in.length
	return !beforeCut && !afterCut
}

// printAudit prints what was read of a trace, and each kind of row that could not be used.
func (t *tool) printAudit(a *trace.Audit) {
	printf(t.out, "%d rows: %d taken (%d put back in order), %d reported; %d tasks over %.1f s, %.2f a second, %g in the fullest\n", a.Rows,
		a.Accepted, a.Reordered, a.ReportedRows(), a.Tasks, a.LastArrival-a.FirstArrival, a.MeanRate(), a.PeakRate)
	for _, line := range a.Lines() {
		printf(t.out, "  %s\n", line)
	}
}

// printUnplaced prints how many tasks the mapping had no place for, by reason.
func (t *tool) printUnplaced(unplaced map[trace.Reason]int64) {
	for why, n := range unplaced {
		printf(t.out, "  no place: %s: %d tasks\n", why, n)
	}
}
