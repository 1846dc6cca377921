package pipeline

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// endReason tells in the log why a request ended without a response of an endpoint, or why it is retried.
type endReason string

// The reasons. Their values must not change, as scripts that read the log depend on them.
const (
	reasonDuplicateID   endReason = "duplicate_id"    // an earlier request has the same id
	reasonNoBuffers     endReason = "no_buffers"      // no buffer memory was left when it arrived
	reasonTooManyOpen   endReason = "too_many_open"   // the limit of open requests was reached
	reasonTooManyQueued endReason = "too_many_queued" // its client sent too many requests ahead of their responses
	reasonRejected      endReason = "rejected"        // the decision module rejected it
	reasonFailed        endReason = "failed"          // the decision module gave it up after it may have run
	reasonClientLeft    endReason = "client_left"     // its client disconnected
	reasonShutdown      endReason = "shutdown"        // the program ends before its deadline
	reasonAttemptFailed endReason = "attempt_failed"  // an earlier attempt ended without a response
	reasonHedged        endReason = "hedged"          // an earlier attempt is still open
)

// requestLog writes the log lines of single requests. Each kind of line has a limiter of its own, so that a flood of one kind
// hides no other. It must be used by one goroutine.
type requestLog struct {
	log      *logrus.Logger
	counters *metrics.Counters
	limiters map[endReason]*limitedLines
}

// limitedLines limits the lines of one kind.
type limitedLines struct {
	limiter    *rate.Limiter
	suppressed int // lines that were not written since the last one that was
}

func newRequestLog(log *logrus.Logger, counters *metrics.Counters) requestLog {
	return requestLog{log: log, counters: counters, limiters: map[endReason]*limitedLines{}}
}

// allow reports whether a line of a kind may be written, and how many were suppressed before it.
func (r *requestLog) allow(reason endReason) (suppressed int, ok bool) {
	lines := r.limiters[reason]
	if lines == nil {
		lines = &limitedLines{limiter: rate.NewLimiter(limits.RequestLinesPerSecond, limits.MaxRequestLineBurst)}
		r.limiters[reason] = lines
	}
	if !lines.limiter.AllowN(time.Now(), 1) {
		lines.suppressed++
		r.counters.Add(metrics.RequestLinesSuppressed, 1)
		return 0, false
	}
	suppressed, lines.suppressed = lines.suppressed, 0
	return suppressed, true
}

// ended writes the line of a request that ended without a response of an endpoint.
func (r *requestLog) ended(request *Request, reason endReason, now relay.Seconds) {
	r.write("request ended", request, reason, logrus.Fields{"age": roundToMillis(now - request.ReceivedAt)})
}

// retried writes the line of a request that gets a further attempt.
func (r *requestLog) retried(request *Request, attempt *Attempt) {
	reason := reasonAttemptFailed
	if request.openAttempts > 1 {
		reason = reasonHedged
	}
	r.write("request retried", request, reason, logrus.Fields{"attempt": int(attempt.Number)})
}

func (r *requestLog) write(message string, request *Request, reason endReason, fields logrus.Fields) {
	suppressed, ok := r.allow(reason)
	if !ok {
		return
	}
	fields["id"] = request.Query.ID
	fields["class"] = request.Query.Class
	fields["reason"] = string(reason)
	fields["outcomes"] = request.outcomes()
	if request.ClientAddress != nil {
		fields["client"] = request.ClientAddress.String()
	}
	if request.idState != idUnknown {
		fields["earlier"] = request.idState.String()
	}
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	r.log.WithFields(fields).Info(message)
}

// outcomes lists the outcomes of the attempts of a request, in their order.
func (r *Request) outcomes() string {
	list := ""
	for i, attempt := range r.Attempts {
		if i > 0 {
			list += ","
		}
		if attempt.Ended {
			list += attempt.outcome.String()
		} else {
			list += "open"
		}
	}
	return list
}

func roundToMillis(seconds relay.Seconds) relay.Seconds {
	return math.Round(seconds*millisPerSecond) / millisPerSecond
}
