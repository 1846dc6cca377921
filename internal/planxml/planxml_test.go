package planxml

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

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

// cases are plans for the reader and for the schema, which can't detect every fault.
var cases = []struct {
	name             string
	text             string
	line             int    // of the first fault
	wantFault        string // part of a fault's text; empty: no fault
	rejectedBySchema bool
}{
	{"valid", head + serviceA + serviceB(`<needs service="a" step="two"/>`) + foot, 0, "", false},
	{"services that depend on each other's steps", head + serviceA + `<service name="b"><step name="one" share="0" cap="0.1" least="5s"><open/><needs service="a" step="one"/></step></service>` + foot, 0, "", false},
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
	{"duplicate name", head + serviceA + serviceA + foot, 5, `"a" stands twice`, true},
	{"invalid name", head + strings.Replace(serviceA, `"one"`, `"o ne"`, 1) + foot, 3, "is no name", true},
	{"cap of 1.5", head + strings.Replace(serviceA, `cap="0.5"`, `cap="1.5"`, 1) + foot, 4, "no number from 0 to 1", true},
	{"cap that is not a number", head + strings.Replace(serviceA, `cap="0.5"`, `cap="NaN"`, 1) + foot, 4, "no number", true},
	{"negative least", head + strings.Replace(serviceA, `"5s"`, `"-5s"`, 1) + foot, 3, "no span", true},
	{"falling cap", head + strings.Replace(serviceA, `cap="0.5"`, `cap="0.05"`, 1) + foot, 4, "falls below the 0.1", false},
	{"falling share", head + strings.Replace(serviceA, `share="1"`, `share="0.05"`, 1) + foot, 4, "share: 0.05 falls", false},
	{"opens a group that is open", head + strings.Replace(serviceA, `site="bole" group="rest"`, `site="bole"`, 1) + foot, 4, "group pilot is already open since step one", false},
	{"unknown site", head + strings.Replace(serviceA, `site="kality"`, `site="lake"`, 1) + foot, 4, `there is no "lake"`, false},
	{"unknown group", head + strings.Replace(serviceA, `group="rest"`, `group="best"`, 1) + foot, 4, `there is no "best"`, false},
	{"unknown service", head + serviceA + serviceB(`<needs service="c"/>`) + foot, 5, `there is no "c"`, true},
	{"unknown step", head + serviceA + serviceB(`<needs service="a" step="three"/>`) + foot, 5, `a has no "three"`, false},
	{"needs itself", head + serviceA + serviceB(`<needs service="b"/>`) + foot, 5, "needs itself", false},
	{"a cycle", head + strings.Replace(serviceA, `<open site="kality"/>`, `<open site="kality"/><needs service="b"/>`, 1) + serviceB(`<needs service="a"/>`) + foot, 3, "a cycle: a", false},
	{"first step that opens nothing", head + `<service name="a"><step name="s" share="0" cap="0" least="1s"/></service>` + foot, 3, "opens nothing", false},
	{"invalid address", head + strings.Replace(serviceA, `name="a"`, `name="a" watch="here"`, 1) + foot, 3, "no address", true},
	{"freeze without a schedule", freeze(``), 5, "no <weekly>", true},
	{"freeze for a site and a service in one element", freeze(`<for site="bole" service="a"/><weekly days="mon" from="01:00" to="02:00" zone="UTC"/>`), 5, "either a service or a site", false},
	{"freeze without end", freeze(`<weekly days="mon tue wed thu fri sat sun" from="06:00" to="06:00" zone="UTC"/>`), 5, "never ends", false},
	{"two schedules that leave no time", freeze(`<weekly days="mon tue wed thu fri sat sun" from="06:00" to="18:00" zone="UTC"/><weekly days="mon tue wed thu fri sat sun" from="18:00" to="06:00" zone="UTC"/>`), 5, "never ends", false},
	{"ends before it begins", freeze(`<once from="2026-12-27T06:00" to="2026-12-24T18:00" zone="UTC"/>`), 5, "no later than it begins", false},
	{"a skipped time", freeze(`<once from="2027-03-28T02:30" to="2027-03-29T02:30" zone="Europe/Berlin"/>`), 5, "does not occur in Europe/Berlin", false},
	{"a repeated time", freeze(`<once from="2026-10-25T02:30" to="2026-10-29T02:30" zone="Europe/Berlin"/>`), 5, "occurs twice in Europe/Berlin", false},
	{"unknown zone", freeze(`<once from="2026-10-25T02:30" to="2026-10-29T02:30" zone="Atlantis"/>`), 5, "no time zone", false},
	{"unknown day", freeze(`<weekly days="mon moon" from="01:00" to="02:00" zone="UTC"/>`), 5, "none of mon", true},
	{"invalid hour", freeze(`<weekly days="mon" from="25:00" to="02:00" zone="UTC"/>`), 5, "no time of day", true},
	{"entities that expand", `<!DOCTYPE p [<!ENTITY a "aaaaaaaaaa"><!ENTITY b "&a;&a;&a;">]>` + head + serviceA + foot, 1, "no DOCTYPE", false},
	{"an unknown entity", head + strings.Replace(serviceA, `"one"`, `"&lol;"`, 1) + foot, 3, "no XML", true},
	{"too large a file", head + strings.Repeat(" ", 3<<20) + serviceA + foot, 1, "over 1048576 bytes", false},
	{"too many elements", head + strings.Repeat(`<site name="x"/>`, xmlconfig.MaxElements+1) + foot, 3, "over 20000 elements", true},
	{"elements nested too deep", head + strings.Repeat("<group name='x'>", 20) + strings.Repeat("</group>", 20) + foot, 3, "deep", true},
}

