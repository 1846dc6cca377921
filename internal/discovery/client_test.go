package discovery

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// TestStalledWatchIsRestarted stalls before an answer and within one, while an endpoint drains: the watch is given up, and
// the next one, on a connection of its own, brings the drain. Where lists are pushed nobody orders that.
func TestStalledWatchIsRestarted(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, begun := range map[string]string{
			"before an answer": "",
			"within an answer": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener",
		} {
			t.Run(fmt.Sprint(name, " pushed ", pushed), func(t *testing.T) {
				service := newFakeDiscovery(t)
				host := newTestHost(t, service.address(), pushed).shortTimeouts()
				if begun != "" { // an answer that stalls is not waited for to the end
					host.setSettings(func(s *pollSettings) { s.maxWatchWait = 3 * testTimeout })
				}
				host.start()
				first := service.nextPoll()
				if !strings.Contains(first.path, "after=1&wait_ms=") {
					t.Error(first.path)
				}
				io.WriteString(first, begun)
				if !pushed {
					host.waitForUpdate(relay.ListWatchStalled)
					host.client.Watch(true, false)
				}
				next := service.nextPoll()
				if next.conn == first.conn || !strings.Contains(next.path, "after=1&") {
					t.Errorf("polled again on connection %d, after %d: %s", next.conn, first.conn, next.path)
				}
				next.answer(listBody(2, false, listEntry("DRAINING")))
				update := host.waitForUpdate(relay.ListDelta)
				if len(update.Endpoints) != 1 || update.Endpoints[0].State != relay.Draining || host.leavingCalls == 0 {
					t.Errorf("%+v, listener called %d times", update, host.leavingCalls)
				}
				if stalled := host.loop.Metrics.Get(metrics.DiscoveryStalled); stalled == 0 {
					t.Error("not counted")
				}
			})
		}
	}
}

// TestPushedListsNeedNoWatchCommand starts where lists are pushed: the watch is kept without a command, it outlives refusals
// and a lost connection, none of which the decision module learns of, and service opens with the first list.
func TestPushedListsNeedNoWatchCommand(t *testing.T) {
	service := newFakeDiscovery(t)
	host := newTestHost(t, service.address(), true)
	host.client.settings.firstPushedList = testTimeout
	host.start()
	first := service.nextPoll()
	host.waitForUpdate(relay.ListCached)
	if host.serviceOpen {
		t.Error("service opened with the cached list, though the agent has a newer one")
	}
	first.answer(listBody(2, false, listEntry("DRAINING")))
	if host.waitForUpdate(relay.ListDelta); !host.serviceOpen {
		t.Error("service not opened with the agent's list")
	}
	service.nextPoll().fail()
	service.nextPoll().Close()
	service.nextPoll().answer(listBody(3, false, listEntry("SERVING")))
	if update := host.waitForUpdate(relay.ListDelta); update.Endpoints[0].State != relay.Ready {
		t.Errorf("%+v", update)
	}
	host.checkNoFailures(host.updates)
}

// TestServiceOpensThoughTheAgentIsDown opens service at the agent's first refusal, and where it stalls, after a moment.
func TestServiceOpensThoughTheAgentIsDown(t *testing.T) {
	for name, stalls := range map[string]bool{"refuses": false, "stalls": true} {
		t.Run(name, func(t *testing.T) {
			service := newFakeDiscovery(t)
			host := newTestHost(t, service.address(), true)
			host.client.settings.firstPushedList = testTimeout
			if stalls {
				host.client.settings.firstPushedList = shortTimeout
			}
			host.start()
			first := service.nextPoll()
			if !stalls {
				first.fail()
			}
			host.checkServiceOpens("service stays closed")
		})
	}
}

// TestServiceOpensWithoutAnyList starts without a list at a service that has none to give: service opens after a while, so
// that requests are rejected; and at once where the program ends before that.
func TestServiceOpensWithoutAnyList(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		service := newFakeDiscovery(t)
		host := newTestHost(t, service.address(), pushed)
		host.client.settings.firstList, host.client.settings.firstPushedList = shortTimeout, shortTimeout
		host.client.Start()
		if !pushed {
			host.client.Watch(true, false)
		}
		host.checkServiceOpens("service stays closed, pushed:", pushed)
	}
	if s := newPollSettings(false, 0.25); s.firstList >= 10*time.Second || s.firstPushedList >= 10*time.Second {
		t.Error("not ready within 10 s")
	}
}

// TestWatchIsRestartedByCommand restarts a watch that waits: another poll goes out at once, on a connection of its own, and
// the end of the first is no failure.
func TestWatchIsRestartedByCommand(t *testing.T) {
	service := newFakeDiscovery(t)
	host := newTestHost(t, service.address(), false)
	host.start()
	first := service.nextPoll()
	host.client.Watch(true, true)
	next := service.nextPoll()
	if next.conn == first.conn || !strings.Contains(next.path, "after=1&") {
		t.Errorf("connection %d after %d: %s", next.conn, first.conn, next.path)
	}
	next.answer(listBody(2, false, listEntry("DRAINING")))
	host.waitForUpdate(relay.ListDelta)
	service.nextPoll()
	host.client.Watch(true, true)
	service.nextPoll().Close() // this one was not given up
	host.waitForUpdate(relay.ListFetchFailed)
	if failures := host.loop.Metrics.Get(metrics.DiscoveryFailed); failures != 1 {
		t.Errorf("%d failures", failures)
	}
}

// TestPollIsRetriedWhenTheServerClosedTheIdleConnection closes the connection of the watch just as the next poll comes: that
// is sent again on a new connection, and no failure is reported, which would be backed off from. The end of a new connection,
// or of a poll that waited, is a failure.
func TestPollIsRetriedWhenTheServerClosedTheIdleConnection(t *testing.T) {
	service := newFakeDiscovery(t)
	host := newTestHost(t, service.address(), false)
	host.start()
	first := service.nextPoll()
	first.answer(listBody(2, false, listEntry("SERVING")))
	unanswered := service.nextPoll()
	unanswered.Close()
	next := service.nextPoll()
	if unanswered.conn != first.conn || next.conn == first.conn || !strings.HasPrefix(next.path, listPath+"?after=2&") {
		t.Errorf("%+v, then %+v", unanswered, next)
	}
	next.answer(listBody(3, false, listEntry("DRAINING")))
	for draining := false; !draining; {
		draining = host.waitForUpdate(relay.ListDelta).Endpoints[0].State == relay.Draining
	}
	if failures := host.loop.Metrics.Get(metrics.DiscoveryFailed); failures != 0 || len(host.updates) != 0 {
		t.Errorf("%d failures, %+v", failures, host.updates)
	}
	service.nextPoll()
	host.client.Watch(true, true) // on a new connection, that ends at once
	service.nextPoll().Close()
	host.waitForUpdate(relay.ListFetchFailed)
}
