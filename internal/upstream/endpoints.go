package upstream

import (
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// endpointConns is one endpoint with its connections.
type endpointConns struct {
	id           relay.EndpointID
	name         string
	address      string
	incarnation  incarnation
	unavailable  bool                // listed as draining or removed: nothing new goes to it
	removed      bool                // dropped when nothing holds it any more
	openConns    int                 // those coming up included
	idle         []*conn             // the one last used is last
	pendingConns int                 // connections coming up, or about to be idle again
	waiting      []*pipeline.Attempt // attempts without a connection, the oldest first
}

// incarnation tells one process of an endpoint from the next: an endpoint keeps its id, and may keep its address, over a
// restart and with another build.
type incarnation struct {
	build     relay.Build
	startedAt relay.Seconds // 0 where it is not known
}

// EndpointListed takes an endpoint as it is listed, before the module sees the list. One that has another address now,
// has restarted or runs another build is another incarnation: connections to the earlier one are of no use, and attempts
// that wait for one were not meant for it. With another build such an attempt would count against an exposure limit under
// which it was not commanded.
func (p *Pool) EndpointListed(e relay.Endpoint, name, address string) {
	endpoint := p.endpoints[e.ID]
	if endpoint == nil {
		endpoint = &endpointConns{id: e.ID, name: name, address: address, incarnation: incarnation{e.Build, e.StartedAt}}
		p.endpoints[e.ID] = endpoint
	}
	endpoint.unavailable, endpoint.removed = false, false
	if endpoint.address != address {
		endpoint.address = address
		p.closeIdleConns(endpoint, metrics.ClosedByAddressChange)
		p.releaseWaiting(endpoint)
	}
	known := &endpoint.incarnation
	restarted := e.StartKnown && e.StartedAt != known.startedAt
	if e.Build != known.build || restarted {
		p.releaseWaiting(endpoint)
	}
	known.build = e.Build
	if e.StartKnown {
		known.startedAt = e.StartedAt
	}
}

// EndpointLeaving takes in that an endpoint drains or is removed, before the module sees it. An attempt that still waits
// for a connection was commanded before that and would be written after it, by as much as the connection takes to come
// up; it was never sent, so the module can place it anew.
func (p *Pool) EndpointLeaving(id relay.EndpointID, removed bool) {
	endpoint := p.endpoints[id]
	if endpoint == nil {
		return
	}
	endpoint.unavailable, endpoint.removed = true, removed
	p.closeIdleConns(endpoint, metrics.ClosedByDrain)
	p.releaseWaiting(endpoint)
	p.dropIfUnused(endpoint)
}

// FullListReceived takes in a full list: endpoints that it leaves out are removed.
func (p *Pool) FullListReceived(listed func(relay.EndpointID) bool) {
	for id := range p.endpoints {
		if !listed(id) {
			p.EndpointLeaving(id, true)
		}
	}
}

// releaseWaiting ends the attempts that wait for a connection to an endpoint as not sent.
func (p *Pool) releaseWaiting(endpoint *endpointConns) {
	for len(endpoint.waiting) > 0 {
		attempt := endpoint.waiting[0]
		endpoint.waiting = endpoint.waiting[1:]
		p.endReleased(attempt)
	}
}

// removeWaiting takes an attempt out of those that wait, and says whether it was among them.
func (e *endpointConns) removeWaiting(attempt *pipeline.Attempt) bool {
	for i, waiting := range e.waiting {
		if waiting == attempt {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// dropIfUnused drops an endpoint that is removed and holds nothing: with releases every day endpoints come and go for as
// long as a relay runs.
func (p *Pool) dropIfUnused(endpoint *endpointConns) {
	unused := endpoint.openConns == 0 && len(endpoint.waiting) == 0
	if endpoint.removed && unused && p.endpoints[endpoint.id] == endpoint {
		delete(p.endpoints, endpoint.id)
	}
}
