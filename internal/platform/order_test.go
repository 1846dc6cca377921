package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// testPlatform is a platform whose test writes each line. It accepts watches with the present state and records the calls.
type testPlatform struct {
	t        *testing.T
	listener net.Listener
	conns    chan *testConn

	mu                   sync.Mutex
	state                string // "BUILD STAGE PHASE LIMIT"
	refusesWatchOfVoters bool   // answers WATCH with an error on all connections but the first
}

// testConn is a connection to a testPlatform.
type testConn struct {
	net.Conn
	votes chan string // the votes received

	refusesWatch bool
	carriesVotes bool // set by the test

	mu       sync.Mutex
	watching bool
}

func startTestPlatform(t *testing.T, state string) *testPlatform {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &testPlatform{t: t, listener: listener, conns: make(chan *testConn, 8), state: state}
	go func() {
		for isFirst := true; ; isFirst = false {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			refuses := p.refusesWatchOfVoters && !isFirst
			p.mu.Unlock()
			conn := &testConn{Conn: connection, votes: make(chan string, 8), refusesWatch: refuses}
			t.Cleanup(func() { connection.Close() })
			p.conns <- conn
			go p.serve(conn)
		}
	}()
	return p
}

func (p *testPlatform) serve(conn *testConn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		switch line := lines.Text(); {
		case line != "WATCH":
			conn.votes <- line
		case conn.refusesWatch:
			fmt.Fprint(conn, "ERR Throttling\r\n")
		default:
			p.mu.Lock()
			fmt.Fprintf(conn, "OK\r\n* news %s 5\r\n", p.state)
			p.mu.Unlock()
			conn.mu.Lock()
			conn.watching = true
			conn.mu.Unlock()
		}
	}
}

func (p *testPlatform) accept() *testConn {
	p.t.Helper()
	select {
	case conn := <-p.conns:
		return conn
	case <-time.After(testTimeout):
		p.t.Fatal("no connection from the client")
		return nil
	}
}

// setState changes the state with which watches begin.
func (p *testPlatform) setState(state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

func (c *testConn) isWatching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watching
}

// testClient is a client whose loop runs, and the statuses that it delivers.
type testClient struct {
	*Client
	t *testing.T
	// numbers of notices that the platforms of the test have written to watches and to connections for votes
	watchNotices, voteNotices int64

	mu       sync.Mutex
	statuses []relay.RolloutStatus
	replies  []relay.VoteReply
}

func startTestClient(t *testing.T, p *testPlatform) *testClient {
	c := &testClient{Client: newTestClient(p.listener.Addr().String()), t: t}
	c.OnStatus = func(_ *pipeline.Loop, status relay.RolloutStatus) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if status.Valid {
			c.statuses = append(c.statuses, status)
		}
		if status.Reply != relay.ReplyNone {
			c.replies = append(c.replies, status.Reply)
		}
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { c.loop.Run(stop); close(done) }()
	t.Cleanup(func() { close(stop); <-done })
	c.Start()
	return c
}

// present returns the status that was delivered last, as "BUILD STAGE PHASE LIMIT".
func (c *testClient) present() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.statuses) == 0 {
		return ""
	}
	status := c.statuses[len(c.statuses)-1]
	phase := []string{"canary", "reverting", "stable", "reverted"}[status.Phase]
	return fmt.Sprint(status.Build, " ", status.Stage, " ", phase, " ", status.ExposureLimit)
}

// checkNotAbove checks that the status that was delivered last is a given one, perhaps with a lower limit.
func (c *testClient) checkNotAbove(state string) {
	c.t.Helper()
	got, want := strings.Fields(c.present()), strings.Fields(state)
	gotLimit, gotErr := strconv.ParseFloat(got[3], 64)
	wantLimit, wantErr := strconv.ParseFloat(want[3], 64)
	if gotErr != nil || wantErr != nil || !slices.Equal(got[:3], want[:3]) || gotLimit > wantLimit {
		c.t.Errorf("present status %q, want %q or a lower limit", got, want)
	}
}

// waitCounter waits until a counter has a value, and until the loop has applied what was posted before.
func (c *testClient) waitCounter(id metrics.Counter, want int64) {
	c.t.Helper()
	c.waitCounterOnly(id, want)
	applied := make(chan struct{})
	c.loop.Post(pipeline.Func(func(*pipeline.Loop) { close(applied) }))
	<-applied
}

// waitCounterOnly waits until a counter has a value.
func (c *testClient) waitCounterOnly(id metrics.Counter, want int64) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); c.loop.Metrics.Get(id) < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("counter %d is %d, want %d: %v", id, c.loop.Metrics.Get(id), want, c.loop.Metrics.Fields())
		}
	}
}

// notify writes notices to a connection if it watches, and waits until they are handled.
func (c *testClient) notify(conn *testConn, states ...string) {
	c.t.Helper()
	if !conn.isWatching() {
		return
	}
	for _, state := range states {
		fmt.Fprintf(conn, "* news %s 5\r\n", state)
		if conn.carriesVotes {
			c.voteNotices++
		} else {
			c.watchNotices++
		}
	}
	c.waitCounter(metrics.RolloutStatuses, c.watchNotices)
	c.waitCounter(metrics.RolloutStatusesBesideVotes, c.voteNotices)
}

