package policy

import (
	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// message is what one part of the module sends another. The kinds are those of this file.
type message interface{ isMessage() }

// receiver is a part with a mailbox.
type receiver interface{ receive(message) }

// envelope is a message on its way.
type envelope struct {
	to   receiver
	body message
}

type (
	// endpointListed is an endpoint's new entry in the list.
	endpointListed struct{ entry relay.Endpoint }

	// attemptSent says that an attempt has been sent to the endpoint.
	attemptSent struct{}

	// objectiveMissed says that an attempt at the endpoint is still open past its request's latency objective.
	objectiveMissed struct{}

	// attemptOutcome is how an attempt ended.
	attemptOutcome struct {
		class     relay.RequestClass
		attempt   trackedAttempt
		outcome   relay.Outcome
		duration  relay.Seconds
		work      relay.Seconds // expected, of the request
		objective relay.Seconds // the request's latency objective
	}

	// peerReport is the report of a relay, this one included.
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

// send puts a message into a part's mailbox. The mailboxes are kept as one queue, in the order of sending.
func (p *Policy) send(to receiver, body message) { p.mailbox = append(p.mailbox, envelope{to, body}) }

// deliver is the one loop that empties the mailboxes.
func (p *Policy) deliver() {
	for i := 0; i < len(p.mailbox); i++ {
		p.mailbox[i].to.receive(p.mailbox[i].body)
	}
	p.mailbox = p.mailbox[:0]
}
