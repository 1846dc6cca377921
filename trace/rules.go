package trace

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// field is a field of a task that a mapping may look at.
type field int

const (
	fieldClass field = iota
	fieldPriority
	fieldKind
	fieldStatus
	fieldUser
	fieldJob
	fieldMachine
	fieldDuration
)

var fieldNames = [...]string{
	fieldClass:    "class",
	fieldPriority: "priority",
	fieldKind:     "kind",
	fieldStatus:   "status",
	fieldUser:     "user",
	fieldJob:      "job",
	fieldMachine:  "machine",
	fieldDuration: "duration",
}

// String gives the name that mappings and reasons use.
func (f field) String() string { return fieldNames[f] }

// isNumber says whether the field is a number; others are words.
func (f field) isNumber() bool { return f == fieldClass || f == fieldPriority || f == fieldDuration }

// word gives a field as a word, and whether the task has it.
func (t *Task) word(f field) (string, bool) {
	switch f {
	case fieldKind:
		return t.Kind, t.Kind != ""
	case fieldStatus:
		return t.Outcome.String(), true
	case fieldUser:
		return t.User, t.User != ""
	case fieldJob:
		return t.Job, t.Job != ""
	case fieldMachine:
		return t.Machine, t.Machine != ""
	}
	n, ok := t.number(f)
	return strconv.FormatFloat(n, 'g', -1, 64), ok
}

// number gives a field as a number, and whether the task has it. Words are no numbers.
func (t *Task) number(f field) (float64, bool) {
	switch f {
	case fieldClass:
		return float64(t.Class), t.HasPriority
	case fieldPriority:
		return float64(t.Priority), t.HasPriority
	case fieldDuration:
		return t.Duration, true
	}
	return 0, false
}

// condition is part of a rule.
type condition interface {
	// holds says whether the condition holds for a task. Where the task lacks the field, it does not, and the reason says so.
	holds(task *Task) (bool, Reason)
}

// wordCondition holds where a field is one of some words.
type wordCondition struct {
	field field
	words []string
}

func (c wordCondition) holds(task *Task) (bool, Reason) {
	word, ok := task.word(c.field)
	if !ok {
		return false, missing(c.field.String())
	}
	return slices.Contains(c.words, word), Accepted
}

// rangeCondition holds where a field is a number within bounds, both included.
type rangeCondition struct {
	field    field
	from, to float64
}

func (c rangeCondition) holds(task *Task) (bool, Reason) {
	number, ok := task.number(c.field)
	if !ok {
		return false, missing(c.field.String())
	}
	return number >= c.from && number <= c.to, Accepted
}

// hashCondition holds for a share of all values of a field: those whose hashes lie from one place, included, to another, as
// hashShare gives it.
type hashCondition struct {
	field    field
	from, to float64
}

func (c hashCondition) holds(task *Task) (bool, Reason) {
	word, ok := task.word(c.field)
	if !ok {
		return false, missing(c.field.String())
	}
	place := hashShare(word)
	return place >= c.from && place < c.to, Accepted
}

// hashShare gives the place of a word's hash among all, from 0 to 1.
func hashShare(word string) float64 {
	const precision = 53 // bits of a float64
	return float64(xxhash.Sum64String(word)>>(64-precision)) / (1 << precision)
}

// rule matches a task where all of its conditions hold.
type rule struct{ conditions []condition }

// matches says whether the rule matches a task, and gives the reason of the condition that failed where there is one.
func (r rule) matches(task *Task) (bool, Reason) {
	for _, c := range r.conditions {
		if holds, reason := c.holds(task); !holds {
			return false, reason
		}
	}
	return true, Accepted
}

// firstMatch gives the place of the first rule that matches a task. Where none does it gives -1 and the reason: the first
// field that the task lacked, or else noMatch.
func firstMatch(rules []rule, task *Task, noMatch Reason) (int, Reason) {
	reason := noMatch
	for i := range rules {
		matches, lacks := rules[i].matches(task)
		if matches {
			return i, Accepted
		}
		if lacks != Accepted && reason == noMatch {
			reason = lacks
		}
	}
	return -1, reason
}
