package planxml

import (
	"math"
	"slices"
	"strings"

	"lichenroad/internal/xmlconfig"
	"lichenroad/plan"
)

// defaultVotes applies to a service without <votes>, and to each attribute that is missing in <votes>.
var defaultVotes = plan.Votes{Control: plan.ControlQuorum, PromoteShare: 0.5, RollBackShare: 0.15,
	HoldShare: 0.15, TTL: 10, PerSecond: 100, StepTime: 60}

var controlWords = map[string]plan.Control{
	"share": plan.ControlQuorum,
	"any":   plan.ControlSingleVote,
	"clock": plan.ControlTimed,
}

const (
	minVotesPerSecond = 1
	maxVotesPerSecond = 1e6
)

// Defaults of the attributes of <service>, in seconds.
const (
	defaultRollbackTime = 10
	defaultSettleTime   = 30
)

// readService reads all of a service except its name, which is already set.
func (r *reader) readService(service *plan.Service, node *xmlconfig.Node) {
	service.WatchAddress = node.Attrs["watch"]
	service.RollbackTime = r.Seconds(node, "back-for", defaultRollbackTime)
	service.SettleTime = r.Seconds(node, "settle", defaultSettleTime)
	if service.WatchAddress != "" {
		r.CheckAddress(node, "watch")
	}
	service.Votes = r.readVotes(node)
	service.Steps = r.readSteps(node)
	opened := map[plan.Scope]string{}
	for i, step := range node.ChildrenNamed("step") {
		if i > 0 {
			r.checkNotBelow(step, &service.Steps[i-1], &service.Steps[i])
		}
		service.Steps[i].OpenGroups = r.readOpenGroups(step, opened)
		if i == 0 && len(step.ChildrenNamed("open")) == 0 {
			r.AddFault(step, "the first step opens nothing")
		}
		service.Steps[i].Dependencies = r.readDependencies(step, service.Name)
	}
	service.Relays = r.readRelays(node)
}

func (r *reader) readVotes(service *xmlconfig.Node) plan.Votes {
	votes := defaultVotes
	for i, node := range service.ChildrenNamed("votes") {
		if i > 0 {
			r.AddFault(node, "stands twice")
		}
		votes = plan.Votes{
			Control:       xmlconfig.Enum(&r.Reader, node, "control", defaultVotes.Control, controlWords),
			PromoteShare:  r.Number(node, "on", defaultVotes.PromoteShare, 0, 1),
			RollBackShare: r.Number(node, "back", defaultVotes.RollBackShare, 0, 1),
			HoldShare:     r.Number(node, "hold", defaultVotes.HoldShare, 0, 1),
			TTL:           r.Seconds(node, "life", defaultVotes.TTL),
			PerSecond:     r.Number(node, "per-second", defaultVotes.PerSecond, minVotesPerSecond, maxVotesPerSecond),
			StepTime:      r.Seconds(node, "step-time", defaultVotes.StepTime),
		}
		if votes.TTL <= 0 {
			r.AddFault(node, "life: must be longer than 0")
		}
	}
	return votes
}

// readSteps reads the attributes of a service's steps, without their children.
func (r *reader) readSteps(service *xmlconfig.Node) []plan.Step {
	var steps []plan.Step
	taken := map[string]bool{}
	for _, node := range service.ChildrenNamed("step") {
		// A missing share or cap is already a fault by the schema; NaN adds none in checkNotBelow.
		steps = append(steps, plan.Step{
			Name:          r.UniqueName(node, taken),
			Share:         r.Number(node, "share", math.NaN(), 0, 1),
			ExposureLimit: r.Number(node, "cap", math.NaN(), 0, 1),
			MinTime:       r.Seconds(node, "least", 0),
		})
		if node.Attrs["name"] == plan.ReleasedStep {
			r.AddFault(node, "name: released is reserved for the release, which follows the last step")
		}
	}
	switch {
	case len(steps) == 0:
		r.AddFault(service, "no <step>")
	case len(steps) > plan.MaxSteps:
		r.AddFault(service, "more than %d steps", plan.MaxSteps)
	}
	return steps
}

// checkNotBelow checks that neither exposure limit nor share of a step is below that of the previous step.
func (r *reader) checkNotBelow(node *xmlconfig.Node, previous, step *plan.Step) {
	if step.ExposureLimit < previous.ExposureLimit {
		r.AddFault(node, "cap: %g falls below the %g of the step before", step.ExposureLimit, previous.ExposureLimit)
	}
	if step.Share < previous.Share {
		r.AddFault(node, "share: %g falls below the %g of the step before", step.Share, previous.Share)
	}
}

