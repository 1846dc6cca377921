package compat_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Times are nanoseconds of the simulated clock.
const (
	millisecond = uint64(1_000_000)
	second      = 1000 * millisecond

	clockStart    = 8_412_345_678_901 // any value will do
	batchEvery    = 10 * millisecond
	sessionLength = 24 * second
)

const (
	firstEndpoints = 14
	oldBuild       = 41
	newBuild       = 42
)

// States of an endpoint, as on the wire.
const (
	stateGone = iota
	stateDraining
	stateReady
)

// listedEndpoint is one endpoint of the deployment, as discovery lists it.
type listedEndpoint struct {
	address   address
	zone      uint16
	kind      uint16
	cell      uint16
	build     uint16
	weight    float32
	state     byte // as on the wire: stateGone and so on
	startedAt uint64
}

// hostedInstance is one instance behind the pipe.
type hostedInstance struct {
	number      uint16 // my_number
	incarnation int    // counts its starts: what was scheduled in an earlier one is void
	running     bool
}

// onPipe is the instance's number on the pipe, which is not its my_number.
func (h *hostedInstance) onPipe() uint16 { return h.number + 3 }

// isIn reports whether the instance runs, in an incarnation.
func (h *hostedInstance) isIn(incarnation int) bool { return h.running && h.incarnation == incarnation }

// scheduledEvent happens at a time; of several at one time, the one scheduled first.
type scheduledEvent struct {
	at    uint64
	order int
	do    func()
}

// eventQueue is a heap of scheduled events, the next one first.
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

// deployment emulates all that is around the instances, from a seed: clients, endpoints, discovery, the rollout platform and
// the other relays. What it does depends on the seed and on the actions of the instances alone.
type deployment struct {
	t         *testing.T
	scenario  scenario
	random    *rand.Rand
	now       uint64
	scheduled int
	queue     eventQueue
	batch     []byte
	events    map[byte]int // by code
	instances []*hostedInstance
	endpoints []*listedEndpoint
	requests  map[uint32]*clientRequest
	nextID    uint32
	nextList  uint32
	revision  uint32
	listCalls int // to discovery

	stage         byte
	phase         byte
	build         uint16
	since         uint64
	rollbackVotes map[uint16]bool // by the instance's my_number
	promoteVotes  map[uint16]bool
	votes         int

	sentForms     map[byte]int // datagrams between relays that instances sent, by form
	receivedForms map[byte]int // and those that instances received
}

func newDeployment(t *testing.T, s scenario) *deployment {
	d := &deployment{t: t, scenario: s, random: rand.New(rand.NewPCG(s.seed, 77)), now: clockStart, events: map[byte]int{},
		requests: map[uint32]*clientRequest{}, nextID: 0x5d3a91c4, build: oldBuild, phase: phaseReleased, stage: lastStage, since: clockStart,
		rollbackVotes: map[uint16]bool{}, promoteVotes: map[uint16]bool{}, sentForms: map[byte]int{}, receivedForms: map[byte]int{}}
	for i := range firstEndpoints {
		d.endpoints = append(d.endpoints, d.newEndpoint(i, oldBuild))
	}
	for _, number := range s.hosted {
		d.instances = append(d.instances, &hostedInstance{number: number})
	}
	d.schedule()
	return d
}

func (d *deployment) newEndpoint(i int, build uint16) *listedEndpoint {
	endpoint := &listedEndpoint{zone: uint16(i % 2), kind: uint16(i / 2 % 2), cell: uint16(i % 3), build: build, weight: 1 + float32(i%3)/2, state: stateReady}
	for k := range endpoint.address {
		endpoint.address[k] = byte(d.random.Uint32())
	}
	return endpoint
}

// after schedules something.
func (d *deployment) after(wait uint64, do func()) {
	d.scheduled++
	heap.Push(&d.queue, scheduledEvent{d.now + wait, d.scheduled, do})
}

// addEvent adds an event to the batch.
func (d *deployment) addEvent(r record) {
	d.events[r[0]]++
	d.batch = append(d.batch, r...)
}

