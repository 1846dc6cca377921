package membership

import (
	"encoding/binary"
	"math"

	"lichenroad/relay"
)

// malformedError is the reason why a datagram is not a valid message.
type malformedError string

// Error returns the reason, prefixed with the package name.
func (e malformedError) Error() string { return "membership: malformed message: " + string(e) }

const (
	errUnknownKind    malformedError = "unknown magic byte or kind"
	errTooLong        malformedError = "longer than the maximum datagram size"
	errTruncated      malformedError = "truncated"
	errTrailingBytes  malformedError = "trailing bytes"
	errBadNumber      malformedError = "number out of range or not in its shortest encoding"
	errBadPart        malformedError = "part number, number of parts or number of endpoints of a delta out of range"
	errBaseAfterDelta malformedError = "base version of a delta newer than its target version"
)

// decode parses a datagram, which must contain exactly one message. Its errors are of type malformedError.
func decode(body []byte) (message, error) {
	if !IsMessage(body) {
		return message{}, errUnknownKind
	}
	if len(body) > maxDatagramBytes {
		return message{}, errTooLong
	}
	r := &reader{rest: body[2:]}
	m := message{version: r.version(), answeredAt: r.uvarint(), failedPollAt: r.uvarint()}
	if body[1] == kindDelta {
		m.delta = r.delta()
		if m.delta.base.generation > m.version.generation {
			r.fail(errBaseAfterDelta)
		}
	}
	if len(r.rest) > 0 {
		r.fail(errTrailingBytes)
	}
	return m, r.err
}

// reader reads the fields of a message in order. It keeps the first error; all fields read after an error are zero.
type reader struct {
	rest []byte
	err  error // nil or a malformedError
}

func (r *reader) fail(err malformedError) {
	r.rest = nil
	if r.err == nil {
		r.err = err
	}
}

// uvarint reads a varint of at most math.MaxInt64 in its shortest encoding, and fails on any other.
func (r *reader) uvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size == 0 {
		r.fail(errTruncated)
		return 0
	}
	tooLarge := size < 0 || value > math.MaxInt64
	if tooLarge || (size > 1 && r.rest[size-1] == 0) {
		r.fail(errBadNumber)
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// next consumes the given number of bytes and returns them, or zeros if the message is shorter.
func (r *reader) next(size int) []byte {
	if len(r.rest) < size {
		r.fail(errTruncated)
		return make([]byte, size)
	}
	field := r.rest[:size]
	r.rest = r.rest[size:]
	return field
}

func (r *reader) uint64() uint64 { return binary.LittleEndian.Uint64(r.next(8)) }

func (r *reader) byte() int { return int(r.next(1)[0]) }

func (r *reader) version() listVersion {
	return listVersion{generation: int64(r.uvarint()), digest: r.uint64()}
}

func (r *reader) delta() *delta {
	d := &delta{base: r.version(), part: r.byte(), parts: r.byte()}
	count := r.byte()
	partsInRange := d.parts >= 1 && d.parts <= maxDeltaParts && d.part < d.parts
	if !partsInRange || count > maxDeltaEndpoints {
		r.fail(errBadPart)
		return d
	}
	for range count {
		d.endpoints = append(d.endpoints, relay.EndpointID(r.uint64()))
	}
	return d
}
