package trace

import (
	"math"
	"strings"

	"lichenroad/internal/xmlconfig"
)

// mappingSchema defines which attributes and children each element of a mapping may have. deploy/mapping.xsd defines the
// same; a test checks both with the same cases.
var mappingSchema = map[string]xmlconfig.ElementSchema{
	"mapping": {Required: []string{"version"}, Optional: []string{"scale", "thin", "window"},
		Children: []string{"category", "customer", "work", "relay", "failures"}},
	"category": {Required: []string{"name"}, Children: []string{"when", "hash"}},
	"customer": {Required: []string{"name"}, Children: []string{"when", "hash"}},
	"when":     {Required: []string{"field"}, Optional: []string{"is", "from", "to"}},
	"hash":     {Required: []string{"of", "from", "to"}},
	"work":     {Required: []string{"scale", "least", "most"}},
	"relay":    {Required: []string{"by"}},
	"failures": {Required: []string{"as"}, Optional: []string{"for", "part"}},
}

// Limits of numbers in a mapping.
const (
	minScale = 1e-6
	maxScale = 1e6
	maxBound = 1e12 // of the ends of a range, absolute
	minHash  = 0
	maxHash  = 1
)

// relayFields holds the fields that may determine the relay, by their names in a mapping.
var relayFields = map[string]field{"machine": fieldMachine, "user": fieldUser, "job": fieldJob}

// failureModes holds the values of the attribute as of <failures>.
var failureModes = map[string]Failures{"none": FailuresIgnored, "legs": FailuresAsAttempts, "hours": FailuresAsFaults}

var fieldsByName = func() map[string]field {
	byName := map[string]field{}
	for f, name := range fieldNames {
		byName[name] = field(f)
	}
	return byName
}()

// LoadMapping reads a mapping from a file. If the file was read but is not a valid mapping, the error is an *xmlconfig.Error.
func LoadMapping(path string) (*Mapping, error) {
	raw, err := xmlconfig.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseMapping(path, raw)
}

// ParseMapping parses a mapping. The error is an *xmlconfig.Error that names the file and lists all faults.
func ParseMapping(file string, raw []byte) (*Mapping, error) {
	r := mappingReader{Reader: xmlconfig.Reader{Root: "mapping", Schema: mappingSchema}}
	if root := r.Parse(raw); root != nil {
		r.readMapping(root)
	}
	if err := r.Err(file); err != nil {
		return nil, err
	}
	return &r.mapping, nil
}

// mappingReader fills in a mapping and collects the faults.
type mappingReader struct {
	xmlconfig.Reader
	mapping Mapping
}

func (r *mappingReader) readMapping(root *xmlconfig.Node) {
	if version, ok := root.Attrs["version"]; ok && version != "1" {
		r.AddFault(root, "version: %.20q is not known, 1 is", version)
	}
	m := &r.mapping
	m.Scale = r.Number(root, "scale", 1, minScale, maxScale)
	m.SampleShare = r.Number(root, "thin", 1, 0, 1)
	m.Window = r.Seconds(root, "window", 60)
	m.Classes, m.classRules = r.readRules(root, "category")
	m.Tenants, m.tenantRules = r.readRules(root, "customer")
	if node := r.onlyChild(root, "work"); node != nil {
		r.readWork(node)
	}
	if node := r.onlyChild(root, "relay"); node != nil {
		m.relayField = xmlconfig.Enum(&r.Reader, node, "by", fieldJob, relayFields)
	}
	if node := r.onlyChild(root, "failures"); node != nil {
		r.readFailures(node)
	}
}

// onlyChild returns the only child of a name. If there isn't exactly one, it adds a fault and returns nil.
func (r *mappingReader) onlyChild(root *xmlconfig.Node, name string) *xmlconfig.Node {
	children := root.ChildrenNamed(name)
	if len(children) != 1 {
		r.AddFault(root, "exactly one <%s> is required, got %d", name, len(children))
		return nil
	}
	return children[0]
}

func (r *mappingReader) readWork(node *xmlconfig.Node) {
	m := &r.mapping
	m.workScale = r.Number(node, "scale", 1, 0, maxScale)
	m.minWork, m.maxWork = r.Seconds(node, "least", 0), r.Seconds(node, "most", 0)
	if m.maxWork < m.minWork {
		r.AddFault(node, "most: less than least")
	}
}

func (r *mappingReader) readFailures(node *xmlconfig.Node) {
	m := &r.mapping
	m.failures = xmlconfig.Enum(&r.Reader, node, "as", FailuresIgnored, failureModes)
	m.faultDuration, m.failureRate = r.Seconds(node, "for", 0), r.Number(node, "part", 0, 0, 1)
	_, hasTime := node.Attrs["for"]
	_, hasShare := node.Attrs["part"]
	if asFaults := m.failures == FailuresAsFaults; asFaults != hasTime || asFaults != hasShare {
		r.AddFault(node, `for and part: required if as is "hours", not allowed otherwise`)
	}
}

// readRules reads all children of a name: the values of their name attributes and their rules, in the same order.
func (r *mappingReader) readRules(root *xmlconfig.Node, element string) ([]string, []rule) {
	var names []string
	var rules []rule
	taken := map[string]bool{}
	for _, node := range root.ChildrenNamed(element) {
		names = append(names, r.UniqueName(node, taken))
		var conditions []condition
		for _, child := range node.Children {
			conditions = append(conditions, r.readCondition(child))
		}
		rules = append(rules, rule{conditions})
	}
	if len(rules) == 0 {
		r.AddFault(root, "no <%s>", element)
	}
	return names, rules
}

func (r *mappingReader) readCondition(node *xmlconfig.Node) condition {
	if node.Name == "hash" {
		return r.readHash(node)
	}
	return r.readWhen(node)
}

// readBounds reads a range. An end that is left out is infinite.
func (r *mappingReader) readBounds(node *xmlconfig.Node) (from, to float64) {
	from = r.Number(node, "from", math.Inf(-1), -maxBound, maxBound)
	to = r.Number(node, "to", math.Inf(1), -maxBound, maxBound)
	return from, to
}

func (r *mappingReader) checkBounds(node *xmlconfig.Node, from, to float64) {
	if from > to {
		r.AddFault(node, "from: greater than to")
	}
}

func (r *mappingReader) readHash(node *xmlconfig.Node) condition {
	hashed := xmlconfig.Enum(&r.Reader, node, "of", fieldJob, fieldsByName)
	from, to := r.readBounds(node)
	if from < minHash || to > maxHash {
		r.AddFault(node, "from and to: must lie between 0 and 1")
	}
	r.checkBounds(node, from, to)
	return hashCondition{hashed, from, to}
}

// readWhen reads a condition on a field: either a list of values or a range of numbers.
func (r *mappingReader) readWhen(node *xmlconfig.Node) condition {
	tested := xmlconfig.Enum(&r.Reader, node, "field", fieldJob, fieldsByName)
	from, to := r.readBounds(node)
	list, hasValues := node.Attrs["is"]
	values := strings.Fields(list)
	_, hasFrom := node.Attrs["from"]
	_, hasTo := node.Attrs["to"]
	hasRange := hasFrom || hasTo
	switch {
	case hasValues == hasRange:
		r.AddFault(node, "either is or a range (from, to) is required, not both")
	case hasValues && len(values) == 0:
		r.AddFault(node, "is: no values")
	case hasRange && !tested.isNumeric():
		r.AddFault(node, "%s is not a number: it requires is, not from and to", tested)
	}
	r.checkBounds(node, from, to)
	if hasValues {
		return oneOfCondition{tested, values}
	}
	return rangeCondition{tested, from, to}
}
