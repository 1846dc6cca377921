package scale

import (
	"encoding/binary"
	"math"

	"lichenroad/relay"
)

// Synthetic relays send reports in the decision code's own encoding, which package policy does not export. This is a second
// implementation of it; a test checks it against the datagrams of real relays.
const (
	messageMagic         = 0x4c
	reportKind           = 3 // verdicts and attempts
	decisionKind         = 4 // of an aggregator
	maxAttemptsPerReport = 36
	outcomeMask          = 7 // of an attempt's flags
	depthMask            = 7
	depthShift           = 3
	overObjectiveShift   = 7
	latencyRatioSteps    = 8 // of the encoded latency ratio, to its double
	latencyRatioBias     = 128
)

// attemptReport is one attempt in a report.
type attemptReport struct {
	endpointMark  uint32 // 24 bits that identify the endpoint
	class         int
	outcome       relay.Outcome
	newestBuild   bool
	slowStarting  bool
	overObjective bool // it took longer than the latency objective
	depth         int  // of the endpoint's queue
	latencyRatio  byte // encoded duration over the expected one; 0: none
}

// verdictReport is a relay's verdict on one request class.
type verdictReport struct {
	flagged  bool // the newest build is worse
	outcomes uint64
}

// report is a relay's message to the aggregators.
type report struct {
	build    relay.Build
	stage    relay.Stage
	verdicts []verdictReport // by request class
	attempts []attemptReport
}

// endpointMark returns the 24 bits that identify an endpoint in reports.
func endpointMark(id relay.EndpointID) uint32 { return uint32(uint64(id) * 0x9e3779b97f4a7c15 >> 40) }

// encodeLatencyRatio encodes a ratio logarithmically in one byte.
func encodeLatencyRatio(ratio float64) byte {
	if !(ratio > 0) {
		return 0
	}
	step := math.Round(latencyRatioSteps*math.Log2(ratio)) + latencyRatioBias
	return byte(math.Min(math.Max(step, 1), math.MaxUint8))
}

// flag returns a bit at a position.
func flag(set bool, shift int) uint64 {
	if set {
		return 1 << shift
	}
	return 0
}

// encode returns the datagram of a report.
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
		flags := byte(a.outcome)&outcomeMask | byte(a.depth)&depthMask<<depthShift | byte(flag(a.overObjective, overObjectiveShift))
		b = append(b, flags, a.latencyRatio)
	}
	return b
}

// isDecision reports whether a datagram is an aggregator's decision.
func isDecision(b []byte) bool { return len(b) > 1 && b[0] == messageMagic && b[1] == decisionKind }
