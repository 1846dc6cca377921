package upstream

import (
	"testing"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// pendingConn adds a connection to the pool that is still being opened.
func (h harness) pendingConn(n *fakeConn) *conn {
	h.pool.openConns++
	h.endpoint.openConns++
	h.endpoint.pendingConns++
	return &conn{pool: h.pool, endpoint: h.endpoint, address: h.endpoint.address, net: n}
}

// TestListUpdateWhileAnAttemptWaits drains, removes or moves an endpoint while an attempt waits for a connection that
// is still being opened. Nothing must be written, and the attempt must end as never run together with the list update,
// not only when the connection is open.
func TestListUpdateWhileAnAttemptWaits(t *testing.T) {
	for name, update := range map[string]func(*Pool){
		"drains":                func(p *Pool) { p.EndpointLeaving(1, false) },
		"is gone":               func(p *Pool) { p.EndpointLeaving(1, true) },
		"left out of the list":  func(p *Pool) { p.FullListReceived(func(id relay.EndpointID) bool { return id != 1 }) },
		"is at another address": func(p *Pool) { p.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2") },
		"goes, and comes back elsewhere": func(p *Pool) {
			p.EndpointLeaving(1, true)
			p.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			n := &fakeConn{accepts: unlimited}
			c := h.pendingConn(n)
			h.pool.Send(h.attempt())
			if ended := h.drain(); len(ended) != 0 {
				t.Fatalf("ended before the update: %+v", ended)
			}
			update(h.pool)
			ended := h.drain()
			readyForQuery{c}.Apply(h.Loop) // the connection opens late
			ended = append(ended, h.drain()...)
			if len(ended) != 1 || ended[0].Outcome != relay.NotSent || !ended[0].Outcome.NeverRan() {
				t.Errorf("attempts ended %+v, want one, not sent", ended)
			}
			if len(n.written) != 0 || n.closed == 0 {
				t.Errorf("%q written, closed %d times", n.written, n.closed)
			}
			if h.pool.openConns != 0 {
				t.Error("connections counted as open:", h.pool.openConns)
			}
		})
	}
}

// TestAttemptsUnderWayOutliveADrain checks that a draining endpoint finishes the attempts that it has and gets no more,
// and that it is used again when it is listed as ready.
func TestAttemptsUnderWayOutliveADrain(t *testing.T) {
	h := newHarness(t, nil)
	n, spare := &fakeConn{accepts: unlimited}, &fakeConn{accepts: unlimited}
	h.idleConn(spare)
	c := h.idleConn(n)
	h.pool.Send(h.attempt())
	h.pool.EndpointLeaving(1, false)
	if spare.closed == 0 || n.closed != 0 {
		t.Errorf("idle connection closed %d times, busy one %d times", spare.closed, n.closed)
	}
	sent := len(n.written)
	h.pool.Send(h.attempt())
	if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.NotSent || len(n.written) != sent {
		t.Errorf("attempts ended %+v, %q written during the drain", ended, n.written[sent:])
	}
	h.pool.HealthCheck(1)
	responseReceived{conn: c, receivedAt: h.Clock.Now(), outcome: relay.Errored, errorCode: "XX000"}.Apply(h.Loop)
	readyForQuery{c}.Apply(h.Loop)
	c.becomeIdle() // as after limits.ResponseSettleTime
	if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.Errored || n.closed == 0 || len(n.written) != sent {
		t.Errorf("attempts ended %+v, connection closed %d times", ended, n.closed)
	}
	h.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:1") // the drain is over
	again := &fakeConn{accepts: unlimited}
	h.idleConn(again)
	h.pool.Send(h.attempt())
	if len(again.written) == 0 {
		t.Error("nothing was sent to an endpoint that is ready again")
	}
}

// TestRemovedEndpointsAreDropped lists and removes 1024 endpoints: no record of them must be kept, except while one
// still has a connection.
func TestRemovedEndpointsAreDropped(t *testing.T) {
	h := newHarness(t, nil)
	for id := relay.EndpointID(2); id < 1026; id++ {
		h.pool.EndpointListed(relay.Endpoint{ID: id}, "s", "127.0.0.1:1")
	}
	h.pool.endpoints[2].openConns++ // stands for an open connection
	h.pool.FullListReceived(func(id relay.EndpointID) bool { return id == 1 })
	if len(h.pool.endpoints) != 2 {
		t.Errorf("%d endpoints kept, want 2", len(h.pool.endpoints))
	}
	h.pool.openConns++
	h.pool.connEnded(h.pool.endpoints[2], metrics.ConnectionEnd{})
	if len(h.pool.endpoints) != 1 {
		t.Error("a removed endpoint without connections was kept")
	}
}

var _ pipeline.Upstream = (*Pool)(nil)
