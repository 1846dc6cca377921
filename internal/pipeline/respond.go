package pipeline

import (
	"math"

	"lichenroad/internal/buffer"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// Texts of the ErrorResponses that the relay itself creates.
const (
	messageRejected    = "turned away, nothing was done"
	messageFailed      = "given up, with no word on what was done"
	messageDuplicateID = "the id belongs to an earlier request"
)

// reject carries out a command to reject a request, which has had no effect.
func (l *Loop) reject(command relay.Reject) {
	if request := l.requests[command.Request]; request != nil && request.Status == StatusOpen {
		l.requestLog.ended(request, reasonRejected, l.Clock.Now())
		detail := retryAfterDetail(command.RetryAfter)
		l.respondError(request, StatusRejected, pgwire.CodeTooManyConnections, messageRejected, detail)
	}
}

// fail carries out a command to fail a request, which may have had an effect.
func (l *Loop) fail(command relay.Fail) {
	if request := l.requests[command.Request]; request != nil && request.Status == StatusOpen {
		l.requestLog.ended(request, reasonFailed, l.Clock.Now())
		l.respondError(request, StatusFailed, pgwire.CodeSystemError, messageFailed, "")
	}
}

// AbortRequest ends a request that is still open as failed, because the program ends. The module is notified as if the
// client had disconnected, so that it cancels the attempts. Must run on the loop goroutine.
func (l *Loop) AbortRequest(request *Request) {
	if request.Status == StatusOpen {
		l.requestLog.ended(request, reasonShutdown, l.Clock.Now())
		l.respondError(request, StatusFailed, pgwire.CodeSystemError, messageFailed, "")
		l.AddEvent(relay.ClientDisconnected{Request: request.ID})
	}
}

// respond forwards the response of an endpoint to the client, unchanged except for a ReadyForQuery at its end.
func (l *Loop) respond(request *Request, response *buffer.Chain) {
	writeChain(response, pgwire.AppendReadyForQuery(nil))
	l.finish(request, StatusSucceeded)
	request.Client.Respond(response)
}

// respondError ends a request with an ErrorResponse that the relay itself creates.
func (l *Loop) respondError(request *Request, status RequestStatus, code, text, detail string) {
	l.finish(request, status)
	message := pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, code, text, detail))
	request.Client.Respond(l.Pool.Filled(message))
}

// RetryAfterDetail returns the detail field for a rejection at a limit of this process, which the module is not asked
// about: the longest retry-after time of the settings, or an empty string if the settings do not allow one. A client
// that retried immediately would hit the same limit.
func (l *Loop) RetryAfterDetail() string {
	if site := l.Site.Limits; site.RetryAfter {
		return retryAfterDetail(site.MaxRetryAfter)
	}
	return ""
}

// retryAfterDetail returns the detail field for a retry-after time, or an empty string if the time is 0.
func retryAfterDetail(after relay.Seconds) string {
	if after > 0 {
		return pgwire.RetryAfterDetail(int64(math.Ceil(after * millisPerSecond)))
	}
	return ""
}
