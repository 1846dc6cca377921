package trace

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
)

// readTexts reads a trace whose streams are the texts, and checks the invariants of checkSound.
func readTexts(t testing.TB, o Options, texts ...string) ([]Task, *Audit) {
	t.Helper()
	var streams []io.Reader
	for _, text := range texts {
		streams = append(streams, strings.NewReader(text))
	}
	got, a, err := collect(o, streams...)
	if err != nil {
		t.Fatal(err)
	}
	checkSound(t, a, got)
	return got, a
}

// collect reads a trace and copies its tasks.
func collect(o Options, streams ...io.Reader) ([]Task, *Audit, error) {
	var got []Task
	a, err := Read(o, func(task *Task) error {
		got = append(got, *task)
		return nil
	}, streams...)
	return got, a, err
}

// checkSound checks that each row was counted once, and that the tasks were emitted in the order of their arrivals.
func checkSound(t testing.TB, a *Audit, got []Task) {
	t.Helper()
	if a.Accepted+a.ReportedRows() != a.Rows || a.Reordered > a.Accepted || a.Tasks != int64(len(got)) {
		t.Fatalf("%d accepted and %d reported of %d rows, %d reordered, %d tasks: %+v", a.Accepted, a.ReportedRows(), a.Rows, a.Reordered, len(got), a.Reported)
	}
	for i := 1; i < len(got); i++ {
		if got[i].At < got[i-1].At {
			t.Fatalf("task %d arrived before the task that was emitted before it", i)
		}
	}
	for r := range a.Reported {
		if a.FirstLine[r] < 1 {
			t.Fatalf("no line number for reason %s", r)
		}
	}
}

// google returns a row of the layout google-2011; kind is the event type.
func google(at int64, job, index, kind int) string {
	return fmt.Sprintf("%d,,%d,%d,77,%d,user%d,2,9,0.01,0.02,0.001,0\n", at, job, index, kind, job%3)
}

// alibaba returns a row of the layout alibaba-2018.
func alibaba(from, to int, status string) string {
	return fmt.Sprintf("ins_%d,task_a,job_%d,4,%s,%d,%d,m_7,1,1,10,20,0.1,0.2\n", from, from%5, status, from, to)
}

// azure returns a row of the layout azure-2021.
func azure(end, duration float64) string {
	return fmt.Sprintf("app1,f%d,%g,%g\n", int(end)%4, end, duration)
}

const azureHeader = "app,func,end_timestamp,duration\n"

// reasons lists the reported rows of an audit as "reason rows@first line".
func reasons(a *Audit) string {
	var out []string
	for _, l := range a.Lines() {
		word, _, _ := strings.Cut(l, ":")
		out = append(out, fmt.Sprintf("%s %d@%d", word, a.Reported[Reason(word)], a.FirstLine[Reason(word)]))
	}
	return strings.Join(out, ", ")
}

const sec = 1000000 // microseconds per second

