// Package guard hosts a relay's rollout guard (rollout.Guard) between platform and decision module: it passes the
// rollout status and the votes through the guard, runs the guard's timers on the relay's loop, and watches the release
// controllers of the services that the relay's service depends on. All decisions are the guard's. The state of the
// package belongs to the loop's goroutine. The package imports pipeline, platform, rollout and plan.
package guard

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/pipeline"
	"lichenroad/internal/platform"
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
	"lichenroad/settings"
)

const (
	maxEvaluationInterval = 1.0   // s; a freeze may begin or end early when the machine's clock is set
	minEvaluationInterval = 0.001 // s
	maxPendingVotes       = 64    // votes awaiting a reply; not reached while the platform's client reports a result for each
)

var errNoSite = errors.New("the settings don't name this relay's site")

// voteOrigin is what caused a vote to be cast: the reply to it goes to the module only if the module did.
type voteOrigin int

const (
	castForModule voteOrigin = iota
	castByGuard              // a revised vote, of which the module knows nothing
)

// Host runs the guard of one relay. Its methods must be called on the loop, or before the loop runs.
type Host struct {
	loop        *pipeline.Loop
	platform    pipeline.Platform
	clock       func() plan.Unix
	guard       *rollout.Guard
	plan        *plan.Plan
	serviceName string
	tenants     []string                    // names, by the settings' tenant number
	watches     map[string]*platform.Client // by the name of the service watched

	pendingVotes []voteOrigin // origins of the votes without a reply yet, in the order in which they were cast
	events       []relay.Event
	evaluateAt   relay.Seconds // when the current timer fires, by the loop's clock; 0: no timer
	lastReason   rollout.BlockReason
}

// TenantNames returns the names of the settings' tenants, by tenant number.
func TenantNames(site *settings.Site) []string {
	names := make([]string, len(site.Tenants))
	for name, number := range site.TenantByName {
		if int(number) < len(names) {
			names[number] = name
		}
	}
	return names
}

// New returns the host of a guard for a service of a plan. The clock returns the Unix time; nil stands for the
// machine's clock. New fails if the plan lacks the service, or the site that the settings name.
func New(loop *pipeline.Loop, p *plan.Plan, serviceName string, next pipeline.Platform, clock func() plan.Unix) (*Host, error) {
	service, ok := p.Service(serviceName)
	if !ok {
		return nil, fmt.Errorf("the plan has no service %q", serviceName)
	}
	site, err := siteOf(&loop.Site, p)
	if err != nil {
		return nil, err
	}
	if clock == nil {
		clock = wallClock
	}
	tenants := TenantNames(&loop.Site)
	groups := make([]plan.GroupIndex, len(tenants))
	for i, tenant := range tenants {
		groups[i] = p.GroupOf(tenant)
	}
	return &Host{
		loop:        loop,
		platform:    next,
		clock:       clock,
		guard:       rollout.NewGuard(p, service, site, groups),
		plan:        p,
		serviceName: serviceName,
		tenants:     tenants,
		watches:     map[string]*platform.Client{},
	}, nil
}

// siteOf returns the plan's site of the relay with these settings.
func siteOf(s *settings.Site, p *plan.Plan) (plan.SiteIndex, error) {
	if s.Zone < 0 || int(s.Zone) >= len(s.Zones) {
		return plan.NoSite, errNoSite
	}
	name := s.Zones[s.Zone]
	site, ok := p.Site(name)
	if !ok {
		return plan.NoSite, fmt.Errorf("the plan has no site %q", name)
	}
	return site, nil
}

func wallClock() plan.Unix { return float64(time.Now().UnixNano()) / 1e9 }

// Start closes builds that are not announced while there is no status, and opens a watch on each service that this one depends
// on. After a change of the plan, it opens watches on new dependencies and changes the others to their present addresses.
func (h *Host) Start() {
	if scope, needed := h.guard.InitialScope(); needed {
		h.loop.AddEvent(scope)
	}
	service, _ := h.plan.Service(h.serviceName) // New and Replan have checked that the service exists
	for _, dependency := range rollout.DependenciesOf(h.plan, service) {
		spec := &h.plan.Services[dependency]
		if watch := h.watches[spec.Name]; watch != nil {
			watch.SetAddress(spec.WatchAddress)
			continue
		}
		if spec.WatchAddress == "" {
			h.loop.Log.WithFields(logrus.Fields{"service": h.serviceName, "dependency": spec.Name}).
				Warn("plan names no watch address for a dependency: treated as not released")
			continue
		}
		h.watches[spec.Name] = h.watch(spec.Name, spec.WatchAddress)
	}
}

