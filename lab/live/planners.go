package live

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab"
	"lichenroad/relay"
)

// requestLifetime is how long the log keeps a request. It is longer than any deadline and dedup window of package lab.
const requestLifetime = 15 * time.Second

// requestLog records the attempts that all emulated planners received: how many attempts at each request still have to fail,
// and which requests were executed. It shows, independently of the relays, whether an at-most-once request was executed again.
// It is shared by the planners' goroutines.
type requestLog struct {
	terms []lab.ClassTerms

	mu         sync.Mutex                // guards the fields below
	requests   map[string]*loggedRequest // by ID
	byAge      []*loggedRequest          // in the order of their first attempts
	attempts   int
	crossSite  int      // attempts by a relay of the other site
	duplicates []string // IDs of at-most-once requests, one for each execution after the first
}

type loggedRequest struct {
	id         string
	firstAt    time.Time
	failures   int // attempts that still have to fail
	executions int // attempts that were begun; a failed one may have had its effect too
}

func newRequestLog() *requestLog {
	return &requestLog{terms: lab.AllClassTerms(), requests: map[string]*loggedRequest{}}
}

// beginAttempt records an attempt that a planner at a site begins to process, and returns how long it takes and whether it
// fails. A statement that can't be parsed fails at once.
func (l *requestLog) beginAttempt(text string, site int, now time.Time) (serviceTime time.Duration, fails bool) {
	query, err := pgwire.ParseQuery([]byte(text))
	if err != nil || !query.HasWork {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	l.attempts++
	if id, err := strconv.ParseUint(query.ID, 16, 64); err == nil && int(id>>relayShift)%len(sites) != site {
		l.crossSite++
	}
	request := l.requestOf(&query, now)
	fails = request.failures > 0
	request.failures--
	request.executions++
	if request.executions > 1 && l.idempotencyOf(query.Class) == relay.AtMostOnce {
		l.duplicates = append(l.duplicates, request.id)
	}
	return time.Duration(query.WorkMicros) * time.Microsecond, fails
}

// removeExpired removes requests whose first attempt is older than requestLifetime. The caller holds mu.
func (l *requestLog) removeExpired(now time.Time) {
	for len(l.byAge) > 0 && now.Sub(l.byAge[0].firstAt) > requestLifetime {
		delete(l.requests, l.byAge[0].id)
		l.byAge = l.byAge[1:]
	}
}

// requestOf returns the log's entry for a query, and adds it at the request's first attempt. The caller holds mu.
func (l *requestLog) requestOf(query *pgwire.Query, now time.Time) *loggedRequest {
	if request := l.requests[query.ID]; request != nil {
		return request
	}
	request := &loggedRequest{id: query.ID, firstAt: now}
	_, _ = fmt.Sscanf(query.Object, "f%d-", &request.failures) // no attempts fail if the object's name has another format
	l.requests[request.id] = request
	l.byAge = append(l.byAge, request)
	return request
}

// idempotencyOf returns the idempotency of a request class, Idempotent for an unknown class.
func (l *requestLog) idempotencyOf(class string) relay.Idempotency {
	for _, term := range l.terms {
		if term.Name == class {
			return term.Idempotency
		}
	}
	return relay.Idempotent
}

// addTo sets the result's counts of attempts and adds a violation for each duplicate execution.
func (l *requestLog) addTo(result *lab.ReplayResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result.Attempts, result.CrossSiteAttempts = l.attempts, l.crossSite
	for _, id := range l.duplicates {
		result.Violations = append(result.Violations, lab.Violation{Rule: "effect twice", Text: "query " + id + " ran twice and may only once"})
	}
}
