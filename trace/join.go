package trace

import "container/list"

// eventKind is what happened to a task.
type eventKind int

const (
	submit eventKind = iota
	schedule
	evict
	fail
	finish
	kill
	lose
	update // changes what the task requests, not when it starts or ends
)

// outcomeOf holds the outcome of a run by the kind of event that ends it.
var outcomeOf = [...]Outcome{evict: Evicted, fail: Failed, finish: Finished, kill: Killed, lose: Lost}

// event is a row of a layout whose rows are events.
type event struct {
	line     int64
	at       Seconds
	job      int64
	index    int64
	kind     eventKind
	name     string // of the job
	user     string
	machine  string
	class    int
	priority int
}

// taskKey identifies a task within a trace.
type taskKey struct{ job, index int64 }

// openTask is a task that was submitted and is either not ended or may still be retried.
type openTask struct {
	key          taskKey
	task         Task
	running      bool
	started      Seconds       // start of the current run
	retryable    bool          // the last run failed or was evicted, and the task may be submitted again
	endedAt      Seconds       // end of that run
	ageElement   *list.Element // in eventJoin.byAge
	retryElement *list.Element // in eventJoin.retries; nil if the task is not retryable
}

// eventJoin combines events into tasks. It keeps a task from its submission to its end. After a run that failed or was
// evicted it keeps the task for the retry window, because the task may be submitted again. Tasks without an end must not use
// up the memory: a task that is open for longer than maxOpenTime, or the oldest one when maxTasks are open, is dropped and
// its rows are reported.
type eventJoin struct {
	audit       *Audit
	buffer      *reorderBuffer
	maxOpenTime Seconds
	retryWindow Seconds
	maxTasks    int

	open          map[taskKey]*openTask
	byAge         *list.List  // *openTask in the order of their submissions
	retries       *list.List  // retryable *openTask in the order in which their runs ended
	recentlyEnded *recentKeys // distinguishes an event after the end of a task from one without a submission
	free          []*openTask // for reuse
	hasEvents     bool        // at least one event was added
	now           Seconds     // latest time of all events so far; valid if hasEvents
}

func newEventJoin(audit *Audit, buffer *reorderBuffer, o Options) *eventJoin {
	return &eventJoin{
		audit:         audit,
		buffer:        buffer,
		maxOpenTime:   o.MaxOpenTime,
		retryWindow:   o.RetryWindow,
		maxTasks:      o.MaxTasks,
		open:          map[taskKey]*openTask{},
		byAge:         list.New(),
		retries:       list.New(),
		recentlyEnded: newRecentKeys(o.MaxTasks),
	}
}

// add processes the next event of the trace.
func (j *eventJoin) add(e event) error {
	reordered := j.hasEvents && e.at < j.now
	if !reordered {
		j.hasEvents, j.now = true, e.at
	}
	key := taskKey{e.job, e.index}
	open := j.open[key]
	if open == nil && e.kind != submit {
		j.audit.report(j.orphanReason(key), e.line, 1)
		return j.release()
	}
	if open != nil && reordered {
		open.task.reordered = true
	}
	reason, err := j.apply(e, open)
	if err != nil {
		return err
	}
	if reason != Accepted {
		j.audit.report(reason, e.line, 1)
		return nil
	}
	return j.release()
}

// orphanReason returns the reason for an event of a task that is not open.
func (j *eventJoin) orphanReason(key taskKey) Reason {
	if j.recentlyEnded.has(key) {
		return Duplicate
	}
	return NoSubmission
}

// apply updates a task with an event, or returns the reason why the event is invalid. The task is nil if it is not open; the
// event is then a submission.
func (j *eventJoin) apply(e event, open *openTask) (Reason, error) {
	switch e.kind {
	case submit:
		return j.submit(e, open)
	case schedule:
		return open.schedule(e), nil
	case update:
		open.task.rows++
		return Accepted, nil
	}
	return j.endRun(e, open)
}

// submit opens a task, or prepares the next run of a task whose last run failed or was evicted.
func (j *eventJoin) submit(e event, open *openTask) (Reason, error) {
	if open != nil && !open.retryable {
		return Duplicate, nil
	}
	if open == nil {
		if len(j.open) >= j.maxTasks {
			if err := j.expire(firstTask(j.byAge)); err != nil {
				return Accepted, err
			}
		}
		open = j.openTask(e)
	}
	j.endRetry(open)
	open.running = false
	open.task.rows++
	return Accepted, nil
}

// openTask adds the task that a submission describes.
func (j *eventJoin) openTask(e event) *openTask {
	open := j.newOpenTask()
	open.key = taskKey{e.job, e.index}
	open.task = Task{
		Line:        e.line,
		At:          e.at,
		User:        e.user,
		Job:         e.name,
		Class:       e.class,
		Priority:    e.priority,
		HasPriority: true,
	}
	open.ageElement = j.byAge.PushBack(open)
	j.open[open.key] = open
	j.recentlyEnded.remove(open.key)
	return open
}

