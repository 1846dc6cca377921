package trace

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"lichenroad/internal/xmlconfig"
)

const goodMapping = `<mapping version="1" scale="60" thin="0.5" window="30s">
<category name="urgent"><when field="priority" from="9" to="11"/></category>
<category name="odd"><when field="status" is="failed killed"/></category>
<category name="low"><hash of="job" from="0" to="0.4"/></category>
<customer name="one"><hash of="user" from="0" to="0.5"/></customer>
<customer name="two"/>
<work scale="0.1" least="20ms" most="1s"/><relay by="machine"/><failures as="legs"/></mapping>`

// mappingCases are held to by the reader and, where the schema can see the fault, by the schema.
var mappingCases = []struct {
	name     string
	old, new string // what is replaced in the good mapping
	says     string // part of a fault's text; empty: no fault
	inSchema bool   // the schema refuses it too
}{
	{"whole", "", "", "", false},
	{"another version", `version="1"`, `version="3"`, "version", true},
	{"no work", `<work scale="0.1" least="20ms" most="1s"/>`, ``, "one <work> is needed", false},
	{"two relays", `<relay by="machine"/>`, `<relay by="machine"/><relay by="user"/>`, "one <relay>", false},
	{"by what", `by="machine"`, `by="moon"`, "moon", true},
	{"no such field", `field="priority"`, `field="colour"`, "colour", true},
	{"a word without is", `field="status" is="failed killed"`, `field="status" from="1"`, "needs is", false},
	{"both", `from="9" to="11"`, `from="9" is="x"`, "either is", false},
	{"neither", `field="status" is="failed killed"`, `field="status"`, "either is", false},
	{"a hash past one", `from="0" to="0.4"`, `from="0" to="1.4"`, "from 0 to 1", false},
	{"turned round", `from="9" to="11"`, `from="11" to="9"`, "above to", false},
	{"least above most", `least="20ms"`, `least="2s"`, "less than least", false},
	{"twice a category", `name="odd"`, `name="urgent"`, "twice", false},
	{"thin of two", `thin="0.5"`, `thin="2"`, "thin", false},
	{"unknown element", `<customer name="two"/>`, `<customer name="two"/><cat/>`, "not known", true},
	{"hours", `as="legs"`, `as="hours" for="5s" part="0.8"`, "", false},
	{"hours without their length", `as="legs"`, `as="hours" part="0.8"`, "for and part", false},
	{"legs with a length", `as="legs"`, `as="legs" for="5s"`, "for and part", false},
	{"hours of more than all", `as="legs"`, `as="hours" for="5s" part="1.5"`, "part", true},
	{"no customers", `customer`, `client`, "not known", true},
}

func mappingText(old, replacement string) string {
	if old == "" {
		return goodMapping
	}
	return strings.ReplaceAll(goodMapping, old, replacement)
}

func TestParseMapping(t *testing.T) {
	for _, c := range mappingCases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseMapping("m.xml", []byte(mappingText(c.old, c.new)))
			if c.says == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			var faults *xmlconfig.Error
			if !errors.As(err, &faults) || !strings.Contains(err.Error(), c.says) || !strings.HasPrefix(err.Error(), "m.xml:") {
				t.Errorf("wanted %q: %v", c.says, err)
			}
		})
	}
}

// TestMappingSchema holds the schema to the same cases, by the validator of libxml2, which CI installs.
func TestMappingSchema(t *testing.T) {
	lint, err := exec.LookPath("xmllint")
	if err != nil {
		if os.Getenv("CI") != "" {
			t.Fatal("CI must have xmllint")
		}
		t.Skip("no xmllint here")
	}
	for _, c := range mappingCases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "m.xml")
			if err := os.WriteFile(file, []byte(mappingText(c.old, c.new)), 0o600); err != nil {
				t.Fatal(err)
			}
			out, err := exec.Command(lint, "--noout", "--nonet", "--schema", "../deploy/mapping.xsd", file).CombinedOutput()
			if refused := err != nil; refused != c.inSchema {
				t.Errorf("refused by the schema: %v, wanted %v: %.200s", refused, c.inSchema, out)
			}
		})
	}
}

func TestLoadMapping(t *testing.T) {
	if _, err := LoadMapping("../deploy/mapping.xml"); err != nil {
		t.Error("the example:", err)
	}
	if _, err := LoadMapping(filepath.Join(t.TempDir(), "absent.xml")); !errors.Is(err, fs.ErrNotExist) {
		t.Error("an absent file:", err)
	}
}

