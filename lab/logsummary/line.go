package logsummary

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// maxStamp is the largest time stamp in seconds that is taken as one, about 30 years.
const maxStamp = 1e9

var (
	fieldPattern  = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)
	numberPattern = regexp.MustCompile(`-?[0-9][0-9.]*`)
)

// parseLine reads one line: its time in seconds and its kind. ok is false for a line that no relay wrote.
func (s *Summary) parseLine(text string) (at float64, kind string, ok bool) {
	at, body, stamped := cutStamp(text)
	fields := parseFields(body)
	if fields["msg"] == "" || fields["level"] == "" {
		return 0, "", false
	}
	if !stamped {
		if at, ok = s.sinceFirstDate(fields["time"]); !ok {
			return 0, "", false
		}
	}
	return at, kindOf(fields), true
}

// cutStamp takes off the time in seconds that a recorder put before a line. Without one it gives the line as it is.
func cutStamp(text string) (at float64, body string, stamped bool) {
	stamp, body, _ := strings.Cut(text, " ")
	at, err := strconv.ParseFloat(stamp, 64)
	if err != nil || math.IsNaN(at) || math.Abs(at) >= maxStamp {
		return 0, text, false
	}
	return at, body, true
}

// sinceFirstDate is the time of a dated line in seconds since the first such line of the fleet.
func (s *Summary) sinceFirstDate(date string) (at float64, ok bool) {
	when, err := time.Parse(time.RFC3339, date)
	if err != nil {
		return 0, false
	}
	if s.dated.IsZero() {
		s.dated = when
	}
	return when.Sub(s.dated).Seconds(), true
}

// parseFields reads the fields of a line, name=value with the value quoted where need be. The first of a name counts.
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

// kindOf is the message up to a colon, with # for its numbers, then peer and reason where the line has them; in the
// present words, whichever the line was written in.
func kindOf(fields map[string]string) string {
	message, _, _ := strings.Cut(fields["msg"], ": ")
	message = numberPattern.ReplaceAllString(message, "#")
	kind := present(renamedMessages, message)
	if peer := fields["peer"]; peer != "" {
		kind += ", peer " + present(renamedPeers, peer)
	}
	if reason := fields["reason"]; reason != "" {
		kind += ", reason " + present(renamedReasons, reason)
	}
	return kind
}
