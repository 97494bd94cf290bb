package clock

import "time"

// Number is a type in which settings and messages hold times.
type Number interface{ ~int | ~int64 | ~float64 }

// Milliseconds returns a duration of n milliseconds.
func Milliseconds[N Number](n N) time.Duration {
	return time.Duration(float64(n) * float64(time.Millisecond))
}

// Seconds returns a duration of n seconds.
func Seconds[N Number](n N) time.Duration { return time.Duration(float64(n) * float64(time.Second)) }
