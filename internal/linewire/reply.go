package linewire

import (
	"fmt"
	"strings"

	"lichenroad/relay"
)

const (
	// CodeStale is the error code of a vote on a build or stage that is past.
	CodeStale = "ConditionFailed"
	// OKLine accepts a watch.
	OKLine = "OK" + lineEnd
	// KeepAliveLine shows on a watch that the platform is alive.
	KeepAliveLine = "*" + lineEnd
)

// noticeMark begins the lines that the platform sends without a request; statusNotice follows it if the line holds a
// rollout status.
const (
	noticeMark   = "*"
	statusNotice = "news"
)

// statusWords is the least number of words of a rollout status; further ones are ignored.
const statusWords = 5

// Reply is one line from the platform.
type Reply struct {
	Unsolicited bool                // not the reply to a request, but a notice on a watch
	Status      relay.RolloutStatus // not valid if the line holds none
	Error       string              // code of a request that was rejected; empty: none
}

// ParseReply reads one line without its end. Its errors wrap ErrMalformed.
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

// parseNotice reads what follows the mark of a notice. Kinds that are not known here count as signs of life.
func parseNotice(words []string) (Reply, error) {
	if len(words) == 0 || words[0] != statusNotice {
		return Reply{Unsolicited: true}, nil
	}
	status, err := parseStatusWords(words[1:])
	return Reply{Unsolicited: true, Status: status}, err
}

func parseStatusWords(words []string) (relay.RolloutStatus, error) {
	if len(words) < statusWords {
		return relay.RolloutStatus{}, fmt.Errorf("%w: %d fields of news", ErrMalformed, len(words))
	}
	return StatusFields{
		Build:           words[0],
		Stage:           words[1],
		Phase:           words[2],
		ExposureLimit:   words[3],
		AgeMilliseconds: words[4],
	}.Parse()
}

// StatusReplyLine returns the reply to a vote that counts.
func StatusReplyLine(status relay.RolloutStatus) string {
	return "OK " + formatStatus(status) + lineEnd
}

// StatusNoticeLine returns the notice of a rollout status on a watch.
func StatusNoticeLine(status relay.RolloutStatus) string {
	return noticeMark + " " + statusNotice + " " + formatStatus(status) + lineEnd
}

// ErrorLine returns the reply to a request that was rejected.
func ErrorLine(code string) string { return "ERR " + code + lineEnd }
