package upstream

import (
	"testing"

	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// coming puts a connection into the pool as one that is coming up.
func (b bench) coming(n *pipe) *conn {
	b.pool.open++
	b.unit.open++
	b.unit.coming++
	return &conn{pool: b.pool, unit: b.unit, address: b.unit.address, net: n}
}

// TestNewsForALegThatWaits tells of a unit that leaves, or is another process now, while a leg waits for a connection
// that comes up late: nothing is written, and the module gets the leg back as one that never ran, in the batch of the
// news or at the latest then.
func TestNewsForALegThatWaits(t *testing.T) {
	for name, news := range map[string]func(*Pool){
		"drains":                func(p *Pool) { p.EndpointLeaving(1, false) },
		"is gone":               func(p *Pool) { p.EndpointLeaving(1, true) },
		"left out of the list":  func(p *Pool) { p.FullListReceived(func(id relay.EndpointID) bool { return id != 1 }) },
		"is at another address": func(p *Pool) { p.EndpointsListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2") },
		"goes, and comes back elsewhere": func(p *Pool) {
			p.EndpointLeaving(1, true)
			p.EndpointsListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			n := &pipe{takes: 1 << 20}
			c := b.coming(n)
			b.pool.Send(b.leg())
			if ends := b.told(); len(ends) != 0 {
				t.Fatalf("ended before the news: %+v", ends)
			}
			news(b.pool)
			ends := b.told()
			ready{c}.Apply(b.Loop) // late
			ends = append(ends, b.told()...)
			if len(ends) != 1 || ends[0].Outcome != relay.NotSent || !ends[0].Outcome.NeverRan() {
				t.Errorf("%+v", ends)
			}
			if len(n.got) != 0 || n.closed == 0 {
				t.Errorf("%q written, closed %d times", n.got, n.closed)
			}
			if b.pool.open != 0 {
				t.Error("connections counted as open:", b.pool.open)
			}
		})
	}
}

// TestLegsOutOutliveTheNews lets a draining unit finish what it has, and gives it nothing more.
func TestLegsOutOutliveTheNews(t *testing.T) {
	b := newBench(t, nil)
	n, spare := &pipe{takes: 1 << 20}, &pipe{takes: 1 << 20}
	b.conn(spare)
	c := b.conn(n)
	b.pool.Send(b.leg())
	b.pool.EndpointLeaving(1, false)
	if spare.closed == 0 || n.closed != 0 {
		t.Errorf("idle closed %d, busy closed %d times", spare.closed, n.closed)
	}
	sent := len(n.got)
	b.pool.Send(b.leg())
	if ends := b.told(); len(ends) != 1 || ends[0].Outcome != relay.NotSent || len(n.got) != sent {
		t.Errorf("%+v, %q", ends, n.got[sent:])
	}
	b.pool.HealthCheck(1)
	answered{c: c, at: b.Clock.Now(), how: relay.Errored, code: "XX000"}.Apply(b.Loop)
	ready{c}.Apply(b.Loop)
	c.rest() // settled
	if ends := b.told(); len(ends) != 1 || ends[0].Outcome != relay.Errored || n.closed == 0 || len(n.got) != sent {
		t.Errorf("%+v, closed %d times", ends, n.closed)
	}
	b.pool.EndpointsListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:1") // it stays after all
	again := &pipe{takes: 1 << 20}
	b.conn(again)
	b.pool.Send(b.leg())
	if len(again.got) == 0 {
		t.Error("ready again, and not served")
	}
}

// TestUnitsThatAreGoneAreForgotten lets a thousand units come and go: nothing of them is left.
func TestUnitsThatAreGoneAreForgotten(t *testing.T) {
	b := newBench(t, nil)
	for id := relay.EndpointID(2); id < 1026; id++ {
		b.pool.EndpointsListed(relay.Endpoint{ID: id}, "s", "127.0.0.1:1")
	}
	b.pool.units[2].open++ // one that still holds a connection
	b.pool.FullListReceived(func(id relay.EndpointID) bool { return id == 1 })
	if len(b.pool.units) != 2 {
		t.Errorf("%d kept", len(b.pool.units))
	}
	b.pool.open++
	b.pool.ended(b.pool.units[2], "", 0, 0, nil)
	if len(b.pool.units) != 1 {
		t.Error("kept without a connection")
	}
}

var _ pipeline.Upstream = (*Pool)(nil)
