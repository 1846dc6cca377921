package discovery

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/relay"
)

// notifiedBy is when what a poll missed counts as notified, counted from its start: 6 s after it stalled, or 2 s after its
// wait is over if that is later. A poll stalls at its start at the earliest.
func notifiedBy(p poll) time.Duration { return max(6*time.Second, p.wait+2*time.Second) }

// TestStalledWatchIsDetectedInTime checks how much time is left when a poll counts as stalled: the list has to be polled for
// again, and once more if that fails, before what was missed counts as notified.
func TestStalledWatchIsDetectedInTime(t *testing.T) {
	const timeToRetry = 1500 * time.Millisecond // for a poll that fails after a second, and half of one for the next
	for seed := range int64(1000) {
		schedule := newPollSchedule(seed, newPollSettings(false, 0.25))
		if first := schedule.nextPoll(); first.path != listPath || first.wait != 0 || notifiedBy(first)-first.timeout < timeToRetry {
			t.Fatalf("%+v", first)
		}
		schedule.accept(List{Generation: 7, Full: true}, watchCommanded)
		next := schedule.nextPoll()
		if next.path != fmt.Sprintf("%s?after=7&wait_ms=%d", listPath, next.wait.Milliseconds()) {
			t.Fatalf("%+v", next)
		}
		if next.timeout <= next.wait || notifiedBy(next)-next.timeout < timeToRetry {
			t.Fatalf("seed %d: given up after %v, notified after %v", seed, next.timeout, notifiedBy(next))
		}
		if next.wait > limits.MaxWatchTime || next.wait < limits.MaxWatchTime/2 {
			t.Fatalf("seed %d: waits %v", seed, next.wait)
		}
	}
}

// TestFleetSpreadsItsPollsAfterAStall stalls the watches of 350 relays, begun at one moment, all at once.
func TestFleetSpreadsItsPollsAfterAStall(t *testing.T) {
	const maxPerSecond = 70
	var detectedAt []time.Duration
	for seed := range int64(350) {
		schedule := newPollSchedule(seed, newPollSettings(false, 0.25))
		schedule.generation, schedule.established = 1, true
		detectedAt = append(detectedAt, schedule.nextPoll().timeout)
	}
	sort.Slice(detectedAt, func(i, j int) bool { return detectedAt[i] < detectedAt[j] })
	most := 0
	for first, last := 0, 0; last < len(detectedAt); last++ {
		for detectedAt[last]-detectedAt[first] > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	if most > maxPerSecond {
		t.Errorf("%d of %d relays poll again within one second", most, len(detectedAt))
	}
}

// TestPushedWatchIsRetriedWithBackoff retries a watch that nobody orders: at once after a stall, else within a part of the
// drain grace, however often it fails.
func TestPushedWatchIsRetriedWithBackoff(t *testing.T) {
	for _, grace := range []relay.Seconds{0.05, 0.25, 1, 10} {
		schedule := newPollSchedule(1, newPollSettings(true, grace))
		if retry, wait := schedule.pollFailed(true); !retry || wait != 0 {
			t.Error("after a stall:", retry, wait)
		}
		for range 20 {
			retry, wait := schedule.pollFailed(false)
			if !retry || wait <= 0 || wait > limits.MaxBackoff || wait.Seconds() > grace*limits.PushedListPollFraction {
				t.Errorf("grace %v: %v after %v", grace, retry, wait)
			}
		}
	}
	if retry, _ := newPollSchedule(1, newPollSettings(false, 0.25)).pollFailed(true); retry {
		t.Error("a watch that the decision module orders was retried without a command")
	}
}

// TestOlderFullListDoesNotUndoAChange has a full list cross an answer to the watch: the change in that holds.
func TestOlderFullListDoesNotUndoAChange(t *testing.T) {
	schedule := newPollSchedule(1, newPollSettings(false, 0.25))
	schedule.accept(List{Generation: 5, Full: true}, watchCommanded)
	if update := schedule.accept(List{Generation: 5}, watchContinued); update.notify {
		t.Error("notified of a poll without changes")
	}
	change := List{Generation: 6, Endpoints: make([]ListedEndpoint, 1)}
	if update := schedule.accept(change, watchContinued); !update.notify || update.kind != relay.ListDelta {
		t.Error("not notified of a change")
	}
	older := List{Generation: 5, Full: true, Endpoints: make([]ListedEndpoint, 2)}
	update := schedule.accept(older, fetchCommanded)
	if !update.notify || update.kind != relay.ListDelta || len(update.list.Endpoints) != 0 || schedule.generation != 6 {
		t.Errorf("an older full list undid the change: %+v, generation %d", update, schedule.generation)
	}
	update = schedule.accept(List{Generation: 2, Full: true}, watchContinued)
	if !update.notify || update.kind != relay.ListFull || schedule.generation != 2 {
		t.Error("a full list on the watch does not begin anew with its generation")
	}
}
