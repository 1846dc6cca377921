package main

import (
	"encoding/json"
	"testing"
	"time"

	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
)

// TestReadyWithoutDiscovery starts a relay with different cached lists while discovery fails: it is ready in time, serves
// from the endpoints that it knows, and rejects requests if it knows none.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, c := range map[string]struct {
		known  string // cached list; empty: the current list
		within time.Duration
		code   string
	}{
		"a good list":      {"", time.Second, ""},
		"an empty list":    {`{"generation":1,"reset":true,"instances":[]}`, time.Second, pgwire.CodeTooManyConnections},
		"no list":          {"null", 8 * time.Second, pgwire.CodeTooManyConnections},
		"a malformed list": {`{"generation":"x"}`, 8 * time.Second, pgwire.CodeTooManyConnections},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeDiscovery(t, newFakeEndpoint(t, always(succeed)))
			f.down = true
			begin := time.Now()
			p := startRelay(t, f, func(to *config.Config) {
				if c.known != "" {
					to.KnownList = json.RawMessage(c.known)
				}
			})
			cl := dialClient(t, p, pgwire.QueryMessage("")...)
			cl.readUntil('Z')
			cl.readUntil('I')
			cl.readUntil('Z')
			if took := time.Since(begin); took > c.within {
				t.Errorf("ready after %v, want %v", took, c.within)
			}
			cl.send(selectStatement("look", 300))
			if _, code := cl.readResponse(); code != c.code {
				t.Errorf("code %q, want %q", code, c.code)
			}
			checkCounters(t, p)
		})
	}
}

// TestShutdownBeforeReady shuts down a relay that has no list yet: the waiting client gets its response, its connection
// is closed, and the relay stops.
func TestShutdownBeforeReady(t *testing.T) {
	f := newFakeDiscovery(t)
	f.down = true
	p := startRelay(t, f, func(to *config.Config) { to.KnownList = nil })
	cl := dialClient(t, p, pgwire.QueryMessage("")...)
	cl.readUntil('Z')
	waitForCounter(t, p, metrics.DiscoveryFailed, 1)
	p.shutdownGracefully()
	cl.readUntil('I')
	cl.readUntil('Z')
	if !cl.closedByRelay() {
		t.Error("the client's connection is not closed")
	}
	select {
	case <-p.stop:
	case <-time.After(testTimeout):
		t.Error("the relay does not stop")
	}
}
