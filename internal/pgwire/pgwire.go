// Package pgwire encodes and decodes messages of version 3 of PostgreSQL's wire protocol, and parses the statements that a
// relay serves. It supports the subset of the protocol that simple queries without password authentication need. It does no
// I/O, and the length of everything that it parses is bounded.
//
// Its only state is that of a Splitter, which must be used by one goroutine; the functions are safe for concurrent use. The
// package imports only internal/buffer from this module.
package pgwire

import "errors"

// Length limits, in bytes.
const (
	// MaxValue is the maximum length of a value, set by the relay protocol.
	MaxValue = 64 << 10
	// MaxMessage is the maximum length of a message from a client: a value in hexadecimal and the statement around it.
	MaxMessage = 2*MaxValue + 4096
	// MaxResponse is the maximum length of a message from an endpoint.
	MaxResponse = MaxValue + 1024
	// MaxStartup is the maximum length of a startup packet.
	MaxStartup = 4096

	typeLength    = 1
	lengthLength  = 4 // the length field, whose value includes these 4 bytes
	headerLength  = typeLength + lengthLength
	maxErrorText  = 200 // the part of an endpoint's error text that is kept
	maxWordLength = 128 // an object, a parameter's name or value, or a command tag
)

// Errors of received input, for use with errors.Is.
var (
	// ErrMalformed is the error for a message or statement that can't be parsed.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLong is the error for a message or value that exceeds its maximum length.
	ErrTooLong = errors.New("message too long")
)
