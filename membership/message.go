package membership

import (
	"encoding/binary"

	"lichenroad/relay"
)

// The wire format. A message is one datagram. It begins with the magic byte that all messages between relays share,
// followed by the kind of the message:
//
//	magic byte, kind          one byte each
//	generation                uvarint
//	digest                    8 bytes, little-endian
//	answeredAt, failedPollAt  uvarints, Unix time in milliseconds; 0: none
//
// A delta continues with:
//
//	base generation           uvarint
//	base digest               8 bytes
//	part, parts, count        one byte each
//	endpoints                 count times 8 bytes
//
// Each uvarint has its shortest encoding, so that a message has exactly one encoding.
const (
	messageMagic  = 0x4c
	kindHeartbeat = 5
	kindDelta     = 6

	maxDatagramBytes  = 256 // set by the relay protocol
	maxDeltaEndpoints = 24  // in one datagram: 8 bytes each, after at most 60 bytes of header
	maxDeltaParts     = 32  // datagrams of one delta
)

// message is a heartbeat or a delta, which a relay sends to all others.
type message struct {
	version      listVersion
	answeredAt   uint64 // when discovery last confirmed this version to any relay, in Unix milliseconds; 0: unknown
	failedPollAt uint64 // start of the latest poll known to have failed, in Unix milliseconds; 0: none
	delta        *delta // nil: a heartbeat
}

// delta is the part of a delta that one datagram carries: some of the endpoints removed since the base version.
type delta struct {
	base      listVersion
	part      int // number of this part, from 0
	parts     int // number of parts of the whole delta
	endpoints []relay.EndpointID
}

// IsMessage reports whether a datagram from another relay is a message of this package. The message may still be malformed.
func IsMessage(body []byte) bool {
	return len(body) >= 2 && body[0] == messageMagic && (body[1] == kindHeartbeat || body[1] == kindDelta)
}

// splitDelta splits a delta into one part for each datagram. A delta without endpoints has one part. A delta that is too
// long to send has none.
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
