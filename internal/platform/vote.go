package platform

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/limits"
	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// voteConn is a connection for votes, which are pipelined: the replies come in their order. The goroutine of voteLoop
// writes, one of its own reads (readReplies), which closes the connection.
type voteConn struct {
	*lineConn

	mu      sync.Mutex  // guards what follows and the writes
	pending []time.Time // when the votes without a reply were sent, oldest first
	usedAt  time.Time   // when the latest vote was sent
	closed  bool        // it takes no more votes
}

// voteLoop sends the queued votes in order, on one connection as long as it lasts.
func (c *Client) voteLoop() {
	var conn *voteConn
	for vote := range c.votes {
		address := c.currentAddress()
		if conn != nil && conn.address == address && conn.send(vote) {
			continue
		}
		opened, err := c.dialCurrent(address)
		if err != nil {
			c.report(relay.RolloutStatus{Reply: relay.ReplyNotCounted})
			continue
		}
		conn = &voteConn{lineConn: opened, usedAt: time.Now()}
		go conn.readReplies()
		if !conn.send(vote) { // closed again, before anything was written
			c.report(relay.RolloutStatus{Reply: relay.ReplyNotCounted})
		}
	}
}

// dialCurrent opens a connection to the address, or to the present one if it changes while that fails.
func (c *Client) dialCurrent(address string) (*lineConn, error) {
	conn, err := c.dial(address)
	for err != nil && address != c.currentAddress() {
		address = c.currentAddress()
		conn, err = c.dial(address)
	}
	return conn, err
}

// send writes a vote, and reports whether the connection took it. In that case readReplies reports its result.
func (c *voteConn) send(vote relay.Vote) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.net.IsActive() {
		return false
	}
	c.usedAt = time.Now()
	c.pending = append(c.pending, c.usedAt)
	c.callsSent++
	_, _ = c.net.Write([]byte(linewire.VoteLine(vote))) // after an error the reader finds the connection closed
	return true
}

// remaining returns how much longer the oldest vote may wait for its reply or, without one, the idle connection stays open.
func (c *voteConn) remaining() (left time.Duration, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return limits.VoteConnIdleTimeout - time.Since(c.usedAt), true
	}
	return c.client.timeout - time.Since(c.pending[0]), false
}

// closeIfIdle stops the connection from taking votes unless one is pending, and reports whether it did. Without this check
// a vote sent since the look at remaining would be reported as one that may have counted.
func (c *voteConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = len(c.pending) == 0
	return c.closed
}

// readReplies reports the results of votes until the connection fails or is idle, then closes it. Votes that are pending
// then may have counted.
func (c *voteConn) readReplies() {
	reason := c.readUntilClose()
	c.mu.Lock()
	c.closed = true
	pending := c.pending
	c.pending = nil
	c.close(reason)
	c.mu.Unlock()
	for range pending {
		c.client.report(relay.RolloutStatus{Reply: relay.ReplyMaybeCounted})
	}
}

// readUntilClose handles replies until one is late or malformed, or no vote was sent for long.
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
			continue // a vote was sent meanwhile
		}
		line, err := c.nextLine(min(left, c.client.timeout)) // no longer, as a vote may be sent meanwhile
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

// handleReply reports the result of the oldest pending vote.
func (c *voteConn) handleReply(line string) error {
	reply, err := linewire.ParseReply(line)
	if err != nil || reply.Unsolicited {
		return err
	}
	if reply.Error == "" && !reply.Status.Valid {
		return errUnexpectedLine
	}
	if !c.takePending() {
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
	c.client.report(status)
	return nil
}

// takePending removes the oldest pending vote, and reports whether there was one.
func (c *voteConn) takePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return false
	}
	c.pending = c.pending[1:]
	return true
}
