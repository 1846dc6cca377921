// Package linewire reads and writes the platform's lines: words set apart by spaces, each line ended by
// CRLF. It does no I/O.
package linewire

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lichenroad/relay"
)

// Moot is the error that answers a vote on a build or stage that is past.
const CodeStale = "ConditionFailed"

// MaxLine is the longest line read; the platform ends a connection at lines of 8 KiB.
const MaxLine = 8 << 10

// Complaints about what came in.
var (
	ErrTooLong   = errors.New("line too long")
	ErrMalformed = errors.New("malformed line")
)

// Splitter cuts a stream into lines.
type Splitter struct{ part []byte }

// Feed takes the next bytes and calls emit for every line that they complete, without its end.
func (s *Splitter) Feed(p []byte, emit func(line string)) error {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			i = len(p)
		}
		if len(s.part)+i > MaxLine {
			return ErrTooLong
		}
		s.part = append(s.part, p[:i]...)
		if i == len(p) {
			return nil
		}
		if len(s.part) == 0 || s.part[len(s.part)-1] != '\r' {
			return fmt.Errorf("%w: no CR before LF", ErrMalformed)
		}
		line := string(s.part[:len(s.part)-1])
		s.part, p = s.part[:0], p[i+1:]
		emit(line)
	}
	return nil
}

// Watch asks to be told things.
const WatchLine = "WATCH\r\n"

var verdicts = [...]string{relay.NoVote: "clear", relay.VotePromote: "approve", relay.VoteHold: "wait",
	relay.VoteRollBack: "reject"}

// Vote is the line of a vote.
func VoteLine(v relay.Vote) string {
	return fmt.Sprintf("VOTE %d %d %s\r\n", v.Build, v.Stage, verdicts[v.Verdict])
}

// Reply is one line from the platform.
type Reply struct {
	Unsolicited bool                // unasked; News is set where it brought any
	Status      relay.RolloutStatus // Valid where the line holds the state of a build
	Error       string              // the code behind ERR
}

// Parse reads one line.
func ParseReply(line string) (Reply, error) {
	words := strings.Split(line, " ")
	switch {
	case words[0] == "*":
		r := Reply{Unsolicited: true}
		if len(words) == 1 || words[1] != "news" {
			return r, nil // a sign of life, or a kind of news that is not known here
		}
		var err error
		r.Status, err = news(words[2:])
		return r, err
	case words[0] == "OK" && len(words) == 1:
		return Reply{}, nil
	case words[0] == "OK":
		n, err := news(words[1:])
		return Reply{Status: n}, err
	case words[0] == "ERR" && len(words) >= 2:
		return Reply{Error: words[1]}, nil
	}
	return Reply{}, fmt.Errorf("%w: %.40q", ErrMalformed, line)
}

func news(w []string) (relay.RolloutStatus, error) {
	if len(w) < 5 {
		return relay.RolloutStatus{}, fmt.Errorf("%w: %d fields of news", ErrMalformed, len(w))
	}
	return ParseStatus(w[0], w[1], w[2], w[3], w[4])
}

var phases = map[string]relay.Phase{"canary": relay.PhaseCanary, "reverting": relay.PhaseRollingBack,
	"stable": relay.PhaseReleased, "reverted": relay.PhaseWithdrawn}

// News puts the five fields of a build's state together: build, stage, phase, cap, age in milliseconds.
func ParseStatus(build, stage, phase, limit, age string) (relay.RolloutStatus, error) {
	b, err1 := strconv.ParseUint(build, 10, 16)
	s, err2 := strconv.ParseUint(stage, 10, 8)
	c, err3 := strconv.ParseFloat(limit, 64)
	a, err4 := strconv.ParseFloat(age, 64)
	ph, known := phases[phase]
	if err := errors.Join(err1, err2, err3, err4); err != nil || !known || !(c >= 0 && c <= 1) || !(a >= 0) {
		return relay.RolloutStatus{}, fmt.Errorf("%w: news of build %.20q", ErrMalformed, build)
	}
	return relay.RolloutStatus{Valid: true, Build: relay.Build(b), Stage: relay.Stage(s), Phase: ph, ExposureLimit: c,
		Age: a / 1000}, nil
}

// The other side: what a desk reads and writes.

var phaseWords = [...]string{relay.PhaseCanary: "canary", relay.PhaseRollingBack: "reverting", relay.PhaseReleased: "stable",
	relay.PhaseWithdrawn: "reverted"}

// Call is one call of a relay.
type Call struct {
	Watch bool
	Vote  relay.Vote
}

// ParseCall reads a call. Its errors wrap ErrMalformed.
func ParseCall(line string) (Call, error) {
	w := strings.Split(line, " ")
	if len(w) == 1 && w[0] == "WATCH" {
		return Call{Watch: true}, nil
	}
	if len(w) != 4 || w[0] != "VOTE" {
		return Call{}, fmt.Errorf("%w: %.40q", ErrMalformed, line)
	}
	b, err1 := strconv.ParseUint(w[1], 10, 16)
	s, err2 := strconv.ParseUint(w[2], 10, 8)
	v := slices.Index(verdicts[:], w[3])
	if err1 != nil || err2 != nil || v < 0 {
		return Call{}, fmt.Errorf("%w: %.40q", ErrMalformed, line)
	}
	return Call{Vote: relay.Vote{Build: relay.Build(b), Stage: relay.Stage(s), Verdict: relay.Verdict(v)}}, nil
}

func state(n relay.RolloutStatus) string {
	return fmt.Sprintf("%d %d %s %s %.0f\r\n", n.Build, n.Stage, phaseWords[n.Phase], strconv.FormatFloat(n.ExposureLimit, 'g', -1, 64),
		n.Age*1000)
}

// The lines of a desk.
const (
	OKLine        = "OK\r\n"
	KeepAliveLine = "*\r\n" // of life
)

// Answer is the answer to a vote that counts, Tell what is told of a build unasked, Refuse the answer to a call
// that was not carried out.
func StatusReplyLine(n relay.RolloutStatus) string { return "OK " + state(n) }

func StatusNoticeLine(n relay.RolloutStatus) string { return "* news " + state(n) }

func ErrorLine(code string) string { return "ERR " + code + "\r\n" }
