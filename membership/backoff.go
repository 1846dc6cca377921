package membership

import (
	"math"
	"math/rand"

	"lichenroad/relay"
)

const (
	// callSpread is the time, in seconds, over which a whole fleet spreads its calls to discovery, which may take that long
	// to answer one call of each relay, whatever the size of the fleet (measured on full-size days).
	callSpread = 8.0
	// callPace is the part of it, in seconds, for each relay of a small fleet.
	callPace = 0.1
	// firstBackoff and mostBackoff bound the time, in seconds, until a failed call is made again: as long as discovery
	// lets a call wait at first, doubled by each further failure, up to a pace slower than discovery's slowest.
	firstBackoff = 2.0
	mostBackoff  = 16.0
	// backoffPace bounds it, in seconds for each relay of the fleet: a few relays overload nobody, and learn late if they wait.
	backoffPace = 0.06
	// askPart is the part of the time without a call that the settings allow, behind which the next one is made.
	askPart = 0.8
)

// Backoff spaces the calls of one relay to discovery: exponential back-off with full jitter. Discovery answers calls in turn
// and fails those that waited too long, but works on them all the same; relays that came back at a fixed pace would keep up
// the overload that fails them.
type Backoff struct {
	relays   int
	askEvery relay.Seconds
	random   *rand.Rand
	failures int // in a row
}

// NewBackoff returns the back-off of one relay of a fleet.
func NewBackoff(relays int, askEvery relay.Seconds, random *rand.Rand) Backoff {
	return Backoff{relays: max(relays, 1), askEvery: unlessAbsent(askEvery), random: random}
}

// First draws the time until the first call. The whole fleet may have started at one moment.
func (b *Backoff) First() relay.Seconds {
	if b.relays == 1 {
		return 0
	}
	most := math.Min(callSpread, callPace*float64(b.relays))
	return math.Min(most, askPart*b.askEvery) * b.random.Float64()
}

// Failed draws the time until a failed call is made again. Behind a silence the first one is made at once: what it missed is
// about to bind the relay.
func (b *Backoff) Failed(silent bool) relay.Seconds {
	b.failures++
	if silent && b.failures == 1 {
		return 0
	}
	bound := math.Max(firstBackoff, math.Min(mostBackoff, backoffPace*float64(b.relays)))
	most := math.Min(bound, firstBackoff*math.Exp2(float64(b.failures-1)))
	return math.Min(most, askPart*failedFactor*b.askEvery) * b.random.Float64()
}

// Answered notes that discovery answered this relay.
func (b *Backoff) Answered() { b.failures = 0 }

// PeerAnswered draws the time until the next call once discovery answers others again: all that failed want one now.
func (b *Backoff) PeerAnswered() relay.Seconds {
	b.failures = min(b.failures, 1)
	return b.First()
}