func TestParse(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("p.xml", []byte(c.text))
			if c.wantFault == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			lines, faults := faultsOf(t, err)
			if !strings.Contains(strings.Join(lines, " "), c.wantFault) {
				t.Errorf("no fault contains %q: %v", c.wantFault, err)
			}
			if faults[0].Line != c.line || !strings.HasPrefix(lines[0], fmt.Sprintf("p.xml:%d: ", c.line)) {
				t.Errorf("the first fault is not in line %d: %v", c.line, err)
			}
		})
	}
}

// faultsOf returns the lines of an *xmlconfig.Error, and its faults.
func faultsOf(t *testing.T, err error) ([]string, []xmlconfig.Fault) {
	t.Helper()
	var faults *xmlconfig.Error
	if !errors.As(err, &faults) {
		t.Fatalf("not an error with faults: %v", err)
	}
	return faults.Lines(), faults.Faults
}

// TestSchema validates the same cases against the schema, with xmllint of libxml2, which CI installs.
func TestSchema(t *testing.T) {
	lint, err := exec.LookPath("xmllint")
	if err != nil {
		if os.Getenv("CI") != "" {
			t.Fatal("CI must have xmllint installed")
		}
		t.Skip("xmllint is not installed")
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "p.xml")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			out, err := exec.Command(lint, "--noout", "--nonet", "--schema", "../../deploy/plan.xsd", file).CombinedOutput()
			if rejected := err != nil; rejected != c.rejectedBySchema {
				t.Errorf("rejected by the schema: %v, want %v: %.200s", rejected, c.rejectedBySchema, out)
			}
		})
	}
	t.Run("the example", func(t *testing.T) {
		out, err := exec.Command(lint, "--noout", "--schema", "../../deploy/plan.xsd", "../../deploy/plan.xml").CombinedOutput()
		if err != nil {
			t.Errorf("the example plan is rejected by the schema: %s", out)
		}
	})
}

func TestAllFaultsAtOnce(t *testing.T) {
	spoil := strings.NewReplacer(`cap="0.5"`, `cap="0.05"`, `site="kality"`, `site="lake"`, `"5s"`, `"soon"`)
	_, err := Parse("p.xml", []byte(head+spoil.Replace(serviceA)+"<frieze/>"+foot))
	_, faults := faultsOf(t, err)
	if len(faults) != 4 {
		t.Fatalf("%d faults, want 4: %v", len(faults), err)
	}
	for i := 1; i < len(faults); i++ {
		if faults[i].Line < faults[i-1].Line {
			t.Errorf("fault %d is on an earlier line than the one before: %v", i, err)
		}
	}
}

// TestFaultOrder checks the texts and the order of faults on the same line.
func TestFaultOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		want []string
	}{
		{"an empty plan", `<plan version="2"/>`, []string{
			`p.xml:1: <plan>: version: "2" is not known, 1 is`,
			`p.xml:1: <plan>: no <site>`,
			`p.xml:1: <plan>: no <group>`,
			`p.xml:1: <plan>: no <service>`,
		}},
		{"an empty service", `<plan version="1"><site name="x"/><group name="g"/><service name="a" watch="here" settle="soon" back-for="1x"/></plan>`, []string{
			`p.xml:1: <service>: back-for: "1x" is no span of up to 31 days, such as 90s, 5m or 1h30m`,
			`p.xml:1: <service>: settle: "soon" is no span of up to 31 days, such as 90s, 5m or 1h30m`,
			`p.xml:1: <service>: watch: "here" is no address with a port`,
			`p.xml:1: <service>: no <step>`,
		}},
		{"a step below the one before", head + `<service name="a"><step name="s" share="0.2" cap="0.3" least="1s"><open/></step>` +
			`<step name="released" share="0.1" cap="0.2" least="1s"><open site="bole" group="pilot"/><needs service="a"/></step></service>` + foot, []string{
			`p.xml:3: <step>: name: released is reserved for the release, which follows the last step`,
			`p.xml:3: <step>: cap: 0.2 falls below the 0.3 of the step before`,
			`p.xml:3: <step>: share: 0.1 falls below the 0.2 of the step before`,
			`p.xml:3: <open>: site bole, group pilot is already open since step s`,
			`p.xml:3: <needs>: service: a needs itself`,
		}},
		{"relays", head + strings.Replace(serviceA, `</service>`, `<relay name="r" listen="127.0.0.1:1"/><relay name="r" site="lake" listen="127.0.0.1:1"/></service>`, 1) + foot, []string{
			`p.xml:4: <relay>: Name: "r" stands twice`,
			`p.xml:4: <relay>: site: there is no "lake"`,
			`p.xml:4: <relay>: listen: 127.0.0.1:1 stands twice`,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("p.xml", []byte(c.text))
			if lines, _ := faultsOf(t, err); !slices.Equal(lines, c.want) {
				t.Errorf("got\n%s\nwant\n%s", strings.Join(lines, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

func TestLoad(t *testing.T) {
	p, err := Load("../../deploy/plan.xml")
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Services) != 3 {
		t.Errorf("%d services, want 3", len(p.Services))
	}
	if _, err := Load(filepath.Join(t.TempDir(), "absent.xml")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a missing file: error %v, want fs.ErrNotExist", err)
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
			t.Fatalf("plan %v, error %v: want exactly one of them", p, err)
		}
	})
}
