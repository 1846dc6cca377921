package systemtest

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// flood is what one client sends at full speed. next returns the next message; reconnect makes the client use a new connection
// after each answer, as it does anyway when the relay closes one.
type flood struct {
	name      string
	window    int // messages that are sent ahead of their answers
	reconnect bool
	next      func(number int64) []byte
}

var floods = []flood{
	{"empty queries", 10, false, func(int64) []byte { return pgwire.QueryMessage("") }},
	{"unsound requests", 1, false, func(int64) []byte { return pgwire.QueryMessage("SELECT 1") }},
	{"sound requests with ever new ids", 10, false, func(number int64) []byte {
		return pgwire.QueryMessage(request(classIdempotent, fmt.Sprint("flood-", number)))
	}},
	{"sound requests that wait for a day", 10, false, func(number int64) []byte {
		return pgwire.QueryMessage(fmt.Sprintf("SELECT body FROM objects WHERE oid = '7f3a' /* id=day-%d,c=pay,t=acme,d=86400000 */", number))
	}},
	{"one id again and again", 10, false, func(int64) []byte { return pgwire.QueryMessage(request(classIdempotent, "same")) }},
	{"ever new unknown classes", 1, false, func(number int64) []byte {
		return pgwire.QueryMessage(fmt.Sprintf("SELECT body FROM objects WHERE oid = '7f3a' /* id=%d,c=c%d,t=t%d,d=900 */", number, number, number))
	}},
	{"ever new connections", 1, true, func(number int64) []byte {
		return pgwire.QueryMessage(request(classIdempotent, fmt.Sprint("conn-", number)))
	}},
}

// TestFloodOfOneClientLeavesMemoryAndServiceToOthers guards against one client that takes the service of others, or makes memory
// grow without end.
func TestFloodOfOneClientLeavesMemoryAndServiceToOthers(t *testing.T) {
	const (
		memoryMB    = 32
		halfTime    = 2 * time.Second
		maxGrowthMB = 4 // in the second half
	)
	for _, flood := range floods {
		t.Run(flood.name, func(t *testing.T) {
			unit := startEndpoint(t, 0)
			relay := startRelay(t, relayOptions{memoryMB: memoryMB, sockets: 256}, unit)
			usual := startUsualClients(relay)
			stop := make(chan struct{})
			var done sync.WaitGroup
			var sent atomic.Int64
			done.Go(func() { flood.run(relay, &sent, stop) })
			time.Sleep(halfTime)
			before := relay.peakMemoryMB()
			time.Sleep(halfTime)
			peak := relay.peakMemoryMB()
			close(stop)
			result := usual.stop()
			done.Wait()
			t.Logf("%d messages; %.1f MB at half time, %.1f MB at the end; usual clients: %v", sent.Load(), before, peak, result)
			if peak > memoryMB || peak-before > maxGrowthMB {
				t.Errorf("the relay took %.1f MB at half time and %.1f MB at the end, with a limit of %d MB", before, peak, memoryMB)
			}
			result.check(t)
		})
	}
}

// run sends at full speed until stop is closed. It reads what it is sent.
func (f flood) run(relay *relayProcess, sent *atomic.Int64, stop <-chan struct{}) {
	for {
		c, err := fakes.Dial(relay.address)
		for err == nil {
			select {
			case <-stop:
				_ = c.Close()
				return
			default:
			}
			var messages bytes.Buffer
			for range f.window {
				messages.Write(f.next(sent.Add(1)))
			}
			_, err = c.Write(messages.Bytes())
			for range f.window {
				if err == nil {
					_, err = c.Receive(testTimeout)
				}
			}
			if f.reconnect {
				break
			}
		}
		if c != nil {
			_ = c.Close()
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}
