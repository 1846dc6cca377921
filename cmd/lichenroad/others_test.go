package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

func TestVotes(t *testing.T) {
	votes := 0
	d := newDesk(t, func(line string) string {
		if line == "WATCH" {
			return "OK\r\n* news 1 0 stable 1 5000\r\n"
		}
		votes++
		switch votes {
		case 1:
			return "OK 2 0 canary 0.5 10\r\n"
		case 2:
			return "ERR Throttling\r\n"
		case 3:
			return "" // no answer in time
		case 4:
			return "what?\r\n"
		}
		return "OK 2 0 canary 0.5 10\r\n"
	})
	p := running(t, newFleet(t, newUnit(t, always(honour))), withDesk(d))
	settled(t, p, metrics.RolloutStatuses, 1)
	vote := func() { p.loop.Platform.Vote(relay.Vote{Build: 2, Verdict: relay.VotePromote}) }
	for i, want := range []metrics.Counter{metrics.VotesCounted, metrics.VotesNotCounted, metrics.VotesMaybeCounted, metrics.VotesMaybeCounted} {
		before := p.loop.Metrics.Get(want)
		vote()
		if got := d.line(t, "VOTE"); got != "VOTE 2 0 approve" {
			t.Errorf("%q", got)
		}
		settled(t, p, want, before+1)
		if i == 3 {
			settled(t, p, metrics.BadInput, 1)
		}
	}
	d.ln.Close()
	vote() // the connection was given up with the last answer; no other comes up
	settled(t, p, metrics.VotesNotCounted, 2)
}

// TestVotesAhead has several votes out on one connection, the answers in one write, and then the connection
// break under two more.
func TestVotesAhead(t *testing.T) {
	seen := 0
	d := newDesk(t, func(line string) string {
		if line == "WATCH" {
			return "OK\r\n"
		}
		if seen++; seen == 3 {
			return "OK 2 0 canary 0.5 10\r\nERR ConditionFailed\r\nOK 2 1 canary 0.5 10\r\n"
		}
		return ""
	})
	p := running(t, newFleet(t, newUnit(t, always(honour))), func(c *config.Config) {
		withDesk(d)(c)
		c.Site.Rollout.CallTimeout = 10 * patience.Seconds()
	})
	d.line(t, "WATCH")
	<-d.conns
	vote := func(n int) {
		for range n {
			p.loop.Platform.Vote(relay.Vote{Build: 2, Verdict: relay.VotePromote})
			d.line(t, "VOTE")
		}
	}
	vote(3)
	settled(t, p, metrics.VotesCounted, 2)
	settled(t, p, metrics.VotesStale, 1)
	vote(2)
	(<-d.conns).Close()
	settled(t, p, metrics.VotesMaybeCounted, 2)
	if len(d.conns) != 0 {
		t.Error("more than one connection for votes")
	}
}

func TestWatchIsOpenedAgain(t *testing.T) {
	d := newDesk(t, func(string) string { return "OK\r\n* news 1 0 stable 1 5000\r\n" })
	p := running(t, newFleet(t, newUnit(t, always(honour))), withDesk(d))
	for i := int64(1); i <= 3; i++ {
		settled(t, p, metrics.RolloutStatuses, i)
		c := <-d.conns
		if i == 2 {
			fmt.Fprint(c, strings.Repeat("x", 9<<10)) // a line over the bound
			continue
		}
		c.Close()
	}
	settled(t, p, metrics.BadInput, 1)
}

func TestSilentWatchIsReplaced(t *testing.T) {
	d := newDesk(t, func(string) string { return "OK\r\n* news 1 0 stable 1 5000\r\n" })
	p := running(t, newFleet(t, newUnit(t, always(honour))), withDesk(d))
	old := <-d.conns
	settled(t, p, metrics.RolloutStatuses, 2) // no sign of life came
	old.SetDeadline(time.Now().Add(patience))
	if _, err := old.Read(make([]byte, 1)); err != io.EOF {
		t.Error("the silent connection is kept:", err)
	}
}

func TestMemos(t *testing.T) {
	open := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		t.Cleanup(func() { c.Close() })
		return c
	}
	own, peer, all, stranger := open(), open(), open(), open()
	listen := own.LocalAddr().String()
	own.Close()
	p := running(t, newFleet(t, newUnit(t, always(honour))), func(c *config.Config) {
		c.PeerListen, c.PeersAll = listen, all.LocalAddr().String()
		c.Peers = []string{listen, peer.LocalAddr().String()}
		c.Site.Relays = 2
	})
	var buf [512]byte
	if n, _, err := all.ReadFromUDP(buf[:]); err != nil || n > 256 { // the module's own decision
		t.Error(n, err)
	}
	p.loop.Peers.SendMessage(relay.SendMessage{To: 1, Body: []byte("hello")})
	if n, _, err := peer.ReadFromUDP(buf[:]); err != nil || string(buf[:n]) != "hello" {
		t.Errorf("%q %v", buf[:n], err)
	}
	to := net.UDPAddrFromAddrPort(own.LocalAddr().(*net.UDPAddr).AddrPort())
	for _, c := range []struct {
		from *net.UDPConn
		n    int
		id   metrics.Counter
	}{{peer, 5, metrics.PeerMessagesIn}, {stranger, 5, metrics.PeerMessagesDropped}, {peer, 257, metrics.PeerMessagesDropped}} {
		before := p.loop.Metrics.Get(c.id)
		c.from.WriteToUDP(make([]byte, c.n), to)
		settled(t, p, c.id, before+1)
	}
	before := p.loop.Metrics.Get(metrics.PeerMessagesDropped)
	p.loop.Peers.SendMessage(relay.SendMessage{To: relay.Broadcast, Body: make([]byte, 257)})
	p.loop.Peers.SendMessage(relay.SendMessage{To: 7, Body: []byte("x")})
	settled(t, p, metrics.PeerMessagesDropped, before+2)
}

// TestNewsPassesWhileAnotherWatchComesUp has a watch fall silent and the fresh one beside it never stand.
func TestNewsPassesWhileAnotherWatchComesUp(t *testing.T) {
	watches := 0
	d := newDesk(t, func(string) string {
		if watches++; watches == 1 {
			return "OK\r\n"
		}
		return ""
	})
	p := running(t, newFleet(t, newUnit(t, always(honour))), func(c *config.Config) {
		withDesk(d)(c)
		c.Site.Rollout.CallTimeout = 10 * patience.Seconds()
	})
	old := <-d.conns
	d.line(t, "WATCH")
	d.line(t, "WATCH") // the fresh one asks, and hears nothing
	fmt.Fprint(old, "* news 2 0 canary 0.1 5\r\n")
	settled(t, p, metrics.RolloutStatuses, 1)
}
