// Package trace reads public cluster traces in CSV as load: layouts by name, a join of rows into tasks, a window that
// puts back in order what is out of it, and an audit in which every row is taken or reported under one reason. What is
// missing is never guessed. It streams, in bounded memory whatever a file's size; the caller brings the bytes.
package trace

import (
	"fmt"
	"sort"
)

// Seconds are of the trace's own clock.
type Seconds = float64

// Reason says why a row was left out. The list is fixed; a missing field's reason has the field's name behind it.
type Reason string

// The reasons.
const (
	Accepted         Reason = ""
	OutOfOrder       Reason = "out_of_order" // older than what was handed on already, beyond the window
	MissingField     Reason = "missing"      // missing_NAME
	NotANumber       Reason = "not_a_number"
	NegativeDuration Reason = "negative_duration"
	EndBeforeStart   Reason = "end_before_start"
	UnknownWord      Reason = "unknown_status"
	Duplicate        Reason = "duplicate" // the same event of the same task, or a task that stands twice
	ColumnCount      Reason = "wrong_column_count"
	LongLine         Reason = "line_too_long"
	InvalidUTF8      Reason = "bad_utf8"
	StrayQuote       Reason = "stray_quote"
	Truncated        Reason = "truncated"   // the file ends within a line, or within its compressed form
	NeverEnded       Reason = "never_ended" // its task has no end in the file, or none for longer than is waited
	NoSubmission     Reason = "no_submit"   // an event of a task whose submission was not seen
	Outside          Reason = "outside"     // before the trace's start mark or after its end
)

func missing(field string) Reason { return MissingField + Reason("_"+field) }

// Audit counts what became of rows. Rows is always Taken plus all that is reported, once the reading is over.
type Audit struct {
	Rows      int64
	Accepted  int64
	Reordered int64 // of the taken ones, those that came out of order
	Reported  map[Reason]int64
	FirstLine map[Reason]int64 // line of the first one of each
	Tasks     int64            // handed on

	From, To Seconds // first and last arrival handed on
	Peak     float64 // arrivals in the fullest second
	peakAt   int64
	peakN    float64
}

func newAudit() *Audit {
	return &Audit{Reported: map[Reason]int64{}, FirstLine: map[Reason]int64{}}
}

// report leaves out n rows, the first of them on a line.
func (a *Audit) report(r Reason, line, n int64) {
	a.Reported[r] += n
	if first, ok := a.FirstLine[r]; !ok || line < first {
		a.FirstLine[r] = line
	}
}

// handed notes a task that was handed on.
func (a *Audit) handed(at Seconds) {
	if a.Tasks++; a.Tasks == 1 {
		a.From = at
	}
	a.To = at
	if second := int64(at); second != a.peakAt || a.Tasks == 1 {
		a.peakAt, a.peakN = second, 0
	}
	if a.peakN++; a.peakN > a.Peak {
		a.Peak = a.peakN
	}
}

// Rate is the mean arrivals a second.
func (a *Audit) Rate() float64 {
	if a.To <= a.From {
		return 0
	}
	return float64(a.Tasks) / (a.To - a.From)
}

// Left is how many rows were reported.
func (a *Audit) ReportedRows() (n int64) {
	for _, c := range a.Reported {
		n += c
	}
	return n
}

// Lines tells the reported rows in words, the most frequent reason first.
func (a *Audit) Lines() (out []string) {
	var reasons []Reason
	for r := range a.Reported {
		reasons = append(reasons, r)
	}
	sort.Slice(reasons, func(i, j int) bool {
		x, y := reasons[i], reasons[j]
		return a.Reported[x] > a.Reported[y] || a.Reported[x] == a.Reported[y] && x < y
	})
	for _, r := range reasons {
		out = append(out, fmt.Sprintf("%s: %d rows, the first on line %d", r, a.Reported[r], a.FirstLine[r]))
	}
	return out
}
