package membership

import (
	"math"
	"math/rand"

	"lichenroad/relay"
)

// Durations in seconds.
const (
	// fleetPollSpread is the time over which a large fleet spreads its first polls. Discovery may take that long to answer
	// one poll from each relay, whatever the size of the fleet.
	fleetPollSpread = 8.0
	// pollSpreadPerRelay times the number of relays is the spread of a small fleet.
	pollSpreadPerRelay = 0.1
	// initialBackoff is the maximum delay after the first failure. It equals the time that discovery lets a poll wait in
	// its queue. The maximum doubles with each further failure up to maxBackoff, at which the fleet sends fewer polls than
	// even a slow discovery service can answer.
	initialBackoff = 2.0
	maxBackoff     = 16.0
	// maxBackoffPerRelay times the number of relays limits the delay in a small fleet, which cannot overload discovery and
	// would only learn of changes late.
	maxBackoffPerRelay = 0.06
	// pollIntervalFraction is the fraction of the permitted time between polls that a delay may take up.
	pollIntervalFraction = 0.8
)

// Backoff delays the polls of one relay by exponential backoff with full jitter. An overloaded discovery service fails
// polls that have waited too long in its queue, but still processes them, so retries at a fixed interval would keep it
// overloaded. A Backoff is not safe for concurrent use.
type Backoff struct {
	relays       int
	pollInterval relay.Seconds
	random       *rand.Rand
	failures     int // since the last answer from discovery
}

// NewBackoff returns the backoff of one relay in a fleet of the given size. The poll interval limits every delay; zero or
// less means no limit.
func NewBackoff(relays int, pollInterval relay.Seconds, random *rand.Rand) Backoff {
	return Backoff{relays: max(relays, 1), pollInterval: orNever(pollInterval), random: random}
}

// First returns a random delay before the first poll. It spreads the polls of a fleet whose relays all started at once.
func (b *Backoff) First() relay.Seconds {
	if b.relays == 1 {
		return 0
	}
	spread := math.Min(fleetPollSpread, pollSpreadPerRelay*float64(b.relays))
	return math.Min(spread, pollIntervalFraction*b.pollInterval) * b.random.Float64()
}

// Failed records a failed poll and returns a random delay before the retry. If the first failure is a stall, the retry is
// immediate, because the relay will soon count as notified of any change that the stalled poll missed.
func (b *Backoff) Failed(stalled bool) relay.Seconds {
	b.failures++
	if stalled && b.failures == 1 {
		return 0
	}
	fleetBound := math.Max(initialBackoff, math.Min(maxBackoff, maxBackoffPerRelay*float64(b.relays)))
	bound := math.Min(fleetBound, initialBackoff*math.Exp2(float64(b.failures-1)))
	return math.Min(bound, pollIntervalFraction*failedPollFactor*b.pollInterval) * b.random.Float64()
}

// Answered records an answer from discovery to this relay, which resets the backoff.
func (b *Backoff) Answered() { b.failures = 0 }

// PeerAnswered returns a random delay before the next poll after discovery has answered a peer again. The delay is spread
// like that of a first poll, because all relays whose polls failed are about to poll again. It also limits the failure
// count, so that the next failure is followed by a short backoff.
func (b *Backoff) PeerAnswered() relay.Seconds {
	b.failures = min(b.failures, 1)
	return b.First()
}
