package systemtest

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// The soak plays soakRuns seeds from 1 on. SYSTEMTEST_RUNS and SYSTEMTEST_FIRST_SEED change that for a long run by hand.
const (
	soakRuns       = 16
	soakTraffic    = 1500 * time.Millisecond
	soakClients    = 8
	soakCrowd      = 40                                            // clients of a crowd, in some runs
	soakMemoryMB   = 32                                            // limit of each relay
	killAfter      = classDeadline + 700*time.Millisecond          // from SIGTERM to the earliest SIGKILL
	answerSlack    = 500 * time.Millisecond                        // after its deadline an answer only earns nothing
	heldUp         = 150 * time.Millisecond                        // a relay may be held up for this long
	soakMaxBehind  = 80 * time.Millisecond                         // after an answer something else may come behind it
	soakLastHoldUp = killAfter - 3*heldUp                          // from SIGTERM to the start of the last hold-up, at most
	soakMinServed  = 10                                            // requests of usual clients in a run
	soakShutdownOK = killAfter - 10*time.Millisecond + time.Second // from SIGTERM to the end of the process, with the test's own delays
)

// soakRequest is what is known of one request of a usual client.
type soakRequest struct {
	class    string
	sentAt   time.Time
	leftAt   time.Time // when its client left before the answer; zero: it did not
	ended    time.Duration
	response fakes.Response
	closed   bool // the connection ended with no answer
	late     bool // nothing came in time
}

// soak is one run: a relay, endpoints in trouble, usual clients, clients that copy ids, bad clients and signals.
type soak struct {
	t         *testing.T
	random    *rand.Rand // of the goroutine that sets the run up
	relay     *relayProcess
	endpoints []*endpoint
	stop      chan struct{}
	clients   sync.WaitGroup

	mu       sync.Mutex
	requests map[string]*soakRequest // by id
	copies   []soakCopy
}

// soakCopy is the answer to a request with the id of an earlier one.
type soakCopy struct {
	id       string
	response fakes.Response
	sentAt   time.Time
}

func soakSetting(t *testing.T, name string, byDefault int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return byDefault
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestSoak guards against lost requests, effects that come twice, and copies of ids that are served, under faults drawn by seed.
func TestSoak(t *testing.T) {
	first := soakSetting(t, "SYSTEMTEST_FIRST_SEED", 1)
	for seed := first; seed < first+soakSetting(t, "SYSTEMTEST_RUNS", soakRuns); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			newSoak(t, uint64(seed)).play()
		})
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, seed)), stop: make(chan struct{}), requests: map[string]*soakRequest{}}
	for range 3 {
		s.endpoints = append(s.endpoints, startScriptedEndpoint(t, s.endpointScript()))
	}
	s.relay = startRelay(t, relayOptions{memoryMB: soakMemoryMB, sockets: 256, limits: object{
		"cancel": s.random.IntN(4) > 0, "parallel_tries": s.random.IntN(2) == 0}}, s.endpoints...)
	return s
}

// chance is a source of random numbers for several goroutines.
type chance struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (s *soak) newChance() *chance {
	return &chance{random: rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))}
}

func (c *chance) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *chance) duration(most time.Duration) time.Duration { return time.Duration(c.intN(int(most))) }

// endpointScript draws how much trouble an endpoint has.
func (s *soak) endpointScript() func(id string) reply {
	chance := s.newChance()
	troublePercent, serviceTime := chance.intN(20), 5*time.Millisecond+chance.duration(60*time.Millisecond)
	return func(string) reply {
		r := reply{delay: chance.duration(2 * serviceTime)}
		if chance.intN(100) >= troublePercent {
			return r
		}
		switch chance.intN(6) {
		case 0:
			r.rejected = true
		case 1:
			r.resets = true
		case 2:
			r.hangs = true
		case 3:
			r.delay = 450 * time.Millisecond
		case 4:
			r.bytes = as("\xf7\x13\x00\x9a\xff\xfe\x00\x00\x01\x17")
		default:
			r.behind, r.behindDelay = pgwire.AppendReadyForQuery(fakes.Row("another")), 1+chance.duration(soakMaxBehind)
			r.holdsBack = chance.intN(2) == 0
		}
		return r
	}
}

