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
func (l *Loop) admit(q *Query) {
	most := l.Site.MostHeld
	if most <= 0 || most > limits.HeldQueries {
		most = limits.HeldQueries
	}
	if q.NoRoom == "" && len(l.queries) >= most {
		q.NoRoom = textFull
	}
	if q.NoRoom != "" {
		l.answerError(q, IsDenied, pgwire.CodeFull, q.NoRoom, l.ComeBack())
		return
	}
	for l.lastID++; l.queries[l.lastID] != nil; l.lastID++ {
	}
	q.ID = l.lastID
	l.queries[q.ID] = q
	l.Learn(relay.Request{ID: q.ID, Deadline: q.Until, Work: float64(q.Work) / 1e6, HasWork: q.HasWork,
		Retried: q.Again, Key: keyOf(q.Object), Tenant: q.Customer, Class: q.Category})
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

// ComeBack is the detail of a denial at a bound, which the module does not see: the longest time to come back, where
// the settings allow to name one. A client that comes again at once would find the same bound.
func (l *Loop) ComeBack() string {
	if set := l.Site.Limits; set.RetryAfter && set.MaxRetryAfter > 0 {
		return pgwire.Later(int64(math.Ceil(set.MaxRetryAfter * 1000)))
	}
	return ""
}

func (l *Loop) deny(o relay.Reject) {
	if q := l.queries[o.Request]; q != nil && q.Final == StillOpen {
		detail := ""
		if o.RetryAfter > 0 {
			detail = pgwire.Later(int64(math.Ceil(o.RetryAfter * 1000)))
		}
		l.answerError(q, IsDenied, pgwire.CodeFull, textDenied, detail)
	}
}

func (l *Loop) writeOff(o relay.Fail) {
	if q := l.queries[o.Request]; q != nil && q.Final == StillOpen {
		l.answerError(q, IsWrittenOff, pgwire.CodeFailed, textFailed, "")
	}
}

// ClientDisconnected tells that the client of an open query is gone. Only on the loop.
func (l *Loop) ClientLeft(q *Query) {
	if q.Final == StillOpen {
		l.finish(q, HasLeft)
		l.Learn(relay.ClientDisconnected{Request: q.ID})
	}
}
