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
	unavailable  bool                // listed as draining or removed: no new attempts are sent to it
	removed      bool                // to be dropped when it has no connections and no waiting attempts
	openConns    int                 // including those being opened
	idle         []*conn             // the most recently used last
	pendingConns int                 // connections being opened, or about to become idle again
	waiting      []*pipeline.Attempt // attempts without a connection, the oldest first

	recheckPending bool // serveWaiting runs again soon, for attempts whose clients have unread input
}

// incarnation identifies one process of an endpoint. An endpoint keeps its ID, and may keep its address, when it
// restarts or gets another build.
type incarnation struct {
	build     relay.Build
	startedAt relay.Seconds // 0 if not known
}

// EndpointListed updates one endpoint from the endpoint list, before the module gets the list. An endpoint that has
// another address, has restarted or runs another build is another incarnation: connections to the previous one are
// useless, and attempts that wait for a connection were not meant for the new one. With another build, such an attempt
// would count against an exposure limit that was not considered when it was commanded.
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

// EndpointLeaving marks an endpoint as draining or removed, before the module is notified. An attempt that still waits
// for a connection would be written only when the connection is open, after the drain began. It ends as not sent
// instead, so the module can choose another endpoint.
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

// FullListReceived removes the endpoints that are not in a full endpoint list.
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

// removeWaiting removes an attempt from the waiting ones, and reports whether it was among them.
func (e *endpointConns) removeWaiting(attempt *pipeline.Attempt) bool {
	for i, waiting := range e.waiting {
		if waiting == attempt {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// dropIfUnused drops the record of a removed endpoint that has no connections and no waiting attempts. Without this,
// records would accumulate, as each release adds and removes endpoints while a relay runs.
func (p *Pool) dropIfUnused(endpoint *endpointConns) {
	unused := endpoint.openConns == 0 && len(endpoint.waiting) == 0
	if endpoint.removed && unused && p.endpoints[endpoint.id] == endpoint {
		delete(p.endpoints, endpoint.id)
	}
}
