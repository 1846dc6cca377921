package compat_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Times are in nanoseconds of the simulated clock.
const (
	millisecond = uint64(1_000_000)
	second      = 1000 * millisecond

	clockStart      = 8_412_345_678_901 // arbitrary
	batchInterval   = 10 * millisecond
	sessionDuration = 24 * second
)

const (
	initialEndpoints = 14
	oldBuild         = 41
	newBuild         = 42
)

// States of an endpoint, as on the wire.
const (
	stateGone = iota
	stateDraining
	stateReady
)

// listedEndpoint is an endpoint of the deployment, as discovery lists it.
type listedEndpoint struct {
	address       address
	zone          uint16
	machineType   uint16
	failureDomain uint16
	build         uint16
	weight        float32
	state         byte // one of stateGone to stateReady
	startedAt     uint64
}

// hostedInstance is an instance that the process behind the pipe hosts.
type hostedInstance struct {
	number      uint16 // my_number
	incarnation int    // number of starts; events that were scheduled before the last one are dropped
	running     bool
}

// pipeNumber returns the instance's number on the pipe. It differs from my_number.
func (h *hostedInstance) pipeNumber() uint16 { return h.number + 3 }

// isRunning reports whether the instance is running and has not been restarted since the given incarnation.
func (h *hostedInstance) isRunning(incarnation int) bool {
	return h.running && h.incarnation == incarnation
}

// scheduledEvent calls do at a time. Events of the same time happen in the order in which they were scheduled.
type scheduledEvent struct {
	at    uint64
	order int
	do    func()
}

// eventQueue is a heap of scheduled events, with the next one first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// deployment emulates the environment of the instances: clients, endpoints, discovery, the rollout platform and the other
// relays. Its behaviour depends only on the scenario, with its seed, and on the commands of the instances.
type deployment struct {
	t              *testing.T
	scenario       scenario
	random         *rand.Rand
	now            uint64
	scheduledCount int
	queue          eventQueue
	batch          []byte
	events         map[byte]int // by code
	instances      []*hostedInstance
	endpoints      []*listedEndpoint
	requests       map[uint32]*clientRequest
	nextID         uint32
	nextListNumber uint32
	listVersion    uint32
	discoveryCalls int

	stage         byte
	phase         byte
	build         uint16
	stageSince    uint64
	rollbackVotes map[uint16]bool // by the instance's my_number
	promoteVotes  map[uint16]bool
	votes         int

	sentTypes     map[byte]int // number of datagrams that instances sent to other relays, by type
	receivedTypes map[byte]int // number of datagrams from relays that instances received, by type
}

func newDeployment(t *testing.T, s scenario) *deployment {
	d := &deployment{t: t, scenario: s, random: rand.New(rand.NewPCG(s.seed, 77)), now: clockStart, events: map[byte]int{},
		requests: map[uint32]*clientRequest{}, nextID: 0x5d3a91c4, build: oldBuild, phase: phaseReleased, stage: lastStage, stageSince: clockStart,
		rollbackVotes: map[uint16]bool{}, promoteVotes: map[uint16]bool{}, sentTypes: map[byte]int{}, receivedTypes: map[byte]int{}}
	for i := range initialEndpoints {
		d.endpoints = append(d.endpoints, d.newEndpoint(i, oldBuild))
	}
	for _, number := range s.hosted {
		d.instances = append(d.instances, &hostedInstance{number: number})
	}
	d.schedule()
	return d
}

func (d *deployment) newEndpoint(i int, build uint16) *listedEndpoint {
	endpoint := &listedEndpoint{zone: uint16(i % 2), machineType: uint16(i / 2 % 2), failureDomain: uint16(i % 3), build: build, weight: 1 + float32(i%3)/2, state: stateReady}
	for k := range endpoint.address {
		endpoint.address[k] = byte(d.random.Uint32())
	}
	return endpoint
}

// after schedules a call of do after a delay.
func (d *deployment) after(delay uint64, do func()) {
	d.scheduledCount++
	heap.Push(&d.queue, scheduledEvent{d.now + delay, d.scheduledCount, do})
}

// addEvent adds an event to the batch.
func (d *deployment) addEvent(r record) {
	d.events[r[0]]++
	d.batch = append(d.batch, r...)
}