// schedule schedules what happens whatever the instances do.
func (d *deployment) schedule() {
	for i, instance := range d.instances {
		d.after(uint64(3+i)*batchEvery, func() { d.startInstance(instance) })
		d.after(uint64(10+i)*batchEvery, func() { d.addRequests(instance) })
	}
	d.after(3*second, func() { d.offer() })
	d.after(1*second, func() { d.addUnusualEvents() })
	if d.scenario.restarts {
		last := d.instances[len(d.instances)-1]
		d.after(12*second, func() { d.stopInstance(last); d.addStrayEvent(last) })
		d.after(13*second, func() { d.startInstance(last) })
		d.after(15*second, func() { d.stopInstance(last); d.startInstance(last) }) // both in one batch
	}
	for peer := range d.scenario.replicas {
		if !slices.Contains(d.scenario.hosted, uint16(peer)) && d.scenario.peerMessages {
			d.after(second+uint64(peer)*137*millisecond, func() { d.sendAsPeer(uint32(peer), 0) })
		}
	}
}

// run plays the session to its end, and returns a line for each batch and each action.
func (d *deployment) run(p *pipe) (lines []string) {
	for batch := 0; d.now < clockStart+sessionLength; batch++ {
		for len(d.queue) > 0 && d.queue[0].at <= d.now {
			heap.Pop(&d.queue).(scheduledEvent).do()
		}
		actions := p.exchange(frame(d.now, d.batch))
		digest := sha256.Sum256(d.batch) // where it differs, the session differs and not the binary
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

func (d *deployment) startInstance(instance *hostedInstance) {
	instance.running = true
	instance.incarnation++
	settings := d.scenario.settings(instance.number)
	d.addEvent(append(eventFor(eventBorn, instance.onPipe()).u64(d.random.Uint64()).u32(uint32(len(settings))), settings...))
	d.addList(instance, listCached, d.endpoints)
	d.addRolloutStatus(instance, 0, 0)
}

func (d *deployment) stopInstance(instance *hostedInstance) {
	instance.running = false
	d.addEvent(eventFor(eventShutdown, instance.onPipe()))
	for _, request := range d.requests {
		if request.instance == instance.onPipe() {
			request.ended = true
		}
	}
}

// addStrayEvent adds an event for an instance that has stopped.
func (d *deployment) addStrayEvent(instance *hostedInstance) {
	d.addEvent(eventFor(eventElapsed, instance.onPipe()).u64(1))
}

// carryOut carries out an action of an instance.
func (d *deployment) carryOut(a action) {
	at := slices.IndexFunc(d.instances, func(instance *hostedInstance) bool { return instance.onPipe() == a.instance })
	if at < 0 || !d.instances[at].running {
		d.t.Fatalf("an action of instance %d, which does not run:%s", a.instance, a.line())
	}
	instance := d.instances[at]
	switch a.code {
	case actionCrash:
		d.t.Fatalf("instance %d broke: %s", a.instance, a.rest[2:])
	case actionRelay:
		d.playAttempt(instance, a)
	case actionCancel:
		request, incarnation := d.requests[a.u32()], instance.incarnation
		d.after(batchEvery, func() { d.addFinished(instance, incarnation, request, int(a.rest[4]), outcomeCanceled) })
	case actionDecline, actionGiveUp:
		d.requests[a.u32()].ended = true
	case actionSleep:
		token, when, incarnation := a.u64(0), a.u64(8), instance.incarnation
		d.after(when-min(when, d.now), func() {
			if instance.isIn(incarnation) {
				d.addEvent(eventFor(eventElapsed, instance.onPipe()).u64(token))
			}
		})
	case actionSendDatagram:
		d.carryDatagram(instance, a.u32(), append([]byte(nil), a.rest[6:]...))
	case actionInformed:
		d.answerSubscription(instance)
	case actionOpinion:
		d.countVote(instance, a.u16(0), a.rest[2], a.rest[3])
	}
}
