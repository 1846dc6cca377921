package trace

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lichenroad/internal/xmlconfig"
)

// Reasons why a task has no place. They are reported beside those of the rows.
const (
	NoClass  Reason = "no_category"
	NoTenant Reason = "no_customer"
)

// Query is what a task becomes.
type Request struct {
	At             Seconds // of the replay
	Class          int     // place in the mapping's list
	Tenant         int
	Work           Seconds // on a core of speed 1
	Relay          uint64  // a hash: the same for what should go through the same relay
	FailedAttempts int     // legs of it that fail before one may be honoured
	Machine        uint64  // a hash of the machine whose planner has a bad hour,
	FaultTime      Seconds // for so long,
	FaultShare     float64 // with so much of its queries
}

// Failures says what the failures of a trace become.
type Failures int

const (
	FailuresIgnored    Failures = iota
	FailuresAsAttempts          // a run that failed or was evicted is a leg that fails
	FailuresAsFaults            // it begins a bad hour of the planner that its machine stands for
)

// Mapping says which tasks become which queries. Nothing is guessed: what no rule places is reported.
type Mapping struct {
	Classes     []string
	Tenants     []string
	Window      Seconds
	Scale       float64 // seconds of the trace to one of the replay
	SampleShare float64 // part of the tasks that is played

	classRules  []rule
	tenantRules []rule
	work        struct{ scale, least, most float64 }
	relay       field
	failures    Failures
	hour        struct{ last, part float64 }
}

// rule places a task where all of its conditions hold.
type rule struct{ when []condition }

// condition looks at a field: a word of a list, a number in a range, or a hash in a part of all.
type condition struct {
	of       field
	words    []string
	hash     bool
	from, to float64
}

type field int

const (
	fieldClass field = iota
	fieldPriority
	fieldKind
	fieldStatus
	fieldUser
	fieldJob
	fieldMachine
	fieldDuration
)

var fields = map[string]field{"class": fieldClass, "priority": fieldPriority, "kind": fieldKind, "status": fieldStatus, "user": fieldUser, "job": fieldJob,
	"machine": fieldMachine, "duration": fieldDuration}

var fieldNames = [...]string{fieldClass: "class", fieldPriority: "priority", fieldKind: "kind", fieldStatus: "status", fieldUser: "user", fieldJob: "job",
	fieldMachine: "machine", fieldDuration: "duration"}

// word gives a field as a word, and whether the task has it.
func (t *Task) word(f field) (string, bool) {
	switch f {
	case fieldKind:
		return t.Kind, t.Kind != ""
	case fieldStatus:
		return t.End.String(), true
	case fieldUser:
		return t.User, t.User != ""
	case fieldJob:
		return t.Job, t.Job != ""
	case fieldMachine:
		return t.Machine, t.Machine != ""
	}
	n, ok := t.number(f)
	return strconv.FormatFloat(n, 'g', -1, 64), ok
}

func (t *Task) number(f field) (float64, bool) {
	switch f {
	case fieldClass:
		return float64(t.Class), t.HasPriority
	case fieldPriority:
		return float64(t.Priority), t.HasPriority
	case fieldDuration:
		return t.Duration, true
	}
	return 0, false
}

