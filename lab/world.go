// Package lab is a laboratory in virtual time: sites, planners, rosters, deployers, memos and clients are emulated,
// the decision modules, their guards and the release desk are the real ones. One clock and one seed: the same call
// gives the same result. The checker (check.go) watches from outside and shares no code with policy or rollout.
package lab

import (
	"container/heap"
	"fmt"
	"hash"
	"math"
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// world is everything that is emulated, on one clock. Its time is in seconds since its start, which is at a Unix
// time of its own.
type world struct {
	opt    Options
	plan   *plan.Plan
	epoch  plan.Unix
	now    float64
	seq    int64
	events queue
	rng    *rand.Rand

	desk   *deskLink
	fleets []*fleet
	nodes  []*node // of all fleets
	check  *checker
	log    hash.Hash // of the timeline
	lines  []string  // of the timeline, where they are kept

	awake   bool    // there is traffic
	sleepAt float64 // when relays fall asleep after it: their last queries are over by then
	parked  []*node // whose wake waits for the next spell
	spell   spell
	stats   counts
	tally   *Tally // of a replay
}

type counts struct {
	queries, honoured, denied, writtenOff, left, legs, crossed, trialLegs int
	worth, served                                                         float64
	badWorth                                                              float64 // lost by bad builds: legs of theirs that failed or came late
	steps, awakeFor                                                       float64
}

type event struct {
	at  float64
	seq int64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// at runs something at a time, or at once where that is past.
func (w *world) at(t float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{math.Max(t, w.now), w.seq, do})
}

func (w *world) in(d float64, do func()) { w.at(w.now+d, do) }

// run goes on to a time.
func (w *world) run(until float64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) unix() plan.Unix { return w.epoch + w.now }

// random gives a source of its own to each part, so that one that draws more does not change the others.
func (w *world) random(kind string, no int) *rand.Rand {
	h := uint64(w.opt.Seed) * 0x9e3779b97f4a7c15
	for _, c := range kind {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	h = (h ^ uint64(no+1)) * 0x9e3779b97f4a7c15
	return rand.New(rand.NewSource(int64(h >> 1)))
}

func between(r *rand.Rand, a, b float64) float64 { return a + (b-a)*r.Float64() }

// mark adds a line to the timeline.
func (w *world) mark(format string, a ...any) {
	line := fmt.Sprintf("%.3f ", w.now) + fmt.Sprintf(format, a...)
	w.log.Write([]byte(line + "\n"))
	if w.opt.Keep {
		w.lines = append(w.lines, line)
	}
}

// deskLink is the release desk: the real decisions, with a link to relays that lags, falls silent and forgets.
type deskLink struct {
	w       *world
	core    *rollout.Core
	journal []rollout.Event
	silent  bool
	late    float64 // s that news is later than usual
	told    []relay.RolloutStatus
	nextAt  float64
	since   []plan.Unix         // for held: when the present reason began, by service
	code    []rollout.BlockCode // the present reason
	held    map[rollout.BlockCode]float64
	rng     *rand.Rand
}

func newDeskLink(w *world) *deskLink {
	d := &deskLink{w: w, told: make([]relay.RolloutStatus, len(w.plan.Services)), rng: w.random("desk", 0),
		since: make([]plan.Unix, len(w.plan.Services)), code: make([]rollout.BlockCode, len(w.plan.Services)),
		held: map[rollout.BlockCode]float64{}}
	for i := range d.since {
		d.since[i] = w.epoch
	}
	d.begin(nil)
	return d
}

// begin starts the desk's process with a journal.
func (d *deskLink) begin(journal []rollout.Event) {
	d.core = rollout.New(d.w.plan)
	d.core.DisableSafeguards(d.w.opt.Desk)
	for _, e := range journal {
		if err := d.core.Apply(e); err != nil {
			panic(err) // it wrote them itself
		}
	}
	d.journal = append([]rollout.Event(nil), journal...)
}

// take keeps and applies an event, and does what follows.
func (d *deskLink) take(e rollout.Event) {
	if err := d.core.Apply(e); err != nil {
		panic(err)
	}
	d.keep(e)
	d.due()
}

func (d *deskLink) keep(e rollout.Event) {
	d.journal = append(d.journal, e)
	if e.Kind == rollout.EventVoted {
		return
	}
	d.w.mark("desk %s %s build %d step %d", e.Service, e.Kind, e.Build, e.Step)
	d.w.stats.steps++
	d.w.spell.soon()
	d.w.check.moved(e)
	for _, f := range d.w.fleets {
		if f.name == e.Service {
			f.moved(e)
		}
	}
}

// due does what the core finds due, tells what changed and looks again when the core says.
func (d *deskLink) due() {
	for _, e := range d.core.Advance(d.w.unix()) {
		d.keep(e)
	}
	for i := range d.told {
		w := d.core.BlockReason(plan.ServiceIndex(i), d.w.unix())
		if w.Code != d.code[i] {
			d.held[d.code[i]] += d.w.unix() - d.since[i]
			d.code[i], d.since[i] = w.Code, d.w.unix()
			d.w.mark("%s waits: %s", d.w.plan.Services[i].Name, w)
		}
		n := d.core.RolloutStatus(plan.ServiceIndex(i), d.w.unix())
		same := d.told[i]
		same.Age = n.Age
		if n != same {
			d.told[i] = n
			d.tell(plan.ServiceIndex(i))
		}
	}
	next := d.core.NextAdvance(d.w.unix()) - d.w.epoch
	if !d.w.awake { // nothing lapses that matters while nobody votes
		next = math.Max(next, d.w.now+60)
	}
	if next > d.w.now && (d.nextAt <= d.w.now || next < d.nextAt) && !math.IsInf(next, 0) {
		d.nextAt = next
		d.w.at(next, func() {
			if d.nextAt == next {
				d.nextAt = 0
				d.due()
			}
		})
	}
}

// tell tells every relay that wants to hear of a service where it stands, each a little later; nothing while silent.
func (d *deskLink) tell(s plan.ServiceIndex) {
	if d.silent {
		return
	}
	n := d.core.RolloutStatus(s, d.w.unix())
	if !n.Valid {
		return
	}
	for _, x := range d.w.nodes {
		if x.f.no == s || x.hears[s] {
			d.tellOne(x, s, n)
		}
	}
	d.w.fleets[s].told(n, between(d.rng, 0.3, 0.8)+d.late)
}

func (d *deskLink) tellOne(x *node, s plan.ServiceIndex, n relay.RolloutStatus) {
	lag, life := between(d.rng, 0.05, 0.8)+d.late, x.life
	d.w.in(lag, func() {
		if x.alive && x.life == life {
			n := n
			n.Age += lag
			x.hear(s, n)
		}
	})
}

// again tells everything again, as after a break.
func (d *deskLink) again() {
	for i := range d.told {
		d.tell(plan.ServiceIndex(i))
	}
}

// vote takes a vote from a relay; what is lost on the way or in a silence is answered by nobody.
func (d *deskLink) vote(x *node, v relay.Vote, ordered bool) {
	life := x.life
	back := func(n relay.RolloutStatus, after float64) {
		d.w.in(after, func() {
			if x.alive && x.life == life && ordered {
				x.reply(n)
			}
		})
	}
	d.w.in(between(d.rng, 0.001, 0.02), func() {
		if d.silent {
			back(relay.RolloutStatus{Reply: relay.ReplyMaybeCounted}, x.f.set.Rollout.CallTimeout)
			return
		}
		if d.w.opt.NoVotes {
			back(relay.RolloutStatus{Reply: relay.ReplyCounted}, 0.01)
			return
		}
		e, refused := d.core.Vote(x.f.no, x.name, v, d.w.unix())
		if refused != rollout.VoteCounted {
			back(relay.RolloutStatus{Reply: relay.ReplyNotCounted}, 0.01)
			return
		}
		d.take(e)
		n := d.core.RolloutStatus(x.f.no, d.w.unix())
		n.Reply = relay.ReplyCounted
		back(n, between(d.rng, 0.001, 0.02))
	})
}

// restart kills the desk's process and starts it again with all of its journal, or without the last events.
func (d *deskLink) restart(forget int) {
	d.w.mark("desk restarts, %d events forgotten", forget)
	d.silent = true
	keep := d.journal
	for ; forget > 0 && len(keep) > 0; forget-- {
		keep = keep[:len(keep)-1]
	}
	d.w.in(between(d.rng, 1, 4), func() {
		d.silent = false
		d.begin(keep)
		d.w.check.replay(keep)
		for i := range d.told {
			d.told[i] = relay.RolloutStatus{}
		}
		d.due()
		d.again()
	})
}
