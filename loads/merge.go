package loads

import "slices"

// merge merges lists into one sorted list. Entries that compare equal are combined: add adds the
// second to the first.
func merge[T any](lists [][]T, order func(a, b T) int, add func(a *T, b T)) []T {
	all := slices.Concat(lists...)
	slices.SortFunc(all, order)
	out := all[:0]
	for _, one := range all {
		if n := len(out); n > 0 && order(out[n-1], one) == 0 {
			add(&out[n-1], one)
			continue
		}
		out = append(out, one)
	}
	return out
}
