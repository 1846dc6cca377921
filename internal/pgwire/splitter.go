package pgwire

import (
	"encoding/binary"
	"fmt"
	"strings"

	"lichenroad/internal/buffer"
)

// Message is one complete message. Its receiver owns the body and must free it.
type Message struct {
	Type      byte          // one of the Type constants
	Body      *buffer.Chain // nil if Discarded
	Discarded bool          // the body was discarded because the pool was full
}

// Splitter splits a byte stream into messages. The stream is fed in parts of any length. A Splitter must be used by one
// goroutine.
type Splitter struct {
	Pool      *buffer.Pool
	Startup   bool       // the next message is a startup packet
	Discard   bool       // discard the bodies of queries for which the pool has no room
	Held      func() int // number of earlier queries that are not answered, for the pool's shares; nil: none
	Types     string     // accepted message types; empty: all
	MaxLength int        // maximum length of a message in bytes; 0: MaxMessage

	header        [headerLength]byte // in a startup packet the type byte is unused
	headerRead    int                // bytes of the current message's header that were received
	inBody        bool
	bodyRemaining int // bytes of the body that were not received yet
	message       Message
	incoming      *buffer.Incoming // the body of the current query; nil if it is not limited or is discarded
}

// Feed processes the next bytes of the stream and calls emit for every message that they complete. It returns the first
// error, either from emit or one that wraps ErrMalformed or ErrTooLong. After an error the Splitter can't continue.
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

// readHeader reads a message's header, and begins the body once the header is complete.
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

// checkHeader checks the type and the length in the header that was read.
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

// beginBody begins the body of the message whose header was read. length is that of the body.
func (s *Splitter) beginBody(length int) {
	s.message = Message{Type: s.header[0]}
	if s.Startup {
		s.message.Type = TypeStartup
	}
	s.bodyRemaining, s.inBody, s.headerRead = length, true, 0
	if !s.Discard || s.message.Type != TypeQuery {
		s.message.Body = s.Pool.Chain()
		return
	}
	held := 0
	if s.Held != nil {
		held = s.Held()
	}
	s.incoming = s.Pool.Receive(length, held)
	s.message.Discarded = s.incoming == nil
}

// readBody reads what p holds of the message's body.
func (s *Splitter) readBody(p []byte) (rest []byte, complete bool) {
	size := min(s.bodyRemaining, len(p))
	switch {
	case s.incoming != nil:
		s.incoming.Write(p[:size])
	case !s.message.Discarded:
		_, _ = s.message.Body.Write(p[:size]) // a chain's Write never fails
	}
	s.bodyRemaining -= size
	if s.bodyRemaining > 0 {
		return p[size:], false
	}
	if s.incoming != nil {
		s.message.Body = s.incoming.Complete()
		s.message.Discarded = s.message.Body == nil
		s.incoming = nil
	}
	return p[size:], true
}

// Partial reports whether a message has begun that is not complete yet.
func (s *Splitter) Partial() bool { return s.inBody || s.headerRead > 0 }

// Free discards an incomplete message and frees its body.
func (s *Splitter) Free() {
	s.message.Body.Free()
	s.incoming.Free()
	s.message, s.incoming = Message{}, nil
}
