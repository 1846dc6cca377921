package plan

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Bounds of a plan's file: a plan for hundreds of relays takes a tenth of them.
const (
	MostBytes    = 1 << 20
	MostElements = 20000
	mostDepth    = 8
	mostFaults   = 100 // that are listed; the rest is counted
)

// Fault is one thing that is wrong, and where.
type Fault struct {
	Line    int
	Element string
	Text    string
}

func (f Fault) String() string {
	if f.Element == "" {
		return fmt.Sprintf("%d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("%d: <%s>: %s", f.Line, f.Element, f.Text)
}

// Faults are all that is wrong with a file, by line.
type Faults struct {
	File string
	List []Fault
}

// Error is every fault on a line of its own.
func (f *Faults) Error() string { return strings.Join(f.Lines(), "\n") }

// Lines gives a line for each fault.
func (f *Faults) Lines() (out []string) {
	for i, x := range f.List {
		if i == mostFaults {
			return append(out, fmt.Sprintf("%s: and %d more faults", f.File, len(f.List)-i))
		}
		out = append(out, f.File+":"+x.String())
	}
	return out
}

// node is an element as it stands in the file.
type node struct {
	name  string
	line  int
	attrs map[string]string
	kids  []*node
}

// form says what an element may hold. The schema plan.xsd says the same; a test holds the two together.
type form struct {
	needs []string // attributes
	may   []string
	kids  []string
	text  bool
}

var forms = map[string]form{
	"plan":     {needs: []string{"version"}, may: []string{"clock-skew", "news-life"}, kids: []string{"site", "group", "service", "freeze"}},
	"site":     {needs: []string{"name"}},
	"group":    {needs: []string{"name"}, kids: []string{"customer"}},
	"customer": {needs: []string{"name"}},
	"service":  {needs: []string{"name"}, may: []string{"watch", "back-for", "settle"}, kids: []string{"votes", "step", "relay"}},
	"votes":    {may: []string{"control", "on", "back", "hold", "life", "per-second", "step-time"}},
	"step":     {needs: []string{"name", "share", "cap", "least"}, kids: []string{"open", "needs"}},
	"open":     {may: []string{"site", "group"}},
	"needs":    {needs: []string{"service"}, may: []string{"step"}},
	"relay":    {needs: []string{"name"}, may: []string{"site", "listen"}},
	"freeze":   {needs: []string{"name"}, may: []string{"stops"}, kids: []string{"for", "weekly", "once"}},
	"for":      {may: []string{"service", "site"}},
	"weekly":   {needs: []string{"days", "from", "to", "zone"}},
	"once":     {needs: []string{"from", "to", "zone"}},
}

// Load reads a plan's file. Its error is *Faults where the file could be read but is no plan.
func Load(path string) (*Plan, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, MostBytes+1))
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse reads a plan and names all of its faults.
func Parse(file string, raw []byte) (*Plan, error) {
	r := &reader{}
	p := &Plan{}
	if len(raw) > MostBytes {
		r.faults = append(r.faults, Fault{1, "", fmt.Sprintf("over %d bytes", MostBytes)})
	} else if root := r.tree(raw); root != nil {
		p = r.plan(root)
		if len(r.faults) == 0 {
			r.check(p)
		}
	}
	if len(r.faults) > 0 {
		sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].Line < r.faults[j].Line })
		return nil, &Faults{file, r.faults}
	}
	return p, nil
}

type reader struct {
	faults   []Fault
	services []*node
	freezes  []*node
}

func (r *reader) fault(n *node, format string, a ...any) {
	r.faults = append(r.faults, Fault{n.line, n.name, fmt.Sprintf(format, a...)})
}

