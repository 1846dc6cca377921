package scale

import (
	"strconv"
	"sync"

	"lichenroad/relay"
)

// Facts of the stand-in for discovery.
const (
	epoch              = 1_700_000_000 // Unix time at the start of a run
	publishInterval    = 0.5           // s between two generations of a list
	crashDetectionTime = 1.0           // s until discovery notices that a process is gone
	minListRate        = 50.0          // whole lists a second that it can give
	fullRoundTime      = 8.0           // it can give all relays a list once in so many seconds, if that is more
	maxQueueTime       = 2.0           // s that a call for a whole list may wait before it fails
	unqueuedTime       = 1.0           // s from the start in which a call does not queue: the fleet has long stood
	answerDelay        = 0.02          // s that an answer takes
	unreachableTimeout = 1.0           // s after which a call that can't reach it fails
	entriesPerPart     = 8192          // entries of one part of a list that the real reader refuses in one piece
	answerHeadBytes    = 160           // of an answer's HTTP head
)

// poll is a call of a relay to discovery.
type poll struct {
	relay          *hollowRelay
	number         int64
	generation     int64   // generation that the relay has; -1: it wants the whole list
	continuesWatch bool    // a watch that was answered before
	heldUntil      float64 // when discovery answers though nothing is new
}

// listAnswer is discovery's answer. Where the reader refuses the body, the parts say the same in smaller pieces.
type listAnswer struct {
	generation int64
	body       []byte
	parts      func() [][]byte
}

// change is one entry that differs from the generation before.
type change struct {
	generation int64
	endpoint   *endpoint
}

// registry is discovery's list of one service's units.
type registry struct {
	relays        int
	endpoints     []*endpoint
	generation    int64
	nextPublishAt float64
	pending       []pendingChange
	changes       []change
	answers       map[int64]*listAnswer // by the generation that a relay has, for the present one
	heldPolls     []poll
	freeAt        float64 // when the queue of calls for whole lists is empty
}

type pendingChange struct {
	at       float64
	endpoint *endpoint
}

func newRegistry(relays int, endpoints []*endpoint) *registry {
	return &registry{relays: relays, endpoints: endpoints, generation: 1, answers: map[int64]*listAnswer{}}
}

// note has a change of a unit published, no sooner than at a time.
func (r *registry) scheduleChange(at float64, e *endpoint) {
	r.pending = append(r.pending, pendingChange{at, e})
}

// add lists a unit from the next generation on.
func (r *registry) add(at float64, e *endpoint) {
	r.endpoints = append(r.endpoints, e)
	r.scheduleChange(at, e)
}

// publish makes a generation of what has changed, and says whether there is one.
func (r *registry) publish(now float64) bool {
	if now < r.nextPublishAt {
		return false
	}
	r.nextPublishAt = now + publishInterval
	left, published := r.pending[:0], false
	for _, p := range r.pending {
		if p.at > now {
			left = append(left, p)
			continue
		}
		if !published {
			published = true
			r.generation++
		}
		if p.endpoint.state != relay.Ready && p.endpoint.drainListedAt > now {
			p.endpoint.drainListedAt = now
		}
		r.changes = append(r.changes, change{r.generation, p.endpoint})
	}
	r.pending = left
	if published {
		clear(r.answers)
		r.dropRemoved()
	}
	return published
}

// dropRemoved takes units off the whole list that were told as gone.
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

// answer is the present answer to a relay that has a generation.
func (r *registry) answer(after int64) *listAnswer {
	if a := r.answers[after]; a != nil {
		return a
	}
	entries, whole := r.changedSince(after), after < 0
	a := &listAnswer{generation: r.generation, body: encodeList(r.generation, whole, entries)}
	a.parts = sync.OnceValue(func() (out [][]byte) {
		for left := entries; len(out) == 0 || len(left) > 0; {
			n := min(len(left), entriesPerPart)
			out = append(out, encodeList(r.generation, whole && len(out) == 0, left[:n]))
			left = left[n:]
		}
		return out
	})
	r.answers[after] = a
	return a
}

// since are the units of the whole list, or those that changed after a generation, each once.
func (r *registry) changedSince(after int64) []*endpoint {
	if after < 0 {
		return append([]*endpoint(nil), r.endpoints...)
	}
	var out []*endpoint
	seen := map[*endpoint]bool{}
	for i := len(r.changes) - 1; i >= 0 && r.changes[i].generation > after; i-- {
		if e := r.changes[i].endpoint; !seen[e] {
			seen[e] = true
			out = append(out, e)
		}
	}
	return out
}

// queued is how long a call for a whole list takes, and whether it fails.
func (r *registry) enqueue(now float64) (took float64, fails bool) {
	if now < unqueuedTime {
		return answerDelay, false
	}
	latencyRatio := max(minListRate, float64(r.relays)/fullRoundTime)
	start := max(now, r.freeAt)
	if start-now > maxQueueTime {
		return maxQueueTime, true
	}
	r.freeAt = start + 1/latencyRatio
	return start - now + answerDelay, false
}

var lifecycles = [...]string{relay.Ready: "SERVING", relay.Draining: "DRAINING", relay.Removed: "DELETED"}

// encodeList writes a list in discovery's JSON form.
func encodeList(generation int64, whole bool, endpoints []*endpoint) []byte {
	b := make([]byte, 0, 64+200*len(endpoints))
	b = append(b, `{"generation":`...)
	b = strconv.AppendInt(b, generation, 10)
	b = append(b, `,"reset":`...)
	b = strconv.AppendBool(b, whole)
	b = append(b, `,"instances":[`...)
	for i, e := range endpoints {
		if i > 0 {
			b = append(b, ',')
		}
		b = e.appendEntry(b)
	}
	return append(b, "]}"...)
}

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
