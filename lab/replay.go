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
	Machine  uint64  // whose planner is bad from this on,
	BadFor   float64 // for so many s
	BadPart  float64 // with so much of its queries
}

// ReplayOptions are what a replay is made of.
type ReplayOptions struct {
	Seed       int64
	Relays     int
	Units      int
	Categories []string // by name, of those that the laboratory knows
	Customers  []string
	Module     func(relay.Settings, int64) module
	Trouble    Trouble
	Change     func(*relay.Settings) // of what relays are told, where given
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
	Tail       float64            `json:"tail"`
	Figure     float64            `json:"figure"`    // the brief's, before its deductions
	Crossings  int                `json:"crossings"` // legs to the other site
	Denied     int                `json:"denied"`
	WrittenOff int                `json:"written_off"`
	Unheard    int                `json:"unanswered"`
	Legs       int                `json:"legs"`
	LegsEach   float64            `json:"legs_a_query"`
	Latency    map[string]float64 `json:"latency_s"` // of honoured queries, from the intended start
	Broken     []Broken           `json:"broken"`
	Hash       string             `json:"timeline_sha256,omitempty"`

	series *series
}

const (
	worstWidth = 10.0 // s of the worst stretch
	worstLeast = 20   // queries that a stretch must have to count
	afterLast  = 10.0 // s that a replay goes on after the last arrival: longer than any patience
)

// Ended is how a query ended for its client.
type Ended int

// The ends.
const (
	EndedHonoured Ended = iota
	EndedDenied
	EndedWrittenOff
	EndedUnheard // no answer came
)

// Asked is a query as a tally counts it.
type Asked struct {
	At       float64 // s; when it was to be asked
	Category int     // place in the laboratory's table
	Customer int
	Work     float64
}

// Tally keeps a replay's figures. Value is counted where it is asked for; it is served when it is answered in due time,
// by the time at which the query was to be asked. A replay over sockets counts by it too.
type Tally struct {
	all        Share
	categories []Share
	customers  []Share
	names      []string
	stretch    Share // the present ten seconds
	stretchAt  int64
	worst      float64
	latency    *hdrhistogram.Histogram
	tail       tail
	series     series
	denied     int
	writtenOff int
	unheard    int
}

// NewTally begins the figures of a replay with customers.
func NewTally(customers []string) *Tally {
	return &Tally{worst: 1, categories: make([]Share, len(categories)), customers: make([]Share, len(customers)+1), names: customers,
		latency: hdrhistogram.New(1, 60e6, 3), series: series{width: 1}, tail: tail{cells: make([][tailSlots]tailCell, len(categories))}}
}

// Asked counts a query in; busy is the part of the planners' cores that works.
func (t *Tally) Asked(q Asked, busy float64) {
	v := categories[q.Category].value * q.Work
	t.all.Queries++
	p := t.series.at(q.At)
	p.asked++
	p.busy += busy
	t.categories[q.Category].Queries++
	t.customers[q.Customer].Queries++
	t.all.add(v, 0)
	t.categories[q.Category].add(v, 0)
	t.customers[q.Customer].add(v, 0)
	if at := int64(q.At / worstWidth); at != t.stretchAt {
		t.turn()
		t.stretchAt = at
	}
	t.stretch.Queries++
	t.stretch.add(v, 0)
	if c := t.tail.at(q.Category, q.At); c != nil {
		c.queries, c.asked = c.queries+1, c.asked+v
	}
}

// turn ends a stretch of ten seconds.
func (t *Tally) turn() {
	if t.stretch.Queries >= worstLeast {
		t.worst = math.Min(t.worst, t.stretch.Served/t.stretch.Asked)
	}
	t.stretch = Share{}
}

// Ended counts a query's end.
func (t *Tally) Ended(q Asked, now float64, how Ended) {
	p := t.series.at(q.At)
	due := now <= q.At+categories[q.Category].due
	cell := t.tail.at(q.Category, q.At)
	if cell != nil && due && how == EndedDenied {
		cell.early++
	}
	switch {
	case how == EndedUnheard:
		t.unheard++
		p.writtenOff++
	case how == EndedDenied:
		t.denied++
		p.denied++
	case how == EndedWrittenOff:
		t.writtenOff++
		p.writtenOff++
	case !due:
		p.late++
	default:
		p.inTime++
	}
	if how != EndedHonoured {
		return
	}
	p.hist().RecordValue(int64((now - q.At) * 1e6))
	t.latency.RecordValue(int64((now - q.At) * 1e6))
	if !due {
		return
	}
	v := categories[q.Category].value * q.Work
	if cell != nil {
		cell.inTime, cell.served = cell.inTime+1, cell.served+v
	}
	t.all.add(0, v)
	t.categories[q.Category].add(0, v)
	t.customers[q.Customer].add(0, v)
	if int64(q.At/worstWidth) == t.stretchAt { // an answer that comes after the turn counts for the whole alone
		t.stretch.add(0, v)
	}
}

