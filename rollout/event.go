package rollout

import (
	"fmt"

	"lichenroad/plan"
	"lichenroad/relay"
)

// EventKind is the kind of an event, as a journal stores it.
type EventKind string

// Journals store the values, so neither a value nor its meaning may change.
const (
	EventOffered           EventKind = "offered"   // a build waits for its first step
	EventSuperseded        EventKind = "overtook"  // a later build replaced the waiting one
	EventBegan             EventKind = "began"     // the waiting build entered its first step
	EventPromoted          EventKind = "moved"     // the build entered Step
	EventReleased          EventKind = "released"  // the build passed its last step
	EventRollingBack       EventKind = "sent_back" // the build is rolling back
	EventWithdrawn         EventKind = "taken_off" // the rollback ended
	EventVoted             EventKind = "voted"     // a relay's vote was counted
	EventFrozen            EventKind = "froze"     // an operator froze one service or all
	EventUnfrozen          EventKind = "thawed"    // an operator's freeze ended
	EventHalted            EventKind = "halted"    // an operator halted a service
	EventResumed           EventKind = "resumed"   // an operator ended the halt
	EventControllerStarted EventKind = "started"   // the controller's process started
)

// SnapshotReason is the reason in the EventControllerStarted that ends a snapshot.
const SnapshotReason = "snapshot"

// Event is one change of the state, as a journal stores it.
type Event struct {
	At         plan.Unix      `json:"at"`
	Kind       EventKind      `json:"kind"`
	Service    string         `json:"service,omitempty"` // empty: all services
	Build      relay.Build    `json:"build,omitempty"`
	Step       plan.StepIndex `json:"step,omitempty"`
	Relay      string         `json:"relay,omitempty"` // relay that cast the vote
	Verdict    relay.Verdict  `json:"verdict,omitempty"`
	FreezeName string         `json:"name,omitempty"`
	Until      plan.Unix      `json:"until,omitempty"` // end of a freeze; 0: until an operator ends it
	Actor      string         `json:"who,omitempty"`
	Reason     string         `json:"why,omitempty"`
}

// EventError reports an event that can't follow the present state. A journal that contains such an event is damaged.
type EventError struct {
	Event  Event
	Reason string
}

func (e *EventError) Error() string {
	return fmt.Sprintf("can't apply event %q of service %q, build %d: %s",
		e.Event.Kind, e.Event.Service, e.Event.Build, e.Reason)
}

// RequestError reports an offer or an operator's request that the present state does not allow. Replies of the release
// controller contain the reason, so its texts must not change.
type RequestError struct {
	Reason string
}

func (e *RequestError) Error() string { return e.Reason }

// requestErrorf returns a *RequestError with a formatted reason.
func requestErrorf(format string, args ...any) error {
	return &RequestError{Reason: fmt.Sprintf(format, args...)}
}
