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
	At             float64 // s; never earlier than the one before
	Class          int     // place in the replay's list
	Tenant         int
	Work           float64
	Relay          uint64
	FailedAttempts int
	Machine        uint64  // whose planner is bad from this on,
	FaultDuration  float64 // for so many s
	FailureRate    float64 // with so much of its queries
}

// ReplayOptions are what a replay is made of.
type ReplayOptions struct {
	Seed           int64
	Relays         int
	Endpoints      int
	Classes        []string // by name, of those that the laboratory knows
	Tenants        []string
	NewModule      func(relay.Settings, int64) module
	Fault          EndpointFault
	ChangeSettings func(*relay.Settings) // of what relays are told, where given
}

// ClassNames lists the categories that the laboratory knows.
func ClassNames() (out []string) {
	for _, c := range requestClasses {
		out = append(out, c.name)
	}
	return out
}

// Share is the value honoured in due time of the value asked for.
type Share struct {
	Requests       int     `json:"queries"`
	WeightOffered  float64 `json:"value_asked"`
	WeightServed   float64 `json:"value_served"`
	ServedFraction float64 `json:"service"`
}

func (s *Share) add(asked, served float64) {
	s.WeightOffered, s.WeightServed = s.WeightOffered+asked, s.WeightServed+served
}

func (s *Share) withFraction() Share {
	if s.WeightOffered > 0 {
		s.ServedFraction = s.WeightServed / s.WeightOffered
	}
	return *s
}

// Replayed is what a replay showed. Times are seconds.
type ReplayResult struct {
	Seed               int64              `json:"seed"`
	Relays             int                `json:"relays"`
	Endpoints          int                `json:"units"`
	Duration           float64            `json:"span_s"`
	All                Share              `json:"all"`
	Classes            map[string]Share   `json:"categories"`
	Tenants            map[string]Share   `json:"customers"`
	Worst10            float64            `json:"worst_10s"`
	Tail               float64            `json:"tail"`
	Score              float64            `json:"figure"`    // the brief's, before its deductions
	CrossSiteAttempts  int                `json:"crossings"` // legs to the other site
	Rejected           int                `json:"denied"`
	Failed             int                `json:"written_off"`
	Unanswered         int                `json:"unanswered"`
	Attempts           int                `json:"legs"`
	AttemptsPerRequest float64            `json:"legs_a_query"`
	Latency            map[string]float64 `json:"latency_s"` // of honoured queries, from the intended start
	Violations         []Violation        `json:"broken"`
	TimelineHash       string             `json:"timeline_sha256,omitempty"`

	series *series
}

const (
	worstStretch       = 10.0 // s of the worst stretch
	minStretchRequests = 20   // queries that a stretch must have to count
	drainAfterLast     = 10.0 // s that a replay goes on after the last arrival: longer than any patience
)

// Ended is how a query ended for its client.
type RequestOutcome int

// The ends.
const (
	RequestSucceeded RequestOutcome = iota
	RequestRejected
	RequestFailed
	RequestUnanswered // no answer came
)

// Asked is a query as a tally counts it.
type CountedRequest struct {
	At     float64 // s; when it was to be asked
	Class  int     // place in the laboratory's table
	Tenant int
	Work   float64
}

// Tally keeps a replay's figures. Value is counted where it is asked for; it is served when it is answered in due time,
// by the time at which the query was to be asked. A replay over sockets counts by it too.
type Tally struct {
	all         Share
	classes     []Share
	tenants     []Share
	tenantNames []string
	stretch     Share // the present ten seconds
	stretchAt   int64
	worst       float64
	latency     *hdrhistogram.Histogram
	tail        tail
	series      series
	rejected    int
	failed      int
	unanswered  int
}

// NewTally begins the figures of a replay with customers.
func NewTally(customers []string) *Tally {
	return &Tally{worst: 1, classes: make([]Share, len(requestClasses)), tenants: make([]Share, len(customers)+1), tenantNames: customers,
		latency: hdrhistogram.New(1, 60e6, 3), series: series{width: 1}, tail: tail{cells: make([][openTailCells]tailCell, len(requestClasses))}}
}

