package lab

import (
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
)

const (
	forgetDelay  = 20.0 // s after which a removed endpoint is forgotten
	longAgo      = -1e6 // start of the endpoints that were there before the run
	slowFraction = 0.39 // of the endpoints, whose cores are slower
)

// fleet is one service: its endpoints, its relays and its deployer.
type fleet struct {
	simulation *simulation
	service    plan.ServiceIndex
	name       string
	settings   relay.Settings // of its relays
	random     *rand.Rand
	size       int // endpoints that it should have
	endpoints  []*endpoint
	relays     []*simulatedRelay
	builds     map[relay.Build]buildFault
	nextID     relay.EndpointID

	// The deployer, in deployer.go.
	stable          relay.Build // that endpoints run outside of releases
	stalled         bool
	pendingStatuses []relay.RolloutStatus // that a stalled deployer has not seen
	deployed        relay.RolloutStatus   // that the deployer acts on
}

// live lists the endpoints that are ready.
func (f *fleet) live() (ready []*endpoint) {
	for _, candidate := range f.endpoints {
		if candidate.state == relay.Ready {
			ready = append(ready, candidate)
		}
	}
	return ready
}

// busyFraction is the fraction of the endpoints' cores that work.
func (f *fleet) busyFraction() float64 {
	busy, cores := 0, 0
	for _, counted := range f.endpoints {
		busy += counted.running
		cores += CoresPerEndpoint
	}
	return float64(busy) / float64(max(cores, 1))
}

// launch starts an endpoint after a delay, from which on it is listed; one without a delay was there before the run.
func (f *fleet) launch(build relay.Build, site plan.SiteIndex, delay float64) {
	f.nextID++
	launched := &endpoint{
		fleet:       f,
		id:          f.nextID,
		site:        site,
		build:       build,
		state:       relay.Ready, // it counts from now on
		inSlowStart: delay > 0,
		random:      f.simulation.newRandom("planner"+f.name, int(f.nextID)),
	}
	launched.speed = uniform(launched.random, 1.3, 1.7)
	if launched.random.Float64() < slowFraction {
		launched.speed = uniform(launched.random, 0.9, 1.1)
	}
	f.endpoints = append(f.endpoints, launched)
	if delay <= 0 {
		launched.startedAt, launched.listed = longAgo, true
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

// drain drains the endpoints that match after a delay, and removes them a little later.
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
		f.simulation.runAfter(forgetDelay, f.forgetRemoved)
	})
}

// forgetRemoved forgets endpoints that are removed and work on nothing.
func (f *fleet) forgetRemoved() {
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
