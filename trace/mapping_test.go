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

// validMapping is the mapping that the cases change.
const validMapping = `<mapping version="1" scale="60" thin="0.5" window="30s">
<category name="urgent"><when field="priority" from="9" to="11"/></category>
<category name="odd"><when field="status" is="failed killed"/></category>
<category name="low"><hash of="job" from="0" to="0.4"/></category>
<customer name="one"><hash of="user" from="0" to="0.5"/></customer>
<customer name="two"/>
<work scale="0.1" least="20ms" most="1s"/><relay by="machine"/><failures as="legs"/></mapping>`

// mappingCases apply to ParseMapping and, for faults that XML Schema can express, to deploy/mapping.xsd.
var mappingCases = []struct {
	name     string
	old, new string // text that is replaced in validMapping, and its replacement
	fault    string // part of the text of a fault; empty: no fault
	inSchema bool   // the schema rejects it too
}{
	{"valid", "", "", "", false},
	{"another version", `version="1"`, `version="3"`, "version", true},
	{"no work", `<work scale="0.1" least="20ms" most="1s"/>`, ``, "exactly one <work> is required, got 0", false},
	{"two relays", `<relay by="machine"/>`, `<relay by="machine"/><relay by="user"/>`, "exactly one <relay> is required, got 2", false},
	{"relay by an unknown field", `by="machine"`, `by="moon"`, "moon", true},
	{"when with an unknown field", `field="priority"`, `field="colour"`, "colour", true},
	{"a range of strings", `field="status" is="failed killed"`, `field="status" from="1"`, "requires is", false},
	{"values and a range", `from="9" to="11"`, `from="9" is="x"`, "either is", false},
	{"neither values nor a range", `field="status" is="failed killed"`, `field="status"`, "either is", false},
	{"a hash above 1", `from="0" to="0.4"`, `from="0" to="1.4"`, "between 0 and 1", false},
	{"range ends reversed", `from="9" to="11"`, `from="11" to="9"`, "greater than to", false},
	{"least above most", `least="20ms"`, `least="2s"`, "less than least", false},
	{"two categories of one name", `name="odd"`, `name="urgent"`, "twice", false},
	{"thin above 1", `thin="0.5"`, `thin="2"`, "thin", false},
	{"unknown element", `<customer name="two"/>`, `<customer name="two"/><cat/>`, "not known", true},
	{"failures as hours", `as="legs"`, `as="hours" for="5s" part="0.8"`, "", false},
	{"hours without for", `as="legs"`, `as="hours" part="0.8"`, "for and part", false},
	{"legs with for", `as="legs"`, `as="legs" for="5s"`, "for and part", false},
	{"part above 1", `as="legs"`, `as="hours" for="5s" part="1.5"`, "part", true},
	{"an unknown element for customers", `customer`, `client`, "not known", true},
}

func mappingText(old, replacement string) string {
	if old == "" {
		return validMapping
	}
	return strings.ReplaceAll(validMapping, old, replacement)
}

func TestParseMapping(t *testing.T) {
	for _, c := range mappingCases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseMapping("m.xml", []byte(mappingText(c.old, c.new)))
			if c.fault == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			var faults *xmlconfig.Error
			if !errors.As(err, &faults) || !strings.Contains(err.Error(), c.fault) || !strings.HasPrefix(err.Error(), "m.xml:") {
				t.Errorf("want a fault that contains %q, got %v", c.fault, err)
			}
		})
	}
}

// TestMappingSchema checks deploy/mapping.xsd with the same cases. It needs xmllint of libxml2, which CI installs.
func TestMappingSchema(t *testing.T) {
	lint, err := exec.LookPath("xmllint")
	if err != nil {
		if os.Getenv("CI") != "" {
			t.Fatal("CI must have xmllint")
		}
		t.Skip("xmllint is not installed")
	}
	for _, c := range mappingCases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "m.xml")
			if err := os.WriteFile(file, []byte(mappingText(c.old, c.new)), 0o600); err != nil {
				t.Fatal(err)
			}
			out, err := exec.Command(lint, "--noout", "--nonet", "--schema", "../deploy/mapping.xsd", file).CombinedOutput()
			if rejected := err != nil; rejected != c.inSchema {
				t.Errorf("rejected by the schema: %v, want %v: %.200s", rejected, c.inSchema, out)
			}
		})
	}
}

