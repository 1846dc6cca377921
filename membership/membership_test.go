package membership

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"lichenroad/relay"
)

// TestMain sets rapid's seed, so that each run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "100"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// leaseTime is how long a lease lasts after an answer from discovery, in seconds.
const leaseTime = maxNotifyDelay - leaseMargin

// wantLease checks the end of a lease. It allows for times in messages being rounded to milliseconds.
func wantLease(t *testing.T, got, want relay.Seconds) {
	t.Helper()
	if math.Abs(got-want) > 0.0015 {
		t.Fatalf("lease until %.4f, want %.4f", got, want)
	}
}

// newRestartedNode returns a node of a fleet of four relays. It started at time 10 with a cached list: endpoints 1 to 100
// in generation 5.
func newRestartedNode() *Node {
	n := New(testSettings(0, 4), 1)
	n.Step(10, CachedList{fullList(5, endpointRange(1, 100)...)})
	return n
}

func TestStaleCachedListHasNoLeaseUntilAPeerSendsADelta(t *testing.T) {
	b := newBus(t, 3)
	older, newer := fullList(5, endpointRange(1, 100)...), fullList(6, endpointRange(61, 100)...)
	for i := range 3 {
		b.step(i, PollAnswered{older})
	}
	b.at(20, func() { b.step(1, PollAnswered{newer}) })
	b.at(20.5, func() { b.step(2, PollAnswered{newer}) })
	b.at(21, func() {
		b.restart(0)
		if out := b.step(0, CachedList{older}); out.LeaseExpiresAt != 0 {
			t.Fatalf("lease until %v on an unconfirmed list", out.LeaseExpiresAt)
		}
	})
	b.run(23)
	if n := b.relays[0]; n.version != versionOf(newer) || len(n.removed) != 60 || !n.removed[1] || !n.removed[60] {
		t.Fatalf("version %v, %d endpoints removed; want version %v and endpoints 1 to 60 removed",
			n.version, len(n.removed), versionOf(newer))
	}
	wantLease(t, b.relays[0].leaseExpiresAt, 20.5+leaseTime)
}

func TestDeltaOfSeveralDatagrams(t *testing.T) {
	target := versionOf(fullList(6, endpointRange(61, 100)...))
	bodies := deltas(versionOf(fullList(5, endpointRange(1, 100)...)), target, 10, endpointRange(1, 60)...)
	if len(bodies) != 3 {
		t.Fatalf("the delta has %d datagrams, want 3", len(bodies))
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}, {0, 0, 2, 0, 2, 1}} {
		t.Run(fmt.Sprintf("order %v", order), func(t *testing.T) {
			n := newRestartedNode()
			var removed []relay.EndpointID
			for i, part := range order {
				out := n.Step(10.1+0.1*relay.Seconds(i), MessageReceived{From: 1, Body: bodies[part]})
				removed = append(removed, out.Removed...)
				if last := i == len(order)-1; !last && out.LeaseExpiresAt != 0 {
					t.Fatalf("lease after only %d datagrams", i+1)
				} else if last {
					wantLease(t, out.LeaseExpiresAt, 10+leaseTime)
				}
			}
			slices.Sort(removed)
			if !slices.Equal(removed, endpointRange(1, 60)) || n.version != target {
				t.Fatalf("removed %v, version %v; want 1 to 60 removed and version %v", removed, n.version, target)
			}
		})
	}
}

func TestPartsOfTwoDeltasAreNotCombined(t *testing.T) {
	base := versionOf(fullList(5, endpointRange(1, 100)...))
	one := deltas(base, versionOf(fullList(6, endpointRange(41, 100)...)), 10, endpointRange(1, 40)...)
	two := deltas(base, versionOf(fullList(7, endpointRange(46, 100)...)), 10, endpointRange(1, 45)...)
	n := newRestartedNode()
	for _, received := range []MessageReceived{{1, one[0]}, {1, two[1]}, {2, one[1]}} {
		if out := n.Step(10.1, received); out.LeaseExpiresAt != 0 {
			t.Fatal("lease after parts of different deltas or from different peers")
		}
	}
	if out := n.Step(10.2, MessageReceived{2, one[0]}); out.LeaseExpiresAt == 0 {
		t.Fatal("no lease after a complete delta")
	}
}

