package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Delays of the deployer, in seconds, and its rounding margin.
const (
	replaceDelay   = 6.0  // from the launch of a build's endpoints to the drain of those that they replace
	noticeDelay    = 45.0 // time until an endpoint of an unannounced build is noticed and drained
	roundingMargin = 1e-9 // subtracted before rounding up, against rounding errors
)

// unannouncedName is the fault name of a build that is deployed although the controller has not announced it.
const unannouncedName = "unannounced"

// statusReceived delivers a rollout status to the deployer after a lag, in seconds. A stalled deployer keeps it for later.
func (f *fleet) statusReceived(status relay.RolloutStatus, lag float64) {
	f.simulation.runAfter(lag, func() {
		if f.stalled {
			f.pendingStatuses = append(f.pendingStatuses, status)
			return
		}
		f.deploy(status)
	})
}

// stallDeployer stops the deployer for a duration, after which it acts on all statuses that came in meanwhile.
func (f *fleet) stallDeployer(duration float64) {
	f.stalled = true
	f.simulation.runAfter(duration, func() {
		f.stalled = false
		pending := f.pendingStatuses
		f.pendingStatuses = nil
		for _, status := range pending {
			f.deploy(status)
		}
	})
}

// deploy makes the fleet match a status: canary endpoints at the sites that the step opens, only endpoints of the build once
// it is released, and none of a build that is rolled back.
func (f *fleet) deploy(status relay.RolloutStatus) {
	if f.isOutdated(status) {
		return
	}
	f.deployed = status
	switch status.Phase {
	case relay.PhaseCanary:
		f.deployCanary(status)
	case relay.PhaseReleased:
		f.deployRelease(status.Build)
	case relay.PhaseRollingBack, relay.PhaseWithdrawn:
		f.rollBack(status.Build)
	}
}

// isOutdated reports whether a status is older than the one that the deployer acts on.
func (f *fleet) isOutdated(status relay.RolloutStatus) bool {
	if status.Build != f.deployed.Build {
		return status.Build < f.deployed.Build
	}
	wasRollingBack := f.deployed.Phase == relay.PhaseRollingBack
	return f.deployed.Phase == relay.PhaseWithdrawn || wasRollingBack && status.Phase == relay.PhaseCanary
}

// deployCanary launches the endpoints of a step: a share of the whole fleet, spread evenly over the sites that it opens.
func (f *fleet) deployCanary(status relay.RolloutStatus) {
	service, step := &f.simulation.plan.Services[f.service], plan.StepIndex(status.Stage)
	running := f.countBySite(status.Build)
	openSites := 0.0
	for site := range running {
		if service.OpenAtSite(step, plan.SiteIndex(site)) {
			openSites++
		}
	}
	for site, count := range running {
		isOpen := service.OpenAtSite(step, plan.SiteIndex(site))
		if !isOpen || site > 0 && f.canaryAtOneSite(status.Build) {
			continue
		}
		wanted := int(math.Ceil(float64(f.size)*service.Steps[step].Share/openSites - roundingMargin))
		f.launchMore(status.Build, plan.SiteIndex(site), wanted-count)
	}
}

// deployRelease launches the remaining endpoints of a released build, and drains those of older builds.
func (f *fleet) deployRelease(build relay.Build) {
	for site, count := range f.countBySite(build) {
		f.launchMore(build, plan.SiteIndex(site), f.endpointsPerSite()-count)
	}
	if f.stable < build {
		f.stable = build
		f.drain(func(candidate *endpoint) bool { return candidate.build < build }, replaceDelay)
	}
}

// rollBack drains the endpoints of a build. If the build was released already, it first launches endpoints of the one
// released before it.
func (f *fleet) rollBack(build relay.Build) {
	isRolledBack := func(candidate *endpoint) bool { return candidate.build >= build }
	if build != f.stable {
		f.drain(isRolledBack, 0)
		return
	}
	f.stable = f.stableBefore(build)
	for site := range f.simulation.plan.Sites {
		f.launchMore(f.stable, plan.SiteIndex(site), f.endpointsPerSite())
	}
	f.drain(isRolledBack, replaceDelay)
}

// countBySite counts the ready endpoints of a build, by site.
func (f *fleet) countBySite(build relay.Build) []int {
	counts := make([]int, len(f.simulation.plan.Sites))
	for _, counted := range f.readyEndpoints() {
		if counted.build == build {
			counts[counted.site]++
		}
	}
	return counts
}

// endpointsPerSite returns how many endpoints each site has if they are spread evenly.
func (f *fleet) endpointsPerSite() int {
	return int(math.Ceil(float64(f.size) / float64(len(f.simulation.plan.Sites))))
}

func (f *fleet) launchMore(build relay.Build, site plan.SiteIndex, count int) {
	for range count {
		f.launch(build, site, uniform(f.random, 0, 1)+startTime)
	}
}

// canaryAtOneSite reports whether a build's canary gets endpoints at the first site alone, which is a deployer fault. The
// draw depends only on seed, service and build, so every call for a build gives the same result.
func (f *fleet) canaryAtOneSite(build relay.Build) bool {
	draw := f.simulation.newRandom("one-side"+f.name, int(build)).Float64()
	return draw < f.simulation.options.Faults.OneSiteCanaries
}

// stableBefore returns the latest released build before a given one.
func (f *fleet) stableBefore(build relay.Build) relay.Build {
	latest := relay.Build(1)
	for candidate := range f.builds {
		if candidate < build && candidate > latest && f.simulation.checker.wasReleased(f.name, candidate) {
			latest = candidate
		}
	}
	return latest
}

// controllerEventApplied injects a deployer fault when a release begins: by chance, an endpoint of an unannounced build
// starts, and runs until it is noticed.
func (f *fleet) controllerEventApplied(event rollout.Event) {
	chance := f.simulation.options.Faults.UnannouncedBuilds
	if event.Kind != rollout.EventBegan || chance <= 0 || f.random.Float64() >= chance {
		return
	}
	build := event.Build + 1
	f.builds[build] = buildFault{name: unannouncedName, failureRate: 0.5, onlyClass: allClasses, slowdown: 1}
	f.launch(build, plan.SiteIndex(f.random.Intn(len(f.simulation.plan.Sites))), startTime)
	f.drain(func(candidate *endpoint) bool {
		return candidate.build == build && f.builds[build].name == unannouncedName
	}, noticeDelay)
}
