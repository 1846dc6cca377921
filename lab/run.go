package lab

import (
	"context"
	"crypto/sha256"
	"errors"
	"math"
	"time"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

const (
	progressInterval = 600.0 // s of virtual time between progress reports, and between checks of the context
	busyRelayEvery   = 5     // one of this many relays receives more requests than the others
	busyRelayWeight  = 4     // times the requests of another relay
)

var errTooSmall = errors.New("a simulation needs at least one relay and two planners for each service, and more than 0 days")

// Run simulates a plan for some days. If the context is done earlier, it returns the result up to then and the context's
// error.
func Run(ctx context.Context, options Options) (Result, error) {
	services := len(options.Plan.Services)
	if options.Relays < services || options.Endpoints < 2*services || options.Days <= 0 {
		return Result{}, errTooSmall
	}
	if options.Start == 0 {
		options.Start = float64(time.Date(2026, 11, 30, 0, 0, 0, 0, time.UTC).Unix()) // a Monday
	}
	s, end := newSimulation(options), options.Days*secondsPerDay
	for s.now < end && ctx.Err() == nil {
		s.runUntil(math.Min(s.now+progressInterval, end))
		if options.Progress != nil {
			options.Progress(s.now / secondsPerDay)
		}
	}
	return s.result(), ctx.Err()
}

// newSimulation returns a simulation at time 0, with its first events scheduled.
func newSimulation(options Options) *simulation {
	s := &simulation{
		options:      options,
		plan:         withRelays(options.Plan, options.Relays),
		epoch:        options.Start,
		timelineHash: sha256.New(),
	}
	s.random = s.newRandom("world", 0)
	s.checker = newChecker(s)
	s.traffic = trafficWindow{simulation: s}
	s.controller = newControllerLink(s)
	s.addFleets()
	days := scenario{simulation: s, random: s.newRandom("scenario", 0), faults: options.Faults}
	days.schedule(options.Days)
	s.traffic.scheduleNext()
	s.runAt(s.traffic.from, s.traffic.start)
	s.controller.advance()
	return s
}

// addFleets adds the fleets with their endpoints, starts all relays and schedules the boundaries of freezes.
func (s *simulation) addFleets() {
	for i := range s.plan.Services {
		s.addFleet(plan.ServiceIndex(i))
	}
	for _, added := range s.relays {
		added.start()
	}
	for _, freeze := range s.checker.freezeTimes {
		for _, frozen := range freeze {
			s.scheduleFreezeBoundary(frozen.from)
			s.scheduleFreezeBoundary(frozen.to)
		}
	}
}

func (s *simulation) scheduleFreezeBoundary(at float64) {
	if at > 0 {
		s.runAt(at, s.checker.freezeBoundary)
		s.traffic.requiredTimes = append(s.traffic.requiredTimes, at)
	}
}

func (s *simulation) addFleet(index plan.ServiceIndex) {
	service := &s.plan.Services[index]
	f := &fleet{
		simulation: s,
		service:    index,
		name:       service.Name,
		builds:     map[relay.Build]buildFault{1: {name: "good", onlyClass: allClasses, slowdown: 1}},
		stable:     1,
		size:       s.options.Endpoints / len(s.plan.Services),
		random:     s.newRandom("fleet", int(index)),
	}
	f.settings = s.relaySettings(index, len(service.Relays))
	if s.options.ChangeSettings != nil {
		s.options.ChangeSettings(&f.settings)
	}
	s.fleets = append(s.fleets, f)
	for i := range f.size {
		f.launch(1, plan.SiteIndex(i%len(s.plan.Sites)), 0)
	}
	watches := make([]bool, len(s.plan.Services))
	for _, dependency := range rollout.DependenciesOf(s.plan, index) {
		watches[dependency] = true
	}
	for i, planned := range service.Relays {
		added := &simulatedRelay{
			fleet:   f,
			id:      relay.ID(i),
			name:    planned.Name,
			site:    planned.Site,
			watches: watches,
			weight:  1,
			random:  s.newRandom("relay"+service.Name, i),
		}
		added.clockOffset = uniform(added.random, -1, 1) * s.options.Faults.ClockSkew
		if i%busyRelayEvery == 0 {
			added.weight = busyRelayWeight
		}
		f.relays = append(f.relays, added)
		s.relays = append(s.relays, added)
	}
}
