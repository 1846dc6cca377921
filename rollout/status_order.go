package rollout

import (
	"maps"

	"lichenroad/relay"
)

const (
	// confirmIntervals is the time, in intervals between two notices of an unchanged status, for which a status that is withheld
	// must have been repeated before it is applied: the second repetition confirms it, whatever its delay.
	confirmIntervals = 1.5
	// defaultStatusInterval is the interval in seconds if the settings have none.
	defaultStatusInterval = 5.0
)

// StatusSource identifies a connection on which statuses arrive, or another origin. The statuses of one source arrive in the
// order in which they were sent.
type StatusSource uint64

// StatusVersion numbers the changes of the status in a StatusOrder, from 1.
type StatusVersion uint64

// StatusReport is a rollout status as it was received from a source.
type StatusReport struct {
	Source StatusSource
	// After is StatusOrder.Version at the time when the call was sent that the status answers, or that asked for it: the
	// status was sent after all that was received up to that version. 0: unknown.
	After  StatusVersion
	Status relay.RolloutStatus // must be valid
}

// StatusDecision is what a StatusOrder decides about a status.
type StatusDecision int

// Decisions.
const (
	// StatusApplied: the status is the present one, or repeats it.
	StatusApplied StatusDecision = iota
	// StatusConfirmed: the status was withheld, but has been repeated for long enough. It is the present one.
	StatusConfirmed
	// StatusRestricting: it is not known whether the status was sent before the present one. Its exposure limit, which is
	// lower, holds until that is known.
	StatusRestricting
	// StatusUnordered: it is not known whether the status was sent before the present one, and it would raise the exposure.
	StatusUnordered
	// StatusBackward: the status was sent after the present one. It is about an earlier build or undoes a rollback, which no
	// rollout does, and is not confirmed yet.
	StatusBackward
)

// statusDecisionNames maps decisions to their names in logs.
var statusDecisionNames = [...]string{
	StatusApplied:     "applied",
	StatusConfirmed:   "confirmed",
	StatusRestricting: "restricting",
	StatusUnordered:   "unordered",
	StatusBackward:    "backward",
}

// String returns the name of the decision in logs.
func (d StatusDecision) String() string { return statusDecisionNames[d] }

// Applies reports whether the status is the present one.
func (d StatusDecision) Applies() bool { return d == StatusApplied || d == StatusConfirmed }

// StatusOrder puts the statuses of one service, which arrive on several connections, into the order in which the platform
// sent them, and decides which of them is the present one.
//
// Three facts order two statuses. Those of one connection arrive in the order in which they were sent. The reply to a call was
// sent after all that was received before the call was sent. And a rollout makes progress in one direction: builds are offered
// in ascending order, and a build moves to higher stages and is then released, until it is rolled back.
//
// A status that is later by these facts is applied. One whose order is not known is withheld until it has been repeated, and so
// is one that goes backward. What is true is repeated by the platform, and so applied in the end. As a lower exposure limit binds
// whichever came last, no limit rises above that of a withheld status that does not go backward, until its source sends another
// one.
//
// A StatusOrder does not use the age of a status: it is that of the moment of sending, and the time between sending and
// receiving is not known. A status that changes and returns while a connection is behind can't be told from one that has not
// changed. A StatusOrder belongs to one goroutine.
type StatusOrder struct {
	confirmAfter relay.Seconds
	version      StatusVersion
	present      relay.RolloutStatus // as it was received
	presentAt    relay.Seconds       // when it was received
	// lastSource is the source of the latest change, and lastOfOthers the version before all changes that it made in a row.
	lastSource   StatusSource
	lastOfOthers StatusVersion
	// provenAfter holds, by source, the version after which it sends its statuses.
	provenAfter map[StatusSource]StatusVersion
	// restrictions holds the exposure limits of sources whose latest status has no known order.
	restrictions map[StatusSource]restriction

	withheld      relay.RolloutStatus // to be confirmed by repetition; not valid: none
	withheldSince relay.Seconds
}

// restriction is an exposure limit that holds beside that of the present status.
type restriction struct {
	limit float64
	since relay.Seconds
}

// NewStatusOrder returns a StatusOrder for a platform that repeats an unchanged status at an interval in seconds. 0 stands
// for an interval that is not known.
func NewStatusOrder(statusInterval relay.Seconds) *StatusOrder {
	if statusInterval <= 0 {
		statusInterval = defaultStatusInterval
	}
	return &StatusOrder{
		confirmAfter: confirmIntervals * statusInterval,
		provenAfter:  map[StatusSource]StatusVersion{},
		restrictions: map[StatusSource]restriction{},
	}
}

// Version returns the number of changes so far; 0 before the first status.
func (o *StatusOrder) Version() StatusVersion { return o.version }

