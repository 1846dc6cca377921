package scale

import (
	"cmp"
	"context"
	"math"
	"runtime/debug"
	"slices"
	"time"
)

// ReleaseSummary sum up the releases of the simulated services.
type ReleaseSummary struct {
	Releases         int     `json:"releases"`
	Bad              int     `json:"bad"`
	BadForOneService int     `json:"bad_for_one_service"`
	BadRolledBack    int     `json:"bad_sent_back"`
	RollBackP50      float64 `json:"seconds_to_back_p50"`
	RollBackP90      float64 `json:"seconds_to_back_p90"`
	BadNotRolledBack int     `json:"bad_stayed"` // released, or still a canary at the next release
	GoodRolledBack   int     `json:"good_sent_back"`
	GoodReleased     int     `json:"good_released"`
	Open             int     `json:"open_at_the_end"`
}

// Faults are the effects of a run's faults.
type Faults struct {
	faultCounts
	Datagrams networkCounts `json:"datagrams"`
}

// Result is the figures of a run. docs/scale-lab.md explains each.
type Result struct {
	Options          Options        `json:"options"`
	Services         int            `json:"services_played"`
	Relays           int            `json:"relays_played"`
	Hosted           int            `json:"instances_measured"`
	Roles            []Role         `json:"roles"`
	ReleaseSummary   ReleaseSummary `json:"decisions"`
	Releases         []Release      `json:"releases"`
	Requests         requestCounts  `json:"requests"`
	ListsRejected    int            `json:"lists_refused"` // by the real reader, as too long
	Unreadable       int            `json:"unreadable"`
	UnknownEndpoints int            `json:"unknown_units"`
	RemovedByPeers   int            `json:"units_told_by_peers"` // before discovery listed the removal
	Faults           Faults         `json:"faults"`
	ViolationCount   int            `json:"broken_count"`
	Violations       []Violation    `json:"broken"`
	SlowStartChecked bool           `json:"cold_checked"` // every relay was hosted, so that the work sent during slow start is known
	ProcessPeakMB    float64        `json:"process_peak_mb"`
	WallSeconds      float64        `json:"wall_s"`
	GCSeconds        float64        `json:"gc_cpu_s"` // of the collector's own threads, up to the end of the virtual time
}

const (
	maxViolations      = 200 // in a result
	memoryLimitPercent = 90  // of maxMemoryMB, beyond which the collector works harder
)

// Run simulates a fleet. It returns an error if the options are not valid, if the size needs too much memory, or if the
// context ends. It sets the memory limit of the process while it runs.
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
	collector := collectorSeconds() - collectorBefore
	result := sim.result()
	result.GCSeconds = collector
	result.WallSeconds = time.Since(startedAt).Seconds()
	result.ProcessPeakMB = peakMemoryMB()
	return result, nil
}

// result sums up the simulation. The state machines of some relays end with it.
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

// addInstance adds one instance to the totals.
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

// addReleases adds and sums up the releases of all services.
func (r *Result) addReleases(services []*service) {
	var rollBackTimes []float64 // of bad builds
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
func (d *ReleaseSummary) add(release Release) {
	d.Releases++
	switch {
	case release.Bad && release.wasRolledBack():
		d.BadRolledBack++
	case release.Bad && release.Ended:
		d.BadNotRolledBack++
	case !release.Bad && release.wasRolledBack():
		d.GoodRolledBack++
	case !release.Bad && release.ReleasedAfter >= 0:
		d.GoodReleased++
	case !release.Ended:
		d.Open++
	}
	if release.Bad {
		d.Bad++
	}
	if release.Bad && release.Kind == badForOneService.String() {
		d.BadForOneService++
	}
}

// quantile returns the least value that at least a fraction of the values does not exceed; 0 if there is no value.
func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(fraction*float64(len(sorted))))-1)]
}
