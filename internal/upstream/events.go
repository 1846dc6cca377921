package upstream

import (
	"errors"
	"fmt"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// Causes of a protocolError, besides the errors of pgwire.
var (
	errUnexpectedMessage = errors.New("unexpected message")
	errUnsolicited       = errors.New("unsolicited input")
	errIncomplete        = errors.New("incomplete response")
)

const millisPerSecond = 1e3

// responseBegun is posted when part of a response, or of a message, has been read.
type responseBegun struct{ conn *conn }

// Apply closes the connection if it is idle or settling. Otherwise it starts a timer that closes the connection if the
// response is not complete after limits.ResponseRestTimeout: endpoints send a response in one go.
func (e responseBegun) Apply(l *pipeline.Loop) {
	c, attempt := e.conn, e.conn.attempt
	if c.state == stateIdle || c.state == stateSettling {
		protocolError{c, errUnsolicited}.Apply(l) // it follows the last response
	}
	if attempt == nil || attempt == c.partialAttempt {
		return
	}
	c.partialAttempt = attempt
	l.RunAt(l.Clock.Now()+limits.ResponseRestTimeout.Seconds(), func() {
		if c.attempt == attempt {
			protocolError{c, errIncomplete}.Apply(l)
		}
	})
}

// responseReceived is posted when a response, or an error in its place, is complete.
type responseReceived struct {
	conn       *conn
	receivedAt relay.Seconds // when its last byte was read
	outcome    relay.Outcome
	response   *buffer.Chain // nil for an error
	rowValue   string
	loadReport []float32 // the last one that the endpoint sent
	errorCode  string    // empty if there is no error
	errorText  string
}

// Apply ends the attempt that the response belongs to. If there is none, it closes the connection.
func (e responseReceived) Apply(l *pipeline.Loop) {
	c, attempt := e.conn, e.conn.attempt
	sentAt, sent := c.sentTime()
	switch {
	case c.state == stateStarting:
		c.connErr = fmt.Errorf("startup failed: %s %s", e.errorCode, e.errorText)
		c.close(metrics.ClosedByStartupError)
	case attempt == nil && e.errorCode != "":
		c.close(metrics.ClosedByPeer) // the endpoint is about to close
	case attempt == nil || !sent || e.receivedAt < sentAt:
		protocolError{c, errUnsolicited}.Apply(l)
	}
	if c.state == stateClosed {
		e.response.Free()
		return
	}
	if e.errorCode == pgwire.CodeProtocol {
		l.Log.WithField("endpoint", c.endpoint.name).Error("endpoint reported a protocol error: " + e.errorText)
	}
	c.attempt, c.lastResponseAt = nil, e.receivedAt
	l.RunAt(l.Clock.Now()+limits.ResponseRestTimeout.Seconds(), func() {
		if c.state == stateBusy && c.attempt == nil && c.lastResponseAt == e.receivedAt {
			protocolError{c, errIncomplete}.Apply(l) // ReadyForQuery did not come: the connection would stay busy forever
		}
	})
	l.EndAttempt(attempt, pipeline.AttemptResult{
		Outcome:    e.outcome,
		Duration:   e.receivedAt - sentAt,
		LoadReport: e.loadReportFor(attempt, l),
		Response:   e.response,
	})
}

// loadReportFor returns the load report for the end of an attempt or a health check, or nil if there is none.
func (e responseReceived) loadReportFor(attempt *pipeline.Attempt, l *pipeline.Loop) []float32 {
	if attempt.Request == nil && len(l.Site.LoadReportFields) > 0 {
		return pgwire.ParseLoadReport(e.rowValue, l.Site.LoadReportFields)
	}
	if !l.Site.LoadReportInAttempts {
		return nil
	}
	return e.loadReport
}

// protocolError is posted when input cannot be parsed or was not expected. The connection cannot be used any more.
type protocolError struct {
	conn  *conn
	cause error
}

// Apply closes the connection. The attempt on it counts as one that may have run if it was sent.
func (e protocolError) Apply(l *pipeline.Loop) {
	c := e.conn
	c.connErr = e.cause
	if c.lastResponseAt > 0 && c.attempt == nil {
		delayMillis := (l.Clock.Now() - c.lastResponseAt) * millisPerSecond
		c.connErr = fmt.Errorf("%w, %.1f ms after the last response", e.cause, delayMillis)
	}
	c.close(metrics.ClosedByBadInput)
}

// readyForQuery is posted when the endpoint reports that it is ready for a request.
type readyForQuery struct{ conn *conn }

// Apply makes the connection idle after a startup and after a verification. After a response the verification comes first, as
// unexpected further input may follow.
func (e readyForQuery) Apply(l *pipeline.Loop) {
	c := e.conn
	switch {
	case c.state == stateStarting:
		c.becomeIdle()
	case c.state == stateBusy && c.attempt == nil:
		c.settle()
	case c.state == stateVerifying && c.emptyQueryAnswered:
		l.StopTimer(c.verifyTimer)
		c.becomeIdle()
	case c.state != stateClosed:
		protocolError{c, errUnsolicited}.Apply(l) // no request was sent, or its response has not come
	}
}
