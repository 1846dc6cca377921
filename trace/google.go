package trace

import "math"

// Columns of the table task_events of the Google cluster trace of 2011. The others are not used: missing_info (1) and
// four columns of requested resources (9 to 12).
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

// Special values in the time column.
const (
	googleBeforeStart = 0             // the event took place before the trace began
	googleAfterEnd    = math.MaxInt64 // the event took place after the trace ended
)

const microsecondsPerSecond = 1e6

// column is a required column and the name it has in a Reason.
type column struct {
	index int
	name  string
}

// Required columns: of every event, and of a submission besides.
var (
	googleRequired = [...]column{{googleTime, "time"}, {googleJob, "job"}, {googleTaskIndex, "task_index"},
		{googleEventType, "event_type"}}
	googleSubmitRequired = [...]column{{googleUser, "user"}, {googleClass, "class"}, {googlePriority, "priority"}}
)

// googleEvents holds the kind of event by event type. The last two types are updates of a pending and of a running task.
var googleEvents = [...]eventKind{submit, schedule, evict, fail, finish, kill, lose, update, update}

// google2011 parses a row of task_events.
func google2011(fields [][]byte, e *event, strs interner) Reason {
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
		return googleSubmit(fields, e, strs)
	case schedule:
		if len(fields[googleMachine]) == 0 {
			return missingReason("machine")
		}
		e.machine = strs.intern(fields[googleMachine])
	}
	return Accepted
}

// googleSubmit parses the columns that only a submission needs.
func googleSubmit(fields [][]byte, e *event, strs interner) Reason {
	if reason := checkPresent(fields, googleSubmitRequired[:]); reason != Accepted {
		return reason
	}
	class, classOK := parseInt(fields[googleClass])
	priority, priorityOK := parseInt(fields[googlePriority])
	if !classOK || !priorityOK {
		return NotANumber
	}
	e.name, e.user = strs.intern(fields[googleJob]), strs.intern(fields[googleUser])
	e.class, e.priority = int(class), int(priority)
	return Accepted
}

// checkPresent returns the reason for the first required column that is empty, or Accepted if there is none.
func checkPresent(fields [][]byte, required []column) Reason {
	for _, c := range required {
		if len(fields[c.index]) == 0 {
			return missingReason(c.name)
		}
	}
	return Accepted
}
