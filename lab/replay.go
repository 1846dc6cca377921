package lab

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Arrival is one request of a replay.
type Arrival struct {
	At             float64 // s; not earlier than that of the previous arrival
	Class          int     // index of ReplayOptions.Classes
	Tenant         int     // index of ReplayOptions.Tenants
	Work           float64 // s of processing on a core of speed 1
	Relay          uint64  // receiver: this modulo the number of relays is its index
	FailedAttempts int     // number of attempts that fail before one can succeed
	Machine        uint64  // machine of the trace whose endpoint gets a fault now, if FaultDuration is positive
	FaultDuration  float64 // s; 0: no fault
	FailureRate    float64 // fraction of the requests that fail during the fault
}

// ReplayOptions are the parameters of a replay.
type ReplayOptions struct {
	Seed           int64
	Relays         int
	Endpoints      int
	Classes        []string // names of classes of the lab
	Tenants        []string
	NewModule      func(relay.Settings, int64) module // from settings and seed; nil: the real module
	Fault          EndpointFault
	ChangeSettings func(*relay.Settings) // adjusts the settings of the relays; nil: unchanged
}

// Bounds and timing of a replay.
const (
	maxReplayRelays    = 1000
	maxReplayEndpoints = 1000
	drainAfterLast     = 10.0 // s; how long a replay continues after the last arrival: longer than any deadline
	relayStartup       = 1.0  // s; how long the relays run before the first arrival
)

var errReplaySize = errors.New("a replay takes from 1 to 1000 relays and from 2 to 1000 planners")

// Replay is a replay in progress. The caller calls Arrive for each request in order of time, then Finish.
type Replay struct {
	simulation   *simulation
	options      ReplayOptions
	classIndexes []int // index of the lab's class, by index of ReplayOptions.Classes
	started      bool
	startedAt    float64 // s, on the time scale of the arrivals
	lastAt       float64 // s; the last arrival, in simulation time
}

// NewReplay returns a replay that is ready for the first arrival.
func NewReplay(options ReplayOptions) (*Replay, error) {
	tooSmall := options.Relays < 1 || options.Endpoints < 2
	if tooSmall || options.Relays > maxReplayRelays || options.Endpoints > maxReplayEndpoints {
		return nil, errReplaySize
	}
	r := &Replay{options: options}
	for _, name := range options.Classes {
		index, err := ClassIndex(name)
		if err != nil {
			return nil, err
		}
		r.classIndexes = append(r.classIndexes, index)
	}
	r.simulation = newReplaySimulation(options)
	r.simulation.fleets[0].injectFaults(options.Fault)
	return r, nil
}

// newReplaySimulation returns a simulation of one service at two sites, without rollouts and with traffic all the time.
func newReplaySimulation(options ReplayOptions) *simulation {
	everywhere := []plan.Scope{{Site: 0, Group: 0}, {Site: 1, Group: 0}}
	released := &plan.Plan{
		Sites:  []string{"bole", "kality"},
		Groups: []plan.Group{{Name: "all", Tenants: options.Tenants}},
		Services: []plan.Service{{
			Name:  "replay",
			Votes: plan.Votes{PromoteShare: 0.5, RollBackShare: 0.15, TTL: 10, PerSecond: 100},
			Steps: []plan.Step{{Name: "all", Share: 1, ExposureLimit: 1, OpenGroups: everywhere}},
		}},
	}
	s := &simulation{
		options: Options{
			Plan:           released,
			Seed:           options.Seed,
			Days:           1,
			Start:          1,
			Relays:         options.Relays,
			Endpoints:      options.Endpoints,
			NewModule:      options.NewModule,
			ChangeSettings: options.ChangeSettings,
			Guard:          rollout.GuardSafeguards{All: true},
		},
		plan:         withRelays(released, options.Relays),
		epoch:        1,
		timelineHash: sha256.New(),
		random:       rand.New(rand.NewSource(options.Seed)),
		hasTraffic:   true,
	}
	s.checker = newChecker(s)
	s.traffic = trafficWindow{simulation: s}
	s.controller = newControllerLink(s)
	s.addFleets()
	s.tally = NewTally(options.Tenants)
	return s
}

// Arrive runs the simulation up to an arrival and delivers the request. Arrivals at the same time are delivered in the order
// of the calls.
func (r *Replay) Arrive(arrival Arrival) {
	if !r.started {
		r.started, r.startedAt = true, arrival.At-relayStartup
	}
	r.lastAt = arrival.At - r.startedAt
	r.simulation.runUntil(math.Max(r.lastAt, r.simulation.now))
	replayed := r.simulation.fleets[0]
	if arrival.FaultDuration > 0 {
		replayed.injectMachineFault(arrival.Machine, arrival.FaultDuration, arrival.FailureRate)
	}
	receiver := replayed.relays[arrival.Relay%uint64(len(replayed.relays))]
	receiver.startRequest(r.classIndexes[arrival.Class], arrival.Tenant, arrival.Work, arrival.FailedAttempts)
}

// Finish runs the simulation until all requests have ended, and returns the result.
func (r *Replay) Finish() ReplayResult {
	s, counters := r.simulation, &r.simulation.counters
	s.runUntil(r.lastAt + drainAfterLast)
	result := s.tally.Result()
	result.Seed = r.options.Seed
	result.Relays = r.options.Relays
	result.Endpoints = r.options.Endpoints
	result.Duration = r.lastAt
	result.Attempts = counters.attempts
	result.CrossSiteAttempts = counters.crossSiteAttempts
	result.AttemptsPerRequest = float64(counters.attempts) / math.Max(float64(counters.requests), 1)
	result.Violations = append(result.Violations, s.checker.violations...)
	all := &s.tally.all
	fmt.Fprintf(s.timelineHash, "%d %g %d %d %d", all.Requests, all.WeightServed, counters.rejected, counters.failed, counters.attempts)
	result.TimelineHash = hex.EncodeToString(s.timelineHash.Sum(nil))
	return result
}
