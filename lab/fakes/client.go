package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"lichenroad/internal/pgwire"
)

const (
	dialTimeout    = 2 * time.Second
	startupTimeout = 5 * time.Second
	responseMargin = 2 * time.Second // how long a client waits for a response after the request's deadline
)

// Response is the response to one query.
type Response struct {
	Value string // value of the row that was returned last; a Server returns its name
	Code  string // SQLSTATE code of the error; empty if there was none
	Text  string // text of the error
}

// Client is a client's connection to a relay. It is not safe for concurrent use. The caller of Dial closes it.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to a relay, sends the startup message and waits until the relay is ready for queries.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &Client{Conn: conn, reader: bufio.NewReader(conn)}
	if err := c.startup(); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return c, nil
}

func (c *Client) startup() error {
	if err := c.SetDeadline(time.Now().Add(startupTimeout)); err != nil {
		return err
	}
	if _, err := c.Write(pgwire.Startup("worker", "catalog")); err != nil {
		return err
	}
	_, err := c.readResponse()
	return err
}

// readResponse reads messages up to and including ReadyForQuery. Rows that can't be parsed are skipped.
func (c *Client) readResponse() (Response, error) {
	var response Response
	for {
		kind, body, err := ReadMessage(c.reader, false)
		if err != nil {
			return response, err
		}
		switch kind {
		case 'D':
			if value, err := pgwire.ParseRow(body); err == nil {
				response.Value = string(value)
			}
		case 'E':
			// An error response that can't be parsed leaves Code empty; ReadyForQuery follows it all the same.
			_, response.Code, response.Text, _ = pgwire.ParseError(body)
		case 'Z':
			return response, nil
		}
	}
}

// ReadObject sends a query that reads an object, with the given request class, tenant and deadline, and waits for its
// response.
func (c *Client) ReadObject(id uint64, class, tenant string, deadline time.Duration) (Response, error) {
	statement := fmt.Sprintf("SELECT body FROM objects WHERE oid = '%016x' /* id=%016x,c=%s,t=%s,d=%d */",
		id, id, class, tenant, deadline.Milliseconds())
	return c.Query(statement, deadline)
}

// Receive waits for the response to a query that was written before. If the connection ends before the response is complete,
// it returns the error and the part that was received.
func (c *Client) Receive(within time.Duration) (Response, error) {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return Response{}, err
	}
	return c.readResponse()
}

// Query sends a statement and waits for its response, at most until responseMargin after the deadline.
func (c *Client) Query(statement string, deadline time.Duration) (Response, error) {
	if err := c.SetDeadline(time.Now().Add(deadline + responseMargin)); err != nil {
		return Response{}, err
	}
	if _, err := c.Write(pgwire.QueryMessage(statement)); err != nil {
		return Response{}, err
	}
	return c.readResponse()
}
