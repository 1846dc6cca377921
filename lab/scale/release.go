package scale

import (
	"math"

	"lichenroad/relay"
)

// Properties of the releases. Durations are in seconds.
const (
	firstRelease    = 8.0  // by then the relays know the usual latency
	releaseInterval = 40.0 // of a service; a build that is still a canary at the next release is withdrawn
	retireDelay     = 5.0  // from a release until the earlier builds' endpoints leave: the new ones are past slow start then
	withdrawDelay   = 3.0  // from the decision to roll a build back until it is withdrawn
	statusInterval  = 5.0  // between repetitions of a rollout status
	voteTTL         = 20.0 // for which a vote counts
	promoteShare    = 0.5  // of the relays, whose votes promote a build
	rollBackShare   = 0.4  // of the relays, whose votes roll it back
	holdShare       = 0.1
	statusDelay     = 0.04 // of statuses and replies to votes
)

// canaryStage is one stage of a rollout.
type canaryStage struct {
	share         float64 // of the service's endpoints that run the canary
	exposureLimit float64 // on its share of the requests
}

var stages = []canaryStage{{0.1, 0.05}, {0.4, 0.25}}

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

// String returns the name that results have for the kind.
func (k releaseKind) String() string {
	return [...]string{"bad-for-one-service", "good", "failing", "slow"}[k]
}

// releaseFor returns the kind of a service's release by its number, and the defect of the build in that service. Services
// form one cohort for each kind and rotate through the kinds, so that every kind is a canary somewhere at any time.
func releaseFor(service, release int) (releaseKind, defect) {
	cohort := service % int(releaseKindCount)
	kind := releaseKind((cohort + release) % int(releaseKindCount))
	largestOfCohort := service == cohort
	switch {
	case kind == failingRelease, kind == badForOneService && largestOfCohort:
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
	// RolledBackAfter and ReleasedAfter are seconds from the start of the release; negative: it did not come to that.
	RolledBackAfter float64 `json:"back_after"`
	ReleasedAfter   float64 `json:"released_after"`
	Ended           bool    `json:"ended"` // by the next release or by one of the above
}

// quorum returns how many of the relays a share is, at least one.
func quorum(share float64, relays int) int {
	return max(1, int(math.Ceil(share*float64(relays)-1e-9)))
}

// receivedVote is the last vote of one relay.
type receivedVote struct {
	relay.Vote
	receivedAt, weight float64
}
