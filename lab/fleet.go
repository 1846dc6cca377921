package lab

import (
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
)

const (
	dropEndpointDelay = 20.0 // s from an endpoint's removal until its record is dropped
	startedBeforeRun  = -1e6 // start time of the endpoints that are there when the run begins
	slowFraction      = 0.39 // fraction of the endpoints whose cores are slower
)

// fleet simulates one service: its endpoints, its relays and its deployer.
type fleet struct {
	simulation *simulation
	service    plan.ServiceIndex
	name       string
	settings   relay.Settings // settings of its relays
	random     *rand.Rand
	size       int // intended number of endpoints
	endpoints  []*endpoint
	relays     []*simulatedRelay
	builds     map[relay.Build]buildFault // all builds so far, with their faults
	nextID     relay.EndpointID

	// The deployer, in deployer.go.
	stable          relay.Build // the released build, which all endpoints run outside of rollouts
	stalled         bool
	pendingStatuses []relay.RolloutStatus // received while the deployer was stalled
	deployed        relay.RolloutStatus   // the status that the deployer acts on
}

// readyEndpoints lists the endpoints that are ready.
func (f *fleet) readyEndpoints() (ready []*endpoint) {
	for _, candidate := range f.endpoints {
		if candidate.state == relay.Ready {
			ready = append(ready, candidate)
		}
	}
	return ready
}

// busyFraction returns the fraction of the endpoints' cores that are busy.
func (f *fleet) busyFraction() float64 {
	busy, cores := 0, 0
	for _, counted := range f.endpoints {
		busy += counted.running
		cores += CoresPerEndpoint
	}
	return float64(busy) / float64(max(cores, 1))
}

// launch adds an endpoint that is started and listed after a delay. An endpoint without a delay was started before the run.
func (f *fleet) launch(build relay.Build, site plan.SiteIndex, delay float64) {
	f.nextID++
	launched := &endpoint{
		fleet:       f,
		id:          f.nextID,
		site:        site,
		build:       build,
		state:       relay.Ready, // even before it is listed, so that it counts as live
		inSlowStart: delay > 0,
		random:      f.simulation.newRandom("planner"+f.name, int(f.nextID)),
	}
	launched.speed = uniform(launched.random, 1.3, 1.7)
	if launched.random.Float64() < slowFraction {
		launched.speed = uniform(launched.random, 0.9, 1.1)
	}
	f.endpoints = append(f.endpoints, launched)
	if delay <= 0 {
		launched.startedAt, launched.listed = startedBeforeRun, true
		return
	}
	f.simulation.runAfter(delay, func() {
		if launched.state == relay.Ready {
			launched.startedAt = f.simulation.now
			launched.listed = true
			f.announce(launched)
		}
	})
}

// drain drains, after a delay, the endpoints that match then. Each is removed drainTime later.
func (f *fleet) drain(matches func(*endpoint) bool, delay float64) {
	f.simulation.runAfter(delay, func() {
		for _, candidate := range f.endpoints {
			if candidate.state == relay.Ready && matches(candidate) {
				f.drainOne(candidate)
			}
		}
	})
}

func (f *fleet) drainOne(drained *endpoint) {
	drained.state = relay.Draining
	f.announce(drained)
	f.simulation.runAfter(drainTime, func() {
		drained.state = relay.Removed
		f.announce(drained)
		f.simulation.runAfter(dropEndpointDelay, f.dropRemoved)
	})
}

// dropRemoved drops the records of removed endpoints that no longer process attempts.
func (f *fleet) dropRemoved() {
	kept := f.endpoints[:0]
	for _, candidate := range f.endpoints {
		if candidate.state != relay.Removed || candidate.running > 0 {
			kept = append(kept, candidate)
		}
	}
	clear(f.endpoints[len(kept):])
	f.endpoints = kept
}

// announce sends an endpoint's list entry to every relay of the fleet, each with its own lag.
func (f *fleet) announce(changed *endpoint) {
	if !changed.listed && changed.state == relay.Ready {
		return
	}
	update := relay.ListUpdate{Kind: relay.ListDelta, Endpoints: []relay.Endpoint{changed.listEntry()}}
	for _, receiver := range f.relays {
		lag := uniform(f.random, 0.1, 0.5) + f.simulation.options.Faults.ListLag*uniform(f.random, 0, 4)
		f.simulation.runAfter(lag, receiver.whileRunning(func() { receiver.listUpdated(update) }))
	}
}
