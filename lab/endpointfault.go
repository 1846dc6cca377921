package lab

import (
	"fmt"
	"math/rand"
	"sort"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Trouble is what goes wrong with the planners of a replay, again and again, each time with one drawn by the seed.
type EndpointFault struct {
	Interval    float64 // s between, on the average; 0: never
	Duration    float64 // s that it lasts
	Slowdown    float64 // times the work
	FailureRate float64 // part of the queries
	Pauses      bool    // it stands still, and goes on where it was
	Dies        bool    // it is gone with all that it holds; another starts cold, a little later
	WholeSite   bool    // every planner of one site at once
	MessageLoss float64 // part of the relays' memos that are lost, all the time
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

// Troubles lists the names that EndpointFaultByName knows.
func EndpointFaultNames() (out []string) {
	for name := range endpointFaults {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// EndpointFaultByName gives a trouble by name.
func EndpointFaultByName(name string) (EndpointFault, error) {
	t, ok := endpointFaults[name]
	if !ok {
		return t, fmt.Errorf("fault %q is none of %v", name, EndpointFaultNames())
	}
	return t, nil
}

// illness is what a planner has for a while.
type activeFault struct {
	until       float64
	slowdown    float64
	failureRate float64
}

// fall has a planner fall ill. One that is ill already stays so for the longer time and with the worse of both.
func (p *endpoint) inject(i activeFault) {
	if now := p.fleet.simulation.now; p.fault.until > now {
		i.until, i.slowdown, i.failureRate = max(i.until, p.fault.until), max(i.slowdown, p.fault.slowdown), max(i.failureRate, p.fault.failureRate)
	}
	p.fault = i
}

// trouble begins what goes wrong.
func (f *fleet) injectFaults(t EndpointFault) {
	f.simulation.options.Faults.MessageLoss = t.MessageLoss
	if t.Interval <= 0 {
		return
	}
	rng := f.simulation.newRandom("trouble", 0)
	var again func()
	again = func() {
		f.injectOnce(t, rng)
		f.simulation.runAfter(t.Interval*uniform(rng, 0.5, 1.5), again)
	}
	f.simulation.runAfter(t.Interval*uniform(rng, 0.2, 1), again)
}

func (f *fleet) injectOnce(t EndpointFault, rng *rand.Rand) {
	live := f.live()
	if len(live) == 0 {
		return
	}
	one := live[rng.Intn(len(live))]
	for _, u := range live {
		if u != one && !(t.WholeSite && u.site == one.site) {
			continue
		}
		switch {
		case t.Pauses:
			u.pause(t.Duration)
		case t.Dies:
			u.die()
		default:
			u.inject(activeFault{f.simulation.now + t.Duration, t.Slowdown, t.FailureRate})
		}
	}
	f.simulation.record("trouble with planner %d", one.id)
}

// die ends a planner with all that it holds. Relays hear of it with the list's lag.
func (p *endpoint) die() {
	p.state = relay.Removed
	p.fleet.announce(p)
	for _, l := range p.waiting {
		p.fleet.simulation.runAfter(l.delay, func() { l.end(relay.ConnectionBroken) })
	}
	p.waiting = nil
	p.fleet.launch(p.build, p.site, startTime)
	p.fleet.simulation.runAfter(20, p.fleet.forgetRemoved)
}

// hour has the planner that a machine of the trace stands for fail for a while.
func (f *fleet) injectMachineFault(machine uint64, d, fails float64) {
	site := plan.SiteIndex(machine >> 32 % uint64(len(f.simulation.plan.Sites)))
	var at []*endpoint
	for _, u := range f.live() {
		if u.site == site {
			at = append(at, u)
		}
	}
	if len(at) > 0 {
		at[machine%uint64(len(at))].inject(activeFault{f.simulation.now + d, 1, fails})
	}
}
