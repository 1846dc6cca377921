package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// malformed returns an error that wraps ErrMalformed and names the malformed part.
func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// cutString splits b after its first zero-terminated string. ok is false if b has no zero byte.
func cutString(b []byte) (s string, rest []byte, ok bool) {
	head, rest, ok := bytes.Cut(b, []byte{0})
	if !ok {
		return "", nil, false
	}
	return string(head), rest, true
}

// ParseError parses the body of an ErrorResponse and returns its severity, SQLSTATE code and message text. The text is
// truncated to maxErrorText bytes. Errors wrap ErrMalformed.
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

// ParseStatus parses the body of a ParameterStatus. Errors wrap ErrMalformed.
func ParseStatus(body []byte) (name, value string, err error) {
	name, rest, nameOK := cutString(body)
	value, rest, valueOK := cutString(rest)
	if !nameOK || !valueOK || len(rest) != 0 {
		return "", "", malformed("ParameterStatus")
	}
	return name, value, nil
}

// CheckRowDescription checks that the body of a RowDescription describes exactly one column. Errors wrap ErrMalformed.
func CheckRowDescription(body []byte) error {
	const (
		countLength = 2  // length of the column count
		fixedLength = 18 // length of a column's fields after its name
	)
	if len(body) < countLength || binary.BigEndian.Uint16(body) != 1 {
		return malformed("RowDescription")
	}
	if _, rest, ok := cutString(body[countLength:]); !ok || len(rest) != fixedLength {
		return malformed("RowDescription")
	}
	return nil
}

// ParseRow returns the value of a DataRow with one column. The error is ErrTooLong if the value is longer than MaxValue;
// other errors wrap ErrMalformed.
func ParseRow(body []byte) ([]byte, error) {
	const (
		countLength = 2 // length of the column count
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

// CheckComplete checks that the body of a CommandComplete holds a printable command tag of 1 to maxWordLength bytes. Errors
// wrap ErrMalformed.
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

// isPrintable reports whether c is a printable ASCII character or a space.
func isPrintable(c byte) bool { return c >= ' ' && c <= '~' }
