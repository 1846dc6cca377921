package upstream

import (
	"github.com/cloudwego/netpoll"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// loadReportParameter is the PostgreSQL parameter that contains the load report of an endpoint.
const loadReportParameter = "vitals"

// read handles the input that has arrived. Runs on the reading goroutine.
func (c *conn) read(connection netpoll.Connection) error {
	reader := connection.Reader()
	for reader.Len() > 0 {
		receivedAt := c.pool.loop.Clock.Now()
		input, err := reader.Next(min(reader.Len(), buffer.Size))
		if err != nil {
			break
		}
		if !c.inputInvalid {
			c.parse(input, receivedAt)
		}
	}
	if !c.inputInvalid && (c.response != nil || c.splitter.Partial()) {
		c.pool.loop.Post(responseBegun{c})
	}
	return reader.Release()
}

// parse handles a part of the input. After an error the loop closes the connection, and further input is discarded. Runs on
// the reading goroutine.
func (c *conn) parse(input []byte, receivedAt relay.Seconds) {
	err := c.splitter.Feed(input, func(m pgwire.Message) error { return c.handleMessage(m, receivedAt) })
	if err != nil {
		c.inputInvalid = true
		c.pool.loop.Metrics.Add(metrics.BadInput, 1)
		c.pool.loop.Post(protocolError{c, err})
	}
}

// handleMessage handles one message from the endpoint. An error ends the connection. Runs on the reading goroutine.
func (c *conn) handleMessage(m pgwire.Message, receivedAt relay.Seconds) error {
	defer m.Body.Free()
	switch m.Type {
	case pgwire.TypeAuthentication, pgwire.TypeBackendKeyData, pgwire.TypeNoticeResponse:
		return nil // endpoints ask for no password; notices are ignored
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
	case pgwire.TypeEmptyQueryResponse:
		if m.Body.Len() > 0 {
			return errUnexpectedMessage
		}
		c.pool.loop.Post(emptyQueryResponse{c})
		return nil
	case pgwire.TypeReadyForQuery:
		c.pool.loop.Post(readyForQuery{c})
		return nil
	default:
		return errUnexpectedMessage
	}
}

// handleParameterStatus stores a load report. A malformed message is ignored, as the response that it comes with may be
// valid.
func (c *conn) handleParameterStatus(m pgwire.Message) {
	name, value, err := pgwire.ParseStatus(m.Body.Bytes())
	if err == nil && name == loadReportParameter {
		c.loadReport = pgwire.ParseLoadReport(value, c.pool.loop.Site.LoadReportFields)
	}
}

// handleRowDescription starts a new response.
func (c *conn) handleRowDescription(m pgwire.Message) error {
	if err := pgwire.CheckRowDescription(m.Body.Bytes()); err != nil {
		return err
	}
	c.response.Free()
	c.response, c.rowCount = c.pool.loop.Pool.Chain(), 0
	c.appendToResponse(m)
	return nil
}

// handleDataRow adds the only row of a response.
func (c *conn) handleDataRow(m pgwire.Message) error {
	value, err := pgwire.ParseRow(m.Body.Bytes())
	if err != nil {
		return err
	}
	c.rowCount++
	if c.response == nil || c.rowCount > 1 {
		return errUnexpectedMessage
	}
	c.rowValue = ""
	if len(value) <= limits.MaxLoadReportBytes {
		c.rowValue = string(value)
	}
	c.appendToResponse(m)
	return nil
}

// handleCommandComplete completes a response and posts it.
func (c *conn) handleCommandComplete(m pgwire.Message, receivedAt relay.Seconds) error {
	if c.response == nil || c.rowCount != 1 {
		return errUnexpectedMessage
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

// handleErrorResponse posts an error in place of a response. A partial response before it is dropped, so that no later
// message can complete it.
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

// appendToResponse adds a message to the response, which is forwarded as received.
func (c *conn) appendToResponse(m pgwire.Message) {
	_, _ = c.response.Write(pgwire.AppendHeader(nil, m.Type, m.Body.Len())) // never fails
	c.response.Append(m.Body, 0, m.Body.Len())
}

// outcomeOf returns the outcome of an attempt that ended with an error of the given code.
func outcomeOf(code string) relay.Outcome {
	if code == pgwire.CodeTooManyConnections {
		return relay.RejectedByEndpoint
	}
	return relay.Errored
}
