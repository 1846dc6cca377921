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
type simulation struct {
	options  Options
	plan     *plan.Plan
	epoch    plan.Unix
	now      float64
	sequence int64
	events   eventHeap
	random   *rand.Rand

	controller   *controllerLink
	fleets       []*fleet
	relays       []*simulatedRelay // of all fleets
	checker      *checker
	timelineHash hash.Hash // of the timeline
	timeline     []string  // of the timeline, where they are kept

	hasTraffic   bool              // there is traffic
	idleFrom     float64           // when relays fall asleep after it: their last queries are over by then
	parkedRelays []*simulatedRelay // whose wake waits for the next spell
	traffic      trafficWindow
	counters     counters
	tally        *Tally // of a replay
}

type counters struct {
	requests, succeeded, rejected, failed, disconnected, attempts, crossSiteAttempts, canaryAttempts int
	weightOffered, weightServed                                                                      float64
	weightLostToBadBuilds                                                                            float64 // lost by bad builds: legs of theirs that failed or came late
	controllerEvents, trafficTime                                                                    float64
}

type event struct {
	at       float64
	sequence int64
	run      func()
}

type eventHeap []event

func (q eventHeap) Len() int { return len(q) }
func (q eventHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventHeap) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventHeap) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// at runs something at a time, or at once where that is past.
func (w *simulation) runAt(t float64, do func()) {
	w.sequence++
	heap.Push(&w.events, event{math.Max(t, w.now), w.sequence, do})
}

func (w *simulation) runAfter(d float64, do func()) { w.runAt(w.now+d, do) }

// run goes on to a time.
func (w *simulation) runUntil(until float64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *simulation) unixNow() plan.Unix { return w.epoch + w.now }

