// Package pgwire reads and builds messages of version 3 of PostgreSQL's wire protocol, as far as simple
// queries without a password need it. It does no I/O and every length is bounded.
package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lichenroad/internal/buffer"
)

// Bounds, in bytes.
const (
	MaxValue    = 64 << 10             // of a value, by the protocol page
	MaxMessage  = 2*MaxValue + 4096    // of a message: a value in hex with the statement round it
	MaxResponse = MaxValue + 1024      // of a message from a unit
	MaxStartup  = 4096                 // of a startup message
	headLen     = 5                    // type and length
	maxErrText  = 200                  // of a peer's error text that is kept
	sslCode     = 80877103             // SSLRequest
	gssCode     = 80877104             // GSSENCRequest
	cancelCode  = 80877102             // CancelRequest
	version3    = 3 << 16              // the protocol's version
	versionTop  = version3 + 1<<16 - 1 // any minor version
)

// Complaints about what came in.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLong   = errors.New("message too long")
)

// Message is one message; the body is whole, and belongs to whoever gets it.
type Message struct {
	Type      byte // 0: a startup packet
	Body      *buffer.Chain
	Discarded bool // the pool was full when it came: the body was passed over
}

// FromUnits are the types of the messages that units send.
const FromUnits = "RKNSTDCEZ"

// Splitter cuts a stream into messages, fed in any pieces.
type Splitter struct {
	Pool      *buffer.Pool
	Startup   bool   // the next message has no type byte
	Discard   bool   // pass over the bodies of queries that come while the pool is full
	Types     string // those that may come; empty: any
	MaxLength int    // bytes of a message; 0: MaxMessage

	head  [headLen]byte
	got   int
	left  int
	begun bool
	msg   Message
}

// Feed takes the next bytes and calls emit for every message that they complete, until one fails.
func (s *Splitter) Feed(p []byte, emit func(Message) error) error {
	for {
		if !s.begun {
			first := 0
			if s.Startup {
				first = 1 // no type
			}
			k := copy(s.head[first+s.got:], p)
			p = p[k:]
			if s.got += k; s.got < headLen-first {
				return nil
			}
			n, most := int(binary.BigEndian.Uint32(s.head[1:])), MaxMessage
			if s.MaxLength > 0 {
				most = s.MaxLength
			}
			s.msg = Message{Type: s.head[0]}
			if s.Startup {
				s.msg.Type, most = 0, MaxStartup
			} else if s.Types != "" && strings.IndexByte(s.Types, s.head[0]) < 0 {
				return fmt.Errorf("%w: type %q", ErrMalformed, s.head[0])
			}
			if n < 4 {
				return fmt.Errorf("%w: length %d", ErrMalformed, n)
			}
			if n > most {
				return fmt.Errorf("%w: %d bytes", ErrTooLong, n)
			}
			s.left, s.begun, s.got = n-4, true, 0
			if s.msg.Discarded = s.Discard && s.msg.Type == 'Q' && s.Pool.Full(); !s.msg.Discarded {
				s.msg.Body = s.Pool.Chain()
			}
		}
		k := min(s.left, len(p))
		if !s.msg.Discarded {
			s.msg.Body.Write(p[:k])
		}
		p = p[k:]
		if s.left -= k; s.left > 0 {
			return nil
		}
		m := s.msg
		s.begun, s.msg = false, Message{}
		if err := emit(m); err != nil {
			return err
		}
	}
}

// Partial says that a message has begun and is not whole.
func (s *Splitter) Partial() bool { return s.begun || s.got > 0 }

// Free gives up a message that was begun.
func (s *Splitter) Free() {
	s.msg.Body.Free()
	s.msg = Message{}
}

// NoEncryption answers requests for encryption.
const NoEncryption = 'N'

// Opening is what a startup packet asks for.
type Opening int

const (
	OpenSession Opening = iota
	OpenEncryption
	OpenCancel
)

// ParseStartup reads the body of a startup packet.
func ParseStartup(b []byte) (Opening, error) {
	if len(b) < 4 {
		return 0, fmt.Errorf("%w: short startup", ErrMalformed)
	}
	switch code := binary.BigEndian.Uint32(b); {
	case code == sslCode || code == gssCode:
		return OpenEncryption, nil
	case code == cancelCode:
		return OpenCancel, nil
	case code < version3 || code > versionTop:
		return 0, fmt.Errorf("%w: protocol version %d.%d", ErrMalformed, code>>16, code&0xffff)
	}
	if b[len(b)-1] != 0 {
		return 0, fmt.Errorf("%w: startup without its end", ErrMalformed)
	}
	return OpenSession, nil
}

func begin(b []byte, kind byte) ([]byte, int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

func end(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

func str(b []byte, s string) []byte { return append(append(b, s...), 0) }

// Startup is the packet with which a session is opened.
func Startup(user, database string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 0}, version3)
	b = append(str(str(str(str(b, "user"), user), "database"), database), 0)
	return end(b, 0)
}

