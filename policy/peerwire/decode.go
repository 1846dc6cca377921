package peerwire

import (
	"encoding/binary"

	"lichenroad/relay"
)

// Decode decodes a report or a decision. It returns ErrMalformed for anything else, and for extra bytes at the end.
func Decode(body []byte) (Message, error) {
	if len(body) < 2 || body[0] != messageMagic {
		return nil, ErrMalformed
	}
	d := &decoder{rest: body[2:]}
	switch body[1] {
	case reportType:
		report := d.report()
		return report, d.finish()
	case decisionType:
		decision := d.decision()
		return decision, d.finish()
	}
	return nil, ErrMalformed
}

// IsDecision reports whether a body starts like a decision. It does not check the rest.
func IsDecision(body []byte) bool {
	return len(body) >= 2 && body[0] == messageMagic && body[1] == decisionType
}

// decoder reads the fields of a message. Past the end it returns zeros and sets err.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) report() Report {
	r := Report{Build: relay.Build(d.number()), Stage: relay.Stage(d.number())}
	for n := d.number(); n > 0 && d.err == nil; n-- {
		packed := d.number()
		r.Verdicts = append(r.Verdicts, ClassVerdict{Flagged: packed&1 == 1, Outcomes: float64(packed >> 1)})
	}
	for n := d.number(); n > 0 && d.err == nil; n-- {
		r.Observations = append(r.Observations, d.observation())
	}
	return r
}

func (d *decoder) observation() Observation {
	o := Observation{Endpoint: d.hash()}
	class := d.number()
	o.Class, o.Young, o.Newest = relay.RequestClass(class>>2), class&2 != 0, class&1 != 0
	b := d.bytes(2)
	o.Outcome, o.QueueDepth = relay.Outcome(b[0]&7), int(b[0]>>3&7)
	o.Late = b[0]&128 != 0
	o.Ratio = unpackRatio(b[1])
	return o
}

func (d *decoder) decision() Decision {
	decision := Decision{Build: relay.Build(d.number()), Stage: relay.Stage(d.number()),
		Verdict: relay.Verdict(d.bytes(1)[0])}
	for n := d.bytes(1)[0]; n > 0 && d.err == nil; n-- {
		decision.Ratios = append(decision.Ratios, unpackRatio(d.bytes(1)[0]))
	}
	return decision
}

func (d *decoder) number() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || v > maxNumber {
		d.rest, d.err = nil, ErrMalformed
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) bytes(n int) []byte {
	if len(d.rest) < n {
		d.rest, d.err = nil, ErrMalformed
		return make([]byte, n)
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) hash() EndpointHash {
	b := d.bytes(3)
	return EndpointHash(b[0]) | EndpointHash(b[1])<<8 | EndpointHash(b[2])<<16
}

// finish returns the error of the whole message, and ErrMalformed if bytes are left.
func (d *decoder) finish() error {
	if len(d.rest) > 0 {
		return ErrMalformed
	}
	return d.err
}
