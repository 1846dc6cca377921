package scale

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

// Facts of the releases.
const (
	firstRelease  = 8.0  // s: by then the relays know the usual pace
	releaseEvery  = 40.0 // s between two releases of a service; one that is still on trial then is withdrawn
	retireAfter   = 5.0  // s from a release until the earlier units leave: by then the others are warm
	withdrawAfter = 3.0  // s from the decision to send a build back to its end
	newsEvery     = 5.0  // s between news that say the same again
	voteLife      = 20.0 // s that a vote counts
	votesForward  = 0.5  // part of the relays whose votes move a build on
	votesBack     = 0.4  // the same for sending it back
	votesHold     = 0.1
	newsDelay     = 0.04 // s until news and votes arrive
)

// stages are the parts of the fleet that a build on trial gets, and the caps on its requests.
var stages = []struct{ units, cap float64 }{{0.1, 0.05}, {0.4, 0.25}}

// releaseKind is what is wrong with a release.
type releaseKind int

const (
	badForOne   releaseKind = iota // the same build goes to several services, and fails in one of them
	goodRelease                    // nothing
	failing                        // it fails everywhere
	slow                           // it takes far longer everywhere
	releaseKinds
)

const (
	failingPart = 0.25
	slowTimes   = 2.5
)

func (k releaseKind) String() string {
	return [...]string{"bad-for-one-service", "good", "failing", "slow"}[k]
}

// releaseOf is the kind of a service's release by its number, and what is wrong there. Services form one cohort for each
// kind and rotate through the kinds, so that every kind is on trial somewhere at any time.
func releaseOf(service, release int) (releaseKind, defect) {
	cohort := service % int(releaseKinds)
	kind := releaseKind((cohort + release) % int(releaseKinds))
	switch {
	case kind == failing, kind == badForOne && service == cohort: // the largest of its cohort is the one
		return kind, defect{fails: failingPart, slower: 1}
	case kind == slow:
		return kind, defect{slower: slowTimes}
	}
	return kind, sound
}

// Release is one release of one service.
type Release struct {
	Service   int     `json:"service"`
	Build     int     `json:"build"`
	Kind      string  `json:"kind"`
	Bad       bool    `json:"bad"`
	OfferedAt float64 `json:"offered_at"`
	// BackAfter and ReleasedAfter are seconds from the offer; negative: it did not come to that.
	BackAfter     float64 `json:"back_after"`
	ReleasedAfter float64 `json:"released_after"`
	Ended         bool    `json:"ended"` // the next release came, or one of the above
}

// platform is the stand-in for the platform of one service: it counts votes and launches units.
type platform struct {
	service  *service
	news     relay.RolloutStatus
	since    float64 // when the present stage began
	toldAt   float64
	votes    []castVote // by relay; the last of each
	defects  map[relay.Build]defect
	releases []Release
	launched int // units of the newest build
	names    int
	retireAt float64 // when the units of earlier builds leave; never: no release has been
	backAt   float64 // when the newest build was sent back; never: it was not
	placer   *placer
}

type castVote struct {
	relay.Vote
	at, weight float64
}

func newPlatform(s *service, p *placer) *platform {
	return &platform{service: s, news: relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1},
		votes: make([]castVote, len(s.relays)), defects: map[relay.Build]defect{1: sound}, backAt: never, retireAt: never, placer: p}
}

func (p *platform) defect(b relay.Build) defect { return p.defects[b] }

// due offers the next build when it is time, has the earlier units leave behind a release, and ends builds that were sent
// back. It says whether there are news.
func (p *platform) due(now float64) bool {
	if now >= p.retireAt {
		p.retire(now)
	}
	switch {
	case now >= firstRelease+releaseEvery*float64(len(p.releases)):
		p.offer(now)
	case p.news.Phase == relay.PhaseRollingBack && now >= p.backAt+withdrawAfter:
		p.change(now, relay.PhaseWithdrawn, p.news.Stage, 0)
	case now >= p.toldAt+newsEvery:
	default:
		return false
	}
	p.toldAt = now
	return true
}

// retire has the units of earlier builds leave. From then on the release stands.
func (p *platform) retire(now float64) {
	p.retireAt = never
	p.drain(now, func(u *unit) bool { return u.build != p.news.Build })
}

