package platform

import (
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/limits"
	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/internal/readahead"
	"lichenroad/rollout"
)

var (
	// errLineTimeout reports that no line arrived in time. The connection can still be used.
	errLineTimeout = errors.New("timeout waiting for a line")
	// errUnexpectedLine reports a reply without a request, or of a kind that does not fit the request.
	errUnexpectedLine = fmt.Errorf("%w: unexpected reply", linewire.ErrMalformed)
	// errTooFast reports that the platform sends faster than its lines are handled.
	errTooFast = errors.New("too many lines at once")
)

// lineConn is a connection that one goroutine reads line by line.
type lineConn struct {
	client       *Client
	address      string
	connection   netpoll.Connection
	splitter     linewire.Splitter
	lines        []string // received, but not returned by nextLine yet
	openedAt     time.Time
	source       rollout.StatusSource
	watchAfter   rollout.StatusVersion // present status when the watch was requested: its notices are later
	carriesVotes bool                  // in a voteConn
	callsSent    int                   // logged by close; in a voteConn guarded by its mu
}

// dial opens a connection. It logs and counts failures itself.
func (c *Client) dial(address string) (*lineConn, error) {
	connection, err := readahead.Dial(address, c.timeout)
	if err != nil {
		end := metrics.ConnectionEnd{Peer: metrics.PeerPlatform, Name: address, Reason: metrics.ClosedByConnectError, Err: err}
		end.Log(c.loop.Log)
		return nil, err
	}
	_ = connection.SetWriteTimeout(c.timeout) // always returns nil
	source := rollout.StatusSource(c.lastSource.Add(1))
	return &lineConn{client: c, address: address, connection: connection, openedAt: time.Now(), source: source}, nil
}

// handleNotice reports a line that the platform sent without a request. Notices without a status, such as keep-alives, are
// only reported if OnStatus is set.
func (c *lineConn) handleNotice(reply linewire.Reply) {
	if reply.Status.Valid || c.client.OnStatus != nil {
		c.client.reportStatus(statusOrigin{conn: c, after: c.watchAfter}, reply.Status)
	}
}

// close closes the connection and logs the reason.
func (c *lineConn) close(reason metrics.CloseReason) {
	_ = c.connection.Close() // nothing is left to send, so the error does not matter
	end := metrics.ConnectionEnd{
		Peer:     metrics.PeerPlatform,
		Name:     c.address,
		Reason:   reason,
		Age:      time.Since(c.openedAt).Seconds(),
		Requests: c.callsSent,
	}
	end.Log(c.client.loop.Log)
	c.client.connectionClosed(c.source)
}

// nextLine returns the next line without its line end. It may be called again after errLineTimeout.
func (c *lineConn) nextLine(timeout time.Duration) (string, error) {
	deadline := time.Now().Add(timeout)
	for len(c.lines) == 0 {
		if err := c.readLines(deadline); err != nil {
			return "", err
		}
	}
	line := c.lines[0]
	c.lines = c.lines[1:]
	return line, nil
}

// readLines waits until bytes arrive and splits them into lines. Fewer bytes than a line add nothing to c.lines.
func (c *lineConn) readLines(deadline time.Time) error {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return errLineTimeout
	}
	_ = c.connection.SetReadTimeout(remaining) // always returns nil
	reader := c.connection.Reader()
	if _, err := reader.Peek(1); err != nil {
		if errors.Is(err, netpoll.ErrReadTimeout) {
			return errLineTimeout
		}
		return err
	}
	if waiting := reader.Len(); waiting > limits.MaxUnreadPlatformInput {
		return fmt.Errorf("%w: %d bytes are waiting", errTooFast, waiting)
	}
	received, err := reader.Next(reader.Len())
	if err != nil {
		return err
	}
	err = c.splitter.Feed(received, func(line string) { c.lines = append(c.lines, line) })
	_ = reader.Release() // always returns nil for the buffer of a connection
	return err
}

// closeReason returns why a connection is closed after err, which comes from nextLine or from handling a line. It counts bad
// input. All other errors, and nil, are taken as a close by the peer.
func (c *Client) closeReason(err error) metrics.CloseReason {
	badInput := errors.Is(err, linewire.ErrMalformed) || errors.Is(err, linewire.ErrTooLong) || errors.Is(err, errTooFast)
	switch {
	case errors.Is(err, errLineTimeout):
		return metrics.ClosedByResponseTimeout
	case badInput:
		c.loop.Metrics.Add(metrics.BadInput, 1)
		return metrics.ClosedByBadInput
	}
	return metrics.ClosedByPeer
}
