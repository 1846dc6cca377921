package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// malformed returns an error that wraps ErrMalformed and names what can't be read.
func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// cutString takes a string that a zero byte ends off b.
func cutString(b []byte) (s string, rest []byte, ok bool) {
	head, rest, ok := bytes.Cut(b, []byte{0})
	if !ok {
		return "", nil, false
	}
	return string(head), rest, true
}

// ParseError reads severity, code and text of an ErrorResponse's body; the text may be cut off. An error wraps
// ErrMalformed.
func ParseError(body []byte) (severity, code, text string, err error) {
	for len(body) > 0 && body[0] != 0 {
		value, rest, ok := cutString(body[1:])
		if !ok {
			break
		}
		switch body[0] {
		case fieldSeverity:
			severity = value
		case fieldCode:
			code = value
		case fieldMessage:
			text = value[:min(len(value), maxErrorText)]
		}
		body = rest
	}
	ended := len(body) == 1 && body[0] == 0
	if !ended || code == "" {
		return "", "", "", malformed("ErrorResponse")
	}
	return severity, code, text, nil
}

// ParseStatus reads the body of a ParameterStatus. An error wraps ErrMalformed.
func ParseStatus(body []byte) (name, value string, err error) {
	name, rest, nameOK := cutString(body)
	value, rest, valueOK := cutString(rest)
	if !nameOK || !valueOK || len(rest) != 0 {
		return "", "", malformed("ParameterStatus")
	}
	return name, value, nil
}

// CheckRowDescription returns an error, which wraps ErrMalformed, unless the body of a RowDescription has exactly one
// column.
func CheckRowDescription(body []byte) error {
	const (
		countLength = 2  // of the number of columns
		fixedLength = 18 // of a column behind its name
	)
	if len(body) < countLength || binary.BigEndian.Uint16(body) != 1 {
		return malformed("RowDescription")
	}
	if _, rest, ok := cutString(body[countLength:]); !ok || len(rest) != fixedLength {
		return malformed("RowDescription")
	}
	return nil
}

// ParseRow gives the value of a DataRow of one column. An error wraps ErrMalformed, or ErrTooLong.
func ParseRow(body []byte) ([]byte, error) {
	const (
		countLength = 2 // of the number of columns
		valueAt     = countLength + lengthLength
	)
	if len(body) < valueAt || binary.BigEndian.Uint16(body) != 1 {
		return nil, malformed("DataRow")
	}
	value := body[valueAt:]
	if int64(binary.BigEndian.Uint32(body[countLength:])) != int64(len(value)) {
		return nil, malformed("DataRow")
	}
	if len(value) > MaxValue {
		return nil, ErrTooLong
	}
	return value, nil
}

// CheckComplete returns an error, which wraps ErrMalformed, unless the body of a CommandComplete has a tag that can be
// read.
func CheckComplete(body []byte) error {
	tag, rest, ok := cutString(body)
	if !ok || len(rest) != 0 || tag == "" || len(tag) > maxWordLength {
		return malformed("CommandComplete")
	}
	for _, c := range []byte(tag) {
		if !isPrintable(c) {
			return malformed("CommandComplete")
		}
	}
	return nil
}

// isPrintable says whether a byte is a printable ASCII character or a space.
func isPrintable(c byte) bool { return c >= ' ' && c <= '~' }
