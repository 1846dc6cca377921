package discovery

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/membership"
	"lichenroad/relay"
)

// notifiedBy returns the earliest time, counted from the start of a poll, at which the relay can count as notified of
// changes that the poll missed because it stalled: 6 s after the stall or, if that is later, 2 s after the end of the
// poll's wait. The earliest stall is at the start of the poll.
func notifiedBy(p poll) time.Duration { return max(6*time.Second, p.wait+2*time.Second) }

// TestStalledWatchIsDetectedInTime checks that enough time is left when a poll is detected as stalled: the client must be
// able to poll again, and once more if that fails, before the relay counts as notified of the missed changes.
func TestStalledWatchIsDetectedInTime(t *testing.T) {
	const timeToRetry = 1500 * time.Millisecond // 1 s for a retry that fails, and 0.5 s for the next one
	for seed := range int64(1000) {
		schedule := newPollSchedule(seed, newPollSettings(false, 0.25))
		if first := schedule.nextPoll(0); first.path != listPath || first.wait != 0 || notifiedBy(first)-first.timeout < timeToRetry {
			t.Fatalf("the first poll should fetch the full list without a wait and time out early enough: %+v", first)
		}
		schedule.accept(List{Generation: 7, Full: true}, watchCommanded)
		next := schedule.nextPoll(0)
		if next.path != fmt.Sprintf("%s?after=7&wait_ms=%d", listPath, next.wait.Milliseconds()) {
			t.Fatalf("the second poll should fetch the changes after generation 7: %+v", next)
		}
		if next.timeout <= next.wait || notifiedBy(next)-next.timeout < timeToRetry {
			t.Fatalf("seed %d: the poll times out after %v, the relay counts as notified after %v",
				seed, next.timeout, notifiedBy(next))
		}
		if next.wait > limits.MaxWatchTime || next.wait < limits.MaxWatchTime/2 {
			t.Fatalf("seed %d: the poll waits %v, want %v to %v", seed, next.wait, limits.MaxWatchTime/2, limits.MaxWatchTime)
		}
	}
}

// TestWatchEndsWhenTheListHasToBeConfirmed guards against a relay that rejects requests until the end of a long watch, although
// discovery would confirm its list at once: after a change of the address only an answer after a given time counts.
func TestWatchEndsWhenTheListHasToBeConfirmed(t *testing.T) {
	const first, second = relay.Seconds(23.75), relay.Seconds(25.75)
	for _, c := range []struct{ now, want relay.Seconds }{
		{20, first}, {23.5, first}, {23.7499, first}, {23.75, second}, {24, second}, {25.749, second}, {25.75, membership.Never}, {30, membership.Never},
	} {
		schedule := newPollSchedule(1, newPollSettings(false, 0.25))
		schedule.confirmAfter([]relay.Seconds{first, second})
		schedule.accept(List{Generation: 7, Full: true}, watchCommanded)
		next := schedule.nextPoll(c.now)
		ends := c.now + next.wait.Seconds()
		if c.want == membership.Never {
			if next.wait < limits.MaxWatchTime/2 {
				t.Errorf("at %v: the poll waits %v, though nothing has to be confirmed", c.now, next.wait)
			}
			continue
		}
		if ends <= c.want || ends > c.want+0.02 {
			t.Errorf("at %v: the wait ends at %v, want soon after %v", c.now, ends, c.want)
		}
		if next.timeout < limits.PollResponseTimeout || notifiedBy(next)-next.timeout < 1500*time.Millisecond {
			t.Errorf("at %v: a poll with wait %v times out after %v", c.now, next.wait, next.timeout)
		}
	}
}

// TestFleetSpreadsItsPollsAfterAStall lets the watches of 350 relays, which started at the same time, stall together. The
// relays must not all poll again at the same time.
func TestFleetSpreadsItsPollsAfterAStall(t *testing.T) {
	const maxPerSecond = 70
	var detectedAt []time.Duration
	for seed := range int64(350) {
		schedule := newPollSchedule(seed, newPollSettings(false, 0.25))
		schedule.generation, schedule.established = 1, true
		detectedAt = append(detectedAt, schedule.nextPoll(0).timeout)
	}
	sort.Slice(detectedAt, func(i, j int) bool { return detectedAt[i] < detectedAt[j] })
	mostPerSecond := 0
	for first, last := 0, 0; last < len(detectedAt); last++ {
		for detectedAt[last]-detectedAt[first] > time.Second {
			first++
		}
		mostPerSecond = max(mostPerSecond, last-first+1)
	}
	if mostPerSecond > maxPerSecond {
		t.Errorf("%d of %d relays poll again within one second, want at most %d", mostPerSecond, len(detectedAt), maxPerSecond)
	}
}

// TestPushedWatchIsRetriedWithBackoff checks the retries of a watch for pushed lists: at once after a stall, and otherwise
// within a fraction of the drain grace, however often the watch fails.
func TestPushedWatchIsRetriedWithBackoff(t *testing.T) {
	for _, grace := range []relay.Seconds{0.05, 0.25, 1, 10} {
		schedule := newPollSchedule(1, newPollSettings(true, grace))
		if retry, wait := schedule.pollFailed(true); !retry || wait != 0 {
			t.Error("not retried at once after a stall:", retry, wait)
		}
		for range 20 {
			retry, wait := schedule.pollFailed(false)
			if !retry || wait <= 0 || wait > limits.MaxBackoff || wait.Seconds() > grace*limits.PushedListPollFraction {
				t.Errorf("drain grace %v: retry %v after %v", grace, retry, wait)
			}
		}
	}
	if retry, _ := newPollSchedule(1, newPollSettings(false, 0.25)).pollFailed(true); retry {
		t.Error("a commanded watch was retried without a command")
	}
}

// TestOlderFullListDoesNotUndoAChange fetches a full list that is older than a change received on the watch. The change
// must not be undone.
func TestOlderFullListDoesNotUndoAChange(t *testing.T) {
	schedule := newPollSchedule(1, newPollSettings(false, 0.25))
	schedule.accept(List{Generation: 5, Full: true}, watchCommanded)
	if update := schedule.accept(List{Generation: 5}, watchContinued); update.notify {
		t.Error("the decision module is notified of an answer without changes")
	}
	change := List{Generation: 6, Endpoints: make([]ListedEndpoint, 1)}
	if update := schedule.accept(change, watchContinued); !update.notify || update.kind != relay.ListDelta {
		t.Error("the decision module is not notified of a change")
	}
	older := List{Generation: 5, Full: true, Endpoints: make([]ListedEndpoint, 2)}
	update := schedule.accept(older, fetchCommanded)
	if !update.notify || update.kind != relay.ListDelta || len(update.list.Endpoints) != 0 || schedule.generation != 6 {
		t.Errorf("an older full list undid the change: %+v, generation %d", update, schedule.generation)
	}
	update = schedule.accept(List{Generation: 2, Full: true}, watchContinued)
	if !update.notify || update.kind != relay.ListFull || schedule.generation != 2 {
		t.Error("a full list on the watch does not set the generation")
	}
}
