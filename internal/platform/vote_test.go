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

// TestVoteBetweenIdleCheckAndClose sends a vote after the check that finds the connection idle, but before the connection is
// closed for it. The connection must stay open until the vote is answered. A vote after the close must be refused, so that it
// is not reported as one that may have been counted.
func TestVoteBetweenIdleCheckAndClose(t *testing.T) {
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
		t.Fatalf("connection not idle: %v left, idle %v", left, idle)
	}
	if !conn.send(relay.Vote{Build: 2, Verdict: relay.VotePromote}) {
		t.Fatal("vote refused by the open connection")
	}
	if conn.closeIfIdle() {
		t.Error("connection closed with a pending vote")
	}
	go conn.readReplies()
	if line, err := bufio.NewReader(platform).ReadString('\n'); err != nil {
		t.Fatal(line, err)
	}
	fmt.Fprint(platform, "OK 2 0 canary 0.5 10\r\n")
	for end := time.Now().Add(10 * time.Second); counters.Get(metrics.VotesCounted) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("vote not counted in time")
		}
	}
	if count := counters.Get(metrics.VotesMaybeCounted); count != 0 {
		t.Errorf("%d votes reported as maybe counted", count)
	}
	if !conn.closeIfIdle() || conn.send(relay.Vote{Build: 2}) {
		t.Error("vote accepted after the close")
	}
	opened.connection.Close()
}

// newTestClient returns a client that has not been started, with a loop that is not run.
func newTestClient(address string) *Client {
	site := settings.Site{}
	site.Relays = 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	return New(loop, address)
}
