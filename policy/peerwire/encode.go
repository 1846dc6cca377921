package peerwire

import (
	"encoding/binary"
	"math"

	"lichenroad/relay"
)

// Encode returns the datagram of a report, which may hold up to MaxObservations observations.
func (r Report) Encode() []byte {
	b := appendHeader(reportType, r.Build, r.Stage)
	b = binary.AppendUvarint(b, uint64(len(r.Verdicts)))
	for _, v := range r.Verdicts {
		b = binary.AppendUvarint(b, uint64(v.Outcomes)<<1|uint64(bit(v.Flagged, 0)))
	}
	b = binary.AppendUvarint(b, uint64(len(r.Observations)))
	for _, o := range r.Observations {
		b = appendHash(b, o.Endpoint)
		b = binary.AppendUvarint(b, uint64(o.Class)<<2|uint64(bit(o.Young, 1)|bit(o.Newest, 0)))
		b = append(b, byte(o.Outcome)&7|byte(o.QueueDepth)&7<<3|bit(o.Late, 7), packRatio(o.Ratio))
	}
	return b
}

// Encode returns the datagram of a decision.
func (d Decision) Encode() []byte {
	b := append(appendHeader(decisionType, d.Build, d.Stage), byte(d.Verdict), byte(len(d.Ratios)))
	for _, ratio := range d.Ratios {
		b = append(b, packRatio(ratio))
	}
	return b
}

func appendHeader(messageType byte, build relay.Build, stage relay.Stage) []byte {
	b := binary.AppendUvarint([]byte{messageMagic, messageType}, uint64(build))
	return binary.AppendUvarint(b, uint64(stage))
}

func appendHash(b []byte, h EndpointHash) []byte { return append(b, byte(h), byte(h>>8), byte(h>>16)) }

func bit(set bool, shift int) byte {
	if set {
		return 1 << shift
	}
	return 0
}

const (
	ratioStepsPerDoubling = 8
	encodedRatioOne       = 128
)

// packRatio encodes a latency ratio in one byte, rounded to an eighth of a doubling; 0 stays 0.
func packRatio(ratio float64) byte {
	if !(ratio > 0) {
		return 0
	}
	return byte(math.Min(math.Max(math.Round(ratioStepsPerDoubling*math.Log2(ratio))+encodedRatioOne, 1), 255))
}

func unpackRatio(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2((float64(b) - encodedRatioOne) / ratioStepsPerDoubling)
}
