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
	messageMagic         = 0x4c
	reportKind           = 3 // of verdicts and attempts
	decisionKind         = 4 // of a fuser's finding
	maxAttemptsPerReport = 36
	depthMask            = 7
	latencyRatioSteps    = 8 // of the byte of a pace, in a doubling
	latencyRatioBias     = 128
	maxNumber            = 1 << 20
)

// attemptReport is how one attempt ended, as a fuser is told.
type attemptReport struct {
	endpointMark  uint32 // the 24 bits that stand for the unit
	class         int
	outcome       relay.Outcome
	newestBuild   bool
	slowStarting  bool
	overObjective bool
	depth         int
	latencyRatio  byte
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

// endpointMark is the 24 bits that stand for a unit.
func endpointMark(id relay.EndpointID) uint32 { return uint32(uint64(id) * 0x9e3779b97f4a7c15 >> 40) }

// encodeLatencyRatio puts a pace into one byte.
func encodeLatencyRatio(latencyRatio float64) byte {
	if !(latencyRatio > 0) {
		return 0
	}
	return byte(math.Min(math.Max(math.Round(latencyRatioSteps*math.Log2(latencyRatio))+latencyRatioBias, 1), 255))
}

func flag(set bool, shift int) uint64 {
	if set {
		return 1 << shift
	}
	return 0
}

func (r *report) encode() []byte {
	b := binary.AppendUvarint([]byte{messageMagic, reportKind}, uint64(r.build))
	b = binary.AppendUvarint(b, uint64(r.stage))
	b = binary.AppendUvarint(b, uint64(len(r.verdicts)))
	for _, v := range r.verdicts {
		b = binary.AppendUvarint(b, v.outcomes<<1|flag(v.flagged, 0))
	}
	b = binary.AppendUvarint(b, uint64(len(r.attempts)))
	for _, a := range r.attempts {
		b = append(b, byte(a.endpointMark), byte(a.endpointMark>>8), byte(a.endpointMark>>16))
		b = binary.AppendUvarint(b, uint64(a.class)<<2|flag(a.slowStarting, 1)|flag(a.newestBuild, 0))
		b = append(b, byte(a.outcome)&7|byte(a.depth)&depthMask<<3|byte(flag(a.overObjective, 7)), a.latencyRatio)
	}
	return b
}

// decodeReport reads a report; a test needs it.
func decodeReport(b []byte) (r report, err error) {
	if len(b) < 2 || b[0] != messageMagic || b[1] != reportKind {
		return r, errReport
	}
	b = b[2:]
	number := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > maxNumber {
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
		a := attemptReport{endpointMark: uint32(b[0]) | uint32(b[1])<<8 | uint32(b[2])<<16}
		b = b[3:]
		v := number()
		if len(b) < 2 {
			return r, errReport
		}
		a.class, a.slowStarting, a.newestBuild = int(v>>2), v&2 != 0, v&1 != 0
		a.outcome, a.depth, a.overObjective, a.latencyRatio = relay.Outcome(b[0]&7), int(b[0]>>3&depthMask), b[0]&128 != 0, b[1]
		b = b[2:]
		r.attempts = append(r.attempts, a)
	}
	if len(b) > 0 {
		return r, errReport
	}
	return r, err
}

// isDecision says whether a datagram is what a fuser finds.
func isDecision(b []byte) bool { return len(b) > 1 && b[0] == messageMagic && b[1] == decisionKind }
