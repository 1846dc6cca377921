package pgwire

import (
	"strconv"
	"strings"
)

// maxLoad is the highest figure of a load report that is believed.
const maxLoad = 1e9

// ParseLoadReport reads a load report, name=value pairs with commas between them, into the order of fields. It is nil
// where one of those is missing, can't be read or can't be a figure of load; other names are passed over.
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

// parseLoad reads one figure of load.
func parseLoad(text string) (value float32, ok bool) {
	const bits = 32
	number, err := strconv.ParseFloat(text, bits)
	if err != nil || !(number >= 0 && number <= maxLoad) { // NaN is neither
		return 0, false
	}
	return float32(number), true
}
