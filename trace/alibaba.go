package trace

// Columns of the table batch_instance of the Alibaba cluster trace of 2018. The others are not used: sequence number and
// total (8 and 9) and four columns of resource usage (10 to 13).
const (
	alibabaInstance = 0
	alibabaTask     = 1
	alibabaJob      = 2
	alibabaType     = 3
	alibabaStatus   = 4
	alibabaStart    = 5 // seconds
	alibabaEnd      = 6 // seconds
	alibabaMachine  = 7
)

// alibabaRequired lists the columns that must not be empty, whatever the status of the row.
var alibabaRequired = [...]column{{alibabaInstance, "instance"}, {alibabaTask, "task"}, {alibabaJob, "job"}, {alibabaType, "type"},
	{alibabaStatus, "status"}, {alibabaStart, "start"}}

// alibabaOutcomes holds the outcome for each status of an instance that has ended.
var alibabaOutcomes = map[string]Outcome{"Terminated": Finished, "Failed": Failed, "Cancelled": Killed, "Interrupted": Evicted}

// alibabaUnfinished holds the statuses of an instance that has not ended yet.
var alibabaUnfinished = map[string]bool{"Running": true, "Ready": true, "Waiting": true}

// alibaba2018 parses a row of batch_instance.
func alibaba2018(fields [][]byte, task *Task, strs interner) Reason {
	if reason := checkPresent(fields, alibabaRequired[:]); reason != Accepted {
		return reason
	}
	outcome, ended := alibabaOutcomes[string(fields[alibabaStatus])]
	switch {
	case !ended && alibabaUnfinished[string(fields[alibabaStatus])]:
		return NeverEnded
	case !ended:
		return UnknownStatus
	case len(fields[alibabaEnd]) == 0:
		return missingReason("end")
	}
	start, startOK := parseFloat(fields[alibabaStart])
	end, endOK := parseFloat(fields[alibabaEnd])
	switch {
	case !startOK || !endOK:
		return NotANumber
	case start <= 0:
		return OutsideTrace
	case end < start:
		return EndBeforeStart
	}
	task.At, task.Duration = start, end-start
	task.Outcome, task.Runs = outcome, 1
	task.Job = strs.intern(fields[alibabaJob])
	task.Kind = strs.intern(fields[alibabaType])
	task.Machine = strs.intern(fields[alibabaMachine])
	task.User = task.Job // this layout has no user column
	return Accepted
}