// schedule schedules the events that do not depend on the commands of the instances.
func (d *deployment) schedule() {
	for i, instance := range d.instances {
		d.after(uint64(3+i)*batchInterval, func() { d.startInstance(instance) })
		d.after(uint64(10+i)*batchInterval, func() { d.addRequests(instance) })
	}
	d.after(3*second, func() { d.startRollout() })
	d.after(1*second, func() { d.addUnusualEvents() })
	if d.scenario.restarts {
		last := d.instances[len(d.instances)-1]
		d.after(12*second, func() { d.stopInstance(last); d.addStrayEvent(last) })
		d.after(13*second, func() { d.startInstance(last) })
		d.after(15*second, func() { d.stopInstance(last); d.startInstance(last) }) // both in one batch
	}
	for peer := range d.scenario.relays {
		if !slices.Contains(d.scenario.hosted, uint16(peer)) && d.scenario.peerMessages {
			d.after(second+uint64(peer)*137*millisecond, func() { d.sendAsPeer(uint32(peer), 0) })
		}
	}
}

// run simulates the whole session, and returns a line for each batch and each command.
func (d *deployment) run(p *pipe) (lines []string) {
	for batch := 0; d.now < clockStart+sessionDuration; batch++ {
		for len(d.queue) > 0 && d.queue[0].at <= d.now {
			heap.Pop(&d.queue).(scheduledEvent).do()
		}
		commands := p.exchange(frame(d.now, d.batch))
		digest := sha256.Sum256(d.batch) // if this is the first difference, the test's input has changed, not the binary
		if len(d.batch) > 0 || len(commands) > 0 {
			lines = append(lines, fmt.Sprintf("batch %d: %d bytes %x, %d actions", batch, len(d.batch), digest[:4], len(commands)))
		}
		d.batch = d.batch[:0]
		for _, c := range commands {
			lines = append(lines, c.line())
			d.execute(c)
		}
		d.now += batchInterval
	}
	return lines
}

func (d *deployment) startInstance(instance *hostedInstance) {
	instance.running = true
	instance.incarnation++
	settings := d.scenario.settings(instance.number)
	d.addEvent(append(instanceEvent(eventStart, instance.pipeNumber()).u64(d.random.Uint64()).u32(uint32(len(settings))), settings...))
	d.addList(instance, listCached, d.endpoints)
	d.addRolloutStatus(instance, 0, 0)
}

func (d *deployment) stopInstance(instance *hostedInstance) {
	instance.running = false
	d.addEvent(instanceEvent(eventStop, instance.pipeNumber()))
	for _, request := range d.requests {
		if request.instance == instance.pipeNumber() {
			request.ended = true
		}
	}
}

// addStrayEvent adds an event for an instance that is no longer running.
func (d *deployment) addStrayEvent(instance *hostedInstance) {
	d.addEvent(instanceEvent(eventTimerFired, instance.pipeNumber()).u64(1))
}

// execute carries out a command of an instance.
func (d *deployment) execute(c command) {
	at := slices.IndexFunc(d.instances, func(instance *hostedInstance) bool { return instance.pipeNumber() == c.instance })
	if at < 0 || !d.instances[at].running {
		d.t.Fatalf("command of instance %d, which is not running:%s", c.instance, c.line())
	}
	instance := d.instances[at]
	switch c.code {
	case commandFault:
		d.t.Fatalf("instance %d reported a fault: %s", c.instance, c.rest[2:])
	case commandSendAttempt:
		d.simulateAttempt(instance, c)
	case commandCancelAttempt:
		request, incarnation := d.requests[c.u32()], instance.incarnation
		d.after(batchInterval, func() { d.addAttemptEnded(instance, incarnation, request, int(c.rest[4]), outcomeCancelled) })
	case commandReject, commandFail:
		d.requests[c.u32()].ended = true
	case commandSetTimer:
		timer, firesAt, incarnation := c.u64(0), c.u64(8), instance.incarnation
		d.after(firesAt-min(firesAt, d.now), func() {
			if instance.isRunning(incarnation) {
				d.addEvent(instanceEvent(eventTimerFired, instance.pipeNumber()).u64(timer))
			}
		})
	case commandSendMessage:
		d.deliverDatagram(instance, c.u32(), append([]byte(nil), c.rest[6:]...))
	case commandWatch:
		d.answerWatch(instance)
	case commandVote:
		d.countVote(instance, c.u16(0), c.rest[2], c.rest[3])
	}
}
