//go:build !slim

package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lichenroad/lab"
	"lichenroad/lab/live"
)

// runCommand runs a command and returns its exit code, its standard output and its standard error.
func runCommand(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = run(args, func(string) string { return "" }, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// TestTools runs valid and invalid commands of the tools, and checks exit codes, output and the number of lines of
// errors.
func TestTools(t *testing.T) {
	dir, controllerDir := t.TempDir(), t.TempDir()
	bad := filepath.Join(dir, "bad.xml")
	text, err := os.ReadFile("../../deploy/plan.xml")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(bad, []byte(strings.NewReplacer(`cap="0.3"`, `cap="0.05"`, `group="goods"`, `group="gold"`).Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args      string
		code      int
		out, errs string
		lines     int // on standard error
	}{
		{"plan check ../../deploy/plan.xml", 0, "ok: 3 services with 8 steps", "", 0},
		{"plan check " + bad, 1, "", "bad.xml:", 5},
		{"plan check /none", 1, "", "none", 1},
		{"plan check", 2, "", "arg", 1},
		{"plan fly x", 2, "", "fly", 1},
		{"plan show ../../deploy/plan.xml --at 2026-12-04T18:30:00Z", 0, "frozen by nights until 2026-12-05T02:00:00Z", "", 0},
		{"plan show ../../deploy/plan.xml --at noon", 2, "", "noon", 1},
		{"plan simulate ../../deploy/plan.xml --faults rain", 2, "", "rain", 1},
		{"plan simulate ../../deploy/plan.xml --without sense", 2, "", "sense", 1},
		{"plan simulate ../../deploy/plan.xml --guard maybe", 2, "", "guard", 1},
		{"plan simulate ../../deploy/plan.xml --days 99", 2, "", "days", 1},
		{"plan simulate " + bad, 1, "", "bad.xml:", 5},
		{"desk status --state " + dir, 1, "", "no release controller runs", 1},
		{"lab ledger " + dir, 1, "", "no *.log", 1},
		{"lab ledger", 2, "", "arg", 1},
		{"desk status", 2, "", "state", 1},
		{"desk back a --state " + dir, 2, "", "why", 1},
		{"desk offer a x --why y --state " + dir, 2, "", "no build", 1},
		{"desk history --state " + dir, 1, "", "journal", 1},
		{"desk run --plan " + bad + " --state " + dir, 1, "", "bad.xml:", 5},
		{"desk run --plan ../../deploy/plan.xml --state " + dir + " --control 10.0.0.1:1", 1, "", "loopback", 1},
		{"controller status --state " + controllerDir, 1, "", "no release controller runs", 1},
		{"controller status", 2, "", "state", 1},
		{"controller back a --state " + controllerDir, 2, "", "why", 1},
		{"controller offer a x --why y --state " + controllerDir, 2, "", "no build", 1},
		{"controller offer a --why y --state " + controllerDir, 2, "", "arg", 1},
		{"controller freeze --why y --state " + controllerDir, 2, "", "arg", 1},
		{"controller dance --state " + controllerDir, 2, "", "dance", 1},
		{"controller history --state " + controllerDir, 1, "", "journal", 1},
		{"controller run --plan " + bad + " --state " + controllerDir, 1, "", "bad.xml:", 5},
		{"controller run --plan ../../deploy/plan.xml --state " + controllerDir + " --control 10.0.0.1:1", 1, "", "loopback", 1},
		{"help controller", 0, "history", "", 0},
		{"desk --help", 0, "Deprecated: use controller", "", 0},
		{"help desk", 0, "Deprecated: use controller", "", 0},
		{"lab planner --listen 0.0.0.0:1", 2, "", "loopback", 1},
		{"serve --plan x", 2, "", "service", 1},
		{"exit-codes", 0, "3  a simulation found", "", 0},
		{"completion bash", 0, "lichenroad", "", 0},
		{"help desk", 0, "history", "", 0},
	} {
		t.Run(c.args, func(t *testing.T) {
			args := strings.Fields(c.args)
			if args[0] != "completion" && args[0] != "help" { // these two do not accept the flag
				args = append(args, "--log-level", "error")
			}
			code, out, errs := runCommand(args...)
			if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errs, c.errs) || strings.Count(errs, "\n") != c.lines {
				t.Errorf("exit %d, output %.300q, errors %q", code, out, errs)
			}
		})
	}
}

// TestSimulate simulates a plan twice with the same result and without violations, and once without the guard, which the
// checker has to notice.
func TestSimulate(t *testing.T) {
	dir := t.TempDir()
	simulate := func(more ...string) (int, map[string]any) {
		file := filepath.Join(dir, "out.json")
		os.Remove(file)
		code, out, errs := runCommand(append([]string{"plan", "simulate", "../../deploy/plan.xml", "--days", "0.45", "--relays", "9", "--planners", "12", "--json", file,
			"--report", dir}, more...)...)
		raw, err := os.ReadFile(file)
		var got map[string]any
		if err != nil || json.Unmarshal(raw, &got) != nil {
			t.Fatalf("no result: exit %d, output %s, errors %s", code, out, errs)
		}
		for _, name := range []string{"releases", "steps", "legs", "broken", "most_of_cap", "held", "timeline_sha256"} {
			if _, ok := got[name]; !ok {
				t.Errorf("the result has no %s", name)
			}
		}
		return code, got
	}
	code, first := simulate()
	_, second := simulate()
	if code != 0 || len(first["broken"].([]any)) != 0 || first["timeline_sha256"] != second["timeline_sha256"] {
		t.Errorf("exit %d, %d violations, timelines %v and %v", code, len(first["broken"].([]any)), first["timeline_sha256"], second["timeline_sha256"])
	}
	if code, unguarded := simulate("--guard", "off"); code != 3 || len(unguarded["broken"].([]any)) == 0 {
		t.Errorf("without the guard: exit %d, want 3 and violations", code)
	}
}

// TestDemo rolls out a good and a bad build with real processes: emulated planners, relays with a guard, and a release
// controller that is killed in the middle of a step. The exposure limit must hold, and no process may be left.
func TestDemo(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	code, out, errs := runCommand("lab", "demo", "--dir", t.TempDir())
	if code != 0 || !strings.Contains(out, "build 2 is released") || !strings.Contains(out, "build 3 was rolled back") {
		t.Errorf("exit %d, output %s, errors %s", code, out, errs)
	}
}

// TestTraces checks and replays a sample of each trace layout: two replays give the same result, byte for byte.
func TestTraces(t *testing.T) {
	dir := t.TempDir()
	byUser := filepath.Join(dir, "by-user.xml")
	text, err := os.ReadFile("../../deploy/mapping.xml")
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(byUser, []byte(strings.Replace(string(text), `by="machine"`, `by="user"`, 1)), 0o600)
	for layout, audit := range map[string]string{"google-2011": "399 rows: 390 taken (0 put back in order), 9 reported; 107 tasks",
		"alibaba-2018": "320 rows: 316 taken (125 put back in order), 4 reported; 316 tasks", "azure-2021": "360 rows: 358 taken (170 put back in order), 2 reported; 358 tasks"} {
		sample := "../../trace/testdata/" + layout + ".csv"
		file := filepath.Join(dir, layout+".json")
		code, out, errs := runCommand("trace", "check", sample, "--layout", layout, "--json", file)
		raw, err := os.ReadFile(file)
		var got struct {
			Rows, Taken int64
			Reported    map[string]int64
		}
		if code != 0 || !strings.Contains(out, audit) || err != nil || json.Unmarshal(raw, &got) != nil || got.Rows == 0 {
			t.Errorf("%s: exit %d, output %s, errors %s", layout, code, out, errs)
		}
		reported := int64(0)
		for _, n := range got.Reported {
			reported += n
		}
		if got.Taken+reported != got.Rows {
			t.Errorf("%s: %d rows taken and %d reported, of %d", layout, got.Taken, reported, got.Rows)
		}
		var runs []string
		for range 2 {
			os.Remove(file)
			code, out, errs = runCommand("trace", "replay", sample, "--layout", layout, "--mapping", byUser, "--json", file, "--seed", "5", "--report", dir)
			raw, err = os.ReadFile(file)
			if code != 0 || err != nil {
				t.Fatalf("%s: exit %d, output %s, errors %s", layout, code, out, errs)
			}
			runs = append(runs, string(raw))
		}
		if runs[0] != runs[1] {
			t.Errorf("%s: two replays of the trace differ", layout)
		}
	}
	if page, err := os.ReadFile(filepath.Join(dir, "replay.html")); err != nil || strings.Count(string(page), "<svg") != 3 {
		t.Error("no report with three charts: ", err)
	}
	bad := filepath.Join(dir, "bad.csv")
	os.WriteFile(bad, []byte("a,b\nc\n"), 0o600)
	for _, c := range []struct {
		args string
		code int
		errs string
	}{
		{"trace check " + bad + " --layout alibaba-2018", 1, "no row could be used"},
		{"trace check " + bad + " --layout azure-2021", 1, "no row could be used"},
		{"trace check /none --layout azure-2021", 1, "none"},
		{"trace check " + bad + " --layout ibm", 2, "ibm"},
		{"trace check --layout ibm", 2, "arg"},
		{"trace check " + bad, 2, "layout"},
		{"trace replay " + bad + " --layout azure-2021", 2, "mapping"},
		{"trace replay " + bad + " --layout azure-2021 --mapping " + bad, 1, "bad.csv:3: empty"},
		{"trace replay " + bad + " --layout azure-2021 --mapping " + byUser, 1, "the trace has no task that could be replayed"},
		{"trace replay ../../trace/testdata/azure-2021.csv --layout azure-2021 --mapping " + byUser + " --relays 0", 1, "relays"},
	} {
		if code, out, errs := runCommand(strings.Fields(c.args)...); code != c.code || !strings.Contains(errs, c.errs) || strings.Count(errs, "\n") != 1 {
			t.Errorf("%s: exit %d, output %s, errors %s", c.args, code, out, errs)
		}
	}
}

// TestLiveReplay replays a sample twice to relay processes: each request is answered or counted as unsent, and the two
// results are close. Then it checks errors, among them that of a sender that was too late.
func TestLiveReplay(t *testing.T) {
	dir := t.TempDir()
	mapping := filepath.Join(dir, "fast.xml")
	text, err := os.ReadFile("../../deploy/mapping.xml")
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(mapping, []byte(strings.NewReplacer(`scale="1"`, `scale="60"`, `most="400ms"`, `most="100ms"`).Replace(string(text))), 0o600)
	args := []string{"trace", "replay", "../../trace/testdata/alibaba-2018.csv", "--layout", "alibaba-2018", "--mapping", mapping, "--live", "--relays", "2",
		"--planners", "4", "--dir", filepath.Join(dir, "state"), "--report", dir}
	var got [2]live.Result
	for i := range got {
		file := filepath.Join(dir, "live.json")
		os.Remove(file)
		code, out, errs := runCommand(append(args, "--json", file, "--late", "1s")...) // a high limit, as a busy machine delays the sender
		raw, err := os.ReadFile(file)
		if code != 0 || err != nil || json.Unmarshal(raw, &got[i]) != nil || !strings.Contains(out, "measured on loopback: 316 queries") {
			t.Fatalf("exit %d, output %s, errors %s, result file: %v", code, out, errs, err)
		}
		if r := got[i]; r.All.Requests != 316 || r.Sender.Sent+r.Sender.Unsent != 316 || r.Unanswered > 0 || r.Attempts < 300 || r.All.ServedFraction < 0.5 {
			t.Errorf("%+v", r)
		}
	}
	if d := got[0].All.ServedFraction - got[1].All.ServedFraction; d > 0.2 || d < -0.2 {
		t.Errorf("the served fractions of two runs differ by %g", d)
	}
	for _, c := range []struct {
		more string
		code int
		errs string
	}{
		{"--late 0s --late-share 0", 1, "invalid: the sender was over 0 s late"}, // every sender is later than that, so this shows that the check works
		{"--late-share 2", 2, "late-share"}, {"--fault slow", 2, "--fault"}, {"--relays 41", 1, "relays"}, {"--mapping /none", 1, "/none"},
	} {
		if code, out, errs := runCommand(append(args, strings.Fields(c.more)...)...); code != c.code || !strings.Contains(errs, c.errs) || strings.Count(errs, "\n") != 1 {
			t.Errorf("%s: exit %d, output %s, errors %s", c.more, code, out, errs)
		}
	}
}

// TestLiveReplayIsEndedBySignal interrupts a replay: the result up to then is printed, the command fails, and no
// process is left.
func TestLiveReplayIsEndedBySignal(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "live.json")
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "LICHENROAD_ARGS=trace replay ../../trace/testdata/alibaba-2018.csv --layout alibaba-2018 --mapping ../../deploy/mapping.xml --live "+
		"--relays 1 --planners 2 --late 1s --dir "+dir+" --json "+file)
	var out, errs strings.Builder
	c.Stdout, c.Stderr = &out, &errs
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if logs, _ := filepath.Glob(filepath.Join(dir, "serve-*.log")); len(logs) == 1 || time.Now().After(until) {
			break
		}
	}
	time.Sleep(time.Second) // time to send some requests; the checks hold for any number
	c.Process.Signal(os.Interrupt)
	err := c.Wait()
	var got live.Result
	raw, _ := os.ReadFile(file)
	if err == nil || c.ProcessState.ExitCode() != 1 || json.Unmarshal(raw, &got) != nil || !got.EndedEarly || got.All.Requests >= 316 ||
		!strings.Contains(errs.String(), "ended by a signal after") || !strings.Contains(out.String(), "measured on loopback") {
		t.Errorf("%v %s %s %+v", err, out.String(), errs.String(), got)
	}
}

