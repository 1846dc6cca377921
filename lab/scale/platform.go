package scale

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

// platform simulates the release platform of one service. It rolls out builds, counts votes, and starts and drains endpoints.
type platform struct {
	service            *service
	status             relay.RolloutStatus // rollout status of the newest build
	stageStartedAt     float64             // start of the current phase or stage
	statusSentAt       float64             // when the status was last sent
	votes              []receivedVote      // indexed by number of the relay
	defects            map[relay.Build]defect
	releases           []Release
	newestLaunched     int     // number of started endpoints of the newest build
	lastEndpointNumber int     // number in the name of the endpoint started last, counted over all builds
	retireAt           float64 // when the endpoints of earlier builds are drained, or never if that is not planned
	rolledBackAt       float64 // when the rollback of the newest build started, or never
	placer             *placer
}

func newPlatform(s *service, p *placer) *platform {
	return &platform{
		service:      s,
		status:       relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1},
		votes:        make([]receivedVote, len(s.relays)),
		defects:      map[relay.Build]defect{1: noDefect},
		rolledBackAt: never,
		retireAt:     never,
		placer:       p,
	}
}

func (p *platform) defectOf(build relay.Build) defect { return p.defects[build] }

// advance applies the changes that are due, and reports whether the rollout status has to be sent.
func (p *platform) advance(now float64) bool {
	if now >= p.retireAt {
		p.retireEarlierBuilds(now)
	}
	releaseDue := now >= firstRelease+releaseInterval*float64(len(p.releases))
	withdrawDue := p.status.Phase == relay.PhaseRollingBack && now >= p.rolledBackAt+withdrawDelay
	statusDue := now >= p.statusSentAt+statusInterval
	switch {
	case releaseDue:
		p.startRelease(now)
	case withdrawDue:
		p.setPhase(now, relay.PhaseWithdrawn, p.status.Stage, 0)
	case !statusDue:
		return false
	}
	p.statusSentAt = now
	return true
}

// retireEarlierBuilds drains the endpoints of earlier builds. After that, the release can no longer be rolled back.
func (p *platform) retireEarlierBuilds(now float64) {
	p.retireAt = never
	p.drain(now, func(e *endpoint) bool { return e.build != p.status.Build })
}

// startRelease ends the previous release and starts the rollout of the next build.
func (p *platform) startRelease(now float64) {
	if p.retireAt != never {
		p.retireEarlierBuilds(now)
	}
	if count := len(p.releases); count > 0 {
		p.releases[count-1].Ended = true
		if p.status.Phase == relay.PhaseCanary {
			p.drainNewestBuild(now)
		}
	}
	kind, defect := releaseFor(p.service.index, len(p.releases))
	build := p.status.Build + 1
	p.defects[build] = defect
	p.releases = append(p.releases, Release{
		Service:         p.service.index,
		Build:           int(build),
		Kind:            kind.String(),
		Bad:             defect != noDefect,
		OfferedAt:       now,
		RolledBackAfter: -1,
		ReleasedAfter:   -1,
	})
	p.newestLaunched = 0
	p.rolledBackAt = never
	p.status.Build = build
	p.setPhase(now, relay.PhaseCanary, 0, stages[0].exposureLimit)
	p.launch(now, stages[0].share)
}

// setPhase changes the rollout status of the newest build and discards earlier votes.
func (p *platform) setPhase(now float64, phase relay.Phase, stage relay.Stage, exposureLimit float64) {
	p.status.Phase = phase
	p.status.Stage = stage
	p.status.ExposureLimit = exposureLimit
	p.stageStartedAt = now
	clear(p.votes)
}

