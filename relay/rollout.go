package relay

// Phase is where the newest build stands.
type Phase int

// The phases.
const (
	PhaseCanary Phase = iota
	PhaseRollingBack
	PhaseReleased
	PhaseWithdrawn
)

// VoteReply says what became of the vote that a RolloutStatus answers.
type VoteReply int

// The replies.
const (
	// ReplyNone: the status answers no vote.
	ReplyNone VoteReply = iota
	ReplyCounted
	// ReplyNotCounted: the vote has expired, was rejected or failed.
	ReplyNotCounted
	ReplyMaybeCounted
	// ReplyStale: not counted, as its build or stage is past; casting it again is of no use.
	ReplyStale
)

// RolloutStatus is the platform's word on the newest build, or its answer to a vote.
type RolloutStatus struct {
	Valid         bool // the fields below, Reply aside, hold
	Build         Build
	Stage         Stage
	Phase         Phase
	ExposureLimit float64
	Age           Seconds
	Reply         VoteReply
}

// CanaryScope narrows the trial of a build: which tenants may meet it, and by what groups their requests are counted.
// Builds after it are closed to all. Without any CanaryScope every tenant may meet a build on trial.
type CanaryScope struct {
	Build         Build
	Stage         Stage  // that holds here, no later than the platform's
	GroupOfTenant []int  // by tenant; -1, or past the end: of no group, which is closed
	GroupOpen     []bool // by group
}

// Verdict is what a vote says of a build at a stage.
type Verdict int

// The verdicts.
const (
	NoVote Verdict = iota
	VotePromote
	VoteHold
	VoteRollBack
)

// Vote is the command to cast a vote, or to withdraw the one that stands (NoVote).
type Vote struct {
	Build   Build
	Stage   Stage
	Verdict Verdict
}
