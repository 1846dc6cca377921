// Command simhost hosts instances of the decision module behind the simulator's pipe: batches of events
// on standard input, one reply a batch on standard output. It maps and counts time; it decides nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"lichenroad/policy"
	"lichenroad/relay"
	"lichenroad/settings"
	"lichenroad/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// instance is one relay: its module, and the clock at which it started.
type instance struct {
	no     uint16
	module *policy.Policy
	born   uint64
	events []relay.Event
	queued bool
	broken bool
}

type host struct {
	out   *simwire.Writer
	insts map[uint16]*instance
	turn  []*instance // instances with events, in the order of their first event of the batch
	lists [][]simwire.Entry
}

func serve(in io.Reader, out io.Writer) error {
	r := simwire.NewReader(in)
	h := &host{out: simwire.NewWriter(out), insts: map[uint16]*instance{}}
	for {
		clock, evs, err := r.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, simwire.ErrMalformed) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.batch(clock, evs); err != nil {
			return err
		}
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
}

func (h *host) batch(clock uint64, evs []simwire.Event) error {
	for i := range evs {
		e := &evs[i]
		switch e.Code {
		case simwire.EvList:
			for len(h.lists) <= int(e.Ref) && e.Ref < maxLists {
				h.lists = append(h.lists, nil)
			}
			if e.Ref >= maxLists {
				return fmt.Errorf("%w: list number %d", simwire.ErrMalformed, e.Ref)
			}
			h.lists[e.Ref] = e.Entries
		case simwire.EvStart:
			h.drop(e.Instance)
			s, err := settings.Parse(e.Body)
			if err != nil {
				return err
			}
			h.insts[e.Instance] = &instance{no: e.Instance, born: clock, module: policy.New(s.Settings, int64(e.Seed))}
		case simwire.EvStop:
			h.drop(e.Instance)
		default:
			in := h.insts[e.Instance]
			if in == nil {
				continue // a stray event for an instance that has stopped
			}
			if !in.queued {
				in.queued = true
				h.turn = append(h.turn, in)
			}
			in.events = append(in.events, h.event(in, e))
		}
	}
	for _, in := range h.turn {
		if in.queued {
			h.run(in, clock)
		}
	}
	h.turn = h.turn[:0]
	return nil
}

const maxLists = 1 << 16

// drop forgets a killed instance, and with it whatever this batch held for it.
func (h *host) drop(no uint16) {
	if in := h.insts[no]; in != nil {
		in.queued = false
		delete(h.insts, no)
	}
}

// run steps an instance over the events collected for it; one that panics reports itself and is left alone.
func (h *host) run(in *instance, clock uint64) {
	if in == nil || !in.queued || in.broken {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			in.broken = true
			h.out.Fault(in.no, fmt.Sprint("the module broke: ", p))
		}
		in.events, in.queued = in.events[:0], false
	}()
	for _, o := range in.module.Step(in.seconds(clock), in.events) {
		h.order(in, o)
	}
}

func (in *instance) seconds(clock uint64) float64 { return float64(int64(clock-in.born)) / 1e9 }

// clock turns a time of the module back; it rounds up, so that a wake-up never comes early.
func (in *instance) clock(at float64) uint64 {
	ns := math.Ceil(at * 1e9)
	if !(ns > 0) {
		return in.born
	}
	return in.born + uint64(ns)
}

func span(ns uint64) float64 { return float64(ns) / 1e9 }

func outcome(code uint8) relay.Outcome {
	switch code {
	case 0:
		return relay.Honoured
	case 11:
		return relay.TurnedAway
	case 110:
		return relay.TimedOut
	case 111:
		return relay.NoConnect
	case 104:
		return relay.Broken
	case 125:
		return relay.Cancelled
	case 114:
		return relay.NotSent
	}
	return relay.Errored
}

