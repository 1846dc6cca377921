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
	Layout      string
	Window      Seconds // within which rows of a layout of tasks are put back in order
	MaxOpenTime Seconds // that a task of a layout of events may stay without an end
	RetryWindow Seconds // in which one that failed may come again
	MaxTasks    int     // tasks that are held at a time
}

// Usual are the options of a layout where nothing is said.
func DefaultOptions(layout string) Options {
	return Options{Layout: layout, Window: 60, MaxOpenTime: 86400, RetryWindow: 300, MaxTasks: 50000}
}

// Read reads streams one behind another as one trace, and hands on its tasks by their arrival; a task is good until
// emit returns. It returns the audit also
// where it ends with an error. Only a wrong layout, an error of emit, or a stream that can't be read is one: what is
// wrong with rows is in the audit.
func Read(o Options, emit func(*Task) error, from ...io.Reader) (*Audit, error) {
	a := newAudit()
	form, ok := layouts[o.Layout]
	if !ok {
		return a, fmt.Errorf("layout %q is none of %s", o.Layout, strings.Join(Layouts(), ", "))
	}
	if !(o.Window >= 0) || !(o.MaxOpenTime > 0) || !(o.RetryWindow >= 0) || o.MaxTasks < 1 {
		return a, errors.New("window, patience and bounds must be positive")
	}
	out := &reorderBuffer{audit: a, most: o.MaxTasks, emit: emit}
	r := &reader{words: interner{}, o: o, form: form, audit: a, out: out, join: newJoin(a, out, o.MaxOpenTime, o.RetryWindow, o.MaxTasks)}
	for _, in := range from {
		rows, err := open(in)
		if err != nil {
			return a, fmt.Errorf("line 1: %w", err)
		}
		rows.line = r.before
		err = r.read(rows)
		r.before = rows.line
		if err != nil {
			return a, err
		}
	}
	if form.event != nil {
		return a, r.join.end()
	}
	return a, out.all()
}

// reader reads one trace.
type reader struct {
	o      Options
	form   layout
	audit  *Audit
	out    *reorderBuffer
	join   *eventJoin
	words  interner
	before int64 // lines of the streams before
	latest Seconds
	any    bool
}

func (r *reader) read(t *rowReader) error {
	header := r.form.header != nil
	for {
		fields, why, err := t.next()
		if errors.Is(err, io.EOF) && why == Accepted {
			return nil
		}
		if header {
			header = false
			if why == Accepted && isHeader(fields, r.form.header) {
				continue
			}
			if why == Accepted && len(fields) == r.form.columns {
				if _, number := decimal(fields[len(fields)-1]); !number {
					return fmt.Errorf("line %d: not the layout's header, which is %s", t.line, strings.Join(r.form.header, ","))
				}
			}
		}
		r.audit.Rows++
		if err != nil { // what came before it counts; nothing behind it can be read
			r.audit.report(Truncated, t.line, 1)
			return nil
		}
		if why == Accepted && len(fields) != r.form.columns {
			why = ColumnCount
			if t.cut {
				why = Truncated
			}
		}
		if why == Accepted {
			why, err = r.row(fields, t.line)
		}
		if err != nil {
			return err
		}
		if why != Accepted {
			r.audit.report(why, t.line, 1)
		}
	}
}

func isHeader(fields [][]byte, names []string) bool {
	if len(fields) != len(names) {
		return false
	}
	for i, n := range names {
		if !bytes.EqualFold(bytes.TrimSpace(fields[i]), []byte(n)) {
			return false
		}
	}
	return true
}

// row takes one row of the layout's columns.
func (r *reader) row(fields [][]byte, line int64) (Reason, error) {
	if r.form.event != nil {
		var e event
		if why := r.form.event(fields, &e, r.words); why != Accepted {
			return why, nil
		}
		e.line = line
		return Accepted, r.join.take(e)
	}
	t := r.out.fresh()
	t.Line, t.rows = line, 1
	if why := r.form.task(fields, t, r.words); why != Accepted {
		r.out.free = append(r.out.free, t)
		return why, nil
	}
	t.moved = r.any && t.At < r.latest
	if !r.any || t.At > r.latest {
		r.latest, r.any = t.At, true
	}
	if err := r.out.add(t); err != nil {
		return Accepted, err
	}
	return Accepted, r.out.to(r.latest - r.o.Window)
}
