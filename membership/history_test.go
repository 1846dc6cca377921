package membership

import (
	"pgregory.net/rapid"

	"lichenroad/relay"
)

const (
	historySeconds        = 40
	stalledFraction       = 0.05 // fraction of discovery's answers that are lost, so that the poll stalls
	maxLossWhileRejecting = 0.1  // maximum fraction of messages lost in a history where discovery rejects polls
)

// history is a random sequence of the main events of a simulation. The seed determines the rest: delays, losses and the
// like.
type history struct {
	nodes          int
	discoveryFault discoveryFault
	loss           float64 // fraction of messages lost
	seed           int64
	actions        []simulationAction
}

// simulationAction is one event of a history. Not every kind uses the fields node and amount.
type simulationAction struct {
	at     relay.Seconds
	kind   actionKind
	node   int
	amount int
}

type actionKind int

const (
	endpointsChange actionKind = iota
	discoveryDown
	discoveryUp
	discoveryRenumbers
	pollsRejected
	pollsAccepted
	nodeRestarts
	nodePartitioned
	nodeHealed
	actionKinds // number of kinds
)

// discoveryFault is the kind of fault that discovery has in a history, apart from outages. A lease that is renewed because
// of failed polls relies on an assumption: either the polls of all relays fail, or a relay learns in time of an answer to
// another relay. Histories satisfy this assumption, so not all faults are combined.
type discoveryFault int

const (
	noDiscoveryFault discoveryFault = iota
	// rejectsPolls: discovery rejects the polls of some relays, but never of all, and answers the others. No relay is
	// partitioned, and at most the fraction maxLossWhileRejecting of the messages is lost.
	rejectsPolls
	// renumbersGenerations: discovery restarts its generations from 1. No poll stalls, because a relay that still has a
	// list from before the restart cannot tell by the generations of its peers that their lists are newer.
	renumbersGenerations
)

// histories returns a generator of random histories.
func histories() *rapid.Generator[history] {
	return rapid.Custom(func(t *rapid.T) history {
		h := history{
			nodes:          rapid.IntRange(3, 8).Draw(t, "nodes"),
			discoveryFault: rapid.SampledFrom([]discoveryFault{noDiscoveryFault, rejectsPolls, renumbersGenerations}).Draw(t, "discovery fault"),
			loss:           rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss"),
			seed:           rapid.Int64().Draw(t, "seed"),
		}
		if h.discoveryFault == rejectsPolls {
			h.loss = min(h.loss, maxLossWhileRejecting)
		}
		for at := 1.0; at < historySeconds-8; at += rapid.Float64Range(0.05, 3).Draw(t, "gap") {
			h.actions = append(h.actions, simulationAction{
				at:     at,
				kind:   actionKind(rapid.IntRange(0, int(actionKinds)-1).Draw(t, "kind")),
				node:   rapid.IntRange(0, h.nodes-1).Draw(t, "node"),
				amount: rapid.IntRange(1, 60).Draw(t, "amount"),
			})
		}
		return h
	})
}
