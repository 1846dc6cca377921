package pipeline

import (
	"lichenroad/internal/buffer"
	"lichenroad/internal/pgwire"
)

// pass gives a unit's answer on to the client, as it stands.
func (l *Loop) pass(q *Request, answer *buffer.Chain) {
	answer.Write(pgwire.Ready(nil))
	l.finish(q, StatusSucceeded)
	q.Client.Respond(answer)
}

// answerError gives a final answer that is not a unit's.
func (l *Loop) answerError(q *Request, how RequestStatus, code, text, detail string) {
	l.finish(q, how)
	q.Client.Respond(l.Pool.Filled(pgwire.Ready(pgwire.ErrorResponse(pgwire.Error, code, text, detail))))
}
