package plan_test

import (
	"slices"
	"testing"
	"time"

	"lichenroad/internal/planxml"
	"lichenroad/plan"
)

// utc parses a time in UTC.
func utc(t *testing.T, text string) plan.Unix {
	t.Helper()
	at, err := time.Parse("2006-01-02T15:04:05", text)
	if err != nil {
		t.Fatal(err)
	}
	return plan.FromTime(at)
}

// parse returns a plan with two sites, "bole" and "kality", and a freeze with the given content.
func parse(t *testing.T, freeze string) *plan.Plan {
	t.Helper()
	p, err := planxml.Parse("p", []byte(`<plan version="1" clock-skew="2s"><site name="bole"/><site name="kality"/>
<group name="pilot"><customer name="dairy"/></group><group name="rest"><customer name="goods"/></group>
<service name="a"><step name="one" share="0.1" cap="0.1" least="5s"><open site="bole" group="pilot"/></step>
<step name="two" share="1" cap="0.5" least="1m30s"><open site="bole" group="rest"/><open site="kality"/></step></service>
<freeze name="f">`+freeze+`</freeze></plan>`))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestCalendar(t *testing.T) {
	p := parse(t, `<for site="bole"/><weekly days="fri" from="22:00" to="06:00" zone="Africa/Addis_Ababa"/>
<weekly days="sun" from="02:30" to="03:30" zone="Europe/Berlin"/>`)
	const bole, kality = 0, 1
	exact, withSkew := plan.NewCalendar(p, false), plan.NewCalendar(p, true)
	for _, c := range []struct {
		name           string
		at             string
		site           plan.SiteIndex
		frozen         bool
		frozenWithSkew bool
	}{
		// Addis Ababa is three hours ahead of UTC.
		{"before the skew", "2026-12-04T18:59:57", bole, false, false},
		{"in the skew before", "2026-12-04T18:59:59", bole, false, true},
		{"from the start", "2026-12-04T19:00:00", bole, true, true},
		{"another site", "2026-12-04T19:00:00", kality, false, false},
		{"to the end", "2026-12-05T02:59:59", bole, true, true},
		{"in the skew after", "2026-12-05T03:00:01", bole, false, true},
		{"after the skew", "2026-12-05T03:00:02", bole, false, false},
		// On 28 March 2027 Berlin has no 02:30: the freeze begins when the hour is skipped, at 01:00 UTC.
		{"before a skipped hour", "2027-03-28T00:59:50", bole, false, false},
		{"at a skipped hour", "2027-03-28T01:00:00", bole, true, true},
		{"after a skipped hour", "2027-03-28T01:29:59", bole, true, true},
		{"at the end, after a skipped hour", "2027-03-28T01:30:05", bole, false, false},
		// On 25 October 2026 it has 02:30 twice, at 00:30 and 01:30 UTC: the freeze covers both.
		{"before a repeated hour", "2026-10-25T00:29:50", bole, false, false},
		{"from the first of the two", "2026-10-25T00:30:00", bole, true, true},
		{"between the two", "2026-10-25T01:29:00", bole, true, true},
		{"after the second of the two", "2026-10-25T02:29:59", bole, true, true},
		{"at the end, after a repeated hour", "2026-10-25T02:30:05", bole, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, frozen := exact.Frozen(utc(t, c.at), 0, c.site, plan.FreezePromotions); frozen != c.frozen {
				t.Errorf("%s at site %d: frozen %v, want %v", c.at, c.site, frozen, c.frozen)
			}
			if _, frozen := withSkew.Frozen(utc(t, c.at), 0, c.site, plan.FreezePromotions); frozen != c.frozenWithSkew {
				t.Errorf("%s at site %d, with skew: frozen %v, want %v", c.at, c.site, frozen, c.frozenWithSkew)
			}
		})
	}
	active, frozen := exact.Frozen(utc(t, "2026-12-04T20:00:00"), 0, plan.NoSite, plan.FreezeStarts)
	if !frozen || active.Since != utc(t, "2026-12-04T19:00:00") || active.Until != utc(t, "2026-12-05T03:00:00") {
		t.Errorf("active freeze %+v, frozen %v", active, frozen)
	}
	if next := exact.NextChange(utc(t, "2026-12-04T18:00:00")); next != utc(t, "2026-12-04T19:00:00") {
		t.Errorf("next change at %s, want the start of the freeze", plan.Time(next))
	}
}

