// Package trace reads public cluster traces in CSV and turns their tasks into requests to replay. A layout, selected by
// name, says what the columns of a row mean. Where rows are events, a join combines them into tasks. A reorder buffer sorts
// tasks by arrival, and a Mapping says which request each task becomes. An Audit counts every row, either as accepted or
// under the one reason why it was left out; missing values are never guessed.
//
// Read streams its input in bounded memory, whatever the size of a file. It runs on the caller's goroutine and keeps no
// state between calls. Mappings are parsed with internal/xmlconfig.
package trace

import (
	"cmp"
	"fmt"
	"slices"
)

// Seconds is a time or a duration on the clock of the trace.
type Seconds = float64

// Reason says why a row was left out, or why a mapping makes no request of a task. The list of reasons is fixed. The reason
// for a missing field ends in the name of the field.
type Reason string

// The reasons for rows.
const (
	Accepted         Reason = ""             // the row was not left out
	OutOfOrder       Reason = "out_of_order" // too late to be sorted: a later task was emitted already
	MissingField     Reason = "missing"      // missing_NAME
	NotANumber       Reason = "not_a_number"
	NegativeDuration Reason = "negative_duration"
	EndBeforeStart   Reason = "end_before_start"
	UnknownStatus    Reason = "unknown_status"
	Duplicate        Reason = "duplicate" // repeats an event of its task, or follows the end of the task
	WrongColumnCount Reason = "wrong_column_count"
	LongLine         Reason = "line_too_long"
	InvalidUTF8      Reason = "bad_utf8"
	StrayQuote       Reason = "stray_quote"
	Truncated        Reason = "truncated"   // the stream ends within the row, or reading it fails there
	NeverEnded       Reason = "never_ended" // no end of the task was read, by the end of the trace or within the limits of Options
	NoSubmission     Reason = "no_submit"   // an event of an unknown task: not submitted within the trace, or no longer remembered
	OutsideTrace     Reason = "outside"     // before the start of the trace or after its end
)

// missingReason returns the reason for a field that a row or a task lacks.
func missingReason(field string) Reason { return MissingField + Reason("_"+field) }

// Audit counts the rows of a trace. When the whole trace was read, Rows is the sum of Accepted and all counts of Reported.
type Audit struct {
	Rows      int64
	Accepted  int64
	Reordered int64            // accepted rows of tasks that had a row out of order
	Reported  map[Reason]int64 // rows that were left out
	FirstLine map[Reason]int64 // line number of the first row that was left out
	Tasks     int64            // tasks that were emitted

	FirstArrival Seconds // of the first task that was emitted
	LastArrival  Seconds // of the last task that was emitted
	PeakRate     float64 // most arrivals within one second of the clock of the trace

	second         int64   // the second of the last arrival
	secondArrivals float64 // arrivals in that second so far
}

func newAudit() *Audit {
	return &Audit{Reported: map[Reason]int64{}, FirstLine: map[Reason]int64{}}
}

// report counts rows that are left out; line is the line number of the first of them.
func (a *Audit) report(reason Reason, line, rows int64) {
	a.Reported[reason] += rows
	if first, ok := a.FirstLine[reason]; !ok || line < first {
		a.FirstLine[reason] = line
	}
}

// countTask counts a task that is emitted, and its rows.
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

// MeanRate returns the mean number of arrivals per second.
func (a *Audit) MeanRate() float64 {
	if a.LastArrival <= a.FirstArrival {
		return 0
	}
	return float64(a.Tasks) / (a.LastArrival - a.FirstArrival)
}

// ReportedRows returns the number of rows that were left out.
func (a *Audit) ReportedRows() int64 {
	var rows int64
	for _, n := range a.Reported {
		rows += n
	}
	return rows
}

// Lines describes the rows that were left out: one line of text for each reason, the most frequent reason first.
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
