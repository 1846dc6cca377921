package systemtest

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// signInterval is the time between two signs of life on a watch.
const signInterval = time.Second

// rolloutState is where the newest build stands.
type rolloutState struct {
	build, stage int
	phase        string
	limit        float64
	since        time.Time
}

func (s rolloutState) String() string {
	return fmt.Sprintf("%d %d %s %g %d", s.build, s.stage, s.phase, s.limit, time.Since(s.since).Milliseconds())
}

// platform is an emulated release platform. Whatever writes to connections holds mu, so that all writes have one order.
type platform struct {
	address string
	votes   chan platformVote // the votes received

	mu       sync.Mutex
	state    rolloutState
	watchers map[net.Conn]bool
}

// platformVote is a vote, and the connection on which it came.
type platformVote struct {
	text string // without the word VOTE
	conn net.Conn
}

func startPlatform(t *testing.T, state rolloutState) *platform {
	t.Helper()
	listener := listen(t)
	p := &platform{address: listener.Addr().String(), votes: make(chan platformVote, 1<<10), state: state, watchers: map[net.Conn]bool{}}
	serveConnections(t, listener, p.serve)
	ticker := time.NewTicker(signInterval)
	t.Cleanup(ticker.Stop)
	go func() {
		for range ticker.C {
			p.do(p.signOfLife)
		}
	}()
	return p
}

// do calls a function that may write.
func (p *platform) do(write func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	write()
}

func (p *platform) serve(connection net.Conn) {
	defer func() {
		p.do(func() { delete(p.watchers, connection) })
		connection.Close()
	}()
	for lines := bufio.NewScanner(connection); lines.Scan(); {
		vote, isVote := strings.CutPrefix(lines.Text(), "VOTE ")
		if isVote {
			p.votes <- platformVote{vote, connection}
			continue
		}
		p.do(func() {
			fmt.Fprintf(connection, "OK\r\n* news %v\r\n", p.state)
			p.watchers[connection] = true
		})
	}
}

// signOfLife writes a sign of life to all watches. The caller holds mu.
func (p *platform) signOfLife() { p.writeAll("*\r\n") }

// notify makes a state the present one and writes it to all watches. The caller holds mu.
func (p *platform) notify(state rolloutState) {
	p.state = state
	p.writeAll(fmt.Sprintf("* news %v\r\n", state))
}

func (p *platform) writeAll(text string) {
	for connection := range p.watchers {
		fmt.Fprint(connection, text)
	}
}

// answer writes the reply to a vote that counts. The caller holds mu.
func (p *platform) answer(vote platformVote) { fmt.Fprintf(vote.conn, "OK %v\r\n", p.state) }

// refuse writes the reply to a vote that does not count. The caller holds mu.
func (p *platform) refuse(vote platformVote) { fmt.Fprint(vote.conn, "ERR ConditionFailed\r\n") }
