package scale

import (
	"encoding/binary"
	"errors"
	"math"

	"lichenroad/relay"
)

// Stand-ins tell fusers of attempts that nobody made, in the decision code's own wire form, which package policy keeps
// to itself. What stands here is a second implementation of that form: a test holds it to the bytes of real relays.
const (
	wireMark       = 0x4c
	reportForm     = 3 // of verdicts and attempts
	findingForm    = 4 // of a fuser's finding
	attemptsPerMsg = 36
	depthMask      = 7
	paceSteps      = 8 // of the byte of a pace, in a doubling
	paceMiddle     = 128
	mostInMessage  = 1 << 20
)

// attemptReport is how one attempt ended, as a fuser is told.
type attemptReport struct {
	unit     uint32 // the 24 bits that stand for the unit
	category int
	how      relay.Outcome
	newest   bool
	young    bool
	late     bool
	depth    int
	pace     byte
}

// verdictReport is a relay's word on one category.
type verdictReport struct {
	flagged  bool
	outcomes uint64
}

// report is a relay's message to the fusers.
type report struct {
	build    relay.Build
	stage    relay.Stage
	verdicts []verdictReport
	attempts []attemptReport
}

var errReport = errors.New("not a report")

// unitMark is the 24 bits that stand for a unit.
func unitMark(id relay.EndpointID) uint32 { return uint32(uint64(id) * 0x9e3779b97f4a7c15 >> 40) }

// paceByte puts a pace into one byte.
func paceByte(pace float64) byte {
	if !(pace > 0) {
		return 0
	}
	return byte(math.Min(math.Max(math.Round(paceSteps*math.Log2(pace))+paceMiddle, 1), 255))
}

func flag(set bool, shift int) uint64 {
	if set {
		return 1 << shift
	}
	return 0
}

func (r *report) encode() []byte {
	b := binary.AppendUvarint([]byte{wireMark, reportForm}, uint64(r.build))
	b = binary.AppendUvarint(b, uint64(r.stage))
	b = binary.AppendUvarint(b, uint64(len(r.verdicts)))
	for _, v := range r.verdicts {
		b = binary.AppendUvarint(b, v.outcomes<<1|flag(v.flagged, 0))
	}
	b = binary.AppendUvarint(b, uint64(len(r.attempts)))
	for _, a := range r.attempts {
		b = append(b, byte(a.unit), byte(a.unit>>8), byte(a.unit>>16))
		b = binary.AppendUvarint(b, uint64(a.category)<<2|flag(a.young, 1)|flag(a.newest, 0))
		b = append(b, byte(a.how)&7|byte(a.depth)&depthMask<<3|byte(flag(a.late, 7)), a.pace)
	}
	return b
}

// decodeReport reads a report; a test needs it.
func decodeReport(b []byte) (r report, err error) {
	if len(b) < 2 || b[0] != wireMark || b[1] != reportForm {
		return r, errReport
	}
	b = b[2:]
	number := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > mostInMessage {
			b, err = nil, errReport
			return 0
		}
		b = b[n:]
		return v
	}
	r.build, r.stage = relay.Build(number()), relay.Stage(number())
	for i := number(); i > 0 && err == nil; i-- {
		v := number()
		r.verdicts = append(r.verdicts, verdictReport{v&1 == 1, v >> 1})
	}
	for i := number(); i > 0 && err == nil; i-- {
		if len(b) < 6 {
			return r, errReport
		}
		a := attemptReport{unit: uint32(b[0]) | uint32(b[1])<<8 | uint32(b[2])<<16}
		b = b[3:]
		v := number()
		if len(b) < 2 {
			return r, errReport
		}
		a.category, a.young, a.newest = int(v>>2), v&2 != 0, v&1 != 0
		a.how, a.depth, a.late, a.pace = relay.Outcome(b[0]&7), int(b[0]>>3&depthMask), b[0]&128 != 0, b[1]
		b = b[2:]
		r.attempts = append(r.attempts, a)
	}
	if len(b) > 0 {
		return r, errReport
	}
	return r, err
}

// isFinding says whether a datagram is what a fuser finds.
func isFinding(b []byte) bool { return len(b) > 1 && b[0] == wireMark && b[1] == findingForm }
