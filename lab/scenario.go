package lab

import (
	"math"
	"math/rand"
	"sort"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Parameters of a scenario. Times are in seconds.
const (
	secondsPerDay      = 86400.0
	noon               = 12 * hour
	maxStatusLag       = 3.0
	maxLostEvents      = 3.0  // journal events per restart
	simultaneousChance = 0.25 // probability that all services get a build in the same second

	restartInFreezeChance = 0.3 // probability that a killed relay is killed around the start of a freeze
	nightPartitionFrom    = 0.5 // intensity of ControllerPartitions from which on each night has a partition
)

// scenario draws the releases and faults of the days of a run, and schedules them.
type scenario struct {
	simulation *simulation
	random     *rand.Rand
	faults     Faults
}

// schedule schedules the days of a run. Each day has two builds of each service and, by chance, faults of each kind; every
// second day has a late build too, whose release is interrupted by the start of a freeze.
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
	sort.Float64s(s.simulation.traffic.requiredTimes)
}

// happens draws whether an event with the given probability happens.
func (s *scenario) happens(chance float64) bool { return s.random.Float64() < chance }

// offerBuilds offers two builds of each service: one in the morning, with the services one after another or, by chance, all
// in the same second, and one some hours later.
func (s *scenario) offerBuilds(midnight, morning float64) {
	apart := uniform(s.random, 40, 200)
	if s.happens(simultaneousChance) {
		apart = 0
	}
	for service := range s.simulation.fleets {
		delay := float64(service) * apart
		s.simulation.offerBuild(service, morning+delay)
		s.simulation.offerBuild(service, midnight+uniform(s.random, 10, 11)*hour+delay)
	}
}

// releaseIntoFreeze offers a late build of each service, so that the first freeze after noon begins in the middle of a step.
// By chance or always, the controller is partitioned at that time.
func (s *scenario) releaseIntoFreeze(midnight float64, alwaysPartitioned bool) {
	start := s.simulation.firstFreeze(midnight + noon)
	for service := range s.simulation.fleets {
		s.simulation.offerBuild(service, start-uniform(s.random, 25, 75))
	}
	if alwaysPartitioned || s.happens(s.faults.ControllerPartitions) {
		s.simulation.partitionController(start-uniform(s.random, 1, 12), uniform(s.random, 15, 60))
	}
}

// partitionController partitions the controller in the middle of a release by chance. At a high intensity it also does so
// for a whole night, in which a freeze begins and ends.
func (s *scenario) partitionController(midnight, morning float64) {
	if s.happens(s.faults.ControllerPartitions) {
		s.simulation.partitionController(morning+uniform(s.random, 10, 120), uniform(s.random, 5, 30))
	}
	if s.faults.ControllerPartitions >= nightPartitionFrom {
		s.simulation.partitionController(s.simulation.firstFreeze(midnight+noon)-5, 9*hour)
	}
}

// restartController restarts the controller: by chance, and always on the second day.
func (s *scenario) restartController(day, morning float64) {
	if day != 1 && !s.happens(s.faults.ControllerRestarts) {
		return
	}
	at := morning + uniform(s.random, 10, 200)
	lostEvents := int(math.Round(s.faults.LostJournalEvents * uniform(s.random, 0, maxLostEvents)))
	s.simulation.runAt(at, func() { s.simulation.controller.restart(lostEvents) })
}

// delayStatuses delays rollout statuses during a part of a release and around the start of a freeze: by chance, and every day
// at full intensity.
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

// restartRelays kills relays by chance, and always the second one of each service on the third day. Each starts again a few
// seconds later, some of them in a freeze.
func (s *scenario) restartRelays(day, midnight, morning float64) {
	const secondRelay relay.ID = 1
	for _, killed := range s.simulation.relays {
		if !s.happens(s.faults.RelayRestarts) && !(day == 2 && killed.id == secondRelay) {
			continue
		}
		at := morning + uniform(s.random, 5, 200)
		if s.happens(restartInFreezeChance) {
			at = s.simulation.firstFreeze(midnight+noon) + uniform(s.random, -5, 10)
		}
		s.simulation.runAt(at, func() {
			s.simulation.record("relay %s of %s killed", killed.name, killed.fleet.name)
			killed.kill()
		})
		s.simulation.runAt(at+uniform(s.random, 1, 5), killed.start)
	}
}

// stallDeployers stalls deployers in the middle of a release by chance.
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

// offerBuild schedules the offer of a new build of a service.
func (s *simulation) offerBuild(service int, at float64) {
	s.traffic.requiredTimes = append(s.traffic.requiredTimes, at)
	s.runAt(at, func() {
		offered := s.fleets[service]
		build := relay.Build(2)
		for known := range offered.builds {
			build = max(build, known+1)
		}
		offered.builds[build] = drawBuildFault(s.random, s.options.BadBuildFraction)
		event, err := s.controller.core.Offer(offered.service, build, "lab", offered.builds[build].name, s.unixNow())
		if err == nil { // otherwise the service accepts no build now
			s.controller.apply(event)
		}
	})
}

// partitionController schedules a partition between the controller and all relays.
func (s *simulation) partitionController(at, duration float64) {
	s.traffic.requiredTimes = append(s.traffic.requiredTimes, at, at+duration)
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

// firstFreeze returns the first start of a freeze within the six hours after a time, or the end of those hours.
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

// withRelays returns a copy of a plan in which the given number of relays is spread evenly over services, and within a
// service over sites.
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
