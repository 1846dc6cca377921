package trace

import "math"

// Columns of task_events of the 2011 cluster data that are used. Others are missing_info (1) and four requests (9 to 12).
const (
	googleTime      = 0 // microseconds
	googleJob       = 2
	googleTaskIndex = 3
	googleMachine   = 4
	googleEventType = 5
	googleUser      = 6
	googleClass     = 7
	googlePriority  = 8
)

// Times that are marks.
const (
	googleBeforeStart = 0             // of what was there before the trace began
	googleAfterEnd    = math.MaxInt64 // of what came after its end
)

const microsecondsPerSecond = 1e6

// column is a column whose field a row must have, and its name in reasons.
type column struct {
	place int
	name  string
}

var (
	googleRequired = [...]column{{googleTime, "time"}, {googleJob, "job"}, {googleTaskIndex, "task_index"},
		{googleEventType, "event_type"}}
	googleSubmitRequired = [...]column{{googleUser, "user"}, {googleClass, "class"}, {googlePriority, "priority"}}
)

// googleEvents gives the kind of event for each event type. The last two are updates of a task that waits and one that runs.
var googleEvents = [...]eventKind{submit, schedule, evict, fail, finish, kill, lose, update, update}

// google2011 reads a row of task_events of the 2011 cluster data.
func google2011(fields [][]byte, e *event, words interner) Reason {
	if reason := checkPresent(fields, googleRequired[:]); reason != Accepted {
		return reason
	}
	at, atOK := parseInt(fields[googleTime])
	eventType, typeOK := parseInt(fields[googleEventType])
	job, jobOK := parseInt(fields[googleJob])
	index, indexOK := parseInt(fields[googleTaskIndex])
	if !atOK || !typeOK || !jobOK || !indexOK {
		return NotANumber
	}
	if at <= googleBeforeStart || at == googleAfterEnd {
		return OutsideTrace
	}
	if eventType < 0 || eventType >= int64(len(googleEvents)) {
		return UnknownStatus
	}
	e.at, e.kind, e.job, e.index = float64(at)/microsecondsPerSecond, googleEvents[eventType], job, index
	switch e.kind {
	case submit:
		return googleSubmit(fields, e, words)
	case schedule:
		if len(fields[googleMachine]) == 0 {
			return missing("machine")
		}
		e.machine = words.intern(fields[googleMachine])
	}
	return Accepted
}

// googleSubmit reads what only a submission has.
func googleSubmit(fields [][]byte, e *event, words interner) Reason {
	if reason := checkPresent(fields, googleSubmitRequired[:]); reason != Accepted {
		return reason
	}
	class, classOK := parseInt(fields[googleClass])
	priority, priorityOK := parseInt(fields[googlePriority])
	if !classOK || !priorityOK {
		return NotANumber
	}
	e.name, e.user = words.intern(fields[googleJob]), words.intern(fields[googleUser])
	e.class, e.priority = int(class), int(priority)
	return Accepted
}

// checkPresent gives the reason for the first of the columns that is empty.
func checkPresent(fields [][]byte, required []column) Reason {
	for _, c := range required {
		if len(fields[c.place]) == 0 {
			return missing(c.name)
		}
	}
	return Accepted
}
