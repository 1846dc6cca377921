package releasecontroller

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/internal/readahead"
	"lichenroad/relay"
)

// Limits of a connection. Those marked as protocol are part of the platform's protocol, which relays rely on.
const (
	maxConnsPerListener = 32               // protocol: open connections at one address; further ones are closed at once
	idleTimeout         = 10 * time.Second // protocol: a connection without a watch is closed after this time without a call
	keepAliveInterval   = 1 * time.Second  // protocol: between keep-alives to a watcher
	resendInterval      = 5 * time.Second  // between repetitions of an unchanged status, in case a watcher lost a line
	maxUnsentBytes      = 256 << 10        // protocol: queued bytes at which a connection is closed, as its peer reads too slowly
	writeTimeout        = 2 * time.Second  // for one write; a peer that reads nothing for this long is disconnected
	sentCheckInterval   = 2 * time.Millisecond
	maxCallsInFlight    = 64 // calls of one connection that wait for the loop; a relay has only a few in flight
)

var errSendQueueFull = errors.New("send queue full: the peer reads too slowly")

// relayConn is a connection of a relay or a watcher. netpoll calls read from one goroutine at a time and closed once. While
// sendQueue is not empty, another goroutine runs writeQueue, which ends when the queue is empty or the connection closes.
type relayConn struct {
	listener   *relayListener
	connection netpoll.Connection
	openedAt   time.Time
	splitter   linewire.Splitter // used by read only

	calls         atomic.Int64
	lastCallAt    atomic.Int64 // in Unix nanoseconds
	callsInFlight atomic.Int64

	watching bool // a watch was requested; owned by the controller's loop

	mu            sync.Mutex // guards the fields below
	replies       replyQueue
	sendQueue     []string // texts that writeQueue has not taken yet
	unsentBytes   int      // in sendQueue, in replies and being written
	writerRunning bool     // writeQueue runs
	stopped       bool     // nothing more is sent: the connection is closed or about to be
	closeReason   metrics.CloseReason
	closeErr      error // the error behind closeReason; may be nil
}

// closed is netpoll's close callback. It logs the end of the connection and removes it from the controller.
func (c *relayConn) closed(connection netpoll.Connection) error {
	readahead.Closing(connection)
	controller := c.listener.controller
	c.listener.open.Add(-1)
	c.mu.Lock()
	c.stopped = true
	if c.closeReason == "" {
		c.closeReason = metrics.ClosedByPeer
	}
	reason, err := c.closeReason, c.closeErr
	c.mu.Unlock()
	name := c.listener.relay
	if name == "" {
		name = c.connection.RemoteAddr().String()
	}
	end := metrics.ConnectionEnd{Peer: metrics.PeerRelay, Name: name, Reason: reason, Age: time.Since(c.openedAt).Seconds(),
		Requests: int(c.calls.Load()), Err: err}
	end.Log(controller.log)
	controller.post(func(ctl *Controller) { delete(ctl.conns, c) })
	return nil
}

// close closes the connection. The reason of the first call is logged. While the loop runs, the loop must not call it: the
// close callback posts to the loop, which could wait for itself.
func (c *relayConn) close(reason metrics.CloseReason, err error) {
	c.mu.Lock()
	if c.closeReason == "" {
		c.closeReason, c.closeErr = reason, err
	}
	c.stopped = true
	c.mu.Unlock()
	_ = c.connection.Close() // the error does not matter: nothing more is sent, and closed logs the end
}

// idle reports whether the connection has sent no call for idleTimeout.
func (c *relayConn) idle(now time.Time) bool {
	return now.UnixNano()-c.lastCallAt.Load() > int64(idleTimeout)
}

// read is netpoll's request callback: it splits the received bytes into lines and handles each.
func (c *relayConn) read() error {
	reader := c.connection.Reader()
	received, err := reader.Next(reader.Len())
	if err != nil {
		return err
	}
	err = c.splitter.Feed(received, c.handleLine)
	_ = reader.Release() // returns the buffer; fails only if the connection is closed
	if err != nil {
		c.close(metrics.ClosedByBadInput, err)
	}
	return nil
}

