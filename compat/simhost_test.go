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

// TestSimhostSessions simulates each scenario, and compares every command of the instances byte for byte.
func TestSimhostSessions(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			p := startSimhost(t)
			d := newDeployment(t, s)
			lines := d.run(p)
			p.closeAndCheckExit()
			t.Logf("%d lines; events %v; datagrams sent %v, received %v", len(lines), d.events, d.sentTypes, d.receivedTypes)
			checkEvents(t, d)
			checkDatagrams(t, d)
			checkGolden(t, "simhost/"+s.name, lines)
		})
	}
}

// checkEvents checks that a session contains events of every code that its scenario allows.
func checkEvents(t *testing.T, d *deployment) {
	t.Helper()
	want := []byte{eventRolloutStatus, eventReportedCounts, eventStart, eventAttemptEnded, eventRequest, eventHealthCheckEnded, eventListUpdate, eventTimerFired,
		eventMisreportedOutcome, eventClientDisconnected, eventList, eventStreamStarted}
	if d.scenario.peerMessages {
		want = append(want, eventMessage)
	}
	if d.scenario.restarts {
		want = append(want, eventStop)
	}
	for _, code := range want {
		if d.events[code] == 0 {
			t.Errorf("the session contains no event of code %d", code)
		}
	}
}

// checkDatagrams checks that reports and decisions were both sent and received, and that nothing else was sent.
func checkDatagrams(t *testing.T, d *deployment) {
	t.Helper()
	if !d.scenario.peerMessages {
		if len(d.sentTypes) > 0 {
			t.Errorf("datagrams were sent although peer messages are off; number by type: %v", d.sentTypes)
		}
		return
	}
	if sent := slices.Sorted(maps.Keys(d.sentTypes)); !slices.Equal(sent, []byte{reportType, decisionType}) {
		t.Errorf("datagrams of types %v were sent, want reports and decisions", sent)
	}
	for _, messageType := range []byte{reportType, decisionType} {
		if d.receivedTypes[messageType] == 0 {
			t.Errorf("no datagram of type %d was received", messageType)
		}
	}
}

// TestSimhostFaults writes unusual and malformed input. Complete, valid batches are answered. At the end of valid input the
// process exits with 0, at malformed input with 1.
func TestSimhostFaults(t *testing.T) {
	const good = `{"replicas_of_me":1,"my_number":0}`
	start := func(settings string) []byte {
		return append(instanceEvent(eventStart, 3).u64(1).u32(uint32(len(settings))), settings...)
	}
	complete := frame(clockStart, append(start(good), instanceEvent(eventTimerFired, 3).u64(1)...))
	empty := frame(clockStart, nil)
	for _, c := range []struct {
		name    string
		input   []byte
		code    int
		replies string // to the complete batches, in hexadecimal
	}{
		{"no input", nil, 0, ""},
		{"an empty batch", empty, 0, "0000000000000000"},
		{"half a header", append(slices.Clone(empty), 1, 0, 0), 1, "0000000000000000"},
		{"half a body", complete[:len(complete)-1], 1, ""},
		{"an unknown code", frame(clockStart, []byte{99, 0, 0}), 1, ""},
		{"a record past the end", frame(clockStart, instanceEvent(eventTimerFired, 3).u32(1)), 1, ""},
		{"a list past the end", frame(clockStart, event(eventList).u32(1).u32(2)), 1, ""},
		{"a list number that is too high", frame(clockStart, event(eventList).u32(1<<20).u32(0)), 1, ""},
		{"settings that are not an object", frame(clockStart, start(`[`)), 1, ""},
		{"settings of a wrong type", frame(clockStart, start(`{"my_number":"x"}`)), 1, ""},
		{"a body that is too long", []byte{0, 0, 0, 0x60, 0, 0, 0, 0, 0, 0, 0, 0}, 1, ""},
		{"an event for an instance that is not running", frame(clockStart, instanceEvent(eventTimerFired, 9).u64(1)), 0, "0000000000000000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(binaryPath("simhost"))
			cmd.Stdin = bytes.NewReader(c.input)
			out, err := cmd.Output()
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
