package linewire

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lichenroad/relay"
)

// WatchLine is the request for a watch, on which the platform sends the rollout status whenever it changes.
const WatchLine = "WATCH" + lineEnd

// verdictWords maps verdicts to their words on the wire.
var verdictWords = [...]string{
	relay.NoVote:       "clear",
	relay.VotePromote:  "approve",
	relay.VoteHold:     "wait",
	relay.VoteRollBack: "reject",
}

// VoteLine returns the line that casts a vote.
func VoteLine(vote relay.Vote) string {
	return fmt.Sprintf("VOTE %d %d %s"+lineEnd, vote.Build, vote.Stage, verdictWords[vote.Verdict])
}

// Call is a request from a relay: either for a watch or to cast a vote.
type Call struct {
	Watch bool       // the request is for a watch
	Vote  relay.Vote // the vote to cast, unless Watch is set
}

// ParseCall parses a request without its CRLF. Errors wrap ErrMalformed.
func ParseCall(line string) (Call, error) {
	words := strings.Split(line, " ")
	if len(words) == 1 && words[0] == "WATCH" {
		return Call{Watch: true}, nil
	}
	if len(words) != 4 || words[0] != "VOTE" {
		return Call{}, malformedLine(line)
	}
	build, buildErr := strconv.ParseUint(words[1], 10, 16)
	stage, stageErr := strconv.ParseUint(words[2], 10, 8)
	verdict := slices.Index(verdictWords[:], words[3])
	if buildErr != nil || stageErr != nil || verdict < 0 {
		return Call{}, malformedLine(line)
	}
	vote := relay.Vote{Build: relay.Build(build), Stage: relay.Stage(stage), Verdict: relay.Verdict(verdict)}
	return Call{Vote: vote}, nil
}

// malformedLine returns an error that wraps ErrMalformed and quotes the start of the line.
func malformedLine(line string) error { return fmt.Errorf("%w: %.40q", ErrMalformed, line) }
