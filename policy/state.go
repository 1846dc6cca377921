package policy

import (
	"iter"
	"math"
	"math/rand"
	"slices"
	"sort"

	"lichenroad/membership"
	"lichenroad/relay"
)

// What the parts hold and tell each other. Nothing here decides.

type (
	note any // what one part tells another

	// actor is a part with an inbox.
	actor interface{ take(n note) }

	letter struct {
		to   actor
		body note
	}
)

// post puts a note into an actor's inbox. The inboxes are kept as one queue, in the order of posting.
func (p *Policy) post(to actor, n note) { p.mail = append(p.mail, letter{to, n}) }

// drain is the one loop that empties the inboxes.
func (p *Policy) drain() {
	for i := 0; i < len(p.mail); i++ {
		p.mail[i].to.take(p.mail[i].body)
	}
	p.mail = p.mail[:0]
}

func (p *Policy) do(o relay.Command) { p.out = append(p.out, o) }

// Notes.
type (
	noteTick    struct{}
	noteSent    struct{}
	noteOverdue struct{} // a leg is still out past its query's due time
	noteOutcome struct {
		category relay.RequestClass
		leg      leg
		how      relay.Outcome
		took     relay.Seconds
		work     relay.Seconds // expected, of the query
		due      relay.Seconds // time allowed
	}
	noteReport struct {
		from   relay.RelayID
		report report
	}
	noteDecision struct {
		from     relay.RelayID
		decision decision
	}
)

// leg is one try of a query at a unit. Zone, cell, build and age are the unit's when it was sent.
type leg struct {
	unit   *unit
	zone   relay.Zone
	cell   relay.FailureDomain
	build  relay.Build
	at     relay.Seconds
	age    relay.Seconds
	open   bool
	mayRan bool // it is out, or ended without proof that it never ran
	depth  int  // own legs that the unit held when it was sent
}

// query is one query that this relay has taken.
type query struct {
	relay.Request
	row     *row
	at      relay.Seconds
	due     relay.Seconds
	legs    []leg
	over    bool // has its final answer, or needs none
	overdue bool // was open past its due time
	stream  bool // the client owns a leg: nothing more to decide
}

// openLegs goes over the legs that are still out.
func (q *query) openLegs() iter.Seq2[relay.AttemptNumber, *leg] {
	return func(yield func(relay.AttemptNumber, *leg) bool) {
		for i := range q.legs {
			if l := &q.legs[i]; l.open && !yield(relay.AttemptNumber(i), l) {
				return
			}
		}
	}
}

func (q *query) out() (n int) {
	for range q.openLegs() {
		n++
	}
	return n
}

func (q *query) mayHaveRun() bool {
	for i := range q.legs {
		if q.legs[i].mayRan {
			return true
		}
	}
	return false
}

func (q *query) tried(u *unit) bool {
	for i := range q.legs {
		if q.legs[i].unit == u {
			return true
		}
	}
	return false
}

// exposure is what a relay may still send to one build on trial, by category where the rule counts so.
type exposure struct {
	build relay.Build
	cap   float64
	hard  []float64 // legs that the rule leaves
	parts []float64 // the same by group of customers, where a scope holds
	soft  []float64 // legs that the design's share of the cap leaves
}

// empty takes away all that is left.
func (x *exposure) empty() {
	clear(x.hard)
	clear(x.parts)
	clear(x.soft)
}

func (x *exposure) slot(c relay.RequestClass) int { return min(int(c), len(x.hard)-1) }

// peer is the last report of one relay, and its last decision where it is an aggregator.
type peer struct {
	report
	reportedAt relay.Seconds
	reported   bool // it has sent a report
	decision   decision
	decidedAt  relay.Seconds
	since      relay.Seconds // when it was first counted on as an aggregator; 0: never
}

// counts are outcomes of one build in one category: all, failed and late ones; those whose usual pace is
// known, and how slow they were.
type counts [figures]float64

