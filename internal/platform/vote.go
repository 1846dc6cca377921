package platform

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/limits"
	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// voteConn is a connection for votes. Calls are pipelined: replies arrive in the order of the calls. The goroutine of
// voteLoop writes; another one runs readReplies, which reads and finally closes the connection.
//
// When its first vote has a reply, the connection requests a watch: the status that follows is later than all that was received
// before, and the statuses in further replies arrive in order with the notices. A platform that refuses the watch still takes
// the votes.
type voteConn struct {
	*lineConn

	mu      sync.Mutex    // guards the fields below and the writes
	pending []pendingCall // calls without a reply yet, oldest first
	usedAt  time.Time     // time of the latest vote, or of opening the connection before that
	closed  bool          // no more votes may be sent on it

	watchRequested bool // used by readReplies only
}

// callKind is the kind of a call to the platform.
type callKind int

const (
	voteCall callKind = iota
	watchCall
)

// pendingCall is a call without a reply yet.
type pendingCall struct {
	kind   callKind
	sentAt time.Time
	after  rollout.StatusVersion // present status when the call was sent: its reply is later
}

// voteLoop sends the queued votes in order. It keeps one connection and opens a new one only after the old one has closed
// or the address has changed.
func (c *Client) voteLoop() {
	var conn *voteConn
	for vote := range c.votes {
		address := c.currentAddress()
		if conn != nil && conn.address == address && conn.send(vote) {
			continue
		}
		opened, err := c.dialCurrent(address)
		if err != nil {
			c.reportResult(relay.ReplyNotCounted)
			continue
		}
		opened.carriesVotes = true
		conn = &voteConn{lineConn: opened, usedAt: time.Now()}
		go conn.readReplies()
		if !conn.send(vote) { // closed again before anything was written
			c.reportResult(relay.ReplyNotCounted)
		}
	}
}

// dialCurrent opens a connection to the address. If that fails and the platform's address has changed meanwhile, it tries
// the new one.
func (c *Client) dialCurrent(address string) (*lineConn, error) {
	conn, err := c.dial(address)
	for err != nil && address != c.currentAddress() {
		address = c.currentAddress()
		conn, err = c.dial(address)
	}
	return conn, err
}

// send writes a vote unless the connection is closed, and returns whether it did. If so, readReplies reports the result.
func (c *voteConn) send(vote relay.Vote) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.connection.IsActive() {
		return false
	}
	c.usedAt = time.Now()
	c.call(voteCall, linewire.VoteLine(vote))
	return true
}

// requestWatch writes the request for a watch unless the connection is closed.
func (c *voteConn) requestWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.call(watchCall, linewire.WatchLine)
	}
}

// call writes a call. The caller holds mu.
func (c *voteConn) call(kind callKind, line string) {
	c.pending = append(c.pending, pendingCall{kind: kind, sentAt: time.Now(), after: c.client.statusVersion()})
	c.callsSent++
	_, _ = c.connection.Write([]byte(line)) // after an error readReplies finds the connection closed
}

// remaining returns the time left until the reply to the oldest pending vote is late. If no vote is pending, idle is true and
// left is the time until the idle connection is closed.
func (c *voteConn) remaining() (left time.Duration, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.oldestPendingVote()
	if oldest < 0 {
		return limits.VoteConnIdleTimeout - time.Since(c.usedAt), true
	}
	return c.client.timeout - time.Since(c.pending[oldest].sentAt), false
}

// oldestPendingVote returns the index in pending of the oldest vote, or -1. The caller holds mu.
func (c *voteConn) oldestPendingVote() int {
	return slices.IndexFunc(c.pending, func(call pendingCall) bool { return call.kind == voteCall })
}

// closeIfIdle marks the connection closed unless a vote is pending, and returns whether it did. It checks for pending votes
// again because a vote may have been sent since remaining was called. If the connection were closed with that vote pending,
// the vote would be reported as one that may have been counted.
func (c *voteConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.oldestPendingVote() < 0
	return c.closed
}

// readReplies reports the results of votes until the connection fails or is idle for too long, then closes it. Votes still
// pending then are reported as relay.ReplyMaybeCounted.
func (c *voteConn) readReplies() {
	reason := c.readUntilClose()
	c.mu.Lock()
	c.closed = true
	pending := c.pending
	c.pending = nil
	c.close(reason)
	c.mu.Unlock()
	for _, call := range pending {
		if call.kind == voteCall {
			c.client.reportResult(relay.ReplyMaybeCounted)
		}
	}
}

// readUntilClose handles replies until one is late or malformed, the connection fails, or no vote has been sent for
// limits.VoteConnIdleTimeout. It returns why the connection has to be closed.
func (c *voteConn) readUntilClose() metrics.CloseReason {
	for {
		left, idle := c.remaining()
		if left <= 0 && !idle {
			return metrics.ClosedByResponseTimeout
		}
		if left <= 0 {
			if c.closeIfIdle() {
				return metrics.ClosedByIdleTimeout
			}
			continue // a vote has been sent meanwhile
		}
		line, err := c.nextLine(min(left, c.client.timeout)) // at most the reply timeout, as a vote may be sent while it waits
		if errors.Is(err, errLineTimeout) {
			continue
		}
		if err == nil {
			err = c.handleReply(line)
		}
		if err != nil {
			return c.client.closeReason(err)
		}
	}
}

// handleReply reports the result of the oldest pending call, or a notice.
func (c *voteConn) handleReply(line string) error {
	reply, err := linewire.ParseReply(line)
	if err != nil {
		return err
	}
	if reply.Unsolicited {
		c.handleNotice(reply)
		return nil
	}
	call, ok := c.takePending()
	if !ok {
		return errUnexpectedLine
	}
	if call.kind == watchCall {
		c.watchAfter = call.after
		return c.handleWatchReply(reply)
	}
	if err := c.handleVoteReply(reply, call); err != nil {
		return err
	}
	carriesMoreVotes := c.address == c.client.currentAddress()
	if !c.watchRequested && carriesMoreVotes {
		c.watchRequested = true
		c.requestWatch()
	}
	return nil
}

// handleWatchReply handles the reply to the request for a watch. Without a watch the connection still carries votes.
func (c *voteConn) handleWatchReply(reply linewire.Reply) error {
	if reply.Status.Valid {
		return errUnexpectedLine
	}
	if reply.Error != "" {
		c.client.loop.Log.WithFields(logrus.Fields{"peer": "platform", "error": reply.Error}).Info("watch beside votes refused")
	}
	return nil
}

// handleVoteReply reports the result of a vote.
func (c *voteConn) handleVoteReply(reply linewire.Reply, call pendingCall) error {
	if reply.Error == "" && !reply.Status.Valid {
		c.client.reportResult(relay.ReplyMaybeCounted)
		return errUnexpectedLine
	}
	status := reply.Status
	status.Reply = relay.ReplyCounted
	if reply.Error != "" {
		c.client.loop.Log.WithFields(logrus.Fields{"peer": "platform", "error": reply.Error}).Info("vote not counted")
		status.Reply = relay.ReplyNotCounted
	}
	if reply.Error == linewire.CodeStale {
		status.Reply = relay.ReplyStale
	}
	c.client.reportStatus(statusOrigin{conn: c.lineConn, after: call.after}, status)
	return nil
}

// takePending removes the oldest pending call, and returns whether there was one.
func (c *voteConn) takePending() (call pendingCall, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return pendingCall{}, false
	}
	call = c.pending[0]
	c.pending = c.pending[1:]
	return call, true
}