// placed is a task that the last rules of goodMapping don't reach: its job is not in the share of "low".
func placed(t *testing.T, change func(*Task)) *Task {
	t.Helper()
	task := Task{At: 120, Duration: 5, Outcome: Finished, User: "u", Job: jobWithHash(t, false), Machine: "m1", Priority: 1, HasPriority: true}
	change(&task)
	return &task
}

// jobWithHash gives a job whose hash lies in the share of "low", or one whose hash does not.
func jobWithHash(t *testing.T, low bool) string {
	t.Helper()
	for _, job := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		if (hashShare(job) < 0.4) == low {
			return job
		}
	}
	t.Fatal("no such job")
	return ""
}

func parseMapping(t *testing.T, text string) *Mapping {
	t.Helper()
	m, err := ParseMapping("m", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestPlace(t *testing.T) {
	m := parseMapping(t, goodMapping)
	for _, c := range []struct {
		name   string
		change func(*Task)
		class  int
		reason Reason
	}{
		{"priority", func(task *Task) { task.Priority = 9 }, 0, Accepted},
		{"status", func(task *Task) { task.Outcome = Killed }, 1, Accepted},
		{"hash", func(task *Task) { task.Job = jobWithHash(t, true) }, 2, Accepted},
		{"none", func(task *Task) {}, 0, NoClass},
		{"no priority in the layout", func(task *Task) { task.HasPriority = false }, 0, "missing_priority"},
		{"no machine", func(task *Task) { task.Priority, task.Machine = 10, "" }, 0, "missing_machine"},
		// The last tenant takes all.
		{"no user", func(task *Task) { task.Priority, task.User = 10, "" }, 0, Accepted},
	} {
		t.Run(c.name, func(t *testing.T) {
			request, reason := m.RequestFor(placed(t, c.change))
			if reason != c.reason || reason == Accepted && request.Class != c.class {
				t.Errorf("%+v %q", request, reason)
			}
		})
	}
	request, _ := m.RequestFor(placed(t, func(task *Task) { task.Outcome, task.FailedRuns, task.Duration = Failed, 2, 100 }))
	if request.At != 2 || request.Work != 1 || request.FailedAttempts != 3 {
		t.Errorf("a long task that failed: %+v", request)
	}
	request, _ = m.RequestFor(placed(t, func(task *Task) { task.Priority, task.Duration = 9, 0 }))
	if request.Work != 0.02 || request.FailedAttempts != 0 {
		t.Errorf("a short task: %+v", request)
	}
}

func TestFailuresAsFaults(t *testing.T) {
	asFaults := strings.NewReplacer(`as="legs"`, `as="hours" for="5s" part="0.8"`)
	m := parseMapping(t, asFaults.Replace(goodMapping))
	request, reason := m.RequestFor(placed(t, func(task *Task) { task.Outcome = Failed }))
	if reason != Accepted || request.FailedAttempts != 0 || request.FaultDuration != 5 || request.FailureRate != 0.8 || request.MachineHash == 0 {
		t.Errorf("%+v %q", request, reason)
	}
	if request, _ := m.RequestFor(placed(t, func(task *Task) { task.Priority = 9 })); request.FaultDuration != 0 {
		t.Errorf("a good run begins a fault: %+v", request)
	}
	byJob := strings.NewReplacer(`as="legs"`, `as="hours" for="5s" part="0.8"`, `by="machine"`, `by="job"`)
	m = parseMapping(t, byJob.Replace(goodMapping))
	if _, reason := m.RequestFor(placed(t, func(task *Task) { task.Outcome, task.Machine = Failed, "" })); reason != "missing_machine" {
		t.Errorf("whose fault it is was guessed: %q", reason)
	}
}

func TestSampled(t *testing.T) {
	m := parseMapping(t, goodMapping)
	sampled, same := 0, true
	for i := range 2000 {
		task := placed(t, func(task *Task) { task.Line = int64(i) })
		if m.Sampled(task, 3) {
			sampled++
		}
		same = same && m.Sampled(task, 3) == m.Sampled(task, 4)
	}
	if sampled < 900 || sampled > 1100 || same {
		t.Errorf("%d of 2000 sampled at a half; the same with another seed: %v", sampled, same)
	}
}
