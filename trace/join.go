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
	update // of what the task asks for, not of when it comes or ends
)

// endOf gives the end that an event brings.
var endOf = [...]Outcome{evict: Evicted, fail: Failed, finish: Finished, kill: Killed, lose: Lost}

// event is a row of a layout whose rows are events of tasks.
type event struct {
	line     int64
	at       Seconds
	job      int64
	index    int64
	kind     eventKind
	name     string // the job's
	user     string
	machine  string
	class    int
	priority int
}

// taskKey names a task within a trace.
type taskKey struct{ job, index int64 }

// openTask is a task that was submitted and has not ended for good.
type openTask struct {
	key       taskKey
	task      Task
	running   bool
	started   Seconds // of its present run
	retryable bool    // its last run failed or was evicted, and it may come again
	endedAt   Seconds // of that run
	inByAge   *list.Element
	inRetries *list.Element // nil where it is not retryable
}

// eventJoin makes tasks of events. It keeps a task from its submission to its end, and for the retry window after a run
// that failed or was evicted, since it may come again. Tasks that never end must not fill the memory: one that is open for
// longer than maxOpenTime, or the oldest one where maxTasks are open, is forgotten and reported.
type eventJoin struct {
	audit       *Audit
	buffer      *reorderBuffer
	maxOpenTime Seconds
	retryWindow Seconds
	maxTasks    int

	open    map[taskKey]*openTask
	byAge   *list.List  // of *openTask, in the order of their submissions
	retries *list.List  // of *openTask that are retryable, in the order of their ends
	ended   *recentKeys // for telling a second end from one without a submission
	free    []*openTask // that can be used again
	any     bool        // an event was added,
	now     Seconds     // and that is the latest time of any
}

func newEventJoin(audit *Audit, buffer *reorderBuffer, o Options) *eventJoin {
	return &eventJoin{
		audit:       audit,
		buffer:      buffer,
		maxOpenTime: o.MaxOpenTime,
		retryWindow: o.RetryWindow,
		maxTasks:    o.MaxTasks,
		open:        map[taskKey]*openTask{},
		byAge:       list.New(),
		retries:     list.New(),
		ended:       newRecentKeys(o.MaxTasks),
	}
}

// add takes the next event of the trace.
func (j *eventJoin) add(e event) error {
	reordered := j.any && e.at < j.now
	if !reordered {
		j.any, j.now = true, e.at
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

// orphanReason is the reason for an event of a task that is not open.
func (j *eventJoin) orphanReason(key taskKey) Reason {
	if j.ended.has(key) {
		return Duplicate
	}
	return NoSubmission
}

// apply changes a task by an event, or says why the event can't be. The task is nil only where it is not open yet.
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

// submit opens a task, or begins another attempt of one whose last run failed or was evicted.
func (j *eventJoin) submit(e event, open *openTask) (Reason, error) {
	if open != nil && !open.retryable {
		return Duplicate, nil
	}
	if open == nil {
		if len(j.open) >= j.maxTasks {
			if err := j.forget(first(j.byAge)); err != nil {
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

// openTask begins to keep a task that an event submits.
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
	open.inByAge = j.byAge.PushBack(open)
	j.open[open.key] = open
	j.ended.remove(open.key)
	return open
}

// schedule begins a run.
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

// endRun ends a run, or a task that never ran.
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
	open.task.Outcome = endOf[e.kind]
	open.task.rows++
	if e.kind == fail || e.kind == evict {
		open.retryable, open.endedAt = true, e.at
		open.inRetries = j.retries.PushBack(open)
		open.task.FailedRuns++
		return Accepted, nil
	}
	return Accepted, j.complete(open)
}

// endRetry makes a task no longer retryable.
func (j *eventJoin) endRetry(open *openTask) {
	if open.inRetries != nil {
		j.retries.Remove(open.inRetries)
	}
	open.inRetries, open.retryable = nil, false
}

// complete hands on a task that has ended for good.
func (j *eventJoin) complete(open *openTask) error {
	if open.retryable { // it did not come again: the run that failed is its last, which FailedRuns leaves out
		open.task.FailedRuns--
	}
	j.remove(open)
	j.ended.add(open.key)
	task := j.buffer.newTask()
	*task = open.task
	j.free = append(j.free, open)
	return j.buffer.add(task)
}

// forget reports a task that has no end. One that only waits for a retry has its end.
func (j *eventJoin) forget(open *openTask) error {
	if open.retryable {
		return j.complete(open)
	}
	j.remove(open)
	j.audit.report(NeverEnded, open.task.Line, open.task.rows)
	return nil
}

func (j *eventJoin) remove(open *openTask) {
	j.endRetry(open)
	j.byAge.Remove(open.inByAge)
	delete(j.open, open.key)
}

// newOpenTask gives an empty one, used before where there is any.
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

// release ends what was kept for long enough, and lets go of the tasks that no open one can come before.
func (j *eventJoin) release() error {
	for open := first(j.retries); open != nil && j.now-open.endedAt > j.retryWindow; open = first(j.retries) {
		if err := j.complete(open); err != nil {
			return err
		}
	}
	for open := first(j.byAge); open != nil && j.now-open.task.At > j.maxOpenTime; open = first(j.byAge) {
		if err := j.forget(open); err != nil {
			return err
		}
	}
	if oldest := first(j.byAge); oldest != nil {
		return j.buffer.releaseUntil(min(oldest.task.At, j.now))
	}
	return j.buffer.releaseUntil(j.now)
}

// end is the end of the trace.
func (j *eventJoin) end() error {
	for open := first(j.byAge); open != nil; open = first(j.byAge) {
		if err := j.forget(open); err != nil {
			return err
		}
	}
	return j.buffer.releaseAll()
}

// first gives the first task of a list; nil where it is empty.
func first(tasks *list.List) *openTask {
	element := tasks.Front()
	if element == nil {
		return nil
	}
	return element.Value.(*openTask)
}

// recentKeys remembers the last keys that were added, a bounded number.
type recentKeys struct {
	places map[taskKey]int // in ring, counted from 1
	ring   []taskKey
	next   int
}

func newRecentKeys(size int) *recentKeys {
	return &recentKeys{places: map[taskKey]int{}, ring: make([]taskKey, max(size, 1))}
}

func (r *recentKeys) add(key taskKey) {
	place := r.next + 1
	// A key that was removed or added again since has another place, or none.
	if oldest := r.ring[r.next]; r.places[oldest] == place {
		delete(r.places, oldest)
	}
	r.ring[r.next] = key
	r.places[key] = place
	r.next = (r.next + 1) % len(r.ring)
}

func (r *recentKeys) has(key taskKey) bool { return r.places[key] > 0 }
func (r *recentKeys) remove(key taskKey)   { delete(r.places, key) }
