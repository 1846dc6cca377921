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

// timeSpan is a span of time, in Unix seconds.
type timeSpan struct{ from, to float64 }

// spanFromNow returns the span of a length that begins now.
func spanFromNow(length time.Duration) timeSpan {
	now := float64(time.Now().UnixNano()) / 1e9
	return timeSpan{now, now + length.Seconds()}
}

// maskTimes replaces the Unix times within a span, which differ between runs. Times in a recorded journal are before the span,
// and those that a test sets are after it; both are left unchanged.
func maskTimes(text string, masked timeSpan) string {
	return unixTimes.ReplaceAllStringFunc(text, func(number string) string {
		at, err := strconv.ParseFloat(number, 64)
		if err != nil || at < masked.from || at > masked.to {
			return number
		}
		return "TIME"
	})
}

// maskTextTimes replaces all combinations of date and time in a printed text. They all have the same width, so columns stay
// aligned.
func maskTextTimes(text string) string { return textTimes.ReplaceAllString(text, "TIME") }
