package scale

import (
	"bytes"
	"encoding/binary"
	"errors"
	"slices"
	"testing"

	"lichenroad/relay"
)

const (
	maxNumber       = 1 << 20 // in a report that is decoded
	markBytes       = 3       // of an endpoint
	minAttemptBytes = 6       // mark, class, flags and latency ratio
)

var errReport = errors.New("not a report")

// decodeReport decodes the datagram of a report.
func decodeReport(body []byte) (report, error) {
	if len(body) < 2 || body[0] != messageMagic || body[1] != reportKind {
		return report{}, errReport
	}
	d := &reportDecoder{rest: body[2:]}
	r := report{build: relay.Build(d.number()), stage: relay.Stage(d.number())}
	for count := d.number(); count > 0 && d.err == nil; count-- {
		verdict := d.number()
		r.verdicts = append(r.verdicts, verdictReport{flagged: verdict&1 == 1, outcomes: verdict >> 1})
	}
	for count := d.number(); count > 0 && d.err == nil; count-- {
		r.attempts = append(r.attempts, d.attempt())
	}
	if len(d.rest) > 0 {
		d.fail()
	}
	return r, d.err
}

// reportDecoder reads the fields of a report in order. After an error they are zero.
type reportDecoder struct {
	rest []byte
	err  error
}

func (d *reportDecoder) fail() { d.rest, d.err = nil, errReport }

func (d *reportDecoder) number() uint64 {
	value, size := binary.Uvarint(d.rest)
	if size <= 0 || value > maxNumber {
		d.fail()
		return 0
	}
	d.rest = d.rest[size:]
	return value
}

func (d *reportDecoder) attempt() attemptReport {
	if len(d.rest) < minAttemptBytes {
		d.fail()
		return attemptReport{}
	}
	a := attemptReport{endpointMark: uint32(d.rest[0]) | uint32(d.rest[1])<<8 | uint32(d.rest[2])<<16}
	d.rest = d.rest[markBytes:]
	class := d.number()
	if len(d.rest) < 2 {
		d.fail()
		return a
	}
	flags := d.rest[0]
	a.class, a.slowStarting, a.newestBuild = int(class>>2), class&2 != 0, class&1 != 0
	a.outcome = relay.Outcome(flags & outcomeMask)
	a.depth = int(flags >> depthShift & depthMask)
	a.overObjective = flags>>overObjectiveShift != 0
	a.latencyRatio = d.rest[1]
	d.rest = d.rest[2:]
	return a
}

// TestReportsAreEncodedAsByRealRelays decodes the reports of real relays and encodes them again.
func TestReportsAreEncodedAsByRealRelays(t *testing.T) {
	sim, err := newSimulation(smallOptions(Wide, func(o *Options) { o.Relays, o.Rate, o.Seconds = 5, 300, 16 }))
	if err != nil {
		t.Fatal(err)
	}
	reports, attempts, flagged := 0, 0, 0
	for n := range int64(800) {
		from, to := float64(n)*tick, float64(n+1)*tick
		sim.beginTick(n, from)
		for _, h := range sim.hollowRelays {
			h.advance(from, to)
			for _, x := range h.sendQueue.datagrams {
				if isDecision(x.body) || x.class == membershipClass {
					continue
				}
				r, err := decodeReport(x.body)
				if err != nil {
					t.Fatalf("%x: %v", x.body, err)
				}
				if again := r.encode(); !bytes.Equal(again, x.body) {
					t.Fatalf("%x became %x", x.body, again)
				}
				reports++
				attempts += len(r.attempts)
				for _, a := range r.attempts {
					if !slices.ContainsFunc(sim.services[0].endpoints, func(e *endpoint) bool { return endpointMark(e.id) == a.endpointMark }) {
						t.Fatalf("no endpoint has the mark %x", a.endpointMark)
					}
				}
				if slices.ContainsFunc(r.verdicts, func(v verdictReport) bool { return v.flagged }) {
					flagged++
				}
			}
		}
		sim.collectOutput(to)
	}
	if reports < 100 || attempts < 10*reports || flagged == 0 {
		t.Errorf("%d reports, %d attempts, %d flags", reports, attempts, flagged)
	}
}
