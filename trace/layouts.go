package trace

import (
	"math"
	"slices"
	"strconv"
	"unsafe"
)

// layout is one public form of trace. A new one takes an entry in layouts and a function of its own.
type layout struct {
	columns int
	header  []string // the first line, where the layout has one
	// One of the two is set: a row is a task, or an event of one. They get as many fields as there are columns, fill in
	// what a row says, and give the reason where it can't be used.
	task  func(fields [][]byte, task *Task, words interner) Reason
	event func(fields [][]byte, e *event, words interner) Reason
}

var layouts = map[string]layout{
	"google-2011":  {columns: 13, event: google2011},
	"alibaba-2018": {columns: 14, task: alibaba2018},
	"azure-2021":   {columns: 4, header: azureColumns[:], task: azure2021},
}

// Layouts lists the names of the layouts.
func Layouts() []string {
	var names []string
	for name := range layouts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// interner keeps strings that come again and again, so that each is allocated once.
type interner map[string]string

// maxWords bounds an interner; when it is full, it begins anew.
const maxWords = 1 << 15

func (w interner) intern(field []byte) string {
	if s, ok := w[string(field)]; ok {
		return s
	}
	if len(w) >= maxWords {
		clear(w)
	}
	s := string(field)
	w[s] = s
	return s
}

// stringOf gives a field as a string without a copy, for calls that don't keep it: numbers are parsed for each row.
func stringOf(field []byte) string { return unsafe.String(unsafe.SliceData(field), len(field)) }

func parseInt(field []byte) (int64, bool) {
	n, err := strconv.ParseInt(stringOf(field), 10, 64)
	return n, err == nil && field[0] != '+'
}

// maxNumber bounds numbers: no trace holds one past it.
const maxNumber = 1e12

func parseFloat(field []byte) (float64, bool) {
	v, err := strconv.ParseFloat(stringOf(field), 64)
	return v, err == nil && !math.IsNaN(v) && math.Abs(v) < maxNumber
}
