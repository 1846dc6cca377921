package trace

import "container/heap"

// reorderBuffer holds tasks until no earlier one can come, and hands them on by arrival. A task that comes too late for that
// is reported. The buffer is bounded: when it is full, the earliest task goes on as if the window were shorter.
//
// Tasks that were handed on are used again, so a task is good only until emit returns.
type reorderBuffer struct {
	audit      *Audit
	emit       func(*Task) error
	maxTasks   int
	heap       taskHeap
	handedOn   bool    // a task was handed on,
	lastHanded Seconds // and that was its arrival: nothing earlier can be handed on any more
	sequence   int64   // of the last task that was added
	free       []*Task
}

// newTask gives an empty task to fill in.
func (b *reorderBuffer) newTask() *Task {
	n := len(b.free)
	if n == 0 {
		return &Task{}
	}
	task := b.free[n-1]
	b.free = b.free[:n-1]
	*task = Task{}
	return task
}

// recycle takes back a task that nobody uses any more.
func (b *reorderBuffer) recycle(task *Task) { b.free = append(b.free, task) }

// add takes a task.
func (b *reorderBuffer) add(task *Task) error {
	if b.handedOn && task.At < b.lastHanded {
		b.audit.report(OutOfOrder, task.Line, task.rows)
		b.recycle(task)
		return nil
	}
	b.sequence++
	b.heap.add(heldTask{task.At, b.sequence, task})
	if len(b.heap) > b.maxTasks {
		return b.handOn()
	}
	return nil
}

// releaseUntil hands on the tasks that arrived up to a time.
func (b *reorderBuffer) releaseUntil(at Seconds) error {
	for len(b.heap) > 0 && b.heap[0].at <= at {
		if err := b.handOn(); err != nil {
			return err
		}
	}
	return nil
}

// releaseAll hands on what is left.
func (b *reorderBuffer) releaseAll() error {
	for len(b.heap) > 0 {
		if err := b.handOn(); err != nil {
			return err
		}
	}
	return nil
}

// handOn hands on the earliest task.
func (b *reorderBuffer) handOn() error {
	task := b.heap.removeFirst().task
	b.handedOn, b.lastHanded = true, task.At
	b.audit.countTask(task)
	err := b.emit(task)
	b.recycle(task)
	return err
}

// heldTask is a task beside what it is sorted by: following the pointer at each comparison took a third of all reading.
type heldTask struct {
	at       Seconds
	sequence int64 // by which tasks of the same arrival keep their order
	task     *Task
}

// taskHeap is a heap with the earliest task first. It is filled by add and removeFirst, as heap.Push and heap.Pop would
// allocate for each task; they are there for heap.Interface alone.
type taskHeap []heldTask

// Len is of heap.Interface.
func (h taskHeap) Len() int { return len(h) }

// Less is of heap.Interface.
func (h taskHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Swap is of heap.Interface.
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is of heap.Interface.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(heldTask)) }

// Pop is of heap.Interface.
func (h *taskHeap) Pop() any { return h.removeLast() }

func (h *taskHeap) add(held heldTask) {
	*h = append(*h, held)
	heap.Fix(h, len(*h)-1)
}

func (h *taskHeap) removeFirst() heldTask {
	h.Swap(0, len(*h)-1)
	first := h.removeLast()
	if len(*h) > 0 {
		heap.Fix(h, 0)
	}
	return first
}

func (h *taskHeap) removeLast() heldTask {
	last := len(*h) - 1
	held := (*h)[last]
	(*h)[last] = heldTask{} // no longer keeps the task alive
	*h = (*h)[:last]
	return held
}
