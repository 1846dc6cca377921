package trace

// Outcome says how a task, or its last run, ended.
type Outcome int

// The outcomes.
const (
	Finished Outcome = iota
	Failed
	Killed // by its user or by something that it depended on
	Lost   // presumed to have ended: the trace has no record of the end
	Evicted
)

var outcomeNames = [...]string{"finished", "failed", "killed", "lost", "evicted"}

// String returns the name that a mapping uses for the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Task is one task of a trace, from its arrival to its end, with all of its runs.
//
// A task that fails or is evicted, is submitted again and finishes is one task with several runs, not two tasks: a client's
// retries belong to its first request, and two tasks would count its load twice.
type Task struct {
	Line        int64   // line number of its first row
	At          Seconds // arrival
	Duration    Seconds // of its last run
	Outcome     Outcome // of its last run
	Runs        int
	FailedRuns  int // runs that failed or were evicted, not counting the last run
	User        string
	Job         string
	Kind        string // task type, in layouts that have one
	Machine     string
	Class       int
	Priority    int
	HasPriority bool // Class and Priority are set

	rows      int64 // number of rows that describe the task
	reordered bool  // at least one of these rows was out of order
}
