// Package pgwire reads and builds messages of version 3 of PostgreSQL's wire protocol, as far as simple queries without
// a password need it, and the statements that the relay serves. It does no I/O, and every length is bounded.
//
// It has no state but a Splitter's, which belongs to the goroutine that feeds it; the functions are safe on any. It
// imports only internal/buffer.
package pgwire

import "errors"

// Bounds, in bytes.
const (
	// MaxValue is the longest value, by the protocol page.
	MaxValue = 64 << 10
	// MaxMessage is the longest message from a client: a value in hexadecimal with the statement around it.
	MaxMessage = 2*MaxValue + 4096
	// MaxResponse is the longest message from an endpoint.
	MaxResponse = MaxValue + 1024
	// MaxStartup is the longest startup packet.
	MaxStartup = 4096

	typeLength    = 1
	lengthLength  = 4 // of the length field, which counts itself
	headerLength  = typeLength + lengthLength
	maxErrorText  = 200 // of a peer's error text that is kept
	maxWordLength = 128 // of an object, a name, a value of a parameter or a command tag
)

// Errors about what came in, tested by errors.Is.
var (
	// ErrMalformed is the error of a message or a statement that can't be read.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLong is the error of a message or a value beyond its bound.
	ErrTooLong = errors.New("message too long")
)
