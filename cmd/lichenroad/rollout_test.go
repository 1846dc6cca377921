package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/config"
	"lichenroad/relay"
)

// TestKeyAnsweredByTheNewestBuildLeavesTheEarlierOne guards against attempts that wait for a connection to the earlier build and are
// sent there although the newest build has answered their key meanwhile.
func TestKeyAnsweredByTheNewestBuildLeavesTheEarlierOne(t *testing.T) {
	const (
		objective   = 5 * time.Second // of a request, in which it may have another attempt
		maxRequests = 60
	)
	startups := make(chan struct{})
	t.Cleanup(func() { close(startups) })
	newest, late := newFakeEndpoint(t, always(succeed)), newLateEndpoint(t, startups, always(succeed))
	f := newFakeDiscovery(t, newest, late)
	f.entries[0]["build"], f.entries[1]["lifecycle"] = 2, "DRAINING"
	p := startRelay(t, f, func(c *config.Config) {
		c.RolloutStatus = relay.RolloutStatus{Valid: true, Build: 2, Stage: 1, Phase: relay.PhaseCanary, ExposureLimit: 1}
		c.Site.Rollout.StickyKeys, c.Site.Rollout.ExposureAllowance = true, maxRequests
		c.Site.Limits.ConnectTimeout = 2 * objective.Seconds()
		for i := range c.Site.Classes {
			c.Site.Classes[i].LatencyObjective, c.Site.Classes[i].Deadline = objective.Seconds(), objective.Seconds()
		}
	})
	statement := func(key int) string {
		return strings.Replace(selectStatement("look", int(objective.Milliseconds())), "'7f3a'", fmt.Sprintf("'%x'", key), 1)
	}
	first := dialClient(t, p)
	first.readUntil('Z')
	first.send(statement(2)) // the newest build is known to answer
	if value, code := first.readResponse(); value == "" {
		t.Fatal(code)
	}
	f.set(1, "SERVING")
	before, _ := newest.counts()
	var clients []*client
	for after := before; late.lateConns.Load() == 0 || after == before; after, _ = newest.counts() {
		if len(clients) == maxRequests {
			t.Fatalf("%d requests were never given to both builds", maxRequests)
		}
		c := dialClient(t, p)
		c.readUntil('Z')
		c.send(statement(1))
		clients = append(clients, c)
		time.Sleep(10 * time.Millisecond)
	}
	for i, c := range clients {
		if value, code := c.readResponse(); value == "" {
			t.Errorf("request %d: code %q; want the value of the newest build", i, code)
		}
	}
	if sent, _ := late.counts(); sent > 0 {
		t.Errorf("%d requests were sent to the earlier build", sent)
	}
	checkCounters(t, p)
}
