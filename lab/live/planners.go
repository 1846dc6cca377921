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

// requestLifetime is how long the log keeps a request: longer than any deadline and dedup window.
const requestLifetime = 15 * time.Second

// requestLog is what all emulated planners together know of requests: how many attempts of each still have to fail, and
// which were executed. It shows from outside whether a request that may be executed at most once was executed again. mu
// guards all fields below it; the planners' goroutines share it.
type requestLog struct {
	terms []lab.ClassTerms

	mu         sync.Mutex
	requests   map[string]*loggedRequest // by ID
	byAge      []*loggedRequest          // in the order in which they came
	attempts   int
	crossSite  int      // attempts from a relay of the other site
	duplicates []string // IDs of requests executed again that may be executed at most once, one for each further attempt
}

type loggedRequest struct {
	id         string
	firstAt    time.Time
	failures   int // attempts that still have to fail
	executions int // attempts that began; each may have had its effect, also where it failed
}

func newRequestLog() *requestLog {
	return &requestLog{terms: lab.AllClassTerms(), requests: map[string]*loggedRequest{}}
}

// beginAttempt records a statement that a planner of a site begins, and says how long it takes and whether it fails. A
// statement that can't be read fails at once.
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

// removeExpired forgets requests whose lifetime is over. The caller holds mu.
func (l *requestLog) removeExpired(now time.Time) {
	for len(l.byAge) > 0 && now.Sub(l.byAge[0].firstAt) > requestLifetime {
		delete(l.requests, l.byAge[0].id)
		l.byAge = l.byAge[1:]
	}
}

// requestOf gives the log's entry of a query, which is new at its first attempt. The caller holds mu.
func (l *requestLog) requestOf(query *pgwire.Query, now time.Time) *loggedRequest {
	if request := l.requests[query.ID]; request != nil {
		return request
	}
	request := &loggedRequest{id: query.ID, firstAt: now}
	_, _ = fmt.Sscanf(query.Object, "f%d-", &request.failures) // an object of another form has no failures
	l.requests[request.id] = request
	l.byAge = append(l.byAge, request)
	return request
}

// idempotencyOf is the idempotency of a request class; an unknown class is taken as idempotent.
func (l *requestLog) idempotencyOf(class string) relay.Idempotency {
	for _, term := range l.terms {
		if term.Name == class {
			return term.Idempotency
		}
	}
	return relay.Idempotent
}

// addTo adds what the log counted to a result.
func (l *requestLog) addTo(result *lab.ReplayResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result.Attempts, result.CrossSiteAttempts = l.attempts, l.crossSite
	for _, id := range l.duplicates {
		result.Violations = append(result.Violations, lab.Violation{Rule: "effect twice", Text: "query " + id + " ran twice and may only once"})
	}
}
