package linewire

import (
	"fmt"
	"strings"

	"lichenroad/relay"
)

const (
	// CodeStale is the error code for a vote on a build or stage that is no longer current.
	CodeStale = "ConditionFailed"
	// OKLine is the reply that accepts a watch.
	OKLine = "OK" + lineEnd
	// KeepAliveLine is the heartbeat that the platform sends on a watch.
	KeepAliveLine = "*" + lineEnd
)

// noticeMark is the first word of lines that the platform sends on a watch without a request. statusNotice is the second
// word if the line holds a rollout status.
const (
	noticeMark   = "*"
	statusNotice = "news"
)

// statusWords is the minimum number of words in a rollout status. Additional words are ignored.
const statusWords = 5

// Reply is one line from the platform.
type Reply struct {
	Unsolicited bool                // the line is a notice on a watch, not the reply to a request
	Status      relay.RolloutStatus // its field Valid is false if the line holds no status
	Error       string              // error code of a rejected request; empty: none
}

// ParseReply parses a line without its CRLF. Errors wrap ErrMalformed.
func ParseReply(line string) (Reply, error) {
	words := strings.Split(line, " ")
	switch {
	case words[0] == noticeMark:
		return parseNotice(words[1:])
	case words[0] == "OK" && len(words) == 1:
		return Reply{}, nil
	case words[0] == "OK":
		status, err := parseStatusWords(words[1:])
		return Reply{Status: status}, err
	case words[0] == "ERR" && len(words) >= 2:
		return Reply{Error: words[1]}, nil
	}
	return Reply{}, malformedLine(line)
}

// parseNotice parses the words after noticeMark. Notices of unknown kinds are treated as heartbeats.
func parseNotice(words []string) (Reply, error) {
	if len(words) == 0 || words[0] != statusNotice {
		return Reply{Unsolicited: true}, nil
	}
	status, err := parseStatusWords(words[1:])
	return Reply{Unsolicited: true, Status: status}, err
}

func parseStatusWords(words []string) (relay.RolloutStatus, error) {
	if len(words) < statusWords {
		return relay.RolloutStatus{}, fmt.Errorf("%w: rollout status has %d of %d fields", ErrMalformed, len(words), statusWords)
	}
	return StatusFields{
		Build:           words[0],
		Stage:           words[1],
		Phase:           words[2],
		ExposureLimit:   words[3],
		AgeMilliseconds: words[4],
	}.Parse()
}

// StatusReplyLine returns the reply to a vote that was counted.
func StatusReplyLine(status relay.RolloutStatus) string {
	return "OK " + formatStatus(status) + lineEnd
}

// StatusNoticeLine returns the notice that reports a rollout status on a watch.
func StatusNoticeLine(status relay.RolloutStatus) string {
	return noticeMark + " " + statusNotice + " " + formatStatus(status) + lineEnd
}

// ErrorLine returns the reply to a rejected request.
func ErrorLine(code string) string { return "ERR " + code + lineEnd }
