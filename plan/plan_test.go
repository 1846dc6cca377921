package plan

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/xmlconfig"
)

const (
	head = `<plan version="1" clock-skew="2s"><site name="bole"/><site name="kality"/>
<group name="pilot"><customer name="dairy"/></group><group name="rest"><customer name="goods"/></group>
`
	serviceA = `<service name="a"><step name="one" share="0.1" cap="0.1" least="5s"><open site="bole" group="pilot"/></step>
<step name="two" share="1" cap="0.5" least="1m30s"><open site="bole" group="rest"/><open site="kality"/></step></service>
`
	foot = `</plan>`
)

func serviceB(needs string) string {
	return `<service name="b"><step name="one" share="0.1" cap="0.1" least="5s"><open/>` + needs + `</step></service>`
}

func freeze(span string) string {
	return head + serviceA + `<freeze name="f">` + span + `</freeze>` + foot
}

// cases are held to by the reader and, where the schema can see the fault, by the schema.
var cases = []struct {
	name, text string
	line       int    // of the first fault
	says       string // none: good
	schema     bool   // the schema refuses it too
}{
	{"whole", head + serviceA + serviceB(`<needs service="a" step="two"/>`) + foot, 0, "", false},
	{"steps of each other", head + serviceA + `<service name="b"><step name="one" share="0" cap="0.1" least="5s"><open/><needs service="a" step="one"/></step></service>` + foot, 0, "", false},
	{"freezes", freeze(`<for site="bole"/><weekly days="fri sat" from="22:00" to="06:00" zone="Europe/Berlin"/><once from="2026-12-24T18:00" to="2026-12-27T06:00" zone="Africa/Addis_Ababa"/>`), 0, "", false},
	{"empty", "", 1, "empty", true},
	{"no XML", "<plan", 1, "no XML", true},
	{"cut short", head + serviceA, 5, "no XML", true},
	{"another root", "<plane/>", 1, "the root must be <plan>", true},
	{"version", strings.Replace(head, `"1"`, `"2"`, 1) + serviceA + foot, 1, "version", true},
	{"no sites", `<plan version="1"><group name="g"/><service name="a"><step name="s" share="0" cap="0" least="1s"><open/></step></service></plan>`, 1, "no <site>", false},
	{"unknown element", head + serviceA + "<frieze/>" + foot, 5, "not known in <plan>", true},
	{"unknown attribute", head + strings.Replace(serviceA, "least=", "most=", 1) + foot, 3, "attribute least is missing", true},
	{"text", head + "words" + serviceA + foot, 3, "is not expected", true},
	{"twice the name", head + serviceA + serviceA + foot, 5, `"a" stands twice`, true},
	{"a bad name", head + strings.Replace(serviceA, `"one"`, `"o ne"`, 1) + foot, 3, "is no name", true},
	{"cap of 1.5", head + strings.Replace(serviceA, `cap="0.5"`, `cap="1.5"`, 1) + foot, 4, "no number from 0 to 1", true},
	{"cap that is none", head + strings.Replace(serviceA, `cap="0.5"`, `cap="NaN"`, 1) + foot, 4, "no number", true},
	{"least of minus", head + strings.Replace(serviceA, `"5s"`, `"-5s"`, 1) + foot, 3, "no span", true},
	{"falling caps", head + strings.Replace(serviceA, `cap="0.5"`, `cap="0.05"`, 1) + foot, 4, "falls below the 0.1", false},
	{"falling share", head + strings.Replace(serviceA, `share="1"`, `share="0.05"`, 1) + foot, 4, "share: 0.05 falls", false},
	{"opens what is open", head + strings.Replace(serviceA, `site="bole" group="rest"`, `site="bole"`, 1) + foot, 4, "group pilot is open since step one", false},
	{"unknown site", head + strings.Replace(serviceA, `site="kality"`, `site="lake"`, 1) + foot, 4, `there is no "lake"`, false},
	{"unknown group", head + strings.Replace(serviceA, `group="rest"`, `group="best"`, 1) + foot, 4, `there is no "best"`, false},
	{"unknown service", head + serviceA + serviceB(`<needs service="c"/>`) + foot, 5, `there is no "c"`, true},
	{"unknown step", head + serviceA + serviceB(`<needs service="a" step="three"/>`) + foot, 5, `a has no "three"`, false},
	{"needs itself", head + serviceA + serviceB(`<needs service="b"/>`) + foot, 5, "needs itself", false},
	{"a cycle", head + strings.Replace(serviceA, `<open site="kality"/>`, `<open site="kality"/><needs service="b"/>`, 1) + serviceB(`<needs service="a"/>`) + foot, 3, "a cycle: a", false},
	{"opens nothing first", head + `<service name="a"><step name="s" share="0" cap="0" least="1s"/></service>` + foot, 3, "opens nothing", false},
	{"address", head + strings.Replace(serviceA, `name="a"`, `name="a" watch="here"`, 1) + foot, 3, "no address", true},
	{"freeze of nothing", freeze(``), 5, "no <weekly>", true},
	{"freeze for both", freeze(`<for site="bole" service="a"/><weekly days="mon" from="01:00" to="02:00" zone="UTC"/>`), 5, "one of the two", false},
	{"freeze without end", freeze(`<weekly days="mon tue wed thu fri sat sun" from="06:00" to="06:00" zone="UTC"/>`), 5, "never ends", false},
	{"two that leave no time", freeze(`<weekly days="mon tue wed thu fri sat sun" from="06:00" to="18:00" zone="UTC"/><weekly days="mon tue wed thu fri sat sun" from="18:00" to="06:00" zone="UTC"/>`), 5, "never ends", false},
	{"ends before it begins", freeze(`<once from="2026-12-27T06:00" to="2026-12-24T18:00" zone="UTC"/>`), 5, "no later than it begins", false},
	{"a skipped time", freeze(`<once from="2027-03-28T02:30" to="2027-03-29T02:30" zone="Europe/Berlin"/>`), 5, "is skipped in Europe/Berlin", false},
	{"a time that is there twice", freeze(`<once from="2026-10-25T02:30" to="2026-10-29T02:30" zone="Europe/Berlin"/>`), 5, "is there twice", false},
	{"no zone", freeze(`<once from="2026-10-25T02:30" to="2026-10-29T02:30" zone="Atlantis"/>`), 5, "no time zone", false},
	{"no such day", freeze(`<weekly days="mon moon" from="01:00" to="02:00" zone="UTC"/>`), 5, "none of mon", true},
	{"no such hour", freeze(`<weekly days="mon" from="25:00" to="02:00" zone="UTC"/>`), 5, "no time of day", true},
	{"entities that expand", `<!DOCTYPE p [<!ENTITY a "aaaaaaaaaa"><!ENTITY b "&a;&a;&a;">]>` + head + serviceA + foot, 1, "no DOCTYPE", false},
	{"an unknown entity", head + strings.Replace(serviceA, `"one"`, `"&lol;"`, 1) + foot, 3, "no XML", true},
	{"many MB", head + strings.Repeat(" ", 3<<20) + serviceA + foot, 1, "over 1048576 bytes", false},
	{"many elements", head + strings.Repeat(`<site name="x"/>`, xmlconfig.MaxElements+1) + foot, 3, "over 20000 elements", true},
	{"deep", head + strings.Repeat("<group name='x'>", 20) + strings.Repeat("</group>", 20) + foot, 3, "deep", true},
}

