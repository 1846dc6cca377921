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

// What a protocolError may be about, besides errors of pgwire.
var (
	errOutOfPlace  = errors.New("message out of place")
	errUnsolicited = errors.New("more than was asked for")
	errIncomplete  = errors.New("an answer without its end")
)

const millisPerSecond = 1e3

// responseBegun is posted when a response has begun and is not complete.
type responseBegun struct{ conn *conn }

// Apply gives the rest of the response a little time: endpoints send a response in one go.
func (e responseBegun) Apply(l *pipeline.Loop) {
	c, attempt := e.conn, e.conn.attempt
	if c.state == stateIdle || c.state == stateSettling {
		protocolError{c, errUnsolicited}.Apply(l) // it came behind the last response
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
	receivedAt relay.Seconds // of its last byte
	outcome    relay.Outcome
	response   *buffer.Chain // nil: an error
	rowValue   string
	loadReport []float32 // the last that the endpoint sent
	errorCode  string    // empty: no error
	errorText  string
}

// Apply ends the attempt whose response it is. Where there is none, it ends the connection.
func (e responseReceived) Apply(l *pipeline.Loop) {
	c, attempt := e.conn, e.conn.attempt
	sentAt, sent := c.sentTime()
	switch {
	case c.state == stateStarting:
		c.fault = fmt.Errorf("%s %s", e.errorCode, e.errorText)
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
			protocolError{c, errIncomplete}.Apply(l) // it never said that it is ready, and would stay for good
		}
	})
	l.EndAttempt(attempt, pipeline.AttemptResult{
		Outcome:    e.outcome,
		Duration:   e.receivedAt - sentAt,
		LoadReport: e.loadReportFor(attempt, l),
		Response:   e.response,
	})
}

// loadReportFor gives the load report that comes with the end of an attempt or a health check; nil for none.
func (e responseReceived) loadReportFor(attempt *pipeline.Attempt, l *pipeline.Loop) []float32 {
	if attempt.Request == nil && len(l.Site.LoadReportFields) > 0 {
		return pgwire.ParseLoadReport(e.rowValue, l.Site.LoadReportFields)
	}
	if !l.Site.LoadReportInAttempts {
		return nil
	}
	return e.loadReport
}

// protocolError is posted when what came can't be read, or was not asked for. The connection is of no further use.
type protocolError struct {
	conn  *conn
	cause error
}

// Apply closes the connection. The attempt on it may have run if it was sent.
func (e protocolError) Apply(l *pipeline.Loop) {
	c := e.conn
	c.fault = e.cause
	if c.lastResponseAt > 0 && c.attempt == nil {
		late := (l.Clock.Now() - c.lastResponseAt) * millisPerSecond
		c.fault = fmt.Errorf("%w, %.1f ms behind the last answer", e.cause, late)
	}
	c.close(metrics.ClosedByBadInput)
}

// readyForQuery is posted when the endpoint says that it can take a request.
type readyForQuery struct{ conn *conn }

// Apply makes the connection idle: at once after a startup, a little later after a response, as more of that may follow.
func (e readyForQuery) Apply(l *pipeline.Loop) {
	c := e.conn
	switch {
	case c.state == stateStarting:
		c.becomeIdle()
	case c.state == stateBusy && c.attempt == nil:
		c.state = stateSettling
		c.endpoint.pendingConns++
		l.RunAt(l.Clock.Now()+limits.ResponseSettleTime.Seconds(), func() {
			if c.state == stateSettling {
				c.becomeIdle()
			}
		})
	case c.state != stateClosed:
		protocolError{c, errUnsolicited}.Apply(l) // no response, no error, or no request
	}
}
