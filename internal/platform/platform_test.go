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

// TestVoteThatCrossesTheIdleClose casts a vote between the look that finds the connection idle and its close: it is
// answered there. One that comes behind the close is not taken on.
func TestVoteThatCrossesTheIdleClose(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	site := settings.Site{}
	site.Settings.Relays = 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	d := New(l, ln.Addr().String())
	c, err := d.dial(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	b := &ballot{line: c, usedAt: time.Now().Add(-limits.VoteConnIdleTimeout)}
	if left, idle := b.due(); left > 0 || !idle {
		t.Fatal("not idle")
	}
	if !b.cast(relay.Vote{Build: 2, Verdict: relay.VotePromote}) {
		t.Fatal("not taken on")
	}
	if b.rest() {
		t.Error("closed under the vote")
	}
	go b.answers()
	if s, err := bufio.NewReader(peer).ReadString('\n'); err != nil {
		t.Fatal(s, err)
	}
	fmt.Fprint(peer, "OK 2 0 canary 0.5 10\r\n")
	for end := time.Now().Add(10 * time.Second); l.Metrics.Get(metrics.VotesCounted) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not counted")
		}
	}
	if n := l.Metrics.Get(metrics.VotesMaybeCounted); n != 0 {
		t.Errorf("%d may have counted", n)
	}
	if !b.rest() || b.cast(relay.Vote{Build: 2}) {
		t.Error("taken on behind the close")
	}
	c.net.Close()
}
