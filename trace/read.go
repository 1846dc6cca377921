package trace

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Options say how a trace is read.
type Options struct {
	Layout      string  // one of Layouts
	Window      Seconds // within which rows of a layout of tasks are put back in order
	MaxOpenTime Seconds // that a task of a layout of events may stay without an end
	RetryWindow Seconds // in which one that failed or was evicted may come again
	MaxTasks    int     // that are held at a time
}

// DefaultOptions are the options for a layout where nothing else is said.
func DefaultOptions(layout string) Options {
	return Options{Layout: layout, Window: 60, MaxOpenTime: 86400, RetryWindow: 300, MaxTasks: 50000}
}

var errOptions = errors.New("window, patience and bounds must be positive")

func (o Options) valid() bool {
	return o.Window >= 0 && o.MaxOpenTime > 0 && o.RetryWindow >= 0 && o.MaxTasks >= 1
}

// Read reads streams one behind another as one trace, and hands on its tasks by their arrival. A task is good until emit
// returns.
//
// Errors are a wrong layout or option, a stream that begins as gzip and isn't, another header than the layout's, and what emit
// returns. What is wrong with rows is in the audit, as is a stream that breaks: its last row is Truncated. The audit is
// returned beside an error too.
func Read(o Options, emit func(*Task) error, streams ...io.Reader) (*Audit, error) {
	audit := newAudit()
	layout, ok := layouts[o.Layout]
	if !ok {
		return audit, fmt.Errorf("layout %q is none of %s", o.Layout, strings.Join(Layouts(), ", "))
	}
	if !o.valid() {
		return audit, errOptions
	}
	buffer := &reorderBuffer{audit: audit, maxTasks: o.MaxTasks, emit: emit}
	r := &reader{window: o.Window, layout: layout, audit: audit, buffer: buffer, join: newEventJoin(audit, buffer, o),
		words: interner{}}
	var lines int64
	for _, stream := range streams {
		rows, err := newRowReader(stream, lines)
		if err != nil {
			return audit, fmt.Errorf("line 1: %w", err)
		}
		if err := r.readStream(rows); err != nil {
			return audit, err
		}
		lines = rows.line
	}
	if layout.event != nil {
		return audit, r.join.end()
	}
	return audit, buffer.releaseAll()
}

// reader reads one trace.
type reader struct {
	window Seconds
	layout layout
	audit  *Audit
	buffer *reorderBuffer
	join   *eventJoin // of a layout of events
	words  interner
	any    bool // a task of a layout of tasks was read,
	latest Seconds
}

// readStream reads a stream to its end.
func (r *reader) readStream(rows *rowReader) error {
	expectHeader := r.layout.header != nil
	for {
		fields, reason, more := rows.next()
		if !more {
			return nil
		}
		if expectHeader && reason == Accepted {
			if isHeader(fields, r.layout.header) {
				expectHeader = false
				continue
			}
			if err := r.checkNoHeader(fields, rows.line); err != nil {
				return err
			}
		}
		expectHeader = false
		if err := r.readRow(rows, fields, reason); err != nil {
			return err
		}
	}
}

func isHeader(fields [][]byte, names []string) bool {
	if len(fields) != len(names) {
		return false
	}
	for i, name := range names {
		if !bytes.EqualFold(bytes.TrimSpace(fields[i]), []byte(name)) {
			return false
		}
	}
	return true
}

// checkNoHeader checks that a first row in place of the header is a row, whose last column is a number, and not the header
// of another layout.
func (r *reader) checkNoHeader(fields [][]byte, line int64) error {
	if len(fields) != r.layout.columns {
		return nil
	}
	if _, ok := parseFloat(fields[len(fields)-1]); ok {
		return nil
	}
	return fmt.Errorf("line %d: not the layout's header, which is %s", line, strings.Join(r.layout.header, ","))
}

// readRow counts a row, and reports it or hands it on.
func (r *reader) readRow(rows *rowReader, fields [][]byte, reason Reason) error {
	r.audit.Rows++
	if reason == Accepted && len(fields) != r.layout.columns {
		reason = WrongColumnCount
		if rows.unterminated {
			reason = Truncated
		}
	}
	if reason != Accepted {
		r.audit.report(reason, rows.line, 1)
		return nil
	}
	if r.layout.event != nil {
		return r.readEvent(fields, rows.line)
	}
	return r.readTask(fields, rows.line)
}

// readEvent reads a row of a layout of events.
func (r *reader) readEvent(fields [][]byte, line int64) error {
	var e event
	if reason := r.layout.event(fields, &e, r.words); reason != Accepted {
		r.audit.report(reason, line, 1)
		return nil
	}
	e.line = line
	return r.join.add(e)
}

// readTask reads a row of a layout of tasks.
func (r *reader) readTask(fields [][]byte, line int64) error {
	task := r.buffer.newTask()
	task.Line, task.rows = line, 1
	if reason := r.layout.task(fields, task, r.words); reason != Accepted {
		r.buffer.recycle(task)
		r.audit.report(reason, line, 1)
		return nil
	}
	task.reordered = r.any && task.At < r.latest
	if !r.any || task.At > r.latest {
		r.any, r.latest = true, task.At
	}
	if err := r.buffer.add(task); err != nil {
		return err
	}
	return r.buffer.releaseUntil(r.latest - r.window)
}
