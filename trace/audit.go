// Package trace reads public cluster traces in CSV as load. Layouts, found by name, say what a row means; a join makes tasks
// of rows that are events; a window sorts tasks by their arrival; a Mapping says which request each becomes. An Audit counts
// every row as accepted or reports it under one reason: what is missing is never guessed.
//
// Read streams, in bounded memory whatever a file's size, on its caller's goroutine; all its state ends with the call. The
// package imports internal/xmlconfig, for mappings.
package trace

import (
	"cmp"
	"fmt"
	"slices"
)

// Seconds are of the trace's own clock.
type Seconds = float64

// Reason says why a row was left out, or why a task has no place in a mapping. The list is fixed; the reason for a missing
// field has the field's name behind it.
type Reason string

// The reasons for rows.
const (
	Accepted         Reason = ""             // none: the row was not left out
	OutOfOrder       Reason = "out_of_order" // older than what was handed on already, beyond the window
	MissingField     Reason = "missing"      // missing_NAME
	NotANumber       Reason = "not_a_number"
	NegativeDuration Reason = "negative_duration"
	EndBeforeStart   Reason = "end_before_start"
	UnknownStatus    Reason = "unknown_status"
	Duplicate        Reason = "duplicate" // the same event of the same task, or a task that stands twice
	WrongColumnCount Reason = "wrong_column_count"
	LongLine         Reason = "line_too_long"
	InvalidUTF8      Reason = "bad_utf8"
	StrayQuote       Reason = "stray_quote"
	Truncated        Reason = "truncated"   // the stream ends or breaks within the row
	NeverEnded       Reason = "never_ended" // its task has no end in the file, or none for longer than is waited
	NoSubmission     Reason = "no_submit"   // an event of a task whose submission was not seen
	OutsideTrace     Reason = "outside"     // before the trace's start mark or after its end
)

// missing is the reason for a field that a row or a task lacks.
func missing(field string) Reason { return MissingField + Reason("_"+field) }

// Audit counts what became of rows. Once the reading is over, Rows is Accepted plus all that is reported.
type Audit struct {
	Rows      int64
	Accepted  int64
	Reordered int64 // of the accepted ones, those that came out of order
	Reported  map[Reason]int64
	FirstLine map[Reason]int64 // line of the first row of each reason
	Tasks     int64            // handed on

	FirstArrival Seconds // first arrival handed on
	LastArrival  Seconds // last arrival handed on
	PeakRate     float64 // arrivals in the fullest second

	second         int64   // of the last arrival
	secondArrivals float64 // in that second so far
}

func newAudit() *Audit {
	return &Audit{Reported: map[Reason]int64{}, FirstLine: map[Reason]int64{}}
}

// report leaves out some rows of which the first stands on a line.
func (a *Audit) report(reason Reason, line, rows int64) {
	a.Reported[reason] += rows
	if first, ok := a.FirstLine[reason]; !ok || line < first {
		a.FirstLine[reason] = line
	}
}

// countTask counts a task that is handed on.
func (a *Audit) countTask(task *Task) {
	a.Accepted += task.rows
	if task.reordered {
		a.Reordered += task.rows
	}
	a.Tasks++
	first := a.Tasks == 1
	if first {
		a.FirstArrival = task.At
	}
	a.LastArrival = task.At
	if second := int64(task.At); first || second != a.second {
		a.second, a.secondArrivals = second, 0
	}
	a.secondArrivals++
	a.PeakRate = max(a.PeakRate, a.secondArrivals)
}

// MeanRate is the mean number of arrivals a second.
func (a *Audit) MeanRate() float64 {
	if a.LastArrival <= a.FirstArrival {
		return 0
	}
	return float64(a.Tasks) / (a.LastArrival - a.FirstArrival)
}

// ReportedRows is how many rows were left out.
func (a *Audit) ReportedRows() int64 {
	var rows int64
	for _, n := range a.Reported {
		rows += n
	}
	return rows
}

// Lines describes the rows that were left out, a line for each reason, the most frequent one first.
func (a *Audit) Lines() []string {
	var reasons []Reason
	for reason := range a.Reported {
		reasons = append(reasons, reason)
	}
	slices.SortFunc(reasons, func(x, y Reason) int {
		return cmp.Or(cmp.Compare(a.Reported[y], a.Reported[x]), cmp.Compare(x, y))
	})
	var lines []string
	for _, reason := range reasons {
		lines = append(lines, fmt.Sprintf("%s: %d rows, the first on line %d", reason, a.Reported[reason], a.FirstLine[reason]))
	}
	return lines
}
