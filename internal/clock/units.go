package clock

import "time"

// Number is a numeric type that settings and messages use for durations.
type Number interface{ ~int | ~int64 | ~float64 }

// Milliseconds converts n milliseconds to a duration.
func Milliseconds[N Number](n N) time.Duration {
	return time.Duration(float64(n) * float64(time.Millisecond))
}

// Seconds converts n seconds to a duration.
func Seconds[N Number](n N) time.Duration { return time.Duration(float64(n) * float64(time.Second)) }
