package pgwire

import (
	"encoding/binary"
	"fmt"
	"strings"

	"lichenroad/internal/buffer"
)

// Message is one message; its body is complete, and belongs to whoever gets it.
type Message struct {
	Type      byte // TypeStartup and so on
	Body      *buffer.Chain
	Discarded bool // the pool was full when it came: the body was passed over
}

// Splitter cuts a stream into messages, fed in pieces of any length. It belongs to one goroutine.
type Splitter struct {
	Pool      *buffer.Pool
	Startup   bool   // the next message is a startup packet
	Discard   bool   // pass over the bodies of queries that come while the pool is full
	Types     string // those that may come; empty: any
	MaxLength int    // bytes of a message; 0: MaxMessage

	header        [headerLength]byte // the type byte is not used of a startup packet
	headerRead    int                // bytes of the present message's header
	inBody        bool
	bodyRemaining int // bytes that are still to come
	message       Message
}

// Feed takes the next bytes and calls emit for every message that they complete. It stops at the first error, of emit or
// about the stream (ErrMalformed, ErrTooLong); the stream can't be read on after that.
func (s *Splitter) Feed(p []byte, emit func(Message) error) error {
	for {
		if !s.inBody {
			rest, complete, err := s.readHeader(p)
			if err != nil || !complete {
				return err
			}
			p = rest
		}
		rest, complete := s.readBody(p)
		if !complete {
			return nil
		}
		p = rest
		message := s.message
		s.inBody, s.message = false, Message{}
		if err := emit(message); err != nil {
			return err
		}
	}
}

// readHeader reads a message's header, and begins the message when it is complete.
func (s *Splitter) readHeader(p []byte) (rest []byte, complete bool, err error) {
	start := 0
	if s.Startup {
		start = typeLength
	}
	copied := copy(s.header[start+s.headerRead:], p)
	s.headerRead += copied
	if s.headerRead < headerLength-start {
		return nil, false, nil
	}
	length := int(binary.BigEndian.Uint32(s.header[typeLength:]))
	if err := s.checkHeader(length); err != nil {
		return nil, false, err
	}
	s.beginBody(length - lengthLength)
	return p[copied:], true, nil
}

// checkHeader checks the type and the length of the message whose header has been read.
func (s *Splitter) checkHeader(length int) error {
	maxLength := MaxMessage
	if s.MaxLength > 0 {
		maxLength = s.MaxLength
	}
	if s.Startup {
		maxLength = MaxStartup
	} else if s.Types != "" && strings.IndexByte(s.Types, s.header[0]) < 0 {
		return fmt.Errorf("%w: type %q", ErrMalformed, s.header[0])
	}
	if length < lengthLength {
		return fmt.Errorf("%w: length %d", ErrMalformed, length)
	}
	if length > maxLength {
		return fmt.Errorf("%w: %d bytes", ErrTooLong, length)
	}
	return nil
}

// beginBody begins the message whose header has been read.
func (s *Splitter) beginBody(length int) {
	s.message = Message{Type: s.header[0]}
	if s.Startup {
		s.message.Type = TypeStartup
	}
	s.bodyRemaining, s.inBody, s.headerRead = length, true, 0
	s.message.Discarded = s.Discard && s.message.Type == TypeQuery && s.Pool.Full()
	if !s.message.Discarded {
		s.message.Body = s.Pool.Chain()
	}
}

// readBody reads a message's body.
func (s *Splitter) readBody(p []byte) (rest []byte, complete bool) {
	size := min(s.bodyRemaining, len(p))
	if !s.message.Discarded {
		_, _ = s.message.Body.Write(p[:size]) // a chain's Write never fails
	}
	s.bodyRemaining -= size
	return p[size:], s.bodyRemaining == 0
}

// Partial says that a message has begun and is not complete.
func (s *Splitter) Partial() bool { return s.inBody || s.headerRead > 0 }

// Free gives up a message that has begun.
func (s *Splitter) Free() {
	s.message.Body.Free()
	s.message = Message{}
}
