package trace

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const goodMapping = `<mapping version="1" scale="60" thin="0.5" window="30s">
<category name="urgent"><when field="priority" from="9" to="11"/></category>
<category name="odd"><when field="status" is="failed killed"/></category>
<category name="low"><hash of="job" from="0" to="0.4"/></category>
<customer name="one"><hash of="user" from="0" to="0.5"/></customer>
<customer name="two"/>
<work scale="0.1" least="20ms" most="1s"/><relay by="machine"/><failures as="legs"/></mapping>`

func TestMappingsForm(t *testing.T) {
	lint, _ := exec.LookPath("xmllint")
	for _, c := range []struct {
		name, old, new string
		says           string // none: good
		schema         bool
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
	} {
		text := strings.ReplaceAll(goodMapping, c.old, c.new)
		if c.old == "" {
			text = goodMapping
		}
		_, err := ParseMapping("m.xml", []byte(text))
		if (err == nil) != (c.says == "") || err != nil && (!strings.Contains(err.Error(), c.says) || !strings.HasPrefix(err.Error(), "m.xml:")) {
			t.Errorf("%s: %v", c.name, err)
		}
		if lint == "" {
			if os.Getenv("CI") != "" {
				t.Fatal("CI must have xmllint")
			}
			continue
		}
		file := filepath.Join(t.TempDir(), "m.xml")
		os.WriteFile(file, []byte(text), 0o600)
		if out, err := exec.Command(lint, "--noout", "--nonet", "--schema", "../deploy/mapping.xsd", file).CombinedOutput(); (err != nil) != c.schema {
			t.Errorf("%s: the schema refuses it: %v: %.200s", c.name, err != nil, out)
		}
	}
}

func TestPlaces(t *testing.T) {
	m, err := ParseMapping("m", []byte(goodMapping))
	if err != nil {
		t.Fatal(err)
	}
	base := Task{At: 120, Duration: 5, End: Finished, User: "u", Job: "none", Machine: "m1", Priority: 1, HasPriority: true}
	with := func(f func(*Task)) *Task { x := base; f(&x); return &x }
	low := ""
	for _, j := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		if hashShare(j) < 0.4 {
			low = j
		} else {
			base.Job = j
		}
	}
	for _, c := range []struct {
		name     string
		task     *Task
		category int
		why      Reason
	}{
		{"priority", with(func(x *Task) { x.Priority = 9 }), 0, Accepted},
		{"status", with(func(x *Task) { x.End = Killed }), 1, Accepted},
		{"hash", with(func(x *Task) { x.Job = low }), 2, Accepted},
		{"none", with(func(x *Task) {}), 0, NoClass},
		{"no priority in the layout", with(func(x *Task) { x.HasPriority = false }), 0, "missing_priority"},
		{"no machine", with(func(x *Task) { x.Priority, x.Machine = 10, "" }), 0, "missing_machine"},
		{"no user", with(func(x *Task) { x.Priority, x.User = 10, "" }), 0, Accepted}, // the last customer takes all
	} {
		q, why := m.Place(c.task)
		if why != c.why || why == Accepted && q.Class != c.category {
			t.Errorf("%s: %+v %q", c.name, q, why)
		}
	}
	q, _ := m.Place(with(func(x *Task) { x.End, x.FailedRuns, x.Duration = Failed, 2, 100 }))
	if q.At != 2 || q.Work != 1 || q.FailedAttempts != 3 {
		t.Errorf("%+v", q)
	}
	if q, _ = m.Place(with(func(x *Task) { x.Priority, x.Duration = 9, 0 })); q.Work != 0.02 || q.FailedAttempts != 0 {
		t.Errorf("%+v", q)
	}
	if m, err = ParseMapping("m", []byte(strings.Replace(goodMapping, `as="legs"`, `as="hours" for="5s" part="0.8"`, 1))); err != nil {
		t.Fatal(err)
	}
	if q, why := m.Place(with(func(x *Task) { x.End = Failed })); why != Accepted || q.FailedAttempts != 0 || q.FaultTime != 5 || q.FaultShare != 0.8 || q.Machine == 0 {
		t.Errorf("%+v %q", q, why)
	}
	if q, _ := m.Place(with(func(x *Task) { x.Priority = 9 })); q.FaultTime != 0 {
		t.Errorf("a good run begins a bad hour: %+v", q)
	}
	if m, err = ParseMapping("m", []byte(strings.NewReplacer(`as="legs"`, `as="hours" for="5s" part="0.8"`, `by="machine"`, `by="job"`).Replace(goodMapping))); err != nil {
		t.Fatal(err)
	}
	if _, why := m.Place(with(func(x *Task) { x.End, x.Machine = Failed, "" })); why != "missing_machine" {
		t.Errorf("whose hour it is was guessed: %q", why)
	}
	kept, same := 0, true
	for i := range 2000 {
		x := with(func(x *Task) { x.Line = int64(i) })
		if m.Sampled(x, 3) {
			kept++
		}
		same = same && m.Sampled(x, 3) == m.Sampled(x, 4)
	}
	if kept < 900 || kept > 1100 || same {
		t.Errorf("%d of 2000 kept at a half", kept)
	}
}
