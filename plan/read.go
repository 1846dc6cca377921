package plan

import (
	"math"
	"slices"
	"strings"

	"lichenroad/internal/xmlconfig"
)

// forms say what the elements may hold. The schema plan.xsd says the same; a test holds the two together.
var forms = map[string]xmlconfig.ElementSchema{
	"plan":     {Required: []string{"version"}, Optional: []string{"clock-skew", "news-life"}, Children: []string{"site", "group", "service", "freeze"}},
	"site":     {Required: []string{"name"}},
	"group":    {Required: []string{"name"}, Children: []string{"customer"}},
	"customer": {Required: []string{"name"}},
	"service":  {Required: []string{"name"}, Optional: []string{"watch", "back-for", "settle"}, Children: []string{"votes", "step", "relay"}},
	"votes":    {Optional: []string{"control", "on", "back", "hold", "life", "per-second", "step-time"}},
	"step":     {Required: []string{"name", "share", "cap", "least"}, Children: []string{"open", "needs"}},
	"open":     {Optional: []string{"site", "group"}},
	"needs":    {Required: []string{"service"}, Optional: []string{"step"}},
	"relay":    {Required: []string{"name"}, Optional: []string{"site", "listen"}},
	"freeze":   {Required: []string{"name"}, Optional: []string{"stops"}, Children: []string{"for", "weekly", "once"}},
	"for":      {Optional: []string{"service", "site"}},
	"weekly":   {Required: []string{"days", "from", "to", "zone"}},
	"once":     {Required: []string{"from", "to", "zone"}},
}