// play plays the run and checks the rules.
func (s *soak) play() {
	for number := range soakClients {
		chance := s.newChance()
		s.clients.Go(func() { s.usualClient(number, chance) })
	}
	for range 2 {
		chance := s.newChance()
		s.clients.Go(func() { s.copyIDs(chance) })
	}
	chance := s.newChance()
	s.clients.Go(func() { s.badClient(chance) })
	if s.random.IntN(3) == 0 {
		s.startCrowd()
	}
	s.sendSignals(s.newChance())
	sigterm := time.Now()
	s.relay.process.Signal(syscall.SIGTERM)
	s.relay.process.Signal(syscall.SIGHUP)
	peak := s.relay.peakMemoryMB()
	kill := time.AfterFunc(killAfter, func() { s.relay.process.Signal(syscall.SIGKILL) })
	time.AfterFunc(s.newChance().duration(soakLastHoldUp), func() { s.holdUp(heldUp) })
	<-s.relay.process.Done
	if took := time.Since(sigterm); !kill.Stop() || took > soakShutdownOK {
		s.t.Errorf("the relay ended %v after SIGTERM, or was killed", took)
	}
	close(s.stop)
	s.clients.Wait()
	if peak > soakMemoryMB {
		s.t.Errorf("the relay took %.1f MB", peak)
	}
	s.check(sigterm)
}

// sendSignals sends signals in series while the clients send.
func (s *soak) sendSignals(chance *chance) {
	for end := time.Now().Add(soakTraffic); time.Now().Before(end); {
		time.Sleep(chance.duration(300 * time.Millisecond))
		switch chance.intN(3) {
		case 0:
			s.relay.process.Signal(syscall.SIGHUP)
			s.relay.process.Signal(syscall.SIGHUP)
		case 1:
			s.holdUp(chance.duration(heldUp))
		default:
			s.relay.process.Signal(syscall.SIGUSR1)
		}
	}
}

// holdUp stops the relay for a time.
func (s *soak) holdUp(duration time.Duration) {
	s.relay.process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	s.relay.process.Signal(syscall.SIGCONT)
}

// startCrowd starts clients that use memory.
func (s *soak) startCrowd() {
	crowd := crowds[s.random.IntN(len(crowds))]
	for number := range soakCrowd {
		s.clients.Go(func() {
			for i := 0; !s.stopped(); i++ {
				if c, err := fakes.Dial(s.relay.address); err == nil {
					_ = c.SetDeadline(time.Time{})
					crowd.play(c, fmt.Sprintf("crowd-%d-%d", number, i), s.stop)
					_ = c.Close()
				} else {
					time.Sleep(heldUp)
				}
			}
		})
	}
}

func (s *soak) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// badClient sends inputs of bad clients one after the other.
func (s *soak) badClient(chance *chance) {
	for !s.stopped() {
		c, err := fakes.Dial(s.relay.address)
		if err != nil {
			time.Sleep(heldUp)
			continue
		}
		_, _ = c.Write([][]byte{sound[:len(sound)/2], changed("d=2000", "d=soon"), message('Q', 0xffffffff, ""), changed("id=bad", "id=bad,id=bad")}[chance.intN(4)])
		response, _ := c.Receive(badClientTimeout)
		if response.Value != "" {
			s.t.Errorf("a bad client was served: %+v", response)
		}
		_ = c.Close()
	}
}

