// Package httpwire builds HTTP/1.1 requests without a body and parses the responses to them. It has no I/O, goroutines or
// shared state: the caller reads from its connection and feeds the bytes to the parser in parts of any length. The size of
// every part of a response is bounded. The package imports only the standard library.
package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Size limits of a response.
const (
	MaxHeaderBytes = 16 << 10 // status line and header fields; applied separately to each chunk size line and to the trailer
	MaxBodyBytes   = 4 << 20  // a list of a thousand endpoints of 4 KB each, indented and with long names
)

// Errors of a response, for use with errors.Is.
var (
	ErrTooLong   = errors.New("response too long")
	ErrMalformed = errors.New("malformed response")
	ErrTruncated = errors.New("response truncated")
)

// Status codes that determine what follows the header of a response.
const (
	firstFinalStatus  = 200 // responses with lower status codes are interim responses
	statusNoContent   = 204
	statusNotModified = 304
)

// Get returns a GET request. The connection stays open after the response.
func Get(host, target string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n"
}

// state is the part of a response that is parsed next.
type state int

const (
	inStatusLine state = iota
	inFields
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	inBodyUntilClose // the end of the connection ends the body
	done
)

// Response parses one response. It must be used by one goroutine. The zero value is ready for use.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the connection can't carry another request

	state       state
	line        []byte // the received part of an incomplete line
	headerBytes int    // bytes counted against MaxHeaderBytes
	remaining   int    // bytes of the body or chunk that were not received yet
	hasLength   bool
	chunked     bool
}

// Started reports whether any part of the response was received.
func (r *Response) Started() bool { return r.state != inStatusLine || len(r.line) > 0 }

// Done reports whether the response is complete.
func (r *Response) Done() bool { return r.state == done }

// Feed processes the next bytes of the connection and returns how many of them belong to this response. The error is
// ErrTooLong or wraps ErrMalformed; after it the response can't be parsed any further.
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

// End must be called when the connection has ended. It returns ErrTruncated if the response is incomplete.
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

// feedBody appends data to the body, up to the end of the body or of the current chunk.
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

// feedLine takes data up to the end of the line, and parses the line if it is complete.
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
			return fmt.Errorf("%w: chunk is not followed by a line end", ErrMalformed)
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
		return fmt.Errorf("%w: header field %.40q", ErrMalformed, line)
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || r.hasLength && int(length) != r.remaining {
			return fmt.Errorf("%w: content length %.40q", ErrMalformed, value)
		}
		r.remaining, r.hasLength = int(length), true
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: transfer encoding %.40q", ErrMalformed, value)
		}
		r.chunked = true
	case "connection":
		r.Close = r.Close || strings.EqualFold(value, "close")
	}
	return nil
}

// startBody selects the state that follows the header, by status code and framing.
func (r *Response) startBody() error {
	r.headerBytes = 0
	switch {
	case r.Status < firstFinalStatus: // an interim response: parse the response that follows it
		*r = Response{}
	case r.chunked && r.hasLength:
		return fmt.Errorf("%w: both chunked and with a content length", ErrMalformed)
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

// parseChunkSize starts a chunk or, after the last chunk, the trailer.
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
