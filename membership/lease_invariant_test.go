package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/relay"
)

// maxStaleness is the invariant that the checker verifies, in seconds: no relay with a valid lease may list a process that
// left discovery's list longer ago than this. Only time during which discovery was up counts.
const maxStaleness = 6.0

// mutant modifies the input or output of a node as if one of its safeguards were missing. Nil fields modify nothing.
type mutant struct {
	rewriteEvent func(n *Node, event Event) Event // returns the event that the node receives instead; may modify the node
	rewriteLease func(lease relay.Seconds) relay.Seconds
	firstSeed    int // where the search of histories starts, shortly before the first one with a violation
}

// checkInvariant verifies the invariant: it compares the lists that relays may use with the true history of discovery's list.
func (s *simulation) checkInvariant() {
	for _, host := range s.relays {
		if host.stopped || host.leaseExpiresAt <= s.now {
			continue
		}
		s.leasesHeld++
		for endpoint, number := range host.listed {
			leftAt, left := s.leftAt[endpointProcess{endpoint, number}]
			if left && s.upTime()-leftAt > maxStaleness {
				s.violation = fmt.Errorf("at %.2f s relay %d has a lease until %.2f s and lists a process that left %.2f s of up-time ago",
					s.now, host.number, host.leaseExpiresAt, s.upTime()-leftAt)
				return
			}
		}
	}
}

func TestNoLeaseOutlivesABindingChange(t *testing.T) {
	checks, leases := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s, err := simulate(histories().Draw(t, "history"), mutant{})
		if err != nil {
			t.Fatal(err)
		}
		checks += s.nodes * historySeconds * 20
		leases += s.leasesHeld
	})
	t.Logf("leases held in %d of %d checks", leases, checks)
	if leases < checks/2 {
		t.Errorf("leases held in %d of %d checks, want at least half: a node without leases is useless", leases, checks)
	}
}

// rewriteMessage applies a change to the message in an event, if it contains one.
func rewriteMessage(event Event, change func(*message)) Event {
	received, ok := event.(MessageReceived)
	if !ok {
		return event
	}
	m, err := decode(received.Body)
	if err != nil {
		return event
	}
	change(&m)
	return MessageReceived{received.From, m.encode()}
}

// mutants are nodes that each lack one safeguard.
var mutants = map[string]mutant{
	"a lease never ends": {rewriteLease: func(lease relay.Seconds) relay.Seconds {
		if lease > 0 {
			return Never
		}
		return 0
	}},
	"failed polls count without contact": {rewriteEvent: func(n *Node, event Event) Event {
		n.agreedAt, n.contactSince = n.now, -Never
		return event
	}},
	"failed polls count though a peer has a newer list": {firstSeed: 50, rewriteEvent: func(n *Node, event Event) Event {
		n.newestGeneration = n.version.generation
		return rewriteMessage(event, func(m *message) {
			if m.delta == nil && m.version.generation > n.version.generation {
				m.version = n.version
			}
		})
	}},
	"a delta is complete with its first datagram": {rewriteEvent: func(n *Node, event Event) Event {
		return rewriteMessage(event, func(m *message) {
			if m.delta != nil {
				m.delta.part, m.delta.parts = 0, 1
			}
		})
	}},
	"a cached list counts as confirmed": {rewriteEvent: func(n *Node, event Event) Event {
		if cached, ok := event.(CachedList); ok {
			return PollAnswered(cached)
		}
		return event
	}},
	"a stalled poll counts as a watch that was held": {rewriteEvent: func(n *Node, event Event) Event {
		if failed, ok := event.(PollFailed); ok && failed.Stalled {
			return PollFailed{}
		}
		return event
	}},
	"a node sends deltas from versions that it never held completely": {firstSeed: 350, rewriteEvent: func(n *Node, event Event) Event {
		if !slices.Contains(n.list.versions, n.version) {
			n.list.rememberVersion(n.version)
		}
		return event
	}},
}

func TestCheckerFindsEachMissingSafeguard(t *testing.T) {
	const searched = 100 // histories per mutant
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := m.firstSeed; seed < m.firstSeed+searched; seed++ {
				h := histories().Example(seed)
				_, violation := simulate(h, m)
				if violation == nil {
					continue
				}
				if _, err := simulate(h, mutant{}); err != nil {
					t.Fatalf("history %d with all safeguards: %v", seed, err)
				}
				t.Logf("history %d: %v", seed, violation)
				return
			}
			t.Errorf("no violation in %d histories", searched)
		})
	}
}
