package policy

import (
	"testing"

	"lichenroad/relay"
)

// With no endpoint of the build listed yet, aggregators voted to promote it until it was the whole fleet.
func TestNoPromotionBeforeEndpointsAreListed(t *testing.T) {
	w := newWorld(t, plainSettings())
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
		relay.RolloutStatus{Valid: true, Build: 6, ExposureLimit: 0.1})
	load := func() []relay.Event { return []relay.Event{w.newRequest(0, 0)} }
	w.run(12, load)
	if len(w.votes) > 0 {
		t.Fatal("voted", w.votes)
	}
	w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(1, 6, 20)})
	w.run(6, load)
	if len(w.votes) == 0 || w.votes[0].Verdict != relay.VotePromote {
		t.Error("no vote on once the endpoint was listed and clean:", w.votes)
	}
}

// A build that turned bad some seconds after its start was released before, and there was nothing to be rolled back to.
func TestLastStageWaits(t *testing.T) {
	good := fails(1, 0, func(relay.Endpoint) bool { return false })
	released := func(w *world) bool {
		for _, v := range w.votes {
			if v.Verdict == relay.VotePromote {
				return true
			}
		}
		return false
	}
	last := relay.RolloutStatus{Valid: true, Build: 6, Stage: 3, ExposureLimit: 1}
	if w := canaryOf(t, started(entries(8, 6, 20), 11), last, lateFaultAge-1, good); released(w) {
		t.Error("released before its first machines were old")
	} else if w.run(2.5, w.load); !released(w) {
		t.Error("not released when many attempts had shown them well beyond the age at which builds turn bad")
	}
	w := canaryOf(t, started(entries(8, 6, 20), 11), last, 0, good)
	if w.run(matureAge-2, w.thin(20)); released(w) { // too few attempts at that age: some seconds more
		t.Error("released on a handful of attempts")
	} else if w.run(2, w.thin(20)); !released(w) {
		t.Error("not released at the latest age")
	}
	// The next build is due: it would end the trial.
	w = canaryOf(t, nil, relay.RolloutStatus{Valid: true, Build: 6, Phase: relay.PhaseWithdrawn}, 8, good)
	w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: started(entries(8, 7, 20), w.now)},
		relay.RolloutStatus{Valid: true, Build: 7, Stage: 3, ExposureLimit: 1})
	if w.run(8, w.load); !released(w) {
		t.Error("not released before the next build was due")
	}
}

// Relays that held old status cast a vote on what was past twice a second, all of them, and filled the platform.
func TestStaleVoteIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		reply              relay.VoteReply
		minVotes, maxVotes int
	}{{relay.ReplyStale, 1, 2}, {relay.ReplyNotCounted, 4, 12}} {
		w := newWorld(t, plainSettings())
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(8, 5, 1), entries(8, 6, 20)...)},
			relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4})
		seen := 0
		w.run(9, func() []relay.Event {
			events := w.load()
			for ; seen < len(w.votes); seen++ {
				events = append(events, relay.RolloutStatus{Reply: c.reply})
			}
			return events
		})
		if n := len(w.votes); n < c.minVotes || n > c.maxVotes {
			t.Errorf("reply %d: %d votes in nine seconds, wanted %d to %d", c.reply, n, c.minVotes, c.maxVotes)
		}
	}
}
