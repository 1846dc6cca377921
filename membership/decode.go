package membership

import (
	"encoding/binary"
	"math"

	"lichenroad/relay"
)

// malformedError is why a datagram is not a message.
type malformedError string

// Error returns the reason with the name of the package.
func (e malformedError) Error() string { return "membership: malformed message: " + string(e) }

const (
	errUnknownKind    malformedError = "unknown mark or kind"
	errTooLong        malformedError = "longer than a datagram may be"
	errTruncated      malformedError = "ends too early"
	errTrailingBytes  malformedError = "bytes after its end"
	errBadNumber      malformedError = "number too large or not in the fewest bytes"
	errBadPart        malformedError = "part or count of a delta out of range"
	errBaseAfterDelta malformedError = "base of a delta newer than its list"
)

// decode reads a datagram, which must be exactly one message. Its errors are malformedErrors.
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

// reader reads the fields of a message in order. After an error, the first of which it keeps, fields are zero.
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

// uvarint reads a number up to the largest int64, in the fewest bytes that hold it.
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

// next takes a number of bytes.
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
