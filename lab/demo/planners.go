package demo

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"lichenroad/lab/fakes"
	"lichenroad/relay"
)

const (
	machineType      = "m"
	stateServing     = "SERVING"
	stateDraining    = "DRAINING"
	drainTime        = 1500 * time.Millisecond // a planner is removed from the list this long after it was listed as draining
	relayNumberShift = 48                      // a request's ID holds the number of its relay in the bits from this one on

	attemptLineWord   = "leg" // first word of the line that a planner prints for each attempt
	attemptLineFields = 4
)

// startPlanner starts a planner and adds it to discovery's list once it accepts connections.
func (d *demonstration) startPlanner(build int, site string) error {
	free, err := fakes.FreePorts(1)
	if err != nil {
		return err
	}
	failureRate := 0.0
	if build == badBuild {
		failureRate = badFailureRate
	}
	address := free[0]
	name := fmt.Sprintf("b%d-%s-%d", build, site, time.Now().UnixNano())
	process, err := d.startProcess(func(line string) { d.recordAttempt(line, build) }, "lab", "planner", "--listen", address, "--name", name,
		"--took", processingTime.String(), "--fails", strconv.FormatFloat(failureRate, 'g', -1, 64))
	if err != nil {
		return err
	}
	if err := fakes.WaitListening(address, process); err != nil {
		return fmt.Errorf("planner %s: %w", name, err)
	}
	d.mu.Lock()
	d.planners[name] = fakes.Endpoint{ID: name, HostPort: address, Zone: site, MachineType: machineType, Lifecycle: stateServing, Weight: 1,
		StartedMs: time.Now().UnixMilli(), Build: build}
	d.mu.Unlock()
	d.publishPlanners()
	return nil
}

// recordAttempt records the attempt that a line of a planner's output reports. Lines of other kinds are ignored.
func (d *demonstration) recordAttempt(line string, build int) {
	fields := strings.Fields(line)
	if len(fields) != attemptLineFields || fields[0] != attemptLineWord {
		return
	}
	a, err := d.parseAttempt(fields, build)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.unreadable = append(d.unreadable, line)
		return
	}
	d.attempts = append(d.attempts, a)
}

// parseAttempt parses the fields of a line that reports an attempt: attemptLineWord, the time in Unix nanoseconds, the
// request's ID in hexadecimal, and the tenant.
func (d *demonstration) parseAttempt(fields []string, build int) (attempt, error) {
	at, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return attempt{}, err
	}
	id, err := strconv.ParseUint(fields[2], 16, 64)
	if err != nil {
		return attempt{}, err
	}
	sinceStart := float64(at-d.started.UnixNano()) / 1e9
	return attempt{at: sinceStart, relay: int(id >> relayNumberShift), tenant: fields[3], build: build}, nil
}

// publishPlanners passes the planners to discovery, sorted by name.
func (d *demonstration) publishPlanners() {
	d.mu.Lock()
	var list []fakes.Endpoint
	for _, name := range slices.Sorted(maps.Keys(d.planners)) {
		list = append(list, d.planners[name])
	}
	d.mu.Unlock()
	d.discovery.Set(list)
}

// drainPlanners lists the selected planners that are serving as draining, and removes them from the list after drainTime.
func (d *demonstration) drainPlanners(selected func(fakes.Endpoint) bool) {
	d.mu.Lock()
	var names []string
	for name, planner := range d.planners {
		if selected(planner) && planner.Lifecycle == stateServing {
			planner.Lifecycle = stateDraining
			d.planners[name] = planner
			names = append(names, name)
		}
	}
	d.mu.Unlock()
	d.publishPlanners()
	time.AfterFunc(drainTime, func() { // harmless if the demonstration has ended, as no relay reads the list then
		d.mu.Lock()
		for _, name := range names {
			delete(d.planners, name)
		}
		d.mu.Unlock()
		d.publishPlanners()
	})
}

// deploy starts the planners that a rollout status requires, and drains those that it no longer permits.
func (d *demonstration) deploy(status relay.RolloutStatus) error {
	build := int(status.Build)
	switch status.Phase {
	case relay.PhaseCanary, relay.PhaseReleased:
		if err := d.startMissingPlanners(status); err != nil {
			return err
		}
		if status.Phase == relay.PhaseReleased && d.releasedBuild < build {
			d.releasedBuild = build
			d.drainPlanners(func(planner fakes.Endpoint) bool { return planner.Build < build })
		}
	case relay.PhaseRollingBack:
		d.drainPlanners(func(planner fakes.Endpoint) bool { return planner.Build >= build })
	}
	return nil
}

func (d *demonstration) startMissingPlanners(status relay.RolloutStatus) error {
	build := int(status.Build)
	serving := d.servingPlanners(build)
	for i, site := range sites {
		for range wantedPlanners(status, i) - serving[site] {
			if err := d.startPlanner(build, site); err != nil {
				return err
			}
		}
	}
	return nil
}

// servingPlanners returns the number of serving planners of a build by site.
func (d *demonstration) servingPlanners(build int) map[string]int {
	serving := map[string]int{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, planner := range d.planners {
		if planner.Build == build && planner.Lifecycle == stateServing {
			serving[planner.Zone]++
		}
	}
	return serving
}

// wantedPlanners returns how many planners of the build in rollout a site must have. In the first step it is one planner, at
// the first site.
func wantedPlanners(status relay.RolloutStatus, site int) int {
	switch {
	case status.Stage >= 1 || status.Phase == relay.PhaseReleased:
		return plannersPerSite
	case site == 0:
		return 1
	default:
		return 0
	}
}
