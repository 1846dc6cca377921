package trace

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Reasons why a mapping makes no request of a task, besides missing fields.
const (
	NoClass  Reason = "no_category"
	NoTenant Reason = "no_customer"
)

// Request is the request that a task becomes in the replay.
type Request struct {
	At             Seconds // arrival on the clock of the replay
	Class          int     // index in Mapping.Classes
	Tenant         int     // index in Mapping.Tenants
	Work           Seconds // duration on a core of speed 1
	RelayHash      uint64  // requests with the same hash go through the same relay
	FailedAttempts int     // attempts that fail before one may succeed
	MachineHash    uint64  // of the machine whose endpoint becomes faulty when the request arrives
	FaultDuration  Seconds // how long the endpoint is faulty; 0: no fault
	FailureRate    float64 // share of requests that fail during the fault
}

// Failures says what the failures in a trace become in the replay.
type Failures int

const (
	// FailuresIgnored ignores failures.
	FailuresIgnored Failures = iota
	// FailuresAsAttempts turns each run that failed or was evicted into an attempt that fails.
	FailuresAsAttempts
	// FailuresAsFaults starts a fault of the endpoint that represents the machine of a task with such a run.
	FailuresAsFaults
)

// Mapping says which tasks become which requests. Nothing is guessed: a task that no rule matches is reported. A Mapping
// must not be modified once it was parsed.
type Mapping struct {
	Classes     []string
	Tenants     []string
	Window      Seconds // value for Options.Window
	Scale       float64 // seconds of the trace per second of the replay
	SampleShare float64 // share of the tasks that is replayed

	classRules    []rule  // one for each of Classes
	tenantRules   []rule  // one for each of Tenants
	workScale     float64 // seconds of work per second of a task's duration
	minWork       Seconds
	maxWork       Seconds
	relayField    field // its value determines the relay
	failures      Failures
	faultDuration Seconds // for FailuresAsFaults
	failureRate   float64 // for FailuresAsFaults: share of requests that fail during the fault
}

// RequestFor returns the request that a task becomes, or the reason why it becomes none.
func (m *Mapping) RequestFor(task *Task) (Request, Reason) {
	var request Request
	var reason Reason
	if request.Class, reason = firstMatch(m.classRules, task, NoClass); reason != Accepted {
		return request, reason
	}
	if request.Tenant, reason = firstMatch(m.tenantRules, task, NoTenant); reason != Accepted {
		return request, reason
	}
	relay, ok := task.stringValue(m.relayField)
	if !ok {
		return request, missingReason(m.relayField.String())
	}
	request.RelayHash = xxhash.Sum64String(relay)
	request.At = task.At / m.Scale
	request.Work = math.Min(math.Max(task.Duration*m.workScale, m.minWork), m.maxWork)
	return request, m.mapFailures(&request, task)
}

// mapFailures sets the fields of a request that follow from the failures of its task.
func (m *Mapping) mapFailures(request *Request, task *Task) Reason {
	failed := task.FailedRuns
	if task.Outcome == Failed || task.Outcome == Evicted {
		failed++
	}
	switch {
	case m.failures == FailuresAsAttempts:
		request.FailedAttempts = failed
	case m.failures == FailuresAsFaults && failed > 0:
		if task.Machine == "" {
			return missingReason(fieldMachine.String())
		}
		request.MachineHash = xxhash.Sum64String(task.Machine)
		request.FaultDuration, request.FailureRate = m.faultDuration, m.failureRate
	}
	return Accepted
}

// Sampled reports whether a task is replayed. The answer depends only on the seed and the task, not on earlier tasks.
func (m *Mapping) Sampled(task *Task, seed int64) bool {
	if m.SampleShare >= 1 {
		return true
	}
	return hashFraction(fmt.Sprintf("%d %s %d %g", seed, task.Job, task.Line, task.At)) < m.SampleShare
}
