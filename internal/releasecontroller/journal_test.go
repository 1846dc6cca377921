package releasecontroller

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"lichenroad/relay"
	"lichenroad/rollout"
)

// controllerEvents returns the events of three releases and three freezes.
func controllerEvents(t *testing.T) []rollout.Event {
	c := rollout.New(testPlan(t))
	var out []rollout.Event
	take := func(e rollout.Event) {
		if err := c.Apply(e); err != nil {
			t.Fatal(err)
		}
		out = append(out, e)
		out = append(out, c.Advance(e.At)...)
	}
	for b := relay.Build(1); b <= 3; b++ {
		at := 1000 * float64(b)
		e, err := c.Offer(0, b, "ops", "new", at)
		if err != nil {
			t.Fatal(err)
		}
		take(e)
		for step := relay.Stage(0); step < 2; step++ {
			for _, r := range []string{"r0", "r1"} {
				if e, no := c.Vote(0, r, relay.Vote{Build: b, Stage: step, Verdict: relay.VotePromote}, at+1+float64(step)); no == "" {
					take(e)
				}
			}
		}
		e, err = c.Operate(rollout.Operation{Kind: rollout.EventFrozen, Service: "b", FreezeName: fmt.Sprint("f", b), Actor: "ops", Reason: "why"}, at+5)
		if err != nil {
			t.Fatal(err)
		}
		take(e)
	}
	return out
}

// status returns the status of all services after the events.
func status(t *testing.T, events []rollout.Event) []rollout.Status {
	c := rollout.New(testPlan(t))
	for _, e := range events {
		if err := c.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	return c.ServiceStatuses(5000)
}

// writtenJournal is a journal file and its content.
type writtenJournal struct {
	name string
	raw  []byte
	ends []int64 // offsets of the end of the header and of each record
}

// writeJournal writes a journal with one record for each event.
func writeJournal(t *testing.T, dir string, events []rollout.Event) writtenJournal {
	t.Helper()
	j, err := Open(dir, func(rollout.Event) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	written := writtenJournal{name: filepath.Join(dir, journalName), ends: []int64{j.size}}
	for _, e := range events {
		if err := j.Append([]rollout.Event{e}); err != nil {
			t.Fatal(err)
		}
		written.ends = append(written.ends, j.size)
	}
	j.Close()
	if written.raw, err = os.ReadFile(written.name); err != nil {
		t.Fatal(err)
	}
	return written
}

// wholeRecords returns how many records are complete in the first cut bytes.
func (w *writtenJournal) wholeRecords(cut int) int {
	whole := 0
	for whole+1 < len(w.ends) && w.ends[whole+1] <= int64(cut) {
		whole++
	}
	return whole
}

// TestTornRecords cuts a journal off at every byte. Open must apply the complete records before the cut, and a record
// appended after that must be readable.
func TestTornRecords(t *testing.T) {
	events := controllerEvents(t)
	dir := t.TempDir()
	written := writeJournal(t, dir, events)
	for cut := 0; cut <= len(written.raw); cut++ {
		if err := os.WriteFile(written.name, written.raw[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		var got []rollout.Event
		j, err := Open(dir, func(e rollout.Event) error { got = append(got, e); return nil })
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		whole := written.wholeRecords(cut)
		if len(got) != whole || whole > 0 && !reflect.DeepEqual(got, events[:whole]) {
			t.Fatalf("cut at %d: %d events, wanted %d", cut, len(got), whole)
		}
		if whole < len(events) {
			if err := j.Append(events[whole : whole+1]); err != nil {
				t.Fatal(err)
			}
		}
		j.Close()
		again, err := History(dir, true, 1000)
		if err != nil || len(again) != min(whole+1, len(events)) {
			t.Fatalf("cut at %d, then one more: %d events, %v", cut, len(again), err)
		}
	}
}

// TestDamagedRecord changes a byte in the middle of a journal. Open must report ErrDamaged with the position of the record,
// and must not truncate the file as it does after a crash.
func TestDamagedRecord(t *testing.T) {
	dir := t.TempDir()
	written := writeJournal(t, dir, controllerEvents(t))
	for _, at := range []int64{written.ends[1] + 2, written.ends[1] + recordHeaderBytes + 3} {
		bad := append([]byte(nil), written.raw...)
		bad[at] ^= 0x55
		if err := os.WriteFile(written.name, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Open(dir, func(rollout.Event) error { return nil })
		if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), fmt.Sprint("byte ", written.ends[1])) {
			t.Errorf("byte %d: %v", at, err)
		}
		if left, _ := os.ReadFile(written.name); len(left) != len(bad) {
			t.Error("the damaged journal was truncated")
		}
	}
}

// TestCrashWhileCompacting stops a compaction at each crash point. The next start must rebuild the same state, and the history
// must be complete.
func TestCrashWhileCompacting(t *testing.T) {
	events := controllerEvents(t)
	want := status(t, events)
	for _, place := range []string{"within snapshot", "before archive", "before rename", "after rename", ""} {
		t.Run(cmp.Or(place, "no crash"), func(t *testing.T) {
			dir := t.TempDir()
			j, err := Open(dir, func(rollout.Event) error { return nil })
			if err != nil {
				t.Fatal(err)
			}
			if err := j.Append(events); err != nil {
				t.Fatal(err)
			}
			c := rollout.New(testPlan(t))
			for _, e := range events {
				c.Apply(e)
			}
			j.CrashPoint = func(at string) error {
				if at == place {
					return errKilled
				}
				return nil
			}
			if err := j.Compact(c.Snapshot()); (err == nil) != (place == "") {
				t.Fatal(err)
			}
			j.Close()
			for range 2 { // the second start must find the same state
				var got []rollout.Event
				j, err := Open(dir, func(e rollout.Event) error { got = append(got, e); return nil })
				if err != nil {
					t.Fatal(err)
				}
				if s := status(t, got); !reflect.DeepEqual(s, want) {
					t.Errorf("state after the start: %+v", s)
				}
				j.Close()
			}
			all, err := History(dir, true, 1000)
			// After a crash before the rename, the journal and its archive hold the same events until the next compaction.
			if place != "before rename" && (err != nil || len(all) != len(events)) {
				t.Errorf("history has %d events, want %d; error: %v", len(all), len(events), err)
			}
		})
	}
}

// TestRecordFormat checks the bytes of a journal, so that journals written by earlier versions stay readable.
func TestRecordFormat(t *testing.T) {
	dir := t.TempDir()
	journal, err := Open(dir, func(rollout.Event) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	err = journal.Append([]rollout.Event{
		{At: 1000.5, Kind: rollout.EventOffered, Service: "a", Build: 7, Actor: "ops", Reason: "new"},
		{At: 1001, Kind: rollout.EventFrozen, FreezeName: "audit", Until: 2000},
	})
	if err != nil {
		t.Fatal(err)
	}
	journal.Close()
	got, err := os.ReadFile(filepath.Join(dir, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	want := "lichenroad desk journal 1\n\x87\x00\x00\x00\x93\xe1\x1bx" +
		`[{"at":1000.5,"kind":"offered","service":"a","build":7,"who":"ops","why":"new"},` +
		`{"at":1001,"kind":"froze","name":"audit","until":2000}]`
	if string(got) != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}
