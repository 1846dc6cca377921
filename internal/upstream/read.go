package upstream

import (
	"github.com/cloudwego/netpoll"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// loadReportParameter is the PostgreSQL parameter that holds an endpoint's load report.
const loadReportParameter = "vitals"

// read takes what has come, on the connection's goroutine.
func (c *conn) read(connection netpoll.Connection) error {
	reader := connection.Reader()
	for reader.Len() > 0 {
		receivedAt := c.pool.loop.Clock.Now()
		input, err := reader.Next(min(reader.Len(), buffer.Size))
		if err == nil {
			err = c.splitter.Feed(input, func(m pgwire.Message) error { return c.handleMessage(m, receivedAt) })
		}
		if err != nil {
			c.pool.loop.Metrics.Add(metrics.BadInput, 1)
			c.pool.loop.Post(protocolError{c, err})
			_ = reader.Skip(reader.Len()) // as much is there; the connection is closed anyway
			break
		}
	}
	if c.response != nil || c.splitter.Partial() {
		c.pool.loop.Post(responseBegun{c})
	}
	return reader.Release()
}

// handleMessage takes one message of the endpoint, on the connection's goroutine. An error ends the connection.
func (c *conn) handleMessage(m pgwire.Message, receivedAt relay.Seconds) error {
	defer m.Body.Free()
	switch m.Type {
	case pgwire.TypeAuthentication, pgwire.TypeBackendKeyData, pgwire.TypeNoticeResponse:
		return nil // no password is asked for; notices are passed over
	case pgwire.TypeParameterStatus:
		c.handleParameterStatus(m)
		return nil
	case pgwire.TypeRowDescription:
		return c.handleRowDescription(m)
	case pgwire.TypeDataRow:
		return c.handleDataRow(m)
	case pgwire.TypeCommandComplete:
		return c.handleCommandComplete(m, receivedAt)
	case pgwire.TypeErrorResponse:
		return c.handleErrorResponse(m, receivedAt)
	case pgwire.TypeReadyForQuery:
		c.pool.loop.Post(readyForQuery{c})
		return nil
	default:
		return errOutOfPlace
	}
}

// handleParameterStatus keeps a load report. One that can't be read is passed over: the response beside it may be good.
func (c *conn) handleParameterStatus(m pgwire.Message) {
	name, value, err := pgwire.ParseStatus(m.Body.Bytes())
	if err == nil && name == loadReportParameter {
		c.loadReport = pgwire.ParseLoadReport(value, c.pool.loop.Site.LoadReportFields)
	}
}

// handleRowDescription begins a response.
func (c *conn) handleRowDescription(m pgwire.Message) error {
	if err := pgwire.CheckRowDescription(m.Body.Bytes()); err != nil {
		return err
	}
	c.response.Free()
	c.response, c.rowCount = c.pool.loop.Pool.Chain(), 0
	c.appendToResponse(m)
	return nil
}

// handleDataRow takes the one row of a response.
func (c *conn) handleDataRow(m pgwire.Message) error {
	value, err := pgwire.ParseRow(m.Body.Bytes())
	if err != nil {
		return err
	}
	c.rowCount++
	if c.response == nil || c.rowCount > 1 {
		return errOutOfPlace
	}
	c.rowValue = ""
	if len(value) <= limits.MaxLoadReportBytes {
		c.rowValue = string(value)
	}
	c.appendToResponse(m)
	return nil
}

// handleCommandComplete completes a response.
func (c *conn) handleCommandComplete(m pgwire.Message, receivedAt relay.Seconds) error {
	if c.response == nil || c.rowCount != 1 {
		return errOutOfPlace
	}
	if err := pgwire.CheckComplete(m.Body.Bytes()); err != nil {
		return err
	}
	c.appendToResponse(m)
	c.pool.loop.Post(responseReceived{
		conn:       c,
		receivedAt: receivedAt,
		outcome:    relay.Succeeded,
		response:   c.response,
		rowValue:   c.rowValue,
		loadReport: c.loadReport,
	})
	c.response = nil
	return nil
}

// handleErrorResponse takes an error. A row before it is dropped: nothing that comes later may complete that.
func (c *conn) handleErrorResponse(m pgwire.Message, receivedAt relay.Seconds) error {
	c.response.Free()
	c.response = nil
	_, code, text, err := pgwire.ParseError(m.Body.Bytes())
	if err != nil {
		return err
	}
	c.pool.loop.Post(responseReceived{
		conn:       c,
		receivedAt: receivedAt,
		outcome:    outcomeOf(code),
		errorCode:  code,
		errorText:  text,
		loadReport: c.loadReport,
	})
	return nil
}

// appendToResponse adds a message to the response that is forwarded.
func (c *conn) appendToResponse(m pgwire.Message) {
	_, _ = c.response.Write(pgwire.AppendHeader(nil, m.Type, m.Body.Len())) // a chain's Write never fails
	c.response.Append(m.Body, 0, m.Body.Len())
}

// outcomeOf is what an error code says of the attempt.
func outcomeOf(code string) relay.Outcome {
	if code == pgwire.CodeTooManyConnections {
		return relay.RejectedByEndpoint
	}
	return relay.Errored
}
