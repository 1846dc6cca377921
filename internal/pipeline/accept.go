package pipeline

import (
	"fmt"

	"lichenroad/internal/buffer"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
	"lichenroad/settings"
)

// Accept creates the record of a request from the text of its statement and from body, the body of the Query message
// that contains the text. It takes ownership of body unless it returns an error, which wraps pgwire.ErrMalformed or
// pgwire.ErrTooLong. It uses no state of the loop: connections call it on the goroutine that reads them.
func Accept(site *settings.Site, text []byte, body *buffer.Chain, receivedAt relay.Seconds) (*Request, error) {
	query, err := pgwire.ParseQuery(text)
	if err != nil {
		return nil, err
	}
	request := &Request{Query: query, Body: body, ReceivedAt: receivedAt}
	var known bool
	if request.Class, known = site.ClassByName[query.Class]; !known {
		return nil, fmt.Errorf("%w: category %q is not known", pgwire.ErrMalformed, query.Class)
	}
	if site.Classes[request.Class].Idempotency == relay.IdempotencyKeyed && query.IdempotencyKey == "" {
		return nil, fmt.Errorf("%w: category %q needs a key", pgwire.ErrMalformed, query.Class) // a retry could have a second effect
	}
	request.Tenant, known = site.TenantByName[query.Tenant]
	if !known && len(site.TenantByName) > 0 {
		return nil, fmt.Errorf("%w: customer %q is not known", pgwire.ErrMalformed, query.Tenant)
	}
	return request, nil
}

// NewRejected creates the record of a request that is rejected without being parsed, because there is no capacity for
// it. The request is counted like any other.
func NewRejected(reason RejectReason, receivedAt relay.Seconds) *Request {
	return &Request{RejectReason: reason, ReceivedAt: receivedAt}
}
