package live

import (
	"testing"

	"pgregory.net/rapid"
)

const testRelays = 2

// senderModel drives a sender, and knows what it must keep to.
type senderModel struct {
	t        *rapid.T
	bounds   Bounds
	sender   *Sender
	inUse    map[connectionKey]int // number of the request on the connection
	open     map[connectionKey]bool
	lastSent [testRelays]int // number of the request that was sent last to a relay
	due      int
	sent     int
	rejected int
}

// sendOn checks and records that a request is sent: on a connection that is free, and after those due before it.
func (m *senderModel) sendOn(d Decision) {
	key := connectionKey{d.Request.Relay, d.Connection}
	if _, taken := m.inUse[key]; taken {
		m.t.Fatalf("connection %v carries two requests", key)
	}
	if d.Action == Reuse && !m.open[key] || d.Action == Open && m.open[key] {
		m.t.Fatalf("action %v for connection %v", d.Action, key)
	}
	if d.Request.Number <= m.lastSent[d.Request.Relay] {
		m.t.Fatalf("request %d overtaken by %d", d.Request.Number, m.lastSent[d.Request.Relay])
	}
	m.lastSent[d.Request.Relay] = d.Request.Number
	m.open[key], m.inUse[key] = true, d.Request.Number
	m.sent++
}

// arrive makes the next request due.
func (m *senderModel) arrive() {
	request := Request{Number: m.due, Relay: rapid.IntRange(0, testRelays-1).Draw(m.t, "relay")}
	m.due++
	switch d := m.sender.Send(request); d.Action {
	case Reuse, Open:
		m.sendOn(d)
	case Reject:
		m.rejected++
	}
}

// finishLowest ends the request on the lowest connection in use; the order of a map is no test's.
func (m *senderModel) finishLowest() {
	var lowest connectionKey
	for key := range m.inUse {
		if lowest.connection == 0 || key.relay < lowest.relay || key.relay == lowest.relay && key.connection < lowest.connection {
			lowest = key
		}
	}
	delete(m.inUse, lowest)
	reusable := rapid.Bool().Draw(m.t, "kept")
	if !reusable {
		delete(m.open, lowest)
	}
	if d := m.sender.Release(lowest.relay, lowest.connection, reusable); d.Action != Wait {
		m.sendOn(d)
	}
}

func (m *senderModel) checkBounds() {
	for relay := range testRelays {
		open := 0
		for key := range m.open {
			if key.relay == relay {
				open++
			}
		}
		waiting := len(m.sender.relays[relay].waiting)
		if open > m.bounds.Connections || waiting > m.bounds.Waiting {
			m.t.Fatalf("%d connections, %d requests wait", open, waiting)
		}
		if waiting > 0 && len(m.inUse) == 0 {
			m.t.Fatal("a request waits and none is in flight")
		}
	}
}

// TestSenderKeepsOrderAndBounds drives a sender with any mix of arrivals, responses and broken connections: no connection
// carries two requests at once, none overtakes at a relay, the bounds hold, and every request is sent once or rejected.
func TestSenderKeepsOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Connections: rapid.IntRange(1, 4).Draw(t, "lanes"), Waiting: rapid.IntRange(0, 5).Draw(t, "waiting"), LateAfter: 1, MaxLateShare: 0.5}
		m := &senderModel{t: t, bounds: bounds, sender: NewSender(testRelays, bounds), inUse: map[connectionKey]int{},
			open: map[connectionKey]bool{}, lastSent: [testRelays]int{-1, -1}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "arrives") || len(m.inUse) == 0 {
				m.arrive()
			} else {
				m.finishLowest()
			}
			m.checkBounds()
		}
		if waiting := len(m.sender.DropWaiting()); m.sent+m.rejected+waiting != m.due {
			t.Fatalf("%d sent, %d rejected, %d waited of %d", m.sent, m.rejected, waiting, m.due)
		}
	})
}

// TestLatenessMakesARunInvalid: what a slow sender did must not be reported as the relays' doing.
func TestLatenessMakesARunInvalid(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay float64 // seconds
		count int     // of 100 requests that are sent with it
		valid bool
	}{
		{"all within the bound", 0.005, 100, true},
		{"as many late as are allowed", 0.02, 1, true},
		{"one too many late", 0.02, 2, false},
		{"all late by far", 5, 100, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSender(1, Bounds{Connections: 1, Waiting: 1, LateAfter: 0.01, MaxLateShare: 0.01})
			for i := range 100 {
				request := Request{Number: i, Due: float64(i)}
				now := request.Due
				if i < c.count {
					now += c.delay
				}
				s.RecordSent(request, now)
			}
			if l := s.Lateness(); (l.Invalid == "") != c.valid || l.Sent != 100 {
				t.Errorf("%+v", l)
			}
		})
	}
	t.Run("a rejected request", func(t *testing.T) {
		s := NewSender(1, Bounds{Connections: 0, Waiting: 0, LateAfter: 1, MaxLateShare: 0})
		if d := s.Send(Request{}); d.Action != Reject || s.Lateness().Invalid == "" {
			t.Error("the run is valid")
		}
	})
}
