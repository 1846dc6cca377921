package membership

import (
	"testing"

	"lichenroad/relay"
)

// changedAt is when the address of discovery changes in these tests, and changeDeadline when the lease ends if nothing confirms the
// list after that.
const (
	changedAt      = relay.Seconds(20)
	changeDeadline = changedAt + relocationNotifyDelay - leaseMargin
	heldWatchWait  = 25.0
)

// timedEvent is an event with its time.
type timedEvent struct {
	at    relay.Seconds
	event Event
}

// nodeWithWatch returns a node of a fleet that has been holding a watch since time 10.
func nodeWithWatch(relays int) *Node {
	n := New(testSettings(0, relays), 1)
	n.Step(10, PollAnswered{fullList(5, 1, 2)})
	n.Step(10, PollStarted{Wait: heldWatchWait, ContinuesWatch: true})
	return n
}

// TestLeaseAfterAChangeOfTheAddress guards against a list that is used beyond 4 s after a new configuration, when discovery may be
// up and nothing has confirmed it, and against a relay that stops while it is confirmed or discovery is down.
func TestLeaseAfterAChangeOfTheAddress(t *testing.T) {
	const held = heldWatchWait + maxNotifyDelayAfterWait - leaseMargin // lease from the start of a watch that is trusted
	same := fullList(5, 1, 2)
	first, watch := PollStarted{}, PollStarted{Wait: heldWatchWait, ContinuesWatch: true}
	busy, stalled, refused := PollFailed{}, PollFailed{Stalled: true}, PollFailed{Unreachable: true}
	peer := func(answeredAt relay.Seconds) Event {
		return MessageReceived{1, heartbeat(versionOf(same), answeredAt, Never)}
	}
	for name, c := range map[string]struct {
		relays int
		events []timedEvent // after the change of the address
		want   relay.Seconds
	}{
		"no answer":                        {1, []timedEvent{{20, first}}, changeDeadline},
		"busy":                             {1, []timedEvent{{20, first}, {22, busy}}, changeDeadline},
		"busy, again":                      {1, []timedEvent{{20, first}, {22, busy}, {23, first}, {25, busy}}, changeDeadline},
		"stalled":                          {1, []timedEvent{{20, first}, {24, stalled}}, changeDeadline},
		"spoilt answer":                    {1, []timedEvent{{20, first}, {20.01, PollFailed{Unreadable: true}}}, changeDeadline},
		"answered, watch held":             {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, watch}}, 20.01 + held},
		"the same, past the deadline":      {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, watch}, {26, TimerFired{}}}, 20.01 + held},
		"the same, with a change":          {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, watch}, {23, PollAnswered{same}}, {23, watch}, {23.8, TimerFired{}}}, 23 + held},
		"answered, watch fails in a queue": {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, watch}, {21.5, busy}}, changeDeadline},
		"the same, past the deadline 2":    {1, []timedEvent{{20, first}, {22, PollAnswered{same}}, {22, watch}, {24, busy}}, changeDeadline},
		"slow answer":                      {1, []timedEvent{{20, first}, {21.9, PollAnswered{same}}, {21.9, watch}}, changeDeadline},
		"slow answer, watch proved":        {1, []timedEvent{{20, first}, {21.9, PollAnswered{same}}, {21.9, watch}, {23.9, TimerFired{}}}, 21.9 + held},
		"answered after the deadline":      {1, []timedEvent{{20, first}, {22, busy}, {24, first}, {24.5, PollAnswered{same}}}, 24.5 + leaseTime},
		"answered before it, no watch":     {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}}, changeDeadline},
		"old address answers":              {1, []timedEvent{{20, first}, {21, PreviousAddressAnswered{same}}}, changeDeadline},
		"old address, busy":                {1, []timedEvent{{20, first}, {21, PreviousAddressAnswered{same}}, {22, busy}}, changeDeadline},
		"refused":                          {1, []timedEvent{{20, first}, {20.01, refused}}, 20 + leaseTime},
		"refused again":                    {1, []timedEvent{{20, first}, {20.01, refused}, {25, first}, {25.01, refused}}, 25 + leaseTime},
		"refused, then busy":               {1, []timedEvent{{20, first}, {20.01, refused}, {21, first}, {23, busy}}, 20 + leaseTime},
		"refused, peers silent":            {4, []timedEvent{{20, first}, {20.01, refused}}, changeDeadline},
		"refused, peers agree": {4, []timedEvent{{19, peer(10)}, {20, first}, {20.01, refused}, {21, peer(10)}, {22, first}, {22.01, refused},
			{22.5, peer(10)}}, 22 + leaseTime},
		"busy, peers agree": {4, []timedEvent{{20, first}, {20.5, peer(10)}, {22, busy}, {22.5, peer(10)}, {23, first}, {24.9, busy},
			{25, peer(10)}}, changeDeadline},
		"a peer's answer before the deadline": {4, []timedEvent{{20, first}, {22, peer(21.5)}}, changeDeadline},
		"a peer's answer after it":            {4, []timedEvent{{20, first}, {24.2, peer(24)}}, 24 + leaseTime},
		"a second change, earlier deadline":   {1, []timedEvent{{20, first}, {22, AddressChanged{22}}, {22, first}}, changeDeadline},
		"a second change, answered between": {1, []timedEvent{{20, first}, {22, AddressChanged{22}}, {22, first}, {24, PollAnswered{same}}},
			changeDeadline + 2},
		"a second change, both passed":        {1, []timedEvent{{20, first}, {22, AddressChanged{22}}, {22, first}, {26, PollAnswered{same}}}, 26 + leaseTime},
		"told before the configuration is in": {1, []timedEvent{{20.3, AddressChanged{20.2}}, {20.3, first}}, changeDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			n := nodeWithWatch(c.relays)
			out := n.Step(changedAt, AddressChanged{changedAt})
			for _, e := range c.events {
				out = n.Step(e.at, e.event)
			}
			wantLease(t, out.LeaseExpiresAt, c.want)
		})
	}
}