// Welcome is the answer to a startup packet, up to and with ReadyForQuery.
func StartupResponse(session uint32) []byte {
	b, at := begin(nil, 'R')
	b = end(binary.BigEndian.AppendUint32(b, 0), at)
	for _, kv := range [...][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"}} {
		b, at = begin(b, 'S')
		b = end(str(str(b, kv[0]), kv[1]), at)
	}
	b, at = begin(b, 'K')
	b = end(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, session), 0), at)
	return Ready(b)
}

// Ready appends ReadyForQuery.
func Ready(b []byte) []byte { return append(b, 'Z', 0, 0, 0, 5, 'I') }

// EmptyQueryResponse answers an empty query.
func EmptyQueryResponse() []byte { return Ready([]byte{'I', 0, 0, 0, 4}) }

// Severities.
const (
	Error = "ERROR"
	Fatal = "FATAL"
)

// Codes of ErrorResponses, from PostgreSQL's list.
const (
	CodeFull         = "53300" // too_many_connections: trying again is harmless
	CodeShuttingDown = "57P03" // cannot_connect_now: the same
	CodeFailed       = "58000" // system_error: no promise about what was done
	CodeProtocol     = "08P01" // protocol_violation
	CodeSyntax       = "42601" // syntax_error
	CodeTooLong      = "54000" // program_limit_exceeded
	CodeUnsupported  = "0A000" // feature_not_supported
)

// ErrorResponse builds an ErrorResponse; detail may be empty.
func ErrorResponse(severity, code, text, detail string) []byte {
	b, at := begin(nil, 'E')
	b = str(append(b, 'S'), severity)
	b = str(append(b, 'V'), severity)
	b = str(append(b, 'C'), code)
	b = str(append(b, 'M'), text)
	if detail != "" {
		b = str(append(b, 'D'), detail)
	}
	return end(append(b, 0), at)
}

// Later is the detail field that names a time to come back, in milliseconds.
func RetryAfterDetail(ms int64) string { return strconv.FormatInt(ms, 10) }

// QueryMessage builds a simple query.
func QueryMessage(text string) []byte {
	b, at := begin(nil, 'Q')
	return end(str(b, text), at)
}

// Header appends the first bytes of a message whose body of n bytes follows.
func Header(b []byte, kind byte, n int) []byte {
	return binary.BigEndian.AppendUint32(append(b, kind), uint32(n+4))
}

// cut takes a zero-ended string off b.
func cut(b []byte) (s string, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}

// ParseError reads code, severity and text of an ErrorResponse.
func ParseError(b []byte) (severity, code, text string, err error) {
	for len(b) > 0 && b[0] != 0 {
		field := b[0]
		s, rest, ok := cut(b[1:])
		if !ok {
			break
		}
		switch b = rest; field {
		case 'S':
			severity = s
		case 'C':
			code = s
		case 'M':
			text = s[:min(len(s), maxErrText)]
		}
	}
	if len(b) != 1 || b[0] != 0 || code == "" {
		return "", "", "", fmt.Errorf("%w: ErrorResponse", ErrMalformed)
	}
	return severity, code, text, nil
}

// ParseStatus reads a ParameterStatus.
func ParseStatus(b []byte) (name, value string, err error) {
	name, b, ok1 := cut(b)
	value, b, ok2 := cut(b)
	if !ok1 || !ok2 || len(b) != 0 {
		return "", "", fmt.Errorf("%w: ParameterStatus", ErrMalformed)
	}
	return name, value, nil
}

// CheckRowDescription wants exactly one column.
func CheckRowDescription(b []byte) error {
	const fixed = 18 // bytes of a column behind its name
	if len(b) < 2 || binary.BigEndian.Uint16(b) != 1 {
		return fmt.Errorf("%w: RowDescription", ErrMalformed)
	}
	if _, rest, ok := cut(b[2:]); !ok || len(rest) != fixed {
		return fmt.Errorf("%w: RowDescription", ErrMalformed)
	}
	return nil
}

// ParseRow gives the value of a DataRow of one column.
func ParseRow(b []byte) ([]byte, error) {
	if len(b) < 6 || binary.BigEndian.Uint16(b) != 1 || int64(binary.BigEndian.Uint32(b[2:])) != int64(len(b)-6) {
		return nil, fmt.Errorf("%w: DataRow", ErrMalformed)
	}
	if len(b)-6 > MaxValue {
		return nil, ErrTooLong
	}
	return b[6:], nil
}

// CheckComplete wants a CommandComplete with a tag that can be read.
func CheckComplete(b []byte) error {
	tag, rest, ok := cut(b)
	if !ok || len(rest) != 0 || tag == "" || len(tag) > maxWord {
		return fmt.Errorf("%w: CommandComplete", ErrMalformed)
	}
	for _, c := range []byte(tag) {
		if c < ' ' || c > '~' {
			return fmt.Errorf("%w: CommandComplete", ErrMalformed)
		}
	}
	return nil
}
