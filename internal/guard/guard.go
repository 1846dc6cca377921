// Package guard stands a plan's guard (rollout.Guard) between platform and module of a relay that runs: news goes
// through it, votes go through it, its timers run on the loop, and it hears the desks of the services that this one
// needs. It decides nothing.
package guard

import (
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

// lookEvery is the longest time between two looks, in seconds: the machine's clock may be set.
const lookEvery = 1.0

// mostAsked bounds the votes whose answers are awaited: the platform answers each, or the module's next replaces it.
const mostAsked = 64

// Host is the guard of a relay. All of it is of the loop.
type Host struct {
	loop      *pipeline.Loop
	platform  pipeline.Platform
	clock     func() plan.Unix
	guard     *rollout.Guard
	plan      *plan.Plan
	service   string
	customers []string
	watches   map[string]*platform.Client // by service
	asked     []bool                      // votes cast and not answered: whether the module ordered it
	events    []relay.Event
	wakeAt    relay.Seconds
	last      rollout.BlockReason
}

// Names gives the settings' customers by number.
func Names(site *settings.Site) []string {
	out := make([]string, len(site.Settings.Tenants))
	for name, no := range site.TenantByName {
		if int(no) < len(out) {
			out[no] = name
		}
	}
	return out
}

// New returns the host of a guard for a service of a plan; clock may be nil.
func New(l *pipeline.Loop, p *plan.Plan, service string, next pipeline.Platform, clock func() plan.Unix) (*Host, error) {
	no, ok := p.Service(service)
	if !ok {
		return nil, fmt.Errorf("the plan has no service %q", service)
	}
	if int(l.Site.Zone) >= len(l.Site.Zones) || l.Site.Zone < 0 {
		return nil, fmt.Errorf("the settings don't name this relay's site")
	}
	name := l.Site.Zones[l.Site.Zone]
	site, ok := p.Site(name)
	if !ok {
		return nil, fmt.Errorf("the plan has no site %q", name)
	}
	if clock == nil {
		clock = func() plan.Unix { return float64(time.Now().UnixNano()) / 1e9 }
	}
	h := &Host{loop: l, platform: next, clock: clock, plan: p, service: service, customers: Names(&l.Site),
		watches: map[string]*platform.Client{}}
	groups := make([]plan.GroupIndex, len(h.customers))
	for i, c := range h.customers {
		groups[i] = p.GroupOf(c)
	}
	h.guard = rollout.NewGuard(p, no, site, groups)
	return h, nil
}

// Start opens the watches on the services that this one needs.
func (h *Host) Start() {
	no, _ := h.plan.Service(h.service)
	for _, s := range rollout.DependenciesOf(h.plan, no) {
		t := &h.plan.Services[s]
		if w := h.watches[t.Name]; w != nil {
			w.Move(t.Watch)
			continue
		}
		if t.Watch == "" {
			h.loop.Log.WithFields(logrus.Fields{"service": h.service, "dependency": t.Name}).
				Warn("plan names no watch address for a dependency: treated as not released")
			continue
		}
		w := platform.New(h.loop, t.Watch)
		name := t.Name
		w.OnStatus = func(l *pipeline.Loop, n relay.RolloutStatus) { h.other(name, n) }
		h.watches[name] = w
		w.Listen()
	}
}

// other takes a line from the desk of another service: news, or a sign of life.
func (h *Host) other(name string, n relay.RolloutStatus) {
	no, ok := h.plan.Service(name)
	if !ok {
		return
	}
	if n.Valid {
		h.guard.DependencyStatusReceived(h.clock(), no, n)
	} else {
		h.guard.Alive(h.clock(), no)
	}
	h.look()
}

// Told takes what the platform tells of this relay's own service, or the answer to a vote.
func (h *Host) RolloutStatusReceived(n relay.RolloutStatus) {
	reply := n.Reply
	if reply != relay.ReplyNone && len(h.asked) > 0 {
		if !h.asked[0] {
			reply = relay.ReplyNone // the guard cast it; the module knows nothing of it
		}
		h.asked = h.asked[1:]
	}
	h.guard.StatusReceived(h.clock(), n)
	h.look()
	if reply != relay.ReplyNone {
		h.loop.AddEvent(relay.RolloutStatus{Reply: reply})
	}
}

// Vote carries out the module's vote as far as the plan lets it.
func (h *Host) Vote(v relay.Vote) {
	h.cast(h.guard.Vote(h.clock(), v), true)
	h.look()
}

func (h *Host) cast(v relay.Vote, ordered bool) {
	if len(h.asked) >= mostAsked {
		h.asked = h.asked[1:]
	}
	h.asked = append(h.asked, ordered)
	h.platform.Vote(v)
}

// look hands the module what it is to know, casts again a vote whose meaning has changed, and looks again in time.
func (h *Host) look() {
	now := h.clock()
	h.events = h.guard.Evaluate(now, h.events[:0])
	for _, e := range h.events {
		if n, ok := e.(relay.RolloutStatus); ok {
			h.loop.Log.WithFields(logrus.Fields{"build": n.Build, "stage": n.Stage, "phase": n.Phase, "exposure_limit": n.ExposureLimit}).
				Info("exposure limit lowered by the plan")
		}
		h.loop.AddEvent(e)
	}
	if v, ok := h.guard.Recast(now); ok {
		h.cast(v, false)
	}
	if w := h.guard.PromotionBlocked(now); w.Code != h.last.Code {
		h.last = w
		h.loop.Log.WithFields(logrus.Fields{"code": string(w.Code), "why": w.Text}).Info("promotion gate")
	}
	at := h.loop.Clock.Now() + math.Min(math.Max(h.guard.Next(now)-now, 0.001), lookEvery)
	if h.wakeAt <= h.loop.Clock.Now() || at < h.wakeAt {
		h.wakeAt = at
		h.loop.RunAt(at, func() {
			if h.wakeAt == at {
				h.wakeAt = 0
				h.look()
			}
		})
	}
}

// Replan puts another plan in place, or keeps the old one. On the loop.
func (h *Host) Replan(p *plan.Plan) error {
	if err := h.guard.Replan(p, h.customers); err != nil {
		return err
	}
	h.plan = p
	h.Start()
	h.look()
	return nil
}
