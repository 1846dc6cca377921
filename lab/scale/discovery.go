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
	crashDetectionTime = 1.0           // until discovery notices that a process has ended
	minListRate        = 50.0          // full lists a second that it can send at least
	fullRoundTime      = 8.0           // in which it can send a full list to every relay, if that needs a higher rate
	maxQueueTime       = 2.0           // for which a poll for a full list may be queued before it fails
	unqueuedTime       = 1.0           // from the start, for which polls are not queued: the fleet has run for long
	answerDelay        = 0.02          // of an answer
	unreachableTimeout = 1.0           // after which a poll fails that can't reach discovery
	entriesPerPart     = 8192          // of a list that the real reader rejects as a whole
	answerHeadBytes    = 160           // of an answer's HTTP head
)

// poll is a relay's poll of discovery.
type poll struct {
	relay          *hollowRelay
	number         int64   // counted by the relay
	generation     int64   // that the relay has; -1: it asks for the full list
	continuesWatch bool    // the previous poll was answered
	heldUntil      float64 // when discovery answers although nothing changed
}

// listAnswer is discovery's answer to a poll.
type listAnswer struct {
	generation int64
	body       []byte
	parts      func() [][]byte // the same in smaller bodies, for a reader that rejects the whole one
}

// change is one endpoint that changed in a generation.
type change struct {
	generation int64
	endpoint   *endpoint
}

// pendingChange is one that is published from a time on.
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
	answers       map[int64]*listAnswer // present ones, by the generation that a relay has
	heldPolls     []poll
	queueEmptyAt  float64 // when the queued polls for full lists are answered
}

func newRegistry(relays int, endpoints []*endpoint) *registry {
	return &registry{relays: relays, endpoints: endpoints, generation: 1, answers: map[int64]*listAnswer{}}
}

// scheduleChange has a change of an endpoint published, not before a time.
func (r *registry) scheduleChange(at float64, e *endpoint) {
	r.pending = append(r.pending, pendingChange{at, e})
}

// add lists an endpoint from the next generation on.
func (r *registry) add(at float64, e *endpoint) {
	r.endpoints = append(r.endpoints, e)
	r.scheduleChange(at, e)
}

// publish makes the pending changes a new generation, and reports whether there is one.
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

// dropRemoved takes endpoints off the full list whose removal is published.
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

// answer returns the present answer to a relay that has a generation.
func (r *registry) answer(generation int64) *listAnswer {
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

// changedSince returns the endpoints of the full list, or those that changed after a generation, each once.
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

// enqueue queues a poll for a full list. It returns after how long the poll is answered or, if the queue is too long, fails.
func (r *registry) enqueue(now float64) (delay float64, accepted bool) {
	if now < unqueuedTime {
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

// lifecycles are the states of endpoints in discovery's JSON.
var lifecycles = [...]string{relay.Ready: "SERVING", relay.Draining: "DRAINING", relay.Removed: "DELETED"}

// encodeParts encodes a list in several bodies. The first alone replaces what the reader has, if the list is full.
func encodeParts(generation int64, full bool, entries []*endpoint) [][]byte {
	var parts [][]byte
	for rest := entries; len(parts) == 0 || len(rest) > 0; {
		size := min(len(rest), entriesPerPart)
		parts = append(parts, encodeList(generation, full && len(parts) == 0, rest[:size]))
		rest = rest[size:]
	}
	return parts
}

// encodeList encodes a list as discovery's JSON.
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

// appendEntry appends the endpoint's entry of discovery's JSON.
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
