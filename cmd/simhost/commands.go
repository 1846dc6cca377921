package main

import (
	"math"

	"lichenroad/relay"
)

// toNanoseconds converts seconds into nanoseconds. Negative values become 0.
func toNanoseconds(seconds float64) uint64 {
	return uint64(math.Max(0, math.Round(seconds*nanosecondsPerSecond)))
}

// write encodes a command of an instance into the reply.
func (h *host) write(in *instance, command relay.Command) {
	switch c := command.(type) {
	case relay.SendAttempt:
		h.out.SendAttempt(in.number, uint32(c.Request), uint64(c.Endpoint), toNanoseconds(c.Timeout))
	case relay.CancelAttempt:
		h.out.CancelAttempt(in.number, uint32(c.Request), uint8(c.Attempt))
	case relay.Reject:
		h.out.Reject(in.number, uint32(c.Request), toNanoseconds(c.RetryAfter))
	case relay.Fail:
		h.out.Fail(in.number, uint32(c.Request))
	case relay.SetTimer:
		h.out.SetTimer(in.number, uint64(c.ID), in.clock(c.At))
	case relay.HealthCheck:
		h.out.HealthCheck(in.number, uint64(c.Endpoint))
	case relay.CloseIdle:
		h.out.CloseIdle(in.number, uint64(c.Endpoint))
	case relay.SendMessage:
		h.out.SendMessage(in.number, uint32(c.To), c.Body)
	case relay.Vote:
		h.out.Vote(in.number, uint16(c.Build), uint8(c.Stage), uint8(c.Verdict))
	case relay.Watch:
		h.out.Watch(in.number, c.On)
	case relay.FetchList:
		h.out.FetchList(in.number)
	case relay.Log:
		h.out.Log(in.number, c.Line)
	}
}
