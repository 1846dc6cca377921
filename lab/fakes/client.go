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
	responseMargin = 2 * time.Second // that a response may take beyond its request's deadline
)

// Response is what a client got.
type Response struct {
	Value string // of the row: the server's name, from a Server
	Code  string // of an error; empty where there was none
}

// Client is one connection to a relay, for one goroutine. Dial opens it; its owner closes it.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to a relay and sends the startup. It returns when the relay is ready for queries.
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

// readResponse reads up to ReadyForQuery.
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
			// An error that can't be parsed has no code; the response ends all the same.
			_, response.Code, _, _ = pgwire.ParseError(body)
		case 'Z':
			return response, nil
		}
	}
}

// ReadObject sends a read of the given class for a tenant, and waits for its one response.
func (c *Client) ReadObject(id uint64, class, tenant string, deadline time.Duration) (Response, error) {
	statement := fmt.Sprintf("SELECT body FROM objects WHERE oid = '%016x' /* id=%016x,c=%s,t=%s,d=%d */",
		id, id, class, tenant, deadline.Milliseconds())
	return c.Query(statement, deadline)
}

// Query sends a statement, and waits for its one response until 2 s behind its deadline.
func (c *Client) Query(statement string, deadline time.Duration) (Response, error) {
	if err := c.SetDeadline(time.Now().Add(deadline + responseMargin)); err != nil {
		return Response{}, err
	}
	if _, err := c.Write(pgwire.QueryMessage(statement)); err != nil {
		return Response{}, err
	}
	return c.readResponse()
}
