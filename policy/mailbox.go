package policy

import (
	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// message is what one component of the module sends to another. Its types are those of this file.
type message interface{ isMessage() }

// receiver is a component that receives messages.
type receiver interface{ receive(message) }

// envelope is a message with its receiver.
type envelope struct {
	to   receiver
	body message
}

type (
	// endpointListed tells an endpoint its new entry in the list.
	endpointListed struct{ entry relay.Endpoint }

	// attemptSent tells an endpoint that an attempt has been sent to it.
	attemptSent struct{}

	// objectiveMissed tells an endpoint that an open attempt missed its request's latency objective.
	objectiveMissed struct{}

	// attemptOutcome tells how an attempt ended.
	attemptOutcome struct {
		class     relay.RequestClass
		attempt   trackedAttempt
		outcome   relay.Outcome
		duration  relay.Seconds
		work      relay.Seconds // expected work of the request
		objective relay.Seconds // latency objective of the request
	}

	// peerReport is the report of a relay, which may be this one.
	peerReport struct {
		from   relay.ID
		report peerwire.Report
	}
)

func (endpointListed) isMessage()  {}
func (attemptSent) isMessage()     {}
func (objectiveMissed) isMessage() {}
func (attemptOutcome) isMessage()  {}
func (peerReport) isMessage()      {}

// send queues a message. All components share one queue, so messages are delivered in the order of
// sending.
func (p *Policy) send(to receiver, body message) { p.mailbox = append(p.mailbox, envelope{to, body}) }

// deliver hands out the queued messages, and those that are sent meanwhile, until none is left.
func (p *Policy) deliver() {
	for i := 0; i < len(p.mailbox); i++ {
		p.mailbox[i].to.receive(p.mailbox[i].body)
	}
	p.mailbox = p.mailbox[:0]
}