// readOpenGroups returns the scopes that a step opens. The map opened has the names of the steps that opened a scope so
// far, and gets those of this step added.
func (r *reader) readOpenGroups(step *xmlconfig.Node, opened map[plan.Scope]string) []plan.Scope {
	var scopes []plan.Scope
	for _, node := range step.ChildrenNamed("open") {
		for _, scope := range r.readScopes(node) {
			if by, open := opened[scope]; open {
				r.AddFault(node, "site %s, group %s is already open since step %s",
					r.plan.Sites[scope.Site], r.plan.Groups[scope.Group].Name, by)
				continue
			}
			opened[scope] = step.Attrs["name"]
			scopes = append(scopes, scope)
		}
	}
	return scopes
}

// readScopes returns the scopes that an <open> opens: at every site if it names none, and every group if it names none.
func (r *reader) readScopes(node *xmlconfig.Node) []plan.Scope {
	siteName, oneSite := node.Attrs["site"]
	groupName, oneGroup := node.Attrs["group"]
	var scopes []plan.Scope
	for i, site := range r.plan.Sites {
		for j, group := range r.plan.Groups {
			if (!oneSite || site == siteName) && (!oneGroup || group.Name == groupName) {
				scopes = append(scopes, plan.Scope{Site: plan.SiteIndex(i), Group: plan.GroupIndex(j)})
			}
		}
	}
	if oneSite {
		r.readSiteRef(node, siteName)
	}
	if oneGroup && !slices.ContainsFunc(r.plan.Groups, func(g plan.Group) bool { return g.Name == groupName }) {
		r.AddFault(node, "group: there is no %.20q", groupName)
	}
	return scopes
}

func (r *reader) readDependencies(step *xmlconfig.Node, serviceName string) []plan.Dependency {
	var dependencies []plan.Dependency
	for _, node := range step.ChildrenNamed("needs") {
		if dependency, ok := r.readDependency(node, serviceName); ok {
			dependencies = append(dependencies, dependency)
		}
	}
	return dependencies
}

// readDependency reads a <needs> in a step of a service. The result is not ok if it has a fault.
func (r *reader) readDependency(node *xmlconfig.Node, serviceName string) (dependency plan.Dependency, ok bool) {
	name, given := node.Attrs["service"]
	if !given {
		return plan.Dependency{}, false // already a fault by the schema
	}
	service, known := r.readServiceRef(node, name)
	if !known {
		return plan.Dependency{}, false
	}
	if name == serviceName {
		r.AddFault(node, "service: %s needs itself", name)
		return plan.Dependency{}, false
	}
	stepName, given := node.Attrs["step"]
	if !given || stepName == plan.ReleasedStep {
		return plan.Dependency{Service: service, Released: true}, true
	}
	// The steps of the other service may not have been read yet, so its elements are searched for the name.
	for i, step := range r.services[service].ChildrenNamed("step") {
		if step.Attrs["name"] == stepName {
			return plan.Dependency{Service: service, Step: plan.StepIndex(i)}, true
		}
	}
	r.AddFault(node, "step: %s has no %.20q", name, stepName)
	return plan.Dependency{}, false
}

func (r *reader) readRelays(service *xmlconfig.Node) []plan.Relay {
	var relays []plan.Relay
	taken, takenAddresses := map[string]bool{}, map[string]bool{}
	for _, node := range service.ChildrenNamed("relay") {
		relay := plan.Relay{Name: r.UniqueName(node, taken), Site: plan.NoSite, ListenAddress: node.Attrs["listen"]}
		if site, ok := node.Attrs["site"]; ok {
			relay.Site = r.readSiteRef(node, site)
		}
		if relay.ListenAddress != "" {
			r.checkListen(node, relay.ListenAddress, takenAddresses)
		}
		relays = append(relays, relay)
	}
	return relays
}

// checkListen checks the address at which the controller listens for a relay, which no other relay of the service may
// share. With port 0 the system chooses a port, so such an address may be used more than once.
func (r *reader) checkListen(node *xmlconfig.Node, address string, taken map[string]bool) {
	if !r.CheckAddress(node, "listen") || strings.HasSuffix(address, ":0") {
		return
	}
	if taken[address] {
		r.AddFault(node, "listen: %s stands twice", address)
	}
	taken[address] = true
}

// cycleText returns a cycle as text, such as "a one needs b two needs a one".
func (r *reader) cycleText(cycle []plan.Milestone) string {
	var names []string
	for _, milestone := range cycle {
		service := &r.plan.Services[milestone.Service]
		names = append(names, service.Name+" "+service.StepName(milestone.Step))
	}
	return strings.Join(names, " needs ")
}
