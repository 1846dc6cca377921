// Package peerwire is the wire form of what relays tell each other about a rollout: reports to the aggregators, and the
// aggregators' decisions to all relays. It encodes and decodes datagrams; it does no I/O and keeps no state.
//
// A message begins with a magic byte and a byte for its form. Numbers are uvarints, an endpoint is its hash in three bytes,
// little-endian, and a latency ratio one byte (see packRatio):
//
//	report    magic, 3, build, stage, verdicts, that many (outcomes<<1 | flagged),
//	          observations, that many (hash, class<<2 | young<<1 | newest, late<<7 | depth<<3 | outcome, ratio)
//	decision  magic, 4, build, stage, verdict (one byte), ratios (one byte), that many ratios
//
// Package membership has forms of its own behind the same magic byte.
package peerwire

import (
	"errors"

	"lichenroad/relay"
)

const (
	messageMagic = 0x4c // first byte of every message
	reportForm   = 3
	decisionForm = 4
	maxNumber    = 1 << 20 // a larger number makes a message malformed
)

const (
	// MaxMachineTypes is how many types of machine a decision tells apart.
	MaxMachineTypes = 16
	// MaxObservations fit in one report, whose datagram may have 256 bytes.
	MaxObservations = 36
	// MaxQueueDepth bounds the queue depths that an Observation tells apart: deeper ones stand as MaxQueueDepth-1, without
	// a latency ratio.
	MaxQueueDepth = 8
)

// ErrMalformed is the error for a body that is no message of this package.
var ErrMalformed = errors.New("not a message of this form")

// Message is a Report or a Decision.
type Message interface{ isMessage() }

// Report is what a relay tells the aggregators: its verdicts on one build at one stage, and how its attempts ended since the
// last report, so that the aggregators can pool them by endpoint.
type Report struct {
	Build        relay.Build
	Stage        relay.Stage
	Verdicts     []ClassVerdict // by class
	Observations []Observation
}

// ClassVerdict is one relay's verdict on the newest build for one class of requests.
type ClassVerdict struct {
	Flagged  bool    // the build looks bad
	Outcomes float64 // of the newest build that the verdict rests on; 0: too few to say
}

// Observation is how one attempt ended.
type Observation struct {
	Endpoint   EndpointHash
	Class      relay.RequestClass
	Outcome    relay.Outcome
	Newest     bool // the endpoint ran the newest build
	Young      bool // the endpoint had just started
	Late       bool
	QueueDepth int     // of the relay's own attempts at the endpoint
	Ratio      float64 // attempt time over expected work, to an eighth of a doubling; 0: not known
}

// Decision is what an aggregator tells every relay: the vote that should stand.
type Decision struct {
	Build   relay.Build
	Stage   relay.Stage
	Verdict relay.Verdict
	Ratios  []float64 // latency ratio by type of machine, over all relays' attempts; 0: not known
}

func (Report) isMessage()   {}
func (Decision) isMessage() {}

// EndpointHash stands for an endpoint's id in three bytes; two endpoints may share one.
type EndpointHash uint32

// HashOf returns the hash of an endpoint's id.
func HashOf(id relay.EndpointID) EndpointHash {
	return EndpointHash(uint64(id) * 0x9e3779b97f4a7c15 >> 40)
}
