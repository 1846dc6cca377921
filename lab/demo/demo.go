// Package demo takes a good and a bad build through a small release plan on loopback. Relays, the release controller and
// the planners, which are the endpoints here, run as processes; clients and discovery run in this one. It watches from
// outside that no relay sends more requests to a build under trial than its exposure limit allows. All state is in one
// demonstration, which ends every process and goroutine that it started. It imports the laboratory's fakes, the plan's
// reader and the release controller's client.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"lichenroad/lab/fakes"
	"lichenroad/relay"
)

// The size of the demonstration.
const (
	relayCount        = 3
	plannersPerSite   = 3 // of a build that is fully deployed
	requestsPerSecond = 60.0
	processingTime    = 5 * time.Millisecond   // of a request at a planner
	requestDeadline   = 800 * time.Millisecond // of a client
	firstBuild        = 1                      // released before the demonstration
	goodBuild         = 2
	badBuild          = 3
	badFailureRate    = 0.5 // of the requests to badBuild
)

var (
	sites   = []string{"bole", "kality"}
	tenants = []string{"dairy", "goods", "nobody"} // of the plan's group pilot, of its group rest, of no group
)

// Options are the parameters of a demonstration.
type Options struct {
	Executable string        // path of the program, which is run for each process
	Dir        string        // for configurations, logs, journal and report
	Out        io.Writer     // progress, one line a step
	Timeout    time.Duration // after which the demonstration fails
}

// Result is what a demonstration measured.
type Result struct {
	Requests, Succeeded, Rejected, Failed int
	CanaryAttempts                        int      // attempts at builds that were not released yet
	Released, RolledBack                  bool     // the good build, the bad build
	MaxExposureUse                        float64  // highest part of an exposure allowance that was used; above 1 it is broken
	Violations                            []string // of exposure limits, in words; at most maxViolations
	Report                                string   // path of the HTML report
}

// attempt is a request that a planner received.
type attempt struct {
	at     float64 // seconds since the start
	relay  int
	tenant string
	build  int
}

// sentRequest is a request that a client sent.
type sentRequest struct {
	at     float64 // seconds since the start
	relay  int
	tenant string
}

// observedStatus is a rollout status that the release controller published.
type observedStatus struct {
	at     float64 // seconds since the start
	status relay.RolloutStatus
}

// outcomeCounts counts requests by what became of them.
type outcomeCounts struct {
	requests, succeeded, rejected, failed atomic.Int64
}

// demonstration is one that runs. Fields below mu are guarded by it: clients, the deployer and readers of planners' output
// share them. Those above are set before these goroutines start, but for controller, which only the scenario's goroutine
// uses, and releasedBuild, which only the deployer's does.
type demonstration struct {
	options       Options
	started       time.Time
	planFile      string
	stateDir      string // of the release controller
	watchAddress  string // where the release controller publishes the planners' rollout
	discovery     *fakes.Discovery
	controller    *fakes.Process
	releasedBuild int
	counts        outcomeCounts
	background    sync.WaitGroup // clients and the deployer, which end with the scenario's context

	outMu sync.Mutex // guards options.Out: the scenario and the deployer print

	mu         sync.Mutex                // guards what follows
	planners   map[string]fakes.Endpoint // by name
	processes  []*fakes.Process
	attempts   []attempt
	unreadable []string // lines of planners about attempts that can't be read
	requests   []sentRequest
	statuses   []observedStatus
}

// Run plays the demonstration and writes its report. It ends every process that it started. It fails where a process does,
// or where the scenario isn't over within the limit; the result then has what was measured until there.
func Run(ctx context.Context, options Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	d := &demonstration{options: options, started: time.Now(), planners: map[string]fakes.Endpoint{}, releasedBuild: firstBuild}
	var result Result
	err := d.play(ctx, &result)
	if err == nil {
		err = ctx.Err()
	}
	d.stopProcesses()
	d.counts.addTo(&result)
	d.audit(&result)
	if err == nil {
		result.Report, err = d.writeReport(&result)
	}
	return result, err
}

func (c *outcomeCounts) addTo(result *Result) {
	result.Requests = int(c.requests.Load())
	result.Succeeded = int(c.succeeded.Load())
	result.Rejected = int(c.rejected.Load())
	result.Failed = int(c.failed.Load())
}

// now is the time since the start in seconds.
func (d *demonstration) now() float64 { return time.Since(d.started).Seconds() }

// printProgress prints a line with the time. Any goroutine may call it.
func (d *demonstration) printProgress(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.options.Out, "%5.1f s  %s\n", d.now(), fmt.Sprintf(format, args...))
}

// phaseText names a phase for people.
func phaseText(phase relay.Phase) string {
	return [...]string{relay.PhaseCanary: "on trial", relay.PhaseRollingBack: "going back", relay.PhaseReleased: "released",
		relay.PhaseWithdrawn: "withdrawn"}[phase]
}
