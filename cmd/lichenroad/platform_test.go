package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

func TestVotes(t *testing.T) {
	votes := 0
	d := newFakePlatform(t, func(line string) string {
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
			return "" // no reply in time
		case 4:
			return "what?\r\n"
		}
		return "OK 2 0 canary 0.5 10\r\n"
	})
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), withPlatform(d))
	waitForCounter(t, p, metrics.RolloutStatuses, 1)
	vote := func() { p.loop.Platform.Vote(relay.Vote{Build: 2, Verdict: relay.VotePromote}) }
	for i, want := range []metrics.Counter{metrics.VotesCounted, metrics.VotesNotCounted, metrics.VotesMaybeCounted, metrics.VotesMaybeCounted} {
		before := p.loop.Metrics.Get(want)
		vote()
		if got := d.nextLine(t, "VOTE"); got != "VOTE 2 0 approve" {
			t.Errorf("%q", got)
		}
		waitForCounter(t, p, want, before+1)
		if i == 3 {
			waitForCounter(t, p, metrics.BadInput, 1)
		}
	}
	d.ln.Close()
	vote() // the connection was closed after the last reply; no other can be opened
	waitForCounter(t, p, metrics.VotesNotCounted, 2)
}

// TestPipelinedVotes has several votes in flight on one connection, their replies in one write, and the connection
// broken with two more in flight.
func TestPipelinedVotes(t *testing.T) {
	seen := 0
	d := newFakePlatform(t, func(line string) string {
		if line == "WATCH" {
			return "OK\r\n"
		}
		if seen++; seen == 3 {
			return "OK 2 0 canary 0.5 10\r\nERR ConditionFailed\r\nOK 2 1 canary 0.5 10\r\n"
		}
		return ""
	})
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), func(c *config.Config) {
		withPlatform(d)(c)
		c.Site.Rollout.CallTimeout = 10 * testTimeout.Seconds()
	})
	d.nextLine(t, "WATCH")
	<-d.conns
	vote := func(n int) {
		for range n {
			p.loop.Platform.Vote(relay.Vote{Build: 2, Verdict: relay.VotePromote})
			d.nextLine(t, "VOTE")
		}
	}
	vote(3)
	waitForCounter(t, p, metrics.VotesCounted, 2)
	waitForCounter(t, p, metrics.VotesStale, 1)
	vote(2)
	(<-d.conns).Close()
	waitForCounter(t, p, metrics.VotesMaybeCounted, 2)
	if len(d.conns) != 0 {
		t.Error("more than one connection for votes")
	}
}

func TestWatchReconnects(t *testing.T) {
	d := newFakePlatform(t, func(string) string { return "OK\r\n* news 1 0 stable 1 5000\r\n" })
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), withPlatform(d))
	for i := int64(1); i <= 3; i++ {
		waitForCounter(t, p, metrics.RolloutStatuses, i)
		c := <-d.conns
		if i == 2 {
			fmt.Fprint(c, strings.Repeat("x", 9<<10)) // a line over the bound
			continue
		}
		c.Close()
	}
	waitForCounter(t, p, metrics.BadInput, 1)
}

func TestStalledWatchIsReplaced(t *testing.T) {
	d := newFakePlatform(t, func(string) string { return "OK\r\n* news 1 0 stable 1 5000\r\n" })
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), withPlatform(d))
	old := <-d.conns
	waitForCounter(t, p, metrics.RolloutStatuses, 2) // no keep-alive came
	old.SetDeadline(time.Now().Add(testTimeout))
	if _, err := old.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("the stalled connection is kept:", err)
	}
}

// TestStalledWatchStillDeliversStatus has a watch stall, and the new one beside it never answered.
func TestStalledWatchStillDeliversStatus(t *testing.T) {
	watches := 0
	d := newFakePlatform(t, func(string) string {
		if watches++; watches == 1 {
			return "OK\r\n"
		}
		return ""
	})
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), func(c *config.Config) {
		withPlatform(d)(c)
		c.Site.Rollout.CallTimeout = 10 * testTimeout.Seconds()
	})
	old := <-d.conns
	d.nextLine(t, "WATCH")
	d.nextLine(t, "WATCH") // the new one calls, and is not answered
	fmt.Fprint(old, "* news 2 0 canary 0.1 5\r\n")
	waitForCounter(t, p, metrics.RolloutStatuses, 1)
}
