package pgwire

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Query is what a statement of one of the two published forms holds: a read or a write of one object, with parameters in
// a comment.
type Query struct {
	ID             string
	Class          string // its name in the settings
	Tenant         string // the same
	IdempotencyKey string // by which endpoints drop a duplicate; empty: none
	Object         string
	DeadlineMillis int64 // that the client waits
	WorkMicros     int64 // expected
	HasWork        bool
	Retried        bool // the client marked it as a retry
	Write          bool

	// DeadlineStart and DeadlineEnd are where the digits of the deadline stand in the statement.
	DeadlineStart, DeadlineEnd int
}

// The two forms: readPrefix OBJECT readSuffix and writePrefix OBJECT writeInfix VALUE writeSuffix, each with parameters
// and commentEnd behind it.
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
)

// IsEmpty says whether a statement is an empty query.
func IsEmpty(text []byte) bool { return len(bytes.TrimRight(text, " \t\r\n;")) == 0 }

// Statement takes the statement out of the body of a Query message. An error wraps ErrMalformed.
func Statement(body []byte) ([]byte, error) {
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return nil, malformed("statement without its end")
	}
	return body[:len(body)-1], nil
}

// ParseQuery reads a statement. Anything but the two forms is an error, which wraps ErrMalformed or ErrTooLong: an
// endpoint would not accept it.
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

// parseStatement reads a statement up to the parameters, and gives the rest.
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

// parseObject reads the object, which end stands behind.
func (q *Query) parseObject(text []byte, end string) (rest []byte, err error) {
	object, rest, ok := bytes.Cut(text, []byte(end))
	if !ok || !isWord(object) {
		return nil, malformed("object")
	}
	q.Object = string(object)
	return rest, nil
}

// cutValue takes the value of a write off, which is only checked.
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

// parseParameters reads name=value pairs with commas between them, which stand at the given offset of the statement.
func (q *Query) parseParameters(text []byte, offset int) error {
	for len(text) > 0 {
		pair, rest, _ := bytes.Cut(text, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || !isWord(name) || !isWord(value) {
			return malformed("comment")
		}
		valueOffset := offset + len(name) + len("=")
		if err := q.setParameter(string(name), string(value), valueOffset); err != nil {
			return err
		}
		offset += len(pair) + len(",")
		text = rest
	}
	return nil
}

// setParameter takes one parameter, whose value stands at the given offset of the statement. Unknown ones are passed
// over.
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

// parseNumber reads a number from 0 to maxNumber.
func parseNumber(value string, maxNumber int64) (int64, error) {
	const base, bits = 10, 64
	number, err := strconv.ParseInt(value, base, bits)
	if err != nil {
		return 0, err
	}
	if number < 0 || number > maxNumber {
		return 0, strconv.ErrRange
	}
	return number, nil
}

// isWord says whether b may stand as an object, a name or a value: it has nothing that could end the literal, the value
// or the comment that it stands in.
func isWord(b []byte) bool {
	const reserved = `'\,*`
	for _, c := range b {
		if c == ' ' || !isPrintable(c) || strings.IndexByte(reserved, c) >= 0 {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxWordLength
}

// isHex says whether b is bytes in hexadecimal.
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