func TestGoogleJoin(t *testing.T) {
	o := DefaultOptions("google-2011")
	for _, c := range []struct {
		name     string
		text     string
		tasks    string // arrival, duration, end, runs and failed runs of each
		reported string
	}{
		{"one run that finishes", google(sec, 1, 0, 0) + google(2*sec, 1, 0, 1) + google(5*sec, 1, 0, 4), "1 3 finished 1 0;", ""},
		{"fails, is submitted again and finishes", google(sec, 1, 0, 0) + google(2*sec, 1, 0, 1) + google(3*sec, 1, 0, 3) + google(4*sec, 1, 0, 0) +
			google(5*sec, 1, 0, 1) + google(9*sec, 1, 0, 4), "1 4 finished 2 1;", ""},
		{"evicted and scheduled again", google(sec, 1, 0, 0) + google(2*sec, 1, 0, 1) + google(3*sec, 1, 0, 2) + google(3*sec, 1, 0, 0) +
			google(4*sec, 1, 0, 1) + google(6*sec, 1, 0, 5), "1 2 killed 2 1;", ""},
		{"fails and is not submitted again", google(sec, 1, 0, 0) + google(2*sec, 1, 0, 1) + google(3*sec, 1, 0, 3) + google(500*sec, 2, 0, 0) +
			google(501*sec, 2, 0, 1) + google(502*sec, 2, 0, 4), "1 1 failed 1 0;500 1 finished 1 0;", ""},
		{"two tasks of one job", google(sec, 1, 0, 0) + google(2*sec, 1, 1, 0) + google(3*sec, 1, 1, 5) + google(4*sec, 1, 0, 4),
			"1 0 finished 0 0;2 0 killed 0 0;", ""},
		{"killed before it ran", google(sec, 1, 0, 0) + google(2*sec, 1, 0, 5), "1 0 killed 0 0;", ""},
		{"a duration of zero", google(sec, 1, 0, 0) + google(sec, 1, 0, 1) + google(sec, 1, 0, 4), "1 0 finished 1 0;", ""},
		{"never ends", google(sec, 1, 0, 0) + google(2*sec, 1, 0, 1) + google(3*sec, 2, 0, 0) + google(3*sec, 2, 0, 1) + google(4*sec, 2, 0, 4),
			"3 1 finished 1 0;", "never_ended 2@1"},
		{"a long task delays the tasks that arrived after it", google(sec, 1, 0, 0) + google(sec, 1, 0, 1) + google(2*sec, 2, 0, 0) + google(2*sec, 2, 0, 1) +
			google(3*sec, 2, 0, 4) + google(40000*sec, 1, 0, 4), "1 39999 finished 1 0;2 1 finished 1 0;", ""},
		{"before the start and after the end", google(0, 1, 0, 0) + google(1<<63-1, 1, 0, 4) + google(sec, 2, 0, 0) + google(2*sec, 2, 0, 5),
			"1 0 killed 0 0;", "outside 2@1"},
		{"an end without a submission", google(sec, 1, 0, 4) + google(sec, 2, 0, 0) + google(2*sec, 2, 0, 5), "1 0 killed 0 0;", "no_submit 1@1"},
		{"a second end, a second submission", google(sec, 1, 0, 0) + google(sec, 1, 0, 0) + google(2*sec, 1, 0, 5) + google(2*sec, 1, 0, 5),
			"1 0 killed 0 0;", "duplicate 2@2"},
		{"ends before it starts", google(5*sec, 1, 0, 0) + google(6*sec, 1, 0, 1) + google(4*sec, 1, 0, 4) + google(7*sec, 1, 0, 4),
			"5 1 finished 1 0;", "end_before_start 1@3"},
		{"updates, one of them after the end", google(sec, 1, 0, 0) + google(2*sec, 1, 0, 7) + google(3*sec, 1, 0, 5) + google(4*sec, 1, 0, 8), "1 0 killed 0 0;", "duplicate 1@4"},
		{"missing fields", ",,1,0,,0,u,1,1,,,,\n1000000,,,0,,0,u,1,1,,,,\n1000000,,1,,,0,u,1,1,,,,\n1000000,,1,0,,0,,1,1,,,,\n1000000,,1,0,,0,u,,1,,,,\n1000000,,1,0,,1,u,,1,,,,\n" + google(sec, 1, 0, 0) + google(sec, 1, 0, 5),
			"1 0 killed 0 0;", "missing_class 1@5, missing_job 1@2, missing_machine 1@6, missing_task_index 1@3, missing_time 1@1, missing_user 1@4"},
		{"times and event types that are invalid", "soon,,1,0,,0,u,1,1,,,,\n1000000,,1,0,,9,u,1,1,,,,\n1000000,,1,0,,x,u,1,1,,,,\n", "", "not_a_number 2@1, unknown_status 1@2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, a := readTexts(t, o, c.text)
			tasks := ""
			for _, task := range got {
				tasks += fmt.Sprintf("%g %g %s %d %d;", task.At, task.Duration, task.Outcome, task.Runs, task.FailedRuns)
			}
			if tasks != c.tasks || reasons(a) != c.reported {
				t.Errorf("got tasks %q, reported %q; want tasks %q, reported %q", tasks, reasons(a), c.tasks, c.reported)
			}
		})
	}
}

