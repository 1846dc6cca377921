package rollout

// Replay applies an event of a journal. It does not hold the event against the plan in force: the event was valid under the
// plan of its time, which may have had other steps or services. Like Apply it returns an *EventError and changes nothing if the
// event can't follow the present state. EndReplay must follow the last event.
func (c *Core) Replay(e Event) error {
	if err := checkTime(e); err != nil {
		return err
	}
	applied, err := c.applyToAll(e)
	if !applied {
		err = c.replayState(e.Service).apply(e, nil)
	}
	if err != nil {
		return err
	}
	c.advanceClock(e.At)
	return nil
}

// EndReplay returns a *ReplanError if the plan in force lacks what the replayed rollouts need; see Replan.
func (c *Core) EndReplay() error { return c.checkPlan() }

// replayState returns the state of a service, which the plan may not have.
func (c *Core) replayState(name string) *serviceState {
	if service, planned := c.plan.Service(name); planned {
		return &c.services[service]
	}
	state := c.unplanned[name]
	if state == nil {
		created := newServiceState()
		state = &created
		c.unplanned[name] = state
	}
	return state
}
