package membership

import (
	"math"
	"math/rand"
	"testing"

	"lichenroad/relay"
)

// caller is one relay that calls discovery as its back-off says.
type caller struct {
	Backoff
	next relay.Seconds
}

// newCallers are a fleet of which all start at time zero.
func newCallers(relays int, askEvery relay.Seconds) []caller {
	callers := make([]caller, relays)
	for i := range callers {
		callers[i].Backoff = NewBackoff(relays, askEvery, rand.New(rand.NewSource(int64(i))))
		callers[i].next = callers[i].First()
	}
	return callers
}

// failAll has all calls fail after a time, and counts them by the second in which they began.
func failAll(callers []caller, after, until relay.Seconds) []int {
	calls := make([]int, int(until))
	for i := range callers {
		for c := &callers[i]; c.next < until; c.next += after + c.Failed(false) {
			calls[int(c.next)]++
		}
	}
	return calls
}

func sum(counts []int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

func TestCallsOfAFleetThatFailsAreSpread(t *testing.T) {
	const relays = 300
	calls := failAll(newCallers(relays, 60), 2, 320)
	perSecond := float64(sum(calls[20:])) / 300
	t.Logf("%.1f calls a second in the long run; the first ones %v", perSecond, calls[:16])
	if perSecond >= relays/callSpread {
		t.Errorf("%.1f calls a second in the long run", perSecond)
	}
	if perSecond < relays/mostBackoff {
		t.Errorf("%.1f calls a second in the long run: no relay may wait longer than %v", perSecond, mostBackoff)
	}
}

func TestFirstCallsOfAFleetAreSpread(t *testing.T) {
	const relays = 300
	var first [int(callSpread) + 1]int
	for _, c := range newCallers(relays, 60) {
		first[int(c.next)]++
	}
	for second, calls := range first {
		if most := 1.5 * relays / callSpread; float64(calls) > most {
			t.Errorf("%d first calls in second %d, at most %.0f wanted", calls, second, most)
		}
	}
	if sum(first[:int(callSpread)]) != relays {
		t.Errorf("first calls behind %v: %v", callSpread, first)
	}
}

func TestSmallFleetCallsAboutEveryTwoSeconds(t *testing.T) {
	for _, relays := range []int{1, 2, 3, 5} {
		calls := failAll(newCallers(relays, 60), 0.1, 400)
		if mean := 400 / float64(sum(calls)); mean > 2 {
			t.Errorf("%d relays: a call every %.2f s", relays, mean)
		}
	}
	if first := newCallers(1, 60)[0].next; first != 0 {
		t.Errorf("a relay alone calls first at %v", first)
	}
}

// extremes draws many times and returns the least and the most.
func extremes(draw func() relay.Seconds) (least, most relay.Seconds) {
	least = Never
	for range 2000 {
		drawn := draw()
		least, most = math.Min(least, drawn), math.Max(most, drawn)
	}
	return least, most
}

func TestSilenceIsCalledBehindAtOnceThenBackedOff(t *testing.T) {
	b := NewBackoff(300, 60, rand.New(rand.NewSource(1)))
	if wait := b.Failed(true); wait != 0 {
		t.Fatalf("the first call behind a silence waits %v", wait)
	}
	second := b
	_, most := extremes(func() relay.Seconds { b := second; return b.Failed(true) })
	if most <= firstBackoff || most > 2*firstBackoff {
		t.Fatalf("the second waits up to %v", most)
	}
	b.Answered()
	b.Failed(false)
	if wait := b.Failed(true); wait == 0 {
		t.Fatal("a silence behind another failure is called behind at once")
	}
}

func TestBackoffDoublesUpToABoundAndAnAnswerResetsIt(t *testing.T) {
	b := NewBackoff(300, 60, rand.New(rand.NewSource(1)))
	check := func(want relay.Seconds) {
		t.Helper()
		now := b
		least, most := extremes(func() relay.Seconds { b := now; return b.Failed(false) })
		if most > want || most < 0.98*want || least > 0.02*want {
			t.Fatalf("between %v and %v, want up to %v", least, most, want)
		}
		b.Failed(false)
	}
	for _, want := range []relay.Seconds{2, 4, 8, 16, 16, 16} {
		check(want)
	}
	for range 2000 {
		b.Failed(false)
	}
	check(mostBackoff)
	b.Answered()
	check(firstBackoff)
}

func TestPeerAnsweredSpreadsTheNextCalls(t *testing.T) {
	b := NewBackoff(300, 60, rand.New(rand.NewSource(1)))
	for range 10 {
		b.Failed(false)
	}
	least, most := extremes(b.PeerAnswered)
	if least > 0.02*callSpread || most > callSpread || most < 0.98*callSpread {
		t.Fatalf("between %v and %v", least, most)
	}
	if _, most = extremes(func() relay.Seconds { b := b; return b.Failed(false) }); most > 2*firstBackoff {
		t.Fatalf("the next failure waits up to %v", most)
	}
	b.Answered()
	b.PeerAnswered()
	if b.failures != 0 {
		t.Fatalf("%d failures behind an answer", b.failures)
	}
}

func TestBackoffKeepsToTheTimeThatSettingsAllow(t *testing.T) {
	const askEvery = 2.0
	b := NewBackoff(300, askEvery, rand.New(rand.NewSource(1)))
	if _, most := extremes(b.First); most > askPart*askEvery {
		t.Errorf("the first call after up to %v", most)
	}
	if _, most := extremes(func() relay.Seconds { return b.Failed(false) }); most > askPart*failedFactor*askEvery {
		t.Errorf("a failed call again after up to %v", most)
	}
}
