package trace

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// field is a field of a task that the conditions of a mapping may test.
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

// String returns the name of the field in mappings and reasons.
func (f field) String() string { return fieldNames[f] }

// isNumeric reports whether the field is a number. All other fields are strings.
func (f field) isNumeric() bool { return f == fieldClass || f == fieldPriority || f == fieldDuration }

// stringValue returns a field as a string, and whether the task has it.
func (t *Task) stringValue(f field) (string, bool) {
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
	n, ok := t.numericValue(f)
	return strconv.FormatFloat(n, 'g', -1, 64), ok
}

// numericValue returns a numeric field, and whether the task has it. It returns false for fields that are strings.
func (t *Task) numericValue(f field) (float64, bool) {
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

// condition is a test of one field of a task.
type condition interface {
	// holds reports whether the condition holds for a task. If the task lacks the field, it does not hold, and the reason is
	// that of the missing field.
	holds(task *Task) (bool, Reason)
}

// oneOfCondition holds if a field has one of the values.
type oneOfCondition struct {
	field  field
	values []string
}

func (c oneOfCondition) holds(task *Task) (bool, Reason) {
	value, ok := task.stringValue(c.field)
	if !ok {
		return false, missingReason(c.field.String())
	}
	return slices.Contains(c.values, value), Accepted
}

// rangeCondition holds if a numeric field is in the range, both ends included.
type rangeCondition struct {
	field    field
	from, to float64
}

func (c rangeCondition) holds(task *Task) (bool, Reason) {
	number, ok := task.numericValue(c.field)
	if !ok {
		return false, missingReason(c.field.String())
	}
	return number >= c.from && number <= c.to, Accepted
}

// hashCondition selects a share of all values of a field. It holds if the hashFraction of the value is at least from and less
// than to.
type hashCondition struct {
	field    field
	from, to float64
}

func (c hashCondition) holds(task *Task) (bool, Reason) {
	value, ok := task.stringValue(c.field)
	if !ok {
		return false, missingReason(c.field.String())
	}
	fraction := hashFraction(value)
	return fraction >= c.from && fraction < c.to, Accepted
}

// hashFraction maps the hash of a string to a number of at least 0 and less than 1.
func hashFraction(text string) float64 {
	const precision = 53 // bits in the significand of a float64
	return float64(xxhash.Sum64String(text)>>(64-precision)) / (1 << precision)
}

// rule matches a task if all of its conditions hold for it. A rule without conditions matches every task.
type rule struct{ conditions []condition }

// matches reports whether the rule matches a task. If a condition fails because the task lacks a field, the reason says so.
func (r rule) matches(task *Task) (bool, Reason) {
	for _, c := range r.conditions {
		if holds, reason := c.holds(task); !holds {
			return false, reason
		}
	}
	return true, Accepted
}

// firstMatch returns the index of the first rule that matches a task. If none does, it returns -1 and a reason: the first
// field that a rule tested and the task lacks, or noMatch if the task lacks none.
func firstMatch(rules []rule, task *Task, noMatch Reason) (int, Reason) {
	reason := noMatch
	for i := range rules {
		matches, mismatch := rules[i].matches(task)
		if matches {
			return i, Accepted
		}
		if mismatch != Accepted && reason == noMatch {
			reason = mismatch
		}
	}
	return -1, reason
}
