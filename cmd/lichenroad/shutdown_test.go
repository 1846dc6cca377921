package main

import (
	"net"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/config"
	"lichenroad/internal/pgwire"
)

// TestGracefulShutdown shuts a relay down with an idle and a busy client: for a short time it still serves both and a
// new client, then it closes each connection between its requests, and stops.
func TestGracefulShutdown(t *testing.T) {
	release := make(chan struct{})
	endpoint := newFakeEndpoint(t, func(s string) behaviour {
		if strings.Contains(s, "c=pay") {
			<-release
		}
		return succeed
	})
	p := startRelay(t, newFakeDiscovery(t, endpoint), nil)
	busy, idle := dialClient(t, p), dialClient(t, p)
	busy.readUntil('Z')
	idle.readUntil('Z')
	busy.send(selectStatement("pay", 1900))
	<-endpoint.received
	p.shutdownGracefully()
	idle.send(selectStatement("look", 1500)) // still served
	if v, code := idle.readResponse(); v == "" {
		t.Error(code)
	}
	late := dialClient(t, p, pgwire.QueryMessage(selectStatement("look", 1500))...)
	late.readUntil('Z')
	if v, code := late.readResponse(); v == "" {
		t.Error("a client that connected just after the signal was not served:", code)
	}
	if !idle.closedByRelay() {
		t.Error("the idle connection is not closed cleanly")
	}
	idle.Close()
	close(release)
	if v, code := busy.readResponse(); v == "" || !busy.closedByRelay() {
		t.Error("the open request is not answered, or its connection not closed after that:", code)
	}
	busy.Close()
	late.Close()
	select {
	case <-p.stop:
	case <-time.After(testTimeout):
		t.Error("the relay does not stop")
	}
	if _, err := net.Dial("tcp", p.clients.Addr().String()); err == nil {
		t.Error("the listener still accepts connections")
	}
}

// checkEndOfShutdown checks that a relay closes a client's connection after its last response and stops before the platform
// would kill it.
func checkEndOfShutdown(t *testing.T, p *relayProcess, c *client, kill time.Time) {
	t.Helper()
	if !c.closedByRelay() {
		t.Error("the connection is not closed after the response")
	}
	c.Close()
	select {
	case <-p.stop:
	case <-time.After(testTimeout):
		t.Error("the relay does not stop")
	}
	if late := time.Since(kill); late >= 0 {
		t.Errorf("the relay stopped %v after the earliest SIGKILL", late)
	}
}

// TestRequestsAtTheEndOfAShutdownAreAnswered guards against a relay that ends after SIGTERM with requests that it took
// unanswered, as their endpoint hangs. With a longest deadline of 3 s, a request that begins more than 0.5 s after SIGTERM
// is open until just before the end.
func TestRequestsAtTheEndOfAShutdownAreAnswered(t *testing.T) {
	t.Parallel()
	const (
		deadlineMillis = 3000
		begin          = 530 * time.Millisecond // after SIGTERM; the connection is kept as a request is open on it
	)
	release := make(chan struct{})
	endpoint := newFakeEndpoint(t, func(s string) behaviour {
		if strings.Contains(s, "c=pay") {
			<-release
			return succeed
		}
		return noResponse
	})
	p := startRelay(t, newFakeDiscovery(t, endpoint), func(c *config.Config) {
		for i := range c.Site.Classes {
			c.Site.Classes[i].Deadline = deadlineMillis / 1e3
		}
	})
	c := dialClient(t, p)
	c.readUntil('Z')
	c.send(selectStatement("pay", deadlineMillis))
	<-endpoint.received
	sigterm := time.Now()
	p.shutdownGracefully()
	c.send(selectStatement("look", deadlineMillis)) // begins when the request before it has its response
	time.AfterFunc(begin, func() { close(release) })
	if v, code := c.readResponse(); v == "" {
		t.Error("the request from before SIGTERM failed:", code)
	}
	if v, code := c.readResponse(); v != "" || code == "closed" {
		t.Errorf("got value %q, code %q; want an error response to the request that hangs", v, code)
	}
	checkEndOfShutdown(t, p, c, sigterm.Add(3700*time.Millisecond))
}

// TestRequestThatOutlastsAShutdownIsAnswered guards against a relay that ends after SIGTERM with a request unanswered whose
// client waits for longer than any class of the settings. The relay must answer it and end before SIGKILL.
func TestRequestThatOutlastsAShutdownIsAnswered(t *testing.T) {
	t.Parallel()
	endpoint := newFakeEndpoint(t, always(noResponse))
	p := startRelay(t, newFakeDiscovery(t, endpoint), nil) // the longest deadline is 2 s
	c := dialClient(t, p)
	c.readUntil('Z')
	c.send(selectStatement("pay", 8000))
	<-endpoint.received
	sigterm := time.Now()
	p.shutdownGracefully()
	if v, code := c.readResponse(); v != "" || code != pgwire.CodeSystemError {
		t.Errorf("got value %q, code %q; want that of a failed request", v, code)
	}
	checkEndOfShutdown(t, p, c, sigterm.Add(2700*time.Millisecond))
	checkCounters(t, p)
}
