//go:build review

package rig

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// Answer is what a client got for one command.
type Answer struct {
	Value  string // of the row
	Served bool   // a row and its end came
	Code   string // of an error
}

// String returns the answer as it is recorded.
func (a Answer) String() string {
	if a.Served {
		return "served " + a.Value
	}
	return "error " + a.Code
}

// Client is a client's connection to a relay.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects and sends the startup message, and waits for the relay's answer to it.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{Conn: conn, reader: bufio.NewReader(conn)}
	if _, err := conn.Write(pgwire.Startup("worker", "catalog")); err != nil {
		_ = conn.Close()
		return nil, err
	}
	answer, err := c.Receive(5 * time.Second)
	if err == nil && answer.Code != "" {
		err = fmt.Errorf("startup refused: %s", answer.Code)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// Send writes one query.
func (c *Client) Send(statement string) error {
	_, err := c.Write(pgwire.QueryMessage(statement))
	return err
}

// Receive reads one answer, up to ReadyForQuery or a fatal error. An error says that the connection ended, or that nothing
// came in time, before the answer was whole.
func (c *Client) Receive(within time.Duration) (Answer, error) {
	var answer Answer
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return answer, err
	}
	for {
		kind, body, err := fakes.ReadMessage(c.reader, false)
		if err != nil {
			return answer, err
		}
		switch kind {
		case 'D':
			value, err := pgwire.ParseRow(body)
			if err != nil {
				return answer, err
			}
			answer.Value = string(value)
		case 'C':
			answer.Served = true
		case 'E':
			severity, code, _, err := pgwire.ParseError(body)
			if err != nil {
				return answer, err
			}
			answer.Code = code
			if severity == pgwire.Fatal {
				return answer, nil
			}
		case 'Z':
			return answer, nil
		}
	}
}

// WaitReady waits until a relay answers an empty query, as the front does before it takes a relay in.
func WaitReady(address string, within time.Duration) error {
	var err error
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		var c *Client
		if c, err = Dial(address); err != nil {
			continue
		}
		if err = c.Send(""); err == nil {
			_, err = c.Receive(within)
		}
		_ = c.Close()
		if err == nil {
			return nil
		}
	}
	return fmt.Errorf("the relay at %s is not ready: %w", address, err)
}
