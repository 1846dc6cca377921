package scale

import (
	"strconv"
	"sync"

	"lichenroad/relay"
)

// Properties of the simulated discovery. Durations are in seconds.
const (
	epoch              = 1_700_000_000 // Unix time at the start of a run
	publishInterval    = 0.5           // between two generations of a list
	crashDetectionTime = 1.0           // time from the end of a process until discovery lists the endpoint as removed
	minListRate        = 50.0          // lower bound of the full lists per second that discovery can send
	fullRoundTime      = 8.0           // time in which every relay can get a full list, unless minListRate makes it faster
	maxQueueTime       = 2.0           // maximum time that a poll for a full list is queued before it fails
	noQueueTime        = 1.0           // time at the start in which no poll is queued: the fleet counts as started long ago
	answerDelay        = 0.02          // latency of an answer that is not queued
	unreachableTimeout = 1.0           // time after which a poll fails if discovery can't be reached
	entriesPerPart     = 8192          // maximum entries in each part of a list that is too long for the real reader
	answerHeadBytes    = 160           // size of the HTTP head of an answer
)

// poll is a relay's poll of discovery.
type poll struct {
	relay          *hollowRelay
	number         int64   // assigned by the relay, in ascending order
	generation     int64   // generation of the relay's list; noGeneration requests the full list
	continuesWatch bool    // whether the poll continues a watch: the previous poll was answered
	heldUntil      float64 // time at which discovery answers even if nothing has changed
}

// listAnswer is discovery's answer to a poll.
type listAnswer struct {
	generation int64
	body       []byte
	parts      func() [][]byte // returns the same list in smaller bodies, for a reader that rejects body as too long
}

// change records that an endpoint changed in a generation.
type change struct {
	generation int64
	endpoint   *endpoint
}

// pendingChange is a change of an endpoint that is not published before a given time.
type pendingChange struct {
	at       float64
	endpoint *endpoint
}

// registry is discovery's list of one service's endpoints.
type registry struct {
	relays        int
	endpoints     []*endpoint
	generation    int64
	nextPublishAt float64
	pending       []pendingChange
	changes       []change              // oldest first
	answers       map[int64]*listAnswer // cached answers of the current generation, by the generation of the relay's list
	heldPolls     []poll                // waiting for a change
	queueEmptyAt  float64               // time at which all queued polls for full lists are answered
}

func newRegistry(relays int, endpoints []*endpoint) *registry {
	return &registry{relays: relays, endpoints: endpoints, generation: 1, answers: map[int64]*listAnswer{}}
}

// scheduleChange schedules the publication of an endpoint's state at the given time or later.
func (r *registry) scheduleChange(at float64, e *endpoint) {
	r.pending = append(r.pending, pendingChange{at, e})
}

// add adds an endpoint to the list. The change is published at the given time or later.
func (r *registry) add(at float64, e *endpoint) {
	r.endpoints = append(r.endpoints, e)
	r.scheduleChange(at, e)
}

// publish publishes the pending changes that are due as a new generation, at most once per publishInterval. It reports whether
// there is a new generation.
func (r *registry) publish(now float64) bool {
	if now < r.nextPublishAt {
		return false
	}
	r.nextPublishAt = now + publishInterval
	pending := r.pending[:0]
	published := false
	for _, p := range r.pending {
		if p.at > now {
			pending = append(pending, p)
			continue
		}
		if !published {
			published = true
			r.generation++
		}
		firstListedAsLeaving := p.endpoint.state != relay.Ready && p.endpoint.drainListedAt > now
		if firstListedAsLeaving {
			p.endpoint.drainListedAt = now
		}
		r.changes = append(r.changes, change{r.generation, p.endpoint})
	}
	r.pending = pending
	if published {
		clear(r.answers)
		r.dropRemoved()
	}
	return published
}

// dropRemoved deletes removed endpoints from the full list.
func (r *registry) dropRemoved() {
	kept := r.endpoints[:0]
	for _, e := range r.endpoints {
		if e.state != relay.Removed {
			kept = append(kept, e)
		}
	}
	clear(r.endpoints[len(kept):])
	r.endpoints = kept
}

