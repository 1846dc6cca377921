package policy

import (
	"encoding/hex"
	"reflect"
	"testing"

	"lichenroad/relay"
)

// TestMessageBytes pins the bytes of one message of each form: relays of different versions are up at the same time while
// a fleet is updated, and must read one another.
func TestMessageBytes(t *testing.T) {
	m := report{build: 300, stage: 2, verdicts: []verdict{{flagged: true, outcomes: 25}, {outcomes: 200}, {}}, observations: []observation{
		{endpoint: 0xabcdef, class: 1, outcome: relay.Errored, newest: true, young: true, late: true, queueDepth: 3},
		{endpoint: 7, class: 40, outcome: relay.Succeeded, queueDepth: 7, ratio: 1},
		{endpoint: 0x10000, outcome: relay.TimedOut, newest: true, late: true, ratio: 4}}}
	d := decision{build: 300, stage: 2, vote: relay.VoteRollBack, ratios: []float64{1, 0, 0.25}}
	for name, x := range map[string]struct {
		body []byte
		hex  string
		want message
	}{
		"report":   {m.encode(), "4c03ac0202033390030003efcdab079900070000a0013880000001018390", peerReport{3, m}},
		"decision": {d.encode(), "4c04ac02020303800070", peerDecision{3, d}},
	} {
		if got := hex.EncodeToString(x.body); got != x.hex {
			t.Errorf("%s: %s, not %s", name, got, x.hex)
		}
		body, err := hex.DecodeString(x.hex)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decode(3, body); err != nil || !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s: %+v, not %+v: %v", name, got, x.want, err)
		}
	}
}
