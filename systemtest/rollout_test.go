package systemtest

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The rollouts play rolloutRuns seeds from 1 on. SYSTEMTEST_ROLLOUT_RUNS and SYSTEMTEST_FIRST_SEED change that.
const (
	rolloutRuns       = 8
	rolloutClients    = 12
	rolloutPause      = 20 * time.Millisecond // between the requests of a client
	rolloutCallLimit  = 800 * time.Millisecond
	exposureWindow    = 2 * time.Second
	exposureAllowance = 1                                                                 // attempts in the window, whatever the limit
	exposureMargin    = 2                                                                 // attempts more pass
	exposureShare     = 0.04                                                              // of the requests in the window pass as well
	limitGrace        = 250*time.Millisecond + 150*time.Millisecond + 50*time.Millisecond // from a lower limit until it binds
	nextBuildWait     = 6 * time.Second                                                   // for the share of the next build
	nextBuildAttempts = 5                                                                 // that show that it gets a share
	stateInterval     = 4 * time.Second                                                   // between two notices of an unchanged state
)

// Builds of a run: the released one, one that is rolled back, and the next one.
const (
	releasedBuild = iota + 1
	rolledBackBuild
	nextBuild
)

// rolloutRun is what the seed of a run decides.
type rolloutRun struct {
	limits        []float64 // exposure limits by stage
	firstStage    int
	signFirst     bool // a sign of life makes the watch readable before the reply comes
	tellPromotion bool // the watches hear of the promotion before the rollback
	replyLast     bool // the rollback is told by the reply, behind a notice of the state before
	promotionHeld time.Duration
	heldUp        time.Duration
}

func drawRolloutRun(seed uint64) rolloutRun {
	random := rand.New(rand.NewPCG(seed, seed))
	return rolloutRun{
		limits:        []float64{0.15 + 0.2*random.Float64(), 0.4 + 0.2*random.Float64(), 0.8 + 0.2*random.Float64(), 1},
		firstStage:    random.IntN(3),
		signFirst:     random.IntN(4) > 0,
		tellPromotion: random.IntN(2) == 0,
		replyLast:     random.IntN(4) == 0,
		promotionHeld: time.Duration(random.IntN(100)) * time.Millisecond,
		heldUp:        holdUp - time.Duration(random.IntN(50))*time.Millisecond,
	}
}

// TestHoldUpBetweenReplyAndNotices guards against a relay that takes a reply to a vote, or a notice, for later than what the platform
// has written behind it on another connection, and sends to a build that is rolled back; and against one that does not use the next
// build then.
func TestHoldUpBetweenReplyAndNotices(t *testing.T) {
	first := soakSetting(t, "SYSTEMTEST_FIRST_SEED", 1)
	for seed := first; seed < first+soakSetting(t, "SYSTEMTEST_ROLLOUT_RUNS", rolloutRuns); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playRollout(t, drawRolloutRun(uint64(seed)))
		})
	}
}

// rolloutLoad sends requests and records when.
type rolloutLoad struct {
	stop    chan struct{}
	clients sync.WaitGroup
	mu      sync.Mutex
	sentAt  []time.Time
}

func startRolloutLoad(relay *relayProcess) *rolloutLoad {
	load := &rolloutLoad{stop: make(chan struct{})}
	var id atomic.Int64
	for range rolloutClients {
		c := relay.dial()
		load.clients.Go(func() {
			for {
				select {
				case <-load.stop:
					return
				case <-time.After(rolloutPause):
				}
				load.mu.Lock()
				load.sentAt = append(load.sentAt, time.Now())
				load.mu.Unlock()
				if _, err := c.Query(request(classIdempotent, fmt.Sprintf("%08x", id.Add(1))), classDeadline); err != nil {
					return // the test fails by what is missing
				}
			}
		})
	}
	return load
}

// end stops the load and returns when requests were sent.
func (load *rolloutLoad) end() []time.Time {
	close(load.stop)
	load.clients.Wait()
	return load.sentAt
}

// runTimes returns the times of all runs, in order.
func (e *endpoint) runTimes() (times []time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.runs {
		times = append(times, runs...)
	}
	sort.Slice(times, func(i, k int) bool { return times[i].Before(times[k]) })
	return times
}

// countIn returns how many times lie in a window.
func countIn(times []time.Time, from time.Time, length time.Duration) (count int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(length)) {
			count++
		}
	}
	return count
}