// Present returns the present status with the exposure limit that holds, and its age at a monotonic time in seconds. It is not
// valid before the first status was received.
func (o *StatusOrder) Present(now relay.Seconds) relay.RolloutStatus {
	status := o.present
	status.Age += now - o.presentAt
	for _, r := range o.restrictions {
		status.ExposureLimit = min(status.ExposureLimit, r.limit)
	}
	return status
}

// Close forgets a source, from which no more statuses will arrive.
func (o *StatusOrder) Close(source StatusSource) { delete(o.provenAfter, source) }

// Receive decides about a status. Now is a monotonic time in seconds.
func (o *StatusOrder) Receive(now relay.Seconds, report StatusReport) StatusDecision {
	status := report.Status
	o.provenAfter[report.Source] = max(o.provenAfter[report.Source], report.After)
	inOrder := o.provenAfter[report.Source] >= o.latestOfOthers(report.Source)
	delete(o.restrictions, report.Source) // sent before this one
	goesBackward := status.GoesBackward(o.present)
	switch {
	case o.present.Valid && !statusesDiffer(&o.present, &status):
		o.repeatPresent(now, status, inOrder)
		return StatusApplied
	case o.isConfirmed(now, status):
		o.apply(now, report)
		return StatusConfirmed
	case !goesBackward && (inOrder || advances(o.present, status)):
		o.apply(now, report)
		return StatusApplied
	}
	o.withhold(now, status)
	if goesBackward {
		return backwardDecision(inOrder)
	}
	o.countChange(report.Source)
	o.restrictions[report.Source] = restriction{limit: status.ExposureLimit, since: now}
	if status.ExposureLimit < o.present.ExposureLimit {
		return StatusRestricting
	}
	return StatusUnordered
}

// backwardDecision returns the decision about a status that goes backward and is not confirmed.
func backwardDecision(inOrder bool) StatusDecision {
	if inOrder {
		return StatusBackward
	}
	return StatusUnordered
}

// apply makes a status the present one, which was sent later than all others that were received.
func (o *StatusOrder) apply(now relay.Seconds, report StatusReport) {
	o.countChange(report.Source)
	o.present, o.presentAt = report.Status, now
	o.provenAfter[report.Source] = o.version
	clear(o.restrictions)
	o.withheld = relay.RolloutStatus{}
}

// countChange counts a change that a source makes.
func (o *StatusOrder) countChange(source StatusSource) {
	if source != o.lastSource {
		o.lastSource, o.lastOfOthers = source, o.version
	}
	o.version++
}

// latestOfOthers returns the version of the latest change that a source did not make itself.
func (o *StatusOrder) latestOfOthers(source StatusSource) StatusVersion {
	if source == o.lastSource {
		return o.lastOfOthers
	}
	return o.version
}

// repeatPresent handles a repetition of the present status. What is withheld has to be repeated from the start. A restriction
// ends if it is known to be earlier, or has been contradicted for long enough.
func (o *StatusOrder) repeatPresent(now relay.Seconds, status relay.RolloutStatus, inOrder bool) {
	o.present, o.presentAt = status, now
	o.withheld = relay.RolloutStatus{}
	maps.DeleteFunc(o.restrictions, func(_ StatusSource, r restriction) bool {
		return inOrder || now-r.since >= o.confirmAfter
	})
}

// isConfirmed reports whether a status has been withheld for long enough, and the present one was not received meanwhile.
func (o *StatusOrder) isConfirmed(now relay.Seconds, status relay.RolloutStatus) bool {
	return o.withheld.Valid && !statusesDiffer(&o.withheld, &status) && now-o.withheldSince >= o.confirmAfter
}

// withhold remembers a status that is not applied, and since when it has been received.
func (o *StatusOrder) withhold(now relay.Seconds, status relay.RolloutStatus) {
	if !o.withheld.Valid || statusesDiffer(&o.withheld, &status) {
		o.withheld, o.withheldSince = status, now
	}
}

// phaseRank maps the phases of a build to their order.
var phaseRank = [...]int{
	relay.PhaseCanary:      0,
	relay.PhaseReleased:    1,
	relay.PhaseRollingBack: 2,
	relay.PhaseWithdrawn:   3,
}

// advances reports whether a status is later than the known one by the progress of the rollout.
func advances(known, received relay.RolloutStatus) bool {
	if received.Build != known.Build {
		return received.Build > known.Build
	}
	if received.Phase != known.Phase {
		return phaseRank[received.Phase] > phaseRank[known.Phase]
	}
	return received.Phase == relay.PhaseCanary && received.Stage > known.Stage
}

// statusesDiffer reports whether two statuses differ in build, stage, phase or exposure limit.
func statusesDiffer(a, b *relay.RolloutStatus) bool {
	return a.Build != b.Build || a.Stage != b.Stage || a.Phase != b.Phase || a.ExposureLimit != b.ExposureLimit
}
