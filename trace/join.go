package trace

import "container/list"

// Kinds of event that a join knows.
type eventKind int

const (
	submit eventKind = iota
	schedule
	evict
	fail
	finish
	kill
	lose
	update
)

var endOf = [...]End{evict: Evicted, fail: Failed, finish: Finished, kill: Killed, lose: Lost}

// event is one row of a layout that tells of tasks by events.
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

// join makes tasks of events. It keeps a task from its submission to its end, and for a while after a failure or an
// eviction, since it may come again. What stays without an end for longer than patience, or longest of all where the
// table is full, is forgotten and reported: tasks that never end must not grow it.
type eventJoin struct {
	audit    *Audit
	out      *reorderBuffer
	open     map[taskKey]*openTask
	byAge    *list.List // of *life, the one submitted first in front
	waiting  *list.List // of *life that failed or were evicted, by when
	patience Seconds    // that a task may stay open
	again    Seconds    // in which one that failed may come again
	most     int
	now      Seconds // the latest time of any event
	any      bool
	free     []*openTask // that can be used again
	ended    *recentKeys // tasks that ended of late: a second end of theirs is a duplicate
}

type taskKey struct{ job, index int64 }

// life is a task that has not ended.
type openTask struct {
	key     taskKey
	task    Task
	started Seconds
	running bool
	waits   bool // it failed or was evicted, and may come again
	endedAt Seconds
	place   *list.Element // in byAge
	wait    *list.Element // in waiting
}

func newJoin(a *Audit, out *reorderBuffer, patience, again Seconds, most int) *eventJoin {
	return &eventJoin{audit: a, out: out, open: map[taskKey]*openTask{}, byAge: list.New(), waiting: list.New(), patience: patience,
		again: again, most: most, ended: newRecent(most)}
}

// take takes an event.
func (j *eventJoin) take(e event) error {
	key := taskKey{e.job, e.index}
	l := j.open[key]
	late := j.any && e.at < j.now
	if !late {
		j.now, j.any = e.at, true
	}
	if l != nil {
		l.task.moved = l.task.moved || late
	}
	switch {
	case e.kind == update:
		// An update changes what a task asks for, not when it comes or ends. It counts with its task, if there is one.
		if l == nil {
			return j.orphan(e, key)
		}
		l.task.rows++
	case e.kind == submit:
		if l != nil && !l.waits {
			j.audit.report(Duplicate, e.line, 1)
			return nil
		}
		if l == nil {
			if len(j.open) >= j.most {
				if err := j.forget(j.byAge.Front().Value.(*openTask)); err != nil {
					return err
				}
			}
			l = j.fresh()
			l.key = key
			l.task = Task{Line: e.line, At: e.at, User: e.user, Job: e.name, Class: e.class, Priority: e.priority, HasPriority: true}
			j.open[key] = l
			l.place = j.byAge.PushBack(l)
			j.ended.drop(key)
		}
		l.rest(j)
		l.running = false
		l.task.rows++
	case l == nil:
		return j.orphan(e, key)
	case e.kind == schedule:
		if l.running || l.waits {
			j.audit.report(Duplicate, e.line, 1)
			return nil
		}
		if e.at < l.task.At {
			j.audit.report(EndBeforeStart, e.line, 1)
			return nil
		}
		l.running, l.started = true, e.at
		l.task.Machine = e.machine
		l.task.Runs++
		l.task.rows++
	default:
		if l.waits {
			j.audit.report(Duplicate, e.line, 1)
			return nil
		}
		from := l.task.At
		if l.running {
			from = l.started
		}
		if e.at < from {
			j.audit.report(EndBeforeStart, e.line, 1)
			return nil
		}
		l.task.rows++
		l.task.Duration = 0
		if l.running {
			l.task.Duration = e.at - l.started
		}
		l.task.End = endOf[e.kind]
		l.running = false
		if e.kind == fail || e.kind == evict {
			l.waits, l.endedAt = true, e.at
			l.task.FailedRuns++
			l.wait = j.waiting.PushBack(l)
		} else if err := j.done(l); err != nil {
			return err
		}
	}
	return j.pass()
}

// orphan reports an event of a task that is not open.
func (j *eventJoin) orphan(e event, key taskKey) error {
	if j.ended.has(key) {
		j.audit.report(Duplicate, e.line, 1)
	} else {
		j.audit.report(NoSubmission, e.line, 1)
	}
	return j.pass()
}

// rest takes a life off the list of those that may come again.
func (l *openTask) rest(j *eventJoin) {
	if l.wait != nil {
		j.waiting.Remove(l.wait)
	}
	l.wait, l.waits = nil, false
}

// done hands a task on.
func (j *eventJoin) done(l *openTask) error {
	if l.waits { // it did not come again: its last run is its end
		l.task.FailedRuns--
	}
	j.remove(l)
	j.ended.add(l.key)
	t := j.out.fresh()
	*t = l.task
	j.free = append(j.free, l)
	return j.out.add(t)
}

// fresh gives a life, one that was used before where there is any.
func (j *eventJoin) fresh() *openTask {
	if n := len(j.free); n > 0 {
		l := j.free[n-1]
		j.free = j.free[:n-1]
		*l = openTask{}
		return l
	}
	return &openTask{}
}

func (j *eventJoin) remove(l *openTask) {
	l.rest(j)
	j.byAge.Remove(l.place)
	delete(j.open, l.key)
}

// forget reports a task that never ended. One that failed and is still waited for has its end.
func (j *eventJoin) forget(l *openTask) error {
	if l.waits {
		return j.done(l)
	}
	j.remove(l)
	j.audit.report(NeverEnded, l.task.Line, l.task.rows)
	return nil
}

// pass lets go of what has waited long enough, and hands on what nothing can come before any more.
func (j *eventJoin) pass() error {
	for e := j.waiting.Front(); e != nil && j.now-e.Value.(*openTask).endedAt > j.again; e = j.waiting.Front() {
		if err := j.done(e.Value.(*openTask)); err != nil {
			return err
		}
	}
	for e := j.byAge.Front(); e != nil && j.now-e.Value.(*openTask).task.At > j.patience; e = j.byAge.Front() {
		if err := j.forget(e.Value.(*openTask)); err != nil {
			return err
		}
	}
	if e := j.byAge.Front(); e != nil {
		return j.out.to(min(e.Value.(*openTask).task.At, j.now))
	}
	return j.out.to(j.now)
}

// end is the end of the file.
func (j *eventJoin) end() error {
	for e := j.byAge.Front(); e != nil; e = j.byAge.Front() {
		if err := j.forget(e.Value.(*openTask)); err != nil {
			return err
		}
	}
	return j.out.all()
}

// recent remembers the last so many keys.
type recentKeys struct {
	at   map[taskKey]int
	ring []taskKey
	next int
}

func newRecent(n int) *recentKeys {
	return &recentKeys{at: map[taskKey]int{}, ring: make([]taskKey, max(n, 1))}
}

func (r *recentKeys) add(k taskKey) {
	if old := r.ring[r.next]; r.at[old] == r.next+1 {
		delete(r.at, old)
	}
	r.ring[r.next] = k
	r.at[k] = r.next + 1
	r.next = (r.next + 1) % len(r.ring)
}

func (r *recentKeys) has(k taskKey) bool { return r.at[k] > 0 }
func (r *recentKeys) drop(k taskKey)     { delete(r.at, k) }
