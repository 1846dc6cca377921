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
	message any // what one part tells another

	// actor is a part with an inbox.
	receiver interface{ take(n message) }

	envelope struct {
		to   receiver
		body message
	}
)

// post puts a note into an actor's inbox. The inboxes are kept as one queue, in the order of posting.
func (p *Policy) send(to receiver, n message) { p.mailbox = append(p.mailbox, envelope{to, n}) }

// drain is the one loop that empties the inboxes.
func (p *Policy) deliver() {
	for i := 0; i < len(p.mailbox); i++ {
		p.mailbox[i].to.take(p.mailbox[i].body)
	}
	p.mailbox = p.mailbox[:0]
}

func (p *Policy) emit(o relay.Command) { p.commands = append(p.commands, o) }

// Notes.
type (
	tickMessage     struct{}
	attemptSent     struct{}
	objectiveMissed struct{} // a leg is still out past its query's due time
	attemptOutcome  struct {
		class     relay.RequestClass
		attempt   trackedAttempt
		outcome   relay.Outcome
		duration  relay.Seconds
		work      relay.Seconds // expected, of the query
		objective relay.Seconds // time allowed
	}
	peerReport struct {
		from   relay.RelayID
		report report
	}
	peerDecision struct {
		from     relay.RelayID
		decision decision
	}
)

// leg is one try of a query at a unit. Zone, cell, build and age are the unit's when it was sent.
type trackedAttempt struct {
	endpoint      *trackedEndpoint
	zone          relay.Zone
	failureDomain relay.FailureDomain
	build         relay.Build
	sentAt        relay.Seconds
	endpointAge   relay.Seconds
	open          bool
	mayHaveRun    bool // it is out, or ended without proof that it never ran
	queueDepth    int  // own legs that the unit held when it was sent
}

// query is one query that this relay has taken.
type trackedRequest struct {
	relay.Request
	class       *classState
	arrivedAt   relay.Seconds
	objectiveAt relay.Seconds
	attempts    []trackedAttempt
	finished    bool // has its final answer, or needs none
	late        bool // was open past its due time
	streaming   bool // the client owns a leg: nothing more to decide
}

// openAttempts goes over the legs that are still out.
func (q *trackedRequest) openAttempts() iter.Seq2[relay.AttemptNumber, *trackedAttempt] {
	return func(yield func(relay.AttemptNumber, *trackedAttempt) bool) {
		for i := range q.attempts {
			if l := &q.attempts[i]; l.open && !yield(relay.AttemptNumber(i), l) {
				return
			}
		}
	}
}

func (q *trackedRequest) openCount() (n int) {
	for range q.openAttempts() {
		n++
	}
	return n
}

func (q *trackedRequest) mayHaveRun() bool {
	for i := range q.attempts {
		if q.attempts[i].mayHaveRun {
			return true
		}
	}
	return false
}

func (q *trackedRequest) hasTried(u *trackedEndpoint) bool {
	for i := range q.attempts {
		if q.attempts[i].endpoint == u {
			return true
		}
	}
	return false
}

// exposure is what a relay may still send to one build on trial, by category where the rule counts so.
type exposureBudget struct {
	build          relay.Build
	limit          float64
	allowed        []float64 // legs that the rule leaves
	allowedByGroup []float64 // the same by group of customers, where a scope holds
	target         []float64 // legs that the design's share of the cap leaves
}

// empty takes away all that is left.
func (x *exposureBudget) exhaust() {
	clear(x.allowed)
	clear(x.allowedByGroup)
	clear(x.target)
}

func (x *exposureBudget) index(c relay.RequestClass) int { return min(int(c), len(x.allowed)-1) }

// peer is the last report of one relay, and its last decision where it is an aggregator.
type peerState struct {
	report
	reportedAt    relay.Seconds
	hasReported   bool // it has sent a report
	decision      decision
	decidedAt     relay.Seconds
	expectedSince relay.Seconds // when it was first counted on as an aggregator; 0: never
}

