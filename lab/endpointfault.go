package lab

import (
	"fmt"
	"math/rand"
	"sort"

	"lichenroad/plan"
)

// EndpointFault describes a fault that is injected repeatedly during a replay, each time into an endpoint drawn at random.
type EndpointFault struct {
	Interval    float64 // s; mean time between two faults; 0: never
	Duration    float64 // s
	Slowdown    float64 // multiplies the processing time
	FailureRate float64 // fraction of the requests that fail
	Pauses      bool    // the endpoint starts no request for the duration, then continues
	Dies        bool    // the endpoint crashes with all its requests; another one starts a little later
	WholeSite   bool    // the fault hits every endpoint of a site at once
	MessageLoss float64 // fraction of the relays' messages that are lost, during the whole replay
}

var endpointFaults = map[string]EndpointFault{
	"none":         {},
	"pauses":       {Interval: 6, Duration: 1.5, Pauses: true},
	"slow":         {Interval: 20, Duration: 10, Slowdown: 4},
	"failing":      {Interval: 20, Duration: 10, FailureRate: 0.8},
	"dying":        {Interval: 15, Dies: true},
	"site-slow":    {Interval: 40, Duration: 8, Slowdown: 3, WholeSite: true},
	"site-failing": {Interval: 60, Duration: 5, FailureRate: 0.9, WholeSite: true},
	"memos":        {MessageLoss: 0.5},
}

// EndpointFaultNames lists the names that EndpointFaultByName knows.
func EndpointFaultNames() (names []string) {
	for name := range endpointFaults {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// EndpointFaultByName returns the fault with a given name.
func EndpointFaultByName(name string) (EndpointFault, error) {
	fault, ok := endpointFaults[name]
	if !ok {
		return fault, fmt.Errorf("fault %q is none of %v", name, EndpointFaultNames())
	}
	return fault, nil
}

// activeFault is a fault that an endpoint has until a given time.
type activeFault struct {
	until       float64
	slowdown    float64
	failureRate float64
}

// inject adds a fault to an endpoint. Where one is active already, the later end and the worse of each effect apply.
func (e *endpoint) inject(fault activeFault) {
	if e.fault.until > e.fleet.simulation.now {
		fault.until = max(fault.until, e.fault.until)
		fault.slowdown = max(fault.slowdown, e.fault.slowdown)
		fault.failureRate = max(fault.failureRate, e.fault.failureRate)
	}
	e.fault = fault
}

// injectFaults sets the fault's message loss, and injects the fault into endpoints at random intervals.
func (f *fleet) injectFaults(fault EndpointFault) {
	f.simulation.options.Faults.MessageLoss = fault.MessageLoss
	if fault.Interval <= 0 {
		return
	}
	random := f.simulation.newRandom("trouble", 0)
	var repeat func()
	repeat = func() {
		f.injectOnce(fault, random)
		f.simulation.runAfter(fault.Interval*uniform(random, 0.5, 1.5), repeat)
	}
	f.simulation.runAfter(fault.Interval*uniform(random, 0.2, 1), repeat)
}

// injectOnce injects a fault into one random endpoint, or into all endpoints of its site.
func (f *fleet) injectOnce(fault EndpointFault, random *rand.Rand) {
	live := f.readyEndpoints()
	if len(live) == 0 {
		return
	}
	drawn := live[random.Intn(len(live))]
	for _, candidate := range live {
		isHit := candidate == drawn || fault.WholeSite && candidate.site == drawn.site
		if !isHit {
			continue
		}
		switch {
		case fault.Pauses:
			candidate.pause(fault.Duration)
		case fault.Dies:
			candidate.crash()
		default:
			candidate.inject(activeFault{f.simulation.now + fault.Duration, fault.Slowdown, fault.FailureRate})
		}
	}
	f.simulation.record("trouble with planner %d", drawn.id)
}

// injectMachineFault makes the endpoint that stands for a machine of a trace fail for a duration.
func (f *fleet) injectMachineFault(machine uint64, duration, failureRate float64) {
	site := plan.SiteIndex(machine >> 32 % uint64(len(f.simulation.plan.Sites)))
	var atSite []*endpoint
	for _, candidate := range f.readyEndpoints() {
		if candidate.site == site {
			atSite = append(atSite, candidate)
		}
	}
	if len(atSite) == 0 {
		return
	}
	failing := atSite[machine%uint64(len(atSite))]
	failing.inject(activeFault{f.simulation.now + duration, 1, failureRate})
}
