package lab

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Arrival is one query of a replay.
type Arrival struct {
	At       float64 // s; never earlier than the one before
	Category int     // place in the replay's list
	Customer int
	Work     float64
	Relay    uint64
	Fails    int
}

// ReplayOptions are what a replay is made of.
type ReplayOptions struct {
	Seed       int64
	Relays     int
	Units      int
	Categories []string // by name, of those that the laboratory knows
	Customers  []string
	Module     func(relay.Settings, int64) module
}

// CategoryNames lists the categories that the laboratory knows.
func CategoryNames() (out []string) {
	for _, c := range categories {
		out = append(out, c.name)
	}
	return out
}

// Share is the value honoured in due time of the value asked for.
type Share struct {
	Queries int     `json:"queries"`
	Asked   float64 `json:"value_asked"`
	Served  float64 `json:"value_served"`
	Service float64 `json:"service"`
}

func (s *Share) add(asked, served float64) {
	s.Asked, s.Served = s.Asked+asked, s.Served+served
}

func (s *Share) done() Share {
	if s.Asked > 0 {
		s.Service = s.Served / s.Asked
	}
	return *s
}

// Replayed is what a replay showed. Times are seconds.
type Replayed struct {
	Seed       int64              `json:"seed"`
	Relays     int                `json:"relays"`
	Units      int                `json:"units"`
	Span       float64            `json:"span_s"`
	All        Share              `json:"all"`
	Categories map[string]Share   `json:"categories"`
	Customers  map[string]Share   `json:"customers"`
	Worst10    float64            `json:"worst_10s"`
	Denied     int                `json:"denied"`
	WrittenOff int                `json:"written_off"`
	Legs       int                `json:"legs"`
	LegsEach   float64            `json:"legs_a_query"`
	Latency    map[string]float64 `json:"latency_s"` // of honoured queries, from the intended start
	Broken     []Broken           `json:"broken"`
	Hash       string             `json:"timeline_sha256"`

	series *series
}

const (
	worstWidth = 10.0 // s of the worst stretch
	worstLeast = 20   // queries that a stretch must have to count
	afterLast  = 10.0 // s that a replay goes on after the last arrival: longer than any patience
)

// tally keeps a replay's figures.
type tally struct {
	w          *world
	all        Share
	categories []Share
	customers  []Share
	stretch    Share // the present ten seconds
	stretchAt  int64
	worst      float64
	latency    *hdrhistogram.Histogram
	series     series
}

// asked counts a query in. Value is counted where it is asked for; it is served when it is answered in due time.
func (t *tally) asked(q *query) {
	v := categories[q.Category].value * q.work
	t.all.Queries++
	p, busy, cores := t.series.at(q.at), 0, 0
	for _, u := range q.x.f.units {
		busy, cores = busy+u.running, cores+coresEach
	}
	p.asked++
	p.busy += float64(busy) / float64(max(cores, 1))
	t.categories[q.Category].Queries++
	t.customers[q.Customer].Queries++
	t.all.add(v, 0)
	t.categories[q.Category].add(v, 0)
	t.customers[q.Customer].add(v, 0)
	if at := int64(q.at / worstWidth); at != t.stretchAt {
		t.turn()
		t.stretchAt = at
	}
	t.stretch.Queries++
	t.stretch.add(v, 0)
}

// turn ends a stretch of ten seconds.
func (t *tally) turn() {
	if t.stretch.Queries >= worstLeast {
		t.worst = math.Min(t.worst, t.stretch.Served/t.stretch.Asked)
	}
	t.stretch = Share{}
}

func (t *tally) answered(q *query, how final) {
	p := t.series.at(q.at)
	switch {
	case how == denied:
		p.denied++
	case how == writtenOff:
		p.writtenOff++
	case t.w.now > q.due:
		p.late++
	default:
		p.inTime++
	}
	if how != honoured {
		return
	}
	p.hist().RecordValue(int64((t.w.now - q.at) * 1e6))
	t.latency.RecordValue(int64((t.w.now - q.at) * 1e6))
	if t.w.now > q.due {
		return
	}
	v := categories[q.Category].value * q.work
	t.all.add(0, v)
	t.categories[q.Category].add(0, v)
	t.customers[q.Customer].add(0, v)
	if int64(q.at/worstWidth) == t.stretchAt { // an answer that comes after the turn counts for the whole alone
		t.stretch.add(0, v)
	}
}

