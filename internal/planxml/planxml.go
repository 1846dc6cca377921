// Package planxml reads rollout plans from XML files. It converts the elements to the types of package plan and reports
// all faults of a file, with their lines, in one *xmlconfig.Error. deploy/plan.xsd describes the same elements; a test
// keeps the two consistent.
//
// The package has no state, so Load and Parse may be called from any goroutine. It imports plan and internal/xmlconfig.
package planxml

import (
	"lichenroad/internal/xmlconfig"
	"lichenroad/plan"
)

const formatVersion = "1"

// Defaults of the attributes of <plan>, in seconds.
const (
	defaultSkew      = 2
	defaultStatusTTL = 10
)

// schema lists the attributes and children that each element may have.
var schema = map[string]xmlconfig.ElementSchema{
	"plan": {Required: []string{"version"}, Optional: []string{"clock-skew", "news-life"},
		Children: []string{"site", "group", "service", "freeze"}},
	"site":     {Required: []string{"name"}},
	"group":    {Required: []string{"name"}, Children: []string{"customer"}},
	"customer": {Required: []string{"name"}},
	"service": {Required: []string{"name"}, Optional: []string{"watch", "back-for", "settle"},
		Children: []string{"votes", "step", "relay"}},
	"votes":  {Optional: []string{"control", "on", "back", "hold", "life", "per-second", "step-time"}},
	"step":   {Required: []string{"name", "share", "cap", "least"}, Children: []string{"open", "needs"}},
	"open":   {Optional: []string{"site", "group"}},
	"needs":  {Required: []string{"service"}, Optional: []string{"step"}},
	"relay":  {Required: []string{"name"}, Optional: []string{"site", "listen"}},
	"freeze": {Required: []string{"name"}, Optional: []string{"stops"}, Children: []string{"for", "weekly", "once"}},
	"for":    {Optional: []string{"service", "site"}},
	"weekly": {Required: []string{"days", "from", "to", "zone"}},
	"once":   {Required: []string{"from", "to", "zone"}},
}

// Load reads a plan from a file. The error is an *xmlconfig.Error if the file could be read but is not a valid plan.
func Load(path string) (*plan.Plan, error) {
	raw, err := xmlconfig.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse reads a plan from the content of a file. The error is an *xmlconfig.Error with all faults and the file's name.
func Parse(file string, raw []byte) (*plan.Plan, error) {
	r := &reader{Reader: xmlconfig.Reader{Root: "plan", Schema: schema}, plan: &plan.Plan{}}
	if root := r.Parse(raw); root != nil {
		r.readPlan(root)
		if len(r.Faults) == 0 {
			r.checkWhole()
		}
	}
	if err := r.Err(file); err != nil {
		return nil, err
	}
	return r.plan, nil
}

// reader builds a plan and collects its faults. A plan with faults is incomplete and is not returned.
type reader struct {
	xmlconfig.Reader
	plan     *plan.Plan
	services []*xmlconfig.Node // by plan.ServiceIndex
	freezes  []*xmlconfig.Node // by plan.FreezeIndex
}

// readPlan reads the whole plan. The names of sites, groups and services come first, as other elements refer to them.
func (r *reader) readPlan(root *xmlconfig.Node) {
	if version, ok := root.Attrs["version"]; ok && version != formatVersion {
		r.AddFault(root, "version: %.20q is not known, 1 is", version)
	}
	r.plan.Skew = r.Seconds(root, "clock-skew", defaultSkew)
	r.plan.StatusTTL = r.Seconds(root, "news-life", defaultStatusTTL)
	r.services, r.freezes = root.ChildrenNamed("service"), root.ChildrenNamed("freeze")
	r.readSites(root)
	r.readGroups(root)
	r.readServiceNames()
	r.requireSome(root, "site", len(r.plan.Sites))
	r.requireSome(root, "group", len(r.plan.Groups))
	r.requireSome(root, "service", len(r.plan.Services))
	for i, node := range r.services {
		r.readService(&r.plan.Services[i], node)
	}
	r.readFreezes()
}

func (r *reader) readSites(root *xmlconfig.Node) {
	taken := map[string]bool{}
	for _, node := range root.ChildrenNamed("site") {
		r.plan.Sites = append(r.plan.Sites, r.UniqueName(node, taken))
	}
}

func (r *reader) readGroups(root *xmlconfig.Node) {
	takenGroups, takenTenants := map[string]bool{}, map[string]bool{}
	for _, node := range root.ChildrenNamed("group") {
		group := plan.Group{Name: r.UniqueName(node, takenGroups)}
		for _, tenant := range node.ChildrenNamed("customer") {
			group.Tenants = append(group.Tenants, r.UniqueName(tenant, takenTenants))
		}
		r.plan.Groups = append(r.plan.Groups, group)
	}
}

func (r *reader) readServiceNames() {
	taken := map[string]bool{}
	for _, node := range r.services {
		r.plan.Services = append(r.plan.Services, plan.Service{Name: r.UniqueName(node, taken)})
	}
}

func (r *reader) requireSome(root *xmlconfig.Node, element string, count int) {
	if count == 0 {
		r.AddFault(root, "no <%s>", element)
	}
}

// readServiceRef returns the service that an attribute names, and whether it exists.
func (r *reader) readServiceRef(node *xmlconfig.Node, name string) (plan.ServiceIndex, bool) {
	service, known := r.plan.Service(name)
	if !known {
		r.AddFault(node, "service: there is no %.20q", name)
	}
	return service, known
}

// readSiteRef returns the site that an attribute names, or plan.NoSite if it does not exist.
func (r *reader) readSiteRef(node *xmlconfig.Node, name string) plan.SiteIndex {
	site, known := r.plan.Site(name)
	if !known {
		r.AddFault(node, "site: there is no %.20q", name)
	}
	return site
}

// checkWhole reports the faults that only show in the plan as a whole.
func (r *reader) checkWhole() {
	if cycle := r.plan.FindCycle(); cycle != nil {
		r.AddFault(r.services[cycle[0].Service], "a cycle: %s", r.cycleText(cycle))
	}
	if endless, found := r.plan.FindEndlessFreeze(); found {
		r.AddFault(r.freezes[endless.Freeze],
			"never ends: together with other freezes it leaves no time for %s (clock-skew extends freezes at both ends)",
			r.plan.Services[endless.Service].Name)
	}
}
