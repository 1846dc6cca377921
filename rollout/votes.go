package rollout

import (
	"math"
	"slices"

	"lichenroad/plan"
	"lichenroad/relay"
)

// voteBurst is how many seconds' worth of votes may come at once: relays that were cut off come back together.
const voteBurst = 0.25

// vote is the latest vote of a relay. It expires after the plan's time.
type vote struct {
	build   relay.Build
	step    plan.StepIndex
	verdict relay.Verdict
	at      plan.Unix
}

// Rejection is why a vote was not counted, as the platform's protocol names it.
type Rejection string

// The protocol's errors.
const (
	VoteCounted       Rejection = ""
	RejectedThrottled Rejection = "Throttling"
	RejectedStale     Rejection = "ConditionFailed"
	RejectedInvalid   Rejection = "ValidationError"
)

// Vote checks a relay's vote and returns the event that counts it. The caller stores the event before it applies it
// or tells anybody of it.
func (c *Core) Vote(service plan.ServiceIndex, voter string, v relay.Vote, at plan.Unix) (Event, Rejection) {
	now := c.advanceClock(at)
	state, spec := &c.services[service], &c.plan.Services[service]
	mayVote := slices.ContainsFunc(spec.Relays, func(r plan.Relay) bool { return r.Name == voter })
	if !mayVote || !validVerdict(v.Verdict) {
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

// isStaleVote reports whether a vote is on a build that is not in progress or released, or on another step than the
// present one. A vote to roll back, or none at all, is good for any step.
func (s *serviceState) isStaleVote(v relay.Vote) bool {
	if !s.known || v.Build != s.newest.Build || s.newest.Phase == relay.PhaseWithdrawn {
		return true
	}
	anyStep := v.Verdict == relay.VoteRollBack || v.Verdict == relay.NoVote
	return !anyStep && int(v.Stage) != int(s.newest.Step)
}

// tokenBucket limits the rate of votes of one service, over all its relays.
type tokenBucket struct {
	tokens    float64
	updatedAt plan.Unix // 0: never used, and full
}

// take spends one token where there is one. Tokens come back at a rate per second.
func (b *tokenBucket) take(now plan.Unix, perSecond float64) bool {
	burst := math.Max(1, perSecond*voteBurst)
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

// countVotes returns how many relays hold a verdict on the newest build: on its present step, or on any step for a
// rollback.
func (c *Core) countVotes(service plan.ServiceIndex, verdict relay.Verdict, now plan.Unix) int {
	state, ttl := &c.services[service], c.plan.Services[service].Votes.TTL
	count := 0
	for _, v := range state.votes {
		if v.verdict != verdict || v.build != state.newest.Build || now-v.at >= ttl {
			continue
		}
		onPresentStep := v.step == state.newest.Step && v.at >= state.newest.Since
		if verdict == relay.VoteRollBack || onPresentStep {
			count++
		}
	}
	return count
}

// votesNeeded returns how many votes a verdict takes.
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

// quorum returns how many relays a share of them is, one at least.
func quorum(share float64, relays int) int {
	const rounding = 1e-9 // a share such as 0.1 of 10 relays must not need two
	return max(1, int(math.Ceil(share*float64(relays)-rounding)))
}
