package pgwire

import (
	"strconv"
	"strings"
)

// maxLoad is the highest value of a load report that is accepted.
const maxLoad = 1e9

// ParseLoadReport parses a load report, which is a comma-separated list of name=value pairs, and returns the values in the
// order of fields. It returns nil if the value of a field is missing, malformed, negative, infinite, NaN or above maxLoad.
// Names that are not in fields are ignored.
func ParseLoadReport(report string, fields []string) []float32 {
	values := make([]float32, len(fields))
	found := 0
	for _, pair := range strings.Split(report, ",") {
		name, text, _ := strings.Cut(pair, "=")
		for i, field := range fields {
			if field != strings.TrimSpace(name) {
				continue
			}
			value, ok := parseLoad(strings.TrimSpace(text))
			if !ok {
				return nil
			}
			values[i] = value
			found++
		}
	}
	if found != len(fields) {
		return nil
	}
	return values
}

func parseLoad(text string) (value float32, ok bool) {
	const bits = 32
	number, err := strconv.ParseFloat(text, bits)
	if err != nil || !(number >= 0 && number <= maxLoad) { // the negation also rejects NaN
		return 0, false
	}
	return float32(number), true
}