const (
	figCount = iota
	figFailed
	figLate
	figPaced   // the figures from here on are of the last few buckets alone
	figSlow    // sum of the logarithms of their pace over the usual one
	figSquare  // sum of the squares of these
	figMatched // paced ones of the newest build while earlier machines showed how the hour is
	figOver    // sum of the logarithms of their pace over what those showed at the moment
	figOverSquare
	figures
)

// mean is the mean of a logarithm whose number, sum and sum of squares stand from a figure on, and its
// standard error.
func (c *counts) mean(from int) (m, err float64) {
	n := math.Max(c[from], 1)
	m = c[from+1] / n
	return m, math.Sqrt(math.Max(c[from+2]/n-m*m, 0) / n)
}

func (c *counts) add(o counts) {
	for i := range c {
		c[i] += o[i]
	}
}

// row is what differs by category.
type row struct {
	repeat   relay.Idempotency
	group    relay.DedupScope
	window   relay.Seconds
	due      relay.Seconds
	stretch  float64
	patience relay.Seconds
	gate     float64 // part of the gate's limit from which the category is denied
}

// Policy is one relay's decisions.
type Policy struct {
	set  relay.Settings
	rows []row
	rng  *rand.Rand
	now  relay.Seconds
	mail []letter
	out  []relay.Command

	begun      bool
	roster     roster
	desk       desk
	gate       gate
	trial      trial
	aggregator aggregator
}

// Step takes what has happened up to now and returns what to do about it.
func (p *Policy) Step(now relay.Seconds, events []relay.Event) []relay.Command {
	p.now, p.out = math.Max(now, p.now), p.out[:0]
	if !p.begun {
		p.begun = true
		p.do(relay.SetTimer{ID: 1, At: p.now + tick})
		if p.set.ListOnRequest {
			p.roster.begin(slices.ContainsFunc(events, isLease))
		}
	}
	// All of a batch has happened by now: what it tells of units and builds holds for its queries too.
	for _, e := range events {
		switch e := e.(type) {
		case relay.ListUpdate, relay.ListLease, relay.DiscoveryRecovered:
			p.post(&p.roster, e)
		case relay.RolloutStatus:
			p.post(&p.trial, e)
			p.post(&p.aggregator, e)
		case relay.CanaryScope:
			p.post(&p.trial, e)
		}
		p.drain()
	}
	woken := false
	for _, e := range events {
		switch e := e.(type) {
		case relay.TimerFired:
			woken = true
		case relay.MessageReceived:
			if n, err := decode(e.From, e.Body); err == nil {
				p.post(&p.aggregator, n)
			}
		case relay.Request, relay.AttemptEnded, relay.StreamStarted, relay.ClientDisconnected:
			p.post(&p.desk, e)
		}
		p.drain()
	}
	if woken {
		p.do(relay.SetTimer{ID: 1, At: p.now + tick})
		for _, a := range []actor{&p.roster, &p.trial, &p.aggregator, &p.desk} {
			p.post(a, noteTick{})
		}
		p.drain()
	}
	return p.out
}

// New returns the module of one relay, ready for its first Step.
func New(set relay.Settings, seed int64) *Policy {
	p := &Policy{set: set, rng: rand.New(rand.NewSource(seed))}
	most := 1e-9 // the highest value of a category
	for _, c := range set.Classes {
		most = math.Max(most, c.PriorityWeight)
	}
	for _, c := range set.Classes {
		p.rows = append(p.rows, row{repeat: c.Idempotency, group: c.DedupScope, window: c.DedupWindow, due: c.LatencyObjective,
			stretch: c.ObjectivePerWork, patience: c.Deadline, gate: gatePart(c.PriorityWeight, most)})
	}
	p.assemble()
	// Relays that start together would all look and tell at the same moments, once a second.
	p.trial.judgeAt, p.trial.reportedAt = judgeEvery*p.rng.Float64(), -verdictEvery*p.rng.Float64()
	return p
}

