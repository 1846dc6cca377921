package trace

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Reasons why a task has no place in a mapping, beside those of missing fields.
const (
	NoClass  Reason = "no_category"
	NoTenant Reason = "no_customer"
)

// Request is what a task becomes.
type Request struct {
	At             Seconds // of the replay
	Class          int     // place in Mapping.Classes
	Tenant         int     // place in Mapping.Tenants
	Work           Seconds // on a core of speed 1
	RelayHash      uint64  // a hash: the same for what should go through the same relay
	FailedAttempts int     // attempts of it that fail before one may succeed
	MachineHash    uint64  // a hash of the machine whose endpoint becomes faulty as the request arrives,
	FaultDuration  Seconds // for so long; 0 where none does,
	FailureRate    float64 // with so large a share of its requests
}

// Failures says what the failures of a trace become.
type Failures int

const (
	// FailuresIgnored leaves them out.
	FailuresIgnored Failures = iota
	// FailuresAsAttempts makes each run that failed or was evicted an attempt that fails.
	FailuresAsAttempts
	// FailuresAsFaults makes a task with such a run begin a fault of the endpoint that stands for its machine.
	FailuresAsFaults
)

// Mapping says which tasks become which requests. Nothing is guessed: a task that no rule places is reported. Nobody changes
// a Mapping once it was read.
type Mapping struct {
	Classes     []string
	Tenants     []string
	Window      Seconds // for Options.Window
	Scale       float64 // seconds of the trace to one of the replay
	SampleShare float64 // of the tasks that is played

	classRules  []rule // by place in Classes
	tenantRules []rule // by place in Tenants
	workScale   float64
	minWork     Seconds
	maxWork     Seconds
	relayField  field // whose value chooses the relay
	failures    Failures
	faultTime   Seconds // of FailuresAsFaults
	faultShare  float64 // of FailuresAsFaults
}

// RequestFor gives the request that a task becomes, or the reason why it becomes none.
func (m *Mapping) RequestFor(task *Task) (Request, Reason) {
	var request Request
	var reason Reason
	if request.Class, reason = firstMatch(m.classRules, task, NoClass); reason != Accepted {
		return request, reason
	}
	if request.Tenant, reason = firstMatch(m.tenantRules, task, NoTenant); reason != Accepted {
		return request, reason
	}
	relay, ok := task.word(m.relayField)
	if !ok {
		return request, missing(m.relayField.String())
	}
	request.RelayHash = xxhash.Sum64String(relay)
	request.At = task.At / m.Scale
	request.Work = math.Min(math.Max(task.Duration*m.workScale, m.minWork), m.maxWork)
	return request, m.placeFailures(&request, task)
}

// placeFailures fills in what becomes of a task's failures.
func (m *Mapping) placeFailures(request *Request, task *Task) Reason {
	failed := task.FailedRuns
	if task.Outcome == Failed || task.Outcome == Evicted {
		failed++
	}
	switch {
	case m.failures == FailuresAsAttempts:
		request.FailedAttempts = failed
	case m.failures == FailuresAsFaults && failed > 0:
		if task.Machine == "" {
			return missing(fieldMachine.String())
		}
		request.MachineHash = xxhash.Sum64String(task.Machine)
		request.FaultDuration, request.FailureRate = m.faultTime, m.faultShare
	}
	return Accepted
}

// Sampled says whether a task is among those that are played. It depends on the seed and the task, not on earlier tasks.
func (m *Mapping) Sampled(task *Task, seed int64) bool {
	if m.SampleShare >= 1 {
		return true
	}
	return hashShare(fmt.Sprintf("%d %s %d %g", seed, task.Job, task.Line, task.At)) < m.SampleShare
}
