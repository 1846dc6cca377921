package lab

import "strings"

// Faults holds the intensity of each kind of fault: 0 means none, 1 stands for the worst case of a week.
type Faults struct {
	MessageLoss          float64 // fraction of the relays' messages that are lost
	ListLag              float64 // 1: up to 4 s more until relays learn of changed endpoints
	ControllerPartitions float64 // probability of a partition per day in a release, and of one across a freeze's start
	StatusLag            float64 // probability per day of late statuses; the delay is 3 s from 0.5 on, less below
	ControllerRestarts   float64 // probability per day that the controller is killed and restarts
	LostJournalEvents    float64 // 1: such a restart loses up to 3 of the last events
	RelayRestarts        float64 // probability per relay and day that it is killed and restarts
	DeployerStalls       float64 // probability per fleet and day that the deployer stalls for 5 to 20 s
	UnannouncedBuilds    float64 // probability per release that an endpoint of an unannounced build runs
	OneSiteCanaries      float64 // probability per release that the canary has endpoints at the first site alone
	EndpointPauses       float64 // pauses of up to 0.5 s, per second and ten endpoints
	ClockSkew            float64 // s; the largest offset of a relay's clock, either way
}

// OrdinaryFaults returns the faults of an ordinary week: most kinds, each at a low intensity.
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

// worstFaults lists each kind of fault alone at its worst, beside none and the ordinary ones.
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

// FaultsByName returns the faults of one kind at its worst, or of several kinds whose names are joined by "+".
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

// combine returns the higher intensity of each fault.
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
