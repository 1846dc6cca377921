package scale

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

// Facts of the releases.
const (
	firstRelease    = 8.0  // s: by then the relays know the usual pace
	releaseInterval = 40.0 // s between two releases of a service; one that is still on trial then is withdrawn
	retireDelay     = 5.0  // s from a release until the earlier units leave: by then the others are warm
	withdrawDelay   = 3.0  // s from the decision to send a build back to its end
	statusInterval  = 5.0  // s between news that say the same again
	voteTTL         = 20.0 // s that a vote counts
	promoteShare    = 0.5  // part of the relays whose votes move a build on
	rollBackShare   = 0.4  // the same for sending it back
	holdShare       = 0.1
	statusDelay     = 0.04 // s until news and votes arrive
)

// stages are the parts of the fleet that a build on trial gets, and the caps on its requests.
var stages = []struct{ units, cap float64 }{{0.1, 0.05}, {0.4, 0.25}}

// releaseKind is what is wrong with a release.
type releaseKind int

const (
	badForOneService releaseKind = iota // the same build goes to several services, and fails in one of them
	goodRelease                         // nothing
	failingRelease                      // it fails everywhere
	slowRelease                         // it takes far longer everywhere
	releaseKindCount
)

const (
	defectFailureRate = 0.25
	defectSlowdown    = 2.5
)

func (k releaseKind) String() string {
	return [...]string{"bad-for-one-service", "good", "failing", "slow"}[k]
}

// releaseFor is the kind of a service's release by its number, and what is wrong there. Services form one cohort for each
// kind and rotate through the kinds, so that every kind is on trial somewhere at any time.
func releaseFor(service, release int) (releaseKind, defect) {
	cohort := service % int(releaseKindCount)
	kind := releaseKind((cohort + release) % int(releaseKindCount))
	switch {
	case kind == failingRelease, kind == badForOneService && service == cohort: // the largest of its cohort is the one
		return kind, defect{failureRate: defectFailureRate, slowdown: 1}
	case kind == slowRelease:
		return kind, defect{slowdown: defectSlowdown}
	}
	return kind, noDefect
}

// Release is one release of one service.
type Release struct {
	Service   int     `json:"service"`
	Build     int     `json:"build"`
	Kind      string  `json:"kind"`
	Bad       bool    `json:"bad"`
	OfferedAt float64 `json:"offered_at"`
	// RolledBackAfter and ReleasedAfter are seconds from the offer; negative: it did not come to that.
	RolledBackAfter float64 `json:"back_after"`
	ReleasedAfter   float64 `json:"released_after"`
	Ended           bool    `json:"ended"` // the next release came, or one of the above
}

// platform is the stand-in for the platform of one service: it counts votes and launches units.
type platform struct {
	service           *service
	status            relay.RolloutStatus
	stageStartedAt    float64 // when the present stage began
	statusSentAt      float64
	votes             []castVote // by relay; the last of each
	defects           map[relay.Build]defect
	releases          []Release
	endpointsLaunched int // units of the newest build
	endpointsNamed    int
	retireAt          float64 // when the units of earlier builds leave; never: no release has been
	rolledBackAt      float64 // when the newest build was sent back; never: it was not
	placer            *placer
}

type castVote struct {
	relay.Vote
	receivedAt, weight float64
}

func newPlatform(s *service, p *placer) *platform {
	return &platform{service: s, status: relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1},
		votes: make([]castVote, len(s.relays)), defects: map[relay.Build]defect{1: noDefect}, rolledBackAt: never, retireAt: never, placer: p}
}

func (p *platform) defect(b relay.Build) defect { return p.defects[b] }

// due offers the next build when it is time, has the earlier units leave behind a release, and ends builds that were sent
// back. It says whether there are news.
func (p *platform) advance(now float64) bool {
	if now >= p.retireAt {
		p.retireEarlierBuilds(now)
	}
	switch {
	case now >= firstRelease+releaseInterval*float64(len(p.releases)):
		p.startRelease(now)
	case p.status.Phase == relay.PhaseRollingBack && now >= p.rolledBackAt+withdrawDelay:
		p.setPhase(now, relay.PhaseWithdrawn, p.status.Stage, 0)
	case now >= p.statusSentAt+statusInterval:
	default:
		return false
	}
	p.statusSentAt = now
	return true
}

// retire has the units of earlier builds leave. From then on the release stands.
func (p *platform) retireEarlierBuilds(now float64) {
	p.retireAt = never
	p.drain(now, func(e *endpoint) bool { return e.build != p.status.Build })
}

