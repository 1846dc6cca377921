package linewire

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"lichenroad/relay"
)

// splitAt feeds a stream to a Splitter in two parts and formats the lines and the error that result.
func splitAt(stream string, cut int) string {
	var splitter Splitter
	var lines []string
	emit := func(line string) { lines = append(lines, line) }
	err := splitter.Feed([]byte(stream[:cut]), emit)
	if err == nil {
		err = splitter.Feed([]byte(stream[cut:]), emit)
	}
	return fmt.Sprintf("%q %v", lines, err)
}

func TestLinesCutAnywhere(t *testing.T) {
	stream := "OK\r\n* news 42 1 canary 0.28 310\r\n*\r\nERR Throttling\r\nOK 42"
	want := `["OK" "* news 42 1 canary 0.28 310" "*" "ERR Throttling"] <nil>`
	for cut := 0; cut <= len(stream); cut++ {
		if got := splitAt(stream, cut); got != want {
			t.Errorf("cut at %d: %s", cut, got)
		}
	}
}

func TestBadLines(t *testing.T) {
	var splitter Splitter
	if err := splitter.Feed([]byte("OK\n"), nil); !errors.Is(err, ErrMalformed) {
		t.Error("line without CR: got error", err)
	}
	if err := splitter.Feed([]byte(strings.Repeat("a", MaxLine+1)), nil); !errors.Is(err, ErrTooLong) {
		t.Error("line longer than MaxLine: got error", err)
	}
	for _, line := range []string{"", "HELLO", "ERR", "OK 42", "OK 42 1 canary 0.28 x", "OK 42 1 flying 0.28 310", "* news 42",
		"OK -1 1 canary 0.28 310", "OK 42 1 canary NaN 310", "OK 42 1 canary 1.5 310", "OK 99999 1 canary 0.1 310"} {
		t.Run(line, func(t *testing.T) {
			if reply, err := ParseReply(line); !errors.Is(err, ErrMalformed) {
				t.Errorf("got %+v and error %v", reply, err)
			}
		})
	}
}

func TestParse(t *testing.T) {
	status := relay.RolloutStatus{Valid: true, Build: 42, Stage: 1, Phase: relay.PhaseRollingBack, ExposureLimit: 0.25, Age: 0.31}
	for line, want := range map[string]Reply{
		"*":                              {Unsolicited: true},
		"* counts 1 2":                   {Unsolicited: true},
		"OK":                             {},
		"ERR ConditionFailed":            {Error: "ConditionFailed"},
		"* news 42 1 reverting 0.25 310": {Unsolicited: true, Status: status},
		"OK 42 1 reverting 0.25 310":     {Status: status},
	} {
		t.Run(line, func(t *testing.T) {
			if got, err := ParseReply(line); got != want || err != nil {
				t.Errorf("got %+v and error %v", got, err)
			}
		})
	}
	if got := VoteLine(relay.Vote{Build: 42, Stage: 1, Verdict: relay.VoteRollBack}); got != "VOTE 42 1 reject\r\n" {
		t.Errorf("vote encoded as %q", got)
	}
}

// TestStatusLines checks the exact lines of a status in each phase, and that parsing them returns the same status.
func TestStatusLines(t *testing.T) {
	for phase, word := range map[relay.Phase]string{
		relay.PhaseCanary:      "canary",
		relay.PhaseRollingBack: "reverting",
		relay.PhaseReleased:    "stable",
		relay.PhaseWithdrawn:   "reverted",
	} {
		t.Run(word, func(t *testing.T) {
			status := relay.RolloutStatus{Valid: true, Build: 42, Stage: 3, Phase: phase, ExposureLimit: 0.05, Age: 1.25}
			wantReply := Reply{Status: status}
			wantNotice := Reply{Unsolicited: true, Status: status}
			for line, want := range map[string]Reply{StatusReplyLine(status): wantReply, StatusNoticeLine(status): wantNotice} {
				if got, err := ParseReply(strings.TrimSuffix(line, "\r\n")); got != want || err != nil {
					t.Errorf("%q: got %+v and error %v", line, got, err)
				}
			}
			if got, want := StatusReplyLine(status), "OK 42 3 "+word+" 0.05 1250\r\n"; got != want {
				t.Errorf("%q, want %q", got, want)
			}
			if got, want := StatusNoticeLine(status), "* news 42 3 "+word+" 0.05 1250\r\n"; got != want {
				t.Errorf("%q, want %q", got, want)
			}
		})
	}
}

// TestVoteRoundTrip checks the exact line of each verdict, and that parsing it returns the same vote.
func TestVoteRoundTrip(t *testing.T) {
	for verdict, word := range map[relay.Verdict]string{
		relay.NoVote:       "clear",
		relay.VotePromote:  "approve",
		relay.VoteHold:     "wait",
		relay.VoteRollBack: "reject",
	} {
		t.Run(word, func(t *testing.T) {
			vote := relay.Vote{Build: 65535, Stage: 255, Verdict: verdict}
			line := VoteLine(vote)
			if want := "VOTE 65535 255 " + word + "\r\n"; line != want {
				t.Errorf("%q, want %q", line, want)
			}
			call, err := ParseCall(strings.TrimSuffix(line, "\r\n"))
			if err != nil || call != (Call{Vote: vote}) {
				t.Errorf("got %+v and error %v", call, err)
			}
		})
	}
}

func TestParseCall(t *testing.T) {
	if call, err := ParseCall("WATCH"); err != nil || call != (Call{Watch: true}) {
		t.Errorf("WATCH: %+v, %v", call, err)
	}
	for _, line := range []string{"", "WATCH 1", "VOTE", "VOTE 42 1", "VOTE 42 1 approve x", "VOTE 42 1 maybe", "VOTE -1 1 wait",
		"VOTE 65536 1 wait", "VOTE 42 256 wait", "vote 42 1 wait"} {
		t.Run(line, func(t *testing.T) {
			if call, err := ParseCall(line); !errors.Is(err, ErrMalformed) {
				t.Errorf("got %+v and error %v", call, err)
			}
		})
	}
}

func FuzzLines(f *testing.F) {
	f.Add("OK 42 1 canary 0.28 310\r\n*\r\n", 7)
	f.Fuzz(func(t *testing.T, stream string, cut int) {
		if cut < 0 || cut > len(stream) {
			cut = 0
		}
		if inParts, whole := splitAt(stream, cut), splitAt(stream, 0); inParts != whole {
			t.Errorf("cut at %d: %s\nwhole: %s", cut, inParts, whole)
		}
		_, _ = ParseReply(strings.TrimSuffix(stream, "\r\n")) // must not panic
	})
}
