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

// TestStalledWatchIsRestarted lets a watch stall before or within an answer while an endpoint drains. The watch must be
// abandoned, and the next one, on a new connection, must receive the drain. Where lists are pushed, this happens without a
// command.
func TestStalledWatchIsRestarted(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, partialAnswer := range map[string]string{
			"before an answer": "",
			"within an answer": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener",
		} {
			t.Run(fmt.Sprint(name, " pushed ", pushed), func(t *testing.T) {
				service := newFakeDiscovery(t)
				host := newTestHost(t, service.address(), pushed).shortTimeouts()
				if partialAnswer != "" { // a stall within an answer must be detected before the poll times out
					host.setSettings(func(s *pollSettings) { s.maxWatchWait = 3 * testTimeout })
				}
				host.start()
				first := service.nextPoll()
				if !strings.Contains(first.path, "after=1&wait_ms=") {
					t.Error("the first poll does not wait for changes after generation 1:", first.path)
				}
				io.WriteString(first, partialAnswer)
				if !pushed {
					host.waitForUpdate(relay.ListWatchStalled)
					host.client.Watch(true, false)
				}
				next := service.nextPoll()
				if next.conn == first.conn || !strings.Contains(next.path, "after=1&") {
					t.Errorf("polled again on connection %d after connection %d: %s", next.conn, first.conn, next.path)
				}
				next.answer(listBody(2, false, listEntry("DRAINING")))
				update := host.waitForUpdate(relay.ListDelta)
				if len(update.Endpoints) != 1 || update.Endpoints[0].State != relay.Draining || host.leavingCalls == 0 {
					t.Errorf("want one draining endpoint: %+v; listener called %d times", update, host.leavingCalls)
				}
				if stalled := host.loop.Metrics.Get(metrics.DiscoveryStalled); stalled == 0 {
					t.Error("the stall was not counted")
				}
			})
		}
	}
}

// TestPushedListsNeedNoWatchCommand starts a client at a site where lists are pushed. It must maintain the watch without a
// command, even after an error status and a lost connection, of which the decision module must not be notified. Service
// must open with the first list.
func TestPushedListsNeedNoWatchCommand(t *testing.T) {
	service := newFakeDiscovery(t)
	host := newTestHost(t, service.address(), true)
	host.client.settings.firstPushedListTimeout = testTimeout
	host.start()
	first := service.nextPoll()
	host.waitForUpdate(relay.ListCached)
	if host.serviceOpen {
		t.Error("service opened with the cached list, although the agent has a newer one")
	}
	first.answer(listBody(2, false, listEntry("DRAINING")))
	if host.waitForUpdate(relay.ListDelta); !host.serviceOpen {
		t.Error("service did not open with the agent's list")
	}
	service.nextPoll().fail()
	service.nextPoll().Close()
	service.nextPoll().answer(listBody(3, false, listEntry("SERVING")))
	if update := host.waitForUpdate(relay.ListDelta); update.Endpoints[0].State != relay.Ready {
		t.Errorf("want one ready endpoint: %+v", update)
	}
	host.checkNoFailures(host.updates)
}

// TestServiceOpensThoughTheAgentIsDown checks that service opens at the agent's first error status, or after a short
// timeout if the agent stalls.
func TestServiceOpensThoughTheAgentIsDown(t *testing.T) {
	for name, stalls := range map[string]bool{"refuses": false, "stalls": true} {
		t.Run(name, func(t *testing.T) {
			service := newFakeDiscovery(t)
			host := newTestHost(t, service.address(), true)
			host.client.settings.firstPushedListTimeout = testTimeout
			if stalls {
				host.client.settings.firstPushedListTimeout = shortTimeout
			}
			host.start()
			first := service.nextPoll()
			if !stalls {
				first.fail()
			}
			host.checkServiceOpens("service did not open")
		})
	}
}

// TestServiceOpensWithoutAnyList starts a client without a list, while discovery does not answer. Service must open after a
// timeout, so that requests are rejected instead of left without an answer.
func TestServiceOpensWithoutAnyList(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		service := newFakeDiscovery(t)
		host := newTestHost(t, service.address(), pushed)
		host.client.settings.firstListTimeout, host.client.settings.firstPushedListTimeout = shortTimeout, shortTimeout
		host.client.Start()
		if !pushed {
			host.client.Watch(true, false)
		}
		host.checkServiceOpens("service did not open, pushed:", pushed)
	}
	if s := newPollSettings(false, 0.25); s.firstListTimeout >= 10*time.Second || s.firstPushedListTimeout >= 10*time.Second {
		t.Error("service does not open within 10 s without a list")
	}
}

// TestWatchIsRestartedByCommand restarts a waiting watch by command. Another poll must be sent at once on a new connection,
// and the end of the first poll is not a failure.
func TestWatchIsRestartedByCommand(t *testing.T) {
	service := newFakeDiscovery(t)
	host := newTestHost(t, service.address(), false)
	host.start()
	first := service.nextPoll()
	host.client.Watch(true, true)
	next := service.nextPoll()
	if next.conn == first.conn || !strings.Contains(next.path, "after=1&") {
		t.Errorf("polled again on connection %d after connection %d: %s", next.conn, first.conn, next.path)
	}
	next.answer(listBody(2, false, listEntry("DRAINING")))
	host.waitForUpdate(relay.ListDelta)
	service.nextPoll()
	host.client.Watch(true, true)
	service.nextPoll().Close() // this poll was not abandoned by the client
	host.waitForUpdate(relay.ListFetchFailed)
	if failures := host.loop.Metrics.Get(metrics.DiscoveryFailed); failures != 1 {
		t.Errorf("%d failures, want 1", failures)
	}
}

// TestPollIsRetriedWhenTheServerClosedTheIdleConnection closes the connection of the watch just as the next poll arrives.
// The poll must be sent again on a new connection. No failure must be reported, because it would cause a backoff. The end
// of a new connection, like that of a poll that has been waiting, is a failure.
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
		t.Errorf("not retried on a new connection: %+v, then %+v", unanswered, next)
	}
	next.answer(listBody(3, false, listEntry("DRAINING")))
	for draining := false; !draining; {
		draining = host.waitForUpdate(relay.ListDelta).Endpoints[0].State == relay.Draining
	}
	if failures := host.loop.Metrics.Get(metrics.DiscoveryFailed); failures != 0 || len(host.updates) != 0 {
		t.Errorf("%d failures, unexpected updates %+v", failures, host.updates)
	}
	service.nextPoll()
	host.client.Watch(true, true) // on a new connection, which ends at once
	service.nextPoll().Close()
	host.waitForUpdate(relay.ListFetchFailed)
}
