package trace

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Options are the parameters of Read.
type Options struct {
	Layout      string  // one of Layouts
	Window      Seconds // layouts of tasks: how far rows may be out of order and still be sorted
	MaxOpenTime Seconds // layouts of events: how long after its submission a task is kept without an end
	RetryWindow Seconds // layouts of events: how long after a run that failed or was evicted its task may be submitted again
	MaxTasks    int     // limit of open tasks, and separately of tasks waiting to be emitted
}

// DefaultOptions returns the options that apply unless the caller changes them.
func DefaultOptions(layout string) Options {
	return Options{Layout: layout, Window: 60, MaxOpenTime: 86400, RetryWindow: 300, MaxTasks: 50000}
}

var errOptions = errors.New("window and retry window must not be negative, open time and number of tasks must be positive")

func (o Options) valid() bool {
	return o.Window >= 0 && o.MaxOpenTime > 0 && o.RetryWindow >= 0 && o.MaxTasks >= 1
}

// Read reads the streams one after another as one trace and emits its tasks in the order of their arrivals. A task is valid
// until emit returns.
//
// Read fails if the layout is unknown, if an option is invalid, if a stream has an invalid gzip header or the header line of
// another layout, or if emit fails. Invalid rows are counted in the audit. So is a read error within a stream: the row at
// which it occurs is Truncated. The audit is also returned together with an error.
func Read(o Options, emit func(*Task) error, streams ...io.Reader) (*Audit, error) {
	audit := newAudit()
	layout, ok := layouts[o.Layout]
	if !ok {
		return audit, fmt.Errorf("unknown layout %q: must be one of %s", o.Layout, strings.Join(Layouts(), ", "))
	}
	if !o.valid() {
		return audit, errOptions
	}
	buffer := &reorderBuffer{audit: audit, maxTasks: o.MaxTasks, emit: emit}
	r := &reader{window: o.Window, layout: layout, audit: audit, buffer: buffer, join: newEventJoin(audit, buffer, o),
		strs: interner{}}
	var lines int64
	for _, stream := range streams {
		rows, err := newRowReader(stream, lines)
		if err != nil {
			return audit, fmt.Errorf("gzip header: %w", err)
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

// reader holds the state of one call of Read.
type reader struct {
	window   Seconds
	layout   layout
	audit    *Audit
	buffer   *reorderBuffer
	join     *eventJoin // for layouts of events
	strs     interner
	hasTasks bool    // layouts of tasks: at least one task was read
	latest   Seconds // latest arrival of these tasks; valid if hasTasks
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

// checkNoHeader checks a first row that is not the header of the layout. It accepts a data row, whose last column is a
// number, and fails for the header of another layout. A row with a wrong number of columns is left to readRow.
func (r *reader) checkNoHeader(fields [][]byte, line int64) error {
	if len(fields) != r.layout.columns {
		return nil
	}
	if _, ok := parseFloat(fields[len(fields)-1]); ok {
		return nil
	}
	return fmt.Errorf("line %d: neither a data row nor the header of the layout, which is %s", line, strings.Join(r.layout.header, ","))
}

// readRow counts a row. It parses the row, or reports it if it is invalid.
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

// readEvent parses a row that is an event.
func (r *reader) readEvent(fields [][]byte, line int64) error {
	var e event
	if reason := r.layout.event(fields, &e, r.strs); reason != Accepted {
		r.audit.report(reason, line, 1)
		return nil
	}
	e.line = line
	return r.join.add(e)
}

// readTask parses a row that is a task.
func (r *reader) readTask(fields [][]byte, line int64) error {
	task := r.buffer.newTask()
	task.Line, task.rows = line, 1
	if reason := r.layout.task(fields, task, r.strs); reason != Accepted {
		r.buffer.recycle(task)
		r.audit.report(reason, line, 1)
		return nil
	}
	task.reordered = r.hasTasks && task.At < r.latest
	if !r.hasTasks || task.At > r.latest {
		r.hasTasks, r.latest = true, task.At
	}
	if err := r.buffer.add(task); err != nil {
		return err
	}
	return r.buffer.releaseUntil(r.latest - r.window)
}
