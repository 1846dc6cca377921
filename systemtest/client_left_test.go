package systemtest

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
)

// leftGrace is how long after its client closed the connection an attempt of a request may begin.
const leftGrace = 100 * time.Millisecond

// TestNothingIsSentForClientsThatLeft guards against sending on requests that were still unread when their clients closed, also
// by a relay that was held up meanwhile.
func TestNothingIsSentForClientsThatLeft(t *testing.T) {
	const (
		clients  = 60
		requests = 16 // of each client, in one write
		smallest = 1
		heldUp   = 3 * leftGrace
	)
	for _, valueBytes := range []int{smallest, pgwire.MaxValue} {
		for _, way := range []string{"close", "reset", "half-close"} {
			for _, hold := range []time.Duration{0, heldUp} {
				t.Run(fmt.Sprintf("values of %d bytes, %s, held up for %v", valueBytes, way, hold), func(t *testing.T) {
					unit := startScriptedEndpoint(t, func(string) reply { return reply{delay: 20 * time.Millisecond} })
					relay := startRelay(t, relayOptions{}, unit)
					sessions := make([]*client, clients)
					for i := range sessions {
						sessions[i] = relay.dial()
					}
					if hold > 0 {
						relay.process.Signal(syscall.SIGSTOP)
					}
					closedAt := make([]time.Time, clients)
					var left sync.WaitGroup
					for i, c := range sessions {
						left.Go(func() {
							for j := range requests {
								_ = c.SetWriteDeadline(time.Now().Add(hold + time.Second))
								statement := writeRequest(classAtMostOnce, fmt.Sprintf("%d-%d", i, j), valueBytes)
								_, _ = c.Write(pgwire.QueryMessage(statement)) // the relay may close the connection first
							}
							leave(c.Conn.(*net.TCPConn), way)
							closedAt[i] = time.Now()
						})
					}
					if hold > 0 {
						time.Sleep(hold)
						relay.process.Signal(syscall.SIGCONT)
					}
					left.Wait()
					relay.settle()
					time.Sleep(time.Second) // attempts that begin late come meanwhile
					late := unit.startedAfter(func(id string) time.Time {
						var i, j int
						fmt.Sscanf(id, "%d-%d", &i, &j)
						return closedAt[i].Add(leftGrace)
					})
					if len(late) > 0 {
						t.Errorf("%d attempts began more than %v after their client had left, the latest %v too late", len(late), leftGrace, latest(late))
					}
				})
			}
		}
	}
}

// leave ends a client's side of a connection.
func leave(connection *net.TCPConn, way string) {
	switch way {
	case "half-close":
		_ = connection.CloseWrite()
		return
	case "reset":
		_ = connection.SetLinger(0)
	}
	_ = connection.Close()
}

// latest returns the longest of the durations.
func latest(durations []time.Duration) (longest time.Duration) {
	for _, d := range durations {
		longest = max(longest, d)
	}
	return longest
}
