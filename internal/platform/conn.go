package platform

import (
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
)

var (
	// errLineTimeout ends a wait for a line. The connection can still be used.
	errLineTimeout = errors.New("no line in time")
	// errUnexpectedLine is a line that answers no request, or that its request can't have.
	errUnexpectedLine = fmt.Errorf("%w: unexpected here", linewire.ErrMalformed)
)

// lineConn is a connection that is read line by line, by one goroutine.
type lineConn struct {
	client    *Client
	address   string
	net       netpoll.Connection
	splitter  linewire.Splitter
	lines     []string // received and not read yet
	openedAt  time.Time
	callsSent int // for the log; of a voteConn guarded by its mu
}

// dial opens a connection. A failure is logged and counted here.
func (c *Client) dial(address string) (*lineConn, error) {
	connection, err := netpoll.DialConnection("tcp", address, c.timeout)
	if err != nil {
		end := metrics.ConnectionEnd{Peer: metrics.PeerPlatform, Name: address, Reason: metrics.ClosedByConnectError, Err: err}
		end.Log(c.loop.Log)
		return nil, err
	}
	_ = connection.SetWriteTimeout(c.timeout) // always nil
	return &lineConn{client: c, address: address, net: connection, openedAt: time.Now()}, nil
}

// close closes the connection and logs why.
func (c *lineConn) close(reason metrics.CloseReason) {
	_ = c.net.Close() // nothing is left to send, and there is no use for an error
	end := metrics.ConnectionEnd{
		Peer:     metrics.PeerPlatform,
		Name:     c.address,
		Reason:   reason,
		Age:      time.Since(c.openedAt).Seconds(),
		Requests: c.callsSent,
	}
	end.Log(c.client.loop.Log)
}

// nextLine returns the next line without its end. After errLineTimeout it may be called again.
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

// readLines waits for bytes and splits them into lines, of which they may complete none.
func (c *lineConn) readLines(deadline time.Time) error {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return errLineTimeout
	}
	_ = c.net.SetReadTimeout(remaining) // always nil
	reader := c.net.Reader()
	if _, err := reader.Peek(1); err != nil {
		if errors.Is(err, netpoll.ErrReadTimeout) {
			return errLineTimeout
		}
		return err
	}
	received, err := reader.Next(reader.Len())
	if err != nil {
		return err
	}
	err = c.splitter.Feed(received, func(line string) { c.lines = append(c.lines, line) })
	_ = reader.Release() // always nil for the buffer of a connection
	return err
}

// closeReason returns why a connection is closed after an error of nextLine or of handling a line, and counts bad input. No
// error counts as an end by the peer.
func (c *Client) closeReason(err error) metrics.CloseReason {
	badInput := errors.Is(err, linewire.ErrMalformed) || errors.Is(err, linewire.ErrTooLong)
	switch {
	case errors.Is(err, errLineTimeout):
		return metrics.ClosedByResponseTimeout
	case badInput:
		c.loop.Metrics.Add(metrics.BadInput, 1)
		return metrics.ClosedByBadInput
	}
	return metrics.ClosedByPeer
}