// TestShapes writes a trace with each shape of load: the same seed gives the same trace, and every row of it can be used.
func TestShapes(t *testing.T) {
	dir := t.TempDir()
	for _, s := range lab.Shapes {
		var texts [2]string
		for i := range texts {
			file := filepath.Join(dir, s.Name+".csv")
			if code, _, errs := runCommand("lab", "shape", s.Name, file, "--span", "120", "--rate", "20", "--seed", "4"); code != 0 {
				t.Fatal(errs)
			}
			raw, _ := os.ReadFile(file)
			texts[i] = string(raw)
			if code, out, errs := runCommand("trace", "check", file, "--layout", s.Layout); code != 0 || !strings.Contains(out, " 0 reported") {
				t.Errorf("%s: exit %d, output %s, errors %s", s.Name, code, out, errs)
			}
		}
		if n := strings.Count(texts[0], "\n"); texts[0] != texts[1] || n < 1800 || n > 12000 {
			t.Errorf("%s: %d rows, two traces equal: %v", s.Name, n, texts[0] == texts[1])
		}
	}
	for _, args := range [][]string{{"lab", "shape", "round", "x"}, {"lab", "shape", "tails", "x", "--rate", "0"}} {
		if code, _, errs := runCommand(args...); code != 2 || strings.Count(errs, "\n") != 1 {
			t.Errorf("%v: exit %d, errors %s", args, code, errs)
		}
	}
}