func TestDeltaFromAnotherBaseIsIgnored(t *testing.T) {
	n := newRestartedNode()
	base := versionOf(fullList(5, endpointRange(1, 99)...))
	out := n.Step(10.1, MessageReceived{1, deltas(base, versionOf(fullList(6, 100)), 10, endpointRange(1, 99)...)[0]})
	if out.LeaseExpiresAt != 0 || len(out.Removed) != 0 {
		t.Fatalf("a delta from another base was applied: %+v", out)
	}
}

func TestEqualCachedListIsConfirmedByOneHeartbeat(t *testing.T) {
	n := newRestartedNode()
	out := n.Step(10.2, MessageReceived{1, heartbeat(n.version, 8.5, Never)})
	wantLease(t, out.LeaseExpiresAt, 8.5+leaseTime)
	if len(out.Removed) != 0 {
		t.Fatalf("removed %v, want none", out.Removed)
	}
}

// failPoll starts a poll, which then fails.
func failPoll(n *Node, startedAt, failedAt relay.Seconds, event PollFailed) Output {
	n.Step(startedAt, PollStarted{Wait: 2})
	return n.Step(failedAt, event)
}

func TestFailedPollCountsOnlyInContact(t *testing.T) {
	n := newRestartedNode()
	if out := failPoll(n, 10, 10.5, PollFailed{}); out.LeaseExpiresAt != 0 {
		t.Fatalf("lease until %v without contact with a peer", out.LeaseExpiresAt)
	}
	if out := n.Step(11, MessageReceived{1, heartbeat(n.version, Never, Never)}); out.LeaseExpiresAt != 0 {
		t.Fatalf("lease until %v after the first message from a peer", out.LeaseExpiresAt)
	}
	out := n.Step(11+minContactTime, MessageReceived{1, heartbeat(n.version, Never, Never)})
	wantLease(t, out.LeaseExpiresAt, 10+leaseTime)
	out = failPoll(n, 13, 13.5, PollFailed{})
	wantLease(t, out.LeaseExpiresAt, 11+minContactTime+leaseTime) // counted from the last contact, not from the poll
	out = n.Step(13.6, MessageReceived{1, heartbeat(n.version, Never, Never)})
	wantLease(t, out.LeaseExpiresAt, 13+leaseTime)
	out = failPoll(n, 17, 17.5, PollFailed{}) // the last message from the peer arrived at 13.6
	wantLease(t, out.LeaseExpiresAt, 13+leaseTime)
}

func TestFailedPollCountsOnlyOnceContactIsBack(t *testing.T) {
	n := newRestartedNode()
	n.Step(11, MessageReceived{1, heartbeat(n.version, 10.5, Never)})
	n.Step(11+minContactTime, MessageReceived{1, heartbeat(n.version, 10.5, Never)})
	failPoll(n, 29, 29.5, PollFailed{})
	out := n.Step(30, MessageReceived{1, heartbeat(n.version, 10.5, Never)})
	wantLease(t, out.LeaseExpiresAt, 10.5+leaseTime)
	out = n.Step(30+minContactTime, MessageReceived{1, heartbeat(n.version, 10.5, Never)})
	wantLease(t, out.LeaseExpiresAt, 29+leaseTime)
}

// TestRelaysStartedTogetherDoNotConfirmTheirStaleList checks that relays with the same old list do not confirm it to each
// other when their polls fail. It guards against a fleet that starts with a stale cached list and grants itself a lease on
// it.
func TestRelaysStartedTogetherDoNotConfirmTheirStaleList(t *testing.T) {
	n := newRestartedNode()
	failPoll(n, 10, 10.05, PollFailed{})
	n.Step(10.1, MessageReceived{1, heartbeat(n.version, Never, 10)})
	n.Step(10.2, MessageReceived{2, heartbeat(n.version, Never, 10)})
	out := n.Step(10.4, MessageReceived{3, heartbeat(versionOf(fullList(6, 1)), 9, Never)})
	if out.LeaseExpiresAt != 0 {
		t.Fatalf("lease until %v on the stale list", out.LeaseExpiresAt)
	}
	out = n.Step(20, MessageReceived{1, heartbeat(n.version, Never, 19.9)})
	wantLease(t, out.LeaseExpiresAt, 0)
}