// tree reads the elements. What can't be read at all ends the reading; what is unknown is named and left out.
func (r *reader) tree(raw []byte) *node {
	d := xml.NewDecoder(bytes.NewReader(raw))
	var root *node
	var path []*node
	elements := 0
	end := func(text string) *node {
		line, _ := d.InputPos()
		r.faults = append(r.faults, Fault{line, "", text})
		return nil
	}
	for {
		tok, err := d.Token()
		line, _ := d.InputPos()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			var bad *xml.SyntaxError
			if errors.As(err, &bad) {
				return end("no XML: " + bad.Msg)
			}
			return end("no XML: " + err.Error())
		}
		switch t := tok.(type) {
		case xml.Directive: // a DOCTYPE could bring entities that expand
			return end("no DOCTYPE or other declarations are taken")
		case xml.StartElement:
			if elements++; elements > MostElements || len(path) >= mostDepth {
				return end(fmt.Sprintf("over %d elements, or %d deep", MostElements, mostDepth))
			}
			n := &node{name: t.Name.Local, line: line, attrs: map[string]string{}}
			for _, a := range t.Attr {
				switch {
				case a.Name.Space == "xmlns" || a.Name.Local == "xmlns" ||
					a.Name.Space == "http://www.w3.org/2001/XMLSchema-instance":
				case n.attrs[a.Name.Local] != "":
					r.fault(n, "attribute %s stands twice", a.Name.Local)
				default:
					n.attrs[a.Name.Local] = a.Value
				}
			}
			switch {
			case len(path) > 0:
				up := path[len(path)-1]
				up.kids = append(up.kids, n)
			case root != nil:
				return end("more than one root")
			default:
				root = n
			}
			path = append(path, n)
		case xml.EndElement:
			path = path[:len(path)-1]
		case xml.CharData:
			if s := strings.TrimSpace(string(t)); s != "" && len(path) > 0 {
				r.faults = append(r.faults, Fault{line, path[len(path)-1].name, fmt.Sprintf("text %.20q is not expected", s)})
			}
		}
	}
	if root == nil {
		return end("empty")
	}
	if root.name != "plan" {
		r.fault(root, "the root must be <plan>")
		return nil
	}
	r.shape(root)
	return root
}

// shape holds an element against its form, and those in it.
func (r *reader) shape(n *node) {
	f := forms[n.name]
	for _, a := range f.needs {
		if _, ok := n.attrs[a]; !ok {
			r.fault(n, "attribute %s is missing", a)
		}
	}
	var names []string
	for a := range n.attrs {
		names = append(names, a)
	}
	sort.Strings(names)
	for _, a := range names {
		if !slices.Contains(f.needs, a) && !slices.Contains(f.may, a) {
			r.fault(n, "attribute %s is not known", a)
		}
	}
	kept := n.kids[:0]
	for _, k := range n.kids {
		if !slices.Contains(f.kids, k.name) {
			r.fault(k, "not known in <%s>", n.name)
			continue
		}
		r.shape(k)
		kept = append(kept, k)
	}
	n.kids = kept
}

func (n *node) all(name string) (out []*node) {
	for _, k := range n.kids {
		if k.name == name {
			out = append(out, k)
		}
	}
	return out
}

// number reads an attribute as a number between bounds; absent, it is what usual says.
func (r *reader) number(n *node, name string, usual, least, most float64) float64 {
	s, ok := n.attrs[name]
	if !ok {
		return usual
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= least && v <= most) || strings.ContainsAny(s, "xXpPnN_") {
		r.fault(n, "%s: %.20q is no number from %g to %g", name, s, least, most)
		return usual
	}
	return v
}

// time reads an attribute as a span such as 90s, 5m or 1h30m.
func (r *reader) span(n *node, name string, usual Seconds) Seconds {
	s, ok := n.attrs[name]
	if !ok {
		return usual
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > 31*24*time.Hour || strings.ContainsAny(s, "+-nµu") {
		r.fault(n, "%s: %.20q is no span of up to 31 days, such as 90s, 5m or 1h30m", name, s)
		return usual
	}
	return d.Seconds()
}

func (r *reader) name(n *node, taken map[string]bool) string {
	s := n.attrs["name"]
	ok := s != "" && len(s) <= 64
	for _, c := range s {
		ok = ok && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("._-", c))
	}
	if _, there := n.attrs["name"]; there && !ok {
		r.fault(n, "name: %.20q is no name (letters, digits, '.', '_' and '-', 64 at most)", s)
	} else if taken[s] {
		r.fault(n, "name: %q stands twice", s)
	}
	taken[s] = true
	return s
}

func word[T ~int](r *reader, n *node, name string, usual T, words map[string]T) T {
	s, ok := n.attrs[name]
	if !ok {
		return usual
	}
	v, known := words[s]
	if !known {
		var list []string
		for w := range words {
			list = append(list, w)
		}
		sort.Strings(list)
		r.fault(n, "%s: %.20q is none of %s", name, s, strings.Join(list, ", "))
	}
	return v
}

// plan makes the plan of the elements.
func (r *reader) plan(root *node) *Plan {
	p := &Plan{}
	if v, ok := root.attrs["version"]; ok && v != "1" {
		r.fault(root, "version: %.20q is not known, 1 is", v)
	}
	p.Skew, p.NewsLife = r.span(root, "clock-skew", 2), r.span(root, "news-life", 10)
	sites, groups, customers, services := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, n := range root.all("site") {
		p.Sites = append(p.Sites, r.name(n, sites))
	}
	for _, n := range root.all("group") {
		g := Group{Name: r.name(n, groups)}
		for _, c := range n.all("customer") {
			g.Customers = append(g.Customers, r.name(c, customers))
		}
		p.Groups = append(p.Groups, g)
	}
	for _, n := range root.all("service") {
		p.Services = append(p.Services, Service{Name: r.name(n, services)})
	}
	for what, n := range map[string]int{"site": len(p.Sites), "group": len(p.Groups), "service": len(p.Services)} {
		if n == 0 {
			r.fault(root, "no <%s>", what)
		}
	}
	r.services, r.freezes = root.all("service"), root.all("freeze")
	for i, n := range r.services {
		r.service(p, &p.Services[i], n)
	}
	names := map[string]bool{}
	for _, n := range r.freezes {
		p.Freezes = append(p.Freezes, r.freeze(p, n, names))
	}
	return p
}

func (r *reader) service(p *Plan, s *Service, n *node) {
	s.Watch, s.BackFor, s.Settle = n.attrs["watch"], r.span(n, "back-for", 10), r.span(n, "settle", 30)
	if s.Watch != "" {
		r.address(n, "watch")
	}
	s.Votes = Votes{On: 0.5, Back: 0.15, Hold: 0.15, Life: 10, PerSecond: 100, StepTime: 60}
	for i, v := range n.all("votes") {
		if i > 0 {
			r.fault(v, "stands twice")
		}
		s.Votes = Votes{Control: word(r, v, "control", ByShare, map[string]Control{"share": ByShare, "any": ByAny, "clock": ByClock}),
			On: r.number(v, "on", 0.5, 0, 1), Back: r.number(v, "back", 0.15, 0, 1), Hold: r.number(v, "hold", 0.15, 0, 1),
			Life: r.span(v, "life", 10), PerSecond: r.number(v, "per-second", 100, 1, 1e6), StepTime: r.span(v, "step-time", 60)}
		if s.Votes.Life <= 0 {
			r.fault(v, "life: no time at all")
		}
	}
	names := map[string]bool{}
	for _, k := range n.all("step") {
		s.Steps = append(s.Steps, Step{Name: r.name(k, names), Share: r.number(k, "share", math.NaN(), 0, 1),
			Cap: r.number(k, "cap", math.NaN(), 0, 1), Least: r.span(k, "least", 0)})
		if k.attrs["name"] == "released" {
			r.fault(k, "name: released is what comes after the last step")
		}
	}
	if len(s.Steps) == 0 {
		r.fault(n, "no <step>")
	} else if len(s.Steps) > 250 {
		r.fault(n, "over 250 steps")
	}
	opened := map[Scope]string{}
	for i, k := range n.all("step") {
		st := &s.Steps[i]
		if i > 0 && st.Cap < s.Steps[i-1].Cap {
			r.fault(k, "cap: %g falls below the %g of the step before", st.Cap, s.Steps[i-1].Cap)
		}
		if i > 0 && st.Share < s.Steps[i-1].Share {
			r.fault(k, "share: %g falls below the %g of the step before", st.Share, s.Steps[i-1].Share)
		}
		for _, o := range k.all("open") {
			for _, sc := range r.scopes(p, o) {
				if by, was := opened[sc]; was {
					r.fault(o, "site %s, group %s is open since step %s", p.Sites[sc.Site], p.Groups[sc.Group].Name, by)
					continue
				}
				opened[sc] = st.Name
				st.Opens = append(st.Opens, sc)
			}
		}
		if i == 0 && len(k.all("open")) == 0 {
			r.fault(k, "the first step opens nothing")
		}
		for _, d := range k.all("needs") {
			if need, ok := r.need(p, d, n); ok {
				st.Needs = append(st.Needs, need)
			}
		}
	}
	names, listens := map[string]bool{}, map[string]bool{}
	for _, k := range n.all("relay") {
		rel := Relay{Name: r.name(k, names), Site: NoSite, Listen: k.attrs["listen"]}
		if name, ok := k.attrs["site"]; ok {
			if rel.Site, ok = p.Site(name); !ok {
				r.fault(k, "site: there is no %.20q", name)
			}
		}
		if rel.Listen != "" && r.address(k, "listen") && !strings.HasSuffix(rel.Listen, ":0") {
			if listens[rel.Listen] {
				r.fault(k, "listen: %s stands twice", rel.Listen)
			}
			listens[rel.Listen] = true
		}
		s.Relays = append(s.Relays, rel)
	}
}

func (r *reader) address(n *node, name string) bool {
	s := n.attrs[name]
	i := strings.LastIndexByte(s, ':')
	if port, err := strconv.ParseUint(s[i+1:], 10, 16); i <= 0 || err != nil || port > 65535 {
		r.fault(n, "%s: %.40q is no address with a port", name, s)
		return false
	}
	return true
}

// scopes gives what an <open> opens: without a site every site, without a group every group.
func (r *reader) scopes(p *Plan, n *node) (out []Scope) {
	site, group := n.attrs["site"], n.attrs["group"]
	_, bySite := n.attrs["site"]
	_, byGroup := n.attrs["group"]
	for i, s := range p.Sites {
		for j, g := range p.Groups {
			if (!bySite || s == site) && (!byGroup || g.Name == group) {
				out = append(out, Scope{SiteNo(i), GroupNo(j)})
			}
		}
	}
	if _, ok := p.Site(site); bySite && !ok {
		r.fault(n, "site: there is no %.20q", site)
	}
	if byGroup && !slices.ContainsFunc(p.Groups, func(g Group) bool { return g.Name == group }) {
		r.fault(n, "group: there is no %.20q", group)
	}
	return out
}

func (r *reader) need(p *Plan, n, of *node) (Need, bool) {
	name, ok := n.attrs["service"]
	if !ok {
		return Need{}, false
	}
	s, known := p.Service(name)
	if !known {
		r.fault(n, "service: there is no %.20q", name)
		return Need{}, false
	}
	if name == of.attrs["name"] {
		r.fault(n, "service: %s needs itself", name)
		return Need{}, false
	}
	step, given := n.attrs["step"]
	if !given || step == "released" {
		return Need{Service: s, Released: true}, true
	}
	// The other service's steps may not be made yet: its name is looked up among the elements.
	for i, k := range r.services[s].all("step") {
		if k.attrs["name"] == step {
			return Need{Service: s, Step: StepNo(i)}, true
		}
	}
	r.fault(n, "step: %s has no %.20q", name, step)
	return Need{}, false
}
