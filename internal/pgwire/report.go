package pgwire

import (
	"strconv"
	"strings"
)

const mostLoad = 1e9 // of any figure of load

// ParseLoadReport reads a load report, name=value pairs with commas between, into the order of fields. It is
// nil where one of them is missing, can't be read or can't be a figure of load.
func ParseLoadReport(report string, fields []string) []float32 {
	values := make([]float32, len(fields))
	found := 0
	for _, pair := range strings.Split(report, ",") {
		name, value, _ := strings.Cut(pair, "=")
		for i, f := range fields {
			if f != strings.TrimSpace(name) {
				continue
			}
			v, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
			if err != nil || !(v >= 0 && v <= mostLoad) {
				return nil
			}
			values[i] = float32(v)
			found++
		}
	}
	if found != len(fields) {
		return nil
	}
	return values
}
