package pipeline

import (
	"math"

	"lichenroad/internal/buffer"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// Texts of the ErrorResponses that the relay gives itself.
const (
	messageTooManyOpen = "no room for another query"
	messageRejected    = "turned away, nothing was done"
	messageFailed      = "given up, with no word on what was done"
)

// reject carries out the module's decision that a request is rejected: nothing of it was done.
func (l *Loop) reject(command relay.Reject) {
	if request := l.requests[command.Request]; request != nil && request.Status == StatusOpen {
		detail := retryAfterDetail(command.RetryAfter)
		l.respondError(request, StatusRejected, pgwire.CodeTooManyConnections, messageRejected, detail)
	}
}

// fail carries out the module's decision that a request is given up: it may have been done.
func (l *Loop) fail(command relay.Fail) {
	if request := l.requests[command.Request]; request != nil && request.Status == StatusOpen {
		l.respondError(request, StatusFailed, pgwire.CodeSystemError, messageFailed, "")
	}
}

// respond forwards an endpoint's response to the client, unchanged but for ReadyForQuery behind it.
func (l *Loop) respond(request *Request, response *buffer.Chain) {
	writeChain(response, pgwire.AppendReadyForQuery(nil))
	l.finish(request, StatusSucceeded)
	request.Client.Respond(response)
}

// respondError ends a request with an ErrorResponse of the relay itself.
func (l *Loop) respondError(request *Request, status RequestStatus, code, text, detail string) {
	l.finish(request, status)
	message := pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, code, text, detail))
	request.Client.Respond(l.Pool.Filled(message))
}

// RetryAfterDetail is the detail field of a rejection at a bound, which the module does not see: the settings' longest
// time to come back, or empty where they allow none. A client that came again at once would find the same bound.
func (l *Loop) RetryAfterDetail() string {
	if site := l.Site.Limits; site.RetryAfter {
		return retryAfterDetail(site.MaxRetryAfter)
	}
	return ""
}

// retryAfterDetail is the detail field that names a time to come back; empty for none.
func retryAfterDetail(after relay.Seconds) string {
	if after > 0 {
		return pgwire.RetryAfterDetail(int64(math.Ceil(after * millisPerSecond)))
	}
	return ""
}