const sampleTrace = "../../trace/testdata/alibaba-2018.csv"

// sweeper runs `lab sweep` on the sample trace and reads its result.
type sweeper struct {
	t    *testing.T
	dir  string
	file string
	args []string
}

func newSweeper(t *testing.T) sweeper {
	dir := t.TempDir()
	file := filepath.Join(dir, "sweep.json")
	args := []string{"lab", "sweep", sampleTrace, "--layout", "alibaba-2018", "--mapping", "../../deploy/mapping.xml",
		"--seeds", "3", "--json", file}
	return sweeper{t, dir, file, args}
}

// sweep runs a sweep with further arguments. It fails the test if the result has another number of runs, or a violation.
func (s sweeper) sweep(runs int, args ...string) (result sweepResult, out string) {
	s.t.Helper()
	code, out, errs := runCommand(append(slices.Clone(s.args), args...)...)
	raw, err := os.ReadFile(s.file)
	if code != 0 || err != nil || json.Unmarshal(raw, &result) != nil || len(result.Runs) != runs {
		s.t.Fatalf("%v: exit %d, %v, %d runs, want %d\n%s %s", args, code, err, len(result.Runs), runs, out, errs)
	}
	for _, r := range result.Runs {
		if r.Metrics["broken"] != 0 {
			s.t.Errorf("%v: a run with violations: %+v", args, r)
		}
	}
	return result, out
}

