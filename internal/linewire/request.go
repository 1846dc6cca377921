package linewire

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lichenroad/relay"
)

// WatchLine asks the platform to send rollout statuses as they change.
const WatchLine = "WATCH" + lineEnd

// verdictWords are the words of the verdicts on the wire.
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

// Call is a request of a relay: to watch, or else to vote.
type Call struct {
	Watch bool
	Vote  relay.Vote
}

// ParseCall reads a request without its line end. Its errors wrap ErrMalformed.
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

// malformedLine returns an ErrMalformed that quotes the start of the line.
func malformedLine(line string) error { return fmt.Errorf("%w: %.40q", ErrMalformed, line) }
