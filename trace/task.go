package trace

// Outcome is how a task ended.
type Outcome int

// The ends.
const (
	Finished Outcome = iota
	Failed
	Killed // by its user or by what it depended on
	Lost   // the trace lost sight of it
	Evicted
)

var endNames = [...]string{"finished", "failed", "killed", "lost", "evicted"}

// String gives the word that a mapping uses for the end.
func (o Outcome) String() string { return endNames[o] }

// Task is one task of a trace: it arrived, ran once or more, and ended.
//
// A task that fails or is evicted, comes again and finishes is one task with several runs, not two: a client's retries
// belong to its first request, and counting it twice would count its weight twice.
type Task struct {
	Line        int64   // of its first row
	At          Seconds // arrival
	Duration    Seconds // of its last run
	Outcome     Outcome // of its last run
	Runs        int
	FailedRuns  int // runs that failed or were evicted, the last one not counted
	User        string
	Job         string
	Kind        string // a word of the layout, such as a type
	Machine     string
	Class       int
	Priority    int
	HasPriority bool // the layout has class and priority

	rows      int64 // that it was made of
	reordered bool  // one of them came out of order
}
