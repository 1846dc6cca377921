// What relays tell one another: reports to the aggregators, decisions to all, and their bytes.

package policy

import (
	"encoding/binary"
	"errors"
	"math"

	"lichenroad/relay"
)

// report is what a relay tells the aggregators: its verdicts on one build at one stage, and how its legs ended
// since the last report, so that the aggregators can pool them by unit.
type report struct {
	build        relay.Build
	stage        relay.Stage
	verdicts     []verdict // by category
	observations []observation
}

// verdict is one relay's word on one category: flagged as bad or not, and the outcomes of the newest build
// that it rests on; none where it has too few to say.
type verdict struct {
	flagged  bool
	outcomes float64
}

// observation is how one leg ended.
type observation struct {
	endpoint   endpointHash
	class      relay.RequestClass
	outcome    relay.Outcome
	newest     bool // the unit ran the newest build
	young      bool // the unit had just started
	late       bool
	queueDepth int     // own legs that the unit held; more than depths-1 stands as that, without a pace
	ratio      float64 // leg time over expected work, to an eighth of a doubling; 0: not known
}

// decision is what an aggregator tells every relay: the vote that should stand.
type decision struct {
	build  relay.Build
	stage  relay.Stage
	vote   relay.Verdict
	ratios []float64 // by kind of machine, over all relays' legs; 0: not known
}

// endpointHash stands for a unit's id in three bytes; two units may share one.
type endpointHash uint32

func hashOf(id relay.EndpointID) endpointHash {
	return endpointHash(uint64(id) * 0x9e3779b97f4a7c15 >> 40)
}

const (
	messageMagic    = 0x4c // first byte of every message, with the form's number behind it
	reportForm      = 3
	decisionForm    = 4
	maxNumber       = 1 << 20 // figures above this are not believed
	maxMachineTypes = 16      // kinds of machine told apart
	maxObservations = 36      // observations in one report, which may hold 256 bytes
)

var errMessage = errors.New("not a message of this form")

func header(form byte, build relay.Build, stage relay.Stage) []byte {
	b := binary.AppendUvarint([]byte{messageMagic, form}, uint64(build))
	return binary.AppendUvarint(b, uint64(stage))
}

func appendHash(b []byte, h endpointHash) []byte { return append(b, byte(h), byte(h>>8), byte(h>>16)) }

func bit(v bool, shift int) byte {
	if v {
		return 1 << shift
	}
	return 0
}

// packRatio puts a pace in one byte, to an eighth of a doubling, and unpackRatio takes it out again; 0 stands as 0.
func packRatio(pace float64) byte {
	if !(pace > 0) {
		return 0
	}
	return byte(math.Min(math.Max(math.Round(8*math.Log2(pace))+128, 1), 255))
}

func unpackRatio(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2((float64(b) - 128) / 8)
}

func (m report) encode() []byte {
	b := header(reportForm, m.build, m.stage)
	b = binary.AppendUvarint(b, uint64(len(m.verdicts)))
	for _, v := range m.verdicts {
		b = binary.AppendUvarint(b, uint64(v.outcomes)<<1|uint64(bit(v.flagged, 0)))
	}
	b = binary.AppendUvarint(b, uint64(len(m.observations)))
	for _, s := range m.observations {
		b = appendHash(b, s.endpoint)
		b = binary.AppendUvarint(b, uint64(s.class)<<2|uint64(bit(s.young, 1)|bit(s.newest, 0)))
		b = append(b, byte(s.outcome)&7|byte(s.queueDepth)&7<<3|bit(s.late, 7), packRatio(s.ratio))
	}
	return b
}

func (d decision) encode() []byte {
	b := append(header(decisionForm, d.build, d.stage), byte(d.vote), byte(len(d.ratios)))
	for _, p := range d.ratios {
		b = append(b, packRatio(p))
	}
	return b
}

// cursor reads a message; what it reads past the end is zero, and an error.
type cursor struct {
	b   []byte
	err error
}

func (c *cursor) number() uint64 {
	v, n := binary.Uvarint(c.b)
	if n <= 0 || v > maxNumber {
		c.b, c.err = nil, errMessage
		return 0
	}
	c.b = c.b[n:]
	return v
}

func (c *cursor) take(n int) []byte {
	if len(c.b) < n {
		c.b, c.err = nil, errMessage
		return make([]byte, n)
	}
	b := c.b[:n]
	c.b = c.b[n:]
	return b
}

func (c *cursor) hash() endpointHash {
	b := c.take(3)
	return endpointHash(b[0]) | endpointHash(b[1])<<8 | endpointHash(b[2])<<16
}

// end is the error of the whole, which must have been read to its last byte.
func (c *cursor) end() error {
	if len(c.b) > 0 {
		return errMessage
	}
	return c.err
}

