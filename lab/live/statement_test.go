package live

import (
	"testing"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab"
	"lichenroad/relay"
)

// TestStatementsAreRead checks that the relays' parser and the planners' request log understand the statements that are sent.
func TestStatementsAreRead(t *testing.T) {
	terms := lab.AllClassTerms()
	for i := range terms {
		t.Run(terms[i].Name, func(t *testing.T) {
			text := statement{id: 77, terms: &terms[i], tenant: "dairy", timeLeft: 1.5, work: 0.125, failures: 2}.String()
			checkQuery(t, text, terms[i])
			checkRequestLog(t, text, &terms[i])
		})
	}
}

// checkQuery checks the terms that a relay parses from a statement.
func checkQuery(t *testing.T, text string, term lab.ClassTerms) {
	t.Helper()
	query, err := pgwire.ParseQuery([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if query.Class != term.Name || query.Tenant != "dairy" || query.DeadlineMillis != 1500 {
		t.Errorf("wrong class, tenant or deadline: %+v", query)
	}
	if !query.HasWork || query.WorkMicros != 125000 {
		t.Errorf("wrong work: %+v", query)
	}
	if query.Write != (term.Idempotency != relay.Idempotent) || (query.IdempotencyKey != "") != (term.Idempotency == relay.IdempotencyKeyed) {
		t.Errorf("wrong idempotency: %+v", query)
	}
}

// checkRequestLog begins three attempts at a statement, the first two of which must fail, and an attempt at another statement
// after the first one has expired.
func checkRequestLog(t *testing.T, text string, term *lab.ClassTerms) {
	t.Helper()
	log := newRequestLog()
	for attempt, want := range []bool{true, true, false} {
		if serviceTime, fails := log.beginAttempt(text, 0, time.Unix(0, 0)); serviceTime != 125*time.Millisecond || fails != want {
			t.Errorf("attempt %d: got service time %v and failure %t, want 125ms and %t", attempt, serviceTime, fails, want)
		}
	}
	if duplicate := len(log.duplicates) > 0; duplicate != (term.Idempotency == relay.AtMostOnce) {
		t.Errorf("after three executions: got the duplicates %v", log.duplicates)
	}
	later := statement{id: 78, terms: term, tenant: "dairy", timeLeft: 1, work: 0.1}.String()
	log.beginAttempt(later, 1, time.Unix(0, 0).Add(2*requestLifetime))
	if log.crossSite != 1 {
		t.Errorf("got %d attempts from the other site, want 1", log.crossSite)
	}
	if len(log.requests) != 1 || len(log.byAge) != 1 {
		t.Errorf("the log holds %d and %d requests, want only the one that has not expired", len(log.requests), len(log.byAge))
	}
}
