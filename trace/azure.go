package trace

// Columns of the Azure Functions invocation trace of 2021.
const (
	azureApp      = 0
	azureFunction = 1
	azureEnd      = 2 // seconds
	azureDuration = 3 // seconds
)

var azureColumns = [...]string{azureApp: "app", azureFunction: "func", azureEnd: "end_timestamp", azureDuration: "duration"}

// azure2021 parses one function invocation. A row has no start time, so the arrival is the end time minus the duration.
// This layout records no failures.
func azure2021(fields [][]byte, task *Task, strs interner) Reason {
	for i, name := range azureColumns {
		if len(fields[i]) == 0 {
			return missingReason(name)
		}
	}
	end, endOK := parseFloat(fields[azureEnd])
	duration, durationOK := parseFloat(fields[azureDuration])
	switch {
	case !endOK || !durationOK:
		return NotANumber
	case duration < 0:
		return NegativeDuration
	case end-duration < 0:
		return OutsideTrace
	}
	task.At, task.Duration = end-duration, duration
	task.Outcome, task.Runs = Finished, 1
	task.User = strs.intern(fields[azureApp])
	task.Job = strs.intern(fields[azureFunction])
	return Accepted
}