// TestCalendarAgainstEachSecond compares the answers of a calendar that caches with those of fresh ones, over two
// weeks.
func TestCalendarAgainstEachSecond(t *testing.T) {
	p, err := planxml.Load("../deploy/plan.xml")
	if err != nil {
		t.Fatal(err)
	}
	cached, start := plan.NewCalendar(p, true), utc(t, "2026-12-28T00:00:00")
	changes, before := 0, false
	for at := start; at < start+14*86400; at += 97 {
		_, frozen := cached.Frozen(at, 1, 0, plan.FreezePromotions)
		if _, fresh := plan.NewCalendar(p, true).Frozen(at, 1, 0, plan.FreezePromotions); fresh != frozen {
			t.Fatalf("%s: frozen %v, by a fresh calendar %v", plan.Time(at), frozen, fresh)
		}
		if frozen != before {
			changes, before = changes+1, frozen
		}
	}
	if changes < 40 {
		t.Errorf("%d changes in two weeks, want at least 40", changes)
	}
}

func TestOrderAndGroups(t *testing.T) {
	p, err := planxml.Load("../deploy/plan.xml")
	if err != nil {
		t.Fatal(err)
	}
	if order := p.Order(); !slices.Equal(order, []plan.ServiceIndex{0, 1, 2}) {
		t.Errorf("order %v", order)
	}
	if p.GroupOf("entoto-dairy") != 0 || p.GroupOf("nobody") != plan.NoGroup {
		t.Error("wrong group of a tenant")
	}
	s := &p.Services[0]
	if !s.IsOpen(0, 0, 0) || s.IsOpen(0, 0, 1) || s.IsOpen(0, 1, 0) || !s.IsOpen(2, 1, 2) {
		t.Error("IsOpen: wrong groups are open")
	}
	if s.OpenAtSite(1, 1) || !s.OpenAtSite(2, 1) {
		t.Error("OpenAtSite: wrong sites are open")
	}
}

func TestWallTimeResolve(t *testing.T) {
	berlin, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name        string
		wall        string
		occurrence  plan.Occurrence
		first, last string // in UTC
	}{
		{"winter", "2026-12-24T18:00:00", plan.OccursOnce, "2026-12-24T17:00:00", "2026-12-24T17:00:00"},
		{"before the skip", "2027-03-28T01:59:59", plan.OccursOnce, "2027-03-28T00:59:59", "2027-03-28T00:59:59"},
		{"skipped", "2027-03-28T02:30:00", plan.OccursNever, "2027-03-28T01:00:00", "2027-03-28T01:00:00"},
		{"after the skip", "2027-03-28T03:00:00", plan.OccursOnce, "2027-03-28T01:00:00", "2027-03-28T01:00:00"},
		{"repeated", "2026-10-25T02:30:00", plan.OccursTwice, "2026-10-25T00:30:00", "2026-10-25T01:30:00"},
		{"after the repeated hour", "2026-10-25T03:00:00", plan.OccursOnce, "2026-10-25T02:00:00", "2026-10-25T02:00:00"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := plan.WallTimeOf(plan.Time(utc(t, c.wall))).Resolve(berlin)
			if r.Occurrence != c.occurrence || plan.FromTime(r.First) != utc(t, c.first) || plan.FromTime(r.Last) != utc(t, c.last) {
				t.Errorf("occurrence %d, first %s, last %s", r.Occurrence, r.First.UTC(), r.Last.UTC())
			}
		})
	}
}

func TestFindCycle(t *testing.T) {
	service := func(dependencies ...plan.Dependency) plan.Service {
		return plan.Service{Steps: []plan.Step{{Name: "one"}, {Name: "two", Dependencies: dependencies}}}
	}
	for _, c := range []struct {
		name     string
		services []plan.Service
		want     []plan.Milestone
	}{
		{"none", []plan.Service{service(), service(plan.Dependency{Service: 0, Released: true})}, nil},
		{"two services whose steps depend on an earlier step of the other", []plan.Service{service(plan.Dependency{Service: 1}), service(plan.Dependency{Service: 0})}, nil},
		{"two services whose steps depend on the same step of the other",
			[]plan.Service{service(plan.Dependency{Service: 1, Step: 1}), service(plan.Dependency{Service: 0, Step: 1})},
			[]plan.Milestone{{Service: 0, Step: 1}, {Service: 1, Step: 1}, {Service: 0, Step: 1}}},
		{"a release and a step before it",
			[]plan.Service{service(plan.Dependency{Service: 1, Released: true}), service(plan.Dependency{Service: 0, Step: 1})},
			[]plan.Milestone{{Service: 0, Step: 1}, {Service: 1, Step: 2}, {Service: 1, Step: 1}, {Service: 0, Step: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &plan.Plan{Services: c.services}
			if cycle := p.FindCycle(); !slices.Equal(cycle, c.want) {
				t.Errorf("got %v, want %v", cycle, c.want)
			}
		})
	}
}
