package logsummary

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// maxTimestamp limits timestamps in seconds to about 30 years; a larger number is not a timestamp.
const maxTimestamp = 1e9

// Patterns of a field, name=value with the value quoted if necessary, and of a number in a message.
var (
	fieldPattern  = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)
	numberPattern = regexp.MustCompile(`-?[0-9][0-9.]*`)
)

// parseLine parses a line and returns its time in seconds and its kind. ok is false if the line was not written by a relay.
func (s *Summary) parseLine(text string) (at float64, kind string, ok bool) {
	at, body, hasTimestamp := cutTimestamp(text)
	fields := parseFields(body)
	if fields["msg"] == "" || fields["level"] == "" {
		return 0, "", false
	}
	if !hasTimestamp {
		if at, ok = s.sinceFirstDate(fields["time"]); !ok {
			return 0, "", false
		}
	}
	return at, kindOf(fields), true
}

// cutTimestamp splits off the time in seconds that a recorder may have put before a line. A line without one is returned
// unchanged.
func cutTimestamp(text string) (at float64, body string, found bool) {
	timestamp, body, _ := strings.Cut(text, " ")
	at, err := strconv.ParseFloat(timestamp, 64)
	if err != nil || math.IsNaN(at) || math.Abs(at) >= maxTimestamp {
		return 0, text, false
	}
	return at, body, true
}

// sinceFirstDate returns the time in seconds from the date of the first line without a timestamp, over all logs, to a date.
func (s *Summary) sinceFirstDate(date string) (at float64, ok bool) {
	when, err := time.Parse(time.RFC3339, date)
	if err != nil {
		return 0, false
	}
	if s.firstDate.IsZero() {
		s.firstDate = when
	}
	return when.Sub(s.firstDate).Seconds(), true
}

// parseFields parses the fields of a line. If a name occurs more than once, the first field counts.
func parseFields(body string) map[string]string {
	fields := map[string]string{}
	for _, match := range fieldPattern.FindAllStringSubmatch(body, -1) {
		name, value := match[1], match[2]
		if strings.HasPrefix(value, `"`) {
			if unquoted, err := strconv.Unquote(value); err == nil {
				value = unquoted
			}
		}
		if _, seen := fields[name]; !seen {
			fields[name] = value
		}
	}
	return fields
}

// kindOf returns the kind of a line: the message up to a colon, with # in place of numbers, and the peer and the reason if the
// line has them. Terms of older logs are replaced by the current ones.
func kindOf(fields map[string]string) string {
	message, _, _ := strings.Cut(fields["msg"], ": ")
	message = numberPattern.ReplaceAllString(message, "#")
	kind := currentTerm(renamedMessages, message)
	if peer := fields["peer"]; peer != "" {
		kind += ", peer " + currentTerm(renamedPeers, peer)
	}
	if reason := fields["reason"]; reason != "" {
		kind += ", reason " + currentTerm(renamedReasons, reason)
	}
	return kind
}
