package policy

import (
	"encoding/binary"
	"errors"
	"math"

	"lichenroad/relay"
)

// memo is what a relay tells the fusers: its verdicts on one build at one stage, and how its legs ended
// since the last memo, so that the fusers can pool them by unit.
type memo struct {
	build    relay.Build
	stage    relay.Stage
	verdicts []verdict // by category
	seen     []sighting
}

// verdict is one relay's word on one category: flagged as bad or not, and the outcomes of the newest build
// that it rests on; none where it has too few to say.
type verdict struct {
	flag bool
	n    float64
}

// sighting is how one leg ended.
type sighting struct {
	unit     mark
	category relay.Category
	how      relay.Outcome
	newest   bool // the unit ran the newest build
	young    bool // the unit had just started
	late     bool
	depth    int     // own legs that the unit held; more than depths-1 stands as that, without a pace
	pace     float64 // leg time over expected work, to an eighth of a doubling; 0: not known
}

// finding is what a fuser tells every relay: the vote that should stand.
type finding struct {
	build relay.Build
	stage relay.Stage
	vote  relay.Verdict
	paces []float64 // by kind of machine, over all relays' legs; 0: not known
}

// mark is a unit's id in few bytes.
type mark uint32

func markOf(id relay.UnitID) mark { return mark(uint64(id) * 0x9e3779b97f4a7c15 >> 40) }

const (
	memoMark    = 0x4c // first byte of every memo, with the form's number behind it
	memoForm    = 3
	findingForm = 4
	memoMost    = 1 << 20 // figures above this are not believed
	mostKinds   = 16      // kinds of machine told apart
	memoLegs    = 36      // sightings in one memo, which may hold 256 bytes
)

var errMemo = errors.New("not a memo of this form")

func header(form byte, build relay.Build, stage relay.Stage) []byte {
	b := binary.AppendUvarint([]byte{memoMark, form}, uint64(build))
	return binary.AppendUvarint(b, uint64(stage))
}

func appendMark(b []byte, m mark) []byte { return append(b, byte(m), byte(m>>8), byte(m>>16)) }

func bit(v bool, shift int) byte {
	if v {
		return 1 << shift
	}
	return 0
}

// fewer puts a pace in one byte, to an eighth of a doubling, and full takes it out again; 0 stands as 0.
func fewer(pace float64) byte {
	if !(pace > 0) {
		return 0
	}
	return byte(math.Min(math.Max(math.Round(8*math.Log2(pace))+128, 1), 255))
}

func full(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2((float64(b) - 128) / 8)
}

func (m memo) encode() []byte {
	b := header(memoForm, m.build, m.stage)
	b = binary.AppendUvarint(b, uint64(len(m.verdicts)))
	for _, v := range m.verdicts {
		b = binary.AppendUvarint(b, uint64(v.n)<<1|uint64(bit(v.flag, 0)))
	}
	b = binary.AppendUvarint(b, uint64(len(m.seen)))
	for _, s := range m.seen {
		b = appendMark(b, s.unit)
		b = binary.AppendUvarint(b, uint64(s.category)<<2|uint64(bit(s.young, 1)|bit(s.newest, 0)))
		b = append(b, byte(s.how)&7|byte(s.depth)&7<<3|bit(s.late, 7), fewer(s.pace))
	}
	return b
}

func (f finding) encode() []byte {
	b := append(header(findingForm, f.build, f.stage), byte(f.vote), byte(len(f.paces)))
	for _, p := range f.paces {
		b = append(b, fewer(p))
	}
	return b
}

// cursor reads a memo; what it reads past the end is zero, and an error.
type cursor struct {
	b   []byte
	err error
}

func (c *cursor) number() uint64 {
	v, n := binary.Uvarint(c.b)
	if n <= 0 || v > memoMost {
		c.b, c.err = nil, errMemo
		return 0
	}
	c.b = c.b[n:]
	return v
}

func (c *cursor) take(n int) []byte {
	if len(c.b) < n {
		c.b, c.err = nil, errMemo
		return make([]byte, n)
	}
	b := c.b[:n]
	c.b = c.b[n:]
	return b
}

func (c *cursor) mark() mark {
	b := c.take(3)
	return mark(b[0]) | mark(b[1])<<8 | mark(b[2])<<16
}

// end is the error of the whole, which must have been read to its last byte.
func (c *cursor) end() error {
	if len(c.b) > 0 {
		return errMemo
	}
	return c.err
}

