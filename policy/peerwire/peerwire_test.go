package peerwire_test

import (
	"encoding/hex"
	"errors"
	"reflect"
	"testing"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// TestMessageBytes pins the encoding of one message of each type. While a fleet is updated, relays of different
// versions run at the same time and must understand each other's messages.
func TestMessageBytes(t *testing.T) {
	report := peerwire.Report{Build: 300, Stage: 2,
		Verdicts: []peerwire.ClassVerdict{{Flagged: true, Outcomes: 25}, {Outcomes: 200}, {}},
		Observations: []peerwire.Observation{
			{Endpoint: 0xabcdef, Class: 1, Outcome: relay.Errored, Newest: true, Young: true, Late: true, QueueDepth: 3},
			{Endpoint: 7, Class: 40, Outcome: relay.Succeeded, QueueDepth: 7, Ratio: 1},
			{Endpoint: 0x10000, Outcome: relay.TimedOut, Newest: true, Late: true, Ratio: 4},
		}}
	decision := peerwire.Decision{Build: 300, Stage: 2, Verdict: relay.VoteRollBack, Ratios: []float64{1, 0, 0.25}}
	for _, c := range []struct {
		name string
		body []byte
		hex  string
		want peerwire.Message
	}{
		{"report", report.Encode(), "4c03ac0202033390030003efcdab079900070000a0013880000001018390", report},
		{"decision", decision.Encode(), "4c04ac02020303800070", decision},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := hex.EncodeToString(c.body); got != c.hex {
				t.Errorf("encoded as %s, want %s", got, c.hex)
			}
			body, err := hex.DecodeString(c.hex)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := peerwire.Decode(body); err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("decoded as %+v, error %v, want %+v", got, err, c.want)
			}
		})
	}
}

// TestDecodeReversesEncode also truncates each message at every byte, and appends one byte: Decode must reject all of
// these.
func TestDecodeReversesEncode(t *testing.T) {
	report := peerwire.Report{Build: 300, Stage: 2, Verdicts: []peerwire.ClassVerdict{{Flagged: true, Outcomes: 40}, {}},
		Observations: []peerwire.Observation{
			{Endpoint: peerwire.HashOf(7), Class: 40, Outcome: relay.TimedOut, Newest: true, Late: true, QueueDepth: 5, Ratio: 2},
			{Endpoint: peerwire.HashOf(8), Young: true},
		}}
	decision := peerwire.Decision{Build: 300, Stage: 2, Verdict: relay.VoteRollBack, Ratios: []float64{0, 1, 2}}
	for _, c := range []struct {
		name string
		want peerwire.Message
		body []byte
	}{
		{"report", report, report.Encode()},
		{"decision", decision, decision.Encode()},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, err := peerwire.Decode(c.body); err != nil || !reflect.DeepEqual(got, c.want) {
				t.Fatalf("decoded as %+v, error %v, want %+v", got, err, c.want)
			}
			for n := range c.body {
				if _, err := peerwire.Decode(c.body[:n]); !errors.Is(err, peerwire.ErrMalformed) {
					t.Errorf("truncated to %d bytes: error %v, want ErrMalformed", n, err)
				}
			}
			if _, err := peerwire.Decode(append(c.body, 0)); !errors.Is(err, peerwire.ErrMalformed) {
				t.Errorf("with an extra byte: error %v, want ErrMalformed", err)
			}
		})
	}
}

// TestDecodeRejectsOtherTypes tries message types of package membership, another magic byte and truncated headers.
func TestDecodeRejectsOtherTypes(t *testing.T) {
	for _, body := range [][]byte{nil, {0x4c}, {0x4c, 5, 1, 1, 0, 0}, {0x4c, 6, 1, 1, 0, 0}, {1, 3, 1, 1, 0, 0}} {
		if _, err := peerwire.Decode(body); !errors.Is(err, peerwire.ErrMalformed) {
			t.Errorf("%x: error %v, want ErrMalformed", body, err)
		}
	}
}
