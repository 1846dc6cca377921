package policy

import (
	"encoding/binary"
	"errors"

	"lichenroad/relay"
)

// memo is what relays tell each other: one relay's verdicts on one build at one stage, with the counts
// behind them.
type memo struct {
	build    relay.Build
	stage    relay.Stage
	verdicts []verdict // by category
}

// verdict is one relay's word on one category: flagged as bad or not, and the outcomes it rests on.
type verdict struct {
	flag          bool
	newer, before counts
}

const (
	memoMark = 0x4c // first byte of every memo, with the form's number behind it
	memoForm = 2
	memoMost = 1 << 20 // counts above this are not believed
)

var errMemo = errors.New("not a memo of this form")

func (m memo) encode() []byte {
	b := []byte{memoMark, memoForm}
	b = binary.AppendUvarint(b, uint64(m.build))
	b = binary.AppendUvarint(b, uint64(m.stage))
	b = binary.AppendUvarint(b, uint64(len(m.verdicts)))
	for _, v := range m.verdicts {
		f := uint64(0)
		if v.flag {
			f = 1
		}
		b = binary.AppendUvarint(b, f)
		for _, c := range []counts{v.newer, v.before} {
			for _, x := range c {
				b = binary.AppendUvarint(b, uint64(max(x, 0)))
			}
		}
	}
	return b
}

func decodeMemo(b []byte) (m memo, err error) {
	if len(b) < 2 || b[0] != memoMark || b[1] != memoForm {
		return memo{}, errMemo
	}
	b = b[2:]
	next := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > memoMost {
			err, b = errMemo, nil
			return 0
		}
		b = b[n:]
		return v
	}
	m.build, m.stage = relay.Build(next()), relay.Stage(next())
	for i := next(); i > 0 && err == nil; i-- {
		v := verdict{flag: next() == 1}
		for j := range v.newer {
			v.newer[j] = float64(next())
		}
		for j := range v.before {
			v.before[j] = float64(next())
		}
		m.verdicts = append(m.verdicts, v)
	}
	if err == nil && len(b) > 0 {
		err = errMemo
	}
	return m, err
}
