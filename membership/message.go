package membership

import (
	"encoding/binary"

	"lichenroad/relay"
)

// The wire format. A message is one datagram; it begins with the mark of all messages between relays and a kind of its own:
//
//	mark, kind                one byte each
//	generation                uvarint
//	digest                    8 bytes, little-endian
//	answeredAt, failedPollAt  uvarints, Unix time in milliseconds; 0: none
//
// A delta continues with
//
//	base generation           uvarint
//	base digest               8 bytes
//	part, parts, count        one byte each
//	endpoints                 count times 8 bytes
//
// Numbers are encoded in the fewest bytes, so that a message has exactly one encoding.
const (
	messageMagic  = 0x4c
	kindHeartbeat = 5
	kindDelta     = 6

	maxDatagramBytes  = 256 // protocol
	maxDeltaEndpoints = 24  // in one datagram: 8 bytes each beside at most 60 of header
	maxDeltaParts     = 32  // datagrams of one delta
)

// message is what one relay sends to all others.
type message struct {
	version      listVersion
	answeredAt   uint64 // when discovery last confirmed this version to any relay, Unix milliseconds; 0: not known
	failedPollAt uint64 // when the latest poll began that is known to have failed; 0: none
	delta        *delta // nil: a heartbeat
}

// delta is one datagram's part of the endpoints removed since an older list.
type delta struct {
	base      listVersion
	part      int // from 0
	parts     int // of the whole delta
	endpoints []relay.EndpointID
}

// IsMessage reports whether a datagram between relays belongs to this package. Its body may still be malformed.
func IsMessage(body []byte) bool {
	return len(body) >= 2 && body[0] == messageMagic && (body[1] == kindHeartbeat || body[1] == kindDelta)
}

// splitDelta distributes the endpoints of a delta over datagrams; one without endpoints takes one. It returns none for a
// delta that is too long to send.
func splitDelta(base listVersion, endpoints []relay.EndpointID) []delta {
	parts := max(1, (len(endpoints)+maxDeltaEndpoints-1)/maxDeltaEndpoints)
	if parts > maxDeltaParts {
		return nil
	}
	deltas := make([]delta, 0, parts)
	for part := range parts {
		start := part * maxDeltaEndpoints
		end := min(start+maxDeltaEndpoints, len(endpoints))
		deltas = append(deltas, delta{base: base, part: part, parts: parts, endpoints: endpoints[start:end]})
	}
	return deltas
}

// encode returns the datagram of a message.
func (m message) encode() []byte {
	kind := byte(kindHeartbeat)
	if m.delta != nil {
		kind = kindDelta
	}
	body := appendVersion([]byte{messageMagic, kind}, m.version)
	body = binary.AppendUvarint(body, m.answeredAt)
	body = binary.AppendUvarint(body, m.failedPollAt)
	if m.delta != nil {
		body = m.delta.append(body)
	}
	return body
}

func (d *delta) append(body []byte) []byte {
	body = appendVersion(body, d.base)
	body = append(body, byte(d.part), byte(d.parts), byte(len(d.endpoints)))
	for _, endpoint := range d.endpoints {
		body = binary.LittleEndian.AppendUint64(body, uint64(endpoint))
	}
	return body
}

func appendVersion(body []byte, version listVersion) []byte {
	body = binary.AppendUvarint(body, uint64(version.generation))
	return binary.LittleEndian.AppendUint64(body, version.digest)
}
