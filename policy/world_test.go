package policy

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/relay"
)

// The same verdict each time: random runs start from a fixed seed and leave nothing behind.
func TestMain(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "150"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world plays the other side of one relay and checks every order against the rules' text. It knows
// nothing of the module's guards.
type world struct {
	t       interface{ Fatalf(string, ...any) }
	set     relay.Settings
	mod     *Policy
	now     relay.Seconds
	next    relay.QueryID
	queries map[relay.QueryID]*wQuery
	units   map[relay.UnitID]*wUnit
	wakes   []relay.Wake
	taken   []wMark // queries taken, legs on trial, by category
	onTrial []wMark
	news    *relay.StageNews
	capAt   relay.Seconds // when the present cap began to bind
	looser  float64       // the cap that it replaced
	keys    map[relay.Key]relay.Build
	ended   func(q *wQuery, l *wLeg) relay.Outcome // how a leg will end
	sent    []relay.SendLeg
	votes   []relay.Vote
	denied  int
	told    []relay.Seconds // when it sent reports
}

type wMark struct {
	at       relay.Seconds
	build    relay.Build
	category relay.Category
}

type wUnit struct {
	relay.UnitEntry
	told relay.Seconds // when it was told as not ready
}

type wLeg struct {
	unit      relay.UnitEntry
	at, end   relay.Seconds
	how       relay.Outcome
	done      bool
	cancelled bool
	recalled  bool
}

type wQuery struct {
	relay.Query
	legs []*wLeg
	over bool // ended by the module, or told as over
}

func newWorld(t interface{ Fatalf(string, ...any) }, set relay.Settings) *world {
	w := &world{t: t, set: set, mod: New(set, 1), queries: map[relay.QueryID]*wQuery{},
		units: map[relay.UnitID]*wUnit{}, keys: map[relay.Key]relay.Build{}}
	w.ended = func(*wQuery, *wLeg) relay.Outcome { return relay.Honoured }
	return w
}

// step delivers events at the present time and carries out the orders.
func (w *world) step(events ...relay.Event) {
	honoured := map[relay.Key]relay.Build{}
	var told []*wQuery // as over, in this batch: it binds from the next
	for _, e := range events {
		switch e := e.(type) {
		case relay.Query:
			w.queries[e.ID] = &wQuery{Query: e}
			w.taken = append(w.taken, wMark{w.now, 0, e.Category})
		case relay.LegEnded:
			q := w.queries[e.Query]
			if e.Over {
				told = append(told, q)
			}
			if e.How == relay.Honoured && q.Key != 0 {
				honoured[q.Key] = max(honoured[q.Key], q.legs[e.Leg].unit.Build)
			}
		case relay.ClientLeft:
			if q := w.queries[e.Query]; q != nil {
				told = append(told, q)
			}
		case relay.Roster:
			w.roster(e)
		case relay.StageNews:
			w.hear(e)
		}
	}
	for _, o := range w.mod.Step(w.now, events) {
		switch o := o.(type) {
		case relay.SendLeg:
			w.leg(o)
		case relay.Deny:
			q := w.final(o.Query)
			w.denied++
			for _, l := range q.legs {
				c := w.set.Categories[q.Category]
				if maybe := !l.done || !l.how.NeverRan(); maybe && (c.Repeat == relay.AtMostOnce ||
					c.Repeat == relay.Numbered && c.Group != relay.GroupAll) {
					w.t.Fatalf("%v: denied query %d, which may have run", w.now, q.ID)
				}
			}
		case relay.WriteOff:
			w.final(o.Query)
		case relay.Recall:
			w.queries[o.Query].legs[o.Leg].recalled = true
		case relay.Wake:
			w.wakes = append(w.wakes, o)
		case relay.CancelLeg:
			if !w.set.Limits.Cancel || int(o.Leg) >= len(w.queries[o.Query].legs) {
				w.t.Fatalf("%v: cancel not allowed", w.now)
			}
			w.queries[o.Query].legs[o.Leg].cancelled = true
		case relay.Probe:
			if !w.set.Limits.Probes {
				w.t.Fatalf("probe not allowed")
			}
		case relay.Tell:
			if !w.set.Limits.Messages || len(o.Body) > 256 {
				w.t.Fatalf("message not allowed, or of %d bytes", len(o.Body))
			}
			w.told = append(w.told, w.now)
		case relay.Vote:
			w.votes = append(w.votes, o)
		}
	}
	for _, e := range events { // the newest build's cap fell: legs that have not gone yet are under it too
		n, ok := e.(relay.StageNews)
		for _, q := range w.queries {
			for _, l := range q.legs {
				if ok && n.Valid && n.Cap == 0 && n.Build == w.news.Build && l.unit.Build == n.Build && l.at < w.now &&
					w.capAt == w.now && !l.done && !l.recalled {
					w.t.Fatalf("%v: a leg to build %d may still go after its cap fell", w.now, n.Build)
				}
			}
		}
	}
	for _, q := range told {
		q.over = true
	}
	for k, b := range honoured {
		w.keys[k] = max(w.keys[k], b)
	}
	for id := relay.QueryID(0); id < w.next; id++ {
		if q := w.queries[id]; q != nil && !q.over && w.now > q.Until+w.set.Rules.AnswerSlack {
			w.t.Fatalf("%v: query %d has no final answer, patience ended at %v", w.now, id, q.Until)
		}
	}
}

func (w *world) final(id relay.QueryID) *wQuery {
	q := w.queries[id]
	if q == nil || q.over {
		w.t.Fatalf("%v: a final answer to query %d, which is over", w.now, id)
	}
	q.over = true
	return q
}

func (w *world) roster(r relay.Roster) {
	listed := map[relay.UnitID]bool{}
	for _, e := range r.Units {
		listed[e.Unit] = true
		if u := w.units[e.Unit]; u == nil {
			w.units[e.Unit] = &wUnit{e, w.now}
		} else {
			if e.State != relay.Ready && u.State == relay.Ready {
				u.told = w.now
			}
			u.UnitEntry = e
		}
	}
	for id, u := range w.units {
		if (r.Form == relay.RosterCached || r.Form == relay.RosterFull) && !listed[id] {
			if u.State == relay.Ready {
				u.told = w.now
			}
			u.State = relay.Gone
		}
	}
}

func (w *world) hear(n relay.StageNews) {
	if !n.Valid {
		return
	}
	if w.news == nil || n.Build != w.news.Build {
		w.capAt, w.looser = -100, 0
	} else if n.Cap < w.news.Cap {
		w.capAt, w.looser = w.now, max(w.news.Cap, w.looser)
	}
	for k, b := range w.keys {
		if b == n.Build && (n.Phase == relay.GoingBack || n.Phase == relay.Withdrawn) {
			delete(w.keys, k)
		}
	}
	w.news = &n
}

// leg checks rules 1, 2, 3 and 5 for one leg, and draws how it ends.
func (w *world) leg(o relay.SendLeg) {
	q, u := w.queries[o.Query], w.units[o.Unit]
	if q == nil || u == nil || q.over {
		w.t.Fatalf("%v: a leg of query %d, unknown or over, or to an unknown unit", w.now, o.Query)
	}
	if u.State != relay.Ready && w.now > u.told+w.set.Rules.DrainGrace {
		w.t.Fatalf("%v: a leg to a unit told as not ready at %v", w.now, u.told)
	}
	c := w.set.Categories[q.Category]
	for _, l := range q.legs {
		if !l.done && !w.set.Limits.SecondCopies {
			w.t.Fatalf("%v: two legs of query %d at once", w.now, q.ID)
		}
		if l.done && l.how.NeverRan() || c.Repeat == relay.Reissuable {
			continue
		}
		same := c.Group == relay.GroupAll || c.Group == relay.GroupZone && l.unit.Zone == u.Zone ||
			c.Group == relay.GroupCell && l.unit.Cell == u.Cell
		if c.Repeat == relay.AtMostOnce || !same || w.now > l.at+c.RepeatWindow {
			w.t.Fatalf("%v: query %d may run twice", w.now, q.ID)
		}
		if o.By <= 0 || o.By > l.at+c.RepeatWindow { // it may wait for a connection until then, and be written later
			w.t.Fatalf("%v: query %d may be written until %v, its window ends at %v", w.now, q.ID, o.By, l.at+c.RepeatWindow)
		}
	}
	if len(q.legs) >= w.set.Limits.MaxLegs {
		w.t.Fatalf("%v: too many legs", w.now)
	}
	w.exposure(q, u.UnitEntry)
	l := &wLeg{unit: u.UnitEntry, at: w.now}
	l.how = w.ended(q, l)
	q.legs = append(q.legs, l)
	if l.end == 0 {
		l.end = w.now + 0.1
	}
	if l.end >= q.Until {
		l.end, l.how = q.Until, relay.TimedOut
	}
	w.sent = append(w.sent, o)
}

func (w *world) exposure(q *wQuery, u relay.UnitEntry) {
	ro := w.set.Rollout
	if n := w.news; n != nil && ro.KeysForward && q.Key != 0 && w.keys[q.Key] == n.Build && u.Build < n.Build &&
		(n.Phase == relay.OnTrial || n.Phase == relay.Released) {
		w.t.Fatalf("%v: key %d went back to build %d", w.now, q.Key, u.Build)
	}
	cap, stage, since := 0.0, relay.Stage(0), -1.0
	switch {
	case w.news == nil || u.Build < w.news.Build || u.Build == w.news.Build && w.news.Phase == relay.Released:
		return
	case u.Build > w.news.Build:
		cap = ro.Caps[0]
	default:
		cap, stage = w.news.Cap, w.news.Stage
		if w.now <= w.capAt+w.set.Rules.DrainGrace {
			cap = w.looser
		} else if w.capAt >= 0 {
			since = w.capAt + w.set.Rules.DrainGrace
		}
	}
	if int(stage) < ro.GuardedStages && w.set.Categories[q.Category].Repeat != relay.Reissuable {
		w.t.Fatalf("%v: an effect at a guarded stage", w.now)
	}
	w.onTrial = append(w.onTrial, wMark{w.now, u.Build, q.Category})
	legs, taken := 0.0, 0.0
	for _, m := range w.onTrial {
		if m.at > max(w.now-ro.Window, since) && m.build == u.Build && (!ro.PerCategory || m.category == q.Category) {
			legs++
		}
	}
	for _, m := range w.taken {
		if m.at > w.now-ro.Window && (!ro.PerCategory || m.category == q.Category) {
			taken++
		}
	}
	if legs > ro.Uncounted+cap*taken+1e-6 || cap == 0 {
		w.t.Fatalf("%v: %v legs at build %d on trial, cap %v of %v", w.now, legs, u.Build, cap, taken)
	}
}

// due collects what has come about by now: wake-ups and ends of legs.
func (w *world) due() (events []relay.Event) {
	left := w.wakes[:0]
	for _, k := range w.wakes {
		if k.At <= w.now {
			events = append(events, relay.Woken{ID: k.ID})
		} else {
			left = append(left, k)
		}
	}
	w.wakes = left
	ids := make([]int, 0, len(w.queries))
	for id := range w.queries {
		ids = append(ids, int(id))
	}
	sort.Ints(ids)
	for _, id := range ids {
		q := w.queries[relay.QueryID(id)]
		over := q.over
		for i, l := range q.legs {
			if l.cancelled && !l.done && l.end > w.now {
				l.end, l.how = w.now, relay.Cancelled
			}
			if !l.done && l.end <= w.now {
				l.done = true
				over = over || l.how == relay.Honoured
				events = append(events, relay.LegEnded{Query: q.ID, Leg: relay.LegNo(i), Unit: l.unit.Unit, How: l.how,
					Took: l.end - l.at, Over: over})
			}
		}
	}
	return events
}

// run lets time pass in ticks of 10 ms; each is called before its tick for more events.
func (w *world) run(span relay.Seconds, each func() []relay.Event) {
	for end := w.now + span; w.now < end; {
		w.now += 0.01
		events := w.due()
		if each != nil {
			events = append(events, each()...)
		}
		w.step(events...)
	}
}

// thin is a query each so many hundredths of a second.
func (w *world) thin(every int) func() []relay.Event {
	return func() []relay.Event {
		if int(w.now*100)%every == 0 {
			return w.load()
		}
		return nil
	}
}

// legsOf is how many of the legs went to a build.
func (w *world) legsOf(build relay.Build, legs []relay.SendLeg) (n int) {
	for _, o := range legs {
		if w.units[o.Unit].Build == build {
			n++
		}
	}
	return n
}

func (w *world) query(c relay.Category, key relay.Key) relay.Query {
	w.next++
	return relay.Query{ID: w.next - 1, Category: c, Key: key, Until: w.now + w.set.Categories[c].Patience,
		Work: 0.1, HasWork: true}
}

func entries(n int, build relay.Build, from int) (es []relay.UnitEntry) {
	for i := 0; i < n; i++ {
		es = append(es, relay.UnitEntry{Unit: relay.UnitID(from + i), Zone: relay.Zone(i % 2), Cell: relay.Cell(i % 3),
			Build: build, State: relay.Ready})
	}
	return es
}

// plainSettings are those of a middling site with three categories, one of each kind.
func plainSettings() relay.Settings {
	return relay.Settings{Relays: 1, RosterOnAsk: true,
		Categories: []relay.CategoryTerms{
			{Repeat: relay.Reissuable, DueTime: 1, Patience: 3, Value: 2},
			{Repeat: relay.Numbered, Group: relay.GroupZone, RepeatWindow: 2, DueTime: 1, Patience: 4, Value: 3},
			{Repeat: relay.AtMostOnce, DueTime: 1, Patience: 4, Value: 3}},
		Limits: relay.Limits{MaxLegs: 3, Cancel: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: 1,
			Messages: true},
		Rules: relay.Rules{AnswerSlack: 0.02, DrainGrace: 0.25, AskEvery: 10, ColdFrom: 0.4, WarmUp: 4, FallMultiple: 2.5, FallTime: 2},
		Rollout: relay.Rollout{Caps: []float64{0.1, 0.4, 1, 1}, StageShares: []float64{0.05, 0.2, 0.5, 1},
			Uncounted: 1, Window: 2, VotesOn: 1, VotesBack: 1, VoteLife: 10, CallTimeout: 1, VotesPerSec: 50,
			LeastTime: 2}}
}

// drawSettings varies all that the rules depend on.
func drawSettings(t *rapid.T) relay.Settings {
	s := plainSettings()
	pick := func(name string) bool { return rapid.Bool().Draw(t, name) }
	s.Relays = rapid.IntRange(1, 6).Draw(t, "relays")
	s.Self = relay.RelayNo(rapid.IntRange(0, s.Relays-1).Draw(t, "self"))
	s.RosterOnAsk = pick("ask")
	for i := range s.Categories {
		s.Categories[i].Group = relay.Group(rapid.IntRange(0, 2).Draw(t, fmt.Sprint("group", i)))
		s.Categories[i].Repeat = relay.Repeat(rapid.IntRange(0, 2).Draw(t, fmt.Sprint("repeat", i)))
	}
	s.Limits = relay.Limits{MaxLegs: rapid.IntRange(1, 6).Draw(t, "legs"), Cancel: pick("cancel"),
		Messages: pick("messages"), Probes: pick("probes"), SecondCopies: pick("copies"), RetryAfter: pick("after")}
	s.Rules.DrainGrace = rapid.SampledFrom([]float64{0, 0.25, 2}).Draw(t, "grace")
	r := &s.Rollout
	r.Control = relay.Control(rapid.IntRange(0, 2).Draw(t, "control"))
	r.InPlace, r.PerCategory, r.KeysForward = pick("inplace"), pick("percategory"), pick("forward")
	r.GuardedStages = rapid.IntRange(0, 2).Draw(t, "guarded")
	r.Uncounted = float64(rapid.IntRange(0, 3).Draw(t, "uncounted"))
	r.Window = rapid.SampledFrom([]float64{0.5, 2, 4}).Draw(t, "window")
	if pick("bare") { // an all but empty start
		r.Caps, r.StageShares, r.VotesPerSec, r.VoteLife = []float64{0}, nil, 0, 0
		s.Rules.WarmUp, s.Rules.FallTime = 0, 0
	}
	return s
}
