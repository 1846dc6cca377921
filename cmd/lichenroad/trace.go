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
	c := &cobra.Command{Use: "trace", Short: "Check traces of public clusters in CSV, and replay them as load", RunE: requireSubcommand}
	c.AddCommand(t.traceCheck(), t.traceReplay())
	return c
}

// traceInput holds the flags that say how to read a trace, and the mapping.
type traceInput struct {
	layout  string
	mapping *trace.Mapping // content of mappingFile; nil until it is read, or if there is none
	window  float64        // s within which rows are put in order; negative: that of the mapping, or the default
	from    float64        // s after the first arrival at which the replay begins
	length  float64        // s of the trace that are replayed; 0: all

	mappingFile string
}

func (in *traceInput) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&in.layout, "layout", "", "layout of the trace, one of "+strings.Join(trace.Layouts(), ", "))
	c.Flags().StringVar(&in.mappingFile, "mapping", "", "XML file that maps tasks to requests")
	c.Flags().Float64Var(&in.window, "window", -1, "time in s within which rows are put in order; below 0, that of the mapping, or 60 without a mapping")
	markRequired(c.MarkFlagRequired("layout"))
}

// read reads the trace in the files, where - is standard input, and calls emit with each task.
func (in *traceInput) read(t *tool, files []string, emit func(*trace.Task) error) (*trace.Audit, error) {
	options, err := in.options()
	if err != nil {
		return nil, err
	}
	sources, err := openSources(files)
	defer sources.close()
	if err != nil {
		return nil, withExitFailed(err)
	}
	readers := sources.readers
	// The bar's rate and remaining time are computed from the bytes read.
	if bar := t.progressBar(sources.size, "trace", progressbar.OptionShowBytes(true)); bar != nil {
		defer func() { _ = bar.Clear() }() // an error only leaves the bar on the terminal
		for i := range readers {
			readers[i] = io.TeeReader(readers[i], bar)
		}
	}
	audit, err := trace.Read(options, emit, readers...)
	if err != nil {
		return audit, withExitFailed(fmt.Errorf("%s: %w", strings.Join(files, ", "), err))
	}
	return audit, nil
}

// options reads the mapping, if there is one, and returns the options for reading the trace.
func (in *traceInput) options() (trace.Options, error) {
	options := trace.DefaultOptions(in.layout)
	if in.mappingFile != "" {
		mapping, err := trace.LoadMapping(in.mappingFile)
		if err != nil {
			return options, withExitFailed(err)
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

// sources holds the opened files of a trace.
type sources struct {
	readers []io.Reader
	files   []*os.File // to be closed
	size    int64      // total bytes, or unknownSize
}

const unknownSize = -1

// openSources opens files, where - is standard input. The result must be closed even after an error.
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
		_ = file.Close() // an error does not matter after reading
	}
}

// emitArrivals reads the trace and calls emit with an arrival for each task that lies in the replayed time range, belongs to
// the mapping's sample and is mapped to a request. It returns the number of arrivals, and prints the audit of the trace. A
// cancelled context ends it early, which is an error only if there was no arrival yet.
func (in *traceInput) emitArrivals(ctx context.Context, t *tool, files []string, seed int64, emit func(lab.Arrival) error) (emitted int, err error) {
	unplaced := map[trace.Reason]int64{}
	started, first := false, 0.0
	audit, err := in.read(t, files, func(task *trace.Task) error {
		if !started {
			started, first = true, task.At
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !in.inTimeRange(task.At-first) || !in.mapping.Sampled(task, seed) {
			return nil
		}
		request, reason := in.mapping.RequestFor(task)
		if reason != trace.Accepted {
			unplaced[reason]++
			return nil
		}
		emitted++
		return emit(lab.Arrival{At: request.At, Class: request.Class, Tenant: request.Tenant, Work: request.Work,
			Relay: request.RelayHash, FailedAttempts: request.FailedAttempts, Machine: request.MachineHash, FaultDuration: request.FaultDuration, FailureRate: request.FailureRate})
	})
	if err != nil && ctx.Err() == nil {
		return emitted, err
	}
	t.printAudit(audit)
	t.printUnplaced(unplaced)
	if emitted == 0 {
		return 0, withExitFailed(fmt.Errorf("%s: the trace has no task that could be replayed", strings.Join(files, ", ")))
	}
	return emitted, nil
}

// inTimeRange reports whether a task that arrives so many seconds after the first is in the replayed time range.
func (in *traceInput) inTimeRange(since float64) bool {
	before := since < in.from
	after := in.length > 0 && since >= in.from+in.length
	return !before && !after
}

// printAudit prints how many rows and tasks were read from a trace, and the reasons why rows could not be used.
func (t *tool) printAudit(a *trace.Audit) {
	printf(t.stdout, "%d rows: %d taken (%d put back in order), %d reported; %d tasks over %.1f s, %.2f a second, %g in the fullest\n", a.Rows,
		a.Accepted, a.Reordered, a.ReportedRows(), a.Tasks, a.LastArrival-a.FirstArrival, a.MeanRate(), a.PeakRate)
	for _, line := range a.Lines() {
		printf(t.stdout, "  %s\n", line)
	}
}

// printUnplaced prints how many tasks the mapping maps to no request, by reason.
func (t *tool) printUnplaced(unplaced map[trace.Reason]int64) {
	for reason, n := range unplaced {
		printf(t.stdout, "  no place: %s: %d tasks\n", reason, n)
	}
}
