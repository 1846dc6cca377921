package platform

import (
	"errors"
	"sync/atomic"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
)

// watchEventKind is the kind of a watchEvent.
type watchEventKind int

const (
	watchEstablished watchEventKind = iota // the platform accepted the watch
	watchStalled                           // the watch received no line for limits.HeartbeatTimeout
	watchEnded                             // the watch has ended: its connection is closed or could not be opened
	addressChanged                         // SetAddress changed the platform's address
)

// watchEvent tells watchLoop about a change of a watch or of the address.
type watchEvent struct {
	watch *watch // nil for addressChanged
	kind  watchEventKind
}

// watch is a connection on which the platform sends rollout statuses. Each watch has its own goroutine, run, so that statuses
// are received without delay while another watch is being established.
type watch struct {
	client   *Client
	address  string
	replaced atomic.Bool // set by watchLoop; the watch then ends after its next line or timeout
}

// watchSet is the state of watchLoop. Only the goroutine of watchLoop uses it.
type watchSet struct {
	client  *Client
	current *watch        // established; nil: none
	next    *watch        // being established; nil: none
	backoff time.Duration // delay of the next retry
}

// watchLoop keeps a watch established. When the watch receives nothing for limits.HeartbeatTimeout, or the address changes,
// it opens a second watch, which replaces the first one once it is established.
func (c *Client) watchLoop() {
	watches := watchSet{client: c, backoff: limits.MinBackoff}
	watches.open(0)
	for event := range c.watchEvents {
		watches.handle(event)
	}
}

// open starts to establish a new watch at the current address after a delay.
func (s *watchSet) open(delay time.Duration) {
	s.next = &watch{client: s.client, address: s.client.currentAddress()}
	go s.next.run(delay)
}

// handle reacts to an event. It ignores events of watches that have been replaced.
func (s *watchSet) handle(event watchEvent) {
	switch {
	case event.kind == addressChanged:
		s.restartNext()
	case event.watch == s.next && event.kind == watchEstablished:
		s.promoteNext()
	case event.watch == s.next:
		s.retryNext()
	case event.watch == s.current:
		if event.kind == watchEnded {
			s.current = nil
		}
		if s.next == nil {
			s.open(0)
		}
	}
}

// restartNext opens a watch at the current address at once, in place of one that is being established.
func (s *watchSet) restartNext() {
	if s.next != nil {
		s.next.replaced.Store(true)
	}
	s.backoff = limits.MinBackoff
	s.open(0)
}

// promoteNext replaces the current watch by the next one, which has been established.
func (s *watchSet) promoteNext() {
	if s.current != nil {
		s.current.replaced.Store(true)
	}
	s.current = s.next
	s.next = nil
	s.backoff = limits.MinBackoff
}

// retryNext opens another watch after the backoff, unless the current watch is established at the current address. It
// doubles the backoff for the next retry.
func (s *watchSet) retryNext() {
	s.next = nil
	if s.current != nil && s.current.address == s.client.currentAddress() {
		return
	}
	s.open(s.backoff)
	s.backoff = min(2*s.backoff, limits.MaxBackoff)
}

// run establishes the watch and reports statuses until the connection fails or the watch is replaced.
func (w *watch) run(delay time.Duration) {
	defer func() { w.client.watchEvents <- watchEvent{w, watchEnded} }()
	time.Sleep(delay)
	if w.replaced.Load() {
		return
	}
	conn, err := w.client.dial(w.address)
	if err != nil {
		return // dial has logged it
	}
	conn.callsSent++
	conn.watchAfter = w.client.statusVersion()
	if _, err = conn.connection.Write([]byte(linewire.WatchLine)); err == nil {
		err = w.read(conn)
	}
	reason := w.client.closeReason(err)
	if w.replaced.Load() {
		reason = metrics.ClosedByReplacement
	}
	conn.close(reason)
}

// read handles lines until the connection fails or the watch is replaced. It returns nil in the second case.
func (w *watch) read(conn *lineConn) error {
	established := false
	timeout := w.client.timeout
	for !w.replaced.Load() {
		line, err := conn.nextLine(timeout)
		switch {
		case errors.Is(err, errLineTimeout) && established:
			w.client.watchEvents <- watchEvent{w, watchStalled}
		case err != nil:
			return err
		case !established && line == "OK":
			established = true
			timeout = limits.HeartbeatTimeout
			w.client.watchEvents <- watchEvent{w, watchEstablished}
		default:
			reply, err := linewire.ParseReply(line)
			if err != nil {
				return err
			}
			if !reply.Unsolicited {
				return errUnexpectedLine
			}
			conn.handleNotice(reply)
		}
	}
	return nil
}
