package releasecontroller

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// Bounds of a connection and of the sends to it. The platform's page asks for those that name it.
const (
	maxConnsEach      = 32               // connections at one address, as the platform's page says; more are reset
	idleTimeout       = 10 * time.Second // after which a connection that watches nothing is closed, as that page says
	keepAliveInterval = 1 * time.Second  // between keep-alives, as it says
	resendInterval    = 5 * time.Second  // after which the status is sent again: it makes up for a line that was lost
	maxUnsentBytes    = 256 << 10        // queued for a reader that is behind, as it says
	writeTimeout      = 2 * time.Second  // that a write may take: a reader that takes nothing is cut off
	maxCallsInFlight  = 64               // calls of a connection that wait for the loop: a relay has a few in flight
)

var errTooFarBehind = errors.New("too far behind")

// relayConn is the connection of a relay, or of a watcher. netpoll calls read from one goroutine at a time, and closed
// once. While sends wait there is one more goroutine, drain; it ends when the queue is empty or the connection closed.
type relayConn struct {
	listener *relayListener
	net      netpoll.Connection
	openedAt time.Time
	splitter linewire.Splitter // of read

	calls         atomic.Int64
	lastCallAt    atomic.Int64 // Unix nanoseconds
	callsInFlight atomic.Int64

	watching bool // owned by the controller's loop

	mu          sync.Mutex // guards what follows
	queue       []string   // that drain has still to write
	unsentBytes int
	writing     bool // drain runs
	over        bool // nothing more is sent
	closeReason metrics.CloseReason
	closeErr    error // that led to closeReason; may be nil
}

// closed is netpoll's close callback.
func (c *relayConn) closed(netpoll.Connection) error {
	controller := c.listener.controller
	c.listener.open.Add(-1)
	c.mu.Lock()
	c.over = true
	if c.closeReason == "" {
		c.closeReason = metrics.ClosedByPeer
	}
	reason, err := c.closeReason, c.closeErr
	c.mu.Unlock()
	name := c.listener.relay
	if name == "" {
		name = c.net.RemoteAddr().String()
	}
	end := metrics.ConnectionEnd{Peer: metrics.PeerRelay, Name: name, Reason: reason, Age: time.Since(c.openedAt).Seconds(),
		Requests: int(c.calls.Load()), Err: err}
	end.Log(controller.log)
	controller.post(func(d *Controller) { delete(d.conns, c) })
	return nil
}

// close closes the connection. The first reason given is the one that is logged. Any goroutine but the loop may call it
// while the loop runs.
func (c *relayConn) close(reason metrics.CloseReason, err error) {
	c.mu.Lock()
	if c.closeReason == "" {
		c.closeReason, c.closeErr = reason, err
	}
	c.over = true
	c.mu.Unlock()
	_ = c.net.Close() // nothing is sent any more, so nothing is lost; closed logs the end
}

// idle reports whether the connection has sent no call for idleTimeout.
func (c *relayConn) idle(now time.Time) bool {
	return now.UnixNano()-c.lastCallAt.Load() > int64(idleTimeout)
}

// read is netpoll's request callback: it takes what has been received.
func (c *relayConn) read() error {
	reader := c.net.Reader()
	received, err := reader.Next(reader.Len())
	if err != nil {
		return err
	}
	err = c.splitter.Feed(received, c.call)
	_ = reader.Release() // gives a buffer back, and fails only on a connection that is closed
	if err != nil {
		c.close(metrics.ClosedByBadInput, err)
	}
	return nil
}

// call handles one line. A call that can't be parsed is answered as such; the connection stays open, as the platform's
// page says.
func (c *relayConn) call(line string) {
	c.calls.Add(1)
	c.lastCallAt.Store(time.Now().UnixNano())
	if c.callsInFlight.Add(1) > maxCallsInFlight {
		c.callsInFlight.Add(-1)
		c.send(linewire.ErrorLine("Throttling"))
		return
	}
	call, err := linewire.ParseCall(line)
	c.listener.controller.post(func(d *Controller) {
		c.callsInFlight.Add(-1)
		switch {
		case err != nil:
			d.replyAfterFlush(c, invalidCall)
		case call.Watch:
			d.replyAfterFlush(c, func() string { return d.startWatch(c) })
		default:
			d.countVote(c, call.Vote)
		}
	})
}

func invalidCall() string { return linewire.ErrorLine("ValidationError") }

// startWatch makes the connection a watcher and returns the first text for it. Loop only.
func (d *Controller) startWatch(c *relayConn) string {
	c.watching = true
	status := d.core.RolloutStatus(c.listener.service, d.now())
	if !status.Valid {
		return linewire.OKLine
	}
	return linewire.OKLine + linewire.StatusNoticeLine(status)
}

// countVote counts a vote unless the state machine rejects it. The reply is sent once the vote is on disk. Loop only.
func (d *Controller) countVote(c *relayConn, vote relay.Vote) {
	service, voter := c.listener.service, c.listener.relay
	if voter == "" {
		d.replyAfterFlush(c, invalidCall)
		return
	}
	event, rejection := d.core.Vote(service, voter, vote, d.now())
	if rejection != "" {
		d.replyAfterFlush(c, func() string { return linewire.ErrorLine(string(rejection)) })
		return
	}
	d.apply(event)
	d.replyAfterFlush(c, func() string { return linewire.StatusReplyLine(d.core.RolloutStatus(service, d.now())) })
}

// send queues text for drain, so that nobody waits for a slow reader. Any goroutine may call it.
func (c *relayConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	if c.unsentBytes += len(text); c.unsentBytes > maxUnsentBytes {
		go c.close(metrics.ClosedByWriteError, errTooFarBehind) // it takes the lock, and the caller may be the loop
		return
	}
	c.queue = append(c.queue, text)
	if !c.writing {
		c.writing = true
		go c.drain()
	}
}

// drain writes the queue.
func (c *relayConn) drain() {
	for {
		text, ok := c.next()
		if !ok {
			return
		}
		if _, err := c.net.Write([]byte(text)); err != nil {
			c.close(metrics.ClosedByWriteError, err)
			return
		}
		c.mu.Lock()
		c.unsentBytes -= len(text)
		c.mu.Unlock()
	}
}

// next takes the first text of the queue. Without one, drain ends.
func (c *relayConn) next() (text string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 || c.over {
		c.writing = false
		return "", false
	}
	text = c.queue[0]
	c.queue = c.queue[1:]
	return text, true
}