// answerFor returns the current answer to a relay whose list has the given generation.
func (r *registry) answerFor(generation int64) *listAnswer {
	if known := r.answers[generation]; known != nil {
		return known
	}
	entries := r.changedSince(generation)
	full := generation < 0
	answer := &listAnswer{generation: r.generation, body: encodeList(r.generation, full, entries)}
	answer.parts = sync.OnceValue(func() [][]byte { return encodeParts(answer.generation, full, entries) })
	r.answers[generation] = answer
	return answer
}

// changedSince returns the endpoints that changed after a generation, each once. For a negative generation it returns the full
// list.
func (r *registry) changedSince(generation int64) []*endpoint {
	if generation < 0 {
		return append([]*endpoint(nil), r.endpoints...)
	}
	var changed []*endpoint
	seen := map[*endpoint]bool{}
	for i := len(r.changes) - 1; i >= 0 && r.changes[i].generation > generation; i-- {
		if e := r.changes[i].endpoint; !seen[e] {
			seen[e] = true
			changed = append(changed, e)
		}
	}
	return changed
}

// enqueue queues a poll for a full list. It returns the time until the poll is answered or, if the queue is too long and
// accepted is false, until it fails.
func (r *registry) enqueue(now float64) (delay float64, accepted bool) {
	if now < noQueueTime {
		return answerDelay, true
	}
	listsPerSecond := max(minListRate, float64(r.relays)/fullRoundTime)
	start := max(now, r.queueEmptyAt)
	if start-now > maxQueueTime {
		return maxQueueTime, false
	}
	r.queueEmptyAt = start + 1/listsPerSecond
	return start - now + answerDelay, true
}

// lifecycles are the names of endpoint states in discovery's JSON.
var lifecycles = [...]string{relay.Ready: "SERVING", relay.Draining: "DRAINING", relay.Removed: "DELETED"}

// encodeParts encodes a list in several bodies. If the list is full, the first body is marked as a full list and the others as
// changes of it.
func encodeParts(generation int64, full bool, entries []*endpoint) [][]byte {
	var parts [][]byte
	for rest := entries; len(parts) == 0 || len(rest) > 0; {
		size := min(len(rest), entriesPerPart)
		parts = append(parts, encodeList(generation, full && len(parts) == 0, rest[:size]))
		rest = rest[size:]
	}
	return parts
}

// encodeList encodes a list, full or of changes, as discovery's JSON.
func encodeList(generation int64, full bool, endpoints []*endpoint) []byte {
	b := make([]byte, 0, 64+200*len(endpoints))
	b = append(b, `{"generation":`...)
	b = strconv.AppendInt(b, generation, 10)
	b = append(b, `,"reset":`...)
	b = strconv.AppendBool(b, full)
	b = append(b, `,"instances":[`...)
	for i, e := range endpoints {
		if i > 0 {
			b = append(b, ',')
		}
		b = e.appendEntry(b)
	}
	return append(b, "]}"...)
}

// appendEntry appends the endpoint's entry in discovery's JSON.
func (e *endpoint) appendEntry(b []byte) []byte {
	b = append(b, `{"instanceId":"`...)
	b = append(b, e.name...)
	b = append(b, `","hostPort":"10.`...)
	b = strconv.AppendInt(b, int64(e.region), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(e.zone), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(e.rack%250), 10)
	b = append(b, `:5432","zone":"`...)
	b = append(b, zoneName(e.zone)...)
	b = append(b, `","machineType":"`...)
	b = append(b, machineKinds[e.kind].name...)
	b = append(b, `","cell":`...)
	b = strconv.AppendInt(b, int64(e.rack), 10)
	b = append(b, `,"lifecycle":"`...)
	b = append(b, lifecycles[e.state]...)
	b = append(b, `","weight":1,"startedAtMs":`...)
	b = strconv.AppendInt(b, int64((epoch+e.startedAt)*1000), 10)
	b = append(b, `,"build":`...)
	b = strconv.AppendInt(b, int64(e.build), 10)
	return append(b, '}')
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }
