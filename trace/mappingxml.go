package trace

import (
	"math"
	"strings"

	"lichenroad/internal/xmlconfig"
)

// mappingSchema says which attributes and children each element of a mapping may have. deploy/mapping.xsd says the same; a
// test holds the two together.
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

const (
	minScale  = 1e-6
	maxScale  = 1e6
	maxBound  = 1e12 // of a range
	hashBegin = 0
	hashEnd   = 1
)

var relayWords = map[string]field{"machine": fieldMachine, "user": fieldUser, "job": fieldJob}

var failureWords = map[string]Failures{"none": FailuresIgnored, "legs": FailuresAsAttempts, "hours": FailuresAsFaults}

var fieldsByName = func() map[string]field {
	byName := map[string]field{}
	for f, name := range fieldNames {
		byName[name] = field(f)
	}
	return byName
}()

// LoadMapping reads a mapping from a file. Its error is an *xmlconfig.Error where the file could be read but is no mapping.
func LoadMapping(path string) (*Mapping, error) {
	raw, err := xmlconfig.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseMapping(path, raw)
}

// ParseMapping reads a mapping. Its error is an *xmlconfig.Error with all faults, under the name of the file.
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

// mappingReader fills a mapping and gathers the faults.
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
		m.relayField = xmlconfig.Enum(&r.Reader, node, "by", fieldJob, relayWords)
	}
	if node := r.onlyChild(root, "failures"); node != nil {
		r.readFailures(node)
	}
}

// onlyChild gives the one child of a name; nil, and a fault, where there isn't exactly one.
func (r *mappingReader) onlyChild(root *xmlconfig.Node, name string) *xmlconfig.Node {
	children := root.ChildrenNamed(name)
	if len(children) != 1 {
		r.AddFault(root, "one <%s> is needed, %d are there", name, len(children))
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
	m.failures = xmlconfig.Enum(&r.Reader, node, "as", FailuresIgnored, failureWords)
	m.faultTime, m.faultShare = r.Seconds(node, "for", 0), r.Number(node, "part", 0, 0, 1)
	_, hasTime := node.Attrs["for"]
	_, hasShare := node.Attrs["part"]
	if asFaults := m.failures == FailuresAsFaults; asFaults != hasTime || asFaults != hasShare {
		r.AddFault(node, "for and part: needed where failures are hours, and only there")
	}
}

// readRules reads the names and rules of the elements of one name.
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

// readBounds reads a range whose ends may be left out.
func (r *mappingReader) readBounds(node *xmlconfig.Node) (from, to float64) {
	from = r.Number(node, "from", math.Inf(-1), -maxBound, maxBound)
	to = r.Number(node, "to", math.Inf(1), -maxBound, maxBound)
	return from, to
}

func (r *mappingReader) checkBounds(node *xmlconfig.Node, from, to float64) {
	if from > to {
		r.AddFault(node, "from: above to")
	}
}

func (r *mappingReader) readHash(node *xmlconfig.Node) condition {
	of := xmlconfig.Enum(&r.Reader, node, "of", fieldJob, fieldsByName)
	from, to := r.readBounds(node)
	if from < hashBegin || to > hashEnd {
		r.AddFault(node, "from and to: a hash lies from 0 to 1")
	}
	r.checkBounds(node, from, to)
	return hashCondition{of, from, to}
}

// readWhen reads a condition on words or on a range of numbers.
func (r *mappingReader) readWhen(node *xmlconfig.Node) condition {
	of := xmlconfig.Enum(&r.Reader, node, "field", fieldJob, fieldsByName)
	from, to := r.readBounds(node)
	is, hasWords := node.Attrs["is"]
	words := strings.Fields(is)
	_, hasFrom := node.Attrs["from"]
	_, hasTo := node.Attrs["to"]
	hasRange := hasFrom || hasTo
	switch {
	case hasWords == hasRange:
		r.AddFault(node, "either is, or from and to")
	case hasWords && len(words) == 0:
		r.AddFault(node, "is: no words")
	case hasRange && !of.isNumber():
		r.AddFault(node, "%s is a word: it needs is", of)
	}
	r.checkBounds(node, from, to)
	if hasWords {
		return wordCondition{of, words}
	}
	return rangeCondition{of, from, to}
}