// launch starts endpoints of the newest build until their number, at least two, is the given share of
// service.endpointsBetweenReleases.
func (p *platform) launch(now, share float64) {
	wanted := max(2, int(math.Ceil(share*float64(p.service.endpointsBetweenReleases))))
	for ; p.newestLaunched < wanted; p.newestLaunched++ {
		p.lastEndpointNumber++
		name := fmt.Sprintf("s%d-b%d-%d", p.service.index, p.status.Build, p.lastEndpointNumber)
		kind := p.lastEndpointNumber % len(machineKinds)
		p.service.add(now, newEndpoint(name, p.placer.nextPlace(), kind, p.status.Build, now))
	}
}

// drain drains the ready endpoints for which matches returns true.
func (p *platform) drain(now float64, matches func(*endpoint) bool) {
	for _, e := range p.service.endpoints {
		if e.state == relay.Ready && matches(e) {
			p.service.drain(now, e)
		}
	}
}

func (p *platform) drainNewestBuild(now float64) {
	p.drain(now, func(e *endpoint) bool { return e.build == p.status.Build })
}

// receiveVote counts a vote unless it is stale, and returns the reply to it.
func (p *platform) receiveVote(now float64, from relay.ID, weight float64, vote relay.Vote) relay.VoteReply {
	if p.isStale(vote) {
		return relay.ReplyStale
	}
	p.votes[from] = receivedVote{vote, now, weight}
	p.countVotes(now)
	return relay.ReplyCounted
}

// isStale reports whether a vote is about a build or a stage that is no longer current. A released build can be rolled back
// until the endpoints of earlier builds are drained.
func (p *platform) isStale(vote relay.Vote) bool {
	phase := p.status.Phase
	ended := phase == relay.PhaseRollingBack || phase == relay.PhaseWithdrawn
	irrevocable := phase == relay.PhaseReleased && p.retireAt == never
	if vote.Build != p.status.Build || ended || irrevocable {
		return true
	}
	if vote.Verdict == relay.VoteRollBack {
		return false
	}
	return vote.Stage != p.status.Stage || phase == relay.PhaseReleased
}

// countVotes rolls the newest build back or promotes it if the valid votes reach the required share of the relays.
func (p *platform) countVotes(now float64) {
	var sum [relay.VoteRollBack + 1]float64
	for _, vote := range p.votes {
		if vote.weight > 0 && now-vote.receivedAt <= voteTTL {
			sum[vote.Verdict] += vote.weight
		}
	}
	relays := float64(len(p.service.relays))
	release := &p.releases[len(p.releases)-1]
	switch {
	case sum[relay.VoteRollBack] >= math.Max(1, rollBackShare*relays)-voteTolerance:
		p.rollBack(now, release)
	case sum[relay.VotePromote] >= math.Max(1, promoteShare*relays)-voteTolerance && sum[relay.VoteHold] == 0:
		p.promote(now, release)
	default:
		return
	}
	p.statusSentAt = -statusInterval // the status is due at once
}

func (p *platform) rollBack(now float64, release *Release) {
	release.RolledBackAfter = now - release.OfferedAt
	release.Ended = true
	p.rolledBackAt = now
	p.retireAt = never
	p.setPhase(now, relay.PhaseRollingBack, p.status.Stage, 0)
	p.drainNewestBuild(now)
}

// promote advances the newest build to the next stage, or releases it fully after the last one.
func (p *platform) promote(now float64, release *Release) {
	if next := int(p.status.Stage) + 1; next < len(stages) {
		p.setPhase(now, relay.PhaseCanary, relay.Stage(next), stages[next].exposureLimit)
		p.launch(now, stages[next].share)
		return
	}
	release.ReleasedAfter = now - release.OfferedAt
	release.Ended = true
	p.setPhase(now, relay.PhaseReleased, p.status.Stage, 1)
	p.launch(now, 1)
	p.retireAt = now + retireDelay
}

// statusAt returns the rollout status with its age as of now.
func (p *platform) statusAt(now float64) relay.RolloutStatus {
	status := p.status
	status.Age = math.Max(now-p.stageStartedAt, 0)
	return status
}
