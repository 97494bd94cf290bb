package placement

import "time"

// Goal says which measure a deployment favours.
type Goal int

// Goals of placement.
const (
	// Availability favours few handovers: the slots stay where they are unless a
	// server is clearly overloaded.
	Availability Goal = iota
	// Balance favours an even load and accepts more handovers.
	Balance
)

// Settings are the planner's thresholds. DefaultSettings returns those of a goal.
type Settings struct {
	// Goal also decides the order in which a draining server is emptied: by
	// Availability its idlest slots first, whose handover waits for the fewest
	// requests in flight; by Balance its heaviest slots first.
	Goal Goal
	// Threshold is the part by which a server's utilization may differ from the
	// level of all servers before slots move (0.2 means 20%).
	Threshold float64
	// NoiseMargin is the part of a server's load spread (root of the sum of its
	// slots' squared loads) by which a busy server's load may be measured too high.
	NoiseMargin float64
	// MinGain is the least reduction of the busiest server's load that justifies
	// a handover, in mean slot loads.
	MinGain float64
	// MaxMoves bounds the handovers under way at one time.
	MaxMoves int
	// MaxMovingLoad bounds the part of the service's load that is being handed
	// over at one time. One handover is always allowed.
	MaxMovingLoad float64
	// DrainSteps bounds the handovers from draining servers: at most one
	// DrainSteps-th of all slots at one time, and no fewer than MaxMoves.
	DrainSteps int
	// CoolDown is the time during which a slot that was handed over
	// stays where it is, unless its owner drains or is lost.
	CoolDown time.Duration
}

// Defaults of Settings.
const (
	defaultCoolDown   = time.Minute
	defaultDrainSteps = 16

	availabilityThreshold     = 0.25
	availabilityNoiseMargin   = 0.35
	availabilityMinGain       = 1.0
	availabilityMaxMoves      = 16
	availabilityMaxMovingLoad = 0.02

	balanceThreshold     = 0.08
	balanceNoiseMargin   = 0.2
	balanceMinGain       = 0.5
	balanceMaxMoves      = 64
	balanceMaxMovingLoad = 0.05
)

// Constants of the planner that no deployment needs to set.
const (
	// idleSlotWeight is the weight of a slot without load, in mean slot loads. It
	// keeps idle slots spread, since any of them may become hot.
	idleSlotWeight = 0.1
	// receiverNoiseMargin is the part of a receiving server's load spread by which
	// its load may be measured too low. It is wide, since the least of many noisy loads is far
	// below its true value.
	receiverNoiseMargin = 0.45
	// leastRamp is the part of its capacity that a server has when its session
	// begins.
	leastRamp = 0.1
	// unknownLoadThreshold replaces Threshold while most loads are unknown, as
	// after a change of leader.
	unknownLoadThreshold = 0.5
)

// DefaultSettings returns the settings of a goal.
func DefaultSettings(goal Goal) Settings {
	settings := Settings{
		Goal:          goal,
		Threshold:     availabilityThreshold,
		NoiseMargin:   availabilityNoiseMargin,
		MinGain:       availabilityMinGain,
		MaxMoves:      availabilityMaxMoves,
		MaxMovingLoad: availabilityMaxMovingLoad,
		DrainSteps:    defaultDrainSteps,
		CoolDown:      defaultCoolDown,
	}
	if goal == Balance {
		settings.Threshold = balanceThreshold
		settings.NoiseMargin = balanceNoiseMargin
		settings.MinGain = balanceMinGain
		settings.MaxMoves = balanceMaxMoves
		settings.MaxMovingLoad = balanceMaxMovingLoad
	}
	return settings
}
