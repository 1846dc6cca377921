package xmlconfig

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

// maxSpan is the longest duration that Seconds accepts.
const maxSpan = 31 * 24 * time.Hour

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 64

// Number parses an attribute as a decimal number from lowest to highest. It returns fallback if the attribute is absent or
// invalid.
func (r *Reader) Number(node *Node, name string, fallback, lowest, highest float64) float64 {
	text, ok := node.Attrs[name]
	if !ok {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	inRange := value >= lowest && value <= highest // false for NaN
	// ParseFloat also accepts hexadecimal, "Inf", "NaN" and underscores.
	if err != nil || !inRange || strings.ContainsAny(text, "xXpPnN_") {
		r.AddFault(node, "%s: %.20q is no number from %g to %g", name, text, lowest, highest)
		return fallback
	}
	return value
}

// Seconds parses an attribute as a duration such as 90s, 5m or 1h30m and returns it in seconds. It returns fallback if the
// attribute is absent or invalid.
func (r *Reader) Seconds(node *Node, name string, fallback float64) float64 {
	text, ok := node.Attrs[name]
	if !ok {
		return fallback
	}
	span, err := time.ParseDuration(text)
	// ParseDuration also accepts signs and units below the millisecond.
	if err != nil || span < 0 || span > maxSpan || strings.ContainsAny(text, "+-nµu") {
		r.AddFault(node, "%s: %.20q is no span of up to 31 days, such as 90s, 5m or 1h30m", name, text)
		return fallback
	}
	return span.Seconds()
}

// UniqueName returns the value of the attribute "name" and adds it to taken. A value that is not a valid name or is already
// in taken is a fault.
func (r *Reader) UniqueName(node *Node, taken map[string]bool) string {
	name, given := node.Attrs["name"]
	if given && !isName(name) {
		r.AddFault(node, "Name: %.20q is no name (letters, digits, '.', '_' and '-', 64 at most)", name)
	} else if taken[name] {
		r.AddFault(node, "Name: %q stands twice", name)
	}
	taken[name] = true
	return name
}

func isName(text string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
	hasOther := strings.ContainsFunc(text, func(c rune) bool { return !strings.ContainsRune(allowed, c) })
	return text != "" && len(text) <= maxNameLength && !hasOther
}

// Enum parses an attribute whose value is one of the words. It returns fallback if the attribute is absent. Any other value
// is a fault, and the result is zero.
func Enum[T ~int](r *Reader, node *Node, name string, fallback T, words map[string]T) T {
	text, ok := node.Attrs[name]
	if !ok {
		return fallback
	}
	value, known := words[text]
	if !known {
		var list []string
		for word := range words {
			list = append(list, word)
		}
		sort.Strings(list)
		r.AddFault(node, "%s: %.20q is none of %s", name, text, strings.Join(list, ", "))
	}
	return value
}

// CheckAddress reports whether an attribute is an address with a port. If not, it records a fault.
func (r *Reader) CheckAddress(node *Node, name string) bool {
	address := node.Attrs[name]
	colon := strings.LastIndexByte(address, ':')
	_, err := strconv.ParseUint(address[colon+1:], 10, 16)
	if colon <= 0 || err != nil {
		r.AddFault(node, "%s: %.40q is no address with a port", name, address)
		return false
	}
	return true
}