func TestReader(t *testing.T) {
	for _, c := range cases {
		_, err := Parse("p.xml", []byte(c.text))
		var faults *xmlconfig.Error
		switch {
		case c.says == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.says == "":
		case !errors.As(err, &faults):
			t.Errorf("%s: taken", c.name)
		case !strings.Contains(faults.Lines()[0]+strings.Join(faults.Lines(), " "), c.says) || faults.Faults[0].Line != c.line ||
			!strings.HasPrefix(faults.Lines()[0], fmt.Sprintf("p.xml:%d: ", c.line)):
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestSchema holds the schema to the same cases, by the validator of libxml2, which CI installs.
func TestSchema(t *testing.T) {
	lint, err := exec.LookPath("xmllint")
	if err != nil {
		if os.Getenv("CI") != "" {
			t.Fatal("CI must have xmllint")
		}
		t.Skip("no xmllint here")
	}
	for _, c := range cases {
		file := filepath.Join(t.TempDir(), "p.xml")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command(lint, "--noout", "--nonet", "--schema", "../deploy/plan.xsd", file).CombinedOutput()
		if (err != nil) != c.schema {
			t.Errorf("%s: refused by the schema: %v, wanted %v: %.200s", c.name, err != nil, c.schema, out)
		}
	}
	if out, err := exec.Command(lint, "--noout", "--schema", "../deploy/plan.xsd", "../deploy/plan.xml").CombinedOutput(); err != nil {
		t.Errorf("the example: %s", out)
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	text := head + strings.NewReplacer(`cap="0.5"`, `cap="0.05"`, `site="kality"`, `site="lake"`, `"5s"`, `"soon"`).Replace(serviceA) + "<frieze/>" + foot
	_, err := Parse("p.xml", []byte(text))
	var faults *xmlconfig.Error
	if !errors.As(err, &faults) || len(faults.Faults) != 4 {
		t.Fatalf("%v", err)
	}
	for i := 1; i < len(faults.Faults); i++ {
		if faults.Faults[i].Line < faults.Faults[i-1].Line {
			t.Error("not in the file's order")
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, c := range cases {
		if len(c.text) < 4096 {
			f.Add([]byte(c.text))
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := Parse("p", raw)
		if (p == nil) == (err == nil) {
			t.Fatal("neither a plan nor an error, or both")
		}
	})
}

func utc(text string) Unix {
	t, err := time.Parse("2006-01-02T15:04:05", text)
	if err != nil {
		panic(err)
	}
	return unix(t)
}

func TestCalendar(t *testing.T) {
	p, err := Parse("p", []byte(freeze(`<for site="bole"/><weekly days="fri" from="22:00" to="06:00" zone="Africa/Addis_Ababa"/>
<weekly days="sun" from="02:30" to="03:30" zone="Europe/Berlin"/>`)))
	if err != nil {
		t.Fatal(err)
	}
	c, wide := NewCalendar(p, false), NewCalendar(p, true)
	for _, x := range []struct {
		at   string
		site SiteIndex
		in   bool
		wide bool
	}{
		{"2026-12-04T18:59:57", 0, false, false}, // Addis Ababa is three hours ahead
		{"2026-12-04T18:59:59", 0, false, true},
		{"2026-12-04T19:00:00", 0, true, true},
		{"2026-12-04T19:00:00", 1, false, false},
		{"2026-12-05T02:59:59", 0, true, true},
		{"2026-12-05T03:00:01", 0, false, true},
		{"2026-12-05T03:00:02", 0, false, false},
		// On 28 March 2027 Berlin has no 02:30: the freeze begins when the hour is skipped, at 01:00 UTC.
		{"2027-03-28T00:59:50", 0, false, false},
		{"2027-03-28T01:00:00", 0, true, true},
		{"2027-03-28T01:29:59", 0, true, true},
		{"2027-03-28T01:30:05", 0, false, false},
		// On 25 October 2026 it has 02:30 twice, at 00:30 and 01:30 UTC: the freeze takes in both.
		{"2026-10-25T00:29:50", 0, false, false},
		{"2026-10-25T00:30:00", 0, true, true},
		{"2026-10-25T01:29:00", 0, true, true},
		{"2026-10-25T02:29:59", 0, true, true},
		{"2026-10-25T02:30:05", 0, false, false},
	} {
		if _, in := c.Frozen(utc(x.at), 0, x.site, FreezePromotions); in != x.in {
			t.Errorf("%s at site %d: frozen %v", x.at, x.site, in)
		}
		if _, in := wide.Frozen(utc(x.at), 0, x.site, FreezePromotions); in != x.wide {
			t.Errorf("%s at site %d with skew: frozen %v", x.at, x.site, in)
		}
	}
	if f, in := c.Frozen(utc("2026-12-04T20:00:00"), 0, NoSite, FreezeStarts); !in || f.Since != utc("2026-12-04T19:00:00") || f.Until != utc("2026-12-05T03:00:00") {
		t.Errorf("%+v %v", f, in)
	}
	if next := c.Next(utc("2026-12-04T18:00:00")); next != utc("2026-12-04T19:00:00") {
		t.Error(next)
	}
}

// TestCalendarAgainstEachSecond walks a fortnight and holds the cached answers against fresh ones.
func TestCalendarAgainstEachSecond(t *testing.T) {
	p, err := Load("../deploy/plan.xml")
	if err != nil {
		t.Fatal(err)
	}
	c, start := NewCalendar(p, true), utc("2026-12-28T00:00:00")
	changes := 0
	for at, was := start, false; at < start+14*86400; at += 97 {
		_, in := c.Frozen(at, 1, 0, FreezePromotions)
		if _, fresh := NewCalendar(p, true).Frozen(at, 1, 0, FreezePromotions); fresh != in {
			t.Fatalf("%s: %v, fresh %v", Time(at), in, fresh)
		}
		if in != was {
			changes, was = changes+1, in
		}
	}
	if changes < 40 {
		t.Errorf("%d changes in a fortnight of nights and mornings", changes)
	}
}

func TestOrderAndGroups(t *testing.T) {
	p, err := Load("../deploy/plan.xml")
	if err != nil {
		t.Fatal(err)
	}
	if o := p.Order(); len(o) != 3 || o[0] != 0 || o[1] != 1 || o[2] != 2 {
		t.Error(o)
	}
	if p.GroupOf("entoto-dairy") != 0 || p.GroupOf("nobody") != NoGroup {
		t.Error("groups")
	}
	s := &p.Services[0]
	if !s.Open(0, 0, 0) || s.Open(0, 0, 1) || s.Open(0, 1, 0) || !s.Open(2, 1, 2) || s.OpenAtSite(1, 1) || !s.OpenAtSite(2, 1) {
		t.Error("what is open")
	}
}
