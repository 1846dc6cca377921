package logsummary

import (
	"fmt"
	"strings"
	"testing"
)

// Lines as relays log them, without timestamps.
const (
	stalledCall  = `level=warning msg="call failed" error="connection read timeout 127.0.0.1:8500" peer=discovery reason=response_timeout`
	failedCall   = `level=warning msg="call failed" error="status 503" peer=discovery reason=error_status`
	rolloutStage = `level=info msg="build 861 stage %d phase 0" source=policy`

	// The same lines with the terms of earlier versions.
	earlierStalledCall = `level=warning msg="call failed" error="connection read timeout 127.0.0.1:8500" peer=roster reason=answer_late`
	earlierFailedCall  = `level=warning msg="call failed" error="status 503" peer=roster reason=error_status`
	earlierStage       = `level=info msg="build 861 stage %d phase 0" from=module`
)

func readLog(t *testing.T, s *Summary, relay, log string) {
	t.Helper()
	if err := s.Read(relay, strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
}

// TestSummaryOfFleet summarizes the logs of three relays whose discovery calls stall in the same second and then fail.
func TestSummaryOfFleet(t *testing.T) {
	for name, lines := range map[string]struct{ stage, stalled, failed string }{
		"current terms": {rolloutStage, stalledCall, failedCall},
		"earlier terms": {earlierStage, earlierStalledCall, earlierFailedCall},
		"mixed":         {rolloutStage, earlierStalledCall, failedCall},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			for i, relay := range []string{"n0", "n1", "n2"} {
				log := fmt.Sprintf("0.5 %s\n26.9%d time=\"2026-12-02T00:45:19Z\" %s\n28.1 %s\nnoise\n",
					fmt.Sprintf(lines.stage, i), i, lines.stalled, lines.failed)
				if i == 2 {
					log += "28.2 " + lines.failed + "\n30.0 " + lines.failed + "\n"
				}
				readLog(t, s, relay, log)
			}
			rows := s.Rows()
			want := []Row{
				{Kind: "call failed, peer discovery, reason error_status", Lines: 5, Relays: 3, First: 28.1, Last: 30, PeakSecond: 28, PeakLines: 4},
				{Kind: "build # stage # phase #", Lines: 3, Relays: 3, First: 0.5, Last: 0.5, PeakSecond: 0, PeakLines: 3},
				{Kind: "call failed, peer discovery, reason response_timeout", Lines: 3, Relays: 3, First: 26.90, Last: 26.92, PeakSecond: 26, PeakLines: 3},
			}
			if len(rows) != len(want) || s.Unparsed != 3 || s.Relays() != 3 {
				t.Fatalf("got %d rows of %d relays, %d lines unparsed: %+v", len(rows), s.Relays(), s.Unparsed, rows)
			}
			for i := range want {
				if rows[i] != want[i] {
					t.Errorf("row %d: got %+v, want %+v", i, rows[i], want[i])
				}
			}
		})
	}
}

// TestRenamedTerms checks that a line with earlier terms and the same line with current terms are of the same kind.
func TestRenamedTerms(t *testing.T) {
	closed := func(peer, reason string) string {
		return `level=info msg="connection ended" age=0.2 name=u1 peer=` + peer + ` reason=` + reason
	}
	for name, c := range map[string]struct{ before, after, want string }{
		"peer and reason": {closed("unit", "given_up"), closed("endpoint", "attempt_ended"),
			"connection ended, peer endpoint, reason attempt_ended"},
		"peer alone": {`level=warning msg="entries that can't be read" entries=2 peer=roster`,
			`level=warning msg="unreadable endpoint list entries" entries=2 peer=discovery`,
			"unreadable endpoint list entries, peer discovery"},
		"reason alone": {closed("client", "bound"), closed("client", "limit_reached"),
			"connection ended, peer client, reason limit_reached"},
		"neither renamed": {closed("platform", "replaced"), closed("platform", "replaced"),
			"connection ended, peer platform, reason replaced"},
		"message with an error text": {`level=error msg="a unit did not understand a query: no 'T' at 12" unit=u1`,
			`level=error msg="endpoint reported a protocol error: no 'T' at 12" endpoint=u1`,
			"endpoint reported a protocol error"},
		"message that ends in an explanation": {
			`level=warning msg="the plan names no address to watch it at: it counts as not released" needs=quota`,
			`level=warning msg="plan names no watch address for a dependency: treated as not released" dependency=quota`,
			"plan names no watch address for a dependency"},
		"message of one word": {`level=info msg=ending signal=terminated`, `level=info msg="shutting down" signal=terminated`,
			"shutting down"},
		"message that was not renamed": {`level=info msg=serving name=n0`, `level=info msg=serving name=n0`, "serving"},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			readLog(t, s, "n0", "1 "+c.before+"\n2 "+c.after+"\n")
			rows := s.Rows()
			if len(rows) != 1 || rows[0].Kind != c.want || rows[0].Lines != 2 {
				t.Errorf("got %+v, want 2 lines of kind %q", rows, c.want)
			}
		})
	}
}

// TestNoCurrentTermIsRenamed checks that no current term is also an earlier term: it would be replaced again.
func TestNoCurrentTermIsRenamed(t *testing.T) {
	for name, renamed := range map[string]map[string]string{
		"messages": renamedMessages, "peers": renamedPeers, "reasons": renamedReasons,
	} {
		for earlier, current := range renamed {
			if next, found := renamed[current]; found {
				t.Errorf("%s: %q is replaced by %q, which is replaced by %q", name, earlier, current, next)
			}
		}
	}
}

// TestDatesAndLimits reads lines that have only a date, and checks the limits of time, line length and number of kinds.
func TestDatesAndLimits(t *testing.T) {
	s := New()
	s.From, s.To = 1, 3
	var log strings.Builder
	for second := range 5 {
		fmt.Fprintf(&log, "time=\"2026-12-02T00:45:%02dZ\" %s\n", 10+second, stalledCall)
	}
	log.WriteString("time=yesterday " + stalledCall + "\n1e300 " + stalledCall + "\nNaN " + stalledCall + "\n")
	readLog(t, s, "n0", log.String())
	if rows := s.Rows(); len(rows) != 1 || rows[0].Lines != 2 || rows[0].First != 1 || rows[0].Last != 2 || s.Unparsed != 3 {
		t.Errorf("got %+v, %d lines unparsed", rows, s.Unparsed)
	}
	if err := s.Read("n1", strings.NewReader(strings.Repeat("x", maxLineBytes+1))); err == nil || !strings.Contains(err.Error(), "n1") {
		t.Errorf("a line that is too long: %v", err)
	}
	s = New()
	for i := range 2 * maxKinds {
		readLog(t, s, "n0", "1 level=info msg=\""+strings.Repeat("y", i+1)+"\"\n")
	}
	if rows := s.Rows(); len(rows) != maxKinds+1 || rows[0].Kind != overflowKinds || rows[0].Lines != maxKinds {
		t.Errorf("got %d kinds, first %+v", len(rows), rows[0])
	}
}

func FuzzLine(f *testing.F) {
	f.Add("0.5 " + stalledCall)
	f.Add("0.5 " + earlierStalledCall)
	f.Add(`time="2026-12-02T00:45:19Z" level=info msg="a: b"`)
	f.Add(`msg="\`)
	f.Fuzz(func(t *testing.T, text string) {
		if at, kind, ok := New().parseLine(text); ok && (kind == "" && !strings.Contains(text, "msg") || at != at) {
			t.Errorf("time %v, kind %q", at, kind)
		}
	})
}