func TestLoadMapping(t *testing.T) {
	if _, err := LoadMapping("../deploy/mapping.xml"); err != nil {
		t.Error("the example in deploy:", err)
	}
	if _, err := LoadMapping(filepath.Join(t.TempDir(), "absent.xml")); !errors.Is(err, fs.ErrNotExist) {
		t.Error("an absent file:", err)
	}
}

// testTask returns a task that matches no category of validMapping until change sets a field: its job is not in the hash
// range of "low".
func testTask(t *testing.T, change func(*Task)) *Task {
	t.Helper()
	task := Task{At: 120, Duration: 5, Outcome: Finished, User: "u", Job: jobWithHash(t, false), Machine: "m1", Priority: 1, HasPriority: true}
	change(&task)
	return &task
}

// jobWithHash returns a job whose hash lies in the range of the category "low" of validMapping, or one whose hash does not.
func jobWithHash(t *testing.T, low bool) string {
	t.Helper()
	for _, job := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		if (hashFraction(job) < 0.4) == low {
			return job
		}
	}
	t.Fatalf("no job with low %v", low)
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

func TestRequestFor(t *testing.T) {
	m := parseMapping(t, validMapping)
	for _, c := range []struct {
		name   string
		change func(*Task)
		class  int
		reason Reason
	}{
		{"priority", func(task *Task) { task.Priority = 9 }, 0, Accepted},
		{"status", func(task *Task) { task.Outcome = Killed }, 1, Accepted},
		{"hash", func(task *Task) { task.Job = jobWithHash(t, true) }, 2, Accepted},
		{"no category matches", func(task *Task) {}, 0, NoClass},
		{"no priority in the layout", func(task *Task) { task.HasPriority = false }, 0, "missing_priority"},
		{"no machine", func(task *Task) { task.Priority, task.Machine = 10, "" }, 0, "missing_machine"},
		// The last tenant has no conditions and matches all tasks.
		{"no user", func(task *Task) { task.Priority, task.User = 10, "" }, 0, Accepted},
	} {
		t.Run(c.name, func(t *testing.T) {
			request, reason := m.RequestFor(testTask(t, c.change))
			if reason != c.reason || reason == Accepted && request.Class != c.class {
				t.Errorf("got %+v, reason %q; want class %d, reason %q", request, reason, c.class, c.reason)
			}
		})
	}
	request, _ := m.RequestFor(testTask(t, func(task *Task) { task.Outcome, task.FailedRuns, task.Duration = Failed, 2, 100 }))
	if request.At != 2 || request.Work != 1 || request.FailedAttempts != 3 {
		t.Errorf("a long task that failed: %+v", request)
	}
	request, _ = m.RequestFor(testTask(t, func(task *Task) { task.Priority, task.Duration = 9, 0 }))
	if request.Work != 0.02 || request.FailedAttempts != 0 {
		t.Errorf("a short task: %+v", request)
	}
}

func TestFailuresAsFaults(t *testing.T) {
	asFaults := strings.NewReplacer(`as="legs"`, `as="hours" for="5s" part="0.8"`)
	m := parseMapping(t, asFaults.Replace(validMapping))
	request, reason := m.RequestFor(testTask(t, func(task *Task) { task.Outcome = Failed }))
	if reason != Accepted || request.FailedAttempts != 0 || request.FaultDuration != 5 || request.FailureRate != 0.8 || request.MachineHash == 0 {
		t.Errorf("got %+v, reason %q; want a fault of 5 s", request, reason)
	}
	if request, _ := m.RequestFor(testTask(t, func(task *Task) { task.Priority = 9 })); request.FaultDuration != 0 {
		t.Errorf("a successful task starts a fault: %+v", request)
	}
	byJob := strings.NewReplacer(`as="legs"`, `as="hours" for="5s" part="0.8"`, `by="machine"`, `by="job"`)
	m = parseMapping(t, byJob.Replace(validMapping))
	if _, reason := m.RequestFor(testTask(t, func(task *Task) { task.Outcome, task.Machine = Failed, "" })); reason != "missing_machine" {
		t.Errorf("a failed task without a machine: got reason %q, want missing_machine", reason)
	}
}

func TestSampled(t *testing.T) {
	m := parseMapping(t, validMapping)
	sampled, same := 0, true
	for i := range 2000 {
		task := testTask(t, func(task *Task) { task.Line = int64(i) })
		if m.Sampled(task, 3) {
			sampled++
		}
		same = same && m.Sampled(task, 3) == m.Sampled(task, 4)
	}
	if sampled < 900 || sampled > 1100 || same {
		t.Errorf("%d of 2000 tasks sampled, want about half; same sample with another seed: %v", sampled, same)
	}
}
