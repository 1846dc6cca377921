package pgwire

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Query is a parsed statement. A statement reads or writes one object and has parameters in a trailing comment.
type Query struct {
	ID             string
	Class          string // name of the request class in the settings
	Tenant         string // name of the tenant in the settings
	IdempotencyKey string // lets endpoints recognize duplicates; empty: none
	Object         string
	DeadlineMillis int64 // how long the client waits for the response
	WorkMicros     int64 // expected work, if HasWork is set
	HasWork        bool
	Retried        bool // the client marked the request as a retry
	Write          bool

	// DeadlineStart and DeadlineEnd are the offsets of the deadline's digits in the statement.
	DeadlineStart, DeadlineEnd int
}

// The constant parts of the two published forms of statement. A read is readPrefix OBJECT readSuffix PARAMETERS commentEnd,
// a write is writePrefix OBJECT writeInfix VALUE writeSuffix PARAMETERS commentEnd.
const (
	readPrefix  = "SELECT body FROM objects WHERE oid = '"
	readSuffix  = "' /* "
	writePrefix = "INSERT INTO objects (oid, body) VALUES ('"
	writeInfix  = `', '\x`
	writeSuffix = "') RETURNING body /* "
	commentEnd  = " */"
)

const (
	maxDeadlineMillis = 24 * 3600_000   // a day
	maxWorkMicros     = 3600 * 1000_000 // an hour
	maxParameters     = 16              // clients send at most seven
)

// IsEmpty reports whether a statement is an empty query.
func IsEmpty(text []byte) bool { return len(bytes.TrimRight(text, " \t\r\n;")) == 0 }

// Statement returns the statement in the body of a Query message. Errors wrap ErrMalformed.
func Statement(body []byte) ([]byte, error) {
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return nil, malformed("statement without its end")
	}
	return body[:len(body)-1], nil
}

// ParseQuery parses a statement. It rejects everything except reads and writes of the published forms, as endpoints would
// not accept it either. Errors wrap ErrMalformed or ErrTooLong.
func ParseQuery(text []byte) (Query, error) {
	var query Query
	rest, err := query.parseStatement(text)
	if err != nil {
		return Query{}, err
	}
	parameters, ok := bytes.CutSuffix(rest, []byte(commentEnd))
	if !ok {
		return Query{}, malformed("comment")
	}
	if err := query.parseParameters(parameters, len(text)-len(rest)); err != nil {
		return Query{}, err
	}
	if query.ID == "" || query.Class == "" || query.DeadlineEnd == 0 {
		return Query{}, malformed("comment without id, c or d")
	}
	return query, nil
}

// parseStatement parses a statement up to the parameters and returns the rest.
func (q *Query) parseStatement(text []byte) (rest []byte, err error) {
	if rest, ok := bytes.CutPrefix(text, []byte(readPrefix)); ok {
		return q.parseObject(rest, readSuffix)
	}
	rest, ok := bytes.CutPrefix(text, []byte(writePrefix))
	if !ok {
		return nil, malformed("no statement of a known form")
	}
	q.Write = true
	if rest, err = q.parseObject(rest, writeInfix); err != nil {
		return nil, err
	}
	return cutValue(rest)
}

// parseObject parses the object, which ends before the first occurrence of end, and returns what follows end.
func (q *Query) parseObject(text []byte, end string) (rest []byte, err error) {
	object, rest, ok := bytes.Cut(text, []byte(end))
	if !ok || !isWord(object) {
		return nil, malformed("object")
	}
	q.Object = string(object)
	return rest, nil
}

// cutValue checks the value of a write, which is not decoded, and returns what follows writeSuffix.
func cutValue(text []byte) (rest []byte, err error) {
	const digitsPerByte = 2
	value, rest, ok := bytes.Cut(text, []byte(writeSuffix))
	if !ok || !isHex(value) {
		return nil, malformed("value")
	}
	if size := len(value) / digitsPerByte; size > MaxValue {
		return nil, fmt.Errorf("%w: value of %d bytes", ErrTooLong, size)
	}
	return rest, nil
}

// parseParameters parses a comma-separated list of name=value pairs that begins at the given offset of the statement. A name
// may occur once: a relay and an endpoint could otherwise go by different values.
func (q *Query) parseParameters(text []byte, offset int) error {
	var names [][]byte
	for len(text) > 0 {
		pair, rest, _ := bytes.Cut(text, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || !isWord(name) || !isWord(value) {
			return malformed("comment")
		}
		if len(names) == maxParameters {
			return malformed("comment with too many parameters")
		}
		for _, earlier := range names {
			if bytes.Equal(name, earlier) {
				return malformed("comment with the same name twice")
			}
		}
		names = append(names, name)
		valueOffset := offset + len(name) + len("=")
		if err := q.setParameter(string(name), string(value), valueOffset); err != nil {
			return err
		}
		offset += len(pair) + len(",")
		text = rest
	}
	return nil
}

// setParameter sets the field for a parameter whose value begins at the given offset of the statement. Parameters with
// unknown names are ignored.
func (q *Query) setParameter(name, value string, offset int) (err error) {
	switch name {
	case "id":
		q.ID = value
	case "c":
		q.Class = value
	case "t":
		q.Tenant = value
	case "k":
		q.IdempotencyKey = value
	case "r":
		q.Retried = value == "1"
	case "d":
		q.DeadlineMillis, err = parseNumber(value, maxDeadlineMillis)
		q.DeadlineStart, q.DeadlineEnd = offset, offset+len(value)
	case "h":
		q.WorkMicros, err = parseNumber(value, maxWorkMicros)
		q.HasWork = true
	}
	if err != nil {
		return malformed("value of " + name)
	}
	return nil
}

// parseNumber parses a decimal integer without a sign, of at most maxNumber.
func parseNumber(value string, maxNumber uint64) (int64, error) {
	const base, bits = 10, 64
	number, err := strconv.ParseUint(value, base, bits)
	if err != nil {
		return 0, err
	}
	if number > maxNumber {
		return 0, strconv.ErrRange
	}
	return int64(number), nil
}

// isWord reports whether b is valid as an object or as the name or value of a parameter: it contains nothing that could end
// the string literal, the parameter or the comment around it.
func isWord(b []byte) bool {
	const reserved = `'\,*`
	for _, c := range b {
		if c == ' ' || !isPrintable(c) || strings.IndexByte(reserved, c) >= 0 {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxWordLength
}

// isHex reports whether b is a hexadecimal encoding of whole bytes.
func isHex(b []byte) bool {
	for _, c := range b {
		isDigit := c >= '0' && c <= '9'
		isLetter := c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !isDigit && !isLetter {
			return false
		}
	}
	return len(b)%2 == 0
}
