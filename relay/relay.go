// Package relay is the interface between the decisions (package policy) and whatever hosts them: a
// simulator's pipe today, a socket service or a second protocol later. It holds types only. All times
// are seconds with fractions, counted from the start of the instance; spans are seconds too.
package relay

// Ids, each a type of its own. A Unit is one server; it keeps its id over a restart of its process.
type (
	QueryID  uint32
	UnitID   uint64
	RelayNo  uint32
	Category int
	Customer int
	Zone     int
	Kind     int
	Cell     int
	Build    int
	Stage    int
	Key      uint64 // what a query concerns; 0: nothing
	WakeID   uint64
	LegNo    int
	Seconds  = float64
)

// Everyone addresses a Tell to all other relays.
const Everyone RelayNo = 1<<32 - 1

// Repeat says whether a query of a category may run again.
type Repeat int

const (
	Reissuable Repeat = iota
	Numbered          // carries a mark by which a Group of units drops a repeat
	AtMostOnce
)

// Group names the units that drop a repeat of one numbered query.
type Group int

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Control says what the votes on a build bring about.
type Control int

const (
	AnyVote    Control = iota // one vote moves or ends a stage
	ShareVotes                // a counted share of relays does
	Clock                     // a stage moves by itself; votes hold it or send the build back
)

// Settings are what an instance is told once, at its start. A zero value means absent.
type Settings struct {
	Self           RelayNo
	Relays         int
	Zone           Zone
	Categories     []CategoryTerms
	Customers      []CustomerTerms
	OverShareValue float64
	Limits         Limits
	Rules          Rules
	Rollout        Rollout
	RosterOnAsk    bool     // the roster answers only a Watch or a Fetch
	Reports        []string // names of the figures in a load report
	ReportInLegs   bool     // load reports come with outcomes too
	Prices         Prices
}

// CategoryTerms are the terms of one category of queries.
type CategoryTerms struct {
	Repeat       Repeat
	Group        Group
	RepeatWindow Seconds
	DueTime      Seconds
	DueStretch   float64 // the due time grows by this multiple of the query's own work
	Patience     Seconds
	Value        float64
	LateValue    float64
	Streamed     bool
}

// CustomerTerms are the terms of one customer.
type CustomerTerms struct {
	Share       float64
	QuotaPerSec float64
}

// Limits is what the site permits.
type Limits struct {
	MaxLegs        int
	Cancel         bool
	Probes         bool
	Messages       bool
	SecondCopies   bool
	RetryAfter     bool
	MaxRetryAfter  Seconds
	ConnectTimeout Seconds
}

// Rules are the figures of the five rules.
type Rules struct {
	AnswerSlack  Seconds
	DrainGrace   Seconds
	AskEvery     Seconds // to which a relay with no watch is held; infinite: no such time
	ColdFrom     float64
	WarmUp       Seconds
	FallMultiple float64
	FallTime     Seconds
}

// Rollout is how new builds are brought in.
type Rollout struct {
	Control       Control
	InPlace       bool // machines of the earlier build are drained as successors run
	Caps          []float64
	StageShares   []float64
	Uncounted     float64
	Window        Seconds
	PerCategory   bool
	GuardedStages int
	KeysForward   bool
	KeysWarm      bool
	VotesOn       int
	VotesBack     int
	VotesHold     int
	VoteLife      Seconds
	CallTimeout   Seconds
	VotesPerSec   float64
	LeastTime     Seconds
	StepTime      Seconds
	ReportedShare float64
	DelayPrice    float64
	HarmPrice     float64
}

// Prices are what costs points of service.
type Prices struct {
	CrossZone, Waste, Probe, Message, LateFail float64
}

// UnitState is what the roster says of a unit.
type UnitState int

const (
	Gone UnitState = iota
	Draining
	Ready
)

// UnitEntry is one line of the roster. StartedAt counts like all times and may be negative; Started is
// false when the unit has run for long.
type UnitEntry struct {
	Unit      UnitID
	Zone      Zone
	Kind      Kind
	Cell      Cell
	Build     Build
	Weight    float64
	State     UnitState
	Started   bool
	StartedAt Seconds
	Bare      bool // of a unit that leaves: no more than Unit and State could be read
}

// RosterForm says how to read a Roster event.
type RosterForm int

const (
	RosterFailed RosterForm = iota // a call failed; the old list stands
	RosterCached                   // the whole list as last held, maybe old
	RosterDelta
	RosterFull
	RosterSilent // the watch fell silent and is broken: what it missed counts as told soon; the old list stands
)

