// Package live replays arrivals against relays that run as processes, over their wire protocol on loopback, on the
// recorded schedule. The loop is open: a query goes out when it is due, whether or not earlier ones were answered, and
// what a late sender adds counts into the latency. pace.go decides, without clock, socket or goroutine: which query goes
// out on which connection, what waits, how late the sender itself was and whether the run tells anything.
package live

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Lane is one connection to a relay.
type Lane int

// Job is an arrival that goes out.
type Job struct {
	No    int     // of the arrival, from 0 on
	Due   float64 // s from the start at which it is to go out
	Relay int
}

// Act is what the host has to do for a job.
type Act int

const (
	Hold   Act = iota // it waits for a connection: every one that may be is in use
	Reuse             // it goes out on an open connection
	Open              // it goes out on a new connection
	Refuse            // even the place to wait is full: it does not go out at all
)

// Bounds of a sender.
type Bounds struct {
	Lanes     int     // connections to a relay
	Waiting   int     // queries that wait for a connection to a relay
	LateAfter float64 // s after which a query went out late by the sender's fault
	LateShare float64 // part of late or unsent ones above which a run tells nothing
}

// Usual are the bounds where none are named: half of a relay's descriptors, the other half is its own legs.
var Usual = Bounds{Lanes: 300, Waiting: 5000, LateAfter: 0.01, LateShare: 0.01}

// Sender is the state of all connections and of what waits for one.
type Sender struct {
	b      Bounds
	relays []lanes
	late   *hdrhistogram.Histogram // µs from due until it went out
	sent   int
	behind int // that went out later than LateAfter
	unsent int // that had no place to wait
	broken int // connections that broke or did not open
}

type lanes struct {
	idle    []Lane // the one used last is on top: few stay warm rather than all being half used
	open    int
	next    Lane
	waiting []Job
	most    int // connections at a time
}

// NewSender begins with no connection.
func NewSender(relays int, b Bounds) *Sender {
	return &Sender{b: b, relays: make([]lanes, relays), late: hdrhistogram.New(1, 600e6, 3)}
}

// Due takes a job whose time has come.
func (s *Sender) Due(j Job) (Act, Lane) {
	r := &s.relays[j.Relay]
	if len(r.waiting) > 0 { // nobody overtakes
		return s.hold(r, j), 0
	}
	if n := len(r.idle); n > 0 {
		l := r.idle[n-1]
		r.idle = r.idle[:n-1]
		return Reuse, l
	}
	if r.open < s.b.Lanes {
		return Open, r.fresh()
	}
	return s.hold(r, j), 0
}

func (r *lanes) fresh() Lane {
	r.open++
	r.most = max(r.most, r.open)
	r.next++
	return r.next
}

func (s *Sender) hold(r *lanes, j Job) Act {
	if len(r.waiting) >= s.b.Waiting {
		s.unsent++
		return Refuse
	}
	r.waiting = append(r.waiting, j)
	return Hold
}

// Went notes that a job went out.
func (s *Sender) Went(j Job, now float64) {
	s.sent++
	d := math.Max(now-j.Due, 0)
	s.late.RecordValue(int64(d * 1e6))
	if d > s.b.LateAfter {
		s.behind++
	}
}

// Free takes a connection back whose query is over; it is kept, or gone where it broke. The job that waited longest
// gets its place: on it, or on a new one.
func (s *Sender) Free(relay int, l Lane, kept bool) (Job, Act, Lane) {
	r := &s.relays[relay]
	if !kept {
		r.open--
		s.broken++
	}
	if len(r.waiting) == 0 {
		if kept {
			r.idle = append(r.idle, l)
		}
		return Job{}, Hold, 0
	}
	j := r.waiting[0]
	r.waiting = r.waiting[1:]
	if kept {
		return j, Reuse, l
	}
	return j, Open, r.fresh()
}

// Drop gives up all that waits, as when a run is ended.
func (s *Sender) Drop() (out []Job) {
	for i := range s.relays {
		out = append(out, s.relays[i].waiting...)
		s.relays[i].waiting = nil
	}
	return out
}

// Lateness tells how late the sender itself was. Times are seconds.
type Lateness struct {
	Sent      int                `json:"sent"`
	Unsent    int                `json:"unsent"`
	Behind    int                `json:"late"`
	LateAfter float64            `json:"late_after_s"`
	Share     float64            `json:"late_share"`
	Allowed   float64            `json:"late_share_allowed"`
	Quantiles map[string]float64 `json:"late_s"`
	Lanes     int                `json:"connections_most"`
	Broken    int                `json:"connections_broken"`
	Invalid   string             `json:"invalid,omitempty"` // why the run tells nothing
}

// Lateness gives the sender's own account.
func (s *Sender) Lateness() Lateness {
	l := Lateness{Sent: s.sent, Unsent: s.unsent, Behind: s.behind, LateAfter: s.b.LateAfter, Allowed: s.b.LateShare, Broken: s.broken,
		Quantiles: map[string]float64{}}
	for i := range s.relays {
		l.Lanes = max(l.Lanes, s.relays[i].most)
	}
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "max": 100} {
		l.Quantiles[name] = float64(s.late.ValueAtQuantile(q)) / 1e6
	}
	if n := s.sent + s.unsent; n > 0 {
		l.Share = float64(s.behind+s.unsent) / float64(n)
	}
	if l.Share > s.b.LateShare {
		l.Invalid = fmt.Sprintf("the sender was over %g s late with %.2f%% of the queries (%d unsent), %.2f%% are allowed", s.b.LateAfter, 100*l.Share,
			s.unsent, 100*s.b.LateShare)
	}
	return l
}
