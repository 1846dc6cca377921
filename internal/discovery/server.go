package discovery

import (
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/metrics"
)

// server is the discovery service at one address, until the address changes. Its two goroutines, runWatch and runFetches,
// begin with start and end by close. Commands reach them through channels that never block the loop.
type server struct {
	client        *Client
	address       string
	watchCommands chan bool
	fetchCommands chan struct{}
	closed        chan struct{} // closed by close

	mu             sync.Mutex // guards what follows, and keeps lists in the order of their generations
	schedule       *pollSchedule
	watchConn      netpoll.Connection // on which a poll of the watch waits; nil: none
	restartOrdered bool               // that poll was given up by command
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

// close ends the goroutines. The connections are shut down, not closed: the goroutine that reads from one closes it.
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

// addConn notes an open connection, which close is to shut down.
func (s *server) addConn(connection netpoll.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[connection] = struct{}{}
	if s.isClosed() {
		shutdown(connection)
	}
}

// removeConn notes that a connection is about to be closed.
func (s *server) removeConn(connection netpoll.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, connection)
}

// shutdown wakes the goroutine that waits on a connection.
func shutdown(connection netpoll.Connection) {
	if c, ok := connection.(netpoll.Conn); ok {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_RDWR) // fails only where the peer has ended the connection already
	}
}

// acceptList posts an answer to the loop. That happens under the lock, in the order of the generations: a full list that
// crosses an answer to the watch would else undo the change in it.
func (s *server) acceptList(list List, origin pollOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.loop.Post(listEvent{s, s.schedule.accept(list, origin)})
}

// reportFailure counts, logs and posts a failed poll, unless the address has changed, which is no failure.
func (s *server) reportFailure(failure *pollError) {
	if s.isClosed() {
		return
	}
	loop := s.client.loop
	loop.Metrics.Add(metrics.DiscoveryFailed, 1)
	if failure.stalled() {
		loop.Metrics.Add(metrics.DiscoveryStalled, 1)
	}
	fields := logrus.Fields{"peer": string(metrics.PeerDiscovery), "reason": string(failure.reason)}
	loop.Log.WithFields(fields).WithError(failure.err).Warn("call failed")
	loop.Post(pollFailureEvent{
		server:     s,
		stalled:    failure.stalled(),
		unreadable: failure.reason == metrics.ClosedByBadInput,
	})
}