// TestJoinDropsUnfinishedTasks reads many tasks that never end. The join drops them, by the number of open tasks and then by
// their age, and reports each.
func TestJoinDropsUnfinishedTasks(t *testing.T) {
	o := DefaultOptions("google-2011")
	o.MaxTasks = 1000
	var b strings.Builder
	const n = 50000
	for i := range n {
		b.WriteString(google(int64(i+1)*1000, i, 0, 0))
	}
	got, a := readTexts(t, o, b.String())
	if len(got) != 0 || a.Reported[NeverEnded] != n {
		t.Errorf("by number: %d tasks, %s", len(got), reasons(a))
	}
	o.MaxTasks, o.MaxOpenTime = 1<<20, 10
	if got, a = readTexts(t, o, b.String()); len(got) != 0 || a.Reported[NeverEnded] != n {
		t.Errorf("by age: %d tasks, %s", len(got), reasons(a))
	}
}

func TestRowsOfOneTask(t *testing.T) {
	for _, c := range []struct {
		name     string
		layout   string
		text     string
		tasks    int
		reported string
	}{
		{"alibaba", "alibaba-2018", alibaba(10, 15, "Terminated") + alibaba(11, 11, "Failed") + alibaba(12, 900000, "Terminated"), 3, ""},
		{"alibaba, invalid rows", "alibaba-2018", alibaba(10, 9, "Terminated") + alibaba(10, 20, "Dancing") + alibaba(10, 20, "Running") + alibaba(0, 5, "Failed") +
			"ins,t,j,4,Terminated,5,,m,1,1,,,,\nins,t,j,4,Terminated,,6,m,1,1,,,,\nins,t,j,4,Terminated,x,6,m,1,1,,,,\nins,t,j\n" + alibaba(10, 15, "Failed"), 1,
			"end_before_start 1@1, missing_end 1@5, missing_start 1@6, never_ended 1@3, not_a_number 1@7, outside 1@4, unknown_status 1@2, wrong_column_count 1@8"},
		{"azure", "azure-2021", azureHeader + azure(10, 2) + azure(11, 0) + azure(90000, 86400), 3, ""},
		{"azure, invalid rows", "azure-2021", azureHeader + azure(10, -1) + azure(1, 5) + "a,f,1e400,1\na,f,NaN,1\na,,1,1\n" + azure(10, 2), 1,
			"not_a_number 2@4, missing_func 1@6, negative_duration 1@2, outside 1@3"},
		{"CRLF, a byte order mark and quotes", "azure-2021", "\ufeff" + strings.ReplaceAll(azureHeader, "\n", "\r\n") + "\"app,1\",\"f\"\"x\",\"10\",2\r\n\r\n", 1, ""},
		{"stray quotes", "azure-2021", azureHeader + "a\"b,f,10,2\n\"ab,f,10,2\n\"a\"b,f,10,2\n" + azure(10, 2), 1, "stray_quote 3@2"},
		{"invalid UTF-8", "azure-2021", azureHeader + "a\xff,f,10,2\n" + azure(10, 2), 1, "bad_utf8 1@2"},
		{"a long line", "azure-2021", azureHeader + strings.Repeat("x", 3*bufferSize) + "\n" + azure(10, 2) + strings.Repeat("y", MaxLineBytes+10) + ",f,1,1\n", 1, "line_too_long 2@2"},
		{"the stream ends within a row", "azure-2021", azureHeader + azure(10, 2) + "a,f,1", 1, "truncated 1@3"},
		{"no line end after the last row", "azure-2021", azureHeader + strings.TrimRight(azure(10, 2), "\n"), 1, ""},
		{"an empty stream", "azure-2021", "", 0, ""},
		{"10000 tasks with one arrival", "azure-2021", azureHeader + strings.Repeat(azure(10, 2), 10000), 10000, ""},
		{"an hour without tasks", "azure-2021", azureHeader + azure(10, 2) + azure(3700, 2), 2, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, a := readTexts(t, DefaultOptions(c.layout), c.text)
			if len(got) != c.tasks || reasons(a) != c.reported {
				t.Errorf("got %d tasks, reported %q; want %d tasks, reported %q", len(got), reasons(a), c.tasks, c.reported)
			}
		})
	}
}