// Load reads a plan's file. Its error is *form.Faults where the file could be read but is no plan.
func Load(path string) (*Plan, error) {
	raw, err := xmlconfig.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse reads a plan and names all of its faults.
func Parse(file string, raw []byte) (*Plan, error) {
	r := &reader{Reader: xmlconfig.Reader{Root: "plan", Schema: forms}}
	p := &Plan{}
	if root := r.Parse(raw); root != nil {
		p = r.plan(root)
		if len(r.Faults) == 0 {
			r.check(p)
		}
	}
	if err := r.Err(file); err != nil {
		return nil, err
	}
	return p, nil
}

type reader struct {
	xmlconfig.Reader
	services []*xmlconfig.Node
	freezes  []*xmlconfig.Node
}

// plan makes the plan of the elements.
func (r *reader) plan(root *xmlconfig.Node) *Plan {
	p := &Plan{}
	if v, ok := root.Attrs["version"]; ok && v != "1" {
		r.AddFault(root, "version: %.20q is not known, 1 is", v)
	}
	p.Skew, p.StatusTTL = r.Seconds(root, "clock-skew", 2), r.Seconds(root, "news-life", 10)
	sites, groups, customers, services := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, n := range root.ChildrenNamed("site") {
		p.Sites = append(p.Sites, r.UniqueName(n, sites))
	}
	for _, n := range root.ChildrenNamed("group") {
		g := Group{Name: r.UniqueName(n, groups)}
		for _, c := range n.ChildrenNamed("customer") {
			g.Tenants = append(g.Tenants, r.UniqueName(c, customers))
		}
		p.Groups = append(p.Groups, g)
	}
	for _, n := range root.ChildrenNamed("service") {
		p.Services = append(p.Services, Service{Name: r.UniqueName(n, services)})
	}
	for what, n := range map[string]int{"site": len(p.Sites), "group": len(p.Groups), "service": len(p.Services)} {
		if n == 0 {
			r.AddFault(root, "no <%s>", what)
		}
	}
	r.services, r.freezes = root.ChildrenNamed("service"), root.ChildrenNamed("freeze")
	for i, n := range r.services {
		r.service(p, &p.Services[i], n)
	}
	names := map[string]bool{}
	for _, n := range r.freezes {
		p.Freezes = append(p.Freezes, r.freeze(p, n, names))
	}
	return p
}

func (r *reader) service(p *Plan, s *Service, n *xmlconfig.Node) {
	s.Watch, s.RollbackTime, s.SettleTime = n.Attrs["watch"], r.Seconds(n, "back-for", 10), r.Seconds(n, "settle", 30)
	if s.Watch != "" {
		r.CheckAddress(n, "watch")
	}
	s.Votes = Votes{Promote: 0.5, RollBack: 0.15, Hold: 0.15, TTL: 10, PerSecond: 100, StepTime: 60}
	for i, v := range n.ChildrenNamed("votes") {
		if i > 0 {
			r.AddFault(v, "stands twice")
		}
		s.Votes = Votes{Control: xmlconfig.Enum(&r.Reader, v, "control", ControlQuorum, map[string]Control{"share": ControlQuorum, "any": ControlSingleVote, "clock": ControlTimed}),
			Promote: r.Number(v, "on", 0.5, 0, 1), RollBack: r.Number(v, "back", 0.15, 0, 1), Hold: r.Number(v, "hold", 0.15, 0, 1),
			TTL: r.Seconds(v, "life", 10), PerSecond: r.Number(v, "per-second", 100, 1, 1e6), StepTime: r.Seconds(v, "step-time", 60)}
		if s.Votes.TTL <= 0 {
			r.AddFault(v, "life: no time at all")
		}
	}
	names := map[string]bool{}
	for _, k := range n.ChildrenNamed("step") {
		s.Steps = append(s.Steps, Step{Name: r.UniqueName(k, names), Share: r.Number(k, "share", math.NaN(), 0, 1),
			ExposureLimit: r.Number(k, "cap", math.NaN(), 0, 1), MinTime: r.Seconds(k, "least", 0)})
		if k.Attrs["name"] == "released" {
			r.AddFault(k, "name: released is what comes after the last step")
		}
	}
	if len(s.Steps) == 0 {
		r.AddFault(n, "no <step>")
	} else if len(s.Steps) > 250 {
		r.AddFault(n, "over 250 steps")
	}
	opened := map[Scope]string{}
	for i, k := range n.ChildrenNamed("step") {
		st := &s.Steps[i]
		if i > 0 && st.ExposureLimit < s.Steps[i-1].ExposureLimit {
			r.AddFault(k, "cap: %g falls below the %g of the step before", st.ExposureLimit, s.Steps[i-1].ExposureLimit)
		}
		if i > 0 && st.Share < s.Steps[i-1].Share {
			r.AddFault(k, "share: %g falls below the %g of the step before", st.Share, s.Steps[i-1].Share)
		}
		for _, o := range k.ChildrenNamed("open") {
			for _, sc := range r.scopes(p, o) {
				if by, was := opened[sc]; was {
					r.AddFault(o, "site %s, group %s is open since step %s", p.Sites[sc.Site], p.Groups[sc.Group].Name, by)
					continue
				}
				opened[sc] = st.Name
				st.OpenGroups = append(st.OpenGroups, sc)
			}
		}
		if i == 0 && len(k.ChildrenNamed("open")) == 0 {
			r.AddFault(k, "the first step opens nothing")
		}
		for _, d := range k.ChildrenNamed("needs") {
			if need, ok := r.need(p, d, n); ok {
				st.Dependencies = append(st.Dependencies, need)
			}
		}
	}
	names, listens := map[string]bool{}, map[string]bool{}
	for _, k := range n.ChildrenNamed("relay") {
		rel := Relay{Name: r.UniqueName(k, names), Site: NoSite, Listen: k.Attrs["listen"]}
		if name, ok := k.Attrs["site"]; ok {
			if rel.Site, ok = p.Site(name); !ok {
				r.AddFault(k, "site: there is no %.20q", name)
			}
		}
		if rel.Listen != "" && r.CheckAddress(k, "listen") && !strings.HasSuffix(rel.Listen, ":0") {
			if listens[rel.Listen] {
				r.AddFault(k, "listen: %s stands twice", rel.Listen)
			}
			listens[rel.Listen] = true
		}
		s.Relays = append(s.Relays, rel)
	}
}

// scopes gives what an <open> opens: without a site every site, without a group every group.
func (r *reader) scopes(p *Plan, n *xmlconfig.Node) (out []Scope) {
	site, group := n.Attrs["site"], n.Attrs["group"]
	_, bySite := n.Attrs["site"]
	_, byGroup := n.Attrs["group"]
	for i, s := range p.Sites {
		for j, g := range p.Groups {
			if (!bySite || s == site) && (!byGroup || g.Name == group) {
				out = append(out, Scope{SiteIndex(i), GroupIndex(j)})
			}
		}
	}
	if _, ok := p.Site(site); bySite && !ok {
		r.AddFault(n, "site: there is no %.20q", site)
	}
	if byGroup && !slices.ContainsFunc(p.Groups, func(g Group) bool { return g.Name == group }) {
		r.AddFault(n, "group: there is no %.20q", group)
	}
	return out
}

func (r *reader) need(p *Plan, n, of *xmlconfig.Node) (Dependency, bool) {
	name, ok := n.Attrs["service"]
	if !ok {
		return Dependency{}, false
	}
	s, known := p.Service(name)
	if !known {
		r.AddFault(n, "service: there is no %.20q", name)
		return Dependency{}, false
	}
	if name == of.Attrs["name"] {
		r.AddFault(n, "service: %s needs itself", name)
		return Dependency{}, false
	}
	step, given := n.Attrs["step"]
	if !given || step == "released" {
		return Dependency{Service: s, Released: true}, true
	}
	// The other service's steps may not be made yet: its name is looked up among the elements.
	for i, k := range r.services[s].ChildrenNamed("step") {
		if k.Attrs["name"] == step {
			return Dependency{Service: s, Step: StepIndex(i)}, true
		}
	}
	r.AddFault(n, "step: %s has no %.20q", name, step)
	return Dependency{}, false
}
