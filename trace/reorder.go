package trace

import "container/heap"

// reorderBuffer holds tasks until no earlier one is expected, and emits them in the order of their arrivals. A task that is
// added after a later one was emitted is reported. The buffer is bounded: when it is full, it emits the earliest task, as if
// the window were shorter.
//
// Emitted tasks are reused, so a task is valid only until emit returns.
type reorderBuffer struct {
	audit       *Audit
	emit        func(*Task) error
	maxTasks    int
	heap        taskHeap
	anyEmitted  bool    // at least one task was emitted
	lastEmitted Seconds // arrival of the last one; no earlier task can be emitted any more. Valid if anyEmitted
	sequence    int64   // of the last task that was added
	free        []*Task // for reuse
}

// newTask returns an empty task, from the free list if there is one.
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

// recycle puts a task that is no longer used on the free list.
func (b *reorderBuffer) recycle(task *Task) { b.free = append(b.free, task) }

// add adds a task and takes ownership of it.
func (b *reorderBuffer) add(task *Task) error {
	if b.anyEmitted && task.At < b.lastEmitted {
		b.audit.report(OutOfOrder, task.Line, task.rows)
		b.recycle(task)
		return nil
	}
	b.sequence++
	b.heap.add(heapItem{task.At, b.sequence, task})
	if len(b.heap) > b.maxTasks {
		return b.emitEarliest()
	}
	return nil
}

// releaseUntil emits the tasks that arrived at or before a time.
func (b *reorderBuffer) releaseUntil(at Seconds) error {
	for len(b.heap) > 0 && b.heap[0].at <= at {
		if err := b.emitEarliest(); err != nil {
			return err
		}
	}
	return nil
}

// releaseAll emits the remaining tasks.
func (b *reorderBuffer) releaseAll() error {
	for len(b.heap) > 0 {
		if err := b.emitEarliest(); err != nil {
			return err
		}
	}
	return nil
}

// emitEarliest emits the earliest task.
func (b *reorderBuffer) emitEarliest() error {
	task := b.heap.removeFirst().task
	b.anyEmitted, b.lastEmitted = true, task.At
	b.audit.countTask(task)
	err := b.emit(task)
	b.recycle(task)
	return err
}

// heapItem is a task with a copy of its sort keys: following the pointer in each comparison took a third of the time of Read.
type heapItem struct {
	at       Seconds
	sequence int64 // keeps tasks with the same arrival in the order in which they were added
	task     *Task
}

// taskHeap is a heap with the earliest task first. Use add and removeFirst: heap.Push and heap.Pop would allocate memory for
// each task, and the methods Push and Pop exist only to implement heap.Interface.
type taskHeap []heapItem

// Len implements heap.Interface.
func (h taskHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h taskHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(heapItem)) }

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any { return h.removeLast() }

func (h *taskHeap) add(item heapItem) {
	*h = append(*h, item)
	heap.Fix(h, len(*h)-1)
}

func (h *taskHeap) removeFirst() heapItem {
	h.Swap(0, len(*h)-1)
	first := h.removeLast()
	if len(*h) > 0 {
		heap.Fix(h, 0)
	}
	return first
}

func (h *taskHeap) removeLast() heapItem {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = heapItem{} // drop the reference to the task
	*h = (*h)[:last]
	return item
}
