package upstream

import (
	"testing"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// pendingConn puts a connection into the pool as one that is coming up.
func (b harness) pendingConn(n *fakeConn) *conn {
	b.pool.openConns++
	b.endpoint.openConns++
	b.endpoint.pendingConns++
	return &conn{pool: b.pool, endpoint: b.endpoint, address: b.endpoint.address, net: n}
}

// TestListUpdateWhileAnAttemptWaits has an endpoint leave, or become another incarnation, while an attempt waits for a
// connection that comes up late: nothing is written, and the module gets the attempt back as one that never ran, in the
// same batch as the list update.
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
			b := newHarness(t, nil)
			n := &fakeConn{accepts: 1 << 20}
			c := b.pendingConn(n)
			b.pool.Send(b.attempt())
			if ended := b.drain(); len(ended) != 0 {
				t.Fatalf("ended before the update: %+v", ended)
			}
			update(b.pool)
			ended := b.drain()
			readyForQuery{c}.Apply(b.Loop) // late
			ended = append(ended, b.drain()...)
			if len(ended) != 1 || ended[0].Outcome != relay.NotSent || !ended[0].Outcome.NeverRan() {
				t.Errorf("%+v", ended)
			}
			if len(n.written) != 0 || n.closed == 0 {
				t.Errorf("%q written, closed %d times", n.written, n.closed)
			}
			if b.pool.openConns != 0 {
				t.Error("connections counted as open:", b.pool.openConns)
			}
		})
	}
}

// TestAttemptsUnderWayOutliveADrain lets a draining endpoint finish what it has, and gives it nothing more.
func TestAttemptsUnderWayOutliveADrain(t *testing.T) {
	b := newHarness(t, nil)
	n, spare := &fakeConn{accepts: 1 << 20}, &fakeConn{accepts: 1 << 20}
	b.idleConn(spare)
	c := b.idleConn(n)
	b.pool.Send(b.attempt())
	b.pool.EndpointLeaving(1, false)
	if spare.closed == 0 || n.closed != 0 {
		t.Errorf("idle closed %d, busy closed %d times", spare.closed, n.closed)
	}
	sent := len(n.written)
	b.pool.Send(b.attempt())
	if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != relay.NotSent || len(n.written) != sent {
		t.Errorf("%+v, %q", ended, n.written[sent:])
	}
	b.pool.HealthCheck(1)
	responseReceived{conn: c, receivedAt: b.Clock.Now(), outcome: relay.Errored, errorCode: "XX000"}.Apply(b.Loop)
	readyForQuery{c}.Apply(b.Loop)
	c.becomeIdle() // settled
	if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != relay.Errored || n.closed == 0 || len(n.written) != sent {
		t.Errorf("%+v, closed %d times", ended, n.closed)
	}
	b.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:1") // it stays after all
	again := &fakeConn{accepts: 1 << 20}
	b.idleConn(again)
	b.pool.Send(b.attempt())
	if len(again.written) == 0 {
		t.Error("ready again, and not served")
	}
}

// TestRemovedEndpointsAreDropped lists and removes a thousand endpoints: nothing of them is left.
func TestRemovedEndpointsAreDropped(t *testing.T) {
	b := newHarness(t, nil)
	for id := relay.EndpointID(2); id < 1026; id++ {
		b.pool.EndpointListed(relay.Endpoint{ID: id}, "s", "127.0.0.1:1")
	}
	b.pool.endpoints[2].openConns++ // one that still holds a connection
	b.pool.FullListReceived(func(id relay.EndpointID) bool { return id == 1 })
	if len(b.pool.endpoints) != 2 {
		t.Errorf("%d kept", len(b.pool.endpoints))
	}
	b.pool.openConns++
	b.pool.connEnded(b.pool.endpoints[2], metrics.ConnectionEnd{})
	if len(b.pool.endpoints) != 1 {
		t.Error("kept without a connection")
	}
}

var _ pipeline.Upstream = (*Pool)(nil)
