package lab

import (
	"fmt"
	"math/rand"
	"sort"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Trouble is what goes wrong with the planners of a replay, again and again, each time with one drawn by the seed.
type Trouble struct {
	Every  float64 // s between, on the average; 0: never
	For    float64 // s that it lasts
	Slower float64 // times the work
	Fails  float64 // part of the queries
	Pause  bool    // it stands still, and goes on where it was
	Dies   bool    // it is gone with all that it holds; another starts cold, a little later
	All    bool    // every planner of one site at once
	Memos  float64 // part of the relays' memos that are lost, all the time
}

var troubles = map[string]Trouble{
	"none":         {},
	"pauses":       {Every: 6, For: 1.5, Pause: true},
	"slow":         {Every: 20, For: 10, Slower: 4},
	"failing":      {Every: 20, For: 10, Fails: 0.8},
	"dying":        {Every: 15, Dies: true},
	"site-slow":    {Every: 40, For: 8, Slower: 3, All: true},
	"site-failing": {Every: 60, For: 5, Fails: 0.9, All: true},
	"memos":        {Memos: 0.5},
}

// Troubles lists the names that TroubleOf knows.
func Troubles() (out []string) {
	for name := range troubles {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// TroubleOf gives a trouble by name.
func TroubleOf(name string) (Trouble, error) {
	t, ok := troubles[name]
	if !ok {
		return t, fmt.Errorf("fault %q is none of %v", name, Troubles())
	}
	return t, nil
}

// illness is what a planner has for a while.
type illness struct {
	until  float64
	slower float64
	fails  float64
}

// fall has a planner fall ill. One that is ill already stays so for the longer time and with the worse of both.
func (p *planner) fall(i illness) {
	if now := p.f.w.now; p.ill.until > now {
		i.until, i.slower, i.fails = max(i.until, p.ill.until), max(i.slower, p.ill.slower), max(i.fails, p.ill.fails)
	}
	p.ill = i
}

// trouble begins what goes wrong.
func (f *fleet) trouble(t Trouble) {
	f.w.opt.Faults.MemoLoss = t.Memos
	if t.Every <= 0 {
		return
	}
	rng := f.w.random("trouble", 0)
	var again func()
	again = func() {
		f.strike(t, rng)
		f.w.in(t.Every*between(rng, 0.5, 1.5), again)
	}
	f.w.in(t.Every*between(rng, 0.2, 1), again)
}

func (f *fleet) strike(t Trouble, rng *rand.Rand) {
	live := f.live()
	if len(live) == 0 {
		return
	}
	one := live[rng.Intn(len(live))]
	for _, u := range live {
		if u != one && !(t.All && u.site == one.site) {
			continue
		}
		switch {
		case t.Pause:
			u.pause(t.For)
		case t.Dies:
			u.die()
		default:
			u.fall(illness{f.w.now + t.For, t.Slower, t.Fails})
		}
	}
	f.w.mark("trouble with planner %d", one.id)
}

// die ends a planner with all that it holds. Relays hear of it with the list's lag.
func (p *planner) die() {
	p.state = relay.Removed
	p.f.list(p)
	for _, l := range p.waiting {
		p.f.w.in(l.way, func() { l.end(relay.ConnectionBroken) })
	}
	p.waiting = nil
	p.f.launch(p.build, p.site, startFor)
	p.f.w.in(20, p.f.forget)
}

// hour has the planner that a machine of the trace stands for fail for a while.
func (f *fleet) hour(machine uint64, d, fails float64) {
	site := plan.SiteIndex(machine >> 32 % uint64(len(f.w.plan.Sites)))
	var at []*planner
	for _, u := range f.live() {
		if u.site == site {
			at = append(at, u)
		}
	}
	if len(at) > 0 {
		at[machine%uint64(len(at))].fall(illness{f.w.now + d, 1, fails})
	}
}
