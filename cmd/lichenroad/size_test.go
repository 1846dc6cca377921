package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
)

// TestLargeFleet runs a relay at the smallest limits of memory and sockets, with 1,024 peers and a list of 1,024
// endpoints that has over 1 MiB. A delta that drains half of the endpoints takes effect at once: they get no further
// request, neither over idle connections nor over new ones.
func TestLargeFleet(t *testing.T) {
	const count, servers = 1024, 8
	var endpoints []*fakeEndpoint
	for range servers {
		endpoints = append(endpoints, newFakeEndpoint(t, always(succeed)))
	}
	list := func(generation int, full bool, lifecycle string, from, to int) []byte {
		var entries []map[string]any
		for i := from; i < to; i++ {
			entries = append(entries, map[string]any{"instanceId": fmt.Sprintf("s-%d-%s", i, strings.Repeat("x", 800)),
				"hostPort": endpoints[i*servers/count].address(), "zone": "a", "machineType": "m1", "cell": i % 8,
				"lifecycle": lifecycle, "weight": 1, "startedAtMs": 0, "build": 1})
		}
		raw, err := json.MarshalIndent(map[string]any{"generation": generation, "reset": full, "instances": entries}, "", "    ")
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	fullList := list(1, true, "SERVING", 0, count)
	if len(fullList) < 1<<20 {
		t.Fatalf("the list has only %d bytes", len(fullList))
	}
	drain := make(chan struct{})
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.FormValue("after") {
		case "":
			w.Write(fullList)
			return
		case "1":
			select {
			case <-drain:
				w.Write(list(2, false, "DRAINING", 0, count/2))
				return
			case <-r.Context().Done():
			}
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { discovery.Listener.Close(); discovery.CloseClientConnections(); discovery.Close() })
	f := &fakeDiscovery{srv: discovery}
	p := startRelay(t, f, func(c *config.Config) {
		c.KnownList, c.MemoryMB, c.Sockets, c.PeerListen = nil, 32, 256, "127.0.0.1:0"
		for i := range count {
			c.Peers = append(c.Peers, fmt.Sprintf("127.0.%d.%d:9", 1+i/256, i%256))
		}
		c.PeersAll, c.Site.Relays, c.Site.Limits.PeerMessages = "127.0.9.9:9", count, true
	})
	c := dialClient(t, p)
	c.readUntil('Z')
	request := func(times int) {
		for range times {
			c.send(selectStatement("look", 1500))
			if v, code := c.readResponse(); v == "" {
				t.Fatalf("a request was not served: %s", code)
			}
		}
	}
	request(200)
	statements := func(from, to int) (n int) {
		for _, endpoint := range endpoints[from:to] {
			k, _ := endpoint.counts()
			n += k
		}
		return n
	}
	if statements(0, servers/2) == 0 || statements(servers/2, servers) == 0 {
		t.Error("half of the endpoints got no request")
	}
	close(drain)
	waitForCounter(t, p, metrics.DiscoveryCalls, 3) // the relay calls again once it has the delta
	c.send(";")                                     // these empty queries are answered after the loop has handled the delta
	for range 2 {
		c.readUntil('Z')
		c.send(";")
	}
	c.readUntil('Z')
	before := statements(0, servers/2)
	request(200)
	if after := statements(0, servers/2); after != before {
		t.Errorf("%d requests went to endpoints listed as draining", after-before)
	}
	checkCounters(t, p)
}

// TestConfigWithManyPeers parses a configuration with 1,024 peers.
func TestConfigWithManyPeers(t *testing.T) {
	var peers []string
	for i := range 1024 {
		peers = append(peers, fmt.Sprintf("10.3.%d.%d:7946", i/256, i%256))
	}
	raw, _ := json.Marshal(peers)
	c, err := config.Parse([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","peers":%s,"settings":%s}`,
		raw, testSettings)), func(string) string { return "" })
	if err != nil || len(c.Peers) != 1024 {
		t.Errorf("parsed %d peers, want 1024: %v", len(c.Peers), err)
	}
}
