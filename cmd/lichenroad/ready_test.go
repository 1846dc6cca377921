package main

import (
	"encoding/json"
	"testing"
	"time"

	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
)

// TestReadyWhateverDiscoverySays starts with each kind of cached list while discovery fails: the relay is ready in time,
// serves from the endpoints that it knows, and rejects where it knows none.
func TestReadyWhateverDiscoverySays(t *testing.T) {
	for name, c := range map[string]struct {
		known  string // empty: the present list
		within time.Duration
		code   string
	}{
		"a good list":            {"", time.Second, ""},
		"an empty list":          {`{"generation":1,"reset":true,"instances":[]}`, time.Second, pgwire.CodeFull},
		"none":                   {"null", 8 * time.Second, pgwire.CodeFull},
		"one that can't be read": {`{"generation":"x"}`, 8 * time.Second, pgwire.CodeFull},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeDiscovery(t, newFakeEndpoint(t, always(succeed)))
			f.down = true
			begun := time.Now()
			p := startRelay(t, f, func(to *config.Config) {
				if c.known != "" {
					to.KnownList = json.RawMessage(c.known)
				}
			})
			cl := dialClient(t, p, pgwire.QueryMessage("")...)
			cl.readUntil('Z')
			cl.readUntil('I')
			cl.readUntil('Z')
			if took := time.Since(begun); took > c.within {
				t.Errorf("ready after %v", took)
			}
			cl.send(selectStatement("look", 300))
			if _, code := cl.readResponse(); code != c.code {
				t.Errorf("%q", code)
			}
			checkCounters(t, p)
		})
	}
}

// TestSigtermBeforeReady ends a relay that has no list yet: requests that wait are rejected, and the program ends.
func TestSigtermBeforeReady(t *testing.T) {
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
		t.Error("the connection stays")
	}
	select {
	case <-p.stop:
	case <-time.After(testTimeout):
		t.Error("the program does not end")
	}
}
