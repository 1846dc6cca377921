package main

import (
	"testing"
	"time"
)

// TestListAfterDiscoveryHasMoved guards against a relay that sends to an endpoint that drains, as a new configuration has moved
// discovery to an address that is busy: what discovery has to tell counts as told 4 s after SIGHUP. A relay must go on serving if
// the new address answers, or if discovery is down there.
func TestListAfterDiscoveryHasMoved(t *testing.T) {
	const (
		told     = 4 * time.Second
		grace    = 300 * time.Millisecond // of a drain, with the slack of the sockets
		watched  = 7 * time.Second        // from the move on
		interval = 20 * time.Millisecond
	)
	for name, c := range map[string]struct {
		move   func(next *fakeDiscovery)
		served bool // at the end
		drains bool // the relay must stop sending to the endpoint that drains
	}{
		"busy": {func(next *fakeDiscovery) { next.queue = allCalls(queueing{2 * time.Second, true}) }, false, true},
		"slow": {func(next *fakeDiscovery) { next.queue = allCalls(queueing{wait: time.Second}) }, true, true},
		"slow, then busy": {func(next *fakeDiscovery) {
			next.queue = func(call int) queueing {
				if call == 0 {
					return queueing{wait: 1900 * time.Millisecond} // its list is of before the drain
				}
				return queueing{2050 * time.Millisecond, true}
			}
		}, false, true},
		"down":  {func(next *fakeDiscovery) { next.srv.Listener.Close() }, true, false},
		"fails": {func(next *fakeDiscovery) { next.down = true }, true, false},
		"up":    {func(*fakeDiscovery) {}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			drained, other := newFakeEndpoint(t, always(succeed)), newFakeEndpoint(t, always(succeed))
			previous, next := newFakeDiscovery(t, drained, other), newFakeDiscovery(t, drained, other)
			p := startRelay(t, previous, nil)
			client := dialClient(t, p)
			client.readUntil('Z')
			client.SetDeadline(time.Now().Add(watched + testTimeout))
			next.mu.Lock()
			c.move(next)
			next.mu.Unlock()
			config := p.config
			config.Discovery = next.srv.Listener.Addr().String()
			moved := time.Now()
			p.reload(config, nil, p.loop.Clock.Now())
			previous.srv.Listener.Close()
			time.AfterFunc(1500*time.Millisecond, previous.srv.CloseClientConnections)
			time.AfterFunc(told/2, func() { next.set(0, "DRAINING") })
			served, late := false, 0
			for time.Since(moved) < watched {
				before, _ := drained.counts()
				sentAt := time.Now()
				client.send(selectStatement("look", 500))
				value, _ := client.readResponse()
				served = value != ""
				if after, _ := drained.counts(); after > before && sentAt.Sub(moved) > told+grace {
					late++
				}
				if elapsed := time.Since(moved); !served && elapsed < told-500*time.Millisecond {
					t.Fatalf("not served %v after the move", elapsed)
				}
				time.Sleep(interval)
			}
			if served != c.served {
				t.Errorf("served at the end: %v, want %v", served, c.served)
			}
			if c.drains && late > 0 {
				t.Errorf("%d requests went to the endpoint that drains after that counts as told", late)
			}
			checkCounters(t, p)
		})
	}
}
