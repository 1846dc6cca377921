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
		"an empty list":          {`{"generation":1,"reset":true,"instances":[]}`, time.Second, pgwire.CodeTooManyConnections},
		"none":                   {"null", 8 * time.Second, pgwire.CodeTooManyConnections},
		"one that can't be read": {`{"generation":"x"}`, 8 * time.Second, pgwire.CodeTooManyConnections},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeDiscovery(t, newFakeEndpoint(t, always(succeed)))
			f.down = true
			begun := time.Now()
			p := running(t, f, func(to *config.Config) {
				if c.known != "" {
					to.KnownList = json.RawMessage(c.known)
				}
			})
			cl := dialClient(t, p, pgwire.QueryMessage("")...)
			cl.until('Z')
			cl.until('I')
			cl.until('Z')
			if took := time.Since(begun); took > c.within {
				t.Errorf("ready after %v", took)
			}
			cl.send(read("look", 300))
			if _, code := cl.answer(); code != c.code {
				t.Errorf("%q", code)
			}
			sums(t, p)
		})
	}
}

// TestSigtermBeforeReady ends a relay that has no list yet: requests that wait are rejected, and the program ends.
func TestSigtermBeforeReady(t *testing.T) {
	f := newFakeDiscovery(t)
	f.down = true
	p := running(t, f, func(to *config.Config) { to.KnownList = nil })
	cl := dialClient(t, p, pgwire.QueryMessage("")...)
	cl.until('Z')
	settled(t, p, metrics.DiscoveryFailed, 1)
	p.shutdownGracefully()
	cl.until('I')
	cl.until('Z')
	if !cl.closed() {
		t.Error("the connection stays")
	}
	select {
	case <-p.stop:
	case <-time.After(testTimeout):
		t.Error("the program does not end")
	}
}
