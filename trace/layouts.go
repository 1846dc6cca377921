package trace

import (
	"math"
	"sort"
	"strconv"
	"unsafe"
)

// layout is one public form of trace. Adding one touches nothing but this list and a function of its own.
type layout struct {
	columns int
	header  []string // the first line, where the layout has one
	// Of the two, one is set: a row is a task, or an event of one.
	task  func(f [][]byte, t *Task, w interner) Reason
	event func(f [][]byte, e *event, w interner) Reason
}

var azureHeader = []string{"app", "func", "end_timestamp", "duration"}

var layouts = map[string]layout{
	"google-2011":  {columns: 13, event: google2011},
	"alibaba-2018": {columns: 14, task: alibaba2018},
	"azure-2021":   {columns: 4, header: azureHeader, task: azure2021},
}

// Layouts lists the names.
func Layouts() (out []string) {
	for name := range layouts {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// words keeps strings that come again and again, within a bound.
type interner map[string]string

const maxWords = 1 << 15

func (w interner) of(b []byte) string {
	if s, ok := w[string(b)]; ok {
		return s
	}
	if len(w) >= maxWords {
		clear(w)
	}
	s := string(b)
	w[s] = s
	return s
}

// text gives bytes as a string for a call that does not keep it.
func text(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

func whole(b []byte) (int64, bool) {
	n, err := strconv.ParseInt(text(b), 10, 64)
	return n, err == nil && b[0] != '+'
}

// decimal reads a number of seconds; numbers that no trace holds are none.
func decimal(b []byte) (float64, bool) {
	v, err := strconv.ParseFloat(text(b), 64)
	return v, err == nil && !math.IsNaN(v) && math.Abs(v) < 1e12
}

const perMicro = 1e6

// google2011 reads task_events of the 2011 cluster data: time in microseconds, missing info, job, task index, machine,
// event type, user, scheduling class, priority, and four columns of requests that are not used. Time 0 is what was there
// before the trace began, the highest number what came after its end.
func google2011(f [][]byte, e *event, w interner) Reason {
	for _, c := range googleNeeds {
		if len(f[c.at]) == 0 {
			return missing(c.name)
		}
	}
	at, ok := whole(f[0])
	kind, ok2 := whole(f[5])
	job, ok3 := whole(f[2])
	index, ok4 := whole(f[3])
	if !ok || !ok2 || !ok3 || !ok4 {
		return NotANumber
	}
	if at <= 0 || at == math.MaxInt64 {
		return Outside
	}
	switch kind {
	case 0, 1, 2, 3, 4, 5, 6:
		e.kind = eventKind(kind)
	case 7, 8:
		e.kind = update
	default:
		return UnknownWord
	}
	e.at, e.job, e.index = float64(at)/perMicro, job, index
	e.class, e.priority = -1, -1
	if e.kind == submit {
		for i, name := range [...]string{"user", "class", "priority"} {
			if len(f[6+i]) == 0 {
				return missing(name)
			}
		}
		class, ok := whole(f[7])
		priority, ok2 := whole(f[8])
		if !ok || !ok2 {
			return NotANumber
		}
		e.name, e.user, e.class, e.priority = w.of(f[2]), w.of(f[6]), int(class), int(priority)
	}
	if e.kind == schedule {
		if len(f[4]) == 0 {
			return missing("machine")
		}
		e.machine = w.of(f[4])
	}
	return Accepted
}

var googleNeeds = [...]struct {
	at   int
	name string
}{{0, "time"}, {2, "job"}, {3, "task_index"}, {5, "event_type"}}

var alibabaEnds = map[string]End{"Terminated": Finished, "Failed": Failed, "Cancelled": Killed, "Interrupted": Evicted}

// alibaba2018 reads batch_instance of the 2018 cluster data: instance, task, job, type, status, start and end in seconds,
// machine, sequence, total, and four columns of usage that are not used.
func alibaba2018(f [][]byte, t *Task, w interner) Reason {
	for i, name := range [...]string{"instance", "task", "job", "type", "status", "start"} {
		if len(f[i]) == 0 {
			return missing(name)
		}
	}
	end, known := alibabaEnds[string(f[4])]
	if !known {
		if s := string(f[4]); s == "Running" || s == "Ready" || s == "Waiting" {
			return NeverEnded
		}
		return UnknownWord
	}
	if len(f[6]) == 0 {
		return missing("end")
	}
	from, ok := decimal(f[5])
	to, ok2 := decimal(f[6])
	switch {
	case !ok || !ok2:
		return NotANumber
	case from <= 0:
		return Outside
	case to < from:
		return EndBeforeStart
	}
	t.At, t.Duration, t.End, t.Runs = from, to-from, end, 1
	t.Job, t.Kind, t.Machine = w.of(f[2]), w.of(f[3]), w.of(f[7])
	t.User = t.Job
	return Accepted
}

// azure2021 reads function invocations: application, function, end and duration in seconds. They came at their end less
// their duration; the layout tells of no failures.
func azure2021(f [][]byte, t *Task, w interner) Reason {
	for i, name := range azureHeader {
		if len(f[i]) == 0 {
			return missing(name)
		}
	}
	end, ok := decimal(f[2])
	took, ok2 := decimal(f[3])
	switch {
	case !ok || !ok2:
		return NotANumber
	case took < 0:
		return NegativeDuration
	case end-took < 0:
		return Outside
	}
	t.At, t.Duration, t.End, t.Runs = end-took, took, Finished, 1
	t.User, t.Job = w.of(f[0]), w.of(f[1])
	return Accepted
}
