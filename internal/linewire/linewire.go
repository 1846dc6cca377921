// Package linewire encodes and decodes the line protocol between relays and the rollout platform. A line consists of words
// separated by single spaces and ends with CRLF.
//
// request.go has the lines that relays send, reply.go those that the platform sends, and status.go the rollout status in
// them. The package does no I/O, and its only state is the incomplete line in a Splitter. It imports only the relay package
// from this module.
package linewire

import "errors"

// MaxLine is the maximum length of a line in bytes. The platform closes a connection when it receives a line of 8 KiB.
const MaxLine = 8 << 10

// Errors of received input, for use with errors.Is.
var (
	ErrTooLong   = errors.New("line too long")
	ErrMalformed = errors.New("malformed line")
)

const lineEnd = "\r\n"
