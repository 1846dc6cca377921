package live

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"lichenroad/lab"
	"lichenroad/lab/fakes"
	"lichenroad/lab/relayconfig"
	"lichenroad/relay"
)

const (
	dirPermissions      = 0o755
	machineType         = "m"
	plannerAge          = time.Hour // in the endpoint list, so that no planner is warming
	seedsPerReplay      = 1000      // relay seeds for each replay seed, so that replays with neighbouring seeds share none
	relayMemoryMB       = 192
	relaySockets        = 1024
	tenantQuotaPerSec   = 100000 // requests; more than any replay sends
	relayProcessLogging = "warn"
)

// start starts the planners and discovery in this process, then the relays as child processes.
func (s *session) start() error {
	if err := os.MkdirAll(s.options.Dir, dirPermissions); err != nil {
		return err
	}
	discovery, err := fakes.NewDiscovery()
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, discovery.Close)
	var planners []fakes.Endpoint
	for number := range s.options.Planners {
		planner, err := s.startPlanner(number)
		if err != nil {
			return err
		}
		planners = append(planners, planner)
	}
	discovery.Set(planners)
	if s.relays, err = fakes.FreePorts(s.options.Relays); err != nil {
		return err
	}
	for number := range s.relays {
		if err := s.startRelay(number, discovery); err != nil {
			return err
		}
	}
	return nil
}

// startPlanner starts an emulated planner on a goroutine that ends when its listener is closed.
func (s *session) startPlanner(number int) (fakes.Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fakes.Endpoint{}, err
	}
	s.cleanups = append(s.cleanups, func() { _ = listener.Close() }) // the replay is over
	name := fmt.Sprintf("p%d", number)
	site := number % len(sites)
	server := &fakes.Server{
		Name:        name,
		Workers:     lab.CoresPerEndpoint,
		MaxInFlight: lab.MaxQueue,
		Seed:        s.options.Seed + int64(number),
		Handle: func(text string) (serviceTime time.Duration, fails bool) {
			return s.requestLog.beginAttempt(text, site, time.Now())
		},
		InProgress: &s.inProgress,
	}
	go func() { _ = server.Serve(listener) }() // always returns an error; closing the listener ends it
	return fakes.Endpoint{ID: name, HostPort: listener.Addr().String(), Zone: sites[site], MachineType: machineType, Lifecycle: "SERVING",
		Weight: 1, StartedMs: time.Now().Add(-plannerAge).UnixMilli(), Build: 1}, nil
}

func (s *session) startRelay(number int, discovery *fakes.Discovery) error {
	file := filepath.Join(s.options.Dir, fmt.Sprintf("n%d.json", number))
	if err := s.relayConfiguration(number, discovery).Write(file); err != nil {
		return err
	}
	process, err := fakes.StartProcess(s.options.Executable, s.options.Dir, nil, "serve", "--config", file, "--log-level", relayProcessLogging)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, func() {
		process.Signal(syscall.SIGKILL)
		<-process.Done
	})
	if err := fakes.WaitListening(s.relays[number], process); err != nil {
		return fmt.Errorf("relay n%d: %w", number, err)
	}
	return nil
}

// relayConfiguration returns the configuration of one relay, with the present endpoint list of discovery.
func (s *session) relayConfiguration(number int, discovery *fakes.Discovery) relayconfig.File {
	return relayconfig.File{
		Name:             fmt.Sprintf("n%d", number),
		Listen:           s.relays[number],
		Discovery:        discovery.Addr(),
		Seed:             strconv.FormatInt(s.options.Seed*seedsPerReplay+int64(number), 10),
		Limits:           &relayconfig.Limits{Sockets: relaySockets, MemoryMB: relayMemoryMB},
		InitialEndpoints: discovery.List(),
		Settings: relayconfig.Settings{
			Zones:          sites,
			MachineTypes:   []string{machineType},
			Zone:           number % len(sites),
			Number:         number,
			Relays:         s.options.Relays,
			Discovery:      "subscribe",
			RequestClasses: requestClasses(s.terms),
			Tenants:        equalTenants(s.options.Tenants),
			Limits: relayconfig.PolicyLimits{Cancel: true, IdleTimeout: 30 * time.Second, DialTimeout: 500 * time.Millisecond, MaxAttempts: 3,
				RetryAfterAllowed: true, MaxRetryAfter: time.Second},
			LoadReport: relayconfig.LoadReport{Via: "off"},
			Rules: relayconfig.Rules{DrainGrace: 250 * time.Millisecond, PollInterval: 30 * time.Second,
				ResponseMargin: 10 * time.Millisecond},
			Rollout: relayconfig.Rollout{CallTimeout: time.Second, ExposureLimits: []float64{1}, FleetShares: []float64{1}, UncountedAttempts: 1,
				ExposureWindow: 2 * time.Second, DecidedBy: "by_count", VotesToPromote: s.options.Relays, VotesToRollBack: s.options.Relays,
				VoteLifetime: 10 * time.Second, VotesPerSecond: 100, MinStepDuration: 2 * time.Second},
		},
	}
}

// requestClasses converts the terms of request classes to the form of a relay's configuration.
func requestClasses(terms []lab.ClassTerms) []relayconfig.RequestClass {
	var classes []relayconfig.RequestClass
	for _, term := range terms {
		class := relayconfig.RequestClass{Name: term.Name, Idempotency: idempotencyName(term.Idempotency),
			LatencyObjective: time.Duration(term.LatencyObjective * nanosPerSecond),
			Deadline:         time.Duration(term.Deadline * nanosPerSecond), PriorityWeight: term.PriorityWeight}
		if term.Idempotency == relay.IdempotencyKeyed {
			class.DedupScope, class.DedupWindow = "zone", time.Duration(term.DedupWindow*nanosPerSecond)
		}
		classes = append(classes, class)
	}
	return classes
}

// idempotencyName returns the name of an idempotency in a relay's configuration, empty for an unknown one.
func idempotencyName(idempotency relay.Idempotency) string {
	switch idempotency {
	case relay.Idempotent:
		return "retryable"
	case relay.IdempotencyKeyed:
		return "dedup"
	case relay.AtMostOnce:
		return "fragile"
	default:
		return ""
	}
}

// equalTenants returns the settings of tenants that all have the same share.
func equalTenants(names []string) []relayconfig.Tenant {
	var tenants []relayconfig.Tenant
	for _, name := range names {
		tenants = append(tenants, relayconfig.Tenant{Name: name, Share: 1 / float64(len(names)), QuotaPerSecond: tenantQuotaPerSec})
	}
	return tenants
}