func isLease(e relay.Event) bool {
	_, yes := e.(relay.ListLease)
	return yes
}

// assemble makes the parts.
func (p *Policy) assemble() {
	p.roster = roster{p: p, byID: map[relay.EndpointID]*unit{}, byHash: map[unitHash]*unit{}, leaseEnd: never,
		backoff: membership.NewBackoff(p.set.Relays, p.set.Rules.PollInterval, p.rng)}
	p.desk = desk{p: p, queries: map[relay.RequestID]*query{}, flow: newRing(flowWidth, flowCount, 1),
		links: newRing(flowWidth, linkBuckets, 2)}
	p.gate = gate{p: p, answers: newRing(flowWidth, flowCount, 1),
		mix: newRing(flowWidth, flowCount, len(p.set.Tenants)+1)}
	p.trial = trial{p: p, keys: map[relay.Key]relay.Build{}, mine: make([]verdict, len(p.rows)),
		legs: newRing(evidenceWidth, evidenceBuckets, len(p.rows)),
		last: [2][]counts{make([]counts, len(p.rows)+1), make([]counts, len(p.rows)+1)}}
	p.aggregator = aggregator{p: p, peers: make([]peer, max(p.set.Relays, int(p.set.Self)+1))}
}

// cancel ends the legs of a query that are still out.
func (d *desk) cancel(q *query) {
	for no := range q.openLegs() {
		d.p.do(relay.CancelAttempt{Request: q.ID, Attempt: no})
	}
}

// recall takes back the legs to a build that have not gone yet.
func (d *desk) recall(b relay.Build) {
	for _, q := range d.open {
		for no, l := range q.openLegs() {
			if l.build == b {
				d.p.do(relay.CancelUnsent{Request: q.ID, Attempt: no})
			}
		}
	}
}

// roster keeps the list of units and the watch on it.
type roster struct {
	p       *Policy
	byID    map[relay.EndpointID]*unit
	byHash  map[unitHash]*unit
	units   []*unit       // all ever listed, by id
	callDue bool          // no call was made since the start, or since one failed
	askAt   relay.Seconds // when to ask again; never: an answer has come, so the watch stands

	backoff  membership.Backoff // of calls to discovery
	leaseEnd relay.Seconds      // until when the list may be acted on; never: no lease was named
}

// never is a time that does not come.
const never = relay.Seconds(math.MaxFloat64)

// unit is one server as this relay sees it.
type unit struct {
	p  *Policy
	id relay.EndpointID
	relay.Endpoint
	started  relay.Seconds
	met      bool
	goneAt   relay.Seconds // when it was told as gone
	open     int           // own legs out
	answer   relay.Seconds // last answer, or when the unit stopped being idle
	linked   bool          // its last leg had a connection
	bad      float64       // failure figure, as of badAt
	badAt    relay.Seconds
	misses   float64       // part of its last legs that failed, whatever the time between
	brokenOn relay.Seconds // when it last failed most of them
	pace     float64       // leg time over expected work, as of paceAt
	paceAt   relay.Seconds
	cold     float64 // legs that the cold budget holds, as of coldAt
	coldAt   relay.Seconds
	first    float64 // a chance, for the first leg while it is cold; 1: spent
	seen     [2]ring // evidence: counts by category; own, and told by others
}

const (
	own  = 0
	told = 1
)

// desk takes queries, sends legs and gives final answers.
type desk struct {
	p        *Policy
	queries  map[relay.RequestID]*query
	open     []*query       // those with an answer owed or legs out, in order of arrival
	inTime   int            // of these, with an answer owed that may still be in time
	pace     mean           // the fleet's leg time over expected work
	kinds    []mean         // the same by kind of machine, over all relays
	paces    [][depths]mean // the same by kind of machine and depth, held as it was before a trial
	usual    mean           // leg time
	strain   mean           // leg time over due time of late
	links    ring           // legs ended, and those of them without a connection
	flow     ring           // legs honoured
	ease     float64        // 1: legs take a small part of their due time; 0: a large one, or not known yet
	choice   float64        // part of the ready units that are warm and may be used
	evenFlow float64        // a second, to each ready unit if all got the same
}

