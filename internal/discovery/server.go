package discovery

import (
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/metrics"
)

// server represents the discovery service at one address. Its two goroutines, runWatch and runFetches, run from start until
// close. They receive commands through channels on which the loop never blocks.
type server struct {
	client        *Client
	address       string
	watchCommands chan bool
	fetchCommands chan struct{}
	closed        chan struct{} // closed by close

	mu             sync.Mutex // guards the fields below, and keeps lists in the order of their generations
	schedule       *pollSchedule
	watchConn      netpoll.Connection // connection on which a poll of the watch is waiting; nil: none
	watchAbandoned bool               // a command has abandoned that poll
	conns          map[netpoll.Connection]struct{}
}

func (c *Client) newServer(address string) *server {
	return &server{
		client:        c,
		address:       address,
		watchCommands: make(chan bool, 1),
		fetchCommands: make(chan struct{}, 1),
		closed:        make(chan struct{}),
		schedule:      newPollSchedule(c.seed, c.settings),
		conns:         map[netpoll.Connection]struct{}{},
	}
}

func (s *server) start() {
	go s.runWatch()
	go s.runFetches()
}

// close stops the goroutines. It shuts the connections down, but does not close them: each is closed by the goroutine that
// reads from it.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.closed)
	for connection := range s.conns {
		shutdown(connection)
	}
}

func (s *server) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// addConn registers an open connection, which close will shut down.
func (s *server) addConn(connection netpoll.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[connection] = struct{}{}
	if s.isClosed() {
		shutdown(connection)
	}
}

// removeConn unregisters a connection that is about to be closed.
func (s *server) removeConn(connection netpoll.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, connection)
}

// shutdown shuts a connection down, which unblocks the goroutine that reads from it.
func shutdown(connection netpoll.Connection) {
	if c, ok := connection.(netpoll.Conn); ok {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_RDWR) // fails only if the peer has already closed the connection
	}
}

// acceptList posts an answer to the loop. It does so under the lock, in the order of the generations. Otherwise a full list
// that was fetched at the same time as a change arrived on the watch could undo that change.
func (s *server) acceptList(list List, origin pollOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.loop.Post(listEvent{s, s.schedule.accept(list, origin)})
}

// reportFailure counts, logs and posts a poll that failed some time after its start. A poll that ended because the address
// changed is not a failure.
func (s *server) reportFailure(failure *pollError, after time.Duration) {
	if s.isClosed() {
		return
	}
	loop := s.client.loop
	loop.Metrics.Add(metrics.DiscoveryFailed, 1)
	if failure.stalled() {
		loop.Metrics.Add(metrics.DiscoveryStalled, 1)
	}
	fields := logrus.Fields{"peer": string(metrics.PeerDiscovery), "reason": string(failure.reason), "after": after.Seconds()}
	loop.Log.WithFields(fields).WithError(failure.err).Warn("call failed")
	loop.Post(pollFailureEvent{
		server:      s,
		stalled:     failure.stalled(),
		unreadable:  failure.reason == metrics.ClosedByBadInput,
		unreachable: failure.unreachable(after),
	})
}