// decode reads a report or a decision, as a note from a relay.
func decode(from relay.RelayID, body []byte) (message, error) {
	if len(body) < 2 || body[0] != messageMagic || body[1] != reportForm && body[1] != decisionForm {
		return nil, errMessage
	}
	c := &cursor{b: body[2:]}
	build, stage := relay.Build(c.number()), relay.Stage(c.number())
	if body[1] == decisionForm {
		d := decision{build: build, stage: stage, vote: relay.Verdict(c.take(1)[0])}
		for i := c.take(1)[0]; i > 0 && c.err == nil; i-- {
			d.ratios = append(d.ratios, unpackRatio(c.take(1)[0]))
		}
		return peerDecision{from, d}, c.end()
	}
	m := report{build: build, stage: stage}
	for i := c.number(); i > 0 && c.err == nil; i-- {
		v := c.number()
		m.verdicts = append(m.verdicts, verdict{flagged: v&1 == 1, outcomes: float64(v >> 1)})
	}
	for i := c.number(); i > 0 && c.err == nil; i-- {
		s := observation{endpoint: c.hash()}
		v := c.number()
		s.class, s.young, s.newest = relay.RequestClass(v>>2), v&2 != 0, v&1 != 0
		b := c.take(2)
		s.outcome, s.queueDepth = relay.Outcome(b[0]&7), int(b[0]>>3&7)
		s.late = b[0]&128 != 0
		s.ratio = unpackRatio(b[1])
		m.observations = append(m.observations, s)
	}
	return peerReport{from, m}, c.end()
}

// observe gives how a leg ended, as the aggregators are told.
func (u *trackedEndpoint) observationOf(n attemptOutcome) observation {
	s := observation{endpoint: hashOf(u.id), class: n.class, outcome: n.outcome, newest: u.onNewestBuild(),
		young: n.attempt.endpointAge < u.p.maxYoungAge(), late: n.duration > n.objective || n.outcome == relay.TimedOut,
		queueDepth: min(n.attempt.queueDepth, maxQueueDepth-1)}
	if n.attempt.queueDepth < maxQueueDepth && n.outcome != relay.Errored && n.outcome != relay.ConnectionBroken && !n.outcome.NeverRan() {
		s.ratio = n.duration / math.Max(n.work, 1e-3)
	}
	return s
}

// tell sends a report with the legs not told yet to every aggregator, in as many as they need.
func (t *canary) reportToAggregators(m report) {
	for t.p.settings.Limits.PeerMessages && t.p.settings.Relays > 1 {
		n := min(len(t.unreported), maxObservations)
		m.observations = t.unreported[:n]
		body := m.encode()
		for _, no := range t.p.aggregator.members() {
			if no != t.p.settings.Self {
				t.p.emit(relay.SendMessage{To: no, Body: body})
			}
		}
		if t.unreported = t.unreported[n:]; len(t.unreported) == 0 {
			break
		}
	}
	t.unreported = nil
}

// tell sends this aggregator's decision to every relay.
func (a *aggregator) announce(want relay.Vote) {
	m := decision{build: want.Build, stage: want.Stage, vote: want.Verdict}
	for _, k := range a.p.router.machineTypeRatios {
		m.ratios = append(m.ratios, k.value)
	}
	a.p.emit(relay.SendMessage{To: relay.Broadcast, Body: m.encode()})
}

// takeReport keeps a relay's last report and passes the ends of its legs on to the units.
func (a *aggregator) takeReport(n peerReport) {
	if int(n.from) >= len(a.peers) {
		return
	}
	for _, s := range n.report.observations {
		if u := a.p.endpoints.byHash[s.endpoint]; u != nil {
			u.learn(s, peerEvidence)
		}
	}
	peer := &a.peers[n.from]
	peer.report, peer.reportedAt, peer.hasReported = n.report, a.p.now, true
	peer.observations = nil // passed on: only the verdicts count later
}

// takeDecision keeps an aggregator's last decision, and its paces where this relay has none of its own.
func (a *aggregator) takeDecision(n peerDecision) {
	if int(n.from) >= len(a.peers) {
		return
	}
	a.peers[n.from].decision, a.peers[n.from].decidedAt = n.decision, a.p.now
	for k, pace := range n.decision.ratios {
		if m := a.p.router.machineTypeRatio(relay.MachineType(k)); !a.active && pace > 0 {
			*m = runningMean{pace, minRatioSamples}
		}
	}
}

// count gives the aggregators heard of late, and how many of them decided for each vote for the build and stage.
func (a *aggregator) countDecisions(want relay.Vote) (votes [relay.VoteRollBack + 1]int, decided int) {
	for i := range a.peers {
		peer := &a.peers[i]
		if peer.decidedAt == 0 || a.p.now-peer.decidedAt > aggregatorTimeout || peer.decision.vote > relay.VoteRollBack {
			continue
		}
		decided++
		if peer.decision.build == want.Build && (peer.decision.stage == want.Stage || peer.decision.vote == relay.VoteRollBack) {
			votes[peer.decision.vote]++
		}
	}
	return votes, decided
}
