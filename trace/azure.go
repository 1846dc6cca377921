package trace

// Columns of the function invocations of 2021.
const (
	azureApp      = 0
	azureFunction = 1
	azureEnd      = 2 // seconds
	azureDuration = 3 // seconds
)

var azureColumns = [...]string{azureApp: "app", azureFunction: "func", azureEnd: "end_timestamp", azureDuration: "duration"}

// azure2021 reads a row of the function invocations of 2021. An invocation arrived at its end less its duration; the layout
// knows no failures.
func azure2021(fields [][]byte, task *Task, words interner) Reason {
	for i, name := range azureColumns {
		if len(fields[i]) == 0 {
			return missing(name)
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
	task.User = words.intern(fields[azureApp])
	task.Job = words.intern(fields[azureFunction])
	return Accepted
}
