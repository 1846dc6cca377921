package rollout

import (
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
)

// voteBurstSeconds is the burst of votes that is accepted at once, as a time at the permitted rate: after a network
// partition, many relays reconnect and vote together.
const voteBurstSeconds = 0.25

// vote is the latest vote of a relay. It expires after the TTL in the plan.
type vote struct {
	build   relay.Build
	step    plan.StepIndex
	verdict relay.Verdict
	at      plan.Unix
}

// Rejection is the reason why a vote was not counted, as an error code of the platform's protocol.
type Rejection string

// The values are error codes of the platform's protocol.
const (
	VoteCounted       Rejection = ""
	RejectedThrottled Rejection = "Throttling"
	RejectedStale     Rejection = "ConditionFailed"
	RejectedInvalid   Rejection = "ValidationError"
)

// Vote checks a relay's vote and returns the event that counts it. The caller has to store the event before it applies
// it or replies to the relay.
func (c *Core) Vote(service plan.ServiceIndex, voter string, v relay.Vote, at plan.Unix) (Event, Rejection) {
	now := c.advanceClock(at)
	state, spec := &c.services[service], &c.plan.Services[service]
	if !c.voters[service][voter] || !validVerdict(v.Verdict) {
		return Event{}, RejectedInvalid
	}
	if !state.voteBudget.take(now, spec.Votes.PerSecond) {
		return Event{}, RejectedThrottled
	}
	if state.isStaleVote(v) && !c.disabled.StaleVotes {
		return Event{}, RejectedStale
	}
	return Event{At: now, Kind: EventVoted, Service: spec.Name, Build: v.Build, Step: plan.StepIndex(v.Stage),
		Relay: voter, Verdict: v.Verdict}, VoteCounted
}

func validVerdict(verdict relay.Verdict) bool {
	return verdict >= relay.NoVote && verdict <= relay.VoteRollBack
}

// isStaleVote reports whether a vote is on a build other than the newest, on a withdrawn build, or on another step than
// the present one. A vote to roll back, or the withdrawal of a vote, is valid for any step.
func (s *serviceState) isStaleVote(v relay.Vote) bool {
	if !s.known || v.Build != s.newest.Build || s.newest.Phase == relay.PhaseWithdrawn {
		return true
	}
	anyStep := v.Verdict == relay.VoteRollBack || v.Verdict == relay.NoVote
	return !anyStep && int(v.Stage) != int(s.newest.Step)
}

// tokenBucket limits the rate of votes on one service, counted over all its relays.
type tokenBucket struct {
	tokens    float64
	updatedAt plan.Unix // 0: not used yet, so the bucket is full
}

// take refills the bucket at a rate per second and takes one token, if there is one.
func (b *tokenBucket) take(now plan.Unix, perSecond float64) bool {
	burst := math.Max(1, perSecond*voteBurstSeconds)
	b.tokens = math.Min(burst, b.tokens+(now-b.updatedAt)*perSecond)
	if b.updatedAt == 0 {
		b.tokens = burst
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// countVotes returns how many relays' latest votes have a verdict on the newest build and have not expired. Votes count
// only if they were cast on and in the present step; votes to roll back count for any step. The votes of relays that the plan
// does not have any more don't count, but do again if it has them before they expire.
func (c *Core) countVotes(service plan.ServiceIndex, verdict relay.Verdict, now plan.Unix) int {
	state, ttl := &c.services[service], c.plan.Services[service].Votes.TTL
	count := 0
	for voter, v := range state.votes {
		if !c.voters[service][voter] || v.verdict != verdict || v.build != state.newest.Build || now-v.at >= ttl {
			continue
		}
		onPresentStep := v.step == state.newest.Step && v.at >= state.newest.Since
		if verdict == relay.VoteRollBack || onPresentStep {
			count++
		}
	}
	return count
}

// votesNeeded returns how many votes a verdict needs to take effect.
func (c *Core) votesNeeded(service plan.ServiceIndex, verdict relay.Verdict) int {
	spec := &c.plan.Services[service]
	if spec.Votes.Control == plan.ControlSingleVote {
		return 1
	}
	share := 0.0
	switch verdict {
	case relay.VotePromote:
		share = spec.Votes.PromoteShare
	case relay.VoteHold:
		share = spec.Votes.HoldShare
	case relay.VoteRollBack:
		share = spec.Votes.RollBackShare
	}
	return quorum(share, len(spec.Relays))
}

// quorum returns the number of relays that make up a share of them, at least one.
func quorum(share float64, relays int) int {
	const tolerance = 1e-9 // rounding errors must not raise 0.1 of 10 relays to two
	return max(1, int(math.Ceil(share*float64(relays)-tolerance)))
}