// TestNodeSendsDeltasOnlyFromVersionsThatItHeldCompletely has a node learn of generation 6 from a peer's delta. The node
// does not know endpoint 101, which joined in generation 6, so it cannot report the removal of 101 in generation 7.
func TestNodeSendsDeltasOnlyFromVersionsThatItHeldCompletely(t *testing.T) {
	n := newRestartedNode()
	generationSix := versionOf(fullList(6, endpointRange(2, 101)...))
	n.Step(10.1, MessageReceived{1, deltas(n.version, generationSix, 10, 1)[0]})
	draining := relay.Endpoint{ID: 101, State: relay.Draining}
	n.Step(11, PollAnswered{List{Generation: 7, Endpoints: append(fullList(7, 102).Endpoints, draining, relay.Endpoint{ID: 1})}})
	if want := versionOf(fullList(7, append(endpointRange(2, 100), 102)...)); n.version != want {
		t.Fatalf("version %v, want %v", n.version, want)
	}
	if endpoints, known := n.list.removedSince(generationSix); known {
		t.Fatalf("the node reports the removal of %v since a version that it never held completely", endpoints)
	}
	if endpoints, known := n.list.removedSince(versionOf(fullList(5, endpointRange(1, 100)...))); !known || !slices.Equal(endpoints, []relay.EndpointID{1}) {
		t.Fatalf("removed since the cached list: %v, known: %v; want endpoint 1", endpoints, known)
	}
}

// TestAnswerCompletesAVersionLearnedFromAPeer has discovery confirm a version that is known from a peer's delta. The answer
// adds the endpoints that joined, so the node can send deltas from that version.
func TestAnswerCompletesAVersionLearnedFromAPeer(t *testing.T) {
	n := newRestartedNode()
	generationSix := versionOf(fullList(6, endpointRange(2, 101)...))
	n.Step(10.1, MessageReceived{1, deltas(n.version, generationSix, 10, 1)[0]})
	n.Step(11, PollAnswered{List{Generation: 6, Endpoints: append(fullList(6, 101).Endpoints, relay.Endpoint{ID: 1})}})
	if _, known := n.list.removedSince(generationSix); !known || n.version != generationSix {
		t.Fatalf("version %v, want %v; can send deltas from it: %v", n.version, generationSix, known)
	}
}

func TestFailedPollOfAPeerCounts(t *testing.T) {
	n := newRestartedNode()
	n.Step(11, MessageReceived{1, heartbeat(n.version, Never, 10.5)})
	out := n.Step(11+minContactTime, MessageReceived{2, heartbeat(n.version, Never, Never)})
	wantLease(t, out.LeaseExpiresAt, 10.5+leaseTime)
}

func TestFailedPollNoLongerCountsOnceAPeerHasANewerList(t *testing.T) {
	n := newRestartedNode()
	n.Step(10, MessageReceived{1, heartbeat(n.version, Never, Never)})
	n.Step(11, MessageReceived{1, heartbeat(n.version, 11, Never)})
	newer := versionOf(fullList(6, endpointRange(2, 100)...))
	n.Step(12, MessageReceived{2, heartbeat(newer, 12, Never)})
	out := failPoll(n, 12.5, 13, PollFailed{})
	wantLease(t, out.LeaseExpiresAt, 11+leaseTime)
	n.Step(13, MessageReceived{1, heartbeat(n.version, Never, 12.8)})
	out = n.Step(13.1, MessageReceived{1, heartbeat(n.version, Never, 13)})
	wantLease(t, out.LeaseExpiresAt, 11+leaseTime)
}

func TestUnreadableAnswerIsNotTakenForAnOutageOfDiscovery(t *testing.T) {
	n := newRestartedNode()
	n.Step(10.1, MessageReceived{1, heartbeat(n.version, Never, Never)})
	n.Step(10.1+minContactTime, MessageReceived{1, heartbeat(n.version, Never, Never)})
	if out := failPoll(n, 12, 12.5, PollFailed{Unreadable: true}); out.LeaseExpiresAt != 0 {
		t.Fatalf("lease until %v after an unreadable answer", out.LeaseExpiresAt)
	}
	out := failPoll(n, 13, 13.5, PollFailed{})
	wantLease(t, out.LeaseExpiresAt, 10.1+minContactTime+leaseTime)
}

