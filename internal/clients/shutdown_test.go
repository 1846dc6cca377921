package clients

import (
	"testing"

	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
)

// TestNewConnectionDuringShutdown accepts a connection during the shutdown. It must get time for its first query, and
// be closed after the response.
func TestNewConnectionDuringShutdown(t *testing.T) {
	h := newHarness(t, 100, 10)
	ended := false
	h.server.shuttingDown, h.server.onShutdown = true, func() { ended = true }
	h.server.respondBy = h.Clock.Now() + 60
	client := h.dial()
	h.waitFor("the connection to be accepted", func() bool { return len(h.server.conns) == 1 })
	client.Write(startupMessage)
	if client.Write(newQuery()); len(h.server.conns) != 1 {
		t.Fatal("closed before its first query")
	}
	var c *conn
	for c = range h.server.conns {
	}
	h.waitFor("the request to be processed", func() bool { return c.current != nil && c.current.request != nil })
	h.finish(c)
	h.waitFor("the connection to be closed after the response", func() bool { return len(h.server.conns) == 0 })
	if code := client.readUntil('Z'); code != "" {
		t.Error("the startup was answered with error", code)
	}
	if code := client.readUntil('Z'); code != "" || !client.atEnd() {
		t.Error("no successful response, or more input after it:", code)
	}
	h.server.stopAccepting()
	if h.waitFor("the end of the shutdown", func() bool { return ended }); !ended {
		t.Error("onShutdown was not called")
	}
}

// TestQueriesAfterSigtermEndBeforeSigkill checks that the deadline of a query read during the shutdown is shortened to
// the time by which the program has to respond before it may be killed.
func TestQueriesAfterSigtermEndBeforeSigkill(t *testing.T) {
	h := newHarness(t, 100, 10)
	client, c := h.session()
	h.server.Shutdown(func() {})
	h.server.respondBy = h.Clock.Now() + 0.5
	client.Write(newQuery()) // d=900
	h.waitFor("the request to be processed", func() bool { return c.current != nil && c.current.request != nil })
	if until := c.current.request.Deadline; until > h.server.respondBy+1e-9 || until < h.server.respondBy-0.4 {
		t.Errorf("the deadline of the query is %v, want one in the 0.4 s before %v", until, h.server.respondBy)
	}
	h.finish(c)
}

// TestShutdownTimes guards against a relay that ends after SIGTERM while requests that it has taken may still be open: for
// every longest deadline, requests from after SIGTERM get their answers before those that are left are aborted, then the
// program ends, and it does so before SIGKILL if no deadline lasts longer.
func TestShutdownTimes(t *testing.T) {
	const (
		sigterm     = 100.0
		step        = 0.01
		maxDeadline = 12.0
		lateness    = 0.05 // of a request's end after its deadline
	)
	for longest := step; longest < maxDeadline; longest += step {
		times := newShutdownTimes(sigterm, longest)
		earliestKill := sigterm + min(longest, 3) + 0.7
		if times.respondBy >= earliestKill || times.abort < times.respondBy+lateness-1e-9 || times.end <= times.abort {
			t.Errorf("longest deadline %.2f s: the times %+v are out of order", longest, times)
		}
		if times.abort < sigterm+longest+lateness {
			t.Errorf("longest deadline %.2f s: requests from before SIGTERM are aborted at %.2f", longest, times.abort)
		}
		if longest <= 3 && times.end >= earliestKill {
			t.Errorf("longest deadline %.2f s: the end at %.2f is not before SIGKILL", longest, times.end)
		}
	}
}

// TestHoldUpFitsIntoTheEndOfAShutdown guards against final responses that a hold-up delays beyond the earliest SIGKILL.
func TestHoldUpFitsIntoTheEndOfAShutdown(t *testing.T) {
	const (
		step        = 0.01
		maxDeadline = 12.0
		holdUp      = 0.15
		writeTime   = 0.05
	)
	for longest := step; longest < maxDeadline; longest += step {
		times := newShutdownTimes(0, longest)
		if earliestKill := min(longest, 3) + 0.7; times.refuse+holdUp+writeTime > earliestKill+1e-9 {
			t.Errorf("longest deadline %.2f s: final responses from %.2f s on, SIGKILL at %.2f s", longest, times.refuse, earliestKill)
		}
	}
}

// TestLateRequestBehindALongOneIsAnswered guards against a request that SIGKILL finds unanswered, as one from before SIGTERM whose
// client waits for longer is open on its connection.
func TestLateRequestBehindALongOneIsAnswered(t *testing.T) {
	h := newHarness(t, 100, 10)
	client, c := h.session()
	client.Write(newQuery())
	h.waitFor("the request to begin", func() bool { return c.begun })
	c.current.request.Deadline = h.Clock.Now() + 60
	ended := false
	h.server.Shutdown(func() { ended = true })
	h.server.refuseRequests()
	if h.waitFor("the listener to close", h.server.listenerClosed.Load); c.current.request.Status != pipeline.StatusOpen {
		t.Fatal("a request that may outlast SIGKILL was ended")
	}
	client.Write(newQuery())
	h.waitFor("the connection to be closed", func() bool { return len(h.server.conns) == 0 })
	if code := client.readUntil('Z'); code != pgwire.CodeSystemError {
		t.Errorf("the first request got code %q", code)
	}
	if code := client.readUntil('Z'); code != pgwire.CodeShuttingDown || !client.atEnd() {
		t.Errorf("the request behind it got code %q, or more came", code)
	}
	if !ended {
		t.Error("the shutdown does not end")
	}
}

// TestShutdownEndsWhenResponsesAreWritten guards against an end while responses have not reached their sockets, whichever steps
// are due together.
func TestShutdownEndsWhenResponsesAreWritten(t *testing.T) {
	h := newHarness(t, 100, 10)
	client, c := h.session()
	client.Write(newQuery())
	h.waitFor("the request to begin", func() bool { return c.begun })
	ended := false
	h.server.Shutdown(func() { ended = true })
	h.waitFor("the writer of the startup's response to end", func() bool { return !c.outbox.busy() })
	c.outbox.mu.Lock()
	c.outbox.writing = true // the writer of the next response gets no processor time
	c.outbox.mu.Unlock()
	h.server.refuseRequests()
	h.server.abortRequests()
	h.server.closeAnswered()
	h.applyPosted()
	if ended || c.closing {
		t.Error("ended or closed with a response that is not written")
	}
	go c.writeOutbox()
	if code := client.readUntil('Z'); code != pgwire.CodeSystemError {
		t.Errorf("the request got code %q", code)
	}
	h.waitFor("the end of the shutdown", func() bool { return ended })
	if !client.atEnd() {
		t.Error("more came behind the response")
	}
}