func (h *host) event(in *instance, e *simwire.Event) relay.Event {
	switch e.Code {
	case simwire.EvRoster:
		return h.roster(in, e)
	case simwire.EvQuery:
		return relay.Query{ID: relay.QueryID(e.Query), Until: in.seconds(e.Deadline), Work: span(e.Work),
			HasWork: e.Bits&1 != 0, Again: e.Bits&2 != 0, Key: relay.Key(e.Key),
			Customer: relay.Customer(e.Customer), Category: relay.Category(e.Category)}
	case simwire.EvLegEnded:
		return relay.LegEnded{Query: relay.QueryID(e.Query), Leg: relay.LegNo(e.Leg), Unit: relay.UnitID(e.Unit),
			How: outcome(e.Outcome), Took: span(e.Took), Over: e.Ended != 0, Report: e.Report}
	case simwire.EvStreaming:
		return relay.Streaming{Query: relay.QueryID(e.Query), Leg: relay.LegNo(e.Leg),
			Unit: relay.UnitID(e.Unit), Took: span(e.Took)}
	case simwire.EvLeft:
		return relay.ClientLeft{Query: relay.QueryID(e.Query)}
	case simwire.EvWoken:
		return relay.Woken{ID: relay.WakeID(e.Token)}
	case simwire.EvProbed:
		return relay.Probed{Unit: relay.UnitID(e.Unit), Took: span(e.Took), How: outcome(e.Outcome),
			Report: e.Report}
	case simwire.EvMessage:
		return relay.Heard{From: relay.RelayNo(e.From), Body: append([]byte(nil), e.Body...)}
	case simwire.EvStage:
		n := relay.StageNews{Valid: e.Outcome == 0, Build: relay.Build(e.Build), Stage: relay.Stage(e.Stage),
			Phase: relay.Phase(e.Phase), Cap: float64(e.Cap), Age: span(e.Age)}
		if e.Unasked == 1 {
			switch e.Outcome {
			case 0:
				n.Reply = relay.Counted
			case 110:
				n.Reply = relay.MaybeCounted
			case 114:
				n.Reply = relay.Moot
			default:
				n.Reply = relay.NotCounted
			}
		}
		return n
	case simwire.EvTally:
		return relay.Tally{Build: relay.Build(e.Build), Category: relay.Category(e.Category), Legs: int(e.Count),
			Bad: int(e.Bad), MeanTook: span(e.Took), Age: span(e.Age)}
	default: // simwire.EvWrong; the reader has turned away any other code
		return relay.JudgedWrong{Category: relay.Category(e.Category), Unit: relay.UnitID(e.Unit), Age: span(e.Age)}
	}
}

func (h *host) roster(in *instance, e *simwire.Event) relay.Roster {
	r := relay.Roster{Form: relay.RosterFailed}
	switch e.Form {
	case 2:
		r.Form = relay.RosterCached
	case 3:
		r.Form = relay.RosterDelta
	case 4:
		r.Form = relay.RosterFull
	}
	if r.Form == relay.RosterFailed || int(e.Ref) >= len(h.lists) {
		return relay.Roster{Form: relay.RosterFailed}
	}
	for _, w := range h.lists[e.Ref] {
		u := relay.UnitEntry{Unit: relay.UnitID(w.Unit), Zone: relay.Zone(w.Zone), Kind: relay.Kind(w.Kind),
			Cell: relay.Cell(w.Cell), Build: relay.Build(w.Build), Weight: float64(w.Weight),
			Started: w.StartedAt != 0, StartedAt: in.seconds(w.StartedAt)}
		switch w.State {
		case 1:
			u.State = relay.Draining
		case 2:
			u.State = relay.Ready
		}
		r.Units = append(r.Units, u)
	}
	return r
}

func (h *host) order(in *instance, o relay.Order) {
	w := h.out
	switch o := o.(type) {
	case relay.SendLeg:
		w.SendLeg(in.no, uint32(o.Query), uint64(o.Unit), uint64(math.Max(0, math.Round(o.Wait*1e9))))
	case relay.CancelLeg:
		w.CancelLeg(in.no, uint32(o.Query), uint8(o.Leg))
	case relay.Deny:
		w.Deny(in.no, uint32(o.Query), uint64(math.Max(0, math.Round(o.RetryAfter*1e9))))
	case relay.WriteOff:
		w.WriteOff(in.no, uint32(o.Query))
	case relay.Wake:
		w.Wake(in.no, uint64(o.ID), in.clock(o.At))
	case relay.Probe:
		w.Probe(in.no, uint64(o.Unit))
	case relay.CloseIdle:
		w.CloseIdle(in.no, uint64(o.Unit))
	case relay.Tell:
		w.Tell(in.no, uint32(o.To), o.Body)
	case relay.Vote:
		w.Vote(in.no, uint16(o.Build), uint8(o.Stage), uint8(o.Verdict))
	case relay.Watch:
		w.Watch(in.no, o.On)
	case relay.Fetch:
		w.Fetch(in.no)
	case relay.Log:
		w.Log(in.no, o.Line)
	}
}
