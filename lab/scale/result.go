package scale

import (
	"cmp"
	"context"
	"math"
	"runtime/debug"
	"slices"
	"time"
)

// ReleaseSummary counts the releases of the simulated services by result. RollBackP50 and RollBackP90 are quantiles, in seconds,
// of the time from the start of a bad release until its rollback.
type ReleaseSummary struct {
	Releases         int     `json:"releases"`
	Bad              int     `json:"bad"`
	BadForOneService int     `json:"bad_for_one_service"`
	BadRolledBack    int     `json:"bad_sent_back"`
	RollBackP50      float64 `json:"seconds_to_back_p50"`
	RollBackP90      float64 `json:"seconds_to_back_p90"`
	BadNotRolledBack int     `json:"bad_stayed"` // fully released, or still a canary at the next release
	GoodRolledBack   int     `json:"good_sent_back"`
	GoodReleased     int     `json:"good_released"`
	Open             int     `json:"open_at_the_end"`
}

// Faults counts the effects of a run's faults.
type Faults struct {
	faultCounts
	Datagrams networkCounts `json:"datagrams"`
}

// Result contains the figures of a run. docs/scale-lab.md explains each of them.
type Result struct {
	Options          Options        `json:"options"`
	Services         int            `json:"services_played"`    // simulated services
	Relays           int            `json:"relays_played"`      // relays of the simulated services, hosted and synthetic
	Hosted           int            `json:"instances_measured"` // hosted relays
	Roles            []Role         `json:"roles"`
	ReleaseSummary   ReleaseSummary `json:"decisions"`
	Releases         []Release      `json:"releases"`
	Requests         requestCounts  `json:"requests"`
	ListsRejected    int            `json:"lists_refused"`       // lists that the real reader rejected as too long
	Unreadable       int            `json:"unreadable"`          // messages, lists and lines that the real code rejected
	UnknownEndpoints int            `json:"unknown_units"`       // list entries and attempts with an unknown endpoint
	RemovedByPeers   int            `json:"units_told_by_peers"` // endpoints that peers reported as removed before discovery did
	Faults           Faults         `json:"faults"`
	ViolationCount   int            `json:"broken_count"`
	Violations       []Violation    `json:"broken"`
	SlowStartChecked bool           `json:"cold_checked"` // whether all relays were hosted, as the slow-start check requires
	ProcessPeakMB    float64        `json:"process_peak_mb"`
	WallSeconds      float64        `json:"wall_s"`
	GCSeconds        float64        `json:"gc_cpu_s"` // processor time of the garbage collector's dedicated workers
}

const (
	maxViolations      = 200 // maximum number of violations in a result
	memoryLimitPercent = 90  // percentage of maxMemoryMB above which the garbage collector runs more often
)

// Run simulates a fleet. It returns an error if the options are invalid, if the fleet needs too much memory, or if the context
// ends. While it runs, it changes the memory limit of the process.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	collectorBefore := collectorSeconds()
	limitBefore := debug.SetMemoryLimit(maxMemoryMB << 20 * memoryLimitPercent / 100)
	defer debug.SetMemoryLimit(limitBefore)
	sim, err := newSimulation(o)
	if err != nil {
		return nil, err
	}
	if err := sim.run(ctx); err != nil {
		return nil, err
	}
	collector := collectorSeconds() - collectorBefore // without the collections that measure heaps
	result := sim.result()
	result.GCSeconds = collector
	result.WallSeconds = time.Since(startedAt).Seconds()
	result.ProcessPeakMB = peakMemoryMB()
	return result, nil
}

// result returns the figures of the simulation. It can be called only once, because measuring the heap discards the state
// machines of some relays.
func (sim *simulation) result() *Result {
	r := &Result{
		Options:          sim.options,
		Services:         len(sim.services),
		Relays:           len(sim.relays),
		Faults:           Faults{sim.faultCounts, sim.network.counts},
		SlowStartChecked: !sim.sampled,
		ViolationCount:   sim.slowStartViolationCount,
		Violations:       append([]Violation{}, sim.slowStartViolations...),
	}
	roles := map[string][]*hollowRelay{}
	for _, h := range sim.hollowRelays {
		if h == nil {
			continue
		}
		role := relayRole
		if h.meter.aggregated {
			role = aggregatorRole
		}
		roles[role] = append(roles[role], h)
		r.addInstance(h)
	}
	for _, name := range []string{relayRole, aggregatorRole} {
		if len(roles[name]) > 0 {
			r.Roles = append(r.Roles, newRole(name, roles[name]))
		}
	}
	r.addReleases(sim.services)
	slices.SortStableFunc(r.Violations, func(a, b Violation) int {
		return cmp.Compare(a.Time, b.Time)
	})
	r.Violations = r.Violations[:min(len(r.Violations), maxViolations)]
	return r
}

// addInstance adds the counts of one hosted relay to the totals.
func (r *Result) addInstance(h *hollowRelay) {
	r.Hosted++
	for _, request := range h.requests {
		if !request.finished {
			h.meter.requests.Open++
		}
	}
	r.Requests.add(h.meter.requests)
	r.ListsRejected += h.meter.listsRejected
	r.Unreadable += h.meter.unreadable
	r.UnknownEndpoints += h.unknownEndpoints
	r.RemovedByPeers += h.meter.removedByPeers
	r.ViolationCount += h.checker.count
	r.Violations = append(r.Violations, h.checker.violations...)
}

// addReleases adds the releases of all services and summarizes them.
func (r *Result) addReleases(services []*service) {
	var rollBackTimes []float64 // time until rollback of each bad build that was rolled back
	for _, s := range services {
		for _, release := range s.platform.releases {
			r.Releases = append(r.Releases, release)
			r.ReleaseSummary.add(release)
			if release.Bad && release.wasRolledBack() {
				rollBackTimes = append(rollBackTimes, release.RolledBackAfter)
			}
		}
	}
	slices.Sort(rollBackTimes)
	r.ReleaseSummary.RollBackP50 = quantile(rollBackTimes, 0.5)
	r.ReleaseSummary.RollBackP90 = quantile(rollBackTimes, 0.9)
}

func (r *Release) wasRolledBack() bool { return r.RolledBackAfter >= 0 }

// add counts one release.
func (s *ReleaseSummary) add(release Release) {
	s.Releases++
	switch {
	case release.Bad && release.wasRolledBack():
		s.BadRolledBack++
	case release.Bad && release.Ended:
		s.BadNotRolledBack++
	case !release.Bad && release.wasRolledBack():
		s.GoodRolledBack++
	case !release.Bad && release.ReleasedAfter >= 0:
		s.GoodReleased++
	case !release.Ended:
		s.Open++
	}
	if release.Bad {
		s.Bad++
	}
	if release.Bad && release.Kind == badForOneService.String() {
		s.BadForOneService++
	}
}

// quantile returns the smallest value that at least the given fraction of the values does not exceed, or 0 without values.
func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(fraction*float64(len(sorted))))-1)]
}
