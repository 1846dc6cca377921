// Package httpwire builds HTTP/1.1 requests without a body and parses the responses to them. It is a parser without I/O,
// goroutines or shared state: the caller reads from its connection and feeds what comes, in any pieces. Every part of a
// response is bounded. It imports the standard library alone.
package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of a response.
const (
	MaxHeaderBytes = 16 << 10 // status line and header fields, and again chunk sizes and trailers
	MaxBodyBytes   = 4 << 20  // a list of a thousand endpoints at 4 KB each, indented and with long names
)

// Errors of a response.
var (
	ErrTooLong   = errors.New("answer too long")
	ErrMalformed = errors.New("malformed answer")
	ErrTruncated = errors.New("answer cut short")
)

// Status codes that decide how a response goes on.
const (
	firstFinalStatus  = 200 // those below are interim responses
	statusNoContent   = 204
	statusNotModified = 304
)

// Get returns a GET request that keeps the connection open.
func Get(host, target string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n"
}

// state is the part of a response that comes next.
type state int

const (
	inStatusLine state = iota
	inFields
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	inBodyUntilClose // the body ends with the connection
	done
)

// Response parses one response. It belongs to one goroutine.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the connection can't carry another request

	state       state
	line        []byte // what has come of a line
	headerBytes int    // that count against MaxHeaderBytes
	remaining   int    // bytes of the body or the chunk
	hasLength   bool
	chunked     bool
}

// Started says whether something of the response has come.
func (r *Response) Started() bool { return r.state != inStatusLine || len(r.line) > 0 }

// Done says whether the response is complete.
func (r *Response) Done() bool { return r.state == done }

// Feed takes bytes and returns how many of them belonged to this response. After an error, which is ErrTooLong or wraps
// ErrMalformed, the response can't go on.
func (r *Response) Feed(data []byte) (consumed int, err error) {
	for consumed < len(data) && r.state != done {
		var n int
		if r.inBodyData() {
			n, err = r.feedBody(data[consumed:])
		} else {
			n, err = r.feedLine(data[consumed:])
		}
		consumed += n
		if err != nil {
			return consumed, err
		}
	}
	return consumed, nil
}

// End says that the connection has ended. It returns ErrTruncated unless the response may end there.
func (r *Response) End() error {
	if r.state == inBodyUntilClose {
		r.state = done
	}
	if r.state != done {
		return ErrTruncated
	}
	return nil
}

func (r *Response) inBodyData() bool {
	return r.state == inBody || r.state == inChunkData || r.state == inBodyUntilClose
}

// feedBody appends data to the body, up to its end or that of the chunk.
func (r *Response) feedBody(data []byte) (consumed int, err error) {
	if r.state != inBodyUntilClose {
		data = data[:min(len(data), r.remaining)]
	}
	if len(r.Body)+len(data) > MaxBodyBytes {
		return 0, ErrTooLong
	}
	r.Body = append(r.Body, data...)
	if r.state == inBodyUntilClose {
		return len(data), nil
	}
	r.remaining -= len(data)
	switch {
	case r.remaining > 0:
	case r.state == inChunkData:
		r.state = inChunkEnd
	default:
		r.state = done
	}
	return len(data), nil
}

// feedLine takes data up to the end of the line, and parses the line if that has come.
func (r *Response) feedLine(data []byte) (consumed int, err error) {
	end := bytes.IndexByte(data, '\n')
	complete := end >= 0
	if complete {
		data = data[:end+1]
	}
	r.line = append(r.line, data...)
	r.headerBytes += len(data)
	if r.headerBytes > MaxHeaderBytes {
		return len(data), ErrTooLong
	}
	if !complete {
		return len(data), nil
	}
	line := strings.TrimSuffix(string(r.line[:len(r.line)-1]), "\r")
	r.line = r.line[:0]
	return len(data), r.parseLine(line)
}

func (r *Response) parseLine(line string) error {
	switch r.state {
	case inStatusLine:
		return r.parseStatusLine(line)
	case inFields:
		if line == "" {
			return r.startBody()
		}
		return r.parseField(line)
	case inChunkSize:
		return r.parseChunkSize(line)
	case inChunkEnd:
		if line != "" {
			return fmt.Errorf("%w: no line end behind a chunk", ErrMalformed)
		}
		r.state = inChunkSize
	case inTrailer:
		if line == "" {
			r.state = done
		}
	}
	return nil
}

func (r *Response) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || !strings.HasPrefix(version, "HTTP/1.") {
		return fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
	}
	r.Status, r.Close = status, version == "HTTP/1.0"
	r.state = inFields
	return nil
}

func (r *Response) parseField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || name == "" || strings.ContainsAny(name, " \t") {
		return fmt.Errorf("%w: field %.40q", ErrMalformed, line)
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || r.hasLength && int(length) != r.remaining {
			return fmt.Errorf("%w: length %.40q", ErrMalformed, value)
		}
		r.remaining, r.hasLength = int(length), true
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: encoding %.40q", ErrMalformed, value)
		}
		r.chunked = true
	case "connection":
		r.Close = r.Close || strings.EqualFold(value, "close")
	}
	return nil
}

// startBody decides what follows the header.
func (r *Response) startBody() error {
	r.headerBytes = 0
	switch {
	case r.Status < firstFinalStatus: // the final response follows
		*r = Response{}
	case r.chunked && r.hasLength:
		return fmt.Errorf("%w: two lengths", ErrMalformed)
	case r.chunked:
		r.state = inChunkSize
	case r.hasNoBody():
		r.state = done
	case r.hasLength && r.remaining > MaxBodyBytes:
		return ErrTooLong
	case r.hasLength:
		r.state = inBody
	default:
		r.state, r.Close = inBodyUntilClose, true
	}
	return nil
}

func (r *Response) hasNoBody() bool {
	return r.Status == statusNoContent || r.Status == statusNotModified || r.hasLength && r.remaining == 0
}

// parseChunkSize starts a chunk, or the trailer behind the last one.
func (r *Response) parseChunkSize(line string) error {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return fmt.Errorf("%w: chunk size %.40q", ErrMalformed, line)
	}
	r.headerBytes = 0
	if size == 0 {
		r.state = inTrailer
		return nil
	}
	r.remaining, r.state = int(size), inChunkData
	return nil
}
