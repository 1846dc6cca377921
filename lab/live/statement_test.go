package live

import (
	"testing"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab"
	"lichenroad/relay"
)

// TestStatementsAreRead holds what the sender writes to the relay's own reader and to the planners' request log.
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

// checkQuery reads a statement as a relay does.
func checkQuery(t *testing.T, text string, term lab.ClassTerms) {
	t.Helper()
	query, err := pgwire.ParseQuery([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if query.Class != term.Name || query.Tenant != "dairy" || query.DeadlineMillis != 1500 {
		t.Errorf("class, tenant or deadline: %+v", query)
	}
	if !query.HasWork || query.WorkMicros != 125000 {
		t.Errorf("work: %+v", query)
	}
	if query.Write != (term.Idempotency != relay.Idempotent) || (query.IdempotencyKey != "") != (term.Idempotency == relay.IdempotencyKeyed) {
		t.Errorf("idempotency: %+v", query)
	}
}

// checkRequestLog has planners begin a statement three times, two of which fail, and another one much later.
func checkRequestLog(t *testing.T, text string, term *lab.ClassTerms) {
	t.Helper()
	log := newRequestLog()
	for attempt, want := range []bool{true, true, false} {
		if serviceTime, fails := log.beginAttempt(text, 0, time.Unix(0, 0)); serviceTime != 125*time.Millisecond || fails != want {
			t.Errorf("attempt %d: %v %v", attempt, serviceTime, fails)
		}
	}
	if duplicate := len(log.duplicates) > 0; duplicate != (term.Idempotency == relay.AtMostOnce) {
		t.Errorf("executed three times: %v", log.duplicates)
	}
	later := statement{id: 78, terms: term, tenant: "dairy", timeLeft: 1, work: 0.1}.String()
	log.beginAttempt(later, 1, time.Unix(0, 0).Add(2*requestLifetime))
	if log.crossSite != 1 {
		t.Errorf("%d attempts from the other site", log.crossSite)
	}
	if len(log.requests) != 1 || len(log.byAge) != 1 {
		t.Error("expired requests are kept")
	}
}
