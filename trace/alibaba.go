package trace

// Columns of batch_instance of the 2018 cluster data that are used. Others are instance (0), task (1), the sequence's number
// and total (8, 9) and four of usage (10 to 13).
const (
	alibabaJob     = 2
	alibabaType    = 3
	alibabaStatus  = 4
	alibabaStart   = 5 // seconds
	alibabaEnd     = 6 // seconds
	alibabaMachine = 7
)

// alibabaRequired are the columns whose fields a row must have, whatever its status.
var alibabaRequired = [...]column{{0, "instance"}, {1, "task"}, {alibabaJob, "job"}, {alibabaType, "type"},
	{alibabaStatus, "status"}, {alibabaStart, "start"}}

var alibabaEnds = map[string]Outcome{"Terminated": Finished, "Failed": Failed, "Cancelled": Killed, "Interrupted": Evicted}

// alibabaOpen are the statuses of an instance that has not ended.
var alibabaOpen = map[string]bool{"Running": true, "Ready": true, "Waiting": true}

// alibaba2018 reads a row of batch_instance of the 2018 cluster data.
func alibaba2018(fields [][]byte, task *Task, words interner) Reason {
	if reason := checkPresent(fields, alibabaRequired[:]); reason != Accepted {
		return reason
	}
	end, ended := alibabaEnds[string(fields[alibabaStatus])]
	switch {
	case !ended && alibabaOpen[string(fields[alibabaStatus])]:
		return NeverEnded
	case !ended:
		return UnknownStatus
	case len(fields[alibabaEnd]) == 0:
		return missing("end")
	}
	from, fromOK := parseFloat(fields[alibabaStart])
	to, toOK := parseFloat(fields[alibabaEnd])
	switch {
	case !fromOK || !toOK:
		return NotANumber
	case from <= 0:
		return OutsideTrace
	case to < from:
		return EndBeforeStart
	}
	task.At, task.Duration = from, to-from
	task.Outcome, task.Runs = end, 1
	task.Job = words.intern(fields[alibabaJob])
	task.Kind = words.intern(fields[alibabaType])
	task.Machine = words.intern(fields[alibabaMachine])
	task.User = task.Job // the layout has no users
	return Accepted
}
