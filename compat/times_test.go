package compat_test

import (
	"regexp"
	"strconv"
	"time"
)

var (
	unixTimes = regexp.MustCompile(`\b[12][0-9]{9}(\.[0-9]+)?`)
	textTimes = regexp.MustCompile(`\b([0-9]{4}-)?[0-9]{2}-[0-9]{2}[ T][0-9]{2}:[0-9]{2}:[0-9]{2}Z`)
)

// span is the time of a running test, with what lies ahead of it.
type timeSpan struct{ from, to float64 }

// spanFromNow is a span that begins now.
func spanFromNow(length time.Duration) timeSpan {
	now := float64(time.Now().UnixNano()) / 1e9
	return timeSpan{now, now + length.Seconds()}
}

// maskTimes replaces the Unix times of a running test, which no two runs have in common. Times of a golden journal are
// earlier, and those that a test names are later; both stand as they are.
func maskTimes(text string, masked timeSpan) string {
	return unixTimes.ReplaceAllStringFunc(text, func(number string) string {
		at, err := strconv.ParseFloat(number, 64)
		if err != nil || at < masked.from || at > masked.to {
			return number
		}
		return "TIME"
	})
}

// maskTextTimes replaces the times in a text for people, whatever they are: they are of one width, so columns keep theirs.
func maskTextTimes(text string) string { return textTimes.ReplaceAllString(text, "TIME") }
