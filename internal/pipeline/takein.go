package pipeline

import (
	"fmt"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
	"lichenroad/settings"
)

// TakeIn makes the record of a query of its statement and the body of the message that holds it, which it
// takes over when there is no error. It touches no state of the loop, so connections call it where they read.
func TakeIn(site *settings.Site, text []byte, body *buffer.Chain, at relay.Seconds) (*Query, error) {
	parsed, err := pgwire.ParseQuery(text)
	if err != nil {
		return nil, err
	}
	q := &Query{Query: parsed, Text: body, Arrived: at}
	var known bool
	if q.Category, known = site.Categories[parsed.Category]; !known {
		return nil, fmt.Errorf("%w: category %q is not known", pgwire.ErrMalformed, parsed.Category)
	}
	if q.Customer, known = site.Customers[parsed.Customer]; !known && len(site.Customers) > 0 {
		return nil, fmt.Errorf("%w: customer %q is not known", pgwire.ErrMalformed, parsed.Customer)
	}
	return q, nil
}

// NoRoom makes the record of a query that there is no room for. It is counted and denied.
func NoRoom(why string, at relay.Seconds) *Query { return &Query{NoRoom: why, Arrived: at} }

// Begin starts a query whose turn on its connection has come; from is when its time began to count.
func (l *Loop) Begin(q *Query, from relay.Seconds) {
	l.Stats.Add(metrics.TakenIn, 1)
	l.Stats.Add(metrics.Open, 1)
	q.Until = from + float64(q.Patience)/1000
	l.admit(q)
}
