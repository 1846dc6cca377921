package pipeline

import (
	"hash/fnv"
	"math"
	"strconv"

	"lichenroad/internal/limits"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

const (
	textFull   = "no room for another query"
	textDenied = "turned away, nothing was done"
	textFailed = "given up, with no word on what was done"
)

// admit shows a query to the module, which denies it or orders legs; near a bound it is denied unseen.
func (l *Loop) admit(q *Request) {
	most := l.Site.MaxInFlight
	if most <= 0 || most > limits.MaxOpenRequests {
		most = limits.MaxOpenRequests
	}
	if q.RejectReason == "" && len(l.queries) >= most {
		q.RejectReason = textFull
	}
	if q.RejectReason != "" {
		l.answerError(q, StatusRejected, pgwire.CodeFull, q.RejectReason, l.RetryAfterDetail())
		return
	}
	for l.lastID++; l.queries[l.lastID] != nil; l.lastID++ {
	}
	q.ID = l.lastID
	l.queries[q.ID] = q
	l.AddEvent(relay.Request{ID: q.ID, Deadline: q.Deadline, Work: float64(q.Work) / 1e6, HasWork: q.HasWork,
		Retried: q.Retried, Key: keyOf(q.Object), Tenant: q.Tenant, Class: q.Class})
}

// keyOf gives what a query concerns as a number: the number that it is, or a hash.
func keyOf(object string) relay.Key {
	if n, err := strconv.ParseUint(object, 16, 64); err == nil {
		return relay.Key(n)
	}
	h := fnv.New64a()
	h.Write([]byte(object))
	return relay.Key(h.Sum64())
}

// RetryAfterDetail is the detail of a denial at a bound, which the module does not see: the longest time to come back, where
// the settings allow to name one. A client that comes again at once would find the same bound.
func (l *Loop) RetryAfterDetail() string {
	if set := l.Site.Limits; set.RetryAfter && set.MaxRetryAfter > 0 {
		return pgwire.RetryAfterDetail(int64(math.Ceil(set.MaxRetryAfter * 1000)))
	}
	return ""
}

func (l *Loop) deny(o relay.Reject) {
	if q := l.queries[o.Request]; q != nil && q.Status == StatusOpen {
		detail := ""
		if o.RetryAfter > 0 {
			detail = pgwire.RetryAfterDetail(int64(math.Ceil(o.RetryAfter * 1000)))
		}
		l.answerError(q, StatusRejected, pgwire.CodeFull, textDenied, detail)
	}
}

func (l *Loop) writeOff(o relay.Fail) {
	if q := l.queries[o.Request]; q != nil && q.Status == StatusOpen {
		l.answerError(q, StatusFailed, pgwire.CodeFailed, textFailed, "")
	}
}

// ClientDisconnected tells that the client of an open query is gone. Only on the loop.
func (l *Loop) ClientLeft(q *Request) {
	if q.Status == StatusOpen {
		l.finish(q, StatusClientLeft)
		l.AddEvent(relay.ClientDisconnected{Request: q.ID})
	}
}
