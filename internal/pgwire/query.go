package pgwire

import (
	"bytes"
	"fmt"
	"strconv"
)

// Query is what a statement of one of the two published forms holds.
type Query struct {
	ID             string
	Class          string // its name in the settings
	Tenant         string // the same
	Number         string // of a query that may come twice: units know it by that
	Object         string
	DeadlineMillis int64 // ms that the client waits
	Work           int64 // expected, in microseconds
	HasWork        bool
	Retried        bool // marked as a repeat by the client
	Write          bool
	// Where the digits of the patience stand in the statement.
	DeadlineStart, DeadlineEnd int
}

const (
	readHead  = "SELECT body FROM objects WHERE oid = '"
	readTail  = "' /* "
	writeHead = "INSERT INTO objects (oid, body) VALUES ('"
	writeMid  = `', '\x`
	writeTail = "') RETURNING body /* "
	noteEnd   = " */"
	maxWord   = 128             // bytes of an object, a name or a value
	maxWait   = 24 * 3600_000   // ms of patience
	mostWork  = 3600 * 1000_000 // microseconds of work
)

// IsEmpty says whether a statement is an empty query.
func IsEmpty(text []byte) bool { return len(bytes.TrimRight(text, " \t\r\n;")) == 0 }

// Statement takes the statement out of the body of a Query message.
func Statement(body []byte) ([]byte, error) {
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return nil, fmt.Errorf("%w: statement without its end", ErrMalformed)
	}
	return body[:len(body)-1], nil
}

// word says whether b may stand as an object, a name or a value: nothing that could end the literal, the
// value or the comment that it stands in.
func word(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' || c == '\'' || c == '\\' || c == ',' || c == '*' {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxWord
}

func hex(b []byte) bool {
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(b)%2 == 0
}

// ParseQuery reads a statement. Anything but the two forms is an error: a unit would not take it.
func ParseQuery(text []byte) (q Query, err error) {
	bad := func(what string) (Query, error) { return Query{}, fmt.Errorf("%w: %s", ErrMalformed, what) }
	rest, ok := bytes.CutPrefix(text, []byte(readHead))
	tail := readTail
	if !ok {
		if rest, ok = bytes.CutPrefix(text, []byte(writeHead)); !ok {
			return bad("no statement of a known form")
		}
		q.Write, tail = true, writeMid
	}
	object, rest, ok := bytes.Cut(rest, []byte(tail))
	if !ok || !word(object) {
		return bad("object")
	}
	q.Object = string(object)
	if q.Write {
		var value []byte
		if value, rest, ok = bytes.Cut(rest, []byte(writeTail)); !ok || !hex(value) {
			return bad("value")
		}
		if len(value) > 2*MaxValue {
			return Query{}, fmt.Errorf("%w: value of %d bytes", ErrTooLong, len(value)/2)
		}
	}
	note, ok := bytes.CutSuffix(rest, []byte(noteEnd))
	if !ok {
		return bad("comment")
	}
	at := len(text) - len(rest)
	for len(note) > 0 {
		pair, after, _ := bytes.Cut(note, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || !word(name) || !word(value) {
			return bad("comment")
		}
		if err := q.name(string(name), string(value), at+len(name)+1); err != nil {
			return Query{}, err
		}
		at += len(pair) + 1
		note = after
	}
	if q.ID == "" || q.Class == "" || q.DeadlineEnd == 0 {
		return bad("comment without id, c or d")
	}
	return q, nil
}

// name takes one named value, which stands at an offset of the statement.
func (q *Query) name(name, value string, at int) (err error) {
	number := func(most int64) (n int64) {
		if n, err = strconv.ParseInt(value, 10, 64); err == nil && (n < 0 || n > most) {
			err = strconv.ErrRange
		}
		return n
	}
	switch name {
	case "id":
		q.ID = value
	case "c":
		q.Class = value
	case "t":
		q.Tenant = value
	case "k":
		q.Number = value
	case "r":
		q.Retried = value == "1"
	case "d":
		q.DeadlineMillis, q.DeadlineStart, q.DeadlineEnd = number(maxWait), at, at+len(value)
	case "h":
		q.Work, q.HasWork = number(mostWork), true
	}
	if err != nil {
		return fmt.Errorf("%w: value of %s", ErrMalformed, name)
	}
	return nil
}
