package compat_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	millisecond = uint64(1_000_000)
	second      = 1000 * millisecond

	clockStart        = 8_412_345_678_901 // any value will do
	batchEvery        = 10 * millisecond
	sessionLength     = 24 * second
	lastIngress       = 22 * second
	requestsPerSecond = 14 // by instance

	oldBuild = 41
	newBuild = 42
	twoTo32  = 1 << 32
)

// machine is one unit of the deployment.
type endpoint struct {
	address   address
	zone      uint16
	kind      uint16
	cell      uint16
	build     uint16
	weight    float32
	state     byte // as on the wire: 2 ready, 1 draining, 0 gone
	startedAt uint64
}

// attempt is one send of a request.
type attempt struct {
	endpoint address
	at       uint64
	over     bool
}

// request is one client's, at one instance.
type request struct {
	instance uint16
	id       uint32
	class    int
	until    uint64
	over     bool
	attempts []attempt
}

// hosted is one instance behind the pipe.
type instance struct {
	number      uint16 // my_number
	incarnation int    // counts its starts: what was due for an earlier life is void
	alive       bool
}

func (h *instance) onPipe() uint16 { return h.number + 3 }

// due is something that happens at a time, in the order in which it was planned.
type scheduledEvent struct {
	at    uint64
	order int
	do    func()
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// deployment plays all that is around the instances, from a seed: clients, units, discovery, the platform and the other
// relays. What it does depends on the seed and on the actions of the instances alone.
type deployment struct {
	t         *testing.T
	site      site
	random    *rand.Rand
	now       uint64
	scheduled int
	queue     eventQueue
	batch     []byte
	counted   map[byte]int // events by code
	instances []*instance
	endpoints []*endpoint
	requests  map[uint32]*request
	nextID    uint32
	nextList  uint32
	revision  uint32
	listCalls int // of discovery

	stage         byte
	phase         byte
	build         uint16
	since         uint64
	rollbackVotes map[uint16]bool
	promoteVotes  map[uint16]bool
	votes         int

	sentForms     map[byte]int // datagrams between relays by form: sent by instances
	receivedForms map[byte]int // and handed to instances
}

func newDeployment(t *testing.T, s site) *deployment {
	d := &deployment{t: t, site: s, random: rand.New(rand.NewPCG(s.seed, 77)), now: clockStart, counted: map[byte]int{},
		requests: map[uint32]*request{}, nextID: 0x5d3a91c4, build: oldBuild, phase: 2, stage: 2, since: clockStart,
		rollbackVotes: map[uint16]bool{}, promoteVotes: map[uint16]bool{}, sentForms: map[byte]int{}, receivedForms: map[byte]int{}}
	for i := range 14 {
		d.endpoints = append(d.endpoints, d.newEndpoint(i, oldBuild))
	}
	for _, number := range s.hosted {
		d.instances = append(d.instances, &instance{number: number})
	}
	d.schedule()
	return d
}

func (d *deployment) newEndpoint(i int, build uint16) *endpoint {
	m := &endpoint{zone: uint16(i % 2), kind: uint16(i / 2 % 2), cell: uint16(i % 3), build: build, weight: 1 + float32(i%3)/2, state: 2}
	for k := range m.address {
		m.address[k] = byte(d.random.Uint32())
	}
	return m
}

// after plans something.
func (d *deployment) after(wait uint64, do func()) {
	d.scheduled++
	heap.Push(&d.queue, scheduledEvent{d.now + wait, d.scheduled, do})
}

// tell adds an event to the batch.
func (d *deployment) addEvent(r record) {
	d.counted[r[0]]++
	d.batch = append(d.batch, r...)
}

// schedule plans what happens whatever the instances do.
func (d *deployment) schedule() {
	for i, h := range d.instances {
		d.after(uint64(3+i)*batchEvery, func() { d.startInstance(h) })
		d.after(uint64(10+i)*batchEvery, func() { d.addRequests(h) })
	}
	d.after(3*second, func() { d.offer() })
	d.after(1*second, func() { d.addUnusualEvents() })
	if d.site.restarts {
		last := d.instances[len(d.instances)-1]
		d.after(12*second, func() { d.stopInstance(last); d.addStrayEvent(last) })
		d.after(13*second, func() { d.startInstance(last) })
		d.after(15*second, func() { d.stopInstance(last); d.startInstance(last) }) // both in one batch
	}
	for peer := range d.site.replicas {
		if !slices.Contains(d.site.hosted, uint16(peer)) && d.site.peerMessages {
			d.after(second+uint64(peer)*137*millisecond, func() { d.sendAsPeer(uint32(peer), 0) })
		}
	}
}

// run takes the session to its end, and gives a line for each batch and each action.
func (d *deployment) run(p *pipe) (lines []string) {
	for batch := 0; d.now < clockStart+sessionLength; batch++ {
		for len(d.queue) > 0 && d.queue[0].at <= d.now {
			heap.Pop(&d.queue).(scheduledEvent).do()
		}
		actions := p.exchange(frame(d.now, d.batch))
		digest := sha256.Sum256(d.batch) // a difference here is one of the session before the binary
		if len(d.batch) > 0 || len(actions) > 0 {
			lines = append(lines, fmt.Sprintf("batch %d: %d bytes %x, %d actions", batch, len(d.batch), digest[:4], len(actions)))
		}
		d.batch = d.batch[:0]
		for _, a := range actions {
			lines = append(lines, a.line())
			d.carryOut(a)
		}
		d.now += batchEvery
	}
	return lines
}

func (d *deployment) startInstance(h *instance) {
	h.alive = true
	h.incarnation++
	settings := d.site.settings(h.number)
	d.addEvent(append(eventFor(eventBorn, h.onPipe()).u64(d.random.Uint64()).u32(uint32(len(settings))), settings...))
	d.addList(h, 2, d.endpoints)
	d.addRolloutStatus(h, 0, 0)
}

func (d *deployment) stopInstance(h *instance) {
	h.alive = false
	d.addEvent(eventFor(eventShutdown, h.onPipe()))
	for _, q := range d.requests {
		if q.instance == h.onPipe() {
			q.over = true
		}
	}
}

// stray is an event for an instance that has stopped.
func (d *deployment) addStrayEvent(h *instance) {
	d.addEvent(eventFor(eventElapsed, h.onPipe()).u64(1))
}

// announce tells an instance a list of units, of a form: 1 failed, 2 cached, 3 delta, 4 full.
func (d *deployment) addList(h *instance, form byte, endpoints []*endpoint) {
	number := d.nextList % 16
	if form != 1 {
		d.nextList++
		list := event(eventInventory).u32(number).u32(uint32(len(endpoints)))
		for _, m := range endpoints {
			list = list.u16(m.zone).u16(m.kind).u16(m.cell).f32(float32(m.build)).f32(m.weight).u8(m.state).u64(m.startedAt).address(m.address)
		}
		d.addEvent(list)
	}
	d.revision++
	d.addEvent(eventFor(eventAnnounce, h.onPipe()).u32(d.revision).u32(number).u8(form))
}

// addListToAll tells every instance of changes.
func (d *deployment) addListToAll(changed []*endpoint) {
	for i, h := range d.instances {
		d.after(uint64(i)*13*millisecond, func() {
			if h.alive {
				d.addList(h, 3, changed)
			}
		})
	}
}

// find gives the unit of an address.
func (d *deployment) find(a address) *endpoint {
	for _, m := range d.endpoints {
		if m.address == a {
			return m
		}
	}
	d.t.Fatalf("no unit %x was listed", a)
	return nil
}

// news tells an instance where the newest build stands.
func (d *deployment) addRolloutStatus(h *instance, code, verdict byte) {
	caps := []float32{0.15, 0.5, 1}
	limit := caps[min(int(d.stage), len(caps)-1)]
	if d.phase == 1 || d.phase == 3 {
		limit = 0
	}
	d.addEvent(eventFor(eventRolloutStatus, h.onPipe()).f32(limit).u8(d.phase).u8(code).u16(d.build).u8(d.stage).u64(d.now - d.since).u8(verdict))
}

func (d *deployment) addRolloutStatusToAll() {
	for i, h := range d.instances {
		d.after(20*millisecond+uint64(i)*17*millisecond, func() {
			if h.alive {
				d.addRolloutStatus(h, 0, 0)
			}
		})
	}
}

func (d *deployment) setRollout(stage, phase byte) {
	d.stage, d.phase, d.since = stage, phase, d.now
	clear(d.rollbackVotes)
	clear(d.promoteVotes)
	d.addRolloutStatusToAll()
	if phase == 0 {
		d.deployNewBuild()
	}
}

// offer puts a new build on trial.
func (d *deployment) offer() {
	d.build = newBuild
	d.setRollout(0, 0)
	if d.site.control == "automatic" {
		d.after(4*second, func() { d.advance(0) })
	}
}

// wave gives some machines the new build: beside the old ones, or in their place under the same address.
func (d *deployment) deployNewBuild() {
	var changed []*endpoint
	for i := range 3 {
		if d.site.swap == "replace" {
			m := d.endpoints[(3*int(d.stage)+i)%len(d.endpoints)]
			m.state = 1
			changed = append(changed, m)
			d.after(700*millisecond, func() {
				m.state, m.build, m.startedAt = 2, newBuild, d.now
				d.addListToAll([]*endpoint{m})
			})
			continue
		}
		m := d.newEndpoint(len(d.endpoints), newBuild)
		m.startedAt = d.now
		d.endpoints = append(d.endpoints, m)
		changed = append(changed, m)
	}
	d.addListToAll(changed)
}

// advance takes the trial on from a stage.
func (d *deployment) advance(from byte) {
	if d.phase != 0 || d.stage != from {
		return
	}
	if from == 2 {
		d.setRollout(2, 2)
		d.after(500*millisecond, func() { d.retire(oldBuild) })
		return
	}
	d.setRollout(from+1, 0)
	if d.site.control == "automatic" {
		d.after(4*second, func() { d.advance(from + 1) })
	}
}

// retire drains some of a build's machines, and lets them go a little later.
func (d *deployment) retire(build uint16) {
	var leaving []*endpoint
	for _, m := range d.endpoints {
		if m.build == build && m.state == 2 && len(leaving) < 5 {
			m.state = 1
			leaving = append(leaving, m)
		}
	}
	d.addListToAll(leaving)
	d.after(second, func() {
		for _, m := range leaving {
			m.state = 0
		}
		d.addListToAll(leaving)
	})
}

// oddities are the events that decide little or nothing, and lists of every form.
func (d *deployment) addUnusualEvents() {
	h := d.instances[d.random.IntN(len(d.instances))]
	if h.alive {
		m := d.endpoints[d.random.IntN(len(d.endpoints))]
		d.addEvent(eventFor(eventHealth, h.onPipe()).address(m.address).u64(3 * millisecond).u8([]byte{0, 5, 110, 111}[d.random.IntN(4)]).report([]float32{14.5, 7}))
		d.addEvent(eventFor(eventDigest, h.onPipe()).u16(d.build).u16(classRetryable).u32(180).u32(4).u64(21 * millisecond).u64(second))
		d.addEvent(eventFor(eventReturned, h.onPipe()).u16(classFragile).address(m.address).u64(second))
		d.addEvent(eventFor(eventElapsed, h.onPipe()).u64(d.random.Uint64())) // a timer that was never asked for
		d.addEvent(eventFor(eventDropped, h.onPipe()).u32(1))                 // a request that never came
		d.addEvent(eventFor(eventFinished, h.onPipe()).u32(2).u8(0).address(m.address).u8(0).u64(1).u8(1).u8(0))
		switch d.random.IntN(6) {
		case 0:
			d.addList(h, 4, d.endpoints) // with those that are gone
		case 1:
			d.addList(h, 3, nil)
		case 2:
			d.addList(h, 4, slices.DeleteFunc(slices.Clone(d.endpoints), func(m *endpoint) bool { return m.state != 2 }))
		}
	}
	d.after(777*millisecond, func() { d.addUnusualEvents() })
}

// sendAsPeer has a relay that is not hosted send what such a relay sends.
func (d *deployment) sendAsPeer(peer uint32, turn int) {
	hash := [3]byte{byte(turn), byte(peer), 7}
	send := [][]byte{reportDatagram(uint64(d.build), uint64(d.stage), d.site.badBuild && d.phase == 0 && turn > 4, 30, [][3]byte{hash})}
	if peer < 4 {
		send = append(send, decisionDatagram(uint64(d.build), uint64(d.stage), byte(turn/5%4)))
	}
	if rough := malformedDatagrams(uint64(d.build), uint64(d.stage)); d.site.malformedDatagrams {
		send = append(send, rough[turn%len(rough)])
	}
	for _, h := range d.instances {
		for _, body := range send {
			d.datagram(h, peer, body)
		}
	}
	if d.site.malformedDatagrams && turn%9 == 0 { // a sender that does not exist
		d.datagram(d.instances[0], 1000+peer, send[0])
	}
	d.after(900*millisecond, func() { d.sendAsPeer(peer, turn+1) })
}

func (d *deployment) datagram(h *instance, from uint32, body []byte) {
	if !h.alive {
		return
	}
	if len(body) >= 2 && body[0] == datagramMark {
		d.receivedForms[body[1]]++
	}
	d.addEvent(append(eventFor(eventDatagram, h.onPipe()).u32(from).u16(uint16(len(body))), body...))
}

// arrivals brings clients' requests to an instance.
func (d *deployment) addRequests(h *instance) {
	if d.now > clockStart+lastIngress {
		return
	}
	if h.alive {
		d.addRequest(h)
	}
	rate := uint64(requestsPerSecond)
	if d.site.overload && d.now > clockStart+8*second && d.now < clockStart+14*second {
		rate *= 4
	}
	d.after(d.random.Uint64N(2*second/rate), func() { d.addRequests(h) })
}

func (d *deployment) addRequest(h *instance) {
	class := d.random.IntN(classCount)
	q := &request{instance: h.onPipe(), id: d.nextID, class: class, until: d.now + deadlines[class]}
	d.nextID += 1 + d.random.Uint32N(5)
	if d.random.IntN(4) == 0 {
		q.until = d.now + d.random.Uint64N(deadlines[class]) // a client that has waited already
	}
	bits := []byte{0, 1, 1, 3, 5, 4}[d.random.IntN(6)]
	wireClass := uint16(class)
	if d.random.IntN(200) == 0 {
		wireClass = 99 // no such class
	}
	d.requests[q.id] = q
	d.addEvent(eventFor(eventIngress, h.onPipe()).u32(q.id).u64(q.until).u64(d.random.Uint64N(40 * millisecond)).u8(bits).
		u64(d.random.Uint64N(40)).u32(d.random.Uint32N(4)).u16(wireClass))
	incarnation := h.incarnation
	wait := q.until - d.now
	d.after(wait, func() { d.deadline(h, incarnation, q) })
	if d.random.IntN(25) == 0 {
		d.after(wait/2, func() { d.drop(h, incarnation, q) })
	}
}

// deadline ends the attempts of a request that are still out; a held request that nobody answers is dropped.
func (d *deployment) deadline(h *instance, incarnation int, q *request) {
	if h.incarnation != incarnation || !h.alive {
		return
	}
	for n := range q.attempts {
		d.finish(h, incarnation, q, n, 110)
	}
	d.after(20*millisecond, func() { d.drop(h, incarnation, q) })
}

// drop tells that the client has gone.
func (d *deployment) drop(h *instance, incarnation int, q *request) {
	if h.incarnation != incarnation || !h.alive || q.over {
		return
	}
	q.over = true
	d.addEvent(eventFor(eventDropped, h.onPipe()).u32(q.id))
}

// finish tells how an attempt ended, unless that was told.
func (d *deployment) finish(h *instance, incarnation int, q *request, n int, outcome byte) {
	a := &q.attempts[n]
	if h.incarnation != incarnation || !h.alive || a.over {
		return
	}
	a.over = true
	if outcome == 0 {
		q.over = true
	}
	ended := byte(0)
	if q.over {
		ended = 1
	}
	var report []float32
	if d.site.reports == "inline" && outcome == 0 {
		report = []float32{float32(d.random.IntN(90)), float32(d.random.IntN(9))}
	}
	d.addEvent(eventFor(eventFinished, h.onPipe()).u32(q.id).u8(byte(n)).address(a.endpoint).u8(outcome).u64(d.now - a.at).u8(ended).report(report))
}

// act carries out an action of an instance.
func (d *deployment) carryOut(a action) {
	at := slices.IndexFunc(d.instances, func(h *instance) bool { return h.onPipe() == a.instance })
	if at < 0 || !d.instances[at].alive {
		d.t.Fatalf("an action of instance %d, which does not run:%s", a.instance, a.line())
	}
	h := d.instances[at]
	switch a.code {
	case actionCrash:
		d.t.Fatalf("instance %d broke: %s", a.instance, a.rest[2:])
	case actionRelay:
		d.playAttempt(h, a)
	case actionCancel:
		q, incarnation := d.requests[a.u32(0)], h.incarnation
		d.after(batchEvery, func() { d.finish(h, incarnation, q, int(a.rest[4]), 125) })
	case actionDecline, actionGiveUp:
		d.requests[a.u32(0)].over = true
	case actionSleep:
		token, when, incarnation := a.u64(0), a.u64(8), h.incarnation
		d.after(when-min(when, d.now), func() {
			if h.alive && h.incarnation == incarnation {
				d.addEvent(eventFor(eventElapsed, h.onPipe()).u64(token))
			}
		})
	case actionSendDatagram:
		d.carryDatagram(h, a.u32(0), append([]byte(nil), a.rest[6:]...))
	case actionInformed:
		d.answerSubscription(h)
	case actionOpinion:
		d.countVote(h, a.u16(0), a.rest[2], a.rest[3])
	}
}

// relay plays an attempt at a unit.
func (d *deployment) playAttempt(h *instance, a action) {
	q := d.requests[a.u32(0)]
	if q == nil || q.instance != h.onPipe() {
		d.t.Fatalf("a send of a request that instance %d does not have:%s", a.instance, a.line())
	}
	m := d.find(address(a.rest[4:10]))
	wait, n, incarnation := a.u64(10), len(q.attempts), h.incarnation
	q.attempts = append(q.attempts, attempt{endpoint: m.address, at: d.now})
	if q.over || d.now >= q.until || n >= 3 {
		d.after(0, func() { d.finish(h, incarnation, q, n, 114) })
		return
	}
	if wait > 0 {
		d.after(wait, func() { d.finish(h, incarnation, q, n, 110) })
	}
	took := 8*millisecond + d.random.Uint64N(60*millisecond)
	if d.site.overload && d.now > clockStart+8*second && d.now < clockStart+14*second {
		took += d.random.Uint64N(1500 * millisecond)
	}
	outcome := byte(0)
	failing := d.site.failures
	if d.site.badBuild && m.build == newBuild {
		failing = 0.5
	}
	if d.random.Float64() < failing || m.state == 0 {
		outcome = []byte{5, 11, 111, 104, 5, 110, 5}[d.random.IntN(7)]
	}
	if d.site.overload && d.random.IntN(30) == 0 {
		outcome = 11
	}
	if q.class == classStreamed && outcome != 11 && outcome != 111 {
		d.after(took/2, func() {
			if h.alive && h.incarnation == incarnation && !q.attempts[n].over && !q.over {
				d.addEvent(eventFor(eventStreaming, h.onPipe()).u32(q.id).u8(byte(n)).address(m.address).u64(d.now - q.attempts[n].at))
			}
		})
	}
	if outcome != 110 { // that one comes at the time-out
		d.after(took, func() { d.finish(h, incarnation, q, n, outcome) })
	}
}

// memo carries a datagram between relays: late, or not at all.
func (d *deployment) carryDatagram(h *instance, to uint32, body []byte) {
	if len(body) < 2 || len(body) > maxDatagramBytes || body[0] != datagramMark {
		d.t.Fatalf("instance %d sent a datagram that begins with neither mark nor form, or is too long: %x", h.onPipe(), body)
	}
	d.sentForms[body[1]]++
	for _, other := range d.instances {
		if other == h || to != twoTo32-1 && to != uint32(other.number) || d.random.IntN(20) == 0 {
			continue
		}
		d.after(millisecond+d.random.Uint64N(20*millisecond), func() { d.datagram(other, uint32(h.number), body) })
	}
}

// informed answers a subscription: the first calls fail, later ones bring the changes or the whole list.
func (d *deployment) answerSubscription(h *instance) {
	d.listCalls++
	form := []byte{1, 4, 3}[d.listCalls%3]
	incarnation := h.incarnation
	d.after(40*millisecond, func() {
		if h.alive && h.incarnation == incarnation {
			d.addList(h, form, d.endpoints)
		}
	})
}

// opinion counts a vote and answers it. Every fifth is not counted, for each of the reasons in turn.
func (d *deployment) countVote(h *instance, build uint16, stage, code byte) {
	d.votes++
	verdict, incarnation := byte(0), h.incarnation
	if d.votes%5 == 0 {
		verdict = []byte{114, 11, 5, 110}[d.votes/5%4]
	}
	if build != d.build || code != 3 && (stage != d.stage || d.phase != 0) {
		verdict = 114
	}
	if verdict == 0 {
		delete(d.promoteVotes, h.number)
		delete(d.rollbackVotes, h.number)
		switch code {
		case 1:
			d.promoteVotes[h.number] = true
		case 3:
			d.rollbackVotes[h.number] = true
		}
	}
	d.after(30*millisecond, func() {
		if h.alive && h.incarnation == incarnation {
			d.addRolloutStatus(h, 1, verdict)
		}
	})
	switch {
	case len(d.rollbackVotes) >= min(2, len(d.instances)) && d.phase != 1 && d.phase != 3:
		d.setRollout(d.stage, 1)
		d.after(1500*millisecond, func() { d.setRollout(d.stage, 3) })
	case len(d.promoteVotes) >= min(2, len(d.instances)) && d.site.control != "automatic":
		from := d.stage
		d.after(300*millisecond, func() { d.advance(from) })
	}
}
