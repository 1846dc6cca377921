package rollout

import (
	"maps"
	"slices"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Snapshot returns events that restore the state when they are replayed in order, under any plan. A compacted journal begins with them.
func (c *Core) Snapshot() []Event {
	var out []Event
	for i := range c.services {
		out = append(out, c.services[i].snapshot(c.plan.Services[i].Name)...)
	}
	for _, name := range slices.Sorted(maps.Keys(c.unplanned)) {
		out = append(out, c.unplanned[name].snapshot(name)...)
	}
	out = append(out, c.freezes...)
	return append(out, Event{At: c.clock, Kind: EventControllerStarted, Reason: SnapshotReason})
}

func (s *serviceState) snapshot(name string) []Event {
	var out []Event
	if s.known {
		out = append(out, s.newest.snapshot(name)...)
	}
	if s.waiting != 0 {
		out = append(out, Event{At: s.offeredAt, Kind: EventOffered, Service: name, Build: s.waiting})
	}
	for _, voter := range slices.Sorted(maps.Keys(s.votes)) {
		v := s.votes[voter]
		out = append(out, Event{At: v.at, Kind: EventVoted, Service: name, Build: v.build, Step: v.step,
			Relay: voter, Verdict: v.verdict})
	}
	if s.halted {
		out = append(out, s.haltEvent)
	}
	return out
}

// snapshot returns the events that bring a build of a service to its present step and phase.
func (r Release) snapshot(name string) []Event {
	startedAt := r.StartedAt
	if r.Step == 0 && r.Phase == relay.PhaseCanary {
		startedAt = r.Since
	}
	event := func(kind EventKind, step plan.StepIndex, at plan.Unix) Event {
		return Event{At: at, Kind: kind, Service: name, Build: r.Build, Step: step}
	}
	out := []Event{event(EventOffered, 0, startedAt), event(EventBegan, 0, startedAt)}
	for step := plan.StepIndex(1); step <= r.Step; step++ {
		out = append(out, event(EventPromoted, step, r.Since))
	}
	switch r.Phase {
	case relay.PhaseReleased:
		out = append(out, event(EventReleased, r.Step, r.Since))
	case relay.PhaseRollingBack:
		out = append(out, event(EventRollingBack, r.Step, r.Since))
	case relay.PhaseWithdrawn:
		out = append(out, event(EventRollingBack, r.Step, r.Since), event(EventWithdrawn, r.Step, r.Since))
	}
	return out
}
