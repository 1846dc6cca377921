package compat_test

const (
	lastStage  = 2
	maxRetired = 5 // endpoints of the old build that are drained when the new build is released
)

// Phases of a rollout, as on the wire.
const (
	phaseCanary = iota
	phaseRollingBack
	phaseReleased
	phaseWithdrawn
)

// Votes on a rollout, as on the wire.
const (
	votePromote  = 1
	voteRollBack = 3
)

// addRolloutStatus adds the rollout status of the newest build for an instance. If the status is the reply to a vote, voteReply
// is 1 and result is the result of the vote.
func (d *deployment) addRolloutStatus(instance *hostedInstance, voteReply, result byte) {
	limits := []float32{0.15, 0.5, 1}
	limit := limits[min(int(d.stage), len(limits)-1)]
	if d.isAborted() {
		limit = 0
	}
	d.addEvent(instanceEvent(eventRolloutStatus, instance.pipeNumber()).f32(limit).u8(d.phase).u8(voteReply).u16(d.build).u8(d.stage).u64(d.now - d.stageSince).u8(result))
}

// addRolloutStatusToAll schedules a rollout status for every instance.
func (d *deployment) addRolloutStatusToAll() {
	for i, instance := range d.instances {
		d.after(20*millisecond+uint64(i)*17*millisecond, func() {
			if instance.running {
				d.addRolloutStatus(instance, 0, 0)
			}
		})
	}
}

// setRollout moves the newest build to a stage and phase, clears the votes on it and notifies all instances. In the canary
// phase, it also deploys the build to more endpoints.
func (d *deployment) setRollout(stage, phase byte) {
	d.stage, d.phase, d.stageSince = stage, phase, d.now
	clear(d.rollbackVotes)
	clear(d.promoteVotes)
	d.addRolloutStatusToAll()
	if phase == phaseCanary {
		d.deployNewBuild()
	}
}

// isAborted reports whether the newest build is being rolled back or has been withdrawn.
func (d *deployment) isAborted() bool {
	return d.phase == phaseRollingBack || d.phase == phaseWithdrawn
}

// startRollout starts the rollout of the new build, as a canary.
func (d *deployment) startRollout() {
	d.build = newBuild
	d.setRollout(0, phaseCanary)
	if d.scenario.control == "automatic" {
		d.after(4*second, func() { d.advance(0) })
	}
}

// deployNewBuild deploys the new build to three endpoints: to additional ones, or in place, at the addresses of old ones.
func (d *deployment) deployNewBuild() {
	var changed []*listedEndpoint
	for i := range 3 {
		if d.scenario.replacement == "replace" {
			endpoint := d.endpoints[(3*int(d.stage)+i)%len(d.endpoints)]
			endpoint.state = stateDraining
			changed = append(changed, endpoint)
			d.after(700*millisecond, func() {
				endpoint.state, endpoint.build, endpoint.startedAt = stateReady, newBuild, d.now
				d.addListToAll([]*listedEndpoint{endpoint})
			})
			continue
		}
		endpoint := d.newEndpoint(len(d.endpoints), newBuild)
		endpoint.startedAt = d.now
		d.endpoints = append(d.endpoints, endpoint)
		changed = append(changed, endpoint)
	}
	d.addListToAll(changed)
}

// advance promotes the canary to the stage after the given one, or releases it after the last. It does nothing if the canary is
// no longer at the given stage.
func (d *deployment) advance(from byte) {
	if d.phase != phaseCanary || d.stage != from {
		return
	}
	if from == lastStage {
		d.setRollout(lastStage, phaseReleased)
		d.after(500*millisecond, func() { d.retire(oldBuild) })
		return
	}
	d.setRollout(from+1, phaseCanary)
	if d.scenario.control == "automatic" {
		d.after(4*second, func() { d.advance(from + 1) })
	}
}

// retire drains up to maxRetired endpoints of a build, and removes them a second later.
func (d *deployment) retire(build uint16) {
	var leaving []*listedEndpoint
	for _, endpoint := range d.endpoints {
		if endpoint.build == build && endpoint.state == stateReady && len(leaving) < maxRetired {
			endpoint.state = stateDraining
			leaving = append(leaving, endpoint)
		}
	}
	d.addListToAll(leaving)
	d.after(second, func() {
		for _, endpoint := range leaving {
			endpoint.state = stateGone
		}
		d.addListToAll(leaving)
	})
}

// countVote counts a vote and replies to it. Every fifth vote is not counted; the reply then has one of four other results,
// in turn.
func (d *deployment) countVote(instance *hostedInstance, build uint16, stage, vote byte) {
	d.votes++
	result, incarnation := byte(outcomeSucceeded), instance.incarnation
	if d.votes%5 == 0 {
		result = []byte{outcomeNotSent, outcomeRejected, outcomeError, outcomeTimedOut}[d.votes/5%4]
	}
	stale := stage != d.stage || d.phase != phaseCanary
	if build != d.build || vote != voteRollBack && stale {
		result = outcomeNotSent
	}
	if result == outcomeSucceeded {
		delete(d.promoteVotes, instance.number)
		delete(d.rollbackVotes, instance.number)
		switch vote {
		case votePromote:
			d.promoteVotes[instance.number] = true
		case voteRollBack:
			d.rollbackVotes[instance.number] = true
		}
	}
	d.after(30*millisecond, func() {
		if instance.isRunning(incarnation) {
			d.addRolloutStatus(instance, 1, result)
		}
	})
	quorum := min(2, len(d.instances))
	switch {
	case len(d.rollbackVotes) >= quorum && !d.isAborted():
		d.setRollout(d.stage, phaseRollingBack)
		d.after(1500*millisecond, func() { d.setRollout(d.stage, phaseWithdrawn) })
	case len(d.promoteVotes) >= quorum && d.scenario.control != "automatic":
		from := d.stage
		d.after(300*millisecond, func() { d.advance(from) })
	}
}