// gate denies new queries while more are open than can be answered in time at the pace of late. It guards
// against any lack of capacity, and needs no cause: too much traffic, lost or slow units, costly queries.
type gate struct {
	p       *Policy
	answers ring // due times of the answers
	mix     ring // queries taken, by customer; the last figure: all
}

// trial knows where the newest build stands, bounds exposure to it, and forms verdicts on it.
type trial struct {
	p          *Policy
	known      bool
	news       relay.RolloutStatus
	since      relay.Seconds // when the present state began
	offered    relay.Seconds // when the newest build was first heard of; 0: before this relay began
	cycle      relay.Seconds // from the build before to that
	listedAt   relay.Seconds // when the units of the present stage were first listed; 0: not yet
	doubted    bool          // the watch was opened anew as they were not
	limits     []*exposure
	scope      relay.CanaryScope
	scoped     bool                      // a scope was told
	keys       map[relay.Key]relay.Build // answered by the newest build, or by one not announced yet
	mine       []verdict                 // by category
	last       [2][]counts               // what the earlier machines last showed, by category; own, and pooled
	calm       counts                    // of all units when the build was first heard of
	legs       ring                      // own legs at the newest build that count as evidence, by category
	unreported []observation             // legs that the aggregators have not been told of
	before     mean                      // logarithm of pace over the usual one at the earlier machines just now
	beforeAt   relay.Seconds             // last leg there
	room       float64                   // part of the legs that the build on trial may get
	judgeAt    relay.Seconds
	reportedAt relay.Seconds
}

// aggregator weighs all relays' verdicts, tells its decision, and votes.
type aggregator struct {
	p           *Policy
	peers       []peer // by relay number
	lookAt      relay.Seconds
	aggregating bool
	want        relay.Vote    // what should stand, by own or others' decision
	wantAt      relay.Seconds // since when
	announced   relay.Vote    // own decision, last told to all
	announcedAt relay.Seconds
	why         string     // what speaks for going back
	cast        relay.Vote // the vote that stands, or is under way
	castAt      relay.Seconds
	nextAt      relay.Seconds // not to vote before
	sure        bool          // it was counted
	cleanAt     relay.Seconds // when the pooled counts were last not flagged
	slowAt      relay.Seconds // when the fleet was last as quick as before the trial
	pending     bool
}

// list takes the unit's entry in the roster. A fresh start, or another build under an old id, is a new process:
// nothing known of the old holds.
func (u *unit) list(e relay.Endpoint) {
	if !u.met || e.Build != u.Build || e.StartKnown && e.StartedAt != u.StartedAt {
		u.met, u.bad, u.pace, u.misses, u.brokenOn = true, 0, 0, 0, 0
		u.cold, u.coldAt, u.first = u.p.rng.Float64(), u.p.now, u.p.rng.Float64()
		u.seen[own].reset()
		u.seen[told].reset()
	}
	if e.State == relay.Removed && u.State != relay.Removed {
		u.goneAt = u.p.now
	}
	u.Endpoint = e
	u.started = math.Inf(-1)
	if e.StartKnown {
		u.started = e.StartedAt
	}
}

// as is what is known of the unit, in another state.
func (u *unit) as(state relay.EndpointState) relay.Endpoint {
	e := u.Endpoint
	e.State = state
	return e
}

