package scale

import (
	"math"

	"lichenroad/relay"
)

// Properties of the releases. Durations are in seconds.
const (
	firstRelease    = 8.0  // start of the first release; by then relays have measured the usual latency
	releaseInterval = 40.0 // time between releases of a service; the next release drains a canary that is still undecided
	retireDelay     = 5.0  // time from a full release until earlier builds are drained, enough for the slow start of the new ones
	withdrawDelay   = 3.0  // time from the decision to roll a build back until it is withdrawn
	statusInterval  = 5.0  // time between repetitions of a rollout status
	voteTTL         = 20.0 // time for which a vote is valid
	promoteShare    = 0.5  // share of the relays whose votes promote a build
	rollBackShare   = 0.4  // share of the relays whose votes roll a build back
	holdShare       = 0.1  // share of the relays whose votes hold a build
	voteTolerance   = 1e-6 // allowance for rounding errors in the sum of vote weights
	quorumTolerance = 1e-9 // allowance for rounding errors in a share of the relays
	statusDelay     = 0.04 // latency of rollout statuses and of replies to votes
)

// canaryStage is one stage of a rollout.
type canaryStage struct {
	share         float64 // canary endpoints as a share of the service's endpoints between releases
	exposureLimit float64 // maximum share of the requests that are sent to the canary
}

var stages = []canaryStage{{0.1, 0.05}, {0.4, 0.25}}

// releaseKind is the kind of defect in a release.
type releaseKind int

const (
	badForOneService releaseKind = iota // the build is rolled out to several services and fails in one of them
	goodRelease                         // no defect
	failingRelease                      // the build fails some attempts in every service
	slowRelease                         // the build is slower in every service
	releaseKindCount
)

const (
	defectFailureRate = 0.25 // share of the attempts that fail
	defectSlowdown    = 2.5  // multiple of the usual work
)

// String returns the kind's name in results.
func (k releaseKind) String() string {
	return [...]string{"bad-for-one-service", "good", "failing", "slow"}[k]
}

// releaseFor returns the kind of a service's release with this number, and the defect that its build has in that service.
// There are as many cohorts of services as kinds, and each cohort rotates through the kinds, so that builds of every kind are
// rolled out at the same time. A badForOneService build is defective only in the largest service of its cohort.
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

// Release is the record of one release of one service.
type Release struct {
	Service   int     `json:"service"`
	Build     int     `json:"build"`
	Kind      string  `json:"kind"`
	Bad       bool    `json:"bad"`
	OfferedAt float64 `json:"offered_at"`
	// RolledBackAfter and ReleasedAfter are seconds from the start of the release, or negative if the build was not rolled back
	// or not fully released.
	RolledBackAfter float64 `json:"back_after"`
	ReleasedAfter   float64 `json:"released_after"`
	Ended           bool    `json:"ended"` // rolled back, fully released, or replaced by the next release
}

// quorum returns the share of the relays as a number, rounded up and at least one.
func quorum(share float64, relays int) int {
	return max(1, int(math.Ceil(share*float64(relays)-quorumTolerance)))
}

// receivedVote is the last vote received from one relay.
type receivedVote struct {
	relay.Vote
	receivedAt, weight float64
}
