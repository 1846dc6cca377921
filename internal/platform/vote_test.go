package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
	"lichenroad/settings"
)

// TestVoteThatCrossesTheIdleClose sends a vote between the check that finds the connection idle and its close: the vote is
// answered. One that comes after the close is not taken.
func TestVoteThatCrossesTheIdleClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := newTestClient(listener.Addr().String())
	counters := client.loop.Metrics
	opened, err := client.dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	platform, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	conn := &voteConn{lineConn: opened, usedAt: time.Now().Add(-limits.VoteConnIdleTimeout)}
	if left, idle := conn.remaining(); left > 0 || !idle {
		t.Fatal("not idle")
	}
	if !conn.send(relay.Vote{Build: 2, Verdict: relay.VotePromote}) {
		t.Fatal("vote not taken")
	}
	if conn.closeIfIdle() {
		t.Error("closed with a pending vote")
	}
	go conn.readReplies()
	if line, err := bufio.NewReader(platform).ReadString('\n'); err != nil {
		t.Fatal(line, err)
	}
	fmt.Fprint(platform, "OK 2 0 canary 0.5 10\r\n")
	for end := time.Now().Add(10 * time.Second); counters.Get(metrics.VotesCounted) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not counted")
		}
	}
	if count := counters.Get(metrics.VotesMaybeCounted); count != 0 {
		t.Errorf("%d may have counted", count)
	}
	if !conn.closeIfIdle() || conn.send(relay.Vote{Build: 2}) {
		t.Error("vote taken after the close")
	}
	opened.net.Close()
}

// newTestClient returns a client that has not been started, with a loop that nobody runs.
func newTestClient(address string) *Client {
	site := settings.Site{}
	site.Relays = 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	return New(loop, address)
}