// counts are outcomes of one build in one category: all, failed and late ones; those whose usual pace is
// known, and how slow they were.
type outcomeCounts [figures]float64

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
func (c *outcomeCounts) mean(from int) (m, err float64) {
	n := math.Max(c[from], 1)
	m = c[from+1] / n
	return m, math.Sqrt(math.Max(c[from+2]/n-m*m, 0) / n)
}

func (c *outcomeCounts) add(o outcomeCounts) {
	for i := range c {
		c[i] += o[i]
	}
}

// row is what differs by category.
type classState struct {
	idempotency       relay.Idempotency
	dedupScope        relay.DedupScope
	dedupWindow       relay.Seconds
	objective         relay.Seconds
	objectivePerWork  float64
	deadline          relay.Seconds
	admissionFraction float64 // part of the gate's limit from which the category is denied
}

// Policy is one relay's decisions.
type Policy struct {
	settings relay.Settings
	classes  []classState
	random   *rand.Rand
	now      relay.Seconds
	mailbox  []envelope
	commands []relay.Command

	started    bool
	endpoints  endpointList
	router     router
	admission  admission
	canary     canary
	aggregator aggregator
}

// Step takes what has happened up to now and returns what to do about it.
func (p *Policy) Step(now relay.Seconds, events []relay.Event) []relay.Command {
	p.now, p.commands = math.Max(now, p.now), p.commands[:0]
	if !p.started {
		p.started = true
		p.emit(relay.SetTimer{ID: 1, At: p.now + tickInterval})
		if p.settings.ListOnRequest {
			p.endpoints.start(slices.ContainsFunc(events, isLease))
		}
	}
	// All of a batch has happened by now: what it tells of units and builds holds for its queries too.
	for _, e := range events {
		switch e := e.(type) {
		case relay.ListUpdate, relay.ListLease, relay.DiscoveryRecovered:
			p.send(&p.endpoints, e)
		case relay.RolloutStatus:
			p.send(&p.canary, e)
			p.send(&p.aggregator, e)
		case relay.CanaryScope:
			p.send(&p.canary, e)
		}
		p.deliver()
	}
	woken := false
	for _, e := range events {
		switch e := e.(type) {
		case relay.TimerFired:
			woken = true
		case relay.MessageReceived:
			if n, err := decode(e.From, e.Body); err == nil {
				p.send(&p.aggregator, n)
			}
		case relay.Request, relay.AttemptEnded, relay.StreamStarted, relay.ClientDisconnected:
			p.send(&p.router, e)
		}
		p.deliver()
	}
	if woken {
		p.emit(relay.SetTimer{ID: 1, At: p.now + tickInterval})
		for _, a := range []receiver{&p.endpoints, &p.canary, &p.aggregator, &p.router} {
			p.send(a, tickMessage{})
		}
		p.deliver()
	}
	return p.commands
}

// New returns the module of one relay, ready for its first Step.
func New(set relay.Settings, seed int64) *Policy {
	p := &Policy{settings: set, random: rand.New(rand.NewSource(seed))}
	most := 1e-9 // the highest value of a category
	for _, c := range set.Classes {
		most = math.Max(most, c.PriorityWeight)
	}
	for _, c := range set.Classes {
		p.classes = append(p.classes, classState{idempotency: c.Idempotency, dedupScope: c.DedupScope, dedupWindow: c.DedupWindow, objective: c.LatencyObjective,
			objectivePerWork: c.ObjectivePerWork, deadline: c.Deadline, admissionFraction: admissionFraction(c.PriorityWeight, most)})
	}
	p.assemble()
	// Relays that start together would all look and tell at the same moments, once a second.
	p.canary.nextJudgeAt, p.canary.reportedAt = judgeInterval*p.random.Float64(), -verdictInterval*p.random.Float64()
	return p
}

func isLease(e relay.Event) bool {
	_, yes := e.(relay.ListLease)
	return yes
}

