package rollout

import (
	"math"
	"slices"
	"strings"

	"lichenroad/plan"
	"lichenroad/relay"
)

// SupportedStep returns the last step, up to the present one, whose dependencies and those of the steps before it are
// fulfilled; -1 if those of the first step are not. A lost dependency lowers the exposure limit to that step's at once.
func (c *Core) SupportedStep(service plan.ServiceIndex) plan.StepIndex {
	present, steps := c.services[service].newest.Step, c.plan.Services[service].Steps
	if c.disabled.LostDependencies {
		return present
	}
	for k := plan.StepIndex(0); k <= present && int(k) < len(steps); k++ {
		for _, dependency := range steps[k].Dependencies {
			if !c.dependencyFulfilled(dependency) {
				return k - 1
			}
		}
	}
	return present
}

// ExposureLimit returns the share of a group's requests at a site that the newest build may get, from 0 to 1.
func (c *Core) ExposureLimit(service plan.ServiceIndex, site plan.SiteIndex, group plan.GroupIndex, at plan.Unix) float64 {
	c.advanceClock(at)
	state, spec := &c.services[service], &c.plan.Services[service]
	if state.inPhase(relay.PhaseReleased) {
		return 1
	}
	if !state.inPhase(relay.PhaseCanary) {
		return 0
	}
	step := c.SupportedStep(service)
	if step < 0 || !spec.IsOpen(step, site, group) {
		return 0
	}
	return spec.Steps[step].ExposureLimit
}

// RolloutStatus returns the status that relays are notified of: that of the newest build that has begun, with the
// exposure limit of SupportedStep. It is not valid before a build has begun.
func (c *Core) RolloutStatus(service plan.ServiceIndex, at plan.Unix) relay.RolloutStatus {
	now := c.advanceClock(at)
	state, spec := &c.services[service], &c.plan.Services[service]
	if !state.known {
		return relay.RolloutStatus{}
	}
	status := relay.RolloutStatus{
		Valid: true,
		Build: state.newest.Build,
		Stage: relay.Stage(state.newest.Step),
		Phase: state.newest.Phase,
		Age:   math.Max(0, now-state.newest.Since),
	}
	switch state.newest.Phase {
	case relay.PhaseReleased:
		status.ExposureLimit = 1
	case relay.PhaseCanary:
		if step := c.SupportedStep(service); step >= 0 {
			status.ExposureLimit = spec.Steps[step].ExposureLimit
		}
	}
	return status
}

// Status is the status of one service for operators. The JSON keys are part of the control protocol.
type Status struct {
	Service       string      `json:"service"`
	Build         relay.Build `json:"build"`
	Phase         string      `json:"phase"`
	Step          string      `json:"step"`
	Since         plan.Unix   `json:"since"` // start of the present step or phase
	ExposureLimit float64     `json:"cap"`
	WaitingBuild  relay.Build `json:"waiting,omitempty"`

	BlockCode    BlockCode `json:"code"`
	BlockText    string    `json:"why"`
	BlockedUntil plan.Unix `json:"until,omitempty"` // 0: the block doesn't end by time

	PromoteVotes        int  `json:"votes_on"`
	PromoteVotesNeeded  int  `json:"votes_on_needed"`
	RollBackVotes       int  `json:"votes_back"`
	RollBackVotesNeeded int  `json:"votes_back_needed"`
	Halted              bool `json:"halted"`
	DependencyLost      bool `json:"needs_lost"` // SupportedStep is below the present step
}

// noPhase is the Status.Phase of a service without a build that has begun.
const noPhase = "none"

// phaseNames are the values of Status.Phase, which are part of the control protocol.
var phaseNames = map[relay.Phase]string{
	relay.PhaseCanary:      "on trial",
	relay.PhaseRollingBack: "going back",
	relay.PhaseReleased:    "released",
	relay.PhaseWithdrawn:   "withdrawn",
}

// ServiceStatuses returns the status of each service, in the plan's order.
func (c *Core) ServiceStatuses(at plan.Unix) []Status {
	now := c.advanceClock(at)
	var out []Status
	for i := range c.services {
		out = append(out, c.serviceStatus(plan.ServiceIndex(i), now))
	}
	return out
}

func (c *Core) serviceStatus(service plan.ServiceIndex, now plan.Unix) Status {
	state, spec := &c.services[service], &c.plan.Services[service]
	reason := c.BlockReason(service, now)
	status := Status{
		Service:             spec.Name,
		Build:               state.newest.Build,
		Phase:               noPhase,
		Since:               state.newest.Since,
		ExposureLimit:       c.RolloutStatus(service, now).ExposureLimit,
		WaitingBuild:        state.waiting,
		BlockCode:           reason.Code,
		BlockText:           reason.Text,
		BlockedUntil:        reason.Until,
		PromoteVotesNeeded:  c.votesNeeded(service, relay.VotePromote),
		RollBackVotesNeeded: c.votesNeeded(service, relay.VoteRollBack),
		Halted:              state.halted,
	}
	if math.IsInf(status.BlockedUntil, 0) { // JSON can't represent infinity
		status.BlockedUntil = 0
	}
	if state.known {
		status.Phase, status.Step = phaseNames[state.newest.Phase], spec.StepName(state.newest.Step)
		status.PromoteVotes = c.countVotes(service, relay.VotePromote, now)
		status.RollBackVotes = c.countVotes(service, relay.VoteRollBack, now)
		status.DependencyLost = state.canRollBack() && c.SupportedStep(service) < state.newest.Step
	}
	return status
}

// OperatorFreezes returns the operators' freezes in force, sorted by name.
func (c *Core) OperatorFreezes() []Event {
	out := append([]Event(nil), c.freezes...)
	slices.SortFunc(out, func(a, b Event) int { return strings.Compare(a.FreezeName, b.FreezeName) })
	return out
}
