package releasecontroller

import "strings"

// replyQueue keeps the replies to the calls of a connection in the order of the calls. The controller's loop replies to the
// calls that it gets in their order; a call that is refused has its reply at once, which waits for those before it. The zero
// value is ready for use.
type replyQueue struct {
	calls []*queuedCall // without those whose replies have been taken, oldest first
}

// queuedCall is a call that the loop replies to, and the replies to the refused calls behind it.
type queuedCall struct {
	refusals strings.Builder
}

// expect adds a call that the loop will reply to.
func (q *replyQueue) expect() { q.calls = append(q.calls, &queuedCall{}) }

// refuse adds a call with its reply. It returns the text to send now: the reply, or nothing while it has to wait.
func (q *replyQueue) refuse(reply string) (ready string) {
	if len(q.calls) == 0 {
		return reply
	}
	q.calls[len(q.calls)-1].refusals.WriteString(reply)
	return ""
}

// reply takes the oldest call, to which the loop has replied. It returns the text to send now.
func (q *replyQueue) reply(reply string) (ready string) {
	ready = reply + q.calls[0].refusals.String()
	q.calls = q.calls[1:]
	return ready
}
