package membership

import (
	"math"
	"math/rand"
	"testing"

	"lichenroad/relay"
)

// poller is a relay that polls discovery at the times determined by its backoff.
type poller struct {
	Backoff
	nextAt relay.Seconds
}

// newPollers returns a fleet of relays that all start at time zero. Its poll interval is too long to limit any delay.
func newPollers(relays int) []poller {
	const pollInterval = 60
	pollers := make([]poller, relays)
	for i := range pollers {
		pollers[i].Backoff = NewBackoff(relays, pollInterval, rand.New(rand.NewSource(int64(i))))
		pollers[i].nextAt = pollers[i].First()
	}
	return pollers
}

// simulateFailures lets each poll fail the given time after its start and returns the number of polls started in each
// second.
func simulateFailures(pollers []poller, after, until relay.Seconds) []int {
	polls := make([]int, int(until))
	for i := range pollers {
		for p := &pollers[i]; p.nextAt < until; p.nextAt += after + p.Failed(false) {
			polls[int(p.nextAt)]++
		}
	}
	return polls
}

func sum(counts []int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

func TestFailingPollsOfAFleetAreSpread(t *testing.T) {
	const relays = 300
	polls := simulateFailures(newPollers(relays), 2, 320)
	perSecond := float64(sum(polls[20:])) / 300
	t.Logf("%.1f polls per second in the long run; polls in the first seconds: %v", perSecond, polls[:16])
	if perSecond >= relays/fleetPollSpread {
		t.Errorf("%.1f polls per second in the long run, want less than %.1f", perSecond, relays/fleetPollSpread)
	}
	if perSecond < relays/maxBackoff {
		t.Errorf("%.1f polls per second in the long run: relays wait longer than the maximum of %v s", perSecond, maxBackoff)
	}
}

func TestFirstPollsOfAFleetAreSpread(t *testing.T) {
	const relays = 300
	var first [int(fleetPollSpread) + 1]int
	for _, p := range newPollers(relays) {
		first[int(p.nextAt)]++
	}
	for second, polls := range first {
		if upperBound := 1.5 * relays / fleetPollSpread; float64(polls) > upperBound {
			t.Errorf("%d first polls in second %d, want at most %.0f", polls, second, upperBound)
		}
	}
	if sum(first[:int(fleetPollSpread)]) != relays {
		t.Errorf("some first polls came after more than %v s; first polls in each second: %v", fleetPollSpread, first)
	}
}

func TestSmallFleetPollsAboutEveryTwoSeconds(t *testing.T) {
	for _, relays := range []int{1, 2, 3, 5} {
		polls := simulateFailures(newPollers(relays), 0.1, 400)
		if mean := 400 / float64(sum(polls)); mean > 2 {
			t.Errorf("%d relays: one poll every %.2f s, want one at least every 2 s", relays, mean)
		}
	}
	if first := newPollers(1)[0].nextAt; first != 0 {
		t.Errorf("a relay without peers sends its first poll at %v, want 0", first)
	}
}

// drawRange draws 2000 delays and returns the shortest and the longest.
func drawRange(draw func() relay.Seconds) (lowerBound, upperBound relay.Seconds) {
	lowerBound = Never
	for range 2000 {
		drawn := draw()
		lowerBound, upperBound = math.Min(lowerBound, drawn), math.Max(upperBound, drawn)
	}
	return lowerBound, upperBound
}

func TestStalledPollIsRetriedAtOnceThenBackedOff(t *testing.T) {
	b := NewBackoff(300, 60, rand.New(rand.NewSource(1)))
	if wait := b.Failed(true); wait != 0 {
		t.Fatalf("the first retry after a stalled poll waits %v, want 0", wait)
	}
	second := b
	_, upperBound := drawRange(func() relay.Seconds { b := second; return b.Failed(true) })
	if upperBound <= initialBackoff || upperBound > 2*initialBackoff {
		t.Fatalf("the second retry waits up to %v, want more than %v and at most %v", upperBound, initialBackoff, 2*initialBackoff)
	}
	b.Answered()
	b.Failed(false)
	if wait := b.Failed(true); wait == 0 {
		t.Fatal("a stalled poll after another failure is retried immediately")
	}
}

func TestBackoffDoublesUpToABoundAndAnAnswerResetsIt(t *testing.T) {
	b := NewBackoff(300, 60, rand.New(rand.NewSource(1)))
	check := func(want relay.Seconds) {
		t.Helper()
		now := b
		lowerBound, upperBound := drawRange(func() relay.Seconds { b := now; return b.Failed(false) })
		if upperBound > want || upperBound < 0.98*want || lowerBound > 0.02*want {
			t.Fatalf("delays between %v and %v, want between 0 and %v", lowerBound, upperBound, want)
		}
		b.Failed(false)
	}
	for _, want := range []relay.Seconds{2, 4, 8, 16, 16, 16} {
		check(want)
	}
	for range 2000 {
		b.Failed(false)
	}
	check(maxBackoff)
	b.Answered()
	check(initialBackoff)
}

func TestPeerAnsweredSpreadsTheNextPolls(t *testing.T) {
	b := NewBackoff(300, 60, rand.New(rand.NewSource(1)))
	for range 10 {
		b.Failed(false)
	}
	lowerBound, upperBound := drawRange(b.PeerAnswered)
	if lowerBound > 0.02*fleetPollSpread || upperBound > fleetPollSpread || upperBound < 0.98*fleetPollSpread {
		t.Fatalf("delays between %v and %v, want between 0 and %v", lowerBound, upperBound, fleetPollSpread)
	}
	if _, upperBound = drawRange(func() relay.Seconds { b := b; return b.Failed(false) }); upperBound > 2*initialBackoff {
		t.Fatalf("the retry after the next failure waits up to %v, want at most %v", upperBound, 2*initialBackoff)
	}
	b.Answered()
	b.PeerAnswered()
	if b.failures != 0 {
		t.Fatalf("failure count is %d after an answer, want 0", b.failures)
	}
}

func TestBackoffStaysWithinThePollInterval(t *testing.T) {
	const pollInterval = 2.0
	b := NewBackoff(300, pollInterval, rand.New(rand.NewSource(1)))
	if _, upperBound := drawRange(b.First); upperBound > pollIntervalFraction*pollInterval {
		t.Errorf("the first poll waits up to %v, want at most %v", upperBound, pollIntervalFraction*pollInterval)
	}
	if _, upperBound := drawRange(func() relay.Seconds { return b.Failed(false) }); upperBound > pollIntervalFraction*failedPollFactor*pollInterval {
		t.Errorf("the retry of a failed poll waits up to %v, want at most %v",
			upperBound, pollIntervalFraction*failedPollFactor*pollInterval)
	}
}
