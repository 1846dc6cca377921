package membership

import (
	"pgregory.net/rapid"

	"lichenroad/relay"
)

const (
	historySeconds        = 40
	stalledFraction       = 0.05 // of discovery's answers, which are lost
	maxLossWhileRejecting = 0.1  // of messages, while discovery rejects polls
)

// history is a drawn course of the main events, with the seed of the small ones: delays and losses.
type history struct {
	nodes          int
	discoveryFault discoveryFault
	loss           float64 // fraction of messages lost
	seed           int64
	actions        []simulationAction
}

// simulationAction is one event of a history. Each kind uses the fields that it needs.
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
	actionKinds // their number
)

// discoveryFault is what discovery does wrong in a history, apart from outages. A lease by failed polls assumes that polls
// fail at all relays, or that a relay hears in time of an answer to another one; histories keep to that assumption, so not
// all faults occur together.
type discoveryFault int

const (
	noDiscoveryFault discoveryFault = iota
	// rejectsPolls: polls of some relays are rejected, never those of all. The others are answered, no relay is partitioned,
	// and at most maxLossWhileRejecting of the messages is lost.
	rejectsPolls
	// renumbersGenerations: discovery restarts its generations from 1. No poll stalls: a relay with the list of before can't
	// tell from its peers' generations that theirs is the later one.
	renumbersGenerations
)

// histories returns a generator of histories.
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
