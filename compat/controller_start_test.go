package compat_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestControllerReadsRecordedJournals starts a release controller on journals that an earlier version wrote, unchanged and
// with the damage that a crash or a disk error causes at the end.
func TestControllerReadsRecordedJournals(t *testing.T) {
	for _, c := range []struct {
		name      string
		recorded  string
		change    func(journal []byte) []byte
		truncated int // length of the torn record that the controller cuts off the end; -1: it is the last recorded one
	}{
		{"whole", "kept-session", nil, 0},
		{"with a snapshot and archives", "kept-compaction", nil, 0},
		{"with half a length behind it", "kept-session", func(j []byte) []byte { return append(j, 40, 0) }, 2},
		{"with half a record behind it", "kept-session", func(j []byte) []byte { return append(j, append([]byte{40, 0, 0, 0, 1, 2, 3, 4}, "[{"...)...) }, 10},
		{"with a record of a wrong sum behind it", "kept-session", func(j []byte) []byte { return append(j, append([]byte{2, 0, 0, 0, 1, 2, 3, 4}, "[]"...)...) }, 10},
		{"with its last byte missing", "kept-session", func(j []byte) []byte { return j[:len(j)-1] }, -1},
		{"with half a first line", "kept-session", func(j []byte) []byte { return j[:9] }, 9},
		{"empty", "kept-session", func([]byte) []byte { return nil }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			stateDir := restoreJournals(t, c.recorded)
			path := filepath.Join(stateDir, "journal")
			journal := readFile(t, path)
			if c.change != nil {
				journal = c.change(bytes.Clone(journal))
				if err := os.WriteFile(path, journal, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			// With this TTL, all votes in the recorded journals have expired. The masked span is short, because a recorded
			// journal also contains the end of a freeze, some hours after the recording, which must not be masked.
			masked := spanFromNow(2 * testTimeout)
			controller := startController(t, stateDir, "1s", masked)
			var lines []string
			for _, s := range []sessionStep{
				{tool: []string{"status", "--json"}},
				{tool: []string{"status"}},
				{tool: []string{"history", "--votes", "--json", "--last", "10000"}},
				{tool: []string{"history", "--last", "10000"}},
				{line: [2]string{"a", "WATCH"}},
				{line: [2]string{"r0", "VOTE 10 0 clear"}},
				{control: `"verb":"status"`},
				{control: `"verb":"offer","service":"a","build":9,"who":"ops","why":"not later"`},
			} {
				lines = append(lines, controller.runStep(s)...)
			}
			controller.process.stop()
			checkGolden(t, "desk/read-"+strings.ReplaceAll(c.name, " ", "-"), lines)
			if hasHeader := bytes.HasPrefix(journal, []byte(journalHeader)); hasHeader && c.truncated >= 0 {
				checkAppended(t, path, journal[:len(journal)-c.truncated], masked)
			} else {
				journalLines(t, path, masked) // checks that the journal ends with a complete record
			}
		})
	}
}

// checkAppended checks that a release controller did not change a journal, except for appending the record of its own start.
func checkAppended(t *testing.T, path string, before []byte, masked timeSpan) {
	t.Helper()
	after := readFile(t, path)
	if !bytes.HasPrefix(after, before) {
		t.Fatalf("the first %d bytes of the journal have changed", len(before))
	}
	tail := filepath.Join(t.TempDir(), "tail")
	if err := os.WriteFile(tail, append([]byte(journalHeader), after[len(before):]...), 0o600); err != nil {
		t.Fatal(err)
	}
	if lines := journalLines(t, tail, masked); len(lines) != 1 || lines[0] != `[{"at":TIME,"kind":"started"}]` {
		t.Errorf("appended records %q, want only that of the start", lines)
	}
}

// TestControllerRejectsJournals starts a release controller on files that are not valid journals. It must exit with one line
// that names the file, and leave the file unchanged.
func TestControllerRejectsJournals(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(journal []byte) []byte
	}{
		{"another version", func(j []byte) []byte { return bytes.Replace(j, []byte("journal 1"), []byte("journal 2"), 1) }},
		{"no journal", func([]byte) []byte { return []byte(strings.Repeat("something else\n", 10)) }},
		{"damage in the middle", func(j []byte) []byte { j[len(j)/2] ^= 1; return j }},
		{"an event that does not follow", func(j []byte) []byte { return append(j, j[len(journalHeader):]...) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			stateDir := restoreJournals(t, "kept-session")
			path := filepath.Join(stateDir, "journal")
			journal := c.change(readFile(t, path))
			if err := os.WriteFile(path, journal, 0o600); err != nil {
				t.Fatal(err)
			}
			planPath, _ := writePlan(t, "1s")
			r := runTool(t, "desk", "run", "--plan", planPath, "--state", stateDir)
			if lines := r.errorLines(); r.code != 1 || len(lines) != 1 || !strings.Contains(lines[0], path) {
				t.Errorf("exit code %d, standard error %q; want 1 and one line that names %s", r.code, lines, path)
			}
			if !bytes.Equal(readFile(t, path), journal) {
				t.Error("the rejected journal has changed")
			}
			if r := runTool(t, "desk", "history", "--state", stateDir); c.name != "an event that does not follow" && (r.code != 1 || len(r.errorLines()) != 1) {
				t.Errorf("history: exit code %d, standard error %q; want 1 and one line", r.code, r.errorLines())
			}
		})
	}
}

// TestControllerExitCodes runs desk commands that fail, and the help.
func TestControllerExitCodes(t *testing.T) {
	stateDir := t.TempDir()
	for _, c := range []struct {
		args string
		code int
	}{
		{"desk", 2},
		{"desk status", 2},
		{"desk fly --state STATE", 2},
		{"desk status --state STATE", 1},
		{"desk history --state STATE", 1}, // there is no journal yet
		{"desk offer a --state STATE --why w", 2},
		{"desk offer a 1 --state STATE --why w", 1},
		{"desk offer a 70000 --state STATE --why w", 2},
		{"desk halt a --state STATE", 2},
		{"desk run --state STATE", 2},
		{"desk run --state STATE --plan STATE/none.xml", 1},
		{"desk run --state STATE --plan PLAN --control 192.0.2.1:1", 1},
		{"desk --help", 0},
	} {
		t.Run(c.args, func(t *testing.T) {
			planPath, _ := writePlan(t, "1s")
			args := strings.NewReplacer("STATE", stateDir, "PLAN", planPath).Replace(c.args)
			r := runTool(t, strings.Fields(args)...)
			if r.code != c.code {
				t.Errorf("exit code %d, want %d: %s", r.code, c.code, r.stderr)
			}
			if want := min(c.code, 1); c.code != 0 && len(r.errorLines()) < want {
				t.Error(fmt.Sprint("no line on standard error: ", r.stderr))
			}
		})
	}
}