// answer writes the reply to a vote, and waits until it is handled, and so is the status of the watch that the client requests then.
func (c *testClient) answer(conn *testConn, state string) {
	c.t.Helper()
	isFirst := !conn.isWatching()
	counted := c.loop.Metrics.Get(metrics.VotesCounted)
	fmt.Fprintf(conn, "OK %s 5\r\n", state)
	c.waitCounter(metrics.VotesCounted, counted+1)
	isCurrent := conn.LocalAddr().String() == c.currentAddress()
	if isFirst && isCurrent && !conn.refusesWatch {
		c.voteNotices++
		c.waitCounter(metrics.RolloutStatusesBesideVotes, c.voteNotices)
	}
}

// vote casts a vote on a new connection, which it returns when the platform has received the vote.
func (c *testClient) vote(p *testPlatform) *testConn {
	c.t.Helper()
	c.Vote(relay.Vote{Build: 42, Verdict: relay.VotePromote})
	conn := p.accept()
	select {
	case <-conn.votes:
	case <-time.After(testTimeout):
		c.t.Fatal("the platform received no vote")
	}
	conn.carriesVotes = true
	return conn
}

// connect returns the first watch, when its first status is delivered.
func (c *testClient) connect(p *testPlatform) *testConn {
	c.t.Helper()
	watch := p.accept()
	c.watchNotices++
	c.waitCounter(metrics.RolloutStatuses, c.watchNotices)
	return watch
}

// rolloutHistory is what a platform writes in order: the state at the start of the watch, the reply to a vote, and the state after
// that.
type rolloutHistory struct{ name, before, reply, after string }

var rolloutHistories = []rolloutHistory{
	{"rolled back after a promotion", "42 0 canary 0.1", "42 1 canary 0.4", "42 1 reverting 0"},
	{"rolled back in the last stage", "7 2 canary 0.6", "7 3 canary 1", "7 3 reverting 0"},
	{"rolled back after the release", "42 3 canary 1", "42 3 stable 1", "42 3 reverting 0"},
	{"withdrawn after a vote to roll back", "42 1 canary 0.4", "42 1 reverting 0", "42 1 reverted 0"},
	{"next build after a rollback", "42 1 canary 0.4", "42 1 reverting 0", "43 0 canary 0.1"},
	{"promoted again", "42 0 canary 0.06", "42 1 canary 0.24", "42 2 canary 0.8"},
	{"limit lowered within the stage", "42 1 canary 0.1", "42 2 canary 0.4", "42 2 canary 0.1"},
}

// TestReplyAndNoticesInAnyOrder guards against the reply to a vote, or a notice, that was written before the present status and is
// read after it on another connection, and takes its place.
func TestReplyAndNoticesInAnyOrder(t *testing.T) {
	for _, h := range rolloutHistories {
		for _, notices := range [][]string{{h.reply, h.after}, {h.after}} {
			for _, isSecond := range []bool{false, true} {
				name := fmt.Sprintf("%s, %d notices, second vote %v", h.name, len(notices), isSecond)
				t.Run("watch first, "+name, func(t *testing.T) { checkWatchFirst(t, h, notices, isSecond) })
				t.Run("reply first, "+name, func(t *testing.T) { checkReplyFirst(t, h, notices, isSecond) })
			}
		}
	}
}

// startVote starts a client with a vote that has no reply. If isSecond is set, a vote before it has one, so that its connection
// watches.
func startVote(t *testing.T, state string, isSecond bool) (p *testPlatform, c *testClient, watch, voter *testConn) {
	p = startTestPlatform(t, state)
	c = startTestClient(t, p)
	watch = c.connect(p)
	voter = c.vote(p)
	if isSecond {
		c.answer(voter, state)
		c.Vote(relay.Vote{Build: 42, Verdict: relay.VotePromote})
		<-voter.votes
	}
	return p, c, watch, voter
}

// checkWatchFirst reads the notices of the watch before the reply, which was written first.
func checkWatchFirst(t *testing.T, h rolloutHistory, notices []string, isSecond bool) {
	p, c, watch, voter := startVote(t, h.before, isSecond)
	p.setState(h.after)
	c.notify(watch, notices...)
	c.answer(voter, h.reply)
	c.checkNotAbove(h.after)
	if isSecond {
		c.notify(voter, notices...)
	}
	if got := c.present(); got != h.after {
		t.Errorf("present status %q, want %q", got, h.after)
	}
}

// checkReplyFirst reads the reply before the notices of the watch.
func checkReplyFirst(t *testing.T, h rolloutHistory, notices []string, isSecond bool) {
	p, c, watch, voter := startVote(t, h.before, isSecond)
	p.setState(h.reply)
	c.answer(voter, h.reply)
	if got := c.present(); got != h.reply {
		t.Errorf("present status %q after the reply, want %q", got, h.reply)
	}
	c.notify(voter, notices...)
	c.notify(watch, notices...)
	if got := c.present(); got != h.after {
		t.Errorf("present status %q, want %q", got, h.after)
	}
}

