package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
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

// testTimeout bounds the wait for things that should happen immediately.
const testTimeout = 10 * time.Second

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

// TestPlatformThatSendsTooFast guards against memory that grows with the speed of the platform: a connection on which more
// lines wait than the platform itself would keep for a reader is given up.
func TestPlatformThatSendsTooFast(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := newTestClient(listener.Addr().String())
	conn, err := client.dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.close(metrics.ClosedByBadInput)
	platform, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	const line = "* news 2 0 canary 0.5 10\r\n"
	fmt.Fprint(platform, line)
	if _, err := conn.nextLine(testTimeout); err != nil {
		t.Fatal("a line was not read:", err)
	}
	go fmt.Fprint(platform, strings.Repeat(line, 2*limits.MaxUnreadPlatformInput/len(line)))
	for end := time.Now().Add(testTimeout); conn.connection.Reader().Len() <= limits.MaxUnreadPlatformInput; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the lines have not arrived")
		}
	}
	if _, err := conn.nextLine(testTimeout); client.closeReason(err) != metrics.ClosedByBadInput {
		t.Errorf("error %v, want one for which the connection is closed", err)
	}
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
