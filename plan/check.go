package plan

import (
	"fmt"
	"math"
	"strings"
	"time"

	"lichenroad/internal/xmlconfig"
)

// freeze reads a freeze. Its one-off times must be there once in their zone: nobody can tell which of two is meant.
func (r *reader) freeze(p *Plan, n *xmlconfig.Node, names map[string]bool) Freeze {
	f := Freeze{Name: r.UniqueName(n, names),
		Effect: xmlconfig.Enum(&r.Reader, n, "stops", FreezeAll, map[string]FreezeEffect{"begin": FreezeStarts, "on": FreezePromotions, "all": FreezeAll})}
	for _, k := range n.ChildrenNamed("for") {
		if len(k.Attrs) != 1 {
			r.AddFault(k, "names a service or a site, one of the two")
		}
		if name, ok := k.Attrs["service"]; ok {
			s, known := p.Service(name)
			if !known {
				r.AddFault(k, "service: there is no %.20q", name)
			}
			f.Services = append(f.Services, s)
		}
		if name, ok := k.Attrs["site"]; ok {
			s, known := p.Site(name)
			if !known {
				r.AddFault(k, "site: there is no %.20q", name)
			}
			f.Sites = append(f.Sites, s)
		}
	}
	for _, k := range n.Children {
		switch k.Name {
		case "weekly":
			f.Schedules = append(f.Schedules, r.weekly(k))
		case "once":
			f.Schedules = append(f.Schedules, r.once(k))
		}
	}
	if len(f.Schedules) == 0 {
		r.AddFault(n, "no <weekly> or <once>")
	}
	return f
}

func (r *reader) zone(n *xmlconfig.Node) *time.Location {
	name, ok := n.Attrs["zone"]
	if !ok {
		return time.UTC
	}
	zone, err := time.LoadLocation(name)
	if err != nil || name == "" || name == "Local" {
		r.AddFault(n, "zone: %.40q is no time zone", name)
		return time.UTC
	}
	return zone
}

var weekdays = map[string]time.Weekday{"sun": 0, "mon": 1, "tue": 2, "wed": 3, "thu": 4, "fri": 5, "sat": 6}

func (r *reader) weekly(n *xmlconfig.Node) Schedule {
	s := Schedule{Zone: r.zone(n)}
	for _, d := range strings.Fields(n.Attrs["days"]) {
		day, ok := weekdays[d]
		switch {
		case !ok:
			r.AddFault(n, "days: %.20q is none of mon tue wed thu fri sat sun", d)
		case s.Days[day]:
			r.AddFault(n, "days: %s stands twice", d)
		default:
			s.Days[day] = true
		}
	}
	for d, on := range s.Days {
		if on {
			s.weekdays = append(s.weekdays, time.Weekday(d))
		}
	}
	if _, ok := n.Attrs["days"]; ok && len(s.weekdays) == 0 {
		r.AddFault(n, "days: none")
	}
	s.Start, s.End = r.clock(n, "from"), r.clock(n, "to")
	return s
}

func (r *reader) clock(n *xmlconfig.Node, name string) time.Duration {
	s, ok := n.Attrs[name]
	t, err := time.Parse("15:04", s)
	if ok && (err != nil || len(s) != 5) {
		r.AddFault(n, "%s: %.20q is no time of day such as 22:30", name, s)
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
}

func (r *reader) once(n *xmlconfig.Node) Schedule {
	s := Schedule{Zone: r.zone(n)}
	s.From, s.To = r.moment(n, "from", s.Zone), r.moment(n, "to", s.Zone)
	if !s.From.IsZero() && !s.To.IsZero() && !s.To.After(s.From) {
		r.AddFault(n, "to: the freeze ends no later than it begins")
	}
	if s.To.Sub(s.From) > 400*24*time.Hour {
		r.AddFault(n, "to: the freeze lasts for over 400 days, as good as without end")
	}
	return s
}

// moment reads a date and time in a zone, and wants it to be there exactly once.
func (r *reader) moment(n *xmlconfig.Node, name string, zone *time.Location) time.Time {
	s, ok := n.Attrs[name]
	if !ok {
		return time.Time{}
	}
	t, err := time.Parse("2006-01-02T15:04", s)
	if err != nil {
		r.AddFault(n, "%s: %.20q is no time such as 2026-12-24T18:00", name, s)
		return time.Time{}
	}
	at := time.Date(t.Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), 0, 0, zone)
	switch _, kind := odd(at, t.Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), 0); kind {
	case skipped:
		r.AddFault(n, "%s: %s is skipped in %s", name, s, zone)
	case twice:
		r.AddFault(n, "%s: %s is there twice in %s", name, s, zone)
	}
	return at
}