func (p *platform) offer(now float64) {
	if p.retireAt != never {
		p.retire(now)
	}
	if n := len(p.releases); n > 0 {
		p.releases[n-1].Ended = true
		if p.news.Phase == relay.PhaseCanary {
			p.drain(now, func(u *unit) bool { return u.build == p.news.Build })
		}
	}
	kind, wrong := releaseOf(p.service.index, len(p.releases))
	build := p.news.Build + 1
	p.defects[build] = wrong
	p.releases = append(p.releases, Release{Service: p.service.index, Build: int(build), Kind: kind.String(),
		Bad: wrong != sound, OfferedAt: now, BackAfter: -1, ReleasedAfter: -1})
	p.launched, p.backAt = 0, never
	p.news.Build = build
	p.change(now, relay.PhaseCanary, 0, stages[0].cap)
	p.launch(now, stages[0].units)
}

func (p *platform) change(now float64, phase relay.Phase, stage relay.Stage, cap float64) {
	p.news.Phase, p.news.Stage, p.news.ExposureLimit = phase, stage, cap
	p.since = now
	clear(p.votes)
}

// launch starts units of the newest build until they are a part of the service's.
func (p *platform) launch(now, part float64) {
	for want := max(2, int(math.Ceil(part*float64(p.service.established)))); p.launched < want; p.launched++ {
		p.names++
		name := fmt.Sprintf("s%d-b%d-%d", p.service.index, p.news.Build, p.names)
		p.service.add(now, newUnit(name, p.placer.place(), p.names%len(machineKinds), p.news.Build, now))
	}
}

// drain has units leave.
func (p *platform) drain(now float64, which func(*unit) bool) {
	for _, u := range p.service.units {
		if u.state == relay.Ready && which(u) {
			p.service.drain(now, u)
		}
	}
}

// vote takes a vote and says how it is answered.
func (p *platform) vote(now float64, from relay.ID, weight float64, v relay.Vote) relay.VoteReply {
	if v.Build != p.news.Build || p.news.Phase == relay.PhaseRollingBack || p.news.Phase == relay.PhaseWithdrawn ||
		p.news.Phase == relay.PhaseReleased && p.retireAt == never ||
		v.Verdict != relay.VoteRollBack && (v.Stage != p.news.Stage || p.news.Phase == relay.PhaseReleased) {
		return relay.ReplyStale
	}
	p.votes[from] = castVote{v, now, weight}
	p.count(now)
	return relay.ReplyCounted
}

// count moves the newest build by the votes that stand.
func (p *platform) count(now float64) {
	var sum [relay.VoteRollBack + 1]float64
	for _, v := range p.votes {
		if v.weight > 0 && now-v.at <= voteLife {
			sum[v.Verdict] += v.weight
		}
	}
	relays := float64(len(p.service.relays))
	r := &p.releases[len(p.releases)-1]
	switch {
	case sum[relay.VoteRollBack] >= math.Max(1, votesBack*relays)-1e-6:
		r.BackAfter, r.Ended, p.backAt, p.retireAt = now-r.OfferedAt, true, now, never
		p.change(now, relay.PhaseRollingBack, p.news.Stage, 0)
		p.drain(now, func(u *unit) bool { return u.build == p.news.Build })
	case sum[relay.VotePromote] >= math.Max(1, votesForward*relays)-1e-6 && sum[relay.VoteHold] == 0:
		p.forward(now, r)
	default:
		return
	}
	p.toldAt = -newsEvery // at once
}

func (p *platform) forward(now float64, r *Release) {
	if next := int(p.news.Stage) + 1; next < len(stages) {
		p.change(now, relay.PhaseCanary, relay.Stage(next), stages[next].cap)
		p.launch(now, stages[next].units)
		return
	}
	r.ReleasedAfter, r.Ended = now-r.OfferedAt, true
	p.change(now, relay.PhaseReleased, p.news.Stage, 1)
	p.launch(now, 1)
	p.retireAt = now + retireAfter
}

// state is the news as of now.
func (p *platform) state(now float64) relay.RolloutStatus {
	n := p.news
	n.Age = math.Max(now-p.since, 0)
	return n
}
