package placement

import "time"

// Goal says what a deployment optimizes for.
type Goal int

// Goals of placement.
const (
	// Availability favors few handovers: slots stay where they are unless a server is clearly
	// overloaded.
	Availability Goal = iota
	// Balance favors an even load and accepts more handovers.
	Balance
)

// Settings are the planner's thresholds. DefaultSettings returns those of a goal.
type Settings struct {
	// Goal also sets the order in which a draining server is emptied. Availability starts with the
	// slots of the lowest load, whose handover delays the fewest requests in flight; Balance starts
	// with those of the highest load.
	Goal Goal
	// Threshold is the relative deviation from the target utilization from which slots are moved
	// (0.2 means 20%).
	Threshold float64
	// NoiseMargin bounds the error by which the load of a busy server may be measured too high, as a
	// fraction of its noise scale (root of the summed squares of its slots' loads). The planner also
	// leaves that much room at a server to which it moves slots because of its low utilization.
	NoiseMargin float64
	// MinGain is the smallest reduction of the busiest server's load that justifies a handover, in
	// mean slot loads.
	MinGain float64
	// MaxMoves bounds the number of concurrent handovers.
	MaxMoves int
	// MaxMovingLoad bounds the fraction of the service's load that is being handed over at one time.
	// One handover is always allowed.
	MaxMovingLoad float64
	// DrainSteps bounds the concurrent handovers from draining servers to 1/DrainSteps of all slots,
	// or MaxMoves if that is more.
	DrainSteps int
	// Cooldown is the time after a handover during which a slot is not moved again, unless its owner
	// drains or is lost.
	Cooldown time.Duration
}

// Defaults of Settings.
const (
	defaultCooldown   = time.Minute
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

// Constants of the planner that deployments do not need to change.
const (
	// idleSlotWeight is the weight of a slot without load, in mean slot loads. It spreads idle slots
	// over the servers, since any of them may become hot.
	idleSlotWeight = 0.1
	// destinationNoiseMargin bounds the error by which the load of a destination server may be
	// measured too low, as a fraction of its noise scale. It is wider than NoiseMargin, since the
	// lowest of many noisy loads is far below its true value.
	destinationNoiseMargin = 0.45
	// minRampFactor is the fraction of its capacity that a server has when its session begins.
	minRampFactor = 0.1
	// unknownLoadThreshold replaces Threshold while most loads are unknown, as after a change of
	// leader.
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
		Cooldown:      defaultCooldown,
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