// Replay is a replay that goes on: arrivals are handed to it in their order.
type Replay struct {
	w      *world
	o      ReplayOptions
	places []int // of the categories
	first  float64
	last   float64
	any    bool
}

// NewReplay begins a replay.
func NewReplay(o ReplayOptions) (*Replay, error) {
	r := &Replay{o: o}
	if o.Relays < 1 || o.Units < 2 || o.Relays > 1000 || o.Units > 1000 {
		return nil, fmt.Errorf("from 1 to 1000 relays and from 2 to 1000 planners")
	}
	for _, name := range o.Categories {
		at := -1
		for i, c := range categories {
			if c.name == name {
				at = i
			}
		}
		if at < 0 {
			return nil, fmt.Errorf("category %q is none of %v", name, CategoryNames())
		}
		r.places = append(r.places, at)
	}
	p := &plan.Plan{Sites: []string{"bole", "kality"}, Groups: []plan.Group{{Name: "all", Customers: o.Customers}},
		Services: []plan.Service{{Name: "replay", Votes: plan.Votes{On: 0.5, Back: 0.15, Life: 10, PerSecond: 100},
			Steps: []plan.Step{{Name: "all", Share: 1, Cap: 1, Opens: []plan.Scope{{Site: 0, Group: 0}, {Site: 1, Group: 0}}}}}}}
	opt := Options{Plan: p, Seed: o.Seed, Days: 1, Start: 1, Relays: o.Relays, Units: o.Units, Module: o.Module,
		Guard: rollout.GuardDefences{All: true}}
	w := &world{opt: opt, plan: withRelays(p, o.Relays), epoch: 1, log: sha256.New(), awake: true}
	w.rng = rand.New(rand.NewSource(o.Seed))
	w.check = newChecker(w)
	w.spell = spell{w: w}
	w.desk = newDeskLink(w)
	w.build(opt)
	w.tally = &tally{w: w, worst: 1, categories: make([]Share, len(categories)), customers: make([]Share, len(o.Customers)+1),
		latency: hdrhistogram.New(1, 60e6, 3), series: series{width: 1}}
	r.w = w
	return r, nil
}

// Play plays up to an arrival and brings it. Arrivals at one instant come one behind another in it.
func (r *Replay) Play(a Arrival) {
	if !r.any {
		r.any, r.first = true, a.At-1 // a second for the relays to come up
	}
	r.last = a.At - r.first
	r.w.run(math.Max(r.last, r.w.now))
	x := r.w.fleets[0].nodes[a.Relay%uint64(len(r.w.fleets[0].nodes))]
	x.take(r.places[a.Category], a.Customer, a.Work, a.Fails)
}

// End plays to the end and gives the figures.
func (r *Replay) End() Replayed {
	w, t := r.w, r.w.tally
	w.run(r.last + afterLast)
	t.turn()
	out := Replayed{Seed: r.o.Seed, Relays: r.o.Relays, Units: r.o.Units, Span: r.last, All: t.all.done(), Categories: map[string]Share{},
		Customers: map[string]Share{}, Worst10: t.worst, Denied: w.stats.denied, WrittenOff: w.stats.writtenOff, Legs: w.stats.legs,
		LegsEach: float64(w.stats.legs) / math.Max(float64(w.stats.queries), 1), Latency: map[string]float64{}, Broken: w.check.broken}
	if out.Broken == nil {
		out.Broken = []Broken{}
	}
	for i := range t.categories {
		if s := t.categories[i].done(); s.Queries > 0 {
			out.Categories[categories[i].name] = s
		}
	}
	for i, name := range r.o.Customers {
		out.Customers[name] = t.customers[i].done()
	}
	for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100} {
		out.Latency[name] = float64(t.latency.ValueAtQuantile(q)) / 1e6
	}
	fmt.Fprintf(w.log, "%d %g %d %d %d", t.all.Queries, t.all.Served, w.stats.denied, w.stats.writtenOff, w.stats.legs)
	out.series = &t.series
	out.Hash = hex.EncodeToString(w.log.Sum(nil))
	return out
}
