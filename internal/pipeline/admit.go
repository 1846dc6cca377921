package pipeline

import (
	"hash/fnv"
	"strconv"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

const (
	millisPerSecond = 1e3
	microsPerSecond = 1e6
)

// ReceiveRequest registers the id of a request that was read. It must be called in the order in which requests were read,
// and be followed by BeginRequest or DiscardRequest. Must run on the loop goroutine.
func (l *Loop) ReceiveRequest(request *Request) {
	if request.Query.ID == "" {
		return // it was discarded without being parsed, and will be rejected
	}
	request.idState = l.ids.claim(request.Query.ID, l.Clock.Now())
	request.holdsID = request.idState == idUnknown
}

// DiscardRequest ends a request that was received but not begun, because its client has disconnected. Must run on the loop
// goroutine.
func (l *Loop) DiscardRequest(request *Request) {
	l.Metrics.Add(metrics.Accepted, 1)
	l.Metrics.Add(metrics.ClientLeft, 1)
	l.requestLog.ended(request, reasonClientLeft, l.Clock.Now())
	l.settleID(request)
	request.Body.Free()
}

// BeginRequest starts a request when the earlier requests on its connection are done. Its deadline counts from the
// given time. Must run on the loop goroutine.
func (l *Loop) BeginRequest(request *Request, from relay.Seconds) {
	l.Metrics.Add(metrics.Accepted, 1)
	l.Metrics.Add(metrics.Open, 1)
	request.Deadline = from + float64(request.DeadlineMillis)/millisPerSecond
	l.admit(request)
}

// admit passes a request to the decision module, which rejects it or commands attempts. At the limit of open requests
// it rejects the request without asking the module. A request with the id of an earlier one fails, as that may have run.
func (l *Loop) admit(request *Request) {
	if request.idState != idUnknown {
		l.Metrics.Add(metrics.DuplicateIDs, 1)
		l.requestLog.ended(request, reasonDuplicateID, l.Clock.Now())
		l.respondError(request, StatusFailed, pgwire.CodeDuplicateID, messageDuplicateID, "")
		return
	}
	if request.RejectReason == NotRejected && len(l.requests) >= l.maxOpenRequests() {
		request.RejectReason = TooManyOpen
	}
	if request.RejectReason != NotRejected {
		rejection := rejections[request.RejectReason]
		l.requestLog.ended(request, rejection.logged, l.Clock.Now())
		l.respondError(request, StatusRejected, rejection.code, rejection.text, l.RetryAfterDetail())
		return
	}
	request.ID = l.nextRequestID()
	l.requests[request.ID] = request
	l.AddEvent(relay.Request{
		ID:       request.ID,
		Deadline: request.Deadline,
		Work:     float64(request.WorkMicros) / microsPerSecond,
		HasWork:  request.HasWork,
		Retried:  request.Retried,
		Key:      keyOf(request.Object),
		Tenant:   request.Tenant,
		Class:    request.Class,
	})
}

// maxOpenRequests returns the limit of open requests from the settings, or limits.MaxOpenRequests if that is lower or
// the settings name none.
func (l *Loop) maxOpenRequests() int {
	configured := l.Site.MaxInFlight
	if configured <= 0 || configured > limits.MaxOpenRequests {
		return limits.MaxOpenRequests
	}
	return configured
}

// nextRequestID returns an ID that no record in l.requests has. IDs wrap around at the end of the range of their type.
func (l *Loop) nextRequestID() relay.RequestID {
	l.lastID++
	for l.requests[l.lastID] != nil {
		l.lastID++
	}
	return l.lastID
}

// keyOf converts the object of a request to a number: its value if it is a hexadecimal number, otherwise its hash.
func keyOf(object string) relay.Key {
	const base, bits = 16, 64
	if number, err := strconv.ParseUint(object, base, bits); err == nil {
		return relay.Key(number)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(object)) // a hash.Hash never returns an error
	return relay.Key(hash.Sum64())
}

// ClientLeft ends an open request whose client has disconnected. Its attempts whose last byte was not written are not sent
// any more. Must run on the loop goroutine.
func (l *Loop) ClientLeft(request *Request) {
	if request.Status != StatusOpen {
		return
	}
	l.requestLog.ended(request, reasonClientLeft, l.Clock.Now())
	l.finish(request, StatusClientLeft)
	for _, attempt := range request.Attempts {
		if !attempt.Ended {
			attempt.SetSendBy(l.Clock.Now())
			l.Upstream.CancelUnsent(attempt)
		}
	}
	l.AddEvent(relay.ClientDisconnected{Request: request.ID})
}
