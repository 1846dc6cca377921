package platform

import (
	"errors"
	"sync/atomic"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
)

// watchEventKind is what happened to a watch.
type watchEventKind int

const (
	watchEstablished watchEventKind = iota // the platform accepted it
	watchStalled                           // it received no line for a while
	watchEnded                             // its connection ended, or was never established
	addressChanged                         // the platform is at another address
)

// watchEvent is sent to watchLoop.
type watchEvent struct {
	watch *watch // nil for addressChanged
	kind  watchEventKind
}

// watch is a connection on which the platform sends rollout statuses. It is read on a goroutine of its own (run), as
// statuses must not wait while another connection is established.
type watch struct {
	client   *Client
	address  string
	replaced atomic.Bool // set by watchLoop: it ends with its next line or timeout
}

// watchSet is the state of watchLoop, used on its goroutine only.
type watchSet struct {
	client  *Client
	current *watch // established; nil: none
	next    *watch // being established; nil: none
	backoff time.Duration
}

// watchLoop keeps a watch established. When it is silent for long, or the address changes, another one is opened beside it,
// which replaces it once it is established.
func (c *Client) watchLoop() {
	watches := watchSet{client: c, backoff: limits.MinBackoff}
	watches.open(0)
	for event := range c.watchEvents {
		watches.handle(event)
	}
}

// open begins to establish a watch after a delay.
func (s *watchSet) open(delay time.Duration) {
	s.next = &watch{client: s.client, address: s.client.currentAddress()}
	go s.next.run(delay)
}

// handle decides what follows from an event. Those of watches that were replaced change nothing.
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

// restartNext opens a watch at the present address at once.
func (s *watchSet) restartNext() {
	if s.next != nil {
		s.next.replaced.Store(true)
	}
	s.backoff = limits.MinBackoff
	s.open(0)
}

// promoteNext replaces the current watch by the one that has been established.
func (s *watchSet) promoteNext() {
	if s.current != nil {
		s.current.replaced.Store(true)
	}
	s.current = s.next
	s.next = nil
	s.backoff = limits.MinBackoff
}

// retryNext opens a watch again after backoff, if none is established at the present address.
func (s *watchSet) retryNext() {
	s.next = nil
	if s.current != nil && s.current.address == s.client.currentAddress() {
		return
	}
	s.open(s.backoff)
	s.backoff = min(2*s.backoff, limits.MaxBackoff)
}

// run establishes the watch and reports statuses until the connection ends.
func (w *watch) run(delay time.Duration) {
	defer func() { w.client.watchEvents <- watchEvent{w, watchEnded} }()
	time.Sleep(delay)
	if w.replaced.Load() {
		return
	}
	conn, err := w.client.dial(w.address)
	if err != nil {
		return // logged by dial
	}
	conn.callsSent++
	if _, err = conn.net.Write([]byte(linewire.WatchLine)); err == nil {
		err = w.read(conn)
	}
	reason := w.client.closeReason(err)
	if w.replaced.Load() {
		reason = metrics.ClosedByReplacement
	}
	conn.close(reason)
}

// read handles lines until the connection fails or the watch is replaced, for which it returns nil.
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
			if err := w.client.handleNotice(line); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleNotice reports what the platform sent without a request: a status or, to OnStatus alone, another sign that it is
// alive.
func (c *Client) handleNotice(line string) error {
	reply, err := linewire.ParseReply(line)
	if err != nil {
		return err
	}
	if !reply.Unsolicited {
		return errUnexpectedLine
	}
	if reply.Status.Valid || c.OnStatus != nil {
		c.report(reply.Status)
	}
	return nil
}
