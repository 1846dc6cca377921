package policy

import (
	"encoding/binary"
	"errors"

	"lichenroad/relay"
)

// memo is what relays tell each other: the verdicts of one relay on one build at one stage.
type memo struct {
	build    relay.Build
	stage    relay.Stage
	verdicts []verdict // by category
}

// verdict is one relay's word on one category: flagged as bad or not, from so many outcomes.
type verdict struct {
	flag bool
	n    int
}

const (
	memoMark = 0x4c // first byte of every memo, with the form's number behind it
	memoForm = 1
	memoHead = 7
	memoFlag = 1 << 15 // top bit of a category's count: flagged
)

var errMemo = errors.New("not a memo of this form")

func (m memo) encode() []byte {
	b := []byte{memoMark, memoForm}
	b = binary.LittleEndian.AppendUint16(b, uint16(m.build))
	b = append(b, byte(m.stage))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(m.verdicts)))
	for _, v := range m.verdicts {
		w := uint16(min(max(v.n, 0), memoFlag-1))
		if v.flag {
			w |= memoFlag
		}
		b = binary.LittleEndian.AppendUint16(b, w)
	}
	return b
}

func decodeMemo(b []byte) (memo, error) {
	if len(b) < memoHead || b[0] != memoMark || b[1] != memoForm {
		return memo{}, errMemo
	}
	m := memo{build: relay.Build(binary.LittleEndian.Uint16(b[2:])), stage: relay.Stage(b[4])}
	n := int(binary.LittleEndian.Uint16(b[5:]))
	if len(b) != memoHead+2*n {
		return memo{}, errMemo
	}
	for i := 0; i < n; i++ {
		w := binary.LittleEndian.Uint16(b[memoHead+2*i:])
		m.verdicts = append(m.verdicts, verdict{flag: w&memoFlag != 0, n: int(w &^ memoFlag)})
	}
	return m, nil
}
