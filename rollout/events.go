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
type Kind string

// The kinds of event. Their names stand in journals: they never change their meaning.
const (
	Offered  Kind = "offered"   // a build is there to be tried
	Overtook Kind = "overtook"  // a later build took the place of one that had not begun
	Began    Kind = "began"     // the first step
	Moved    Kind = "moved"     // on to Step
	Released Kind = "released"  // past the last step
	SentBack Kind = "sent_back" // going back
	Taken    Kind = "taken_off" // back for good
	Voted    Kind = "voted"     // a vote that counts
	Froze    Kind = "froze"     // an operator's freeze, for a service or for all
	Thawed   Kind = "thawed"    // its end
	Halted   Kind = "halted"    // an operator's halt of one service
	Resumed  Kind = "resumed"
	Started  Kind = "started" // the desk's process
)

// Event is one thing that happened, as a journal keeps it.
type Event struct {
	At      plan.Unix     `json:"at"`
	Kind    Kind          `json:"kind"`
	Service string        `json:"service,omitempty"` // none: all
	Build   relay.Build   `json:"build,omitempty"`
	Step    plan.StepNo   `json:"step,omitempty"`
	Relay   string        `json:"relay,omitempty"`
	Verdict relay.Verdict `json:"verdict,omitempty"`
	Name    string        `json:"name,omitempty"` // of a freeze
	Until   plan.Unix     `json:"until,omitempty"`
	Who     string        `json:"who,omitempty"`
	Why     string        `json:"why,omitempty"`
}

// Code is a reason why something waits, from a fixed list (docs/releases.md).
type Code string

// The reasons.
const (
	Free        Code = ""            // nothing stands in the way
	NoBuild     Code = "no_build"    // nothing is on trial or waiting
	IsFrozen    Code = "freeze"      // a freeze of the plan
	IsClosed    Code = "closed"      // a freeze that an operator set
	IsHalted    Code = "halted"      // an operator halted the service
	NeedsOther  Code = "needs"       // a service that it depends on is not as far
	NeedUnheard Code = "needs_news"  // nothing, or nothing lately, was heard of it
	TooYoung    Code = "least_time"  // the step has not lasted long enough
	NeedVotes   Code = "votes"       // too few relays stand for it
	HeldByVotes Code = "held"        // relays hold the clock
	GoesBack    Code = "going_back"  // it is on its way back
	Settling    Code = "settling"    // the build before was released just now
	NotGranted  Code = "not_granted" // this relay has not opened the present step itself yet
)

// Wait is why something does not go on.
type Wait struct {
	Code  Code
	Text  string
	Until plan.Unix // when that may change by time alone; 0: not by time
}

// Ok says that nothing stands in the way.
func (w Wait) Ok() bool { return w.Code == Free }

func (w Wait) String() string {
	if w.Ok() {
		return "free to go on"
	}
	return fmt.Sprintf("%s: %s", w.Code, w.Text)
}

func clockText(at plan.Unix) string { return plan.Time(at).Format("2006-01-02 15:04:05Z") }