// random gives a source of its own to each part, so that one that draws more does not change the others.
func (w *simulation) newRandom(kind string, no int) *rand.Rand {
	h := uint64(w.options.Seed) * 0x9e3779b97f4a7c15
	for _, c := range kind {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	h = (h ^ uint64(no+1)) * 0x9e3779b97f4a7c15
	return rand.New(rand.NewSource(int64(h >> 1)))
}

func uniform(r *rand.Rand, a, b float64) float64 { return a + (b-a)*r.Float64() }

// mark adds a line to the timeline.
func (w *simulation) record(format string, a ...any) {
	line := fmt.Sprintf("%.3f ", w.now) + fmt.Sprintf(format, a...)
	w.timelineHash.Write([]byte(line + "\n"))
	if w.options.KeepTimeline {
		w.timeline = append(w.timeline, line)
	}
}

// controllerLink is the release desk: the real decisions, with a link to relays that lags, falls silent and forgets.
type controllerLink struct {
	simulation   *simulation
	core         *rollout.Core
	journal      []rollout.Event
	silent       bool
	statusLag    float64 // s that news is later than usual
	published    []relay.RolloutStatus
	nextAt       float64
	blockedSince []plan.Unix         // for held: when the present reason began, by service
	blockedBy    []rollout.BlockCode // the present reason
	blockedFor   map[rollout.BlockCode]float64
	random       *rand.Rand
}

func newControllerLink(w *simulation) *controllerLink {
	d := &controllerLink{simulation: w, published: make([]relay.RolloutStatus, len(w.plan.Services)), random: w.newRandom("desk", 0),
		blockedSince: make([]plan.Unix, len(w.plan.Services)), blockedBy: make([]rollout.BlockCode, len(w.plan.Services)),
		blockedFor: map[rollout.BlockCode]float64{}}
	for i := range d.blockedSince {
		d.blockedSince[i] = w.epoch
	}
	d.load(nil)
	return d
}

// begin starts the desk's process with a journal.
func (d *controllerLink) load(journal []rollout.Event) {
	d.core = rollout.New(d.simulation.plan)
	d.core.DisableSafeguards(d.simulation.options.Controller)
	for _, e := range journal {
		if err := d.core.Apply(e); err != nil {
			panic(err) // it wrote them itself
		}
	}
	d.journal = append([]rollout.Event(nil), journal...)
}

// take keeps and applies an event, and does what follows.
func (d *controllerLink) apply(e rollout.Event) {
	if err := d.core.Apply(e); err != nil {
		panic(err)
	}
	d.recordEvent(e)
	d.advance()
}

func (d *controllerLink) recordEvent(e rollout.Event) {
	d.journal = append(d.journal, e)
	if e.Kind == rollout.EventVoted {
		return
	}
	d.simulation.record("desk %s %s build %d step %d", e.Service, e.Kind, e.Build, e.Step)
	d.simulation.counters.controllerEvents++
	d.simulation.traffic.bringForward()
	d.simulation.checker.checkStep(e)
	for _, f := range d.simulation.fleets {
		if f.name == e.Service {
			f.controllerStepped(e)
		}
	}
}

// due does what the core finds due, tells what changed and looks again when the core says.
func (d *controllerLink) advance() {
	for _, e := range d.core.Advance(d.simulation.unixNow()) {
		d.recordEvent(e)
	}
	for i := range d.published {
		w := d.core.BlockReason(plan.ServiceIndex(i), d.simulation.unixNow())
		if w.Code != d.blockedBy[i] {
			d.blockedFor[d.blockedBy[i]] += d.simulation.unixNow() - d.blockedSince[i]
			d.blockedBy[i], d.blockedSince[i] = w.Code, d.simulation.unixNow()
			d.simulation.record("%s waits: %s", d.simulation.plan.Services[i].Name, w)
		}
		n := d.core.RolloutStatus(plan.ServiceIndex(i), d.simulation.unixNow())
		same := d.published[i]
		same.Age = n.Age
		if n != same {
			d.published[i] = n
			d.publish(plan.ServiceIndex(i))
		}
	}
	next := d.core.NextAdvance(d.simulation.unixNow()) - d.simulation.epoch
	if !d.simulation.hasTraffic { // nothing lapses that matters while nobody votes
		next = math.Max(next, d.simulation.now+60)
	}
	if next > d.simulation.now && (d.nextAt <= d.simulation.now || next < d.nextAt) && !math.IsInf(next, 0) {
		d.nextAt = next
		d.simulation.runAt(next, func() {
			if d.nextAt == next {
				d.nextAt = 0
				d.advance()
			}
		})
	}
}

// tell tells every relay that wants to hear of a service where it stands, each a little later; nothing while silent.
func (d *controllerLink) publish(s plan.ServiceIndex) {
	if d.silent {
		return
	}
	n := d.core.RolloutStatus(s, d.simulation.unixNow())
	if !n.Valid {
		return
	}
	for _, x := range d.simulation.relays {
		if x.fleet.service == s || x.watches[s] {
			d.sendStatus(x, s, n)
		}
	}
	d.simulation.fleets[s].statusReceived(n, uniform(d.random, 0.3, 0.8)+d.statusLag)
}

func (d *controllerLink) sendStatus(x *simulatedRelay, s plan.ServiceIndex, n relay.RolloutStatus) {
	lag, life := uniform(d.random, 0.05, 0.8)+d.statusLag, x.incarnation
	d.simulation.runAfter(lag, func() {
		if x.alive && x.incarnation == life {
			n := n
			n.Age += lag
			x.statusReceived(s, n)
		}
	})
}

// again tells everything again, as after a break.
func (d *controllerLink) publishAll() {
	for i := range d.published {
		d.publish(plan.ServiceIndex(i))
	}
}

// vote takes a vote from a relay; what is lost on the way or in a silence is answered by nobody.
func (d *controllerLink) receiveVote(x *simulatedRelay, v relay.Vote, ordered bool) {
	life := x.incarnation
	back := func(n relay.RolloutStatus, after float64) {
		d.simulation.runAfter(after, func() {
			if x.alive && x.incarnation == life && ordered {
				x.voteReplied(n)
			}
		})
	}
	d.simulation.runAfter(uniform(d.random, 0.001, 0.02), func() {
		if d.silent {
			back(relay.RolloutStatus{Reply: relay.ReplyMaybeCounted}, x.fleet.settings.Rollout.CallTimeout)
			return
		}
		if d.simulation.options.IgnoreVotes {
			back(relay.RolloutStatus{Reply: relay.ReplyCounted}, 0.01)
			return
		}
		e, refused := d.core.Vote(x.fleet.service, x.name, v, d.simulation.unixNow())
		if refused != rollout.VoteCounted {
			back(relay.RolloutStatus{Reply: relay.ReplyNotCounted}, 0.01)
			return
		}
		d.apply(e)
		n := d.core.RolloutStatus(x.fleet.service, d.simulation.unixNow())
		n.Reply = relay.ReplyCounted
		back(n, uniform(d.random, 0.001, 0.02))
	})
}

// restart kills the desk's process and starts it again with all of its journal, or without the last events.
func (d *controllerLink) restart(forget int) {
	d.simulation.record("desk restarts, %d events forgotten", forget)
	d.silent = true
	keep := d.journal
	for ; forget > 0 && len(keep) > 0; forget-- {
		keep = keep[:len(keep)-1]
	}
	d.simulation.runAfter(uniform(d.random, 1, 4), func() {
		d.silent = false
		d.load(keep)
		d.simulation.checker.restorePositions(keep)
		for i := range d.published {
			d.published[i] = relay.RolloutStatus{}
		}
		d.advance()
		d.publishAll()
	})
}
