package scale

import (
	"math/rand"

	"lichenroad/relay"
)

// requestKind describes the requests of a class. Durations are in seconds.
type requestKind struct {
	share            float64 // share of all requests
	minWork          float64 // seconds of a standard core
	maxWork          float64
	latencyObjective float64
	deadline         float64
	priorityWeight   float64
	idempotency      relay.Idempotency
}

// requestKinds are indexed by request class.
var requestKinds = []requestKind{
	{share: 0.7, minWork: 0.02, maxWork: 0.04, latencyObjective: 0.8, deadline: 2.5, priorityWeight: 1, idempotency: relay.Idempotent},
	{share: 0.3, minWork: 0.02, maxWork: 0.06, latencyObjective: 1, deadline: 3, priorityWeight: 3, idempotency: relay.AtMostOnce},
}

// workHintError is the maximum relative error of a client's hint of the work, in either direction.
const workHintError = 0.25

// requestSource generates a relay's requests. Arrivals are a Poisson process, and tenants and routes are uniformly distributed.
type requestSource struct {
	random          *rand.Rand
	rate            float64 // mean requests per second
	tenants, routes int
	lastID          relay.RequestID
}

// drawGap returns a random time until the next request.
func (s *requestSource) drawGap() float64 { return s.random.ExpFloat64() / s.rate }

// next returns a random request and its work. Times are in seconds since the relay's start, as in the decision code.
func (s *requestSource) next(now float64) (request relay.Request, work float64) {
	s.lastID++
	class := drawClass(s.random)
	kind := &requestKinds[class]
	work = kind.drawWork(s.random)
	request = relay.Request{
		ID:       s.lastID,
		Deadline: now + kind.deadline,
		HasWork:  true,
		Class:    relay.RequestClass(class),
		Work:     drawWorkHint(s.random, work),
	}
	if s.tenants > 0 {
		request.Tenant = relay.Tenant(s.random.Intn(s.tenants))
	}
	if s.routes > 0 {
		request.Key = relay.Key(1 + s.random.Intn(s.routes))
	}
	return request, work
}

// drawClass returns a random request class, distributed by the shares of requestKinds.
func drawClass(random *rand.Rand) int {
	at := random.Float64()
	for class := range requestKinds {
		if at -= requestKinds[class].share; at < 0 {
			return class
		}
	}
	return len(requestKinds) - 1
}

// drawWork returns the work of a random request of this kind.
func (k *requestKind) drawWork(random *rand.Rand) float64 {
	return k.minWork + (k.maxWork-k.minWork)*random.Float64()
}

// drawWorkHint returns a random hint that a client gives of the work.
func drawWorkHint(random *rand.Rand, work float64) float64 {
	return work * (1 + workHintError*(2*random.Float64()-1))
}

// newRandom returns the random source of one part of the simulation. Every part has its own source, so that additional draws in
// one part do not change the others.
func newRandom(seed int64, part string, index int) *rand.Rand {
	h := uint64(seed) * 0x9e3779b97f4a7c15
	for _, c := range part {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	h = (h ^ uint64(index+1)) * 0xff51afd7ed558ccd
	return rand.New(rand.NewSource(int64(h >> 1)))
}