// assemble makes the parts.
func (p *Policy) assemble() {
	p.endpoints = endpointList{p: p, byID: map[relay.EndpointID]*trackedEndpoint{}, byHash: map[endpointHash]*trackedEndpoint{}, leaseExpiresAt: never,
		backoff: membership.NewBackoff(p.settings.Relays, p.settings.Rules.PollInterval, p.random)}
	p.router = router{p: p, requests: map[relay.RequestID]*trackedRequest{}, successes: newSlidingWindow(flowBucketTime, flowBuckets, 1),
		connects: newSlidingWindow(flowBucketTime, connectBuckets, 2)}
	p.admission = admission{p: p, answered: newSlidingWindow(flowBucketTime, flowBuckets, 1),
		requestsByTenant: newSlidingWindow(flowBucketTime, flowBuckets, len(p.settings.Tenants)+1)}
	p.canary = canary{p: p, stickyKeys: map[relay.Key]relay.Build{}, verdicts: make([]verdict, len(p.classes)),
		newestAttempts: newSlidingWindow(evidenceBucketTime, evidenceBuckets, len(p.classes)),
		lastEarlier:    [2][]outcomeCounts{make([]outcomeCounts, len(p.classes)+1), make([]outcomeCounts, len(p.classes)+1)}}
	p.aggregator = aggregator{p: p, peers: make([]peerState, max(p.settings.Relays, int(p.settings.Self)+1))}
}

// cancel ends the legs of a query that are still out.
func (d *router) cancelAttempts(q *trackedRequest) {
	for no := range q.openAttempts() {
		d.p.emit(relay.CancelAttempt{Request: q.ID, Attempt: no})
	}
}

// recall takes back the legs to a build that have not gone yet.
func (d *router) cancelUnsent(b relay.Build) {
	for _, q := range d.openRequests {
		for no, l := range q.openAttempts() {
			if l.build == b {
				d.p.emit(relay.CancelUnsent{Request: q.ID, Attempt: no})
			}
		}
	}
}

// roster keeps the list of units and the watch on it.
type endpointList struct {
	p           *Policy
	byID        map[relay.EndpointID]*trackedEndpoint
	byHash      map[endpointHash]*trackedEndpoint
	all         []*trackedEndpoint // all ever listed, by id
	pollPending bool               // no call was made since the start, or since one failed
	pollAt      relay.Seconds      // when to ask again; never: an answer has come, so the watch stands

	backoff        membership.Backoff // of calls to discovery
	leaseExpiresAt relay.Seconds      // until when the list may be acted on; never: no lease was named
}

// never is a time that does not come.
const never = relay.Seconds(math.MaxFloat64)

// unit is one server as this relay sees it.
type trackedEndpoint struct {
	p  *Policy
	id relay.EndpointID
	relay.Endpoint
	startTime         relay.Seconds
	listed            bool
	removedAt         relay.Seconds // when it was told as gone
	openAttempts      int           // own legs out
	lastAnswerAt      relay.Seconds // last answer, or when the unit stopped being idle
	connected         bool          // its last leg had a connection
	failure           float64       // failure figure, as of failureAt
	failureAt         relay.Seconds
	failedFraction    float64       // part of its last legs that failed, whatever the time between
	faultyAt          relay.Seconds // when it last failed most of them
	ratio             float64       // leg time over expected work, as of ratioAt
	ratioAt           relay.Seconds
	slowStartBudget   float64 // legs that the cold budget holds, as of slowStartBudgetAt
	slowStartBudgetAt relay.Seconds
	firstAttemptDraw  float64          // a chance, for the first leg while it is cold; 1: spent
	evidence          [2]slidingWindow // evidence: counts by category; own, and told by others
}

const (
	ownEvidence  = 0
	peerEvidence = 1
)

// desk takes queries, sends legs and gives final answers.
type router struct {
	p                 *Policy
	requests          map[relay.RequestID]*trackedRequest
	openRequests      []*trackedRequest            // those with an answer owed or legs out, in order of arrival
	openInTime        int                          // of these, with an answer owed that may still be in time
	fleetRatio        runningMean                  // the fleet's leg time over expected work
	machineTypeRatios []runningMean                // the same by kind of machine, over all relays
	usualRatios       [][maxQueueDepth]runningMean // the same by kind of machine and depth, held as it was before a trial
	attemptDuration   runningMean                  // leg time
	objectiveUsage    runningMean                  // leg time over due time of late
	connects          slidingWindow                // legs ended, and those of them without a connection
	successes         slidingWindow                // legs honoured
	headroom          float64                      // 1: legs take a small part of their due time; 0: a large one, or not known yet
	usableFraction    float64                      // part of the ready units that are warm and may be used
	evenRate          float64                      // a second, to each ready unit if all got the same
}