func (p *platform) startRelease(now float64) {
	if p.retireAt != never {
		p.retireEarlierBuilds(now)
	}
	if n := len(p.releases); n > 0 {
		p.releases[n-1].Ended = true
		if p.status.Phase == relay.PhaseCanary {
			p.drain(now, func(e *endpoint) bool { return e.build == p.status.Build })
		}
	}
	kind, wrong := releaseFor(p.service.index, len(p.releases))
	build := p.status.Build + 1
	p.defects[build] = wrong
	p.releases = append(p.releases, Release{Service: p.service.index, Build: int(build), Kind: kind.String(),
		Bad: wrong != noDefect, OfferedAt: now, RolledBackAfter: -1, ReleasedAfter: -1})
	p.endpointsLaunched, p.rolledBackAt = 0, never
	p.status.Build = build
	p.setPhase(now, relay.PhaseCanary, 0, stages[0].cap)
	p.launch(now, stages[0].units)
}

func (p *platform) setPhase(now float64, phase relay.Phase, stage relay.Stage, cap float64) {
	p.status.Phase, p.status.Stage, p.status.ExposureLimit = phase, stage, cap
	p.stageStartedAt = now
	clear(p.votes)
}

// launch starts units of the newest build until they are a part of the service's.
func (p *platform) launch(now, part float64) {
	for want := max(2, int(math.Ceil(part*float64(p.service.established)))); p.endpointsLaunched < want; p.endpointsLaunched++ {
		p.endpointsNamed++
		name := fmt.Sprintf("s%d-b%d-%d", p.service.index, p.status.Build, p.endpointsNamed)
		p.service.add(now, newEndpoint(name, p.placer.place(), p.endpointsNamed%len(machineKinds), p.status.Build, now))
	}
}

// drain has units leave.
func (p *platform) drain(now float64, which func(*endpoint) bool) {
	for _, e := range p.service.endpoints {
		if e.state == relay.Ready && which(e) {
			p.service.drain(now, e)
		}
	}
}

// vote takes a vote and says how it is answered.
func (p *platform) receiveVote(now float64, from relay.RelayID, weight float64, v relay.Vote) relay.VoteReply {
	if v.Build != p.status.Build || p.status.Phase == relay.PhaseRollingBack || p.status.Phase == relay.PhaseWithdrawn ||
		p.status.Phase == relay.PhaseReleased && p.retireAt == never ||
		v.Verdict != relay.VoteRollBack && (v.Stage != p.status.Stage || p.status.Phase == relay.PhaseReleased) {
		return relay.ReplyStale
	}
	p.votes[from] = castVote{v, now, weight}
	p.countVotes(now)
	return relay.ReplyCounted
}

// count moves the newest build by the votes that stand.
func (p *platform) countVotes(now float64) {
	var sum [relay.VoteRollBack + 1]float64
	for _, v := range p.votes {
		if v.weight > 0 && now-v.receivedAt <= voteTTL {
			sum[v.Verdict] += v.weight
		}
	}
	relays := float64(len(p.service.relays))
	r := &p.releases[len(p.releases)-1]
	switch {
	case sum[relay.VoteRollBack] >= math.Max(1, rollBackShare*relays)-1e-6:
		r.RolledBackAfter, r.Ended, p.rolledBackAt, p.retireAt = now-r.OfferedAt, true, now, never
		p.setPhase(now, relay.PhaseRollingBack, p.status.Stage, 0)
		p.drain(now, func(e *endpoint) bool { return e.build == p.status.Build })
	case sum[relay.VotePromote] >= math.Max(1, promoteShare*relays)-1e-6 && sum[relay.VoteHold] == 0:
		p.promote(now, r)
	default:
		return
	}
	p.statusSentAt = -statusInterval // at once
}

func (p *platform) promote(now float64, r *Release) {
	if next := int(p.status.Stage) + 1; next < len(stages) {
		p.setPhase(now, relay.PhaseCanary, relay.Stage(next), stages[next].cap)
		p.launch(now, stages[next].units)
		return
	}
	r.ReleasedAfter, r.Ended = now-r.OfferedAt, true
	p.setPhase(now, relay.PhaseReleased, p.status.Stage, 1)
	p.launch(now, 1)
	p.retireAt = now + retireDelay
}

// state is the news as of now.
func (p *platform) statusAt(now float64) relay.RolloutStatus {
	n := p.status
	n.Age = math.Max(now-p.stageStartedAt, 0)
	return n
}
