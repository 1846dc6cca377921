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

// timeSpan is the time from the start of a test to some time after it, in Unix seconds.
type timeSpan struct{ from, to float64 }

// spanFromNow is a span of some length that begins now.
func spanFromNow(length time.Duration) timeSpan {
	now := float64(time.Now().UnixNano()) / 1e9
	return timeSpan{now, now + length.Seconds()}
}

// maskTimes replaces the Unix times within a span, which differ in each run. Times of a kept journal are earlier, and those
// that a test sets are later; both are kept.
func maskTimes(text string, masked timeSpan) string {
	return unixTimes.ReplaceAllStringFunc(text, func(number string) string {
		at, err := strconv.ParseFloat(number, 64)
		if err != nil || at < masked.from || at > masked.to {
			return number
		}
		return "TIME"
	})
}

// maskTextTimes replaces all dates with times in a printed text; as these have one width, columns stay aligned.
func maskTextTimes(text string) string { return textTimes.ReplaceAllString(text, "TIME") }
