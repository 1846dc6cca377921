package linewire

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"lichenroad/relay"
)

const millisPerSecond = 1000

// phaseWords maps phases to their words on the wire.
var phaseWords = [...]string{
	relay.PhaseCanary:      "canary",
	relay.PhaseRollingBack: "reverting",
	relay.PhaseReleased:    "stable",
	relay.PhaseWithdrawn:   "reverted",
}

// StatusFields holds the fields of a rollout status as text.
type StatusFields struct {
	Build           string // unsigned, 16 bits
	Stage           string // unsigned, 8 bits
	Phase           string // one of phaseWords
	ExposureLimit   string // from 0 to 1
	AgeMilliseconds string // age of the status at the time it was sent
}

// Parse converts the fields to a valid RolloutStatus. Errors wrap ErrMalformed.
func (f StatusFields) Parse() (relay.RolloutStatus, error) {
	build, buildErr := strconv.ParseUint(f.Build, 10, 16)
	stage, stageErr := strconv.ParseUint(f.Stage, 10, 8)
	limit, limitErr := strconv.ParseFloat(f.ExposureLimit, 64)
	milliseconds, ageErr := strconv.ParseFloat(f.AgeMilliseconds, 64)
	phase := slices.Index(phaseWords[:], f.Phase)
	unreadable := errors.Join(buildErr, stageErr, limitErr, ageErr) != nil || phase < 0
	inRange := limit >= 0 && limit <= 1 && milliseconds >= 0 // false for NaN
	if unreadable || !inRange {
		return relay.RolloutStatus{}, fmt.Errorf("%w: rollout status of build %.20q", ErrMalformed, f.Build)
	}
	return relay.RolloutStatus{
		Valid:         true,
		Build:         relay.Build(build),
		Stage:         relay.Stage(stage),
		Phase:         relay.Phase(phase),
		ExposureLimit: limit,
		Age:           milliseconds / millisPerSecond,
	}, nil
}

// formatStatus returns the words of a rollout status, separated by spaces.
func formatStatus(status relay.RolloutStatus) string {
	limit := strconv.FormatFloat(status.ExposureLimit, 'g', -1, 64)
	milliseconds := status.Age * millisPerSecond
	return fmt.Sprintf("%d %d %s %s %.0f", status.Build, status.Stage, phaseWords[status.Phase], limit, milliseconds)
}
