package pipeline

import (
	"lichenroad/internal/buffer"
	"lichenroad/internal/pgwire"
)

// pass gives a unit's answer on to the client, as it stands.
func (l *Loop) pass(q *Query, answer *buffer.Chain) {
	answer.Write(pgwire.Ready(nil))
	l.finish(q, IsHonoured)
	q.Client.Answer(answer)
}

// answerError gives a final answer that is not a unit's.
func (l *Loop) answerError(q *Query, how Final, code, text, detail string) {
	l.finish(q, how)
	q.Client.Answer(l.Pool.Filled(pgwire.Ready(pgwire.ErrorAnswer(pgwire.Error, code, text, detail))))
}
