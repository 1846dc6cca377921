// Package relayconfig writes the configuration files of relays that the laboratory runs as processes. Its types cover the part
// of the configuration format that the laboratory uses; package internal/config reads the files. The package has no state,
// starts no goroutine and imports no other package of lichenroad.
package relayconfig

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

const filePermissions = 0o644

// File is the configuration of one relay. The fields of all types are in the order of their keys in the file.
type File struct {
	Discovery        string          `json:"discovery"` // HOST:PORT
	InitialEndpoints json.RawMessage `json:"known"`     // endpoint list at start, in the format of discovery
	Limits           *Limits         `json:"limits,omitempty"`
	Listen           string          `json:"listen"` // HOST:PORT
	Name             string          `json:"name"`
	Platform         *Platform       `json:"platform,omitempty"`
	Seed             string          `json:"seed"` // hexadecimal
	Settings         Settings        `json:"settings"`
}

// Limits are the resource limits of a relay process.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// Platform says where a relay sends its votes.
type Platform struct {
	Address string `json:"address"` // HOST:PORT
}

// Settings are the parameters of a relay's decisions. Durations are written in nanoseconds.
type Settings struct {
	Zones          []string       `json:"areas"`
	Zone           int            `json:"az"` // index in Zones
	Discovery      string         `json:"discovery"`
	Rollout        Rollout        `json:"family_info"`
	RequestClasses []RequestClass `json:"grades"`
	MachineTypes   []string       `json:"kinds"`
	Number         int            `json:"my_number"` // of this relay, starting at 0
	Limits         PolicyLimits   `json:"policy_limits"`
	Relays         int            `json:"replicas_of_me"`
	LoadReport     LoadReport     `json:"report"`
	Rules          Rules          `json:"rules"`
	Tenants        []Tenant       `json:"tenants"`
}

// Rollout holds the settings of canary releases.
type Rollout struct {
	VoteLifetime      time.Duration `json:"ballot_ttl"`
	CallTimeout       time.Duration `json:"call_timeout"`
	DecidedBy         string        `json:"decided_by"`
	ExposureLimits    []float64     `json:"exposure_caps"` // by step
	MinStepDuration   time.Duration `json:"min_dwell"`
	ExposureWindow    time.Duration `json:"span"` // over which exposure is counted
	VotesToRollBack   int           `json:"to_abort"`
	VotesToPromote    int           `json:"to_advance"`
	UncountedAttempts float64       `json:"uncounted"` // per ExposureWindow, not counted against the exposure limit
	VotesPerSecond    float64       `json:"votes_per_s"`
	FleetShares       []float64     `json:"waves"` // share of the fleet that runs the new build, by step
}

// RequestClass holds the settings of one class of requests.
type RequestClass struct {
	Deadline         time.Duration `json:"deadline"`
	DedupScope       string        `json:"group,omitempty"`
	Name             string        `json:"name"`
	Idempotency      string        `json:"repeat"`
	DedupWindow      time.Duration `json:"repeat_window,omitempty"`
	LatencyObjective time.Duration `json:"target"`
	PriorityWeight   float64       `json:"worth"`
}

// PolicyLimits restrict what a relay may do for a request.
type PolicyLimits struct {
	Cancel            bool          `json:"cancel"`
	IdleTimeout       time.Duration `json:"conn_idle"`
	DialTimeout       time.Duration `json:"dial_timeout"`
	MaxAttempts       int           `json:"max_attempts"`
	MaxRetryAfter     time.Duration `json:"max_retry_after"`
	RetryAfterAllowed bool          `json:"retry_after"`
}

// LoadReport says how endpoints report their load.
type LoadReport struct {
	Via string `json:"via"`
}

// Rules holds further intervals and margins.
type Rules struct {
	ResponseMargin time.Duration `json:"answer_slack,omitempty"`
	PollInterval   time.Duration `json:"ask_every"`
	DrainGrace     time.Duration `json:"drain_grace"`
}

// Tenant is a tenant and its part of the capacity.
type Tenant struct {
	Name           string  `json:"name"`
	QuotaPerSecond float64 `json:"quota_per_s"`
	Share          float64 `json:"share"`
}

// Write writes the configuration to a file as indented JSON.
func (f File) Write(path string) error {
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", f.Name, err)
	}
	return os.WriteFile(path, text, filePermissions)
}
