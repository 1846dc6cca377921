package membership

import (
	"encoding/binary"
	"errors"
	"math"

	"lichenroad/relay"
)

// The wire form. A message is one datagram, with the mark that all messages between relays begin with and a form of its own:
//
//	mark, form          one byte each
//	generation          uvarint
//	digest              8 bytes, little-endian
//	answered, attempted uvarints, Unix time in milliseconds; 0: none
//
// and behind that, in a delta,
//
//	base generation     uvarint
//	base digest         8 bytes
//	part, parts, count  one byte each
//	units               count times 8 bytes
const (
	messageMark   = 0x4c
	formHeartbeat = 5
	formDelta     = 6

	maxBody  = 256 // bytes of a datagram (protocol)
	maxUnits = 24  // units in one datagram: 8 bytes each beside at most 60 of header
	maxParts = 32  // datagrams of one delta
)

var errMessage = errors.New("membership: unreadable message")

// message is what one relay tells all others.
type message struct {
	view      view
	answered  uint64 // when discovery last gave this view to any relay, Unix milliseconds; 0: not known
	attempted uint64 // when the latest call began that is known to have failed; 0: none
	delta     *delta // nil: a heartbeat
}

// delta is one part of the units that left since an older list.
type delta struct {
	base  view
	part  int
	parts int
	units []relay.EndpointID
}

// IsMessage says whether a datagram between relays is this package's.
func IsMessage(body []byte) bool {
	return len(body) >= 2 && body[0] == messageMark && (body[1] == formHeartbeat || body[1] == formDelta)
}

// split makes the datagrams of a delta. One with no units is one datagram; of one that is too long only the start is
// told, which never makes it whole.
func split(base view, units []relay.EndpointID) (deltas []delta) {
	parts := max(1, (len(units)+maxUnits-1)/maxUnits)
	if parts > maxParts {
		return nil
	}
	for part := range parts {
		from := part * maxUnits
		deltas = append(deltas, delta{base, part, parts, units[from:min(from+maxUnits, len(units))]})
	}
	return deltas
}

func appendView(b []byte, v view) []byte {
	b = binary.AppendUvarint(b, uint64(v.generation))
	return binary.LittleEndian.AppendUint64(b, v.digest)
}

func (m message) encode() []byte {
	form := byte(formHeartbeat)
	if m.delta != nil {
		form = formDelta
	}
	b := appendView([]byte{messageMark, form}, m.view)
	b = binary.AppendUvarint(b, m.answered)
	b = binary.AppendUvarint(b, m.attempted)
	if m.delta == nil {
		return b
	}
	b = appendView(b, m.delta.base)
	b = append(b, byte(m.delta.part), byte(m.delta.parts), byte(len(m.delta.units)))
	for _, unit := range m.delta.units {
		b = binary.LittleEndian.AppendUint64(b, uint64(unit))
	}
	return b
}

// reader reads a message; what it reads past the end is zero, and an error.
type reader struct {
	rest []byte
	err  error
}

// uvarint reads a number in the fewest bytes that hold it, as encode writes it.
func (r *reader) uvarint() uint64 {
	v, size := binary.Uvarint(r.rest)
	if size <= 0 || v > math.MaxInt64 || size > 1 && r.rest[size-1] == 0 {
		r.rest, r.err = nil, errMessage
		return 0
	}
	r.rest = r.rest[size:]
	return v
}

func (r *reader) take(size int) []byte {
	if len(r.rest) < size {
		r.rest, r.err = nil, errMessage
		return make([]byte, size)
	}
	taken := r.rest[:size]
	r.rest = r.rest[size:]
	return taken
}

func (r *reader) uint64() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }

func (r *reader) byte() int { return int(r.take(1)[0]) }

func (r *reader) view() view { return view{int64(r.uvarint()), r.uint64()} }

// decode reads a datagram, which must be a message to its last byte.
func decode(body []byte) (message, error) {
	if !IsMessage(body) || len(body) > maxBody {
		return message{}, errMessage
	}
	r := &reader{rest: body[2:]}
	m := message{view: r.view(), answered: r.uvarint(), attempted: r.uvarint()}
	if body[1] == formDelta {
		m.delta = r.delta()
		if m.delta.base.generation > m.view.generation {
			r.err = errMessage
		}
	}
	if len(r.rest) > 0 {
		r.err = errMessage
	}
	return m, r.err
}

func (r *reader) delta() *delta {
	d := &delta{base: r.view(), part: r.byte(), parts: r.byte()}
	count := r.byte()
	if d.parts < 1 || d.parts > maxParts || d.part >= d.parts || count > maxUnits {
		r.err = errMessage
		return d
	}
	for range count {
		d.units = append(d.units, relay.EndpointID(r.uint64()))
	}
	return d
}

// toWire gives a time as Unix milliseconds, and fromWire takes it back. A peer's clock that is ahead can't make its word
// later than now.
func (n *Node) toWire(t relay.Seconds) uint64 {
	if t == Never || t+n.set.Epoch <= 0 {
		return 0
	}
	return uint64((t + n.set.Epoch) * 1000)
}

func (n *Node) fromWire(ms uint64) relay.Seconds {
	if ms == 0 {
		return Never
	}
	return math.Min(n.now, float64(ms)/1000-n.set.Epoch)
}