// merge applies a list of the roster: units listed are told their line, and those that a whole list leaves
// out that they are gone.
func (r *roster) merge(n relay.ListUpdate) {
	listed := map[relay.EndpointID]bool{}
	for _, e := range n.Endpoints {
		listed[e.ID] = true
		u := r.byID[e.ID]
		if u == nil {
			u = &unit{p: r.p, id: e.ID}
			for i := range u.seen {
				u.seen[i] = newRing(evidenceWidth, evidenceBuckets, len(r.p.rows)*figures)
			}
			r.byID[e.ID] = u
			if m := hashOf(e.ID); r.byHash[m] == nil {
				r.byHash[m] = u
			}
			at := sort.Search(len(r.units), func(i int) bool { return r.units[i].id > e.ID })
			r.units = append(r.units, nil)
			copy(r.units[at+1:], r.units[at:])
			r.units[at] = u
		}
		if e.Partial && u.met {
			e = u.as(e.State)
		}
		r.p.post(u, e)
	}
	for _, u := range r.units {
		if n.Kind != relay.ListDelta && !listed[u.id] && u.State != relay.Removed {
			r.p.post(u, u.as(relay.Removed))
		}
	}
	r.forget()
}

// forget drops units that have been gone for long and hold nothing: with releases every day, machines come and go
// for as long as a relay lives.
func (r *roster) forget() {
	kept, vacant := r.units[:0], []unitHash(nil)
	for _, u := range r.units {
		if u.met && u.State == relay.Removed && u.open == 0 && r.p.now-u.goneAt > forgetGone {
			delete(r.byID, u.id)
			if m := hashOf(u.id); r.byHash[m] == u {
				delete(r.byHash, m)
				vacant = append(vacant, m)
			}
			continue
		}
		kept = append(kept, u)
	}
	clear(r.units[len(kept):])
	r.units = kept
	for _, m := range vacant { // another unit may have the same hash, and has been behind this one so far
		if i := slices.IndexFunc(kept, func(u *unit) bool { return hashOf(u.id) == m }); i >= 0 {
			r.byHash[m] = kept[i]
		}
	}
}

// limit returns the exposure kept for a build, started when the build is first met.
func (t *trial) limit(b relay.Build) *exposure {
	for _, x := range t.limits {
		if x.build == b {
			return x
		}
	}
	ro, n := &t.p.set.Rollout, 1
	if ro.PerClass {
		n = len(t.p.rows)
	}
	x := &exposure{build: b, hard: make([]float64, n), soft: make([]float64, n)}
	if len(ro.ExposureLimits) > 0 {
		x.cap = ro.ExposureLimits[0]
	}
	for i := range x.hard {
		x.hard[i], x.soft[i] = ro.ExposureAllowance, t.p.rng.Float64()
	}
	x.parts = make([]float64, len(t.scope.GroupOpen))
	t.limits = append(t.limits, x)
	return x
}

// narrow takes a scope. Budgets by group start empty where the groups are others than before.
func (t *trial) narrow(s relay.CanaryScope) {
	t.scope, t.scoped = s, true
	for _, x := range t.limits {
		if len(x.parts) != len(s.GroupOpen) {
			x.parts = make([]float64, len(s.GroupOpen))
		}
	}
}

// budgets gives the budgets that a query's part counts in, none where a scope keeps it from builds on trial, and
// its group's number; -1: no scope holds.
func (t *trial) budgets(q *query) (limits []*exposure, g int) {
	g, open := t.group(q.Tenant)
	if !open {
		return nil, g
	}
	return t.limits, g
}

// group is the group that a customer's queries count in, and whether it may meet builds on trial.
func (t *trial) group(c relay.Tenant) (g int, open bool) {
	if !t.scoped {
		return -1, true
	}
	if c < 0 || int(c) >= len(t.scope.GroupOfTenant) {
		return -1, false
	}
	g = t.scope.GroupOfTenant[c]
	if g < 0 || g >= len(t.scope.GroupOpen) {
		return -1, false
	}
	return g, t.scope.GroupOpen[g]
}
