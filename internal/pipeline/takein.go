package pipeline

import (
	"fmt"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
	"lichenroad/settings"
)

// Accept makes the record of a query of its statement and the body of the message that holds it, which it
// takes over when there is no error. It touches no state of the loop, so connections call it where they read.
func Accept(site *settings.Site, text []byte, body *buffer.Chain, at relay.Seconds) (*Request, error) {
	parsed, err := pgwire.ParseQuery(text)
	if err != nil {
		return nil, err
	}
	q := &Request{Query: parsed, Text: body, Arrived: at}
	var known bool
	if q.Class, known = site.ClassByName[parsed.Class]; !known {
		return nil, fmt.Errorf("%w: category %q is not known", pgwire.ErrMalformed, parsed.Class)
	}
	if q.Tenant, known = site.TenantByName[parsed.Tenant]; !known && len(site.TenantByName) > 0 {
		return nil, fmt.Errorf("%w: customer %q is not known", pgwire.ErrMalformed, parsed.Tenant)
	}
	return q, nil
}

// NewRejected makes the record of a query that there is no room for. It is counted and denied.
func NewRejected(why string, at relay.Seconds) *Request {
	return &Request{RejectReason: why, Arrived: at}
}

// Begin starts a query whose turn on its connection has come; from is when its time began to count.
func (l *Loop) BeginRequest(q *Request, from relay.Seconds) {
	l.Metrics.Add(metrics.Accepted, 1)
	l.Metrics.Add(metrics.Open, 1)
	q.Deadline = from + float64(q.DeadlineMillis)/1000
	l.admit(q)
}
