//go:build !slim

package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"lichenroad/trace"
)

// checkResult is the JSON result of `trace check`.
type checkResult struct {
	Rows       int64                  `json:"rows"`
	Taken      int64                  `json:"taken"`
	Reordered  int64                  `json:"reordered"`
	Reported   map[trace.Reason]int64 `json:"reported"`
	First      map[trace.Reason]int64 `json:"first"`
	Tasks      int64                  `json:"tasks"`
	Span       float64                `json:"span_s"`
	Rate       map[string]float64     `json:"rate"`
	Categories map[string]int64       `json:"categories"`
	Unplaced   map[trace.Reason]int64 `json:"unplaced"` // tasks that the mapping maps to no request
}

// addAudit copies the counts of the audit into the result.
func (r *checkResult) addAudit(a *trace.Audit) {
	r.Rows = a.Rows
	r.Taken = a.Accepted
	r.Reordered = a.Reordered
	r.Reported = a.Reported
	r.First = a.FirstLine
	r.Tasks = a.Tasks
	r.Span = a.LastArrival - a.FirstArrival
	r.Rate = map[string]float64{"mean": a.MeanRate(), "peak": a.PeakRate}
}

// countTask counts a task by the request class that it is mapped to, or by the reason why it is mapped to none.
func (r *checkResult) countTask(mapping *trace.Mapping, task *trace.Task) {
	request, reason := mapping.RequestFor(task)
	if reason != trace.Accepted {
		r.Unplaced[reason]++
		return
	}
	r.Categories[mapping.Classes[request.Class]]++
}

func (t *tool) traceCheck() *cobra.Command {
	c := &cobra.Command{Use: "check FILE...", Short: "Read a trace and report the rows that can't be used", Args: cobra.MinimumNArgs(1),
		Long: "Read a trace and report the rows that can't be used. Files may be plain or gzip; - is standard input; several files are\nread as one. Exit code 1 if no row could be used."}
	var in traceInput
	in.addFlags(c)
	file := c.Flags().String("json", "", "file to write the result to")
	c.RunE = func(_ *cobra.Command, args []string) error {
		result := checkResult{Categories: map[string]int64{}, Unplaced: map[trace.Reason]int64{}}
		audit, err := in.read(t, args, func(task *trace.Task) error {
			if in.mapping != nil {
				result.countTask(in.mapping, task)
			}
			return nil
		})
		if err != nil {
			return err
		}
		result.addAudit(audit)
		if err := t.writeJSON(*file, result); err != nil {
			return err
		}
		t.printAudit(audit)
		t.printUnplaced(result.Unplaced)
		if audit.Accepted == 0 {
			return withExitFailed(fmt.Errorf("%s: no row could be used", strings.Join(args, ", ")))
		}
		return nil
	}
	return c
}