func TestFirstAnswerOfAPeerAfterFailuresIsReported(t *testing.T) {
	n := newRestartedNode()
	failPoll(n, 10, 10.5, PollFailed{})
	if n.Step(11, MessageReceived{1, heartbeat(n.version, 9, Never)}).DiscoveryRecovered {
		t.Fatal("an answer from before the failed poll was reported as recovery")
	}
	if !n.Step(12, MessageReceived{1, heartbeat(n.version, 11.5, Never)}).DiscoveryRecovered {
		t.Fatal("the first answer after the failed poll was not reported as recovery")
	}
	if n.Step(13, MessageReceived{2, heartbeat(n.version, 12.5, Never)}).DiscoveryRecovered {
		t.Fatal("the second answer after the failed poll was reported as recovery")
	}
}

func TestRelayAloneInItsFleet(t *testing.T) {
	n := New(testSettings(0, 1), 1)
	if out := n.Step(0, CachedList{fullList(5, 1, 2)}); out.LeaseExpiresAt != 0 {
		t.Fatal("lease on a cached list")
	}
	out := failPoll(n, 1, 3, PollFailed{})
	wantLease(t, out.LeaseExpiresAt, 1+leaseTime)
	out = n.Step(4, PollAnswered{fullList(6, 1)})
	wantLease(t, out.LeaseExpiresAt, 4+leaseTime)
	if out.TimerAt != Never || len(out.Messages) != 0 {
		t.Fatalf("messages or a timer although there is no peer: %+v", out)
	}
}

func TestPartitionedRelayLosesItsLease(t *testing.T) {
	b := newBus(t, 3)
	for i := range 3 {
		b.step(i, PollAnswered{fullList(5, 1, 2)})
	}
	b.lost = func(from, to int) bool { return b.now >= 10 && (from == 0 || to == 0) }
	for at := 1.0; at < 30; at++ { // discovery answers only relay 1
		b.at(at, func() { b.step(1, PollAnswered{List{Generation: 5}}) })
		b.at(at, func() { b.step(0, PollStarted{Wait: 2}) })
		b.at(at+0.5, func() { b.step(0, PollFailed{}) })
	}
	b.run(9.9)
	if b.relays[0].leaseExpiresAt < 12 {
		t.Fatalf("lease of relay 0 until %v before the partition, want at least 12", b.relays[0].leaseExpiresAt)
	}
	b.run(29.9)
	if partitioned := b.relays[0].leaseExpiresAt; partitioned > 10+leaseTime {
		t.Fatalf("lease of the partitioned relay until %v, want at most %v", partitioned, 10+leaseTime)
	}
	if b.relays[2].leaseExpiresAt < 32 {
		t.Fatalf("lease of relay 2, which is not partitioned, until %v, want at least 32", b.relays[2].leaseExpiresAt)
	}
}

func TestLeaseWhileDiscoveryHoldsAWatch(t *testing.T) {
	n := New(testSettings(0, 4), 1)
	n.Step(10, PollAnswered{fullList(5, 1, 2)})
	out := n.Step(10, PollStarted{Wait: 25, ContinuesWatch: true})
	wantLease(t, out.LeaseExpiresAt, 10+25+maxNotifyDelayAfterWait-leaseMargin)
	out = n.Step(30, PollFailed{})
	wantLease(t, out.LeaseExpiresAt, 30+leaseTime) // discovery held the watch until time 30
	out = n.Step(30, PollStarted{Wait: 1, ContinuesWatch: true})
	wantLease(t, out.LeaseExpiresAt, 30+leaseTime)
}

func TestFirstPollGrantsNoLease(t *testing.T) {
	n := newRestartedNode()
	if out := n.Step(10, PollStarted{Wait: 25}); out.LeaseExpiresAt != 0 {
		t.Fatalf("lease until %v", out.LeaseExpiresAt)
	}
}

func TestStalledPollDoesNotExtendTheLease(t *testing.T) {
	n := New(testSettings(0, 4), 1)
	n.Step(10, PollAnswered{fullList(5, 1, 2)})
	before := n.Step(10, PollStarted{Wait: 25, ContinuesWatch: true}).LeaseExpiresAt
	if out := n.Step(36.9, PollFailed{Stalled: true}); out.LeaseExpiresAt > before || out.LeaseExpiresAt > 36.9 {
		t.Fatalf("lease until %v after a stalled poll, until %v before it", out.LeaseExpiresAt, before)
	}
}

