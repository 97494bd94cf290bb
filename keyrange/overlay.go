package keyrange

import "slices"

// Overlay replaces the keys of entry in a sorted list of key ranges. list[first:end] are the
// ranges that share keys with entry; what they cover beyond it is kept. The list is changed in
// place, since it has thousands of entries of which few change at a time. keys returns
// pointers to the first and the last key of an entry.
func Overlay[T any](list []T, first, end int, entry T, keys func(*T) (from, to *int64)) []T {
	from, to := keys(&entry)
	replacement := make([]T, 0, 3)
	if first < end {
		left := list[first]
		if leftFrom, leftTo := keys(&left); *leftFrom < *from {
			*leftTo = *from - 1
			replacement = append(replacement, left)
		}
	}
	replacement = append(replacement, entry)
	if first < end {
		right := list[end-1]
		if rightFrom, rightTo := keys(&right); *rightTo > *to {
			*rightFrom = *to + 1
			replacement = append(replacement, right)
		}
	}
	return slices.Replace(list, first, end, replacement...)
}