// gate denies new queries while more are open than can be answered in time at the pace of late. It guards
// against any lack of capacity, and needs no cause: too much traffic, lost or slow units, costly queries.
type admission struct {
	p                *Policy
	answered         slidingWindow // due times of the answers
	requestsByTenant slidingWindow // queries taken, by customer; the last figure: all
}

// trial knows where the newest build stands, bounds exposure to it, and forms verdicts on it.
type canary struct {
	p               *Policy
	hasStatus       bool
	status          relay.RolloutStatus
	stageSince      relay.Seconds // when the present state began
	offeredAt       relay.Seconds // when the newest build was first heard of; 0: before this relay began
	releaseInterval relay.Seconds // from the build before to that
	listedAt        relay.Seconds // when the units of the present stage were first listed; 0: not yet
	watchRestarted  bool          // the watch was opened anew as they were not
	budgets         []*exposureBudget
	scope           relay.CanaryScope
	hasScope        bool                      // a scope was told
	stickyKeys      map[relay.Key]relay.Build // answered by the newest build, or by one not announced yet
	verdicts        []verdict                 // by category
	lastEarlier     [2][]outcomeCounts        // what the earlier machines last showed, by category; own, and pooled
	baseline        outcomeCounts             // of all units when the build was first heard of
	newestAttempts  slidingWindow             // own legs at the newest build that count as evidence, by category
	unreported      []observation             // legs that the aggregators have not been told of
	earlierRatio    runningMean               // logarithm of pace over the usual one at the earlier machines just now
	earlierRatioAt  relay.Seconds             // last leg there
	capacityShare   float64                   // part of the legs that the build on trial may get
	nextJudgeAt     relay.Seconds
	reportedAt      relay.Seconds
}

// aggregator weighs all relays' verdicts, tells its decision, and votes.
type aggregator struct {
	p           *Policy
	peers       []peerState // by relay number
	nextLookAt  relay.Seconds
	active      bool
	wanted      relay.Vote    // what should stand, by own or others' decision
	wantedSince relay.Seconds // since when
	announced   relay.Vote    // own decision, last told to all
	announcedAt relay.Seconds
	reason      string     // what speaks for going back
	cast        relay.Vote // the vote that stands, or is under way
	castAt      relay.Seconds
	nextVoteAt  relay.Seconds // not to vote before
	confirmed   bool          // it was counted
	cleanAt     relay.Seconds // when the pooled counts were last not flagged
	slowAt      relay.Seconds // when the fleet was last as quick as before the trial
	pending     bool
}

// list takes the unit's entry in the roster. A fresh start, or another build under an old id, is a new process:
// nothing known of the old holds.
func (u *trackedEndpoint) update(e relay.Endpoint) {
	if !u.listed || e.Build != u.Build || e.StartKnown && e.StartedAt != u.StartedAt {
		u.listed, u.failure, u.ratio, u.failedFraction, u.faultyAt = true, 0, 0, 0, 0
		u.slowStartBudget, u.slowStartBudgetAt, u.firstAttemptDraw = u.p.random.Float64(), u.p.now, u.p.random.Float64()
		u.evidence[ownEvidence].reset()
		u.evidence[peerEvidence].reset()
	}
	if e.State == relay.Removed && u.State != relay.Removed {
		u.removedAt = u.p.now
	}
	u.Endpoint = e
	u.startTime = math.Inf(-1)
	if e.StartKnown {
		u.startTime = e.StartedAt
	}
}

// as is what is known of the unit, in another state.
func (u *trackedEndpoint) withState(state relay.EndpointState) relay.Endpoint {
	e := u.Endpoint
	e.State = state
	return e
}

