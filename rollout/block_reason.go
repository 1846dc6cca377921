package rollout

import (
	"fmt"

	"lichenroad/plan"
)

// BlockCode is the reason why a service waits, as one of a fixed list of codes (docs/releases.md).
type BlockCode string

// The values are written to replies of the release controller, logs and results.
const (
	Unblocked               BlockCode = ""            // nothing blocks the service
	BlockedNoBuild          BlockCode = "no_build"    // no build is a canary or waits
	BlockedByPlanFreeze     BlockCode = "freeze"      // a freeze of the plan holds
	BlockedByOperatorFreeze BlockCode = "closed"      // a freeze that an operator set holds
	BlockedByHalt           BlockCode = "halted"      // an operator halted the service
	BlockedByDependency     BlockCode = "needs"       // a service that it depends on has not reached the required step
	BlockedByStaleStatus    BlockCode = "needs_news"  // no status of a dependency was received, or not recently
	BlockedByMinTime        BlockCode = "least_time"  // the step has not lasted its minimum or planned time
	BlockedByMissingVotes   BlockCode = "votes"       // too few relays vote for promotion
	BlockedByHoldVotes      BlockCode = "held"        // relays vote to hold a timed promotion
	BlockedByRollback       BlockCode = "going_back"  // the build is rolling back
	BlockedBySettleTime     BlockCode = "settling"    // the settle time after the previous release is not over
	BlockedByLocalStep      BlockCode = "not_granted" // this relay's guard has not granted the present step yet
)

// BlockReason is the reason why a service's rollout waits. The zero value means that nothing blocks it.
type BlockReason struct {
	Code  BlockCode
	Text  string
	Until plan.Unix // when the reason may end by time alone; 0: it doesn't end by time
}

// Blocked reports whether there is a reason to wait.
func (r BlockReason) Blocked() bool { return r.Code != Unblocked }

// String returns the code and the text.
func (r BlockReason) String() string {
	if !r.Blocked() {
		return "not blocked"
	}
	return fmt.Sprintf("%s: %s", r.Code, r.Text)
}

// formatTime formats a time for the text of a block reason.
func formatTime(at plan.Unix) string { return plan.Time(at).Format("2006-01-02 15:04:05Z") }
