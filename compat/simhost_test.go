package compat_test

import (
	"bytes"
	"encoding/hex"
	"errors"
	"maps"
	"os/exec"
	"slices"
	"testing"
)

// TestSimhostSessions plays each scenario, and compares every action of the instances byte for byte.
func TestSimhostSessions(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			p := openPipe(t)
			d := newDeployment(t, s)
			lines := d.run(p)
			p.end()
			t.Logf("%d lines; events %v; datagrams sent %v, received %v", len(lines), d.events, d.sentForms, d.receivedForms)
			checkEvents(t, d)
			checkDatagrams(t, d)
			checkGolden(t, "simhost/"+s.name, lines)
		})
	}
}

// checkEvents checks that a session has every kind of event that its scenario allows.
func checkEvents(t *testing.T, d *deployment) {
	t.Helper()
	want := []byte{eventRolloutStatus, eventDigest, eventBorn, eventFinished, eventIngress, eventHealth, eventAnnounce, eventElapsed,
		eventReturned, eventDropped, eventInventory, eventStreaming}
	if d.scenario.peerMessages {
		want = append(want, eventDatagram)
	}
	if d.scenario.restarts {
		want = append(want, eventShutdown)
	}
	for _, code := range want {
		if d.events[code] == 0 {
			t.Errorf("no event of code %d was played", code)
		}
	}
}

// checkDatagrams checks that reports and votes were both sent and received, and nothing else was sent.
func checkDatagrams(t *testing.T, d *deployment) {
	t.Helper()
	if !d.scenario.peerMessages {
		if len(d.sentForms) > 0 {
			t.Errorf("datagrams of forms %v were sent where none may be", d.sentForms)
		}
		return
	}
	if sent := slices.Sorted(maps.Keys(d.sentForms)); !slices.Equal(sent, []byte{formReport, formDecision}) {
		t.Errorf("forms %v were sent, want reports and decisions", sent)
	}
	for _, form := range []byte{formReport, formDecision} {
		if d.receivedForms[form] == 0 {
			t.Errorf("no datagram of form %d was received", form)
		}
	}
}

// TestSimhostFaults writes malformed input: complete batches before it are answered, then the process exits with 1.
func TestSimhostFaults(t *testing.T) {
	const good = `{"replicas_of_me":1,"my_number":0}`
	start := func(settings string) []byte {
		return append(eventFor(eventBorn, 3).u64(1).u32(uint32(len(settings))), settings...)
	}
	complete := frame(clockStart, append(start(good), eventFor(eventElapsed, 3).u64(1)...))
	empty := frame(clockStart, nil)
	for _, c := range []struct {
		name    string
		input   []byte
		code    int
		replies string // to the complete batches, in hex
	}{
		{"no input", nil, 0, ""},
		{"an empty batch", empty, 0, "0000000000000000"},
		{"half a header", append(slices.Clone(empty), 1, 0, 0), 1, "0000000000000000"},
		{"half a body", complete[:len(complete)-1], 1, ""},
		{"an unknown code", frame(clockStart, []byte{99, 0, 0}), 1, ""},
		{"a record past the end", frame(clockStart, eventFor(eventElapsed, 3).u32(1)), 1, ""},
		{"a list past the end", frame(clockStart, event(eventInventory).u32(1).u32(2)), 1, ""},
		{"a list of too high a number", frame(clockStart, event(eventInventory).u32(1<<20).u32(0)), 1, ""},
		{"settings that are no object", frame(clockStart, start(`[`)), 1, ""},
		{"settings of a wrong type", frame(clockStart, start(`{"my_number":"x"}`)), 1, ""},
		{"a body that is too long", []byte{0, 0, 0, 0x60, 0, 0, 0, 0, 0, 0, 0, 0}, 1, ""},
		{"an event for nobody", frame(clockStart, eventFor(eventElapsed, 9).u64(1)), 0, "0000000000000000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			command := exec.Command(program("simhost"))
			command.Stdin = bytes.NewReader(c.input)
			out, err := command.Output()
			code := 0
			if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
				code = exit.ExitCode()
			} else if err != nil {
				t.Fatal(err)
			}
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if got := hex.EncodeToString(out); got != c.replies {
				t.Errorf("replies %s, want %s", got, c.replies)
			}
		})
	}
}