// handleLine handles one line. A line that can't be parsed gets an error reply and the connection stays open, as the
// platform's protocol requires. A connection with too many calls in flight gets an error reply, behind those that are due.
func (c *relayConn) handleLine(line string) {
	c.calls.Add(1)
	c.lastCallAt.Store(time.Now().UnixNano())
	if c.callsInFlight.Add(1) > maxCallsInFlight {
		c.callsInFlight.Add(-1)
		c.refuseCall()
		return
	}
	c.expectReply()
	call, err := linewire.ParseCall(line)
	c.listener.controller.post(func(ctl *Controller) {
		c.callsInFlight.Add(-1)
		switch {
		case err != nil:
			ctl.replyAfterFlush(c, invalidCall)
		case call.Watch:
			ctl.replyAfterFlush(c, func() string { return ctl.startWatch(c) })
		default:
			ctl.countVote(c, call.Vote)
		}
	})
}

// invalidCall returns the reply to a call that can't be parsed or is not allowed at this address.
func invalidCall() string { return linewire.ErrorLine("ValidationError") }

// startWatch makes the connection a watcher and returns its first text: the acceptance, and the rollout status if there is
// one. Only the loop may call it.
func (ctl *Controller) startWatch(c *relayConn) string {
	c.watching = true
	status := ctl.core.RolloutStatus(c.listener.service, ctl.now())
	if !status.Valid {
		return linewire.OKLine
	}
	return linewire.OKLine + linewire.StatusNoticeLine(status)
}

// countVote counts a vote unless the state machine rejects it. The reply is sent once the vote is on disk. Only the loop may
// call it.
func (ctl *Controller) countVote(c *relayConn, vote relay.Vote) {
	service, voter := c.listener.service, c.listener.relay
	if voter == "" {
		ctl.replyAfterFlush(c, invalidCall)
		return
	}
	event, rejection := ctl.core.Vote(service, voter, vote, ctl.now())
	if rejection != "" {
		ctl.replyAfterFlush(c, func() string { return linewire.ErrorLine(string(rejection)) })
		return
	}
	ctl.apply(event)
	ctl.replyAfterFlush(c, func() string { return linewire.StatusReplyLine(ctl.core.RolloutStatus(service, ctl.now())) })
}

// expectReply keeps a place for the reply to a call that is passed to the loop.
func (c *relayConn) expectReply() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies.expect()
}

// refuseCall replies to a call that is over maxCallsInFlight, when the calls before it have their replies.
func (c *relayConn) refuseCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	refusal := linewire.ErrorLine("Throttling")
	if c.reserve(refusal) {
		c.queue(c.replies.refuse(refusal))
	}
}

// reply sends the reply to the oldest call that was passed to the loop. Only the loop may call it.
func (c *relayConn) reply(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserve(text) {
		c.queue(c.replies.reply(text))
	}
}

// send queues text that is not a reply. Any goroutine may call it.
func (c *relayConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserve(text) {
		c.queue(text)
	}
}

// reserve counts text that will be sent, and reports whether it may be. If too much is unsent, it closes the connection. The
// caller holds mu.
func (c *relayConn) reserve(text string) bool {
	if c.stopped {
		return false
	}
	c.unsentBytes += len(text)
	if c.unsentBytes > maxUnsentBytes {
		go c.close(metrics.ClosedByWriteError, errSendQueueFull) // close locks mu, and the caller may be the loop
		return false
	}
	return true
}

// queue passes text to writeQueue, so that the caller never waits for a slow peer. The caller holds mu.
func (c *relayConn) queue(text string) {
	if text == "" {
		return
	}
	c.sendQueue = append(c.sendQueue, text)
	if !c.writerRunning {
		c.writerRunning = true
		go c.writeQueue()
	}
}

// writeQueue writes the queued texts until the queue is empty, the connection closes or a write fails.
func (c *relayConn) writeQueue() {
	for {
		text, ok := c.dequeue()
		if !ok {
			return
		}
		if _, err := c.connection.Write([]byte(text)); err != nil {
			c.close(metrics.ClosedByWriteError, err)
			return
		}
		c.mu.Lock()
		c.unsentBytes -= len(text)
		c.mu.Unlock()
	}
}

// waitSent waits until the queued texts are written or the connection has stopped, at most until the deadline.
func (c *relayConn) waitSent(deadline time.Time) {
	for c.sending() && time.Now().Before(deadline) {
		time.Sleep(sentCheckInterval)
	}
}

// sending reports whether texts wait to be written or are being written.
func (c *relayConn) sending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writerRunning && !c.stopped
}

// dequeue removes and returns the first text of the queue. If there is none, or the connection has stopped, writeQueue ends.
func (c *relayConn) dequeue() (text string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sendQueue) == 0 || c.stopped {
		c.writerRunning = false
		return "", false
	}
	text = c.sendQueue[0]
	c.sendQueue = c.sendQueue[1:]
	return text, true
}
