package trace

import (
	"math"
	"slices"
	"strconv"
	"unsafe"
)

// layout describes one public trace format. A new format needs an entry in layouts and a parse function.
type layout struct {
	columns int
	header  []string // names in the first line; nil if the layout has no header
	// Exactly one of the two is set: a row is either a whole task or an event of a task. The function gets as many fields as
	// there are columns. It fills in the task or event, or returns the reason why the row can't be used.
	task  func(fields [][]byte, task *Task, strs interner) Reason
	event func(fields [][]byte, e *event, strs interner) Reason
}

var layouts = map[string]layout{
	"google-2011":  {columns: 13, event: google2011},
	"alibaba-2018": {columns: 14, task: alibaba2018},
	"azure-2021":   {columns: 4, header: azureColumns[:], task: azure2021},
}

// Layouts returns the names of all layouts, sorted.
func Layouts() []string {
	var names []string
	for name := range layouts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// interner holds strings that occur in many rows, so that each is allocated only once.
type interner map[string]string

// maxInterned limits the number of strings in an interner, which is cleared when it is full.
const maxInterned = 1 << 15

func (in interner) intern(field []byte) string {
	if s, ok := in[string(field)]; ok {
		return s
	}
	if len(in) >= maxInterned {
		clear(in)
	}
	s := string(field)
	in[s] = s
	return s
}

// stringOf returns a field as a string without copying it, because numbers are parsed in every row. The string must not be
// kept: the field is overwritten by the next row.
func stringOf(field []byte) string { return unsafe.String(unsafe.SliceData(field), len(field)) }

func parseInt(field []byte) (int64, bool) {
	n, err := strconv.ParseInt(stringOf(field), 10, 64)
	return n, err == nil && field[0] != '+'
}

// maxNumber limits the absolute value of a number; no trace contains a larger one.
const maxNumber = 1e12

func parseFloat(field []byte) (float64, bool) {
	v, err := strconv.ParseFloat(stringOf(field), 64)
	return v, err == nil && !math.IsNaN(v) && math.Abs(v) < maxNumber
}
