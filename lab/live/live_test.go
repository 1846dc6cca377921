package live

import (
	"testing"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab"
	"lichenroad/relay"
)

// TestStatementsAreRead holds what the sender writes to the relay's own reader and to the planners' book.
func TestStatementsAreRead(t *testing.T) {
	terms := lab.Terms()
	for i := range terms {
		term := &terms[i]
		text := statement(77, term, "dairy", 1.5, 0.125, 2)
		q, err := pgwire.ParseQuery([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if q.Class != term.Name || q.Tenant != "dairy" || q.DeadlineMillis != 1500 || !q.HasWork || q.WorkMicros != 125000 || q.Write != (term.Repeat != relay.Idempotent) ||
			(q.IdempotencyKey != "") != (term.Repeat == relay.IdempotencyKeyed) {
			t.Errorf("%d: %+v", i, q)
		}
		b := newBook()
		for n, want := range []bool{true, true, false} {
			if took, fails := b.leg(text, 0, time.Unix(0, 0)); took != 125*time.Millisecond || fails != want {
				t.Errorf("%s leg %d: %v %v", term.Name, n, took, fails)
			}
		}
		if twice := len(b.twice) > 0; twice != (term.Repeat == relay.AtMostOnce) {
			t.Errorf("%s that ran three times: %v", term.Name, b.twice)
		}
		b.leg(statement(78, term, "dairy", 1, 0.1, 0), 1, time.Unix(0, 0).Add(2*forgetAfter))
		if b.cross != 1 {
			t.Errorf("%d crossings", b.cross)
		}
		if len(b.runs) != 1 || len(b.old) != 1 {
			t.Error("the book forgets nothing")
		}
	}
}
