package keyrange

import "slices"

// Overlay puts an entry over those of a list that share keys with it, which are
// list[first:end], and keeps what they have beyond it. The list is in the order of
// keys and changes in place: it has thousands of entries, and few change at a time.
// Keys returns the first and the last key of an entry.
func Overlay[T any](list []T, first, end int, entry T, keys func(*T) (from, to *int64)) []T {
	from, to := keys(&entry)
	over := make([]T, 0, 3)
	if first < end {
		left := list[first]
		if leftFrom, leftTo := keys(&left); *leftFrom < *from {
			*leftTo = *from - 1
			over = append(over, left)
		}
	}
	over = append(over, entry)
	if first < end {
		right := list[end-1]
		if rightFrom, rightTo := keys(&right); *rightTo > *to {
			*rightFrom = *to + 1
			over = append(over, right)
		}
	}
	return slices.Replace(list, first, end, over...)
}
