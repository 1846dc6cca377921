package main

import (
	"net"
	"testing"
	"time"

	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// TestPeerMessages sends messages to a peer, and receives some: only those of a known peer and of at most 256 bytes are
// accepted, all others are dropped and counted.
func TestPeerMessages(t *testing.T) {
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		t.Cleanup(func() { c.Close() })
		return c
	}
	own, peer, all, unknown := listen(), listen(), listen(), listen()
	address := own.LocalAddr().String()
	own.Close()
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), func(c *config.Config) {
		c.PeerListen, c.PeersAll = address, all.LocalAddr().String()
		c.Peers = []string{address, peer.LocalAddr().String()}
		c.Site.Relays = 2
	})
	var buf [512]byte
	if n, _, err := all.ReadFromUDP(buf[:]); err != nil || n > 256 { // a message of the decision module
		t.Errorf("broadcast of %d bytes: %v", n, err)
	}
	p.loop.Peers.SendMessage(relay.SendMessage{To: 1, Body: []byte("hello")})
	if n, _, err := peer.ReadFromUDP(buf[:]); err != nil || string(buf[:n]) != "hello" {
		t.Errorf("the peer got %q: %v", buf[:n], err)
	}
	to := net.UDPAddrFromAddrPort(own.LocalAddr().(*net.UDPAddr).AddrPort())
	for _, c := range []struct {
		from *net.UDPConn
		n    int
		id   metrics.Counter
	}{{peer, 5, metrics.PeerMessagesIn}, {unknown, 5, metrics.PeerMessagesDropped}, {peer, 257, metrics.PeerMessagesDropped}} {
		before := p.loop.Metrics.Get(c.id)
		c.from.WriteToUDP(make([]byte, c.n), to)
		waitForCounter(t, p, c.id, before+1)
	}
	before := p.loop.Metrics.Get(metrics.PeerMessagesDropped)
	p.loop.Peers.SendMessage(relay.SendMessage{To: relay.Broadcast, Body: make([]byte, 257)})
	p.loop.Peers.SendMessage(relay.SendMessage{To: 7, Body: []byte("x")})
	waitForCounter(t, p, metrics.PeerMessagesDropped, before+2)
}
