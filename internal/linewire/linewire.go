// Package linewire encodes and decodes the line protocol of the release platform: words separated by single spaces, each
// line ended by CRLF.
//
// request.go has what relays send, reply.go what the platform sends, status.go the rollout status in its lines. The package
// does no I/O and keeps no state but the incomplete line of a Splitter. It imports relay alone.
package linewire

import "errors"

// MaxLine is the longest line accepted, in bytes. The platform closes a connection at lines of 8 KiB.
const MaxLine = 8 << 10

// Errors of input, to be tested for by errors.Is.
var (
	ErrTooLong   = errors.New("line too long")
	ErrMalformed = errors.New("malformed line")
)

const lineEnd = "\r\n"
