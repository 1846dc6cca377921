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

// BeginRequest starts a request whose turn on its connection has come. Its time to answer counts from the given moment.
// Only on the loop.
func (l *Loop) BeginRequest(request *Request, from relay.Seconds) {
	l.Metrics.Add(metrics.Accepted, 1)
	l.Metrics.Add(metrics.Open, 1)
	request.Deadline = from + float64(request.DeadlineMillis)/millisPerSecond
	l.admit(request)
}

// admit shows a request to the decision module, which rejects it or commands attempts. At the bound of open requests it is
// rejected before the module sees it.
func (l *Loop) admit(request *Request) {
	if request.RejectReason == "" && len(l.requests) >= l.maxOpenRequests() {
		request.RejectReason = messageTooManyOpen
	}
	if request.RejectReason != "" {
		l.respondError(request, StatusRejected, pgwire.CodeTooManyConnections, request.RejectReason, l.RetryAfterDetail())
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

// maxOpenRequests is the settings' bound of open requests, as far as the program allows so many.
func (l *Loop) maxOpenRequests() int {
	configured := l.Site.MaxInFlight
	if configured <= 0 || configured > limits.MaxOpenRequests {
		return limits.MaxOpenRequests
	}
	return configured
}

// nextRequestID gives an id that no held record has. Ids start over when their type is exhausted.
func (l *Loop) nextRequestID() relay.RequestID {
	l.lastID++
	for l.requests[l.lastID] != nil {
		l.lastID++
	}
	return l.lastID
}

// keyOf gives the object of a request as a number: the hexadecimal number that it is, or else its hash.
func keyOf(object string) relay.Key {
	const base, bits = 16, 64
	if number, err := strconv.ParseUint(object, base, bits); err == nil {
		return relay.Key(number)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(object)) // a hash never returns an error
	return relay.Key(hash.Sum64())
}

// ClientLeft ends an open request whose client has disconnected. Only on the loop.
func (l *Loop) ClientLeft(request *Request) {
	if request.Status == StatusOpen {
		l.finish(request, StatusClientLeft)
		l.AddEvent(relay.ClientDisconnected{Request: request.ID})
	}
}
