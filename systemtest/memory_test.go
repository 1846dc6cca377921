package systemtest

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// crowd is a way in which hundreds of clients use a relay's memory. Each call plays one connection of one client and returns
// when that is over.
type crowd struct {
	name string
	play func(c *fakes.Client, id string, stop <-chan struct{})
}

// largeRequest returns the message of a request with the largest value.
func largeRequest(id string) []byte {
	return pgwire.QueryMessage(writeRequest(classIdempotent, id, pgwire.MaxValue))
}

// waitClosed waits until the relay closes the connection, or until stop is closed.
func waitClosed(c *fakes.Client, stop <-chan struct{}) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for buffer := make([]byte, 4096); ; {
			if _, err := c.Read(buffer); err != nil {
				return
			}
		}
	}()
	select {
	case <-closed:
	case <-stop:
	}
}

var crowds = []crowd{
	{"stops half way through a large request", func(c *fakes.Client, id string, stop <-chan struct{}) {
		message := largeRequest(id)
		_, _ = c.Write(message[:len(message)*9/10])
		waitClosed(c, stop)
	}},
	{"writes large requests slowly", func(c *fakes.Client, id string, stop <-chan struct{}) {
		const parts = 20
		message := largeRequest(id)
		for part := range parts {
			if _, err := c.Write(message[len(message)*part/parts : len(message)*(part+1)/parts]); err != nil {
				return
			}
			select {
			case <-time.After(50 * time.Millisecond):
			case <-stop:
				return
			}
		}
		waitClosed(c, stop)
	}},
	{"large requests in hand", func(c *fakes.Client, id string, stop <-chan struct{}) {
		for i := range 8 {
			if _, err := c.Write(largeRequest(fmt.Sprintf("%s-%d", id, i))); err != nil {
				return
			}
		}
		waitClosed(c, stop)
	}},
	{"sends heads of very many short fields", func(c *fakes.Client, id string, stop <-chan struct{}) {
		fields := strings.Repeat("a=1,", 32000)
		_, _ = c.Write(pgwire.QueryMessage("SELECT body FROM objects WHERE oid = '7f3a' /* id=" + id + "," + fields + "c=look,t=acme,d=900 */"))
		waitClosed(c, stop)
	}},
}

// relaySizes are the limits of memory and descriptors of the relays under test, from the smallest to the largest.
var relaySizes = []relayOptions{{memoryMB: 32, sockets: 256}, {memoryMB: 32, sockets: 1024}, {memoryMB: 64, sockets: 1024}, {memoryMB: 192, sockets: 1024}}

// startLargeValueEndpoints starts endpoints at which the largest requests are in hand for long.
func startLargeValueEndpoints(t *testing.T) (endpoints []*endpoint) {
	const (
		count     = 3
		usualTime = 20 * time.Millisecond
		largeTime = time.Second
	)
	for range count {
		e := startEndpoint(t, usualTime)
		e.ServiceTimeOf = func(statement string) time.Duration {
			if len(statement) > pgwire.MaxValue {
				return largeTime
			}
			return usualTime
		}
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// TestCrowdsLeaveMemoryAndServiceToUsualClients guards against a relay that hundreds of clients with large or incomplete requests
// put over its memory, or keep from serving others.
func TestCrowdsLeaveMemoryAndServiceToUsualClients(t *testing.T) {
	const (
		crowdShare = 0.8 // of the clients that a relay accepts
		duration   = 3500 * time.Millisecond
	)
	for _, size := range relaySizes {
		for _, crowd := range crowds {
			t.Run(fmt.Sprintf("%d MB, %d descriptors, %s", size.memoryMB, size.sockets, crowd.name), func(t *testing.T) {
				relay := startRelay(t, size, startLargeValueEndpoints(t)...)
				clients := int(crowdShare * float64((size.sockets-64)/2))
				usual := startUsualClients(relay)
				stop := make(chan struct{})
				var open sync.WaitGroup
				var lastID atomic.Int64
				for range clients {
					open.Go(func() {
						for {
							select {
							case <-stop:
								return
							default:
							}
							if c, err := fakes.Dial(relay.address); err == nil {
								_ = c.SetDeadline(time.Time{})
								crowd.play(c, fmt.Sprint("crowd-", lastID.Add(1)), stop)
								_ = c.Close()
							}
						}
					})
				}
				time.Sleep(duration)
				close(stop)
				served := usual.stop()
				open.Wait()
				select {
				case <-relay.process.Done:
					t.Fatal("the relay has ended")
				default:
				}
				peak := relay.peakMemoryMB()
				t.Logf("%d clients, %.1f MB at most; usual clients: %v", clients, peak, served)
				if peak > float64(size.memoryMB) {
					t.Errorf("the relay took %.1f MB, over its limit of %d MB", peak, size.memoryMB)
				}
				served.check(t)
			})
		}
	}
}

// TestClientsThatReadNothingLeaveMemoryAndService guards against a relay that holds the large answers of hundreds of clients that do
// not read them.
func TestClientsThatReadNothingLeaveMemoryAndService(t *testing.T) {
	const (
		clients  = 384
		queries  = 16 // of each client, in one write
		duration = 3 * time.Second
	)
	value := strings.Repeat("x", pgwire.MaxValue)
	for _, size := range []relayOptions{{memoryMB: 32, sockets: 1024}, {memoryMB: 64, sockets: 1024}} {
		t.Run(fmt.Sprintf("%d MB", size.memoryMB), func(t *testing.T) {
			var endpoints []*endpoint
			for range 3 {
				endpoints = append(endpoints, startScriptedEndpoint(t, func(id string) reply {
					if !strings.HasPrefix(id, "large") {
						return reply{delay: 20 * time.Millisecond}
					}
					return reply{delay: 20 * time.Millisecond, bytes: func([]byte) []byte { return pgwire.AppendReadyForQuery(fakes.Row(value)) }}
				}))
			}
			relay := startRelay(t, size, endpoints...)
			usual := startUsualClients(relay)
			var first *client
			for i := range clients {
				c := relay.dial()
				if first == nil {
					first = c
				} else {
					_ = c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				}
				var statements []string
				for j := range queries {
					statements = append(statements, request(classIdempotent, fmt.Sprintf("large-%d-%d", i, j)))
				}
				c.send(statements...)
			}
			time.Sleep(duration)
			for range queries { // the one that reads at last
				if response := first.receive(testTimeout); response.Value != value && !isRefusal(response.Code) {
					t.Errorf("got a value of %d bytes, code %q", len(response.Value), response.Code)
				}
			}
			result, peak := usual.stop(), relay.peakMemoryMB()
			t.Logf("%.1f MB at most; usual clients: %v", peak, result)
			if peak > float64(size.memoryMB) {
				t.Errorf("the relay took %.1f MB, over its limit of %d MB", peak, size.memoryMB)
			}
			result.check(t)
		})
	}
}