// usualClient sends requests one after the other, on its connection for as long as that is open, and leaves early at times.
func (s *soak) usualClient(number int, chance *chance) {
	var c *fakes.Client
	for i := 0; !s.stopped(); i++ {
		time.Sleep(chance.duration(20 * time.Millisecond))
		if c == nil {
			var err error
			if c, err = fakes.Dial(s.relay.address); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("usual-%d-%d", number, i)
		r := &soakRequest{class: allClasses[chance.intN(len(allClasses))]}
		statement := request(r.class, id)
		if chance.intN(10) == 0 {
			r.class = classAtMostOnce
			statement = writeRequest(r.class, id, chance.intN(pgwire.MaxValue))
		}
		leaveAfter := time.Duration(0)
		if chance.intN(8) == 0 {
			leaveAfter = chance.duration(60 * time.Millisecond)
		}
		s.playRequest(c, id, statement, r, leaveAfter)
		if r.closed || r.late || !r.leftAt.IsZero() {
			_ = c.Close()
			c = nil
		}
	}
}

// playRequest sends a request and waits for its answer, or leaves after a time that is not 0.
func (s *soak) playRequest(c *fakes.Client, id, statement string, r *soakRequest, leaveAfter time.Duration) {
	r.sentAt = time.Now()
	s.mu.Lock()
	s.requests[id] = r
	s.mu.Unlock()
	_ = c.SetDeadline(time.Now().Add(classDeadline + answerSlack))
	_, err := c.Write(pgwire.QueryMessage(statement))
	var response fakes.Response
	wait := classDeadline + answerSlack
	if leaveAfter > 0 {
		wait = leaveAfter
	}
	if err == nil {
		response, err = c.Receive(wait)
	}
	left := leaveAfter > 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if left {
		leave(c.Conn.(*net.TCPConn), []string{"close", "reset"}[len(id)%2])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ended, r.response = time.Since(r.sentAt), response
	switch {
	case left:
		r.leftAt = time.Now()
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.late = true
	case err != nil && response.Code == "":
		r.closed = true
	}
}

// copyIDs sends requests with the ids of others that an endpoint has begun to run.
func (s *soak) copyIDs(chance *chance) {
	var c *fakes.Client
	for !s.stopped() {
		var id string
		select {
		case id = <-s.endpoints[chance.intN(len(s.endpoints))].ran:
		case <-time.After(heldUp):
			continue
		}
		s.mu.Lock()
		original := s.requests[id]
		s.mu.Unlock()
		if original == nil || chance.intN(3) == 0 {
			continue
		}
		time.Sleep(chance.duration(30 * time.Millisecond))
		if c == nil {
			var err error
			if c, err = fakes.Dial(s.relay.address); err != nil {
				continue
			}
		}
		sentAt := time.Now()
		response, err := c.Query(request(original.class, id), classDeadline)
		if err == nil || response.Code != "" {
			s.mu.Lock()
			s.copies = append(s.copies, soakCopy{id, response, sentAt})
			s.mu.Unlock()
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
				s.t.Errorf("a copy of id %s got %v", id, err)
			}
			_ = c.Close()
			c = nil
		}
	}
}

// runsOf returns when the endpoints ran an id.
func (s *soak) runsOf(id string) (runs []time.Time) {
	for _, e := range s.endpoints {
		e.mu.Lock()
		runs = append(runs, e.runs[id]...)
		e.mu.Unlock()
	}
	return runs
}

// summary counts how the requests of usual clients ended.
func (s *soak) summary() string {
	counts := map[string]int{}
	for _, r := range s.requests {
		switch {
		case !r.leftAt.IsZero():
			counts["left"]++
		case r.closed:
			counts["closed"]++
		default:
			counts[r.response.Code]++
		}
	}
	return fmt.Sprint(counts)
}

// check checks the rules after the run.
func (s *soak) check(sigterm time.Time) {
	served := 0
	for id, r := range s.requests {
		s.checkAnswer(id, r, sigterm)
		s.checkRuns(id, r)
		if r.response.Value != "" {
			served++
		}
	}
	for _, c := range s.copies {
		duringShutdown := c.sentAt.After(sigterm.Add(-heldUp))
		if c.response.Value != "" || isRefusal(c.response.Code) && !duringShutdown {
			s.t.Errorf("a copy of request %s, sent %v after SIGTERM, got %+v", c.id, c.sentAt.Sub(sigterm), c.response)
		}
	}
	s.t.Logf("%d requests, %d served, %d ids copied, %s", len(s.requests), served, len(s.copies), s.summary())
	if served < soakMinServed || len(s.copies) == 0 {
		s.t.Errorf("%d requests were served and %d ids copied", served, len(s.copies))
	}
	if log := s.relay.log(); strings.Contains(log, "panic") || !strings.Contains(log, " open=0 ") {
		s.t.Errorf("the relay ended with open requests:\n%s", log[max(0, len(log)-2000):])
	}
}

// checkAnswer checks that a request got its own answer in time, unless the relay closed its connection without taking it.
func (s *soak) checkAnswer(id string, r *soakRequest, sigterm time.Time) {
	after := r.sentAt.Sub(sigterm)
	switch {
	case r.late:
		s.t.Errorf("request %s, sent %v after SIGTERM, got no answer in time", id, after)
	case r.closed && len(s.runsOf(id)) > 0:
		s.t.Errorf("request %s, sent %v after SIGTERM, ran and got no answer", id, after)
	case r.closed && after < -heldUp:
		s.t.Errorf("request %s, sent %v before SIGTERM, got no answer", id, -after)
	case r.response.Value != "" && r.response.Value != id:
		s.t.Errorf("request %s got the answer of %s", id, r.response.Value)
	case r.response.Code == pgwire.CodeDuplicateID:
		s.t.Errorf("request %s was taken for a copy of another one", id)
	}
}

// checkRuns checks that a request ran at most once if its class says so, and not after its client had left.
func (s *soak) checkRuns(id string, r *soakRequest) {
	runs := s.runsOf(id)
	if r.class == classAtMostOnce && len(runs) > 1 {
		s.t.Errorf("the at-most-once request %s ran %d times", id, len(runs))
	}
	for _, startedAt := range runs {
		if late := startedAt.Sub(r.leftAt); !r.leftAt.IsZero() && late > leftGrace+heldUp {
			s.t.Errorf("an attempt of request %s began %v after its client had left", id, late)
		}
	}
}