// Outcome is how a leg or a probe ended.
type Outcome int

const (
	Honoured   Outcome = iota
	Errored            // may have run
	TurnedAway         // never ran
	TimedOut           // may have run
	NoConnect          // never ran
	Broken             // may have run
	Cancelled          // may have run
	NotSent            // never ran
)

// NeverRan tells whether the outcome proves that the leg had no effect.
func (o Outcome) NeverRan() bool { return o == TurnedAway || o == NoConnect || o == NotSent }

// Phase is where the newest build stands.
type Phase int

const (
	OnTrial Phase = iota
	GoingBack
	Released
	Withdrawn
)

// Reply says what came of the vote that a StageNews answers.
type Reply int

const (
	Unasked Reply = iota
	Counted
	NotCounted // lapsed, refused or in error
	MaybeCounted
	Moot // not counted, as its build or stage is past: no use in casting it again
)

// Event is anything an instance learns.
type Event interface{}

// Events in.
type (
	Roster struct {
		Form      RosterForm
		Units     []UnitEntry
		FromPeers bool // other relays told of it: no call to discovery was answered
	}
	// RosterLease tells until when the list may be acted on. Without any, it may be at all times.
	RosterLease struct{ Until Seconds }
	// DiscoveryAnswers tells that another relay has got its list, after a time in which calls failed.
	DiscoveryAnswers struct{}
	Query            struct {
		ID       QueryID
		Until    Seconds // when the client gives up
		Work     Seconds // expected, on a standard core
		HasWork  bool
		Again    bool // a client's marked repeat
		Key      Key
		Customer Customer
		Category Category
	}
	LegEnded struct {
		Query  QueryID
		Leg    LegNo
		Unit   UnitID
		How    Outcome
		Took   Seconds
		Over   bool // the query is finished
		Report []float32
	}
	Streaming struct {
		Query QueryID
		Leg   LegNo
		Unit  UnitID
		Took  Seconds
	}
	ClientLeft struct{ Query QueryID }
	Woken      struct{ ID WakeID }
	Probed     struct {
		Unit   UnitID
		Took   Seconds
		How    Outcome
		Report []float32
	}
	Heard struct {
		From RelayNo
		Body []byte
	}
	StageNews struct {
		Valid bool // the fields below hold
		Build Build
		Stage Stage
		Phase Phase
		Cap   float64
		Age   Seconds
		Reply Reply
	}
	// Scope narrows the trial of a build: which customers may meet it, and by what groups their queries are counted.
	// Builds after it are closed to all. Without any Scope every customer may meet a build on trial.
	Scope struct {
		Build  Build
		Stage  Stage  // that holds here, no later than the platform's
		Groups []int  // by customer; -1, or past the end: of no group, which is closed
		Open   []bool // by group
	}
	Tally struct {
		Build    Build
		Category Category
		Legs     int
		Bad      int
		MeanTook Seconds
		Age      Seconds
	}
	JudgedWrong struct {
		Category Category
		Unit     UnitID
		Age      Seconds // since the leg was sent
	}
)

// Verdict is what a vote says of a build at a stage.
type Verdict int

const (
	NoVote Verdict = iota
	VoteOn
	VoteHold
	VoteBack
)

// Order is anything an instance does.
type Order interface{}

// Orders out.
type (
	SendLeg struct {
		Query QueryID
		Unit  UnitID
		Wait  Seconds // 0: until the client gives up
		By    Seconds // the time by which its last byte is written, or else it ends as NotSent; 0: no such time
	}
	// Recall takes a leg back that may have been ordered on what no longer holds: it ends as NotSent if its last byte is
	// not written yet, and goes on otherwise.
	Recall struct {
		Query QueryID
		Leg   LegNo
	}
	CancelLeg struct {
		Query QueryID
		Leg   LegNo
	}
	Deny struct {
		Query      QueryID
		RetryAfter Seconds
	}
	WriteOff struct{ Query QueryID }
	Wake     struct {
		ID WakeID
		At Seconds
	}
	Probe     struct{ Unit UnitID }
	CloseIdle struct{ Unit UnitID }
	Tell      struct {
		To   RelayNo
		Body []byte
	}
	Vote struct {
		Build   Build
		Stage   Stage
		Verdict Verdict
	}
	// Watch orders the roster's changes, or no more of them; Anew, that a watch which stands is given up for a new one.
	Watch struct{ On, Anew bool }
	Fetch struct{}
	Log   struct{ Line string }
)
