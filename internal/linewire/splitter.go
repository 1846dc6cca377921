package linewire

import (
	"bytes"
	"fmt"
)

// Splitter splits a byte stream into lines. The zero value is ready for use at the start of a stream. After an error a
// Splitter can't be used any more.
type Splitter struct {
	partial []byte // the received part of an incomplete line
}

// Feed processes the next bytes of the stream and calls emit for every line that they complete, without its CRLF. The error
// is ErrTooLong or wraps ErrMalformed.
func (s *Splitter) Feed(received []byte, emit func(line string)) error {
	for len(received) > 0 {
		size := bytes.IndexByte(received, '\n')
		complete := size >= 0
		if !complete {
			size = len(received)
		}
		if len(s.partial)+size > MaxLine {
			return ErrTooLong
		}
		s.partial = append(s.partial, received[:size]...)
		if !complete {
			return nil
		}
		line, hasReturn := bytes.CutSuffix(s.partial, []byte("\r"))
		if !hasReturn {
			return fmt.Errorf("%w: no CR before LF", ErrMalformed)
		}
		text := string(line)
		s.partial = s.partial[:0]
		received = received[size+1:]
		emit(text)
	}
	return nil
}
