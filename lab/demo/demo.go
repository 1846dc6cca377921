// Package demo takes a good and a bad build through a small release plan on loopback: the good one is released, the bad one
// rolled back. Relays, the release controller and the planners, which are the endpoints, run as processes of their own;
// clients, discovery and the deployer run in this process. From the planners' output and the published statuses it checks
// that no relay sends more requests to a build on trial than its exposure limit allows. A demonstration ends every process
// and goroutine that it started. The plan is read by internal/planxml, and the client of the release controller is that of
// internal/releasecontroller.
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
	plannersPerSite   = 3                      // planners at each site when a build is fully deployed
	requestsPerSecond = 60.0                   // to each relay
	processingTime    = 5 * time.Millisecond   // of each request at a planner
	requestDeadline   = 800 * time.Millisecond // that clients set in each request
	firstBuild        = 1                      // released before the demonstration starts
	goodBuild         = 2
	badBuild          = 3
	badFailureRate    = 0.5 // fraction of the requests to badBuild that fail
)

var (
	sites   = []string{"bole", "kality"}
	tenants = []string{"dairy", "goods", "nobody"} // in the plan's group pilot, in its group rest, and in no group
)

// Options are the parameters of a demonstration.
type Options struct {
	Executable string        // path of the lichenroad executable, which is started for each process
	Dir        string        // directory for configurations, logs, journal and report; created if missing
	Out        io.Writer     // receives the progress, a line for each event
	Timeout    time.Duration // time after which the demonstration fails
}

// Result is what a demonstration measured.
type Result struct {
	Requests, Succeeded, Rejected, Failed int
	CanaryAttempts                        int      // attempts at builds that were not released yet
	Released, RolledBack                  bool     // whether the good build was released and the bad build rolled back
	MaxExposureUse                        float64  // highest used fraction of an exposure allowance; above 1 is a violation
	Violations                            []string // attempts that violated an exposure limit or can't be checked; at most maxViolations
	Report                                string   // path of the HTML report
}

// attempt is an attempt as reported by the planner that received it.
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
	at     float64 // when it was received, in seconds since the start
	status relay.RolloutStatus
}

// outcomeCounts counts requests by outcome.
type outcomeCounts struct {
	requests, succeeded, rejected, failed atomic.Int64
}

// demonstration is the state of a running demonstration. The fields below mu are shared by the goroutines of the clients, of
// the deployer and of the readers of planners' output. The plain fields above it are set before these goroutines start, except
// for controller, which only the goroutine of Run uses, and releasedBuild, which only the deployer's goroutine uses.
type demonstration struct {
	options       Options
	started       time.Time
	planFile      string
	stateDir      string // the release controller's state directory
	watchAddress  string // where the release controller publishes the rollout of the service planner
	discovery     *fakes.Discovery
	controller    *fakes.Process
	releasedBuild int // newest build whose release the deployer has carried out
	counts        outcomeCounts
	background    sync.WaitGroup // goroutines of clients and the deployer, which end with the context of play

	outMu sync.Mutex // guards options.Out, which the goroutines of Run and of the deployer write to

	mu         sync.Mutex                // guards the fields below
	planners   map[string]fakes.Endpoint // by name
	processes  []*fakes.Process
	attempts   []attempt
	unreadable []string // lines of planners' output that report an attempt but can't be parsed
	requests   []sentRequest
	statuses   []observedStatus
}

// Run runs the demonstration and writes its report. It fails if a process can't be started or if the demonstration doesn't
// end within the timeout; the result then holds what was measured so far. Run ends every process that it started.
func Run(ctx context.Context, options Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	d := &demonstration{options: options, started: time.Now(), planners: map[string]fakes.Endpoint{}, releasedBuild: firstBuild}
	var result Result
	err := d.runScenario(ctx, &result)
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

// now returns the time since the start in seconds.
func (d *demonstration) now() float64 { return time.Since(d.started).Seconds() }

// printProgress prints a line that begins with the time since the start. It is safe for concurrent use.
func (d *demonstration) printProgress(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.options.Out, "%5.1f s  %s\n", d.now(), fmt.Sprintf(format, args...))
}

// phaseText returns the name of a phase for the report and the progress lines.
func phaseText(phase relay.Phase) string {
	return [...]string{relay.PhaseCanary: "on trial", relay.PhaseRollingBack: "going back", relay.PhaseReleased: "released",
		relay.PhaseWithdrawn: "withdrawn"}[phase]
}