// schedule starts a run.
func (o *openTask) schedule(e event) Reason {
	if o.running || o.retryable {
		return Duplicate
	}
	if e.at < o.task.At {
		return EndBeforeStart
	}
	o.running, o.started = true, e.at
	o.task.Machine = e.machine
	o.task.Runs++
	o.task.rows++
	return Accepted
}

// endRun ends the current run, or a task that never ran.
func (j *eventJoin) endRun(e event, open *openTask) (Reason, error) {
	if open.retryable {
		return Duplicate, nil
	}
	from := open.task.At
	if open.running {
		from = open.started
	}
	if e.at < from {
		return EndBeforeStart, nil
	}
	open.task.Duration = 0
	if open.running {
		open.task.Duration = e.at - open.started
	}
	open.running = false
	open.task.Outcome = outcomeOf[e.kind]
	open.task.rows++
	if e.kind == fail || e.kind == evict {
		open.retryable, open.endedAt = true, e.at
		open.retryElement = j.retries.PushBack(open)
		open.task.FailedRuns++
		return Accepted, nil
	}
	return Accepted, j.complete(open)
}

// endRetry marks a task as no longer retryable.
func (j *eventJoin) endRetry(open *openTask) {
	if open.retryElement != nil {
		j.retries.Remove(open.retryElement)
	}
	open.retryElement, open.retryable = nil, false
}

// complete passes a task that has ended, and will not be retried, to the reorder buffer.
func (j *eventJoin) complete(open *openTask) error {
	if open.retryable { // it was not submitted again: the failed run is the last one, which FailedRuns does not count
		open.task.FailedRuns--
	}
	j.remove(open)
	j.recentlyEnded.add(open.key)
	task := j.buffer.newTask()
	*task = open.task
	j.free = append(j.free, open)
	return j.buffer.add(task)
}

// expire drops a task that has no end and reports its rows. A task that only waits for a retry has ended and is completed.
func (j *eventJoin) expire(open *openTask) error {
	if open.retryable {
		return j.complete(open)
	}
	j.remove(open)
	j.audit.report(NeverEnded, open.task.Line, open.task.rows)
	return nil
}

func (j *eventJoin) remove(open *openTask) {
	j.endRetry(open)
	j.byAge.Remove(open.ageElement)
	delete(j.open, open.key)
}

// newOpenTask returns an empty openTask, from the free list if there is one.
func (j *eventJoin) newOpenTask() *openTask {
	n := len(j.free)
	if n == 0 {
		return &openTask{}
	}
	open := j.free[n-1]
	j.free = j.free[:n-1]
	*open = openTask{}
	return open
}

// release completes the tasks whose retry window is over and drops those that have been open for too long. It then
// releases from the reorder buffer the tasks that no open task can precede any more.
func (j *eventJoin) release() error {
	for open := firstTask(j.retries); open != nil && j.now-open.endedAt > j.retryWindow; open = firstTask(j.retries) {
		if err := j.complete(open); err != nil {
			return err
		}
	}
	for open := firstTask(j.byAge); open != nil && j.now-open.task.At > j.maxOpenTime; open = firstTask(j.byAge) {
		if err := j.expire(open); err != nil {
			return err
		}
	}
	if oldest := firstTask(j.byAge); oldest != nil {
		return j.buffer.releaseUntil(min(oldest.task.At, j.now))
	}
	return j.buffer.releaseUntil(j.now)
}

// end processes the end of the trace: it drops the tasks that are still open and emits all others.
func (j *eventJoin) end() error {
	for open := firstTask(j.byAge); open != nil; open = firstTask(j.byAge) {
		if err := j.expire(open); err != nil {
			return err
		}
	}
	return j.buffer.releaseAll()
}

// firstTask returns the first task of a list, or nil if the list is empty.
func firstTask(tasks *list.List) *openTask {
	element := tasks.Front()
	if element == nil {
		return nil
	}
	return element.Value.(*openTask)
}

// recentKeys is a set of the most recently added keys, of bounded size.
type recentKeys struct {
	positions map[taskKey]int // position in ring, from 1 on
	ring      []taskKey
	next      int
}

func newRecentKeys(size int) *recentKeys {
	return &recentKeys{positions: map[taskKey]int{}, ring: make([]taskKey, max(size, 1))}
}

func (r *recentKeys) add(key taskKey) {
	position := r.next + 1
	// A key that was removed or added again in the meantime has another position or none.
	if oldest := r.ring[r.next]; r.positions[oldest] == position {
		delete(r.positions, oldest)
	}
	r.ring[r.next] = key
	r.positions[key] = position
	r.next = (r.next + 1) % len(r.ring)
}

func (r *recentKeys) has(key taskKey) bool { return r.positions[key] > 0 }
func (r *recentKeys) remove(key taskKey)   { delete(r.positions, key) }