// Asked counts a query in; busy is the part of the planners' cores that works.
func (t *Tally) RequestArrived(q CountedRequest, busy float64) {
	v := requestClasses[q.Class].priorityWeight * q.Work
	t.all.Requests++
	p := t.series.pointAt(q.At)
	p.arrived++
	p.busy += busy
	t.classes[q.Class].Requests++
	t.tenants[q.Tenant].Requests++
	t.all.add(v, 0)
	t.classes[q.Class].add(v, 0)
	t.tenants[q.Tenant].add(v, 0)
	if at := int64(q.At / worstStretch); at != t.stretchAt {
		t.endStretch()
		t.stretchAt = at
	}
	t.stretch.Requests++
	t.stretch.add(v, 0)
	if c := t.tail.cellOf(q.Class, q.At); c != nil {
		c.requests, c.offered = c.requests+1, c.offered+v
	}
}

// turn ends a stretch of ten seconds.
func (t *Tally) endStretch() {
	if t.stretch.Requests >= minStretchRequests {
		t.worst = math.Min(t.worst, t.stretch.WeightServed/t.stretch.WeightOffered)
	}
	t.stretch = Share{}
}

// Ended counts a query's end.
func (t *Tally) RequestEnded(q CountedRequest, now float64, how RequestOutcome) {
	p := t.series.pointAt(q.At)
	due := now <= q.At+requestClasses[q.Class].objective
	cell := t.tail.cellOf(q.Class, q.At)
	if cell != nil && due && how == RequestRejected {
		cell.rejectedInTime++
	}
	switch {
	case how == RequestUnanswered:
		t.unanswered++
		p.failed++
	case how == RequestRejected:
		t.rejected++
		p.rejected++
	case how == RequestFailed:
		t.failed++
		p.failed++
	case !due:
		p.late++
	default:
		p.inTime++
	}
	if how != RequestSucceeded {
		return
	}
	p.histogram().RecordValue(int64((now - q.At) * 1e6))
	t.latency.RecordValue(int64((now - q.At) * 1e6))
	if !due {
		return
	}
	v := requestClasses[q.Class].priorityWeight * q.Work
	if cell != nil {
		cell.inTime, cell.served = cell.inTime+1, cell.served+v
	}
	t.all.add(0, v)
	t.classes[q.Class].add(0, v)
	t.tenants[q.Tenant].add(0, v)
	if int64(q.At/worstStretch) == t.stretchAt { // an answer that comes after the turn counts for the whole alone
		t.stretch.add(0, v)
	}
}

// Done gives the figures that the tally knows.
func (t *Tally) Result() ReplayResult {
	t.endStretch()
	out := ReplayResult{All: t.all.withFraction(), Classes: map[string]Share{}, Tenants: map[string]Share{}, Worst10: t.worst, Rejected: t.rejected,
		Failed: t.failed, Unanswered: t.unanswered, Latency: map[string]float64{}, Violations: []Violation{}, series: &t.series}
	for i := range t.classes {
		if s := t.classes[i].withFraction(); s.Requests > 0 {
			out.Classes[requestClasses[i].name] = s
		}
	}
	for i, name := range t.tenantNames {
		out.Tenants[name] = t.tenants[i].withFraction()
	}
	out.Tail = t.tail.fraction()
	out.Score = out.score()
	for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100} {
		out.Latency[name] = float64(t.latency.ValueAtQuantile(q)) / 1e6
	}
	return out
}

// Place finds a category in the laboratory's table.
func ClassIndex(name string) (int, error) {
	for i, c := range requestClasses {
		if c.name == name {
			return i, nil
		}
	}
	return -1, fmt.Errorf("category %q is none of %v", name, ClassNames())
}

// Term is what the laboratory has for a category: value, s of due time and patience, what a repeat may do.
type ClassTerms struct {
	Name                                                    string
	PriorityWeight, LatencyObjective, Deadline, DedupWindow float64
	Idempotency                                             relay.Idempotency
}