// watch opens a watch on a service. The client's goroutine runs until the process ends.
func (h *Host) watch(serviceName, address string) *platform.Client {
	watch := platform.New(h.loop, address)
	watch.OnStatus = func(_ *pipeline.Loop, status relay.RolloutStatus) { h.dependencyStatusReceived(serviceName, status) }
	watch.StartWatch()
	return watch
}

// dependencyStatusReceived handles a message of a watch on another service: a status, or a keep-alive, which is an
// invalid status.
func (h *Host) dependencyStatusReceived(serviceName string, status relay.RolloutStatus) {
	service, ok := h.plan.Service(serviceName)
	if !ok {
		return // the present plan does not have the service any more
	}
	if status.Valid {
		h.guard.DependencyStatusReceived(h.clock(), service, status)
	} else {
		h.guard.DependencyKeepAliveReceived(h.clock(), service)
	}
	h.evaluate()
}

// RolloutStatusReceived handles the platform's status of this relay's own service, which may also be the reply to a
// vote.
func (h *Host) RolloutStatusReceived(status relay.RolloutStatus) {
	reply := status.Reply
	if reply != relay.ReplyNone && len(h.pendingVotes) > 0 {
		if h.pendingVotes[0] == castByGuard {
			reply = relay.ReplyNone
		}
		h.pendingVotes = h.pendingVotes[1:]
	}
	h.guard.StatusReceived(h.clock(), status)
	h.evaluate()
	if reply != relay.ReplyNone {
		h.loop.AddEvent(relay.RolloutStatus{Reply: reply})
	}
}

// Vote casts the vote that the module requests, filtered by the guard.
func (h *Host) Vote(v relay.Vote) {
	h.castVote(h.guard.FilterVote(h.clock(), v), castForModule)
	h.evaluate()
}

func (h *Host) castVote(v relay.Vote, origin voteOrigin) {
	if len(h.pendingVotes) >= maxPendingVotes {
		h.pendingVotes = h.pendingVotes[1:]
	}
	h.pendingVotes = append(h.pendingVotes, origin)
	h.platform.Vote(v)
}

// evaluate passes the guard's events to the module, casts a revised vote if there is one, and sets the timer for the
// next evaluation.
func (h *Host) evaluate() {
	now := h.clock()
	h.events = h.guard.Evaluate(now, h.events[:0])
	for _, e := range h.events {
		if status, ok := e.(relay.RolloutStatus); ok {
			h.loop.Log.WithFields(logrus.Fields{"build": status.Build, "stage": status.Stage, "phase": status.Phase,
				"exposure_limit": status.ExposureLimit}).Info("exposure limit lowered by the plan")
		}
		h.loop.AddEvent(e)
	}
	if v, revised := h.guard.ReviseVote(now); revised {
		h.castVote(v, castByGuard)
	}
	if reason := h.guard.PromotionBlocked(now); reason.Code != h.lastReason.Code {
		h.lastReason = reason
		h.loop.Log.WithFields(logrus.Fields{"code": string(reason.Code), "why": reason.Text}).Info("promotion gate")
	}
	wait := math.Max(h.guard.NextEvaluation(now)-now, minEvaluationInterval)
	h.evaluateWithin(math.Min(wait, maxEvaluationInterval))
}

// evaluateWithin sets the timer for an evaluation, unless one is set that fires earlier. A replaced timer does nothing
// when it fires.
func (h *Host) evaluateWithin(wait relay.Seconds) {
	now := h.loop.Clock.Now()
	at := now + wait
	if h.evaluateAt > now && h.evaluateAt <= at {
		return
	}
	h.evaluateAt = at
	h.loop.RunAt(at, func() {
		if h.evaluateAt == at {
			h.evaluateAt = 0
			h.evaluate()
		}
	})
}

// Replan replaces the plan. If it fails, the old plan stays in force.
func (h *Host) Replan(p *plan.Plan) error {
	if err := h.guard.Replan(p, h.tenants); err != nil {
		return err
	}
	h.plan = p
	h.Start()
	h.evaluate()
	return nil
}