// TestChangeOfTheAddressGrantsNoLease guards against a change of the address that confirms a list which nothing holds.
func TestChangeOfTheAddressGrantsNoLease(t *testing.T) {
	n := New(testSettings(0, 1), 1)
	n.Step(15, PollAnswered{fullList(5, 1, 2)})
	if out := n.Step(changedAt, AddressChanged{changedAt}); out.LeaseExpiresAt != 15+leaseTime || !out.Unconfirmed {
		t.Errorf("lease until %v, unconfirmed %v", out.LeaseExpiresAt, out.Unconfirmed)
	}
	n = New(testSettings(0, 1), 1)
	if out := n.Step(changedAt, AddressChanged{changedAt}); out.LeaseExpiresAt != 0 {
		t.Errorf("lease until %v without a list", out.LeaseExpiresAt)
	}
}

// TestWatchIsProvedInTime guards against a lease that stays ended although the watch has been held for longer than a busy discovery
// queues polls: the host must be asked to step the node then.
func TestWatchIsProvedInTime(t *testing.T) {
	n := nodeWithWatch(1)
	n.Step(changedAt, AddressChanged{changedAt})
	n.Step(20, PollStarted{})
	n.Step(23, PollAnswered{fullList(5, 1, 2)})
	out := n.Step(23, PollStarted{Wait: heldWatchWait, ContinuesWatch: true})
	if out.TimerAt != 23+maxQueueTime || out.LeaseExpiresAt != changeDeadline {
		t.Errorf("timer at %v, lease until %v", out.TimerAt, out.LeaseExpiresAt)
	}
	if out = n.Step(23+maxQueueTime, TimerFired{}); out.Unconfirmed || out.LeaseExpiresAt < 40 {
		t.Errorf("unconfirmed %v, lease until %v", out.Unconfirmed, out.LeaseExpiresAt)
	}
}

// TestFailureInAQueueIsNoAnswerToPeers guards against a relay that tells its peers of an answer, as a poll that continues its watch
// failed in the queue of a busy discovery.
func TestFailureInAQueueIsNoAnswerToPeers(t *testing.T) {
	n := nodeWithWatch(4)
	n.Step(changedAt, AddressChanged{changedAt})
	n.Step(20, PollStarted{})
	n.Step(20.01, PollAnswered{fullList(5, 1, 2)})
	n.Step(20.01, PollStarted{Wait: heldWatchWait, ContinuesWatch: true})
	n.Step(22, PollFailed{})
	if n.answeredAt != 20.01 {
		t.Errorf("answered at %v, want 20.01", n.answeredAt)
	}
}