func TestQuotedFields(t *testing.T) {
	got, _ := readTexts(t, DefaultOptions("azure-2021"), azureHeader+"\"app,1\",\"f\"\"x\",10,2\n")
	if got[0].User != "app,1" || got[0].Job != `f"x` || got[0].At != 8 {
		t.Errorf("quoted fields: got %+v", got[0])
	}
}

func TestErrors(t *testing.T) {
	_, _, err := collect(DefaultOptions("azure-2021"), strings.NewReader("app,func,end,took\n"))
	if err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Error("the header of another layout: ", err)
	}
	if _, _, err := collect(Options{Layout: "ibm"}); err == nil {
		t.Error("an unknown layout was accepted")
	}
	for name, invalidate := range map[string]func(*Options){
		"window":     func(o *Options) { o.Window = -1 },
		"open time":  func(o *Options) { o.MaxOpenTime = 0 },
		"retries":    func(o *Options) { o.RetryWindow = math.NaN() },
		"task bound": func(o *Options) { o.MaxTasks = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			o := DefaultOptions("azure-2021")
			invalidate(&o)
			if _, _, err := collect(o); !errors.Is(err, errOptions) {
				t.Errorf("got %v, want %v", err, errOptions)
			}
		})
	}
}

// TestStreamFails reads streams that fail within a row or between two rows: the rows before count, and one row is reported.
func TestStreamFails(t *testing.T) {
	for _, c := range []struct {
		name, text string
		reported   string
	}{
		{"within a row", azureHeader + azure(10, 2) + "a,f", "truncated 1@3"},
		{"between two rows", azureHeader + azure(10, 2), "truncated 1@3"},
		{"in the first row", "", "truncated 1@1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			stream := io.MultiReader(strings.NewReader(c.text), iotest.ErrReader(errors.New("read error")))
			got, a, err := collect(DefaultOptions("azure-2021"), stream)
			if err != nil {
				t.Fatal(err)
			}
			checkSound(t, a, got)
			if reasons(a) != c.reported || len(got) != strings.Count(c.text, "app1") {
				t.Errorf("%d tasks, reported %s; want %s", len(got), reasons(a), c.reported)
			}
		})
	}
}

// TestOutOfOrder has one row that is 1 to 20 s out of order, with a window of 10 s.
func TestOutOfOrder(t *testing.T) {
	o := DefaultOptions("alibaba-2018")
	o.Window = 10
	for back := 1; back <= 20; back++ {
		text := ""
		for at := 100; at < 140; at++ {
			text += alibaba(at, at+1, "Terminated")
		}
		text += alibaba(139-back, 200, "Terminated") + alibaba(140, 141, "Terminated")
		got, a := readTexts(t, o, text)
		reordered := len(got) == 42 && a.Reordered == 1
		reported := len(got) == 41 && a.Reported[OutOfOrder] == 1 && a.FirstLine[OutOfOrder] == 41
		if within := back <= 10; within && !reordered || !within && !reported {
			t.Errorf("%d s out of order: %d tasks, %d reordered, %s", back, len(got), a.Reordered, reasons(a))
		}
	}
	o.Window = 0
	if got, a := readTexts(t, o, alibaba(5, 6, "Failed")+alibaba(5, 7, "Failed")+alibaba(4, 7, "Failed")); len(got) != 2 || a.Reported[OutOfOrder] != 1 {
		t.Errorf("two tasks of one arrival and an earlier one, no window: %d tasks, %s", len(got), reasons(a))
	}
}

// TestFilesThatOverlap reads two streams, of which the second begins before the end of the first.
func TestFilesThatOverlap(t *testing.T) {
	one, two := "", ""
	for at := 100; at < 150; at++ {
		one += alibaba(at, at+1, "Terminated")
		two += alibaba(at+30, at+31, "Terminated")
	}
	got, a := readTexts(t, DefaultOptions("alibaba-2018"), one, two)
	if len(got) != 100 || a.Reordered != 19 || a.Rows != 100 {
		t.Errorf("%d tasks, %d reordered rows of %d", len(got), a.Reordered, a.Rows)
	}
}