func TestSweepOfPlanners(t *testing.T) {
	_, out := newSweeper(t).sweep(6, "--vary", "planners=2,8")
	if !strings.Contains(out, "planners=8 against planners=2") || !strings.Contains(out, "worst_10s") {
		t.Error(out)
	}
}

// TestSweepOfModules compares the decision module with the baselines, which violate no rule either and still serve at
// least half of the load.
func TestSweepOfModules(t *testing.T) {
	for _, m := range []string{"random", "least-in-flight"} {
		result, _ := newSweeper(t).sweep(6, "--vary", "module=policy,"+m)
		for _, r := range result.Runs {
			if r.Metrics["service"] < 0.5 {
				t.Errorf("a run with a service below 0.5: %+v", r)
			}
		}
	}
}

// TestSweepOfFaults checks that the decision module violates no rule under any fault of the planners.
func TestSweepOfFaults(t *testing.T) {
	s := newSweeper(t)
	s.sweep(3*len(lab.EndpointFaultNames()), "--vary", "fault="+strings.Join(lab.EndpointFaultNames(), ","), "--report", s.dir)
	page, err := os.ReadFile(filepath.Join(s.dir, "sweep.html"))
	if err != nil || strings.Count(string(page), "<svg") != 6 {
		t.Error("no report with six charts: ", err)
	}
}

