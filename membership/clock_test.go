package membership

import (
	"testing"

	"lichenroad/relay"
)

// TestPeerWhoseClockIsAhead guards against a list that counts as confirmed, or discovery as down, for as long as a peer sends
// heartbeats, because the wall clock was stepped before the peer started and its times lie in the future.
func TestPeerWhoseClockIsAhead(t *testing.T) {
	const answeredAt, silentFrom = relay.Seconds(10), relay.Seconds(30)
	same := versionOf(fullList(5, 1, 2))
	for name, c := range map[string]struct {
		lead     relay.Seconds // of the peer's clock
		failedAt relay.Seconds // of the peer's last failed poll, on the right clock
		want     relay.Seconds
	}{
		"by an hour":                     {3600, Never, answeredAt + leaseTime},
		"by an hour, with a failure":     {3600, 12, answeredAt + leaseTime},
		"by seconds":                     {5, Never, answeredAt + leaseTime},
		"by seconds, with a failure":     {5, 10.5, answeredAt + leaseTime},
		"within the margin of the lease": {0.2, Never, answeredAt + 0.2 + leaseTime},
	} {
		t.Run(name, func(t *testing.T) {
			n := New(testSettings(0, 2), 1)
			out := n.Step(answeredAt, PollAnswered{fullList(5, 1, 2)})
			failedAt := c.failedAt
			if failedAt != Never {
				failedAt += c.lead
			}
			for at := answeredAt + 0.04; at < silentFrom; at++ {
				out = n.Step(at, MessageReceived{1, heartbeat(same, answeredAt+c.lead, failedAt)})
			}
			wantLease(t, out.LeaseExpiresAt, c.want)
		})
	}
}

// TestPeerWhoseClockIsRightAgain guards against a relay that never takes a peer's times again, although the peer has restarted on a
// clock that is right.
func TestPeerWhoseClockIsRightAgain(t *testing.T) {
	n := New(testSettings(0, 2), 1)
	same := versionOf(fullList(5, 1, 2))
	n.Step(10, PollAnswered{fullList(5, 1, 2)})
	n.Step(11, MessageReceived{1, heartbeat(same, 3611, Never)})
	out := n.Step(12, MessageReceived{1, heartbeat(same, 11.9, Never)})
	wantLease(t, out.LeaseExpiresAt, 10+leaseTime)
	at := 11 + clockDistrust
	out = n.Step(at, MessageReceived{1, heartbeat(same, at-0.1, Never)})
	wantLease(t, out.LeaseExpiresAt, at-0.1+leaseTime)
}