// part is the place of a word's hash among all, from 0 to 1.
func hashShare(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

// holds says whether a condition holds; a task without the field is reported as missing it.
func (c *condition) holds(t *Task) (bool, Reason) {
	if len(c.words) > 0 || c.hash {
		w, ok := t.word(c.of)
		if !ok {
			return false, missing(fieldNames[c.of])
		}
		if c.hash {
			x := hashShare(w)
			return x >= c.from && x < c.to, Accepted
		}
		return slices.Contains(c.words, w), Accepted
	}
	n, ok := t.number(c.of)
	if !ok {
		return false, missing(fieldNames[c.of])
	}
	return n >= c.from && n <= c.to, Accepted
}

// pick gives the first rule that a task fits.
func firstMatch(rules []rule, t *Task, none Reason) (int, Reason) {
	why := none
next:
	for i := range rules {
		for k := range rules[i].when {
			ok, lacks := rules[i].when[k].holds(t)
			if lacks != Accepted && why == none {
				why = lacks
			}
			if !ok {
				continue next
			}
		}
		return i, Accepted
	}
	return -1, why
}

// Place gives the query that a task becomes, or why it becomes none.
func (m *Mapping) Place(t *Task) (q Request, why Reason) {
	if q.Class, why = firstMatch(m.classRules, t, NoClass); why != Accepted {
		return q, why
	}
	if q.Tenant, why = firstMatch(m.tenantRules, t, NoTenant); why != Accepted {
		return q, why
	}
	w, ok := t.word(m.relay)
	if !ok {
		return q, missing(fieldNames[m.relay])
	}
	q.Relay = xxhash.Sum64String(w)
	q.At = t.At / m.Scale
	q.Work = math.Min(math.Max(t.Duration*m.work.scale, m.work.least), m.work.most)
	fails := t.FailedRuns
	if t.End == Failed || t.End == Evicted {
		fails++
	}
	switch {
	case m.failures == FailuresAsAttempts:
		q.FailedAttempts = fails
	case m.failures == FailuresAsFaults && fails > 0:
		if t.Machine == "" {
			return q, missing(fieldNames[fieldMachine])
		}
		q.Machine, q.FaultTime, q.FaultShare = xxhash.Sum64String(t.Machine), m.hour.last, m.hour.part
	}
	return q, Accepted
}

// Kept says whether a task is among the part that is played. It goes by seed and task, not by what came before it.
func (m *Mapping) Sampled(t *Task, seed int64) bool {
	return m.SampleShare >= 1 || hashShare(fmt.Sprintf("%d %s %d %g", seed, t.Job, t.Line, t.At)) < m.SampleShare
}

var mappingForms = map[string]xmlconfig.ElementSchema{
	"mapping":  {Required: []string{"version"}, Optional: []string{"scale", "thin", "window"}, Children: []string{"category", "customer", "work", "relay", "failures"}},
	"category": {Required: []string{"name"}, Children: []string{"when", "hash"}},
	"customer": {Required: []string{"name"}, Children: []string{"when", "hash"}},
	"when":     {Required: []string{"field"}, Optional: []string{"is", "from", "to"}},
	"hash":     {Required: []string{"of", "from", "to"}},
	"work":     {Required: []string{"scale", "least", "most"}},
	"relay":    {Required: []string{"by"}},
	"failures": {Required: []string{"as"}, Optional: []string{"for", "part"}},
}

// LoadMapping reads a mapping's file. Its error is *form.Faults where the file could be read but is no mapping.
func LoadMapping(path string) (*Mapping, error) {
	raw, err := xmlconfig.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseMapping(path, raw)
}

// ParseMapping reads a mapping and names all of its faults.
func ParseMapping(file string, raw []byte) (*Mapping, error) {
	r := &xmlconfig.Reader{Root: "mapping", Schema: mappingForms}
	m := &Mapping{}
	if root := r.Parse(raw); root != nil {
		m.read(r, root)
	}
	if err := r.Err(file); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Mapping) read(r *xmlconfig.Reader, root *xmlconfig.Node) {
	if v, ok := root.Attrs["version"]; ok && v != "1" {
		r.AddFault(root, "version: %.20q is not known, 1 is", v)
	}
	m.Scale, m.SampleShare, m.Window = r.Number(root, "scale", 1, 1e-6, 1e6), r.Number(root, "thin", 1, 0, 1), r.Seconds(root, "window", 60)
	m.Classes, m.classRules = rules(r, root, "category")
	m.Tenants, m.tenantRules = rules(r, root, "customer")
	one := func(name string) *xmlconfig.Node {
		list := root.ChildrenNamed(name)
		if len(list) != 1 {
			r.AddFault(root, "one <%s> is needed, %d are there", name, len(list))
			return nil
		}
		return list[0]
	}
	if n := one("work"); n != nil {
		m.work.scale = r.Number(n, "scale", 1, 0, 1e6)
		m.work.least, m.work.most = r.Seconds(n, "least", 0), r.Seconds(n, "most", 0)
		if m.work.most < m.work.least {
			r.AddFault(n, "most: less than least")
		}
	}
	if n := one("relay"); n != nil {
		m.relay = xmlconfig.Enum(r, n, "by", fieldJob, map[string]field{"machine": fieldMachine, "user": fieldUser, "job": fieldJob})
	}
	if n := one("failures"); n != nil {
		m.failures = xmlconfig.Enum(r, n, "as", FailuresIgnored, map[string]Failures{"none": FailuresIgnored, "legs": FailuresAsAttempts, "hours": FailuresAsFaults})
		m.hour.last, m.hour.part = r.Seconds(n, "for", 0), r.Number(n, "part", 0, 0, 1)
		_, hasFor := n.Attrs["for"]
		_, hasPart := n.Attrs["part"]
		if hours := m.failures == FailuresAsFaults; hours != hasFor || hours != hasPart {
			r.AddFault(n, "for and part: needed where failures are hours, and only there")
		}
	}
}

func rules(r *xmlconfig.Reader, root *xmlconfig.Node, kind string) (names []string, out []rule) {
	taken := map[string]bool{}
	for _, n := range root.ChildrenNamed(kind) {
		names = append(names, r.UniqueName(n, taken))
		var x rule
		for _, k := range n.Children {
			x.when = append(x.when, conditionOf(r, k))
		}
		out = append(out, x)
	}
	if len(out) == 0 {
		r.AddFault(root, "no <%s>", kind)
	}
	return names, out
}

// conditionOf reads one condition.
func conditionOf(r *xmlconfig.Reader, n *xmlconfig.Node) (c condition) {
	name := "field"
	if c.hash = n.Name == "hash"; c.hash {
		name = "of"
	}
	c.of = xmlconfig.Enum(r, n, name, fieldJob, fields)
	c.from, c.to = r.Number(n, "from", math.Inf(-1), -1e12, 1e12), r.Number(n, "to", math.Inf(1), -1e12, 1e12)
	is, words := n.Attrs["is"]
	c.words = strings.Fields(is)
	_, from := n.Attrs["from"]
	_, to := n.Attrs["to"]
	number := c.of == fieldClass || c.of == fieldPriority || c.of == fieldDuration
	switch {
	case c.hash && (c.from < 0 || c.to > 1):
		r.AddFault(n, "from and to: a hash lies from 0 to 1")
	case c.hash:
	case words && (from || to) || !words && !from && !to:
		r.AddFault(n, "either is, or from and to")
	case words && len(c.words) == 0:
		r.AddFault(n, "is: no words")
	case !words && !number:
		r.AddFault(n, "%s is a word: it needs is", fieldNames[c.of])
	}
	if c.from > c.to {
		r.AddFault(n, "from: above to")
	}
	return c
}
