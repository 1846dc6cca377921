package logsummary

import (
	"fmt"
	"strings"
	"testing"
)

const (
	silent  = `level=warning msg="call failed" error="connection read timeout 127.0.0.1:8500" peer=roster reason=answer_late`
	refused = `level=warning msg="call failed" error="status 503" peer=roster reason=error_status`
	build   = `level=info msg="build 861 stage %d phase 0" from=module`
)

// TestSumOverTheFleet counts a silence that hits three relays in one second, and what comes behind it.
func TestSumOverTheFleet(t *testing.T) {
	l := New()
	for i, name := range []string{"n0", "n1", "n2"} {
		log := fmt.Sprintf("0.5 %s\n26.9%d time=\"2026-12-02T00:45:19Z\" %s\n28.1 %s\nnoise\n", fmt.Sprintf(build, i), i, silent, refused)
		if i == 2 {
			log += "28.2 " + refused + "\n30.0 " + refused + "\n"
		}
		if err := l.Read(name, strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	rows := l.Rows()
	want := []Row{
		{"call failed, peer roster, reason error_status", 5, 3, 28.1, 30, 28, 4},
		{"build # stage # phase #", 3, 3, 0.5, 0.5, 0, 3},
		{"call failed, peer roster, reason answer_late", 3, 3, 26.90, 26.92, 26, 3},
	}
	if len(rows) != len(want) || l.Unparsed != 3 || l.Relays() != 3 {
		t.Fatalf("%+v, %d unread", rows, l.Unparsed)
	}
	for i := range want {
		if rows[i] != want[i] {
			t.Errorf("%+v instead of %+v", rows[i], want[i])
		}
	}
}

// TestDatesAndBounds reads logs that no recorder stamped, within a span, and keeps within its bounds.
func TestDatesAndBounds(t *testing.T) {
	l := New()
	l.From, l.To = 1, 3
	var log strings.Builder
	for s := range 5 {
		fmt.Fprintf(&log, "time=\"2026-12-02T00:45:%02dZ\" %s\n", 10+s, silent)
	}
	log.WriteString("time=yesterday " + silent + "\n1e300 " + silent + "\nNaN " + silent + "\n")
	if err := l.Read("n0", strings.NewReader(log.String())); err != nil {
		t.Fatal(err)
	}
	if rows := l.Rows(); len(rows) != 1 || rows[0].Lines != 2 || rows[0].First != 1 || rows[0].Last != 2 || l.Unparsed != 3 {
		t.Errorf("%+v, %d unread", rows, l.Unparsed)
	}
	if err := l.Read("n1", strings.NewReader(strings.Repeat("x", longest+1))); err == nil || !strings.Contains(err.Error(), "n1") {
		t.Errorf("a line without end: %v", err)
	}
	l = New()
	for i := range 2 * mostKinds {
		l.Read("n0", strings.NewReader("1 level=info msg=\""+strings.Repeat("y", i+1)+"\"\n"))
	}
	if rows := l.Rows(); len(rows) != mostKinds+1 || rows[0].Kind != rest || rows[0].Lines != mostKinds {
		t.Errorf("%d kinds, first %+v", len(rows), rows[0])
	}
}

func FuzzLine(f *testing.F) {
	f.Add("0.5 " + silent)
	f.Add(`time="2026-12-02T00:45:19Z" level=info msg="a: b"`)
	f.Add(`msg="\`)
	f.Fuzz(func(t *testing.T, text string) {
		if at, what, ok := New().line(text); ok && (what == "" && !strings.Contains(text, "msg") || at != at) {
			t.Errorf("%v %q", at, what)
		}
	})
}
