package linewire

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"lichenroad/relay"
)

func split(stream string, cut int) string {
	var s Splitter
	var got []string
	emit := func(line string) { got = append(got, line) }
	err := s.Feed([]byte(stream[:cut]), emit)
	if err == nil {
		err = s.Feed([]byte(stream[cut:]), emit)
	}
	return fmt.Sprintf("%q %v", got, err)
}

func TestLinesCutAnywhere(t *testing.T) {
	stream := "OK\r\n* news 42 1 canary 0.28 310\r\n*\r\nERR Throttling\r\nOK 42"
	want := `["OK" "* news 42 1 canary 0.28 310" "*" "ERR Throttling"] <nil>`
	for cut := 0; cut <= len(stream); cut++ {
		if got := split(stream, cut); got != want {
			t.Errorf("cut at %d: %s", cut, got)
		}
	}
}

func TestBadLines(t *testing.T) {
	var s Splitter
	if err := s.Feed([]byte("OK\n"), nil); !errors.Is(err, ErrMalformed) {
		t.Error("without CR:", err)
	}
	if err := s.Feed([]byte(strings.Repeat("a", MaxLine+1)), nil); !errors.Is(err, ErrTooLong) {
		t.Error("too long:", err)
	}
	for _, line := range []string{"", "HELLO", "ERR", "OK 42", "OK 42 1 canary 0.28 x", "OK 42 1 flying 0.28 310", "* news 42",
		"OK -1 1 canary 0.28 310", "OK 42 1 canary NaN 310", "OK 42 1 canary 1.5 310", "OK 99999 1 canary 0.1 310"} {
		if r, err := ParseReply(line); err == nil {
			t.Errorf("%q: %+v", line, r)
		}
	}
}

func TestParse(t *testing.T) {
	news := relay.RolloutStatus{Valid: true, Build: 42, Stage: 1, Phase: relay.PhaseRollingBack, ExposureLimit: 0.25, Age: 0.31}
	for line, want := range map[string]Reply{
		"*": {Unsolicited: true}, "* counts 1 2": {Unsolicited: true}, "OK": {}, "ERR ConditionFailed": {Error: "ConditionFailed"},
		"* news 42 1 reverting 0.25 310": {Unsolicited: true, Status: news}, "OK 42 1 reverting 0.25 310": {Status: news},
	} {
		if got, err := ParseReply(line); got != want || err != nil {
			t.Errorf("%q: %+v %v", line, got, err)
		}
	}
	if got := VoteLine(relay.Vote{Build: 42, Stage: 1, Verdict: relay.VoteRollBack}); got != "VOTE 42 1 reject\r\n" {
		t.Errorf("%q", got)
	}
}

func FuzzLines(f *testing.F) {
	f.Add("OK 42 1 canary 0.28 310\r\n*\r\n", 7)
	f.Fuzz(func(t *testing.T, stream string, cut int) {
		if cut < 0 || cut > len(stream) {
			cut = 0
		}
		if a, b := split(stream, cut), split(stream, 0); a != b {
			t.Errorf("cut at %d: %s\nwhole: %s", cut, a, b)
		}
		ParseReply(strings.TrimSuffix(stream, "\r\n"))
	})
}