// Terms lists them, in the order of the table.
func AllClassTerms() (out []ClassTerms) {
	for _, c := range requestClasses {
		out = append(out, ClassTerms{c.name, c.priorityWeight, c.objective, c.deadline, c.dedupWindow, c.idempotency})
	}
	return out
}

// Replay is a replay that goes on: arrivals are handed to it in their order.
type Replay struct {
	simulation   *simulation
	options      ReplayOptions
	classIndexes []int // of the categories
	first        float64
	last         float64
	started      bool
}

// NewReplay begins a replay.
func NewReplay(o ReplayOptions) (*Replay, error) {
	r := &Replay{options: o}
	if o.Relays < 1 || o.Endpoints < 2 || o.Relays > 1000 || o.Endpoints > 1000 {
		return nil, fmt.Errorf("from 1 to 1000 relays and from 2 to 1000 planners")
	}
	for _, name := range o.Classes {
		at, err := ClassIndex(name)
		if err != nil {
			return nil, err
		}
		r.classIndexes = append(r.classIndexes, at)
	}
	p := &plan.Plan{Sites: []string{"bole", "kality"}, Groups: []plan.Group{{Name: "all", Tenants: o.Tenants}},
		Services: []plan.Service{{Name: "replay", Votes: plan.Votes{Promote: 0.5, RollBack: 0.15, TTL: 10, PerSecond: 100},
			Steps: []plan.Step{{Name: "all", Share: 1, ExposureLimit: 1, OpenGroups: []plan.Scope{{Site: 0, Group: 0}, {Site: 1, Group: 0}}}}}}}
	opt := Options{Plan: p, Seed: o.Seed, Days: 1, Start: 1, Relays: o.Relays, Endpoints: o.Endpoints, NewModule: o.NewModule, ChangeSettings: o.ChangeSettings,
		Guard: rollout.GuardSafeguards{All: true}}
	w := &simulation{options: opt, plan: withRelays(p, o.Relays), epoch: 1, timelineHash: sha256.New(), hasTraffic: true}
	w.random = rand.New(rand.NewSource(o.Seed))
	w.checker = newChecker(w)
	w.traffic = trafficWindow{simulation: w}
	w.controller = newControllerLink(w)
	w.addFleets(opt)
	w.tally = NewTally(o.Tenants)
	r.simulation = w
	w.fleets[0].injectFaults(o.Fault)
	return r, nil
}

// Play plays up to an arrival and brings it. Arrivals at one instant come one behind another in it.
func (r *Replay) Arrive(a Arrival) {
	if !r.started {
		r.started, r.first = true, a.At-1 // a second for the relays to come up
	}
	r.last = a.At - r.first
	r.simulation.runUntil(math.Max(r.last, r.simulation.now))
	x := r.simulation.fleets[0].relays[a.Relay%uint64(len(r.simulation.fleets[0].relays))]
	if a.FaultDuration > 0 {
		r.simulation.fleets[0].injectMachineFault(a.Machine, a.FaultDuration, a.FailureRate)
	}
	x.startRequest(r.classIndexes[a.Class], a.Tenant, a.Work, a.FailedAttempts)
}

// End plays to the end and gives the figures.
func (r *Replay) Finish() ReplayResult {
	w, t := r.simulation, r.simulation.tally
	w.runUntil(r.last + drainAfterLast)
	out := t.Result()
	out.Seed, out.Relays, out.Endpoints, out.Duration, out.Attempts = r.options.Seed, r.options.Relays, r.options.Endpoints, r.last, w.counters.attempts
	out.CrossSiteAttempts = w.counters.crossSiteAttempts
	out.AttemptsPerRequest = float64(w.counters.attempts) / math.Max(float64(w.counters.requests), 1)
	out.Violations = append(out.Violations, w.checker.violations...)
	fmt.Fprintf(w.timelineHash, "%d %g %d %d %d", t.all.Requests, t.all.WeightServed, w.counters.rejected, w.counters.failed, w.counters.attempts)
	out.TimelineHash = hex.EncodeToString(w.timelineHash.Sum(nil))
	return out
}
