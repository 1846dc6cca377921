package lab

import (
	"math"
	"math/rand"
	"sort"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Times of a scenario, in seconds.
const (
	secondsPerDay    = 86400.0
	noon             = 12 * hour
	maxStatusLag     = 3.0
	maxForgotten     = 3.0 // events
	simultaneousPart = 0.25
)

// scenario draws the days of a run and schedules what happens in them.
type scenario struct {
	simulation *simulation
	random     *rand.Rand
	faults     Faults
}

// schedule draws a day after the other: a release of each service a day and a second where there is time, one that meets a
// freeze's start, a controller that is partitioned across one, restarts, lag.
func (s *scenario) schedule(days float64) {
	for day := 0.0; day < days; day++ {
		midnight := day * secondsPerDay
		morning := midnight + uniform(s.random, 6.2, 6.8)*hour
		s.offerBuilds(midnight, morning)
		if int(day)%2 == 0 {
			s.releaseIntoFreeze(midnight, int(day)%4 == 0)
		}
		s.partitionController(midnight, morning)
		s.restartController(day, morning)
		s.delayStatuses(midnight, morning)
		s.restartRelays(day, midnight, morning)
		s.stallDeployers(morning)
	}
	sort.Float64s(s.simulation.traffic.wantedTimes)
}

func (s *scenario) happens(chance float64) bool { return s.random.Float64() < chance }

// offerBuilds offers two builds of each service, in the morning and some hours later, sometimes all in the same second.
func (s *scenario) offerBuilds(midnight, morning float64) {
	apart := uniform(s.random, 40, 200)
	if s.happens(simultaneousPart) {
		apart = 0
	}
	for service := range s.simulation.fleets {
		delay := float64(service) * apart
		s.simulation.offerBuild(service, morning+delay)
		s.simulation.offerBuild(service, midnight+uniform(s.random, 10, 11)*hour+delay)
	}
}

// releaseIntoFreeze offers a late build, which the first freeze after noon catches in the middle of a step.
func (s *scenario) releaseIntoFreeze(midnight float64, alwaysPartitioned bool) {
	start := s.simulation.firstFreeze(midnight + noon)
	for service := range s.simulation.fleets {
		s.simulation.offerBuild(service, start-uniform(s.random, 25, 75))
	}
	if alwaysPartitioned || s.happens(s.faults.ControllerPartitions) {
		s.simulation.partitionController(start-uniform(s.random, 1, 12), uniform(s.random, 15, 60))
	}
}

// partitionController partitions the controller in the middle of a release, and at its worst for a whole night: across a freeze
// that begins and ends within it.
func (s *scenario) partitionController(midnight, morning float64) {
	if s.happens(s.faults.ControllerPartitions) {
		s.simulation.partitionController(morning+uniform(s.random, 10, 120), uniform(s.random, 5, 30))
	}
	if s.faults.ControllerPartitions >= 0.5 {
		s.simulation.partitionController(s.simulation.firstFreeze(midnight+noon)-5, 9*hour)
	}
}

// restartController restarts the controller, on the second day in any case.
func (s *scenario) restartController(day, morning float64) {
	if day != 1 && !s.happens(s.faults.ControllerRestarts) {
		return
	}
	at := morning + uniform(s.random, 10, 200)
	forgotten := int(math.Round(s.faults.LostJournalEvents * uniform(s.random, 0, maxForgotten)))
	s.simulation.runAt(at, func() { s.simulation.controller.restart(forgotten) })
}

// delayStatuses delays rollout statuses for a part of a release, and round the start of a freeze.
func (s *scenario) delayStatuses(midnight, morning float64) {
	if !s.happens(s.faults.StatusLag) && s.faults.StatusLag < 1 {
		return
	}
	lag := maxStatusLag * math.Min(1, 2*s.faults.StatusLag)
	from := morning + uniform(s.random, 0, 100)
	s.delayStatusesBetween(from, from+uniform(s.random, 20, 90), lag)
	start := s.simulation.firstFreeze(midnight + noon)
	s.delayStatusesBetween(start-20, start+20, lag)
}

func (s *scenario) delayStatusesBetween(from, to, lag float64) {
	controller := s.simulation.controller
	s.simulation.runAt(from, func() { controller.statusLag = lag })
	s.simulation.runAt(to, func() { controller.statusLag = 0 })
}

// restartRelays kills relays, some of which start again during a freeze; on the third day the second one of each service in
// any case.
func (s *scenario) restartRelays(day, midnight, morning float64) {
	const secondRelay relay.ID = 1
	for _, killed := range s.simulation.relays {
		if !s.happens(s.faults.RelayRestarts) && !(day == 2 && killed.id == secondRelay) {
			continue
		}
		at := morning + uniform(s.random, 5, 200)
		if s.happens(0.3) {
			at = s.simulation.firstFreeze(midnight+noon) + uniform(s.random, -5, 10)
		}
		s.simulation.runAt(at, func() {
			s.simulation.record("relay %s of %s killed", killed.name, killed.fleet.name)
			killed.kill()
		})
		s.simulation.runAt(at+uniform(s.random, 1, 5), killed.start)
	}
}

// stallDeployers stalls deployers in the middle of a release.
func (s *scenario) stallDeployers(morning float64) {
	for _, stalled := range s.simulation.fleets {
		if !s.happens(s.faults.DeployerStalls) {
			continue
		}
		duration := uniform(s.random, 5, 20)
		s.simulation.runAt(morning+uniform(s.random, 5, 60), func() {
			s.simulation.record("deployer of %s stands still", stalled.name)
			stalled.stallDeployer(duration)
		})
	}
}

// offerBuild offers a new build of a service at a time.
func (s *simulation) offerBuild(service int, at float64) {
	s.traffic.wantedTimes = append(s.traffic.wantedTimes, at)
	s.runAt(at, func() {
		offered := s.fleets[service]
		build := relay.Build(2)
		for known := range offered.builds {
			build = max(build, known+1)
		}
		offered.builds[build] = drawBuildFault(s.random, s.options.BadBuildFraction)
		event, err := s.controller.core.Offer(offered.service, build, "lab", offered.builds[build].name, s.unixNow())
		if err == nil { // else the service takes no build now
			s.controller.apply(event)
		}
	})
}

// partitionController cuts the controller off from all relays for a while.
func (s *simulation) partitionController(at, duration float64) {
	s.traffic.wantedTimes = append(s.traffic.wantedTimes, at, at+duration)
	s.runAt(at, func() {
		s.record("desk silent")
		s.controller.partitioned = true
	})
	s.runAt(at+duration, func() {
		s.record("desk speaks")
		s.controller.partitioned = false
		s.controller.publishAll()
	})
}

// firstFreeze is the first start of a freeze after a time; six hours later where there is none before.
func (s *simulation) firstFreeze(after float64) float64 {
	first := after + 6*hour
	for _, freeze := range s.checker.freezeTimes {
		for _, frozen := range freeze {
			if frozen.from > after {
				first = math.Min(first, frozen.from)
			}
		}
	}
	return first
}

// withRelays returns a copy of a plan in which each service has its part of the relays.
func withRelays(original *plan.Plan, relays int) *plan.Plan {
	changed := *original
	changed.Services = append([]plan.Service(nil), original.Services...)
	services := len(changed.Services)
	for i := range changed.Services {
		count := relays / services
		if i < relays%services {
			count++
		}
		changed.Services[i].Relays = nil
		for k := range count {
			site := plan.SiteIndex(k % len(changed.Sites))
			changed.Services[i].Relays = append(changed.Services[i].Relays, plan.Relay{Name: relayName(k), Site: site})
		}
	}
	return &changed
}
