package policy

import (
	"math"
	"slices"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

// aggregatorCount is set by the design (docs/design.md).
const (
	aggregatorCount = 4 // number of relays that aggregate: those with the lowest numbers
	// seconds without a decision after which an aggregator counts as lost: three decisions
	aggregatorTimeout = 3.0
)

// peerState is the last report of one relay and, if it is an aggregator, its last decision.
type peerState struct {
	report      peerwire.Report
	reportedAt  relay.Seconds
	hasReported bool

	decision      peerwire.Decision
	decidedAt     relay.Seconds
	expectedSince relay.Seconds // when it was first expected to aggregate; 0: never
}

// aggregator combines the verdicts of all relays into a decision, broadcasts it and votes. On a relay
// that does not aggregate, it follows the decisions of the aggregators.
type aggregator struct {
	p                *Policy
	peers            []peerState // by relay
	nextEvaluationAt relay.Seconds
	active           bool // this relay aggregates

	desired       relay.Vote    // vote that this relay should have cast, by its own decision or the aggregators'
	desiredSince  relay.Seconds // when desired last changed
	reason        string        // reason for a rollback
	broadcastVote relay.Vote    // last decision that this aggregator broadcast
	broadcastAt   relay.Seconds

	cast       relay.Vote // vote that was last cast; NoVote if there is nothing to withdraw
	castAt     relay.Seconds
	nextVoteAt relay.Seconds // earliest time of the next vote
	pending    bool          // a vote has been sent and has no reply yet
	confirmed  bool          // the platform has counted it, or replied that it is stale

	lastUnflaggedAt relay.Seconds // when the pooled outcomes were last not flagged
	lastNotSlowAt   relay.Seconds // when the fleet was last not slower than before the trial
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
	if a.p.now >= a.nextEvaluationAt {
		a.nextEvaluationAt = a.p.now + evaluationInterval
		a.updateDesiredVote()
	}
	a.castVote()
}

// aggregatorIDs returns the relays that aggregate: those with the lowest numbers whose decisions arrive.
func (a *aggregator) aggregatorIDs() (ids []relay.ID) {
	for i := 0; i < a.p.settings.Relays && len(ids) < aggregatorCount; i++ {
		peer, id := &a.peers[i], relay.ID(i)
		if peer.expectedSince == 0 {
			peer.expectedSince = a.p.now
		}
		lastSign := math.Max(peer.expectedSince, peer.decidedAt)
		if id == a.p.settings.Self || a.p.now-lastSign < aggregatorTimeout {
			ids = append(ids, id)
		}
	}
	return ids
}

// reportReceived stores a relay's last report, and adds the reported attempts to the evidence on their
// endpoints.
func (a *aggregator) reportReceived(from relay.ID, report peerwire.Report) {
	if int(from) >= len(a.peers) {
		return
	}
	for _, observed := range report.Observations {
		if endpoint := a.p.endpoints.byHash[observed.Endpoint]; endpoint != nil {
			endpoint.recordObservation(observed, peerEvidence)
		}
	}
	peer := &a.peers[from]
	peer.report = report
	peer.report.Observations = nil // no longer needed: later only the verdicts are read
	peer.reportedAt = a.p.now
	peer.hasReported = true
}

// decisionReceived stores an aggregator's last decision. A relay that does not aggregate also takes over
// the latency ratios, since it gets no reports to compute them from.
func (a *aggregator) decisionReceived(from relay.ID, decision peerwire.Decision) {
	if int(from) >= len(a.peers) {
		return
	}
	peer := &a.peers[from]
	peer.decision = decision
	peer.decidedAt = a.p.now
	for i, ratio := range decision.Ratios {
		known := a.p.latency.machineTypeMean(relay.MachineType(i))
		if !a.active && ratio > 0 {
			*known = window.Mean{Value: ratio, Samples: minRatioSamples}
		}
	}
}

// updateDesiredVote recomputes the desired vote: from all reports on an aggregator, otherwise
// from the majority of the aggregators' decisions.
func (a *aggregator) updateDesiredVote() {
	canary := &a.p.canary
	a.active = slices.Contains(a.aggregatorIDs(), a.p.settings.Self)
	desired := relay.Vote{Build: canary.status.Build, Stage: canary.status.Stage}
	decisions := a.countDecisions(desired)
	if a.active || decisions.aggregators == 0 {
		desired.Verdict = a.decide()
	} else if canary.canRollBack() {
		a.lastUnflaggedAt, a.lastNotSlowAt = a.p.now, a.p.now
		desired.Verdict = decisions.majority()
	}
	if desired != a.desired {
		a.desired = desired
		a.desiredSince = a.p.now
	}
	if a.broadcastDue(desired) {
		a.broadcastVote = desired
		a.broadcastAt = a.p.now
		a.broadcastDecision(desired)
	}
}

func (a *aggregator) broadcastDue(desired relay.Vote) bool {
	hasPeers := a.p.settings.Limits.PeerMessages && a.p.settings.Relays > 1
	return a.active && hasPeers && (a.broadcastVote != desired || a.p.now-a.broadcastAt >= verdictInterval)
}

// broadcastDecision sends this aggregator's decision to every relay.
func (a *aggregator) broadcastDecision(desired relay.Vote) {
	decision := peerwire.Decision{Build: desired.Build, Stage: desired.Stage, Verdict: desired.Verdict}
	for _, ratio := range a.p.latency.byType {
		decision.Ratios = append(decision.Ratios, ratio.Value)
	}
	a.p.emit(relay.SendMessage{To: relay.Broadcast, Body: decision.Encode()})
}

// decisionCounts counts the recent decisions of the aggregators by verdict.
type decisionCounts struct {
	byVerdict   [relay.VoteRollBack + 1]int
	aggregators int
}

// countDecisions counts the decisions on a build and stage. A decision to roll back counts at any stage.
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

// majority is the verdict of more than half of the aggregators; NoVote if there is none.
func (c *decisionCounts) majority() relay.Verdict {
	for verdict, n := range c.byVerdict {
		if 2*n > c.aggregators {
			return relay.Verdict(verdict)
		}
	}
	return relay.NoVote
}
