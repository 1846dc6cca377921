package discovery

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// TestAddressChangeKeepsThePreviousWatchUntilTheNewAddressAnswers changes the address. Lists from the old address must be
// used until the new one answers. After that, only its leaving endpoints must be used, and the end of its watch is not a
// failure.
func TestAddressChangeKeepsThePreviousWatchUntilTheNewAddressAnswers(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			previous, current := newFakeDiscovery(t), newFakeDiscovery(t)
			host := newTestHost(t, previous.address(), pushed)
			host.start()
			watch := previous.nextPoll()
			host.waitForUpdate(relay.ListCached)
			host.client.ChangeAddress(current.address(), host.loop.Clock.Now())
			full := current.nextPoll()
			if full.path != listPath {
				t.Error("polled for something other than the full list:", full.path)
			}
			watch.answer(listBody(2, false, listEntry("DRAINING")))
			if update := host.waitForUpdate(relay.ListDelta); update.Endpoints[0].State != relay.Draining {
				t.Errorf("want one draining endpoint: %+v", update)
			}
			watch = previous.nextPoll()
			full.answer(listBody(40, true, listEntry("DELETED")))
			host.waitForUpdate(relay.ListFull)
			watch.answer(listBody(3, false, listEntry("SERVING")))
			otherEntry := strings.Replace(listEntry("SERVING"), "s-1", "s-2", 1)
			previous.nextPoll().answer(listBody(4, false, listEntry("DRAINING"), otherEntry))
			update := host.waitForUpdate(relay.ListDelta)
			if len(update.Endpoints) != 1 || update.Endpoints[0].State != relay.Draining {
				t.Errorf("want one draining endpoint: %+v", update)
			}
			current.nextPoll().answer(listBody(41, false, listEntry("SERVING")))
			host.waitForUpdate(relay.ListDelta)
			if failures := host.loop.Metrics.Get(metrics.DiscoveryFailed); len(host.updates) != 0 || failures != 0 {
				t.Errorf("unexpected updates %+v, %d failures", host.updates, failures)
			}
			stop := make(chan struct{})
			defer close(stop)
			go host.loop.Run(stop)
			watch = previous.nextPoll()
			watch.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := watch.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Error("the connection of the previous watch was not closed:", err)
			}
		})
	}
}

// TestSuccessiveAddressChanges changes the address again before the new one has answered, and then back to the first one.
// Each time the client must poll for the full list. The end of a poll at an earlier address is not a failure, and a late
// answer from there must be ignored.
func TestSuccessiveAddressChanges(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			first, second, third := newFakeDiscovery(t), newFakeDiscovery(t), newFakeDiscovery(t)
			host := newTestHost(t, first.address(), pushed)
			host.start()
			first.nextPoll()
			host.waitForUpdate(relay.ListCached)
			host.client.ChangeAddress(second.address(), host.loop.Clock.Now())
			unanswered := second.nextPoll()
			host.client.ChangeAddress(third.address(), host.loop.Clock.Now())
			full := third.nextPoll()
			if full.path != listPath {
				t.Error("polled for something other than the full list:", full.path)
			}
			unanswered.Close()
			full.answer(listBody(7, true, listEntry("SERVING")))
			host.waitForUpdate(relay.ListFull)
			third.nextPoll()
			host.client.ChangeAddress(first.address(), host.loop.Clock.Now())
			back := first.nextPoll()
			if back.path != listPath {
				t.Error("after the change back, polled for something other than the full list:", back.path)
			}
			back.answer(listBody(3, true, listEntry("DRAINING"))) // its generations are unrelated to those before
			update := host.waitForUpdate(relay.ListFull)
			if len(update.Endpoints) != 1 || update.Endpoints[0].State != relay.Draining {
				t.Errorf("want one draining endpoint: %+v", update)
			}
			host.checkNoFailures(host.allUpdates)
		})
	}
}