func playRollout(t *testing.T, run rolloutRun) {
	fleet := []*endpoint{}
	for range 4 {
		fleet = append(fleet, startEndpoint(t, 2*time.Millisecond))
	}
	rolledBack, next := startEndpoint(t, 2*time.Millisecond), startEndpoint(t, 2*time.Millisecond)
	rolledBack.build, next.build = rolledBackBuild, nextBuild
	p := startPlatform(t, rolloutState{releasedBuild, 3, "stable", 1, time.Now()})
	relay := startRelay(t, relayOptions{platform: p.address, rollout: object{
		"call_timeout": int64(rolloutCallLimit), "exposure_caps": run.limits, "waves": []float64{0.1, 0.2, 0.3, 1},
		"uncounted": exposureAllowance, "span": int64(exposureWindow), "ballot_ttl": int64(10 * time.Second),
		"min_dwell": int64(time.Second), "repeat_every": int64(stateInterval)}}, fleet...)
	load := startRolloutLoad(relay)
	offered := rolloutState{rolledBackBuild, run.firstStage, "canary", run.limits[run.firstStage], time.Now()}
	relay.discovery.Set(entriesOf(append(fleet, rolledBack)))
	p.do(func() { p.notify(offered) })
	vote := p.waitVote(t, fmt.Sprintf("%d %d approve", rolledBackBuild, run.firstStage))

	told := p.rollBackInAHoldUp(relay, run, vote, offered)
	go p.refuseVotes()
	time.Sleep(time.Until(told.Add(limitGrace + exposureWindow + stateInterval/2)))
	offeredNext := time.Now()
	relay.discovery.Set(entriesOf(append(fleet, next)))
	p.do(func() { p.notify(rolloutState{nextBuild, 0, "canary", run.limits[0], time.Now()}) })
	for end := offeredNext.Add(nextBuildWait); len(next.runTimes()) < nextBuildAttempts; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%d attempts at the next build within %v, want %d", len(next.runTimes()), nextBuildWait, nextBuildAttempts)
			break
		}
	}
	checkRollback(t, run, offered.since, told, load.end(), rolledBack.runTimes())
	if t.Failed() {
		t.Log(relay.log())
	}
}

// checkRollback checks the attempts at a build that was offered, and whose rollback was told later.
func checkRollback(t *testing.T, run rolloutRun, offered, told time.Time, sentAt, attempts []time.Time) {
	t.Helper()
	if before := countIn(attempts, offered, told.Sub(offered)); before < nextBuildAttempts {
		t.Errorf("%d attempts at the build before its rollback: the run shows nothing", before)
	}
	for _, at := range attempts {
		if at.Before(told.Add(limitGrace)) {
			continue
		}
		passes := exposureAllowance + exposureMargin + exposureShare*float64(countIn(sentAt, at, exposureWindow))
		if count := countIn(attempts, at, exposureWindow); float64(count) > passes {
			t.Errorf("%+v: %d attempts at the rolled back build in %v, %.1f pass", run, count, exposureWindow, passes)
			return
		}
	}
}

// waitVote waits for a vote, and refuses others.
func (p *platform) waitVote(t *testing.T, text string) platformVote {
	t.Helper()
	timeout := time.After(2 * testTimeout)
	for {
		select {
		case vote := <-p.votes:
			if vote.text == text {
				return vote
			}
			p.do(func() { p.refuse(vote) })
		case <-timeout:
			t.Fatalf("no vote %q", text)
		}
	}
}

// refuseVotes refuses all further votes.
func (p *platform) refuseVotes() {
	for vote := range p.votes {
		p.do(func() { p.refuse(vote) })
	}
}

// rollBackInAHoldUp holds the relay up while the reply to its vote and the rollback of the build are written, and returns when the
// rollback was told.
func (p *platform) rollBackInAHoldUp(relay *relayProcess, run rolloutRun, vote platformVote, offered rolloutState) (told time.Time) {
	relay.process.Signal(syscall.SIGSTOP)
	begin := time.Now()
	defer func() {
		time.Sleep(time.Until(begin.Add(run.heldUp)))
		relay.process.Signal(syscall.SIGCONT)
	}()
	if run.signFirst {
		p.do(p.signOfLife)
	}
	promoted := offered
	promoted.stage++
	promoted.limit, promoted.since = run.limits[promoted.stage], begin
	rolledBack := promoted
	rolledBack.phase, rolledBack.limit = "reverting", 0
	if run.replyLast {
		p.do(func() {
			p.notify(promoted)
			p.state = rolledBack
			told = time.Now()
			p.answer(vote)
		})
		return told
	}
	p.do(func() { p.state = promoted; p.answer(vote) })
	time.Sleep(run.promotionHeld)
	p.do(func() {
		if run.tellPromotion {
			p.notify(promoted)
		}
		told = time.Now()
		p.notify(rolledBack)
	})
	return told
}
