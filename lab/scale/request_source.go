package scale

import (
	"math/rand"

	"lichenroad/relay"
)

// requestKind is what requests of a category are like.
type requestKind struct {
	share            float64
	work             [2]float64 // s on a standard core
	latencyObjective float64    // s
	deadline         float64    // s
	priorityWeight   float64
	idempotency      relay.Idempotency
}

var requestKinds = []requestKind{
	{share: 0.7, work: [2]float64{0.02, 0.04}, latencyObjective: 0.8, deadline: 2.5, priorityWeight: 1, idempotency: relay.Idempotent},
	{share: 0.3, work: [2]float64{0.02, 0.06}, latencyObjective: 1, deadline: 3, priorityWeight: 3, idempotency: relay.AtMostOnce},
}

const workHintError = 0.25 // either way, that a client's hint of the work is off

// load draws a relay's requests: a Poisson process, tenants and routes drawn evenly.
type requestSource struct {
	random          *rand.Rand
	rate            float64
	tenants, routes int
	lastID          relay.RequestID
}

// gap is the time to the next request.
func (l *requestSource) drawGap() float64 { return l.random.ExpFloat64() / l.rate }

// next draws a request. Its times are the module's.
func (l *requestSource) next(now float64) (q relay.Request, work float64) {
	l.lastID++
	class := drawClass(l.random)
	kind := &requestKinds[class]
	work = kind.work[0] + (kind.work[1]-kind.work[0])*l.random.Float64()
	q = relay.Request{ID: l.lastID, Deadline: now + kind.deadline, HasWork: true, Class: relay.RequestClass(class),
		Work: work * (1 + workHintError*(2*l.random.Float64()-1))}
	if l.tenants > 0 {
		q.Tenant = relay.Tenant(l.random.Intn(l.tenants))
	}
	if l.routes > 0 {
		q.Key = relay.Key(1 + l.random.Intn(l.routes))
	}
	return q, work
}

func drawClass(random *rand.Rand) int {
	at := random.Float64()
	for i := range requestKinds {
		if at -= requestKinds[i].share; at < 0 {
			return i
		}
	}
	return len(requestKinds) - 1
}

// seeded gives each part of the run a source of chance of its own, so that one that draws more changes no other.
func newRandom(seed int64, part string, index int) *rand.Rand {
	h := uint64(seed) * 0x9e3779b97f4a7c15
	for _, c := range part {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	h = (h ^ uint64(index+1)) * 0xff51afd7ed558ccd
	return rand.New(rand.NewSource(int64(h >> 1)))
}