func TestGzip(t *testing.T) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	for at := 1; at < 20000; at++ {
		duration := rand.New(rand.NewSource(int64(at))).Intn(50)
		if _, err := io.WriteString(z, alibaba(at, at+duration, "Terminated")); err != nil {
			t.Fatal(err)
		}
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	complete, a := readTexts(t, DefaultOptions("alibaba-2018"), b.String())
	if len(complete) != 19999 {
		t.Fatalf("%d tasks, want 19999", len(complete))
	}
	for _, cut := range []int{b.Len() - 1, b.Len() - 9, b.Len() / 2, 20} {
		got, a, err := collect(DefaultOptions("alibaba-2018"), bytes.NewReader(b.Bytes()[:cut]))
		if err != nil {
			t.Fatal(cut, err)
		}
		checkSound(t, a, got)
		if a.Reported[Truncated] != 1 || len(got) > len(complete) {
			t.Errorf("cut at byte %d: %d tasks, %s", cut, len(got), reasons(a))
		}
	}
	second, secondAudit := readTexts(t, DefaultOptions("alibaba-2018"), b.String())
	if !reflect.DeepEqual(second, complete) || !reflect.DeepEqual(a, secondAudit) {
		t.Error("a second reading gave another result")
	}
	if _, err := Read(DefaultOptions("azure-2021"), nil, strings.NewReader("\x1f\x8bno")); err == nil {
		t.Error("an invalid gzip header was accepted")
	}
	stop := errors.New("enough")
	if _, err := Read(DefaultOptions("alibaba-2018"), func(*Task) error { return stop }, bytes.NewReader(b.Bytes())); !errors.Is(err, stop) {
		t.Errorf("got %v, want the error of emit", err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add("google-2011", google(sec, 1, 0, 0)+google(2*sec, 1, 0, 1)+google(3*sec, 1, 0, 3)+google(2*sec, 1, 0, 0))
	f.Add("alibaba-2018", alibaba(10, 15, "Terminated")+alibaba(5, 15, "Failed")+"a,\"b\n")
	f.Add("azure-2021", azureHeader+azure(10, 2)+"\xff\n\"\"\"\",f,1,1\r\n\n")
	f.Fuzz(func(t *testing.T, layout, text string) {
		o := DefaultOptions(layout)
		o.MaxTasks = 4
		got, a, err := collect(o, strings.NewReader(text))
		if err == nil {
			checkSound(t, a, got)
		}
	})
}

func BenchmarkRead(b *testing.B) {
	for _, layout := range Layouts() {
		b.Run(layout, func(b *testing.B) {
			var text strings.Builder
			r := rand.New(rand.NewSource(1))
			if layout == "azure-2021" {
				text.WriteString(azureHeader)
			}
			for i := 1; text.Len() < 16<<20; i++ {
				switch layout {
				case "azure-2021":
					fmt.Fprintf(&text, "%064x,%064x,%.6f,%.3f\n", i%500, i%3000, 1e6+float64(i)/50, r.ExpFloat64()*5)
				case "alibaba-2018":
					fmt.Fprintf(&text, "ins_%d,task_LTg0MTUwNTA5Mjg4MDkwNjIzMA==,j_%d,10,Terminated,%d,%d,m_%d,1,1,60,140,0.02,0.05\n", i, i%9000, 1+i/300, 1+i/300+r.Intn(100), i%4000)
				default:
					at := int64(i) * 1000
					text.WriteString(google(at, i, 0, 0) + google(at+100, i, 0, 1) + google(at+900, i, 0, 4))
				}
			}
			s := text.String()
			b.SetBytes(int64(len(s)))
			b.ResetTimer()
			for range b.N {
				if _, err := Read(DefaultOptions(layout), func(*Task) error { return nil }, strings.NewReader(s)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
