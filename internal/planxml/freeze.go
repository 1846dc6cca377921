package planxml

import (
	"strings"
	"time"

	"lichenroad/internal/xmlconfig"
	"lichenroad/plan"
)

const (
	timeOfDayLayout = "15:04"
	momentLayout    = "2006-01-02T15:04"

	// maxOneTimeFreeze is the longest freeze that holds once: in a longer one, the year is probably mistyped.
	maxOneTimeFreeze = 400 * 24 * time.Hour
)

var effectWords = map[string]plan.FreezeEffect{
	"begin": plan.FreezeStarts,
	"on":    plan.FreezePromotions,
	"all":   plan.FreezeAll,
}

var weekdays = map[string]time.Weekday{
	"sun": time.Sunday,
	"mon": time.Monday,
	"tue": time.Tuesday,
	"wed": time.Wednesday,
	"thu": time.Thursday,
	"fri": time.Friday,
	"sat": time.Saturday,
}

func (r *reader) readFreezes() {
	taken := map[string]bool{}
	for _, node := range r.freezes {
		freeze := plan.Freeze{
			Name:   r.UniqueName(node, taken),
			Effect: xmlconfig.Enum(&r.Reader, node, "stops", plan.FreezeAll, effectWords),
		}
		for _, target := range node.ChildrenNamed("for") {
			r.readFreezeTarget(&freeze, target)
		}
		freeze.Schedules = r.readSchedules(node)
		r.plan.Freezes = append(r.plan.Freezes, freeze)
	}
}

// readFreezeTarget reads a <for>, which restricts a freeze to a service or a site.
func (r *reader) readFreezeTarget(freeze *plan.Freeze, node *xmlconfig.Node) {
	if len(node.Attrs) != 1 {
		r.AddFault(node, "must name either a service or a site")
	}
	if name, ok := node.Attrs["service"]; ok {
		service, _ := r.readServiceRef(node, name)
		freeze.Services = append(freeze.Services, service)
	}
	if name, ok := node.Attrs["site"]; ok {
		freeze.Sites = append(freeze.Sites, r.readSiteRef(node, name))
	}
}

func (r *reader) readSchedules(freeze *xmlconfig.Node) []plan.Schedule {
	var schedules []plan.Schedule
	for _, node := range freeze.Children {
		switch node.Name {
		case "weekly":
			schedules = append(schedules, r.readWeekly(node))
		case "once":
			schedules = append(schedules, r.readOnce(node))
		}
	}
	if len(schedules) == 0 {
		r.AddFault(freeze, "no <weekly> or <once>")
	}
	return schedules
}

func (r *reader) readWeekly(node *xmlconfig.Node) plan.Schedule {
	return plan.Schedule{
		Zone:  r.readZone(node),
		Days:  r.readDays(node),
		Start: r.readTimeOfDay(node, "from"),
		End:   r.readTimeOfDay(node, "to"),
	}
}

func (r *reader) readOnce(node *xmlconfig.Node) plan.Schedule {
	zone := r.readZone(node)
	schedule := plan.Schedule{Zone: zone, From: r.readMoment(node, "from", zone), To: r.readMoment(node, "to", zone)}
	bothRead := !schedule.From.IsZero() && !schedule.To.IsZero()
	if bothRead && !schedule.To.After(schedule.From) {
		r.AddFault(node, "to: the freeze ends no later than it begins")
	}
	if schedule.To.Sub(schedule.From) > maxOneTimeFreeze {
		r.AddFault(node, "to: the freeze lasts more than 400 days, so the year is probably wrong")
	}
	return schedule
}

func (r *reader) readZone(node *xmlconfig.Node) *time.Location {
	name, ok := node.Attrs["zone"]
	if !ok {
		return time.UTC
	}
	zone, err := time.LoadLocation(name)
	// The standard library also accepts "" as UTC and "Local" as the zone of the machine.
	if err != nil || name == "" || name == "Local" {
		r.AddFault(node, "zone: %.40q is no time zone", name)
		return time.UTC
	}
	return zone
}

func (r *reader) readDays(node *xmlconfig.Node) [7]bool {
	var days [7]bool
	attr, given := node.Attrs["days"]
	for _, word := range strings.Fields(attr) {
		day, known := weekdays[word]
		switch {
		case !known:
			r.AddFault(node, "days: %.20q is none of mon tue wed thu fri sat sun", word)
		case days[day]:
			r.AddFault(node, "days: %s stands twice", word)
		default:
			days[day] = true
		}
	}
	if none := days == [7]bool{}; given && none {
		r.AddFault(node, "days: no valid day")
	}
	return days
}

// readTimeOfDay reads a time of day and returns the time since midnight.
func (r *reader) readTimeOfDay(node *xmlconfig.Node, name string) time.Duration {
	text, ok := node.Attrs[name]
	t, err := time.Parse(timeOfDayLayout, text)
	// The standard library also accepts an hour of one digit.
	if ok && (err != nil || len(text) != len(timeOfDayLayout)) {
		r.AddFault(node, "%s: %.20q is no time of day such as 22:30", name, text)
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
}

// readMoment reads a date and time in a zone. It must occur exactly once there.
func (r *reader) readMoment(node *xmlconfig.Node, name string, zone *time.Location) time.Time {
	text, ok := node.Attrs[name]
	if !ok {
		return time.Time{}
	}
	t, err := time.Parse(momentLayout, text)
	if err != nil {
		r.AddFault(node, "%s: %.20q is no date and time such as 2026-12-24T18:00", name, text)
		return time.Time{}
	}
	wall := plan.WallTimeOf(t)
	switch wall.Resolve(zone).Occurrence {
	case plan.OccursNever:
		r.AddFault(node, "%s: %s does not occur in %s, whose clocks skip it", name, text, zone)
	case plan.OccursTwice:
		r.AddFault(node, "%s: %s occurs twice in %s", name, text, zone)
	}
	return wall.In(zone)
}
