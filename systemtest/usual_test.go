package systemtest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"lichenroad/lab/fakes"
)

const (
	usualClientCount    = 8
	usualPause          = 50 * time.Millisecond // between the requests of a usual client
	largeValueEvery     = 10                    // each so manyth request of a usual client writes a large value
	usualLargeValue     = 16 << 10              // its bytes
	minUsualServedShare = 0.95                  // of the requests of usual clients that the decision module does not reject
	minUsualKeptShare   = 0.8                   // of the requests of usual clients, not rejected by the decision module
	textShed            = "turned away, nothing was done"
)

// usualClients are clients that send sound requests one after the other, beside others that don't.
type usualClients struct {
	end     chan struct{}
	clients sync.WaitGroup
	mu      sync.Mutex
	result  usualResult
}

// usualResult counts what usual clients got.
type usualResult struct {
	requests, served, lost int
	shed                   int            // rejected by the decision module in an overload, also counted in errors
	errors                 map[string]int // by code and text
	slowest                time.Duration
}

// startUsualClients starts clients that send until stop is called.
func startUsualClients(relay *relayProcess) *usualClients {
	u := &usualClients{end: make(chan struct{}), result: usualResult{errors: map[string]int{}}}
	for i := range usualClientCount {
		c := relay.dial()
		u.clients.Go(func() { u.run(relay, c.Client, i) })
	}
	return u
}

func (u *usualClients) run(relay *relayProcess, c *fakes.Client, number int) {
	for i := 1; ; i++ {
		select {
		case <-u.end:
			return
		case <-time.After(usualPause):
		}
		id := fmt.Sprintf("usual-%d-%d", number, i)
		statement := request(allClasses[i%len(allClasses)], id)
		if i%largeValueEvery == 0 {
			statement = writeRequest(classAtMostOnce, id, usualLargeValue)
		}
		begin := time.Now()
		response, err := c.Query(statement, classDeadline)
		u.record(response, err, time.Since(begin))
		if err != nil {
			if c, err = fakes.Dial(relay.address); err != nil {
				return // the relay has ended, which the test reports
			}
		}
	}
}

func (u *usualClients) record(response fakes.Response, err error, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.result.requests++
	u.result.slowest = max(u.result.slowest, took)
	switch {
	case err != nil && response.Code == "":
		u.result.lost++
	case response.Value != "":
		u.result.served++
	default:
		u.result.errors[response.Code+" "+response.Text]++
		if response.Text == textShed {
			u.result.shed++
		}
	}
}

// stop ends the clients and returns what they got.
func (u *usualClients) stop() usualResult {
	close(u.end)
	u.clients.Wait()
	return u.result
}

// check checks that no request was lost, that none was answered late and that most were served.
func (r usualResult) check(t *testing.T) {
	t.Helper()
	const answerSlack = 500 * time.Millisecond // the longest time after its deadline at which an answer is not lost
	if r.lost > 0 || r.slowest > classDeadline+answerSlack {
		t.Errorf("usual clients: %d requests lost, the slowest answer after %v", r.lost, r.slowest)
	}
	kept := r.requests - r.shed
	if r.requests == 0 || float64(r.served) < minUsualServedShare*float64(kept) {
		t.Errorf("usual clients: %d of %d requests served, want %.0f%%", r.served, kept, 100*minUsualServedShare)
	}
	if float64(kept) < minUsualKeptShare*float64(r.requests) {
		t.Errorf("usual clients: the decision module rejected %d of %d requests", r.shed, r.requests)
	}
}
