package pipeline

import (
	"crypto/sha256"
	"slices"

	"lichenroad/internal/limits"
	"lichenroad/relay"
)

// idState tells what is known of the id of a request.
type idState int

const (
	idUnknown idState = iota // free for a new request
	idOpen                   // a request with the id has been read and is not over
	idMayRun                 // the request is over, but an endpoint may still run one of its attempts
	idRan                    // the request is over and has run
)

// String returns the name of the state in the log.
func (s idState) String() string {
	return [...]string{"unknown", "open", "may_run", "ran"}[s]
}

// idFingerprint stands for an id, so that long ids take no more memory than short ones.
type idFingerprint [16]byte

func fingerprintOf(id string) (fingerprint idFingerprint) {
	sum := sha256.Sum256([]byte(id))
	copy(fingerprint[:], sum[:])
	return fingerprint
}

// idRegistry knows the ids of the requests in hand and those of requests that ended lately. Every request has an id of its
// own, so a second request with an id that is known must not be sent to an endpoint. An id whose request provably never ran
// is forgotten at once. Times are on the clock of the loop, which is monotonic.
//
// Ended ids are kept for limits.IDRetention. Beyond the registry's capacity the oldest ones are forgotten earlier, but not
// while an endpoint may still begin an attempt. That time is bounded by the deadlines, so the memory is bounded by the rate of
// requests. An idRegistry must be used by one goroutine.
type idRegistry struct {
	known  map[idFingerprint]knownID
	mayRun idQueue
	ran    idQueue
}

// knownID is what the registry knows of one id.
type knownID struct {
	state idState
	until relay.Seconds // when it is forgotten; not used while the request is open
}

// newIDRegistry returns a registry whose ended ids take at most memoryBytes, apart from those that may still be run.
func newIDRegistry(memoryBytes int64) idRegistry {
	capacity := int(memoryBytes / limits.KnownIDBytes)
	mayRun := int(limits.MayRunIDFraction * float64(capacity))
	return idRegistry{
		known:  map[idFingerprint]knownID{},
		mayRun: idQueue{capacity: mayRun},
		ran:    idQueue{capacity: capacity - mayRun},
	}
}

// claim registers the id of a request that was read. It returns the state that the id had: if that is not idUnknown, the id
// belongs to an earlier request and nothing was changed.
func (r *idRegistry) claim(id string, now relay.Seconds) idState {
	r.forgetOld(now)
	fingerprint := fingerprintOf(id)
	if entry, found := r.known[fingerprint]; found && (entry.state == idOpen || now < entry.until) {
		return entry.state
	}
	r.known[fingerprint] = knownID{state: idOpen}
	return idUnknown
}

// release forgets the claimed id of a request that never ran.
func (r *idRegistry) release(id string) { delete(r.known, fingerprintOf(id)) }

// keepRan records that the request with a claimed id is over and has run.
func (r *idRegistry) keepRan(id string, now relay.Seconds) {
	r.keep(&r.ran, fingerprintOf(id), knownID{idRan, now + limits.IDRetention.Seconds()}, now)
}

// keepMayRun records that the request with a claimed id is over, and that endpoints may begin its attempts up to
// startsBefore. The time after which the id may make room for others is capped at longestDeadline from now.
func (r *idRegistry) keepMayRun(id string, startsBefore, longestDeadline, now relay.Seconds) {
	startsBefore += limits.ClockToWriteDelay.Seconds()
	entry := knownID{idMayRun, max(startsBefore, now+limits.IDRetention.Seconds())}
	owedUntil := min(startsBefore, now+longestDeadline+limits.ClockToWriteDelay.Seconds())
	r.keep(&r.mayRun, fingerprintOf(id), entry, owedUntil)
}

func (r *idRegistry) keep(queue *idQueue, fingerprint idFingerprint, entry knownID, owedUntil relay.Seconds) {
	r.known[fingerprint] = entry
	queue.push(endedID{fingerprint, entry.until, owedUntil})
}

// forgetOld forgets the ids at the front of each queue that have expired, or that may make room while it is over capacity.
func (r *idRegistry) forgetOld(now relay.Seconds) {
	for _, queue := range []*idQueue{&r.mayRun, &r.ran} {
		for queue.len() > 0 && queue.mayForget(now) {
			ended := queue.pop()
			if r.known[ended.fingerprint].until == ended.until { // otherwise the id was claimed again after it had expired
				delete(r.known, ended.fingerprint)
			}
		}
	}
}

// endedID is an id whose request is over.
type endedID struct {
	fingerprint idFingerprint
	until       relay.Seconds // when it is forgotten
	owedUntil   relay.Seconds // until then it is kept even over capacity
}

// idQueue holds ended ids, the oldest first.
type idQueue struct {
	capacity int
	ids      []endedID
	first    int // index of the oldest one in ids
}

func (q *idQueue) len() int { return len(q.ids) - q.first }

// mayForget reports whether the oldest id may be forgotten.
func (q *idQueue) mayForget(now relay.Seconds) bool {
	oldest := &q.ids[q.first]
	return now >= oldest.until || q.len() > q.capacity && now >= oldest.owedUntil
}

func (q *idQueue) push(id endedID) { q.ids = append(q.ids, id) }

func (q *idQueue) pop() endedID {
	oldest := q.ids[q.first]
	q.first++
	if q.first > q.len() { // over half of the slice is unused
		q.ids, q.first = slices.Clone(q.ids[q.first:]), 0
	}
	return oldest
}