// decode reads a memo or a finding, as a note from a relay.
func decode(from relay.RelayNo, body []byte) (note, error) {
	if len(body) < 2 || body[0] != memoMark || body[1] != memoForm && body[1] != findingForm {
		return nil, errMemo
	}
	c := &cursor{b: body[2:]}
	build, stage := relay.Build(c.number()), relay.Stage(c.number())
	if body[1] == findingForm {
		f := finding{build: build, stage: stage, vote: relay.Verdict(c.take(1)[0])}
		for i := c.take(1)[0]; i > 0 && c.err == nil; i-- {
			f.paces = append(f.paces, full(c.take(1)[0]))
		}
		return noteFinding{from, f}, c.end()
	}
	m := memo{build: build, stage: stage}
	for i := c.number(); i > 0 && c.err == nil; i-- {
		v := c.number()
		m.verdicts = append(m.verdicts, verdict{flag: v&1 == 1, n: float64(v >> 1)})
	}
	for i := c.number(); i > 0 && c.err == nil; i-- {
		s := sighting{unit: c.mark()}
		v := c.number()
		s.category, s.young, s.newest = relay.Category(v>>2), v&2 != 0, v&1 != 0
		b := c.take(2)
		s.how, s.depth = relay.Outcome(b[0]&7), int(b[0]>>3&7)
		s.late = b[0]&128 != 0
		s.pace = full(b[1])
		m.seen = append(m.seen, s)
	}
	return noteMemo{from, m}, c.end()
}

// sight is how a leg ended, as the fusers are told.
func (u *unit) sight(n noteOutcome) sighting {
	s := sighting{unit: markOf(u.id), category: n.category, how: n.how, newest: u.newest(),
		young: n.leg.age < u.p.young(), late: n.took > n.due || n.how == relay.TimedOut,
		depth: min(n.leg.depth, depths-1)}
	if n.leg.depth < depths && n.how != relay.Errored && n.how != relay.Broken && !n.how.NeverRan() {
		s.pace = n.took / math.Max(n.work, 1e-3)
	}
	return s
}

// tell sends a memo with the legs not told yet to every fuser, in as many as they need.
func (t *trial) tell(m memo) {
	for t.p.set.Limits.Messages && t.p.set.Relays > 1 {
		n := min(len(t.untold), memoLegs)
		m.seen = t.untold[:n]
		body := m.encode()
		for _, no := range t.p.fuser.set() {
			if no != t.p.set.Self {
				t.p.do(relay.Tell{To: no, Body: body})
			}
		}
		if t.untold = t.untold[n:]; len(t.untold) == 0 {
			break
		}
	}
	t.untold = nil
}

// tell sends this fuser's finding to every relay.
func (f *fuser) tell(want relay.Vote) {
	m := finding{build: want.Build, stage: want.Stage, vote: want.Verdict}
	for _, k := range f.p.desk.kinds {
		m.paces = append(m.paces, k.v)
	}
	f.p.do(relay.Tell{To: relay.Everyone, Body: m.encode()})
}

// hearMemo keeps a relay's last memo and passes the ends of its legs on to the units.
func (f *fuser) hearMemo(n noteMemo) {
	if int(n.from) >= len(f.heard) {
		return
	}
	for _, s := range n.memo.seen {
		if u := f.p.roster.byMark[s.unit]; u != nil {
			u.witness(s, told)
		}
	}
	h := &f.heard[n.from]
	h.memo, h.at, h.has = n.memo, f.p.now, true
	h.seen = nil // passed on: only the verdicts count later
}

// hearFinding keeps a fuser's last finding, and its paces where this relay has none of its own.
func (f *fuser) hearFinding(n noteFinding) {
	if int(n.from) >= len(f.heard) {
		return
	}
	f.heard[n.from].found, f.heard[n.from].foundAt = n.finding, f.p.now
	for k, pace := range n.finding.paces {
		if m := f.p.desk.kind(relay.Kind(k)); !f.fusing && pace > 0 {
			*m = mean{pace, leastPace}
		}
	}
}

// count gives the fusers heard of late, and how many of them find each vote for the build and stage.
func (f *fuser) count(want relay.Vote) (votes [relay.VoteBack + 1]int, found int) {
	for i := range f.heard {
		h := &f.heard[i]
		if h.foundAt == 0 || f.p.now-h.foundAt > fuserSilence || h.found.vote > relay.VoteBack {
			continue
		}
		found++
		if h.found.build == want.Build && (h.found.stage == want.Stage || h.found.vote == relay.VoteBack) {
			votes[h.found.vote]++
		}
	}
	return votes, found
}
