// Package peerwire defines the messages that relays send each other about a rollout: reports to the aggregators, and
// the aggregators' decisions to all relays. It encodes and decodes datagrams; it does no I/O and keeps no state.
//
// A message begins with a magic byte and a byte for its type. Numbers are uvarints, an endpoint is its hash in three
// bytes, little-endian, and a latency ratio is one byte (see packRatio). Counts precede the items that they count:
//
//	report    magic, 3, build, stage, count, verdicts (outcomes<<1 | flagged),
//	          count, observations (hash, class<<2 | young<<1 | newest, late<<7 | depth<<3 | outcome, ratio)
//	decision  magic, 4, build, stage, verdict (one byte), count (one byte), ratios
//
// Package membership has message types of its own behind the same magic byte.
package peerwire

import (
	"errors"

	"lichenroad/relay"
)

const (
	messageMagic = 0x4c // first byte of every message
	reportType   = 3
	decisionType = 4
	maxNumber    = 1 << 20 // messages with a larger number are malformed
	// 2^64 divided by the golden ratio
	fibonacciMultiplier = 0x9e3779b97f4a7c15
)

const (
	// MaxMachineTypes is the number of machine types for which a decision can hold ratios.
	MaxMachineTypes = 16
	// MaxObservations is the number of observations that fit in one report, given datagrams of at most 256 bytes.
	MaxObservations = 36
	// MaxQueueDepth limits the queue depths that an Observation distinguishes. Larger depths are sent as
	// MaxQueueDepth-1, without a latency ratio.
	MaxQueueDepth = 8
)

// ErrMalformed is returned for a body that is not a message of this package.
var ErrMalformed = errors.New("malformed peer message")

// Message is a Report or a Decision.
type Message interface{ isMessage() }

// Report tells the aggregators a relay's verdicts on one build at one stage, and the attempts that ended since its
// last report, so that the aggregators can pool them by endpoint.
type Report struct {
	Build        relay.Build
	Stage        relay.Stage
	Verdicts     []ClassVerdict // by class
	Observations []Observation
}

// ClassVerdict is one relay's verdict on the newest build for one request class.
type ClassVerdict struct {
	Flagged  bool    // the build looks bad
	Outcomes float64 // number of outcomes of the newest build behind the verdict; 0: too few for a verdict
}

// Observation is the outcome of one attempt.
type Observation struct {
	Endpoint   EndpointHash
	Class      relay.RequestClass
	Outcome    relay.Outcome
	Newest     bool    // the endpoint ran the newest build
	Young      bool    // the endpoint had started so recently that it may have been slow for that reason
	Late       bool    // the attempt missed the latency objective
	QueueDepth int     // the relay's other open attempts at the endpoint when this one was sent
	Ratio      float64 // attempt duration over expected work, rounded to an eighth of a doubling; 0: not known
}

// Decision tells every relay which vote an aggregator wants it to cast.
type Decision struct {
	Build   relay.Build
	Stage   relay.Stage
	Verdict relay.Verdict
	Ratios  []float64 // latency ratio by machine type, over the attempts of all relays; 0: not known
}

func (Report) isMessage()   {}
func (Decision) isMessage() {}

// EndpointHash identifies an endpoint by a hash of its id in three bytes; two endpoints may share one.
type EndpointHash uint32

// HashOf returns the hash of an endpoint's id: Fibonacci hashing to 24 bits.
func HashOf(id relay.EndpointID) EndpointHash {
	return EndpointHash(uint64(id) * fibonacciMultiplier >> 40)
}
