package membership

import (
	"slices"
	"testing"

	"lichenroad/relay"
)

// changedAt is when the address of discovery changes in these tests, and changeDeadline when the lease ends if nothing confirms the
// list after that.
const (
	changedAt      = relay.Seconds(20)
	changeDeadline = changedAt + relocationNotifyDelay - leaseMargin
	heldWatchWait  = 25.0
	margin         = 0.01 // from the deadline to the end of the wait that the host gives a watch before it
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
	until := func(deadline, now relay.Seconds) Event { // a watch that the host starts before a deadline
		return PollStarted{Wait: deadline + margin - now, ContinuesWatch: true}
	}
	const trusted = changeDeadline + margin + promptAnswerTime // end of the lease while such a watch is pending
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
		"answered, watch pending":          {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, until(changeDeadline, 20.01)}}, trusted},
		"the same, answer overdue":         {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, until(changeDeadline, 20.01)}, {25, TimerFired{}}}, trusted},
		"the same, confirmed":              {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, until(changeDeadline, 20.01)}, {23.76, PollAnswered{same}}}, 23.76 + leaseTime},
		"the same, watch goes on":          {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, until(changeDeadline, 20.01)}, {23.76, PollAnswered{same}}, {23.76, watch}, {26, TimerFired{}}}, 23.76 + held},
		"the same, with a change":          {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, until(changeDeadline, 20.01)}, {23, PollAnswered{same}}, {23, until(changeDeadline, 23)}, {23.7, TimerFired{}}}, trusted},
		"answered, watch fails in a queue": {1, []timedEvent{{20, first}, {20.01, PollAnswered{same}}, {20.01, until(changeDeadline, 20.01)}, {21.5, busy}}, changeDeadline},
		"the same, past the deadline":      {1, []timedEvent{{20, first}, {22, PollAnswered{same}}, {22, until(changeDeadline, 22)}, {24, busy}}, changeDeadline},
		"slow answer":                      {1, []timedEvent{{20, first}, {21.9, PollAnswered{same}}, {21.9, until(changeDeadline, 21.9)}}, changeDeadline},
		"slow answer, queue of 2 s":        {1, []timedEvent{{20, first}, {21.9, PollAnswered{same}}, {21.9, until(changeDeadline, 21.9)}, {23.9, TimerFired{}}, {23.93, busy}}, changeDeadline},
		"slower answer, queue of 3 s":      {1, []timedEvent{{20, first}, {22.5, PollAnswered{same}}, {22.5, until(changeDeadline, 22.5)}, {25.4, TimerFired{}}, {25.53, busy}}, changeDeadline},
		"busy, queue of 3 s":               {1, []timedEvent{{20, first}, {23, busy}, {23, first}, {23.7, PollAnswered{same}}, {23.7, until(changeDeadline, 23.7)}, {26.6, TimerFired{}}, {26.73, busy}}, changeDeadline},
		"slow answer, watch confirms":      {1, []timedEvent{{20, first}, {21.9, PollAnswered{same}}, {21.9, until(changeDeadline, 21.9)}, {23.76, PollAnswered{same}}}, 23.76 + leaseTime},
		"slow answer, watch answered late": {1, []timedEvent{{20, first}, {21.9, PollAnswered{same}}, {21.9, until(changeDeadline, 21.9)}, {25.5, PollAnswered{same}}, {25.5, watch}}, 25.5 + held},
		"slow answer, early change":        {1, []timedEvent{{20, first}, {21.9, PollAnswered{same}}, {21.9, until(changeDeadline, 21.9)}, {23, PollAnswered{same}}, {23, until(changeDeadline, 23)}}, changeDeadline},
		"slow answer, then a prompt one":   {1, []timedEvent{{20, first}, {21.9, PollAnswered{same}}, {21.9, until(changeDeadline, 21.9)}, {22, PollAnswered{same}}, {22, until(changeDeadline, 22)}}, trusted},
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
	if out := n.Step(changedAt, AddressChanged{changedAt}); out.LeaseExpiresAt != 15+leaseTime || len(out.UnconfirmedAfter) != 1 {
		t.Errorf("lease until %v, unconfirmed after %v", out.LeaseExpiresAt, out.UnconfirmedAfter)
	}
	n = New(testSettings(0, 1), 1)
	if out := n.Step(changedAt, AddressChanged{changedAt}); out.LeaseExpiresAt != 0 {
		t.Errorf("lease until %v without a list", out.LeaseExpiresAt)
	}
}

// TestHostLearnsWhenTheListHasToBeConfirmed guards against a host that does not end the wait of its polls at the deadlines, or
// that goes on with that when the list is confirmed.
func TestHostLearnsWhenTheListHasToBeConfirmed(t *testing.T) {
	n := nodeWithWatch(1)
	for _, step := range []struct {
		at    relay.Seconds
		event Event
		want  []relay.Seconds
	}{
		{15, TimerFired{}, nil},
		{changedAt, AddressChanged{changedAt}, []relay.Seconds{changeDeadline}},
		{22, AddressChanged{22}, []relay.Seconds{changeDeadline, changeDeadline + 2}},
		{22, PollStarted{}, []relay.Seconds{changeDeadline, changeDeadline + 2}},
		{23, PollAnswered{fullList(5, 1, 2)}, []relay.Seconds{changeDeadline, changeDeadline + 2}},
		{23, PollStarted{Wait: 0.76, ContinuesWatch: true}, []relay.Seconds{changeDeadline, changeDeadline + 2}},
		{23.76, PollAnswered{fullList(5, 1, 2)}, []relay.Seconds{changeDeadline + 2}},
		{25.76, PollAnswered{fullList(5, 1, 2)}, nil},
	} {
		if out := n.Step(step.at, step.event); !slices.Equal(out.UnconfirmedAfter, step.want) {
			t.Errorf("at %v: to be confirmed after %v, want %v", step.at, out.UnconfirmedAfter, step.want)
		}
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
