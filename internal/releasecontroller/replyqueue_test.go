package releasecontroller

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestRepliesKeepTheOrderOfCalls guards against a refusal for too many pending calls that is sent before the replies to the calls
// ahead of it, so that a relay takes each reply for that of another call. The loop is busy until all calls are read.
func TestRepliesKeepTheOrderOfCalls(t *testing.T) {
	for _, calls := range []int{2, maxCallsInFlight, maxCallsInFlight + 1, 4 * maxCallsInFlight} {
		t.Run(fmt.Sprint(calls, " calls"), func(t *testing.T) {
			r := start(t, t.TempDir(), 1000, nil)
			client := dial(t, r.addresses.Relays["a"]["r0"])
			client.call("VOTE 1 0")
			release, conn := r.holdLoop()
			defer release()
			before := conn.calls.Load()
			fmt.Fprint(client, strings.Repeat("WATCH\r\nVOTE 9 0\r\n", calls/2))
			if calls%2 == 1 {
				fmt.Fprint(client, "WATCH\r\n")
			}
			for end := time.Now().Add(testTimeout); conn.calls.Load() < before+int64(calls); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d of %d calls were read", conn.calls.Load()-before, calls)
				}
			}
			release()
			for i := range calls {
				want := []string{"OK", "ERR ValidationError"}[i%2]
				if i >= maxCallsInFlight {
					want = "ERR Throttling"
				}
				if got := client.reply(); !strings.HasPrefix(got, want) {
					t.Fatalf("reply %d is %q, want %s", i, got, want)
				}
			}
			fmt.Fprint(client, "VOTE 9 0 approve\r\n")
			if got := client.reply(); got != "ERR ConditionFailed" {
				t.Errorf("the next call got %q", got)
			}
		})
	}
}

// reply returns the next line that is not a notice.
func (c *lineClient) reply() string {
	c.t.Helper()
	for {
		if line := c.line(); !strings.HasPrefix(line, "*") {
			return line
		}
	}
}

// holdLoop stops the loop until release is called, which may be called more than once, and returns the only connection.
func (r *runningController) holdLoop() (release func(), conn *relayConn) {
	conns, held := make(chan *relayConn, 1), make(chan struct{})
	r.controller.post(func(ctl *Controller) {
		for c := range ctl.conns {
			conns <- c
		}
		<-held
	})
	released := false
	return func() {
		if !released {
			close(held)
		}
		released = true
	}, <-conns
}

// TestRefusalsThatWaitAreBounded guards against refusals behind a call without a reply that take memory without a limit.
func TestRefusalsThatWaitAreBounded(t *testing.T) {
	r := start(t, t.TempDir(), 1000, nil)
	client := dial(t, r.addresses.Relays["a"]["r0"])
	client.call("VOTE 1 0 clear")
	release, conn := r.holdLoop()
	defer release()
	go func() {
		for range 1000 {
			if _, err := fmt.Fprint(client, strings.Repeat("VOTE 1 0 clear\r\n", 1000)); err != nil {
				return // the controller has closed the connection
			}
		}
	}()
	if line, err := client.reader.ReadString('\n'); err == nil {
		t.Error("a reply came before the loop went on:", line)
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.unsentBytes > 2*maxUnsentBytes {
		t.Errorf("%d bytes of replies were kept, want about %d at most", conn.unsentBytes, maxUnsentBytes)
	}
}