func TestCompareOfOneSeedIsInconclusive(t *testing.T) {
	one := filepath.Join(t.TempDir(), "one.json")
	runCommand("trace", "replay", sampleTrace, "--layout", "alibaba-2018", "--mapping", "../../deploy/mapping.xml", "--seed", "2", "--json", one)
	if code, out, errs := runCommand("lab", "compare", one, one); code != 0 || !strings.Contains(out, "not told apart") {
		t.Errorf("exit %d, output %s, errors %s", code, out, errs)
	}
}

// TestSweepOfAttempts varies the limit on attempts. Then it checks the errors of invalid commands, such as a comparison
// of a sweep with several values.
func TestSweepOfAttempts(t *testing.T) {
	s := newSweeper(t)
	args, file, sample := s.args, s.file, sampleTrace
	code, out, errs := runCommand(append(args, "--vary", "legs=3,1", "--fault", "failing")...)
	if code != 0 || !strings.Contains(out, "legs=1 against legs=3") {
		t.Errorf("exit %d, output %s, errors %s", code, out, errs)
	}
	one := filepath.Join(t.TempDir(), "one.json")
	runCommand("trace", "replay", sampleTrace, "--layout", "alibaba-2018", "--mapping", "../../deploy/mapping.xml", "--seed", "2", "--json", one)
	for _, c := range []struct {
		args []string
		code int
	}{
		{append(args, "--vary", "planners="), 2}, {append(args, "--vary", "moon=1,2"), 2}, {append(args, "--vary", "relays=a,b"), 2},
		{append(args, "--vary", "module=policy,dice"), 2}, {append(args, "--vary", "fault=none,moon"), 2}, {append(args, "--vary", "legs=1,x"), 2},
		{append(args, "--vary", "cancel=true,perhaps"), 2}, {append(args, "--vary", "legs=1,2", "--fault", "moon"), 2}, {[]string{"lab", "compare", file, one}, 1}, {[]string{"lab", "compare", sample, one}, 1},
		{[]string{"lab", "compare", "/none", one}, 1},
	} {
		if code, out, errs := runCommand(c.args...); code != c.code || strings.Count(errs, "\n") != 1 {
			t.Errorf("%v: exit %d, output %s, errors %s", c.args, code, out, errs)
		}
	}
}
