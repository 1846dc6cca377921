package peerwire

import (
	"encoding/binary"
	"math"

	"lichenroad/relay"
)

// Encode returns the datagram of a report, of which no more than MaxObservations may be set.
func (r Report) Encode() []byte {
	b := appendHeader(reportForm, r.Build, r.Stage)
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
	b := append(appendHeader(decisionForm, d.Build, d.Stage), byte(d.Verdict), byte(len(d.Ratios)))
	for _, ratio := range d.Ratios {
		b = append(b, packRatio(ratio))
	}
	return b
}

func appendHeader(form byte, build relay.Build, stage relay.Stage) []byte {
	b := binary.AppendUvarint([]byte{messageMagic, form}, uint64(build))
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
	ratioSteps = 8   // to a doubling
	ratioOne   = 128 // the byte of the ratio 1
)

// packRatio puts a latency ratio in one byte, to an eighth of a doubling; 0 stands as 0.
func packRatio(ratio float64) byte {
	if !(ratio > 0) {
		return 0
	}
	return byte(math.Min(math.Max(math.Round(ratioSteps*math.Log2(ratio))+ratioOne, 1), 255))
}

func unpackRatio(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2((float64(b) - ratioOne) / ratioSteps)
}
