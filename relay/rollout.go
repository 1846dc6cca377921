package relay

// Phase is the rollout phase of the newest build.
type Phase int

// Rollout phases.
const (
	PhaseCanary Phase = iota
	PhaseRollingBack
	PhaseReleased
	PhaseWithdrawn
)

// isRolledBack reports whether a build is rolling back or withdrawn.
func (p Phase) isRolledBack() bool { return p == PhaseRollingBack || p == PhaseWithdrawn }

// VoteReply is the result of a vote, reported with a RolloutStatus.
type VoteReply int

// Vote results.
const (
	// ReplyNone: the status does not answer a vote.
	ReplyNone VoteReply = iota
	ReplyCounted
	// ReplyNotCounted: the vote expired, was rejected or could not be sent.
	ReplyNotCounted
	// ReplyMaybeCounted: the vote was sent, but its result is unknown.
	ReplyMaybeCounted
	// ReplyStale: the vote was not counted because its build or stage is no longer current. Casting it again has no effect.
	ReplyStale
)

// RolloutStatus is the platform's report on the newest build, the result of a vote, or both.
type RolloutStatus struct {
	Valid         bool // whether the fields other than Reply are set
	Build         Build
	Stage         Stage
	Phase         Phase
	ExposureLimit float64 // fraction of the requests that may be sent to the build
	Age           Seconds // time since the present state of the rollout began
	Reply         VoteReply
	Confirmed     bool // the platform has repeated the status for long enough to be believed although it goes backward
}

// GoesBackward reports whether the status contradicts that an earlier one was sent before it: it is about an earlier build, or
// undoes a rollback. Builds are offered in ascending order, and a build that has been rolled back is not offered again. No
// status goes backward from one that is not valid.
func (s RolloutStatus) GoesBackward(from RolloutStatus) bool {
	if !from.Valid || s.Build > from.Build {
		return false
	}
	return s.Build < from.Build || from.Phase.isRolledBack() && !s.Phase.isRolledBack()
}

// CanaryScope restricts the trial of a build to some tenants and sets the groups of tenants by which exposure is counted.
// No tenant's requests may be sent to a build newer than Build. Without a CanaryScope, requests of every tenant may be sent
// to a build on trial.
type CanaryScope struct {
	Build         Build
	Stage         Stage  // stage that applies to this relay if the platform's stage is later
	GroupOfTenant []int  // by tenant; -1 or past the end: no group, so the tenant is excluded from the trial
	GroupOpen     []bool // by group: whether its tenants take part in the trial
}

// Verdict is the decision that a vote asks for on a build at a stage.
type Verdict int

// Verdicts.
const (
	NoVote Verdict = iota
	VotePromote
	VoteHold
	VoteRollBack
)

// Vote is the command to cast a vote. The verdict NoVote withdraws the vote cast before.
type Vote struct {
	Build   Build
	Stage   Stage
	Verdict Verdict
}
