package xmlconfig

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

// maxSpan bounds spans of time.
const maxSpan = 31 * 24 * time.Hour

// maxNameLength bounds names, in bytes.
const maxNameLength = 64

// Number reads an attribute as a decimal number from lowest to highest. It gives fallback where the attribute is absent or
// at fault.
func (r *Reader) Number(node *Node, name string, fallback, lowest, highest float64) float64 {
	text, ok := node.Attrs[name]
	if !ok {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	inRange := value >= lowest && value <= highest // not so for NaN
	// ParseFloat also takes hexadecimal, "Inf", "NaN" and underscores.
	if err != nil || !inRange || strings.ContainsAny(text, "xXpPnN_") {
		r.AddFault(node, "%s: %.20q is no number from %g to %g", name, text, lowest, highest)
		return fallback
	}
	return value
}

// Seconds reads an attribute as a span of time such as 90s, 5m or 1h30m, and gives its seconds. It gives fallback where the
// attribute is absent or at fault.
func (r *Reader) Seconds(node *Node, name string, fallback float64) float64 {
	text, ok := node.Attrs[name]
	if !ok {
		return fallback
	}
	span, err := time.ParseDuration(text)
	// ParseDuration also takes signs and units below the millisecond.
	if err != nil || span < 0 || span > maxSpan || strings.ContainsAny(text, "+-nµu") {
		r.AddFault(node, "%s: %.20q is no span of up to 31 days, such as 90s, 5m or 1h30m", name, text)
		return fallback
	}
	return span.Seconds()
}

// UniqueName reads the attribute name. It must be a name and not be in taken, to which it is added.
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

// Enum reads an attribute that is one of some words. It gives fallback where the attribute is absent; where it is none of
// the words, that is a fault and the result is zero.
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

// CheckAddress checks that an attribute is an address with a port, and says whether it is.
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
