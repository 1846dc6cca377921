package compat_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestControllerReadsKeptJournals runs a release controller on journals that an earlier one wrote, and on ones that a crash or
// a disk error damaged.
func TestControllerReadsKeptJournals(t *testing.T) {
	for _, c := range []struct {
		name   string
		kept   string
		change func(journal []byte) []byte
		cut    int // bytes of a torn end that are truncated; -1: the last record is
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
			state := restoreJournals(t, c.kept)
			path := filepath.Join(state, "journal")
			journal := readFile(t, path)
			if c.change != nil {
				journal = c.change(bytes.Clone(journal))
				if err := os.WriteFile(path, journal, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			// Votes of the kept journals have expired, whenever this runs. The masked span is short, as a kept journal holds
			// a time some hours after its own.
			masked := spanFromNow(2 * testTimeout)
			controller := startController(t, state, "1s", masked)
			var lines []string
			for _, s := range []step{
				{tool: []string{"status", "--json"}},
				{tool: []string{"status"}},
				{tool: []string{"history", "--votes", "--json", "--last", "10000"}},
				{tool: []string{"history", "--last", "10000"}},
				{line: [2]string{"a", "WATCH"}},
				{line: [2]string{"r0", "VOTE 10 0 clear"}},
				{control: `"verb":"status"`},
				{control: `"verb":"offer","service":"a","build":9,"who":"ops","why":"not later"`},
			} {
				lines = append(lines, controller.do(s)...)
			}
			controller.process.stop()
			checkGolden(t, "desk/read-"+strings.ReplaceAll(c.name, " ", "-"), lines)
			if complete := bytes.HasPrefix(journal, []byte(journalHead)); complete && c.cut >= 0 {
				checkContinued(t, path, journal[:len(journal)-c.cut], masked)
			} else {
				journalLines(t, path, masked) // every record is complete again
			}
		})
	}
}

// checkContinued checks that a release controller kept a journal as it was and only appended its own start.
func checkContinued(t *testing.T, path string, before []byte, masked timeSpan) {
	t.Helper()
	after := readFile(t, path)
	if !bytes.HasPrefix(after, before) {
		t.Fatalf("the journal of %d bytes was changed, not gone on with", len(before))
	}
	tail := filepath.Join(t.TempDir(), "tail")
	if err := os.WriteFile(tail, append([]byte(journalHead), after[len(before):]...), 0o600); err != nil {
		t.Fatal(err)
	}
	if lines := journalLines(t, tail, masked); len(lines) != 1 || lines[0] != `[{"at":TIME,"kind":"started"}]` {
		t.Errorf("written behind it: %q", lines)
	}
}

// TestControllerRejectsJournals starts a release controller on files that aren't a journal of it: it exits with one line and changes
// nothing.
func TestControllerRejectsJournals(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(journal []byte) []byte
	}{
		{"another version", func(j []byte) []byte { return bytes.Replace(j, []byte("journal 1"), []byte("journal 2"), 1) }},
		{"no journal", func([]byte) []byte { return []byte(strings.Repeat("something else\n", 10)) }},
		{"damage in the middle", func(j []byte) []byte { j[len(j)/2] ^= 1; return j }},
		{"an event that does not follow", func(j []byte) []byte { return append(j, j[len(journalHead):]...) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			state := restoreJournals(t, "kept-session")
			path := filepath.Join(state, "journal")
			journal := c.change(readFile(t, path))
			if err := os.WriteFile(path, journal, 0o600); err != nil {
				t.Fatal(err)
			}
			plan, _ := planFor(t, "1s")
			r := call(t, "desk", "run", "--plan", plan, "--state", state)
			if lines := r.errorLines(); r.code != 1 || len(lines) != 1 || !strings.Contains(lines[0], path) {
				t.Errorf("exit %d, %q", r.code, lines)
			}
			if !bytes.Equal(readFile(t, path), journal) {
				t.Error("the file was changed")
			}
			if r := call(t, "desk", "history", "--state", state); c.name != "an event that does not follow" && (r.code != 1 || len(r.errorLines()) != 1) {
				t.Errorf("history: exit %d, %q", r.code, r.errorLines())
			}
		})
	}
}

// TestControllerCalls runs invalid desk commands.
func TestControllerCalls(t *testing.T) {
	state := t.TempDir()
	for _, c := range []struct {
		args string
		code int
	}{
		{"desk", 2},
		{"desk status", 2},
		{"desk fly --state STATE", 2},
		{"desk status --state STATE", 1},
		{"desk history --state STATE", 1}, // as there is no journal yet
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
			plan, _ := planFor(t, "1s")
			args := strings.NewReplacer("STATE", state, "PLAN", plan).Replace(c.args)
			r := call(t, strings.Fields(args)...)
			if r.code != c.code {
				t.Errorf("exit %d, want %d: %s", r.code, c.code, r.errs)
			}
			if want := min(c.code, 1); c.code != 0 && len(r.errorLines()) < want {
				t.Error(fmt.Sprint("no line of fault: ", r.errs))
			}
		})
	}
}
