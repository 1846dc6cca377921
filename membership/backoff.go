package membership

import (
	"math"
	"math/rand"

	"lichenroad/relay"
)

// Durations in seconds.
const (
	// fleetPollSpread is the time over which a whole fleet spreads its first polls. Discovery may take that long to answer
	// one poll of each relay, whatever the size of the fleet (measured on full-size days).
	fleetPollSpread = 8.0
	// pollSpreadPerRelay is the spread for each relay of a small fleet.
	pollSpreadPerRelay = 0.1
	// initialBackoff bounds the delay after the first failure: the time for which discovery lets a poll queue. The bound
	// doubles with each further failure up to maxBackoff, at which a fleet polls more slowly than the slowest discovery
	// answers.
	initialBackoff = 2.0
	maxBackoff     = 16.0
	// maxBackoffPerRelay bounds the delay by the size of the fleet: a few relays overload nobody, and would learn of
	// changes late if they waited longer.
	maxBackoffPerRelay = 0.06
	// pollIntervalFraction is the part of the allowed time without a poll after which the next one is started.
	pollIntervalFraction = 0.8
)

// Backoff spaces the polls of one relay by exponential backoff with full jitter. Discovery queues polls and fails those
// that waited too long, but works on them all the same; relays that retried at a fixed interval would sustain the overload
// that fails them. A Backoff is not safe for concurrent use.
type Backoff struct {
	relays       int
	pollInterval relay.Seconds
	random       *rand.Rand
	failures     int // since the last answer
}

// NewBackoff returns the backoff of one relay of a fleet. A poll interval of 0 or less sets no bound.
func NewBackoff(relays int, pollInterval relay.Seconds, random *rand.Rand) Backoff {
	return Backoff{relays: max(relays, 1), pollInterval: orNever(pollInterval), random: random}
}

// First draws the delay before the first poll: the whole fleet may have started at one moment.
func (b *Backoff) First() relay.Seconds {
	if b.relays == 1 {
		return 0
	}
	spread := math.Min(fleetPollSpread, pollSpreadPerRelay*float64(b.relays))
	return math.Min(spread, pollIntervalFraction*b.pollInterval) * b.random.Float64()
}

// Failed draws the delay before a failed poll is retried. After a stalled one the first retry is immediate: a change that
// it missed is about to bind the relay.
func (b *Backoff) Failed(stalled bool) relay.Seconds {
	b.failures++
	if stalled && b.failures == 1 {
		return 0
	}
	fleetBound := math.Max(initialBackoff, math.Min(maxBackoff, maxBackoffPerRelay*float64(b.relays)))
	bound := math.Min(fleetBound, initialBackoff*math.Exp2(float64(b.failures-1)))
	return math.Min(bound, pollIntervalFraction*failedPollFactor*b.pollInterval) * b.random.Float64()
}

// Answered records that discovery answered this relay.
func (b *Backoff) Answered() { b.failures = 0 }

// PeerAnswered draws the delay before the next poll once discovery answers peers again: all relays whose polls failed want
// to poll now.
func (b *Backoff) PeerAnswered() relay.Seconds {
	b.failures = min(b.failures, 1)
	return b.First()
}
