package main

import (
	"fmt"
	"math"

	"lichenroad/policy"
	"lichenroad/relay"
	"lichenroad/settings"
	"lichenroad/simwire"
)

const (
	maxLists             = 1 << 16 // numbered lists that a run may use
	nanosecondsPerSecond = 1e9
)

// instance is one relay: its module, and the clock at which it started.
type instance struct {
	number    uint16
	module    *policy.Policy
	startedAt uint64        // ns of the simulator's clock
	events    []relay.Event // of this batch
	queued    bool          // it has events of this batch, and was not stopped after them
	failed    bool          // its module panicked: it is left alone
}

// seconds is a time of the simulator's clock as the module counts it, from the instance's start.
func (in *instance) seconds(clock uint64) float64 {
	return float64(int64(clock-in.startedAt)) / nanosecondsPerSecond
}

// clock turns a time of the module back; it rounds up, so that a timer never fires early.
func (in *instance) clock(at float64) uint64 {
	elapsed := math.Ceil(at * nanosecondsPerSecond)
	if !(elapsed > 0) { // not a number counts as the start too
		return in.startedAt
	}
	return in.startedAt + uint64(elapsed)
}

// host owns the instances.
type host struct {
	out       *simwire.Writer
	instances map[uint16]*instance
	queue     []*instance // instances with events, in the order of their first event of the batch
	lists     [][]simwire.Entry
}

// handleBatch collects the events of a batch by instance, then steps each instance once.
func (h *host) handleBatch(clock uint64, events []simwire.Event) error {
	for i := range events {
		if err := h.handleEvent(clock, &events[i]); err != nil {
			return err
		}
	}
	for _, in := range h.queue {
		if in.queued {
			h.step(in, clock)
		}
	}
	h.queue = h.queue[:0]
	return nil
}

func (h *host) handleEvent(clock uint64, e *simwire.Event) error {
	switch e.Code {
	case simwire.EventList:
		return h.storeList(e)
	case simwire.EventStart:
		return h.startInstance(clock, e)
	case simwire.EventStop:
		h.stopInstance(e.Instance)
	default:
		if in := h.instances[e.Instance]; in != nil { // none: a stray event for an instance that has stopped
			h.enqueue(in, e)
		}
	}
	return nil
}

func (h *host) storeList(e *simwire.Event) error {
	if e.List >= maxLists {
		return fmt.Errorf("%w: list number %d", simwire.ErrMalformed, e.List)
	}
	for len(h.lists) <= int(e.List) {
		h.lists = append(h.lists, nil)
	}
	h.lists[e.List] = e.Entries
	return nil
}

// startInstance starts an instance in place of the one that had its number, if any.
func (h *host) startInstance(clock uint64, e *simwire.Event) error {
	h.stopInstance(e.Instance)
	parsed, err := settings.Parse(e.Body)
	if err != nil {
		return err
	}
	h.instances[e.Instance] = &instance{
		number:    e.Instance,
		startedAt: clock,
		module:    policy.New(parsed.Settings, int64(e.Seed)),
	}
	return nil
}

// stopInstance forgets an instance, and with it whatever this batch held for it.
func (h *host) stopInstance(number uint16) {
	if in := h.instances[number]; in != nil {
		in.queued = false
		delete(h.instances, number)
	}
}

func (h *host) enqueue(in *instance, e *simwire.Event) {
	if !in.queued {
		in.queued = true
		h.queue = append(h.queue, in)
	}
	in.events = append(in.events, h.event(in, e))
}

// step steps an instance over the events collected for it. One that panics is reported to the simulator and left alone
// from then on.
func (h *host) step(in *instance, clock uint64) {
	if in.failed {
		return
	}
	defer func() {
		if reason := recover(); reason != nil {
			in.failed = true
			h.out.Fault(in.number, fmt.Sprint("the module broke: ", reason))
		}
		in.events, in.queued = in.events[:0], false
	}()
	for _, command := range in.module.Step(in.seconds(clock), in.events) {
		h.write(in, command)
	}
}
