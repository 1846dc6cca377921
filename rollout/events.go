// Package rollout decides how releases move through a plan: what may go on, why it waits, and the cap that holds
// for a site and a group of customers. It narrows what the decision module (package policy) may do and never
// widens it: a build goes on only by votes, goes back by votes whatever the plan says, and the plan casts none.
//
// Core is the state of a release desk, a fold over its events: the same events give the same state, so a record
// of them is all that a desk has to keep. Guard stands in a relay between platform and module. Neither does I/O,
// reads a clock or starts a goroutine; times are Unix seconds that the caller brings.
package rollout

import (
	"fmt"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Kind is what an event is about.
type EventKind string

// The kinds of event. Their names stand in journals: they never change their meaning.
const (
	EventOffered           EventKind = "offered"   // a build is there to be tried
	EventSuperseded        EventKind = "overtook"  // a later build took the place of one that had not begun
	EventBegan             EventKind = "began"     // the first step
	EventPromoted          EventKind = "moved"     // on to Step
	EventReleased          EventKind = "released"  // past the last step
	EventRollingBack       EventKind = "sent_back" // going back
	EventWithdrawn         EventKind = "taken_off" // back for good
	EventVoted             EventKind = "voted"     // a vote that counts
	EventFrozen            EventKind = "froze"     // an operator's freeze, for a service or for all
	EventUnfrozen          EventKind = "thawed"    // its end
	EventHalted            EventKind = "halted"    // an operator's halt of one service
	EventResumed           EventKind = "resumed"
	EventControllerStarted EventKind = "started" // the desk's process
)

// Event is one thing that happened, as a journal keeps it.
type Event struct {
	At         plan.Unix      `json:"at"`
	Kind       EventKind      `json:"kind"`
	Service    string         `json:"service,omitempty"` // none: all
	Build      relay.Build    `json:"build,omitempty"`
	Step       plan.StepIndex `json:"step,omitempty"`
	Relay      string         `json:"relay,omitempty"`
	Verdict    relay.Verdict  `json:"verdict,omitempty"`
	FreezeName string         `json:"name,omitempty"` // of a freeze
	Until      plan.Unix      `json:"until,omitempty"`
	Actor      string         `json:"who,omitempty"`
	Reason     string         `json:"why,omitempty"`
}

// Code is a reason why something waits, from a fixed list (docs/releases.md).
type BlockCode string

// The reasons.
const (
	Unblocked               BlockCode = ""            // nothing stands in the way
	BlockedNoBuild          BlockCode = "no_build"    // nothing is on trial or waiting
	BlockedByPlanFreeze     BlockCode = "freeze"      // a freeze of the plan
	BlockedByOperatorFreeze BlockCode = "closed"      // a freeze that an operator set
	BlockedByHalt           BlockCode = "halted"      // an operator halted the service
	BlockedByDependency     BlockCode = "needs"       // a service that it depends on is not as far
	BlockedByStaleStatus    BlockCode = "needs_news"  // nothing, or nothing lately, was heard of it
	BlockedByMinTime        BlockCode = "least_time"  // the step has not lasted long enough
	BlockedByMissingVotes   BlockCode = "votes"       // too few relays stand for it
	BlockedByHoldVotes      BlockCode = "held"        // relays hold the clock
	BlockedByRollback       BlockCode = "going_back"  // it is on its way back
	BlockedBySettleTime     BlockCode = "settling"    // the build before was released just now
	BlockedByLocalStep      BlockCode = "not_granted" // this relay has not opened the present step itself yet
)

// Wait is why something does not go on.
type BlockReason struct {
	Code  BlockCode
	Text  string
	Until plan.Unix // when that may change by time alone; 0: not by time
}

// Ok says that nothing stands in the way.
func (w BlockReason) Ok() bool { return w.Code == Unblocked }

func (w BlockReason) String() string {
	if w.Ok() {
		return "free to go on"
	}
	return fmt.Sprintf("%s: %s", w.Code, w.Text)
}

func clockText(at plan.Unix) string { return plan.Time(at).Format("2006-01-02 15:04:05Z") }