// check looks at what only shows in the whole plan: cycles, and freezes that leave no time at all.
func (r *reader) check(p *Plan) {
	r.cycles(p)
	r.endless(p)
}

// place is a step of a service, or its release behind the last step.
type place struct {
	service ServiceIndex
	step    StepIndex
}

// cycles finds steps that wait for one another. A step waits for the one before it and for what it needs.
func (r *reader) cycles(p *Plan) {
	state := map[place]int{} // 1: on the way, 2: done
	var path []place
	var visit func(at place) bool
	visit = func(at place) bool {
		switch state[at] {
		case 1:
			var names []string
			from := 0
			for i := range path {
				if path[i] == at {
					from = i
				}
			}
			for _, q := range append(path[from:len(path):len(path)], at) {
				s := &p.Services[q.service]
				names = append(names, s.Name+" "+s.StepName(q.step))
			}
			r.AddFault(r.services[at.service], "a cycle: %s", strings.Join(names, " needs "))
			return true
		case 2:
			return false
		}
		state[at] = 1
		path = append(path, at)
		found := false
		s := &p.Services[at.service]
		if at.step > 0 {
			found = visit(place{at.service, at.step - 1})
		}
		if int(at.step) < len(s.Steps) {
			for _, n := range s.Steps[at.step].Dependencies {
				to := place{n.Service, n.Step}
				if n.Released {
					to.step = StepIndex(len(p.Services[n.Service].Steps))
				}
				found = found || visit(to)
			}
		}
		path = path[:len(path)-1]
		state[at] = 2
		return found
	}
	for i := range p.Services {
		if visit(place{ServiceIndex(i), StepIndex(len(p.Services[i].Steps))}) {
			return // one is enough to say: the others mostly go through it
		}
	}
}

// endless walks from the end of a freeze to the end of the next: a service that is frozen for longer than all
// that was written down once, and a week more, is frozen for ever. The week is one of January, as good as any.
func (r *reader) endless(p *Plan) {
	start := unix(time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC))
	weekly := &Plan{Skew: p.Skew}
	var from []int
	for i, f := range p.Freezes {
		var spans []Schedule
		for _, s := range f.Schedules {
			if s.weekly() {
				spans = append(spans, s)
			}
		}
		if f.Schedules = spans; len(spans) > 0 {
			weekly.Freezes = append(weekly.Freezes, f)
			from = append(from, i)
		}
	}
	for s := range p.Services {
		for _, what := range []FreezeEffect{FreezeStarts, FreezePromotions} {
			c := NewCalendar(weekly, true)
			at, last := start, ActiveFreeze{}
			for at < start+10*86400 {
				f, in := c.Frozen(at, ServiceIndex(s), NoSite, what)
				if !in {
					break
				}
				at, last = math.Max(f.Until, at+1), f
			}
			if at >= start+10*86400 {
				r.AddFault(r.freezes[from[last.Freeze]], "never ends: with the other freezes it leaves %s no time (clock-skew counts at both ends)",
					p.Services[s].Name)
				return
			}
		}
	}
}

// String tells a need in words.
func (p *Plan) DependencyText(n Dependency) string {
	s := &p.Services[n.Service]
	if n.Released {
		return fmt.Sprintf("%s released", s.Name)
	}
	return fmt.Sprintf("%s at step %s", s.Name, s.StepName(n.Step))
}
