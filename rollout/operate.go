package rollout

import (
	"lichenroad/plan"
	"lichenroad/relay"
)

// Operation is an operator's request.
type Operation struct {
	Kind       EventKind // EventFrozen, EventUnfrozen, EventHalted, EventResumed or EventRollingBack
	Service    string    // empty: all services; only for a freeze and its end
	FreezeName string    // only for a freeze and its end
	Until      plan.Unix // end of the freeze; 0: until an operator ends it
	Actor      string    // the operator; stored with the event
	Reason     string    // stored with the event
}

// Operate checks an operator's request and returns the event that carries it out; the caller has to apply it. The error
// is a *RequestError.
func (c *Core) Operate(op Operation, at plan.Unix) (Event, error) {
	now := c.advanceClock(at)
	if op.Actor == "" || op.Reason == "" {
		return Event{}, requestErrorf("who and why must be said")
	}
	service, ok := c.plan.Service(op.Service)
	mayConcernAll := op.Kind == EventFrozen || op.Kind == EventUnfrozen
	if !ok && (op.Service != "" || !mayConcernAll) {
		return Event{}, requestErrorf("there is no service %q", op.Service)
	}
	e := Event{At: now, Kind: op.Kind, Service: op.Service, FreezeName: op.FreezeName, Until: op.Until,
		Actor: truncateText(op.Actor), Reason: truncateText(op.Reason)}
	switch op.Kind {
	case EventFrozen:
		return c.freeze(e)
	case EventUnfrozen:
		return c.unfreeze(e)
	case EventHalted, EventResumed:
		return c.services[service].haltOrResume(e)
	case EventRollingBack:
		return c.services[service].rollBack(e)
	}
	return Event{}, requestErrorf("%s is no operator's word", op.Kind)
}

// truncateText cuts an operator's text to the bytes that are stored.
func truncateText(text string) string { return text[:min(len(text), maxTextBytes)] }

func (c *Core) freeze(e Event) (Event, error) {
	if e.Until != 0 && e.Until <= e.At {
		return Event{}, requestErrorf("the freeze would be over already")
	}
	if e.FreezeName == "" || c.findFreeze(e.FreezeName) >= 0 {
		return Event{}, requestErrorf("freeze %q has no name of its own", e.FreezeName)
	}
	if len(c.freezes) >= maxFreezes {
		return Event{}, requestErrorf("%d freezes are set, no more are kept", maxFreezes)
	}
	return e, nil
}

func (c *Core) unfreeze(e Event) (Event, error) {
	at := c.findFreeze(e.FreezeName)
	if at < 0 {
		return Event{}, requestErrorf("no operator set a freeze %q (those of the plan end as it says)", e.FreezeName)
	}
	e.Service = c.freezes[at].Service
	return e, nil
}

func (s *serviceState) haltOrResume(e Event) (Event, error) {
	if s.halted == (e.Kind == EventHalted) {
		return Event{}, requestErrorf("%s is %s already", e.Service, e.Kind)
	}
	return e, nil
}

func (s *serviceState) rollBack(e Event) (Event, error) {
	if !s.canRollBack() {
		return Event{}, requestErrorf("%s has no build that could go back", e.Service)
	}
	e.Build, e.Step = s.newest.Build, s.newest.Step
	return e, nil
}

// Offer checks a new build and returns the event that makes it wait for its first step, in place of a build that is
// already waiting; the caller has to apply the event. The error is a *RequestError.
func (c *Core) Offer(service plan.ServiceIndex, build relay.Build, actor, reason string, at plan.Unix) (Event, error) {
	now := c.advanceClock(at)
	state, name := &c.services[service], c.plan.Services[service].Name
	if !state.isLaterBuild(build) {
		return Event{}, requestErrorf("build %d is not later than build %d of %s", build, max(state.newest.Build, state.waiting), name)
	}
	kind := EventOffered
	if state.waiting != 0 {
		kind = EventSuperseded
	}
	return Event{At: now, Kind: kind, Service: name, Build: build, Actor: actor, Reason: truncateText(reason)}, nil
}
