package linewire

import (
	"bytes"
	"fmt"
)

// Splitter cuts a stream into lines. Its zero value is at the start of a stream; after an error it can't be used further.
type Splitter struct {
	partial []byte // of the line that is not complete yet
}

// Feed takes the next bytes and calls emit for every line that they complete, without its end.
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
