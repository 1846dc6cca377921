package policy

import (
	"testing"

	"lichenroad/relay"
)

// Aggregators used to vote for promotion while no endpoint of the build was listed yet, stage by stage until the build
// was to run on the whole fleet.
func TestNoPromotionBeforeEndpointsAreListed(t *testing.T) {
	w := newWorld(t, testSettings())
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
		relay.RolloutStatus{Valid: true, Build: 6, ExposureLimit: 0.1})
	requestEachTick := func() []relay.Event { return []relay.Event{w.newRequest(0, 0)} }
	w.run(12, requestEachTick)
	if len(w.votes) > 0 {
		t.Fatal("votes before an endpoint of the build was listed:", w.votes)
	}
	w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(1, 6, 20)})
	w.run(6, requestEachTick)
	if len(w.votes) == 0 || w.votes[0].Verdict != relay.VotePromote {
		t.Error("no vote for promotion after an endpoint was listed and answered without failures:", w.votes)
	}
}

// A build that turned bad some seconds after its start used to be released before that showed, and after the release
// there was no earlier build to go back to.
func TestLastStageWaits(t *testing.T) {
	good := failEvery(1, 0, func(relay.Endpoint) bool { return false })
	votedToPromote := func(w *world) bool {
		for _, vote := range w.votes {
			if vote.Verdict == relay.VotePromote {
				return true
			}
		}
		return false
	}
	lastStage := relay.RolloutStatus{Valid: true, Build: 6, Stage: 3, ExposureLimit: 1}
	if w := runCanary(t, startedAt(entries(8, 6, 20), 11), lastStage, lateFaultAge-1, good); votedToPromote(w) {
		t.Error("vote for the release before the first machines were old enough")
	} else if w.run(2.5, w.requestEachTick); !votedToPromote(w) {
		t.Error("no vote for the release after many good attempts at machines beyond the age at which builds turn bad")
	}
	w := runCanary(t, startedAt(entries(8, 6, 20), 11), lastStage, 0, good)
	if w.run(matureAge-2, w.requestEvery(20)); votedToPromote(w) { // few attempts delay the vote by some seconds
		t.Error("vote for the release after only a few attempts")
	} else if w.run(2, w.requestEvery(20)); !votedToPromote(w) {
		t.Error("no vote for the release although the first machines are mature")
	}
	// The next build is due, which would end the trial.
	w = runCanary(t, nil, relay.RolloutStatus{Valid: true, Build: 6, Phase: relay.PhaseWithdrawn}, 8, good)
	w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: startedAt(entries(8, 7, 20), w.now)},
		relay.RolloutStatus{Valid: true, Build: 7, Stage: 3, ExposureLimit: 1})
	if w.run(8, w.requestEachTick); !votedToPromote(w) {
		t.Error("no vote for the release before the next build was due")
	}
}

// Relays with an old status used to repeat their stale vote twice a second, which overloaded the platform.
func TestStaleVoteIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		reply              relay.VoteReply
		minVotes, maxVotes int
	}{{relay.ReplyStale, 1, 2}, {relay.ReplyNotCounted, 4, 12}} {
		w := newWorld(t, testSettings())
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(8, 5, 1), entries(8, 6, 20)...)},
			relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4})
		answered := 0
		w.run(9, func() []relay.Event {
			events := w.requestEachTick()
			for ; answered < len(w.votes); answered++ {
				events = append(events, relay.RolloutStatus{Reply: c.reply})
			}
			return events
		})
		if n := len(w.votes); n < c.minVotes || n > c.maxVotes {
			t.Errorf("reply %d: %d votes in 9 s, wanted %d to %d", c.reply, n, c.minVotes, c.maxVotes)
		}
	}
}