func TestFailedWatchOfARelayThatIsBehindDoesNotExtendTheLease(t *testing.T) {
	n := New(testSettings(0, 4), 1)
	n.Step(10, PollAnswered{fullList(5, 1, 2)})
	n.Step(10, PollStarted{Wait: 2, ContinuesWatch: true})
	n.Step(11, MessageReceived{1, heartbeat(versionOf(fullList(6, 1)), 11, Never)})
	out := n.Step(11.5, PollFailed{})
	wantLease(t, out.LeaseExpiresAt, 10+leaseTime)
}

func TestDiscoveryThatRestartsItsGenerations(t *testing.T) {
	n := New(testSettings(0, 4), 1)
	n.Step(10, PollAnswered{fullList(50, endpointRange(1, 10)...)})
	n.Step(11, MessageReceived{1, deltas(n.version, versionOf(fullList(51, endpointRange(2, 10)...)), 11, 1)[0]})
	restarted := fullList(2, endpointRange(1, 5)...)
	out := n.Step(20, PollAnswered{restarted})
	wantLease(t, out.LeaseExpiresAt, 20+leaseTime)
	if n.version != versionOf(restarted) || len(out.Removed) != 0 || n.isBehind() {
		t.Fatalf("version %v, removed %v, behind: %v", n.version, out.Removed, n.isBehind())
	}
	out = n.Step(21, PollAnswered{List{Generation: 3, Endpoints: []relay.Endpoint{{ID: 3, State: relay.Draining}}}})
	if wantLease(t, out.LeaseExpiresAt, 21+leaseTime); n.version != versionOf(fullList(3, 1, 2, 4, 5)) {
		t.Fatalf("version %v", n.version)
	}
}

func TestOlderAnswerDoesNotRestoreARemovedEndpoint(t *testing.T) {
	n := New(testSettings(0, 4), 1)
	n.Step(10, PollAnswered{fullList(5, 1, 2, 3)})
	n.Step(11, MessageReceived{1, deltas(n.version, versionOf(fullList(8, 1, 2)), 11, 3)[0]})
	known := n.version
	ready := fullList(6, 3).Endpoints
	out := n.Step(12, PollAnswered{List{Generation: 6, Endpoints: ready}})
	if !slices.Equal(out.Removed, []relay.EndpointID{3}) || n.version != known {
		t.Fatalf("removed %v, version %v", out.Removed, n.version)
	}
	wantLease(t, out.LeaseExpiresAt, 11+leaseTime)
	out = n.Step(13, PollAnswered{List{Generation: 9, Endpoints: ready}})
	if len(out.Removed) != 0 || n.version != versionOf(fullList(9, 1, 2, 3)) {
		t.Fatalf("removed %v, version %v", out.Removed, n.version)
	}
	wantLease(t, out.LeaseExpiresAt, 13+leaseTime)
}

func TestConflictingDigestConfirmsNothing(t *testing.T) {
	n := newRestartedNode()
	other := versionOf(fullList(5, 1, 2))
	out := n.Step(10.5, MessageReceived{1, heartbeat(other, 10.5, 10.2)})
	if out.LeaseExpiresAt != 0 || n.Counters().Conflicts != 1 || len(out.Removed) != 0 {
		t.Fatalf("a conflicting digest had an effect or was not counted: output %+v, counters %+v", out, n.Counters())
	}
}

// TestTimesFarInTheFutureConfirmNothing guards against a list that a time confirms whatever it is, if it only lies in the future.
func TestTimesFarInTheFutureConfirmNothing(t *testing.T) {
	for _, m := range []message{
		{answeredAt: wireTime(1e9), failedPollAt: wireTime(2e9)},
		{answeredAt: math.MaxInt64},
		{answeredAt: wireTime(10.2), failedPollAt: math.MaxInt64},
	} {
		n := newRestartedNode()
		m.version = n.version
		out := n.Step(10.5, MessageReceived{1, m.encode()})
		wantLease(t, out.LeaseExpiresAt, 0)
	}
}
