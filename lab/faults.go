package lab

import "strings"

// Faults say how much goes wrong. Zero is nothing; one is as much as a week has at its worst.
type Faults struct {
	MessageLoss          float64 // fraction of the relays' messages that are lost
	ListLag              float64 // times up to 4 s more until relays learn of endpoints
	ControllerPartitions float64 // chance a day that the controller is partitioned across a freeze's start, or in the middle of a release
	StatusLag            float64 // times 3 s that rollout statuses are later, for parts of a release
	ControllerRestarts   float64 // chance a day that the controller is killed and starts again
	LostJournalEvents    float64 // times 3 events that it has forgotten then
	RelayRestarts        float64 // chance, for a relay and a release, that it is killed and starts again
	DeployerStalls       float64 // chance a release that the deployer stalls for up to 20 s
	UnannouncedBuilds    float64 // chance a release that there is an endpoint of a build not announced
	OneSiteCanaries      float64 // chance a release that its canary has endpoints at the first site alone
	EndpointPauses       float64 // endpoints that pause for up to 0.5 s, a second and ten endpoints
	ClockSkew            float64 // s that the relays' clocks differ by, both ways
}

// OrdinaryFaults are those of a week with a little of everything.
func OrdinaryFaults() Faults {
	return Faults{
		MessageLoss:          0.1,
		ListLag:              0.25,
		ControllerPartitions: 0.2,
		StatusLag:            0.2,
		ControllerRestarts:   0.2,
		RelayRestarts:        0.03,
		DeployerStalls:       0.1,
		UnannouncedBuilds:    0.1,
		EndpointPauses:       0.05,
		ClockSkew:            1,
	}
}

// worstFaults are the faults of one kind alone, at their worst.
var worstFaults = []struct {
	name   string
	faults Faults
}{
	{"none", Faults{}},
	{"ordinary", OrdinaryFaults()},
	{"memos", Faults{MessageLoss: 1}},
	{"roster", Faults{ListLag: 1}},
	{"silence", Faults{ControllerPartitions: 1}},
	{"late", Faults{StatusLag: 1}},
	{"desk", Faults{ControllerRestarts: 1}},
	{"journal", Faults{ControllerRestarts: 1, LostJournalEvents: 1}},
	{"relays", Faults{RelayRestarts: 0.5}},
	{"deployer", Faults{DeployerStalls: 1}},
	{"early", Faults{UnannouncedBuilds: 1}},
	{"one-side", Faults{OneSiteCanaries: 1}},
	{"pauses", Faults{EndpointPauses: 3}},
	{"clocks", Faults{ClockSkew: 1}},
}

// FaultNames lists the names that FaultsByName knows.
func FaultNames() (names []string) {
	for _, kind := range worstFaults {
		names = append(names, kind.name)
	}
	return names
}

// FaultsByName returns the faults of one kind at their worst, or of several with a + between.
func FaultsByName(name string) (faults Faults, ok bool) {
	for _, part := range strings.Split(name, "+") {
		one, known := faultsOfKind(part)
		if !known {
			return Faults{}, false
		}
		faults = faults.combine(one)
	}
	return faults, true
}

func faultsOfKind(name string) (Faults, bool) {
	for _, kind := range worstFaults {
		if kind.name == name {
			return kind.faults, true
		}
	}
	return Faults{}, false
}

// combine takes the worse of each fault.
func (f Faults) combine(other Faults) Faults {
	return Faults{
		MessageLoss:          max(f.MessageLoss, other.MessageLoss),
		ListLag:              max(f.ListLag, other.ListLag),
		ControllerPartitions: max(f.ControllerPartitions, other.ControllerPartitions),
		StatusLag:            max(f.StatusLag, other.StatusLag),
		ControllerRestarts:   max(f.ControllerRestarts, other.ControllerRestarts),
		LostJournalEvents:    max(f.LostJournalEvents, other.LostJournalEvents),
		RelayRestarts:        max(f.RelayRestarts, other.RelayRestarts),
		DeployerStalls:       max(f.DeployerStalls, other.DeployerStalls),
		UnannouncedBuilds:    max(f.UnannouncedBuilds, other.UnannouncedBuilds),
		OneSiteCanaries:      max(f.OneSiteCanaries, other.OneSiteCanaries),
		EndpointPauses:       max(f.EndpointPauses, other.EndpointPauses),
		ClockSkew:            max(f.ClockSkew, other.ClockSkew),
	}
}
