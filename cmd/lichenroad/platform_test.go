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

// TestVotes sends votes that the platform answers differently, and checks how each is counted.
func TestVotes(t *testing.T) {
	votes := 0
	platform := newFakePlatform(t, func(line string) string {
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
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), withPlatform(platform))
	waitForCounter(t, p, metrics.RolloutStatuses, 1)
	vote := func() { p.loop.Platform.Vote(relay.Vote{Build: 2, Verdict: relay.VotePromote}) }
	for i, want := range []metrics.Counter{metrics.VotesCounted, metrics.VotesNotCounted, metrics.VotesMaybeCounted, metrics.VotesMaybeCounted} {
		before := p.loop.Metrics.Get(want)
		vote()
		if got := platform.nextLine(t, "VOTE"); got != "VOTE 2 0 approve" {
			t.Errorf("vote sent as %q", got)
		}
		waitForCounter(t, p, want, before+1)
		if i == 3 {
			waitForCounter(t, p, metrics.BadInput, 1)
		}
	}
	platform.ln.Close()
	vote() // the relay closed the connection after the malformed reply, and can't open another
	waitForCounter(t, p, metrics.VotesNotCounted, 2)
}

// TestPipelinedVotes sends three votes at once on one connection, which are answered in one write. Then it sends two more
// and closes the connection before they are answered: they count as maybe counted.
func TestPipelinedVotes(t *testing.T) {
	lines := 0 // number of votes received
	platform := newFakePlatform(t, func(line string) string {
		if line == "WATCH" {
			return "OK\r\n"
		}
		if lines++; lines == 3 {
			return "OK 2 0 canary 0.5 10\r\nERR ConditionFailed\r\nOK 2 1 canary 0.5 10\r\n"
		}
		return ""
	})
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), func(c *config.Config) {
		withPlatform(platform)(c)
		c.Site.Rollout.CallTimeout = 10 * testTimeout.Seconds()
	})
	platform.nextLine(t, "WATCH")
	<-platform.conns
	vote := func(n int) {
		for range n {
			p.loop.Platform.Vote(relay.Vote{Build: 2, Verdict: relay.VotePromote})
			platform.nextLine(t, "VOTE")
		}
	}
	vote(3)
	waitForCounter(t, p, metrics.VotesCounted, 2)
	waitForCounter(t, p, metrics.VotesStale, 1)
	vote(2)
	(<-platform.conns).Close()
	waitForCounter(t, p, metrics.VotesMaybeCounted, 2)
	if len(platform.conns) != 0 {
		t.Error("the votes used more than one connection")
	}
}

// TestWatchReconnects ends the watch twice, by a close and by a line that is too long: each time a new one is opened.
func TestWatchReconnects(t *testing.T) {
	platform := newFakePlatform(t, func(string) string { return "OK\r\n* news 1 0 stable 1 5000\r\n" })
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), withPlatform(platform))
	for i := int64(1); i <= 3; i++ {
		waitForCounter(t, p, metrics.RolloutStatuses, i)
		c := <-platform.conns
		if i == 2 {
			fmt.Fprint(c, strings.Repeat("x", 9<<10)) // a line over the limit
			continue
		}
		c.Close()
	}
	waitForCounter(t, p, metrics.BadInput, 1)
}

// TestStalledWatchIsReplaced sends no keep-alive on a watch: a new one is opened, and the stalled one closed.
func TestStalledWatchIsReplaced(t *testing.T) {
	platform := newFakePlatform(t, func(string) string { return "OK\r\n* news 1 0 stable 1 5000\r\n" })
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), withPlatform(platform))
	old := <-platform.conns
	waitForCounter(t, p, metrics.RolloutStatuses, 2) // the second comes from the new watch
	old.SetDeadline(time.Now().Add(testTimeout))
	if _, err := old.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("the stalled watch was not closed:", err)
	}
}

// TestStalledWatchStillDeliversStatus stalls a watch and never answers the new one: a status on the stalled watch is
// still received.
func TestStalledWatchStillDeliversStatus(t *testing.T) {
	watches := 0
	platform := newFakePlatform(t, func(string) string {
		if watches++; watches == 1 {
			return "OK\r\n"
		}
		return ""
	})
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), func(c *config.Config) {
		withPlatform(platform)(c)
		c.Site.Rollout.CallTimeout = 10 * testTimeout.Seconds()
	})
	old := <-platform.conns
	platform.nextLine(t, "WATCH")
	platform.nextLine(t, "WATCH") // the new watch, which gets no reply
	fmt.Fprint(old, "* news 2 0 canary 0.1 5\r\n")
	waitForCounter(t, p, metrics.RolloutStatuses, 1)
}
