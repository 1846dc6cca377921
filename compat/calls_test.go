package compat_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExitCodes runs valid and invalid commands and checks their exit codes. An invalid command prints one line on standard
// error, or one for each error in a plan.
func TestExitCodes(t *testing.T) {
	input, err := filepath.Abs(filepath.Join("testdata", "input"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args        string
		code        int
		stderrLines int
	}{
		{"", 0, 0},
		{"--help", 0, 0},
		{"help plan", 0, 0},
		{"version", 0, 0},
		{"exit-codes", 0, 0},
		{"completion bash", 0, 0},
		{"fly", 2, 1},
		{"--fly", 2, 1},
		{"version now", 2, 1},
		{"plan", 2, 1},
		{"plan fly", 2, 1},
		{"plan check", 2, 1},
		{"plan check none.xml", 1, 1},
		{"plan check bad-plan.xml", 1, 5},
		{"plan check bad-form.xml", 1, 1},
		{"plan show plan.xml --at noon", 2, 1},
		{"plan show bad-plan.xml", 1, 5},
		{"plan simulate bad-plan.xml", 1, 5},
		{"plan simulate plan.xml --faults rain", 2, 1},
		{"plan simulate plan.xml --without sense", 2, 1},
		{"plan simulate plan.xml --guard maybe", 2, 1},
		{"plan simulate plan.xml --days 99", 2, 1},
		{"plan simulate plan.xml --fly", 2, 1},
		{"trace", 2, 1},
		{"trace check", 2, 1},
		{"trace check alibaba-2018.csv", 2, 1},
		{"trace check alibaba-2018.csv --layout none", 2, 1},
		{"trace check none.csv --layout alibaba-2018", 1, 1},
		{"trace replay alibaba-2018.csv --layout alibaba-2018", 2, 1},
		{"trace replay alibaba-2018.csv --layout alibaba-2018 --mapping none.xml", 1, 1},
		{"trace replay alibaba-2018.csv --layout alibaba-2018 --mapping mapping.xml --fault rain", 2, 1},
		{"trace replay alibaba-2018.csv --layout alibaba-2018 --mapping mapping.xml --relays 5000", 1, 1},
		{"lab", 2, 1},
		{"lab shape none FILE", 2, 1},
		{"lab shape bursty", 2, 1},
		{"lab ledger", 2, 1},
		{"lab ledger .", 1, 1},
		{"lab fit none.txt", 1, 1},
		{"lab fit bench.txt --form cubic", 2, 1},
		{"lab fit bench.txt --from 200", 1, 1},
		{"lab compare a.json", 2, 1},
		{"lab compare none-a.json none-b.json", 1, 1},
		{"lab scale --fault rain", 2, 1},
		{"lab scale --shape round", 2, 1},
		{"lab planner --listen 0.0.0.0:1", 2, 1},
		{"lab sweep alibaba-2018.csv --layout alibaba-2018 --mapping mapping.xml --vary nothing", 2, 1},
		{"lab sweep alibaba-2018.csv --layout alibaba-2018 --mapping mapping.xml --vary module=x,y", 2, 1},
		{"check", 1, 1},
		{"check --config none.json", 1, 1},
		{"serve", 1, 1},
		{"serve --config none.json", 1, 1},
		{"serve --plan plan.xml", 2, 1},
		{"serve --fly", 2, 1},
		{"serve now", 2, 1},
		{"desk", 2, 1},
	} {
		name := c.args
		if name == "" {
			name = "no arguments"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			args := strings.ReplaceAll(c.args, "FILE", filepath.Join(t.TempDir(), "file"))
			r := runToolIn(t, input, strings.Fields(args)...)
			if r.code != c.code || len(r.errorLines()) != c.stderrLines {
				t.Errorf("exit code %d with %d lines on standard error, want %d with %d:\n%s", r.code, len(r.errorLines()), c.code, c.stderrLines, r.stderr)
			}
			if r.code == 0 && r.stdout == "" {
				t.Error("nothing on standard output")
			}
		})
	}
}

// TestPlanFaults compares what `plan check` prints for invalid plans. Its error lines are part of its result, so they are
// compared too.
func TestPlanFaults(t *testing.T) {
	input, err := filepath.Abs(filepath.Join("testdata", "input"))
	if err != nil {
		t.Fatal(err)
	}
	plan := string(readFile(t, filepath.Join(input, "plan.xml")))
	dir := t.TempDir()
	for _, c := range []struct{ name, old, new string }{
		{"as it stands", "", ""},
		{"version 2", `version="1"`, `version="2"`},
		{"an unknown element", "<site name=\"bole\"/>", "<site name=\"bole\"/><city/>"},
		{"an unknown attribute", `clock-skew="2s"`, `clock-screw="2s"`},
		{"no span", `clock-skew="2s"`, `clock-skew="soon"`},
		{"a cap that falls", `cap="0.3"`, `cap="0.05"`},
		{"a share that falls", `share="0.4"`, `share="0.01"`},
		{"a share over all", `share="0.4"`, `share="1.4"`},
		{"an unknown group", `group="goods"`, `group="gold"`},
		{"an unknown site", `site="kality"`, `site="kaliti"`},
		{"a need of itself", `<needs service="planner"/>`, `<needs service="dispatch"/>`},
		{"a need of nobody", `<needs service="planner"/>`, `<needs service="planer"/>`},
		{"a need of no step", `step="bole"/>`, `step="bold"/>`},
		{"a ring of needs", `<step name="pilot" share="0.1" cap="0.1" least="20s"><open site="bole" group="pilot"/></step>`,
			`<step name="pilot" share="0.1" cap="0.1" least="20s"><open site="bole" group="pilot"/><needs service="dispatch"/></step>`},
		{"a name twice", `<service name="planner"`, `<service name="map-data"`},
		{"no address", `watch="127.0.0.1:6490"`, `watch="here"`},
		{"no zone of time", `zone="Africa/Addis_Ababa"`, `zone="Africa/Addis"`},
		{"no day", `days="mon tue wed thu fri"`, `days="mon feast"`},
		{"no time of day", `from="21:00"`, `from="29:00"`},
		{"a freeze that ends before", `to="2027-01-08T06:00"`, `to="2027-01-05T06:00"`},
		{"a control that is none", `control="share"`, `control="luck"`},
		{"no XML", `</plan>`, `</plane>`},
		{"a DOCTYPE", `<plan version`, `<!DOCTYPE plan><plan version`},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(dir, "plan.xml")
			changed := strings.ReplaceAll(plan, c.old, c.new)
			if c.old == "" {
				changed = plan
			}
			if (changed == plan) != (c.old == "") {
				t.Fatalf("the plan does not contain %q", c.old)
			}
			if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
				t.Fatal(err)
			}
			r := runToolIn(t, dir, "plan", "check", "plan.xml")
			if want := min(len(r.errorLines()), 1); r.code != want || (want == 0) != (c.old == "") {
				t.Errorf("exit code %d with %d lines on standard error", r.code, len(r.errorLines()))
			}
			checkGolden(t, "plan-faults/"+strings.ReplaceAll(c.name, " ", "-"), append([]string{r.stdout}, r.errorLines()...))
		})
	}
}
