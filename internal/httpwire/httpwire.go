// Package httpwire builds HTTP/1.1 requests without a body and reads the answers to them. It does no I/O.
package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of an answer, in bytes.
const (
	MaxHead = 16 << 10 // status line and header fields, also of trailers
	MaxBody = 4 << 20  // a list of a thousand units at 4 KB each, indented and with long names
)

// Complaints about an answer.
var (
	ErrTooLong   = errors.New("answer too long")
	ErrMalformed = errors.New("malformed answer")
	ErrCut       = errors.New("answer cut short")
)

// Get is a GET request that keeps the connection.
func Get(host, target string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n"
}

type part int

const (
	inStatus part = iota
	inFields
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	inRest // up to the end of the connection
	done
)

// Response reads one answer, fed in any pieces.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the connection is not good for another request

	at      part
	line    []byte
	head    int
	left    int
	sized   bool
	chunked bool
}

// Begun says that something of the answer has come.
func (r *Response) Begun() bool { return r.at != inStatus || len(r.line) > 0 }

// Done says that the answer is whole.
func (r *Response) Done() bool { return r.at == done }

// Feed takes bytes and returns how many belonged to this answer.
func (r *Response) Feed(p []byte) (int, error) {
	total := len(p)
	for len(p) > 0 && r.at != done {
		switch r.at {
		case inBody, inChunk, inRest:
			k := len(p)
			if r.at != inRest {
				k = min(k, r.left)
			}
			if len(r.Body)+k > MaxBody {
				return total - len(p), ErrTooLong
			}
			r.Body = append(r.Body, p[:k]...)
			p = p[k:]
			if r.at == inRest {
				continue
			}
			if r.left -= k; r.left == 0 && r.at == inBody {
				r.at = done
			} else if r.left == 0 {
				r.at = inChunkEnd
			}
		default:
			i := bytes.IndexByte(p, '\n')
			if i < 0 {
				i = len(p) - 1
			}
			r.line = append(r.line, p[:i+1]...)
			p = p[i+1:]
			if r.head += i + 1; r.head > MaxHead {
				return total - len(p), ErrTooLong
			}
			if r.line[len(r.line)-1] != '\n' {
				continue
			}
			line := strings.TrimSuffix(string(r.line[:len(r.line)-1]), "\r")
			r.line = r.line[:0]
			if err := r.take(line); err != nil {
				return total - len(p), err
			}
		}
	}
	return total - len(p), nil
}

// End tells that the connection ended; it is an error unless the answer may end so.
func (r *Response) End() error {
	if r.at == inRest {
		r.at = done
	}
	if r.at != done {
		return ErrCut
	}
	return nil
}

func (r *Response) take(line string) error {
	switch r.at {
	case inStatus:
		version, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		n, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || n < 100 || !strings.HasPrefix(version, "HTTP/1.") {
			return fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
		}
		r.Status, r.Close = n, version == "HTTP/1.0"
		r.at = inFields
	case inFields:
		if line == "" {
			return r.body()
		}
		return r.field(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return fmt.Errorf("%w: chunk size %.40q", ErrMalformed, line)
		}
		r.head = 0
		if r.left, r.at = int(n), inChunk; n == 0 {
			r.at = inTrailer
		}
	case inChunkEnd:
		if line != "" {
			return fmt.Errorf("%w: no line end behind a chunk", ErrMalformed)
		}
		r.at = inChunkSize
	case inTrailer:
		if line == "" {
			r.at = done
		}
	}
	return nil
}

func (r *Response) field(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return fmt.Errorf("%w: field %.40q", ErrMalformed, line)
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || r.sized && int(n) != r.left {
			return fmt.Errorf("%w: length %.40q", ErrMalformed, value)
		}
		r.left, r.sized = int(n), true
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

// body decides what follows the head.
func (r *Response) body() error {
	r.head = 0
	switch {
	case r.Status < 200: // an interim answer; the real one follows
		*r = Response{}
	case r.chunked && r.sized:
		return fmt.Errorf("%w: two lengths", ErrMalformed)
	case r.chunked:
		r.at = inChunkSize
	case r.Status == 204 || r.Status == 304 || r.sized && r.left == 0:
		r.at = done
	case r.sized && r.left > MaxBody:
		return ErrTooLong
	case r.sized:
		r.at = inBody
	default:
		r.at, r.Close = inRest, true
	}
	return nil
}