// Done gives the figures that the tally knows.
func (t *Tally) Done() Replayed {
	t.turn()
	out := Replayed{All: t.all.done(), Categories: map[string]Share{}, Customers: map[string]Share{}, Worst10: t.worst, Denied: t.denied,
		WrittenOff: t.writtenOff, Unheard: t.unheard, Latency: map[string]float64{}, Broken: []Broken{}, series: &t.series}
	for i := range t.categories {
		if s := t.categories[i].done(); s.Queries > 0 {
			out.Categories[categories[i].name] = s
		}
	}
	for i, name := range t.names {
		out.Customers[name] = t.customers[i].done()
	}
	out.Tail = t.tail.done()
	out.Figure = out.figure()
	for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100} {
		out.Latency[name] = float64(t.latency.ValueAtQuantile(q)) / 1e6
	}
	return out
}

// Place finds a category in the laboratory's table.
func Place(name string) (int, error) {
	for i, c := range categories {
		if c.name == name {
			return i, nil
		}
	}
	return -1, fmt.Errorf("category %q is none of %v", name, CategoryNames())
}

// Term is what the laboratory has for a category: value, s of due time and patience, what a repeat may do.
type Term struct {
	Name                         string
	Value, Due, Patience, Window float64
	Repeat                       relay.Idempotency
}

// Terms lists them, in the order of the table.
func Terms() (out []Term) {
	for _, c := range categories {
		out = append(out, Term{c.name, c.value, c.due, c.patience, c.window, c.repeat})
	}
	return out
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
		at, err := Place(name)
		if err != nil {
			return nil, err
		}
		r.places = append(r.places, at)
	}
	p := &plan.Plan{Sites: []string{"bole", "kality"}, Groups: []plan.Group{{Name: "all", Tenants: o.Customers}},
		Services: []plan.Service{{Name: "replay", Votes: plan.Votes{Promote: 0.5, RollBack: 0.15, TTL: 10, PerSecond: 100},
			Steps: []plan.Step{{Name: "all", Share: 1, ExposureLimit: 1, OpenGroups: []plan.Scope{{Site: 0, Group: 0}, {Site: 1, Group: 0}}}}}}}
	opt := Options{Plan: p, Seed: o.Seed, Days: 1, Start: 1, Relays: o.Relays, Units: o.Units, Module: o.Module, Change: o.Change,
		Guard: rollout.GuardSafeguards{All: true}}
	w := &world{opt: opt, plan: withRelays(p, o.Relays), epoch: 1, log: sha256.New(), awake: true}
	w.rng = rand.New(rand.NewSource(o.Seed))
	w.check = newChecker(w)
	w.spell = spell{w: w}
	w.desk = newDeskLink(w)
	w.build(opt)
	w.tally = NewTally(o.Customers)
	r.w = w
	w.fleets[0].trouble(o.Trouble)
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
	if a.BadFor > 0 {
		r.w.fleets[0].hour(a.Machine, a.BadFor, a.BadPart)
	}
	x.take(r.places[a.Category], a.Customer, a.Work, a.Fails)
}

// End plays to the end and gives the figures.
func (r *Replay) End() Replayed {
	w, t := r.w, r.w.tally
	w.run(r.last + afterLast)
	out := t.Done()
	out.Seed, out.Relays, out.Units, out.Span, out.Legs = r.o.Seed, r.o.Relays, r.o.Units, r.last, w.stats.legs
	out.Crossings = w.stats.crossed
	out.LegsEach = float64(w.stats.legs) / math.Max(float64(w.stats.queries), 1)
	out.Broken = append(out.Broken, w.check.broken...)
	fmt.Fprintf(w.log, "%d %g %d %d %d", t.all.Queries, t.all.Served, w.stats.denied, w.stats.writtenOff, w.stats.legs)
	out.Hash = hex.EncodeToString(w.log.Sum(nil))
	return out
}