// merge applies a list of the roster: units listed are told their line, and those that a whole list leaves
// out that they are gone.
func (r *endpointList) apply(n relay.ListUpdate) {
	listed := map[relay.EndpointID]bool{}
	for _, e := range n.Endpoints {
		listed[e.ID] = true
		u := r.byID[e.ID]
		if u == nil {
			u = &trackedEndpoint{p: r.p, id: e.ID}
			for i := range u.evidence {
				u.evidence[i] = newSlidingWindow(evidenceBucketTime, evidenceBuckets, len(r.p.classes)*figures)
			}
			r.byID[e.ID] = u
			if m := hashOf(e.ID); r.byHash[m] == nil {
				r.byHash[m] = u
			}
			at := sort.Search(len(r.all), func(i int) bool { return r.all[i].id > e.ID })
			r.all = append(r.all, nil)
			copy(r.all[at+1:], r.all[at:])
			r.all[at] = u
		}
		if e.Partial && u.listed {
			e = u.withState(e.State)
		}
		r.p.send(u, e)
	}
	for _, u := range r.all {
		if n.Kind != relay.ListDelta && !listed[u.id] && u.State != relay.Removed {
			r.p.send(u, u.withState(relay.Removed))
		}
	}
	r.forgetRemoved()
}

// forget drops units that have been gone for long and hold nothing: with releases every day, machines come and go
// for as long as a relay lives.
func (r *endpointList) forgetRemoved() {
	kept, vacant := r.all[:0], []endpointHash(nil)
	for _, u := range r.all {
		if u.listed && u.State == relay.Removed && u.openAttempts == 0 && r.p.now-u.removedAt > forgetRemovedAfter {
			delete(r.byID, u.id)
			if m := hashOf(u.id); r.byHash[m] == u {
				delete(r.byHash, m)
				vacant = append(vacant, m)
			}
			continue
		}
		kept = append(kept, u)
	}
	clear(r.all[len(kept):])
	r.all = kept
	for _, m := range vacant { // another unit may have the same hash, and has been behind this one so far
		if i := slices.IndexFunc(kept, func(u *trackedEndpoint) bool { return hashOf(u.id) == m }); i >= 0 {
			r.byHash[m] = kept[i]
		}
	}
}

// limit returns the exposure kept for a build, started when the build is first met.
func (t *canary) budgetOf(b relay.Build) *exposureBudget {
	for _, x := range t.budgets {
		if x.build == b {
			return x
		}
	}
	ro, n := &t.p.settings.Rollout, 1
	if ro.PerClass {
		n = len(t.p.classes)
	}
	x := &exposureBudget{build: b, allowed: make([]float64, n), target: make([]float64, n)}
	if len(ro.ExposureLimits) > 0 {
		x.limit = ro.ExposureLimits[0]
	}
	for i := range x.allowed {
		x.allowed[i], x.target[i] = ro.ExposureAllowance, t.p.random.Float64()
	}
	x.allowedByGroup = make([]float64, len(t.scope.GroupOpen))
	t.budgets = append(t.budgets, x)
	return x
}

// narrow takes a scope. Budgets by group start empty where the groups are others than before.
func (t *canary) setScope(s relay.CanaryScope) {
	t.scope, t.hasScope = s, true
	for _, x := range t.budgets {
		if len(x.allowedByGroup) != len(s.GroupOpen) {
			x.allowedByGroup = make([]float64, len(s.GroupOpen))
		}
	}
}

// budgets gives the budgets that a query's part counts in, none where a scope keeps it from builds on trial, and
// its group's number; -1: no scope holds.
func (t *canary) budgetsFor(q *trackedRequest) (limits []*exposureBudget, g int) {
	g, open := t.groupOf(q.Tenant)
	if !open {
		return nil, g
	}
	return t.budgets, g
}

// group is the group that a customer's queries count in, and whether it may meet builds on trial.
func (t *canary) groupOf(c relay.Tenant) (g int, open bool) {
	if !t.hasScope {
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
