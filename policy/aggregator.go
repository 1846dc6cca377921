package policy

import (
	"math"
	"slices"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	aggregatorCount   = 4   // lowest-numbered relays that aggregate (DESIGN)
	aggregatorTimeout = 3.0 // s without a decision after which an aggregator counts as lost: three decisions
)

// peerState is the last report of one relay, and its last decision where it is an aggregator.
type peerState struct {
	report      peerwire.Report
	reportedAt  relay.Seconds
	hasReported bool

	decision      peerwire.Decision
	decidedAt     relay.Seconds
	expectedSince relay.Seconds // when it was first counted on as an aggregator; 0: never
}

// aggregator weighs all relays' verdicts, announces its decision, and votes. On a relay that is none of the
// aggregators it follows their decisions.
type aggregator struct {
	p          *Policy
	peers      []peerState // by relay
	nextLookAt relay.Seconds
	active     bool // this relay is an aggregator

	wanted      relay.Vote    // what should stand, by own or others' decision
	wantedSince relay.Seconds // since when
	reason      string        // what speaks for a rollback
	announced   relay.Vote    // own decision, last sent to all
	announcedAt relay.Seconds

	cast       relay.Vote // the vote that stands, or is under way
	castAt     relay.Seconds
	nextVoteAt relay.Seconds // not to vote before
	pending    bool          // a vote is under way
	confirmed  bool          // the platform has counted it

	cleanAt relay.Seconds // when the pooled counts were last not flagged
	slowAt  relay.Seconds // when the fleet was last as fast as before the trial
}

func newAggregator(p *Policy) aggregator {
	return aggregator{p: p, peers: make([]peerState, max(p.settings.Relays, int(p.settings.Self)+1))}
}

func (a *aggregator) receive(m message) {
	if m, ok := m.(peerReport); ok {
		a.reportReceived(m.from, m.report)
	}
}

func (a *aggregator) tick() {
	if a.p.now >= a.nextLookAt {
		a.nextLookAt = a.p.now + judgeInterval
		a.updateWanted()
	}
	a.castVote()
}

// members returns the relays that aggregate: the lowest-numbered few that were heard of lately.
func (a *aggregator) members() (members []relay.ID) {
	for i := 0; i < a.p.settings.Relays && len(members) < aggregatorCount; i++ {
		peer, id := &a.peers[i], relay.ID(i)
		if peer.expectedSince == 0 {
			peer.expectedSince = a.p.now
		}
		lastSign := math.Max(peer.expectedSince, peer.decidedAt)
		if id == a.p.settings.Self || a.p.now-lastSign < aggregatorTimeout {
			members = append(members, id)
		}
	}
	return members
}

// reportReceived keeps a relay's last report, and passes the ends of its attempts on to the endpoints.
func (a *aggregator) reportReceived(from relay.ID, report peerwire.Report) {
	if int(from) >= len(a.peers) {
		return
	}
	for _, observed := range report.Observations {
		if endpoint := a.p.endpoints.byHash[observed.Endpoint]; endpoint != nil {
			endpoint.learn(observed, peerEvidence)
		}
	}
	peer := &a.peers[from]
	peer.report = report
	peer.report.Observations = nil // passed on: only the verdicts count later
	peer.reportedAt = a.p.now
	peer.hasReported = true
}

// decisionReceived keeps an aggregator's last decision, and its latency ratios where this relay learns none
// of its own.
func (a *aggregator) decisionReceived(from relay.ID, decision peerwire.Decision) {
	if int(from) >= len(a.peers) {
		return
	}
	peer := &a.peers[from]
	peer.decision = decision
	peer.decidedAt = a.p.now
	for i, ratio := range decision.Ratios {
		known := a.p.latency.ofType(relay.MachineType(i))
		if !a.active && ratio > 0 {
			*known = window.Mean{Value: ratio, Samples: minRatioSamples}
		}
	}
}

// updateWanted renews what this relay wants to vote: by all reports as an aggregator, else by most
// decisions.
func (a *aggregator) updateWanted() {
	canary := &a.p.canary
	a.active = slices.Contains(a.members(), a.p.settings.Self)
	wanted := relay.Vote{Build: canary.status.Build, Stage: canary.status.Stage}
	decisions := a.countDecisions(wanted)
	if a.active || decisions.aggregators == 0 {
		wanted.Verdict = a.decide()
	} else if canary.canRollBack() {
		a.cleanAt, a.slowAt = a.p.now, a.p.now
		wanted.Verdict = decisions.majority()
	}
	if wanted != a.wanted {
		a.wanted = wanted
		a.wantedSince = a.p.now
	}
	if a.announcementDue(wanted) {
		a.announced = wanted
		a.announcedAt = a.p.now
		a.announce(wanted)
	}
}

func (a *aggregator) announcementDue(wanted relay.Vote) bool {
	hasPeers := a.p.settings.Limits.PeerMessages && a.p.settings.Relays > 1
	return a.active && hasPeers && (a.announced != wanted || a.p.now-a.announcedAt >= verdictInterval)
}

// announce sends this aggregator's decision to every relay.
func (a *aggregator) announce(wanted relay.Vote) {
	decision := peerwire.Decision{Build: wanted.Build, Stage: wanted.Stage, Verdict: wanted.Verdict}
	for _, ratio := range a.p.latency.byType {
		decision.Ratios = append(decision.Ratios, ratio.Value)
	}
	a.p.emit(relay.SendMessage{To: relay.Broadcast, Body: decision.Encode()})
}

// decisionCounts counts the decisions of the aggregators heard of late.
type decisionCounts struct {
	byVerdict   [relay.VoteRollBack + 1]int
	aggregators int
}

// countDecisions counts the decisions for a build and stage. A rollback counts at any stage.
func (a *aggregator) countDecisions(at relay.Vote) (counts decisionCounts) {
	for i := range a.peers {
		peer := &a.peers[i]
		lost := peer.decidedAt == 0 || a.p.now-peer.decidedAt > aggregatorTimeout
		if lost || peer.decision.Verdict > relay.VoteRollBack {
			continue
		}
		counts.aggregators++
		sameStage := peer.decision.Stage == at.Stage || peer.decision.Verdict == relay.VoteRollBack
		if peer.decision.Build == at.Build && sameStage {
			counts.byVerdict[peer.decision.Verdict]++
		}
	}
	return counts
}

// majority is the verdict of more than half of the aggregators, if there is one.
func (c *decisionCounts) majority() relay.Verdict {
	for verdict, n := range c.byVerdict {
		if 2*n > c.aggregators {
			return relay.Verdict(verdict)
		}
	}
	return relay.NoVote
}
