package rollout

import (
	"fmt"

	"lichenroad/plan"
)

// BlockCode is a reason why a release waits, from a fixed list (docs/releases.md).
type BlockCode string

// The reasons. Control answers, logs and results hold the values.
const (
	Unblocked               BlockCode = ""            // nothing stands in the way
	BlockedNoBuild          BlockCode = "no_build"    // no build is a canary or waits
	BlockedByPlanFreeze     BlockCode = "freeze"      // a freeze of the plan
	BlockedByOperatorFreeze BlockCode = "closed"      // a freeze that an operator set
	BlockedByHalt           BlockCode = "halted"      // an operator halted the service
	BlockedByDependency     BlockCode = "needs"       // a service that it depends on is not as far
	BlockedByStaleStatus    BlockCode = "needs_news"  // no status of a dependency was received, or none lately
	BlockedByMinTime        BlockCode = "least_time"  // the step has not lasted its minimum time
	BlockedByMissingVotes   BlockCode = "votes"       // too few relays vote for promotion
	BlockedByHoldVotes      BlockCode = "held"        // relays vote to hold a timed promotion
	BlockedByRollback       BlockCode = "going_back"  // the build is rolling back
	BlockedBySettleTime     BlockCode = "settling"    // the build before was released a moment ago
	BlockedByLocalStep      BlockCode = "not_granted" // this relay has not opened the present step itself yet
)

// BlockReason is why a release does not go on. The zero value says that nothing stands in the way.
type BlockReason struct {
	Code  BlockCode
	Text  string
	Until plan.Unix // when time alone may change it; 0: time alone does not
}

// Blocked reports whether something stands in the way.
func (r BlockReason) Blocked() bool { return r.Code != Unblocked }

// String returns code and text for logs.
func (r BlockReason) String() string {
	if !r.Blocked() {
		return "free to go on"
	}
	return fmt.Sprintf("%s: %s", r.Code, r.Text)
}

// formatTime writes a time as the texts of block reasons have it.
func formatTime(at plan.Unix) string { return plan.Time(at).Format("2006-01-02 15:04:05Z") }
