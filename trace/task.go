package trace

import "container/heap"

// End is how a task ended.
type End int

const (
	Finished End = iota
	Failed
	Killed // by its user or by what it depended on
	Lost   // the trace lost sight of it
	Evicted
)

var ends = [...]string{"finished", "failed", "killed", "lost", "evicted"}

func (e End) String() string { return ends[e] }

// Task is one task of a trace: it came, ran once or more, and ended.
//
// A task that fails or is evicted, comes again and finishes is one task with several runs, not two: a client's
// retries belong to its first query, and counting it twice would ask for its value twice.
type Task struct {
	Line        int64   // of its first row
	At          Seconds // when it first came
	Duration    Seconds // of its last run
	End         End     // of its last run
	Runs        int
	FailedRuns  int // runs that failed or were evicted, the last one not counted
	User        string
	Job         string
	Kind        string // a word of the layout: a type, a class
	Machine     string
	Class       int
	Priority    int
	HasPriority bool // the layout has class and priority
	rows        int64
	moved       bool // a row of it came out of order
}

// order holds tasks back until no earlier one can come, and hands them on by their arrival. What would come too late
// is reported. It holds a bounded number: at the bound the earliest goes on, as if the window were shorter.
type reorderBuffer struct {
	audit *Audit
	heap  tasks
	most  int
	low   Seconds // nothing earlier is handed on any more
	any   bool
	seq   int64
	emit  func(*Task) error
	free  []*Task // that were handed on, to be used again
}

// fresh gives a task to fill in.
func (o *reorderBuffer) fresh() *Task {
	if n := len(o.free); n > 0 {
		t := o.free[n-1]
		o.free = o.free[:n-1]
		*t = Task{}
		return t
	}
	return &Task{}
}

// add takes a task.
func (o *reorderBuffer) add(t *Task) error {
	if o.any && t.At < o.low {
		o.audit.report(OutOfOrder, t.Line, t.rows)
		o.free = append(o.free, t)
		return nil
	}
	o.seq++
	o.heap = append(o.heap, waiting{t.At, o.seq, t})
	heap.Fix(&o.heap, len(o.heap)-1)
	if len(o.heap) > o.most {
		return o.hand()
	}
	return nil
}

// to hands on what came before a time.
func (o *reorderBuffer) to(low Seconds) error {
	for len(o.heap) > 0 && o.heap[0].at <= low {
		if err := o.hand(); err != nil {
			return err
		}
	}
	return nil
}

func (o *reorderBuffer) hand() error {
	t := o.heap.first().t
	o.low, o.any = t.At, true
	o.audit.Accepted += t.rows
	if t.moved {
		o.audit.Reordered += t.rows
	}
	o.audit.handed(t.At)
	err := o.emit(t)
	o.free = append(o.free, t)
	return err
}

// all hands on what is left.
func (o *reorderBuffer) all() error {
	for len(o.heap) > 0 {
		if err := o.hand(); err != nil {
			return err
		}
	}
	return nil
}

// waiting is a task that is held, beside what it is ordered by: a look at each task itself was a third of all reading.
type waiting struct {
	at  Seconds
	seq int64
	t   *Task
}

// tasks is a heap, the earliest first; it is filled and emptied by hand, as heap.Push would box each.
type tasks []waiting

func (q tasks) Len() int { return len(q) }
func (q tasks) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q tasks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *tasks) Push(x any)   { *q = append(*q, x.(waiting)) }
func (q *tasks) Pop() any     { return q.cut() }

// cut takes off the last one.
func (q *tasks) cut() waiting {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = waiting{}
	*q = (*q)[:last]
	return w
}

// first takes off the earliest.
func (q *tasks) first() waiting {
	q.Swap(0, len(*q)-1)
	w := q.cut()
	if len(*q) > 0 {
		heap.Fix(q, 0)
	}
	return w
}