// TestReplyThatRollsBackStandsBesideOldNotices guards against a notice from before a rollback, read after the reply that told it,
// that raises the limit again.
func TestReplyThatRollsBackStandsBesideOldNotices(t *testing.T) {
	p := startTestPlatform(t, "42 1 canary 0.4")
	c := startTestClient(t, p)
	watch := c.connect(p)
	voter := c.vote(p)
	p.setState("42 2 reverting 0")
	c.answer(voter, "42 2 reverting 0")
	c.notify(watch, "42 1 canary 0.4", "42 2 canary 0.8") // written before the reply
	if got := c.present(); got != "42 2 reverting 0" {
		t.Errorf("present status %q, want the rollback", got)
	}
	c.notify(watch, "42 2 reverting 0", "43 0 canary 0.1")
	if got := c.present(); got != "43 0 canary 0.1" {
		t.Errorf("present status %q, want the next build", got)
	}
}

// TestVotesWithoutAWatch guards against votes that depend on the watch of their connection, which the platform refuses, and
// against a reply on such a connection that undoes a rollback.
func TestVotesWithoutAWatch(t *testing.T) {
	p := startTestPlatform(t, "42 0 canary 0.1")
	p.mu.Lock()
	p.refusesWatchOfVoters = true
	p.mu.Unlock()
	c := startTestClient(t, p)
	watch := c.connect(p)
	voter := c.vote(p)
	c.notify(watch, "42 1 reverting 0")
	c.answer(voter, "42 1 canary 0.4")
	if got := c.present(); got != "42 1 reverting 0" {
		t.Errorf("present status %q, want the rollback", got)
	}
	c.Vote(relay.Vote{Build: 42, Verdict: relay.NoVote})
	<-voter.votes
	c.answer(voter, "43 0 canary 0.1")
	if got := c.present(); got != "43 0 canary 0.1" {
		t.Errorf("present status %q, want the one of the reply to a later vote", got)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if got := fmt.Sprint(c.replies); got != fmt.Sprint([]relay.VoteReply{relay.ReplyCounted, relay.ReplyCounted}) {
		t.Errorf("results of the votes: %v", got)
	}
}

// TestReplyOfTheOldAddress guards against the reply to a vote that was pending when the platform's address changed, and is read
// after the first status of the new address, that raises the limit.
func TestReplyOfTheOldAddress(t *testing.T) {
	old, next := startTestPlatform(t, "42 1 canary 0.1"), startTestPlatform(t, "42 1 reverting 0")
	c := startTestClient(t, old)
	c.connect(old)
	voter := c.vote(old)
	c.SetAddress(next.listener.Addr().String())
	c.connect(next)
	c.answer(voter, "42 1 canary 0.4")
	if got := c.present(); got != "42 1 reverting 0" {
		t.Errorf("present status %q, want that of the new address", got)
	}
}

// TestConfiguredStatusIsEarlier guards against a status of the configuration that is taken for later than the first notice.
func TestConfiguredStatusIsEarlier(t *testing.T) {
	p := startTestPlatform(t, "42 1 canary 0.4")
	c := &testClient{Client: newTestClient(p.listener.Addr().String()), t: t}
	c.SetInitialStatus(relay.RolloutStatus{Valid: true, Build: 42, Stage: 1, ExposureLimit: 0.1})
	c.OnStatus = func(_ *pipeline.Loop, status relay.RolloutStatus) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.statuses = append(c.statuses, status)
	}
	c.Start()
	c.waitCounterOnly(metrics.RolloutStatuses, 1) // the watch has its status before the loop runs
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { c.loop.Run(stop); close(done) }()
	defer func() { close(stop); <-done }()
	c.waitCounter(metrics.RolloutStatuses, 1)
	if got := c.present(); got != "42 1 canary 0.4" {
		t.Errorf("present status %q, want that of the watch", got)
	}
}

// TestDecisionsAreLogged guards against log lines that don't tell a late status from a platform that went back.
func TestDecisionsAreLogged(t *testing.T) {
	p := startTestPlatform(t, "42 0 canary 0.1")
	c := startTestClient(t, p)
	var text strings.Builder
	c.loop.Log.SetOutput(&text)
	watch := c.connect(p)
	voter := c.vote(p)
	c.notify(watch, "42 1 canary 0.4", "42 1 reverting 0")
	p.setState("42 1 reverting 0")
	c.answer(voter, "42 1 canary 0.4")
	c.notify(watch, "42 1 canary 0.4")
	c.loop.Log.SetOutput(io.Discard) // connections that end later write lines as well
	for _, id := range []metrics.Counter{metrics.RolloutStatusesUnordered, metrics.RolloutStatusesBackward} {
		if count := c.loop.Metrics.Get(id); count != 1 {
			t.Errorf("counter %d is %d, want 1", id, count)
		}
	}
	for _, want := range []string{"line=vote_reply", "reason=unordered", "line=notice", "reason=backward", "known_phase=1"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %s in the log:\n%s", want, text.String())
		}
	}
}
