package scale

import (
	"math/rand"

	"lichenroad/relay"
)

// requestKind is what requests of a category are like.
type requestKind struct {
	share    float64
	work     [2]float64 // s on a standard core
	due      float64    // s
	patience float64    // s
	value    float64
	repeat   relay.Idempotency
}

var requestKinds = []requestKind{
	{share: 0.7, work: [2]float64{0.02, 0.04}, due: 0.8, patience: 2.5, value: 1, repeat: relay.Idempotent},
	{share: 0.3, work: [2]float64{0.02, 0.06}, due: 1, patience: 3, value: 3, repeat: relay.AtMostOnce},
}

const workHint = 0.25 // either way, that a client's hint of the work is off

// load draws a relay's requests: a Poisson process, tenants and routes drawn evenly.
type load struct {
	random          *rand.Rand
	rate            float64
	tenants, routes int
	lastID          relay.RequestID
}

// gap is the time to the next request.
func (l *load) gap() float64 { return l.random.ExpFloat64() / l.rate }

// next draws a request. Its times are the module's.
func (l *load) next(now float64) (q relay.Request, work float64) {
	l.lastID++
	category := drawCategory(l.random)
	kind := &requestKinds[category]
	work = kind.work[0] + (kind.work[1]-kind.work[0])*l.random.Float64()
	q = relay.Request{ID: l.lastID, Deadline: now + kind.patience, HasWork: true, Class: relay.RequestClass(category),
		Work: work * (1 + workHint*(2*l.random.Float64()-1))}
	if l.tenants > 0 {
		q.Tenant = relay.Tenant(l.random.Intn(l.tenants))
	}
	if l.routes > 0 {
		q.Key = relay.Key(1 + l.random.Intn(l.routes))
	}
	return q, work
}

func drawCategory(random *rand.Rand) int {
	at := random.Float64()
	for i := range requestKinds {
		if at -= requestKinds[i].share; at < 0 {
			return i
		}
	}
	return len(requestKinds) - 1
}

// seeded gives each part of the run a source of chance of its own, so that one that draws more changes no other.
func seeded(seed int64, part string, index int) *rand.Rand {
	h := uint64(seed) * 0x9e3779b97f4a7c15
	for _, c := range part {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	h = (h ^ uint64(index+1)) * 0xff51afd7ed558ccd
	return rand.New(rand.NewSource(int64(h >> 1)))
}
